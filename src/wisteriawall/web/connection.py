"""Cheroot's connection, request and gateway with JSON errors and a watch."""

from collections.abc import Callable
import contextlib
import os
import socket
import struct
import time
from typing import Any
from typing import final

from cheroot import errors as cheroot_errors
from cheroot import server as cheroot_server
from cheroot import wsgi

from wisteriawall.web import refusal as refusal_lib
from wisteriawall.web import watch as watch_lib

__all__ = [
    "CONNECTION",
    "RAW_HEADERS",
    "Caller",
    "Connection",
    "Gateway",
    "error_response",
]

CONNECTION = "wisteriawall.connection"
RAW_HEADERS = "wisteriawall.headers"
RESET = struct.pack("ii", 1, 0)
CODE_BY_STATUS = {
    408: refusal_lib.Code.REQUEST_TIMEOUT,
    413: refusal_lib.Code.BODY_TOO_LARGE,
    414: refusal_lib.Code.BODY_TOO_LARGE,
    500: refusal_lib.Code.INTERNAL,
    503: refusal_lib.Code.OVERLOADED,
}
OVERLOAD_RETRY_S = 1
DRAINED_BYTES = 65_536


@final
class Caller:
    """The connection of a request in progress."""

    def __init__(
        self, connection: socket.socket, watch: watch_lib.ConnectionWatch
    ) -> None:
        self._socket = connection
        self._watch = watch
        self.aborted = False
        self._read_until = float("inf")

    @property
    def expired(self) -> bool:
        """Tell whether the request took too long to arrive."""
        return time.monotonic() >= self._read_until

    def begin_reading(self, *, seconds: float) -> None:
        """Bound the time that head and body may take to arrive."""
        self._read_until = time.monotonic() + seconds
        self._watch.set_deadline(self._socket, seconds=seconds)

    def end_reading(self) -> None:
        """Note that the whole request has been read."""
        self._read_until = float("inf")
        self._watch.clear_deadline(self._socket)

    def on_hangup(self, callback: Callable[[], None]) -> None:
        """Call `callback` from another thread if the caller goes away."""
        self._watch.on_hangup(self._socket, callback)

    def forget(self) -> None:
        """Stop watching the connection."""
        self._watch.forget(self._socket)

    def abort(self) -> None:
        """Have the close send a reset, so that no answer looks whole."""
        self.aborted = True
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


def error_response(protocol: str, status: str, message: str) -> bytes:
    """Return a whole JSON refusal for what cheroot itself refuses."""
    number = int(status[:3])
    # Cheroot refuses before the application saw the request, but for 500.
    run = refusal_lib.RunState
    refusal = refusal_lib.Refusal(
        status=number,
        code=CODE_BY_STATUS.get(number, refusal_lib.Code.BAD_REQUEST),
        message=message or status[4:],
        run=run.UNKNOWN if number == 500 else run.NOT_RUN,
    )
    body = refusal_lib.to_json(refusal)
    head = [
        f"{protocol} {status}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    if number == 503:
        head.append(f"Retry-After: {OVERLOAD_RETRY_S}")
    return "\r\n".join([*head, "", ""]).encode("latin-1") + body


@final
class Request(cheroot_server.HTTPRequest):
    """Request whose refusals by cheroot are JSON."""

    def simple_response(self, status: object, msg: object = "") -> None:
        """Answer and close; the caller may still be sending."""
        self.close_connection = True
        text = msg.decode("latin-1") if isinstance(msg, bytes) else str(msg)
        if self.conn.caller.expired:
            status, text = "408 Request Timeout", "the request came too slowly"
        data = error_response(self.server.protocol, str(status), text)
        try:
            self.conn.wfile.write(data)
        except OSError as error:
            if error.args[0] not in cheroot_errors.socket_errors_to_ignore:
                raise


@final
class Connection(cheroot_server.HTTPConnection):
    """Connection that bounds how long a request may take to arrive."""

    RequestHandlerClass = Request
    caller: Caller | None = None

    def communicate(self) -> bool:
        """Serve one request; return whether to keep the connection."""
        self.caller = Caller(self.socket, self.server.watch)
        self.caller.begin_reading(seconds=self.server.read_deadline_s)
        try:
            keep: bool = super().communicate()  # type: ignore[no-untyped-call]
            return keep
        finally:
            self.caller.forget()

    def close(self) -> None:
        """Close the connection, with a reset if its answer was aborted."""
        if self.caller is None or not self.caller.aborted:
            super().close()
            return
        # Cheroot would shut the socket down first, and the caller of a body
        # that ends with the connection would take it for whole.
        os.close(self.socket.detach())

    def refuse(self) -> None:
        """Refuse a connection that no worker is free for."""
        data = error_response("HTTP/1.1", "503 Service Unavailable", "")
        with contextlib.suppress(OSError):
            self.socket.setblocking(False)
            self.socket.send(data)
            self.socket.shutdown(socket.SHUT_WR)
            self.socket.recv(DRAINED_BYTES)
        super().close()


@final
class Gateway(wsgi.Gateway_10):
    """WSGI gateway that hands the connection to the application."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Return the request's environ."""
        environ: dict[str, Any] = super().get_environ()  # type: ignore
        environ[CONNECTION] = self.req.conn.caller
        environ[RAW_HEADERS] = self.req.inheaders
        return environ

    def respond(self) -> None:
        """Serve the request; the last one of a stopping server closes."""
        if self.req.server.closing:
            self.req.close_connection = True
        super().respond()

    def write(self, chunk: bytes) -> None:
        """Send a chunk, or only the head in answer to HEAD."""
        if self.req.method == b"HEAD":
            self.req.ensure_headers_sent()
            return
        super().write(chunk)
