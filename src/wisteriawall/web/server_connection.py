"""Cheroot connection, request and WSGI gateway classes of the HTTP server.

They send errors as JSON, bound the time that a request takes to arrive and
report callers that disconnect.
"""

import array
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import errno
import fcntl
import logging
import os
import select
import socket
import struct
import time
from typing import Any
from typing import final

from cheroot import errors as cheroot_errors
from cheroot import server as cheroot_server
from cheroot import wsgi

from wisteriawall import clock
from wisteriawall.web import chunked_body
from wisteriawall.web import connection_monitor
from wisteriawall.web import refusal as refusal_lib

__all__ = [
    "CONNECTION_KEY",
    "QUEUED_MS_KEY",
    "RAW_HEADERS_KEY",
    "CallerConnection",
    "ServerConnection",
    "WsgiGateway",
    "error_response",
]

_LOG = logging.getLogger("http")

# Keys of the WSGI environ.
CONNECTION_KEY = "wisteriawall.connection"
RAW_HEADERS_KEY = "wisteriawall.headers"
QUEUED_MS_KEY = "wisteriawall.queued_ms"
# SO_LINGER with a timeout of 0 makes `close` send a TCP reset.
LINGER_RESET = struct.pack("ii", 1, 0)
CODE_BY_STATUS = {
    408: refusal_lib.Code.REQUEST_TIMEOUT,
    413: refusal_lib.Code.BODY_TOO_LARGE,
    414: refusal_lib.Code.BODY_TOO_LARGE,
    500: refusal_lib.Code.INTERNAL,
    503: refusal_lib.Code.OVERLOADED,
}
AUTHORIZATION = b"Authorization"
OVERLOAD_RETRY_AFTER_S = 1
MAX_DISCARDED_BYTES = 65_536
# Longest wait for the end of a response to be sent, and interval of the checks.
MAX_LINGER_MS = 500
LINGER_POLL_MS = 10
# Linux's ioctl for the number of bytes in the send queue that are not sent yet.
SIOCOUTQNSD = 0x894B


