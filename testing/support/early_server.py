"""HTTP server on raw sockets that answers before it has read the request."""

import enum
import queue
import socket
import threading
import time
from typing import Any
from typing import final

from support import raw_server

__all__ = ["EarlyServer", "End"]

WAIT_S = 15.0
NO_LINGER = b"\1\0\0\0\0\0\0\0"
READ_BYTES = 64 * 1024
# Of the kernel, for what isn't read; it takes about twice as much.
BUFFER_BYTES = 32 * 1024


@final
class End(enum.Enum):
    """How the server ends its answer.

    CLOSE: it closes, which sends a reset if it has left bytes unread.
    READ_AND_CLOSE: it ends its side, reads the rest and closes.
    RESET: it resets the connection.
    END_AND_RESET: it ends its side, waits for `may_reset` and resets.
    END_AND_HANG: it ends its side and keeps the connection, unread.
    """

    CLOSE = "close"
    READ_AND_CLOSE = "read and close"
    RESET = "reset"
    END_AND_RESET = "end and reset"
    END_AND_HANG = "end and hang"


@final
class EarlyServer(raw_server.RawServer):
    """Answers after `reads_bytes` of the body, or before any of them.

    With `None` for `reads_bytes` the whole body is read first. The headers
    `echoes` of the request are repeated in the answer. `delay_s` passes between
    the end of the server's side and the reset. `received` gets the number of
    bytes that were read of each body, and `requests` counts the requests.
    """

    def __init__(self) -> None:
        """Listen on a free port."""
        self.answer = b""
        self.reads_bytes: int | None = 0
        self.echoes: tuple[str, ...] = ()
        self.end = End.CLOSE
        self.delay_s = 0.0
        self.may_reset = threading.Event()
        self.may_reset.set()
        self.received: queue.SimpleQueue[int] = queue.SimpleQueue()
        self.requests = 0
        super().__init__()
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES
        )

    def close(self) -> None:
        """Release the port and every connection."""
        self.may_reset.set()
        super().close()

    def _serve(self, connection: socket.socket) -> None:
        # Without a buffer, so that what is not read stays in the kernel.
        with connection.makefile("rb", buffering=0) as reader:
            headers = _read_head(reader)
            if any(name.lower() not in headers for name in self.echoes):
                # A call that is no caller's request, or a probe.
                return
            self.requests += 1
            length = int(headers.get("content-length", "0"))
            wanted = length if self.reads_bytes is None else self.reads_bytes
            taken = _read(reader, min(wanted, length))
            connection.sendall(self._name_request(headers))
            match self.end:
                case End.CLOSE:
                    pass
                case End.READ_AND_CLOSE:
                    connection.shutdown(socket.SHUT_WR)
                    taken += _read(reader, length - taken)
                case End.RESET:
                    _reset_on_close(connection)
                case End.END_AND_RESET:
                    connection.shutdown(socket.SHUT_WR)
                    self.may_reset.wait(WAIT_S)
                    time.sleep(self.delay_s)
                    _reset_on_close(connection)
                case End.END_AND_HANG:
                    connection.shutdown(socket.SHUT_WR)
                    self.may_reset.clear()
                    self.may_reset.wait(WAIT_S)
            self.received.put(taken)

    def _name_request(self, headers: dict[str, str]) -> bytes:
        line, _, rest = self.answer.partition(b"\r\n")
        names = [f"{name}: {headers[name.lower()]}\r\n" for name in self.echoes]
        return line + b"\r\n" + "".join(names).encode() + rest


def _reset_on_close(connection: socket.socket) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


def _read_head(reader: Any) -> dict[str, str]:
    """Return the headers of a request by their names in lower case."""
    headers = {}
    while line := reader.readline().decode("latin-1").strip():
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return headers


def _read(reader: Any, wanted: int) -> int:
    """Read up to `wanted` bytes and return how many there were."""
    taken = 0
    while taken < wanted:
        data = reader.read(min(READ_BYTES, wanted - taken))
        if not data:
            break
        taken += len(data)
    return taken
