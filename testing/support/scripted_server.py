"""HTTP server on raw sockets whose every byte is scripted."""

import contextlib
import socket
import time

from support import raw_server


class ScriptedServer(raw_server.RawServer):
    """Server that sends the next scripted bytes after each request.

    With a `pause_s`, each byte is sent by itself, after that many seconds.
    """

    def __init__(self) -> None:
        """Listen on a free port."""
        self.script: list[bytes] = []
        self.pause_s = 0.0
        super().__init__()

    @property
    def connections(self) -> int:
        """Return the number of connections that were accepted."""
        return len(self.accepted)

    def _serve(self, connection: socket.socket) -> None:
        with connection.makefile("rb") as reader:
            while self.script and reader.readline():
                while reader.readline().strip():
                    pass
                self._send(connection, self.script.pop(0))

    def _send(self, connection: socket.socket, data: bytes) -> None:
        if not self.pause_s:
            connection.sendall(data)
            return
        with contextlib.suppress(OSError):
            for value in data:
                time.sleep(self.pause_s)
                connection.sendall(bytes([value]))