@final
class CallerConnection:
    """The connection to a caller while its request is in progress."""

    def __init__(
        self,
        connection: socket.socket,
        monitor: connection_monitor.ConnectionMonitor,
    ) -> None:
        self._socket = connection
        self._monitor = monitor
        self.aborted = False
        # Whether the response is sent although the body has not arrived.
        self.skips_body = False
        self._read_deadline_s = float("inf")

    @property
    def read_timed_out(self) -> bool:
        """Whether the read deadline of the request has passed."""
        return time.monotonic() >= self._read_deadline_s

    def start_read_deadline(self, *, seconds: float) -> None:
        """Set the read deadline for the headers and body, from now."""
        self._read_deadline_s = time.monotonic() + seconds
        self._monitor.set_read_deadline(self._socket, seconds=seconds)

    def clear_read_deadline(self) -> None:
        """Clear the read deadline, once the whole request has been read."""
        self._read_deadline_s = float("inf")
        self._monitor.clear_read_deadline(self._socket)

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Call `callback` in the monitor thread if the caller disconnects."""
        self._monitor.on_disconnect(self._socket, callback)

    def stop_monitoring(self) -> None:
        """Clear the read deadline and the disconnect callback."""
        self._monitor.stop_monitoring(self._socket)

    def abort_response(self) -> None:
        """Make `close` send a TCP reset.

        The caller then can't mistake a truncated response for a complete one.
        """
        self.aborted = True
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
        )

    def cut(self) -> None:
        """Reset the connection as soon as its thread closes it.

        A thread that reads the request or runs the application is told to end.
        """
        with contextlib.suppress(OSError):
            self.abort_response()
            self._monitor.report_disconnect(self._socket)
            self._socket.shutdown(socket.SHUT_RD)


def error_response(protocol: str, status: str, message: str) -> bytes:
    """Return an HTTP response in JSON for an error that cheroot reports.

    Args:
        protocol: HTTP version of the response.
        status: Status code and reason phrase.
        message: Error message; if empty, the reason phrase is sent.
    """
    status_code = int(status[:3])
    # Cheroot sends 500 after the application was called, and every other
    # status before that.
    run_state = refusal_lib.RunState
    refusal = refusal_lib.Refusal(
        status=status_code,
        code=CODE_BY_STATUS.get(status_code, refusal_lib.Code.BAD_REQUEST),
        message=message or status[4:],
        run=run_state.UNKNOWN if status_code == 500 else run_state.NOT_RUN,
    )
    body = refusal_lib.encode_json(refusal)
    header_lines = [
        f"{protocol} {status}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    if status_code == 503:
        header_lines.append(f"Retry-After: {OVERLOAD_RETRY_AFTER_S}")
    return "\r\n".join([*header_lines, "", ""]).encode("latin-1") + body


@final
class _RequestHeaders(dict[bytes, bytes]):
    """Request headers by name, with all values of a repeated `Authorization`.

    Cheroot would keep the last value only.
    """

    def __setitem__(self, name: bytes, value: bytes) -> None:
        """Set a header, or add a value to the one that was set."""
        if name == AUTHORIZATION and name in self:
            value = b", ".join((self[name], value))
        super().__setitem__(name, value)


@final
class HttpRequest(cheroot_server.HTTPRequest):
    """Request that sends cheroot's own errors as JSON.

    Its connection is closed unless the request was read to its end, so that the
    rest of it can't be taken for a request.
    """

    def read_request_headers(self) -> bool:
        """Read the headers; return whether to go on with the request."""
        self.inheaders = _RequestHeaders()
        if not super().read_request_headers():  # type: ignore[no-untyped-call]
            return False
        # Cheroot takes any integer, and reads without bound if it is negative.
        if self.inheaders.get(b"Content-Length", b"0").isdigit():
            return True
        self.simple_response("400 Bad Request", "malformed Content-Length")
        return False

    def respond(self) -> None:
        """Call the application and send its response."""
        if not self.chunked_read:
            super().respond()
            return
        self.rfile = chunked_body.ChunkedBody(
            self.conn.rfile, max_bytes=self.server.max_request_body_size
        )
        self.server.gateway(self).respond()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")

    def send_headers(self) -> None:
        """Send the head; ask the caller to close if there is a reason."""
        if self.server.closes_after_response:
            self.close_connection = True
        if not self.close_connection and not self._read_to_end():
            self.close_connection = True
        super().send_headers()

    def _read_to_end(self) -> bool:
        """Drop the rest of the body; return whether its end was reached.

        Waits for the rest until the read deadline, as closing the connection
        could reset it before the caller has read the response.
        """
        headers = self.inheaders
        if self.conn.caller.skips_body:
            return False
        if b"Transfer-Encoding" in headers and (
            b"Content-Length" in headers or not self.chunked_read
        ):
            # A proxy may see the end of the body elsewhere.
            return False
        with contextlib.suppress(
            OSError, ValueError, cheroot_errors.MaxSizeExceeded
        ):
            self.rfile.read()
        # After the deadline the connection is shut down for reading.
        if self.conn.caller.read_timed_out:
            return False
        if self.chunked_read:
            return bool(self.rfile.is_complete)
        return bool(self.rfile.remaining == 0)

    def simple_response(self, status: object, msg: object = "") -> None:
        """Send an error and close, even while the caller still sends."""
        self.close_connection = True
        text = msg.decode("latin-1") if isinstance(msg, bytes) else str(msg)
        if self.conn.caller.read_timed_out:
            status, text = (
                "408 Request Timeout",
                "the request came too slowly",
            )
        data = error_response(self.server.protocol, str(status), text)
        try:
            self.conn.wfile.write(data)
        except OSError as error:
            if error.args[0] not in cheroot_errors.socket_errors_to_ignore:
                raise


def _unsent_bytes(connection: socket.socket) -> int:
    count = array.array("i", [0])
    fcntl.ioctl(connection, SIOCOUTQNSD, count)
    return count[0]


@final
class ServerConnection(cheroot_server.HTTPConnection):
    """Server connection that sets a read deadline for each request."""

    RequestHandlerClass = HttpRequest
    caller: CallerConnection | None = None
    # When the connection was queued for a worker, on the monotonic clock, and
    # how long it waited there.
    queued_at_ms = 0
    queued_ms = 0

    def communicate(self) -> bool:
        """Serve one request; return whether to keep the connection open."""
        self.queued_ms = clock.monotonic_ms() - self.queued_at_ms
        self.caller = CallerConnection(self.socket, self.server.monitor)
        self.caller.start_read_deadline(
            seconds=self.server.request_read_timeout_s
        )
        try:
            keep_open: bool = super().communicate()  # type: ignore[no-untyped-call]
            return keep_open
        finally:
            self.caller.stop_monitoring()

    def close(self) -> None:
        """Close the connection, with a reset if its response was aborted."""
        if self.caller is None or not self.caller.aborted:
            self._finish_sending()
            super().close()
            return
        # Cheroot's `close` shuts the socket down first. A response body whose
        # end is marked only by the end of the connection would then look
        # complete to the caller.
        os.close(self.socket.detach())

    def cut(self) -> None:
        """End the request in progress with a reset, from another thread."""
        caller = self.caller
        if caller is not None:
            caller.cut()

    def _finish_sending(self) -> None:
        """Discard input until the response is sent, for `MAX_LINGER_MS`.

        Input that is unread at the close, or arrives after it, makes the kernel
        send a reset and discard the rest of the response.
        """
        end_ms = clock.monotonic_ms() + MAX_LINGER_MS
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
            self.socket.setblocking(False)
            readable = select.poll()
            readable.register(self.socket, select.POLLIN)
            wait_ms = 0
            while clock.monotonic_ms() < end_ms:
                if readable.poll(wait_ms):
                    if not self.socket.recv(MAX_DISCARDED_BYTES):
                        return
                elif not _unsent_bytes(self.socket):
                    return
                wait_ms = LINGER_POLL_MS

    def close_unserved(self) -> None:
        """Close without serving; refuse a request that has begun to arrive."""
        if self._has_input():
            self.refuse()
        else:
            self.close_idle()

    def close_idle(self) -> None:
        """Close without waiting; the kernel sends the rest of the response."""
        super().close()

    def _has_input(self) -> bool:
        if self.rfile.has_data():
            return True
        try:
            self.socket.setblocking(False)
            return bool(self.socket.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def refuse(self) -> None:
        """Send status 503 and close, when no worker can serve the request."""
        _LOG.info("http: refused a request of %s unread", self.remote_addr)
        data = error_response("HTTP/1.1", "503 Service Unavailable", "")
        with contextlib.suppress(OSError):
            self.socket.setblocking(False)
            self.socket.send(data)
            self.socket.shutdown(socket.SHUT_WR)
            # Unread input would make `close` reset the connection, and the
            # caller could lose the response.
            self.socket.recv(MAX_DISCARDED_BYTES)
        super().close()


@final
class WsgiGateway(wsgi.Gateway_10):
    """WSGI gateway with the connection and raw headers in the environ.

    It closes every response, and ends one that fails with status 500 or, once
    its head was sent, with a reset.
    """

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Return the WSGI environ of the request."""
        environ: dict[str, Any] = super().get_environ()  # type: ignore
        environ[CONNECTION_KEY] = self.req.conn.caller
        environ[RAW_HEADERS_KEY] = self.req.inheaders
        environ[QUEUED_MS_KEY] = self.req.conn.queued_ms
        return environ

    def respond(self) -> None:
        """Call the application, send its response and close that.

        Raises:
            ConnectionAbortedError: The response was not sent completely.
        """
        response: Iterable[bytes] = ()
        try:
            response = self.req.server.wsgi_app(self.env, self.start_response)
            for chunk in filter(None, response):
                self.write(chunk)
            self._send_head()
        except Exception as error:
            self._end_failed(error)
            # Cheroot neither logs nor answers an error with this number.
            raise ConnectionAbortedError(
                errno.ECONNABORTED, "the response was not sent completely"
            ) from error
        finally:
            self._close(response)

    def write(self, chunk: bytes) -> None:
        """Send a body chunk; for a HEAD request send only the headers."""
        self._send_head()
        if self.req.method == b"HEAD":
            return
        with self._reset_on_error():
            super().write(chunk)

    def _send_head(self) -> None:
        """Send the head, unless that was done."""
        if not self.started_response:
            raise RuntimeError("the application has not started a response")
        with self._reset_on_error():
            self.req.ensure_headers_sent()

    @contextlib.contextmanager
    def _reset_on_error(self) -> Iterator[None]:
        """Reset the connection if sending to the caller fails."""
        try:
            yield
        except OSError:
            self.req.conn.caller.abort_response()
            raise

    def _end_failed(self, error: Exception) -> None:
        """Send status 500 if nothing was sent, otherwise reset."""
        caller = self.req.conn.caller
        if caller.aborted:
            _LOG.info("http: the response was aborted: %r", error)
        else:
            _LOG.warning("http: the application failed", exc_info=error)
        if caller.aborted or self.req.sent_headers:
            caller.abort_response()
            return
        # The application was called, so a slow caller is not the reason.
        caller.clear_read_deadline()
        self.req.simple_response("500 Internal Server Error")
        self.req.sent_headers = True

    def _close(self, response: Iterable[bytes]) -> None:
        close = getattr(response, "close", None)
        if close is None:
            return
        try:
            close()
        except Exception as error:
            _LOG.warning("http: closing the response failed", exc_info=error)
