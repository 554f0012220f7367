"""HTTP servers and their callers on real sockets."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import socket
import threading
import time
from typing import Any
from typing import final

from wisteriawall.web import server as server_lib

WAIT_S = 15.0
__all__ = ["WAIT_S", "Caller", "Harness", "StreamingApp", "wait_until"]

REQUEST = b"GET /%s HTTP/1.1\r\nHost: app.example\r\n\r\n"


@final
class Caller:
    """A caller's connection on a plain socket."""

    def __init__(self, address: str) -> None:
        """Connect to `address`."""
        host, _, port = address.rpartition(":")
        self.socket = socket.create_connection((host, int(port)), WAIT_S)

    def send(self, path: bytes = b"") -> None:
        """Send a request without a body."""
        self.socket.sendall(REQUEST % path)

    def read_head(self) -> bytes:
        """Return the head of the next answer."""
        head = b""
        while not head.endswith(b"\r\n\r\n"):
            byte = self.socket.recv(1)
            assert byte, f"the connection ended after {head!r}"
            head += byte
        return head

    def read_to_end(self) -> bytes:
        """Return everything up to the end of the connection."""
        data = b""
        while chunk := self.socket.recv(65_536):
            data += chunk
        return data

    def is_reset(self) -> bool:
        """Wait for the end of the connection; return whether it is a reset."""
        try:
            self.read_to_end()
        except ConnectionResetError:
            return True
        return False


@final
class Harness:
    """Servers and callers of one test."""

    def __init__(self, stack: contextlib.ExitStack) -> None:
        """Close everything when `stack` is closed."""
        self._stack = stack

    def serve(
        self,
        app: Callable[..., server_lib.Response],
        **options: Any,
    ) -> server_lib.HttpServer:
        """Start a server."""
        server = server_lib.HttpServer(
            address="127.0.0.1:0", app=app, **{"threads": 2, **options}
        )
        self._stack.callback(self.stop, server, response_timeout_s=0.1)
        server.start()
        return server

    def call(self, server: server_lib.HttpServer) -> Caller:
        """Connect a caller."""
        caller = Caller(server.address)
        self._stack.callback(caller.socket.close)
        return caller

    def stop(
        self, server: server_lib.HttpServer, **options: Any
    ) -> threading.Thread:
        """Stop a server in a thread; wait for its end, up to `WAIT_S`."""
        stopping = self.start_stop(server, **options)
        stopping.join(WAIT_S)
        return stopping

    def start_stop(
        self, server: server_lib.HttpServer, **options: Any
    ) -> threading.Thread:
        """Begin to stop a server in a thread."""
        stopping = threading.Thread(
            target=server.stop, kwargs=options, daemon=True
        )
        stopping.start()
        return stopping


@final
class StreamingApp:
    """WSGI application whose answers wait for `finish` between two parts.

    `began` is set once the first part is sent, and `cancelled` when the server
    reports that the caller is gone, which also ends the wait if
    `ends_when_cancelled` is set. `closed` is set by the answer's `close`.
    """

    def __init__(self) -> None:
        """Answer nothing yet."""
        self.began = threading.Event()
        self.finish = threading.Event()
        self.cancelled = threading.Event()
        self.closed = threading.Event()
        self.ends_when_cancelled = True

    def __call__(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        """Answer in two parts."""
        server_lib.read_body(environ)
        server_lib.caller_connection(environ).on_disconnect(self._cancel)
        start_response("200 OK", [("Content-Type", "text/plain")])
        return self._parts()

    def _parts(self) -> Iterator[bytes]:
        try:
            yield b"first"
            self.began.set()
            self.finish.wait(WAIT_S)
            if self.cancelled.is_set():
                raise ConnectionAbortedError("cancelled")
            yield b"last"
        finally:
            self.closed.set()

    def _cancel(self) -> None:
        self.cancelled.set()
        if self.ends_when_cancelled:
            self.finish.set()


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Poll until `condition` holds; fail the test after `WAIT_S`."""
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, f"still waiting for {what}"
        time.sleep(0.01)
