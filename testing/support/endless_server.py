"""Server on raw sockets that answers with bytes without end."""

import socket
import threading
from typing import final

from support import raw_server

__all__ = ["EndlessServer"]

# A caller that reads on for ever ends a test too.
MAX_SENT_BYTES = 64 * 1024 * 1024


@final
class EndlessServer(raw_server.RawServer):
    """Sends a start, and a pattern again and again until the caller closes.

    `sent_bytes` is how much was sent in all, and `closed` is set once a caller
    has closed its connection.

    Args:
        start: First bytes of each answer.
        pattern: Bytes that follow without end.
    """

    def __init__(self, start: bytes, pattern: bytes) -> None:
        """Listen on a free port."""
        self.sent_bytes = 0
        self.closed = threading.Event()
        self._start = start
        self._pattern = pattern * max(1, 65_536 // len(pattern))
        super().__init__()

    def _serve(self, connection: socket.socket) -> None:
        with connection.makefile("rb") as reader:
            while reader.readline().strip():
                pass
        try:
            connection.sendall(self._start)
            while self.sent_bytes < MAX_SENT_BYTES:
                connection.sendall(self._pattern)
                self.sent_bytes += len(self._pattern)
        except OSError:
            self.closed.set()
