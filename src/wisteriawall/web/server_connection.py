"""Cheroot connection, request and WSGI gateway classes of the HTTP server.

They send errors as JSON and report callers that disconnect.
"""

import array
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import enum
import errno
import fcntl
import logging
import os
import select
import socket
import struct
import threading
from typing import Any
from typing import final

from cheroot import errors as cheroot_errors
from cheroot import server as cheroot_server
from cheroot import wsgi

from wisteriawall import clock
from wisteriawall.web import connection_monitor
from wisteriawall.web import error_response
from wisteriawall.web import field_reader
from wisteriawall.web import received_body
from wisteriawall.web import request_reader
from wisteriawall.web import response_writer

__all__ = [
    "CONNECTION_KEY",
    "QUEUED_MS_KEY",
    "RAW_HEADERS_KEY",
    "CallerConnection",
    "Phase",
    "ServerConnection",
    "WsgiGateway",
    "unsent_bytes",
]

_LOG = logging.getLogger("http")

# Keys of the WSGI environ.
CONNECTION_KEY = "wisteriawall.connection"
RAW_HEADERS_KEY = "wisteriawall.headers"
QUEUED_MS_KEY = "wisteriawall.queued_ms"
# SO_LINGER with a timeout of 0 makes `close` send a TCP reset.
LINGER_RESET = struct.pack("ii", 1, 0)
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
        writer: response_writer.ResponseWriter | None = None,
    ) -> None:
        self._socket = connection
        self._monitor = monitor
        self._writer = writer
        self._lock = threading.Lock()
        self._is_finished = False
        self.aborted = False

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes of the answer the caller's host lacks."""
        return self._writer.unsent_bytes if self._writer is not None else 0

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Call `callback` in the monitor thread if the caller disconnects."""
        self._monitor.on_disconnect(self._socket, callback)

    def stop_monitoring(self) -> None:
        """Clear the disconnect callback."""
        self._monitor.stop_monitoring(self._socket)

    def abort_response(self) -> None:
        """Make `close` send a TCP reset.

        The caller then can't mistake a truncated response for a complete one.
        """
        self.aborted = True
        if self._writer is not None:
            self._writer.is_aborted = True
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
        )

    def finish_response(self) -> None:
        """Note that the kernel has the whole response.

        A reset would take back what it has not sent yet.
        """
        with self._lock:
            self._is_finished = not self.aborted

    def cut(self) -> None:
        """Reset the connection as soon as its thread closes it.

        A thread that writes or runs the application is told to end. After a
        response that is finished the connection closes without a reset.
        """
        with contextlib.suppress(OSError):
            with self._lock:
                if not self._is_finished:
                    self.abort_response()
            self._monitor.report_disconnect(self._socket)
            self._socket.shutdown(socket.SHUT_RD)


@final
class HttpRequest(cheroot_server.HTTPRequest):
    """Request that sends cheroot's own errors as JSON.

    Its connection is closed unless the request was read to its end, so that the
    rest of it can't be taken for a request.
    """

    header_reader = field_reader.FieldReader()

    def parse_head(self) -> None:
        """Parse the head, and set `ready` if that succeeds."""
        super().parse_request()

    def parse_request(self) -> None:
        """Do nothing: the head was parsed before."""

    def read_request_headers(self) -> bool:
        """Read the headers; return whether to go on with the request."""
        if not super().read_request_headers():  # type: ignore[no-untyped-call]
            return False
        # Cheroot takes any integer, and reads without bound if it is negative.
        if self.inheaders.get(b"Content-Length", b"0").isdigit():
            return True
        self.simple_response("400 Bad Request", "malformed Content-Length")
        return False

    def respond(self) -> None:
        """Call the application and send its response."""
        self.rfile = self.conn.body
        self.server.gateway(self).respond()
        if self.chunked_write:
            self.conn.wfile.finish_with(b"0\r\n\r\n")

    def send_headers(self) -> None:
        """Send the head; ask the caller to close if there is a reason."""
        if self.server.closes_after_response or not self._was_read_to_end():
            self.close_connection = True
        super().send_headers()

    def _was_read_to_end(self) -> bool:
        headers = self.inheaders
        if b"Transfer-Encoding" in headers and (
            b"Content-Length" in headers or not self.chunked_read
        ):
            # A proxy may see the end of the body elsewhere.
            return False
        return bool(self.rfile.is_complete)

    def simple_response(self, status: object, msg: object = "") -> None:
        """Send an error and close, even while the caller still sends."""
        self.close_connection = True
        text = msg.decode("latin-1") if isinstance(msg, bytes) else str(msg)
        data = error_response.encode(str(status), text, self.server.protocol)
        try:
            self.conn.wfile.write(data)
        except OSError as error:
            if error.args[0] not in cheroot_errors.socket_errors_to_ignore:
                raise


def unsent_bytes(connection: socket.socket) -> int:
    """Return how many bytes the kernel has not sent yet."""
    count = array.array("i", [0])
    fcntl.ioctl(connection, SIOCOUTQNSD, count)
    return count[0]


@final
class Phase(enum.Enum):
    """What a connection does.

    Those that are SERVING belong to a worker thread or wait for one, the others
    to the event loop.
    """

    IDLE = enum.auto()
    READING = enum.auto()
    SERVING = enum.auto()
    DRAINING = enum.auto()
    LINGERING = enum.auto()


@final
class ServerConnection(cheroot_server.HTTPConnection):
    """Server connection whose requests are read by the event loop.

    Attributes:
        phase: What the connection does.
        reader: Reads the current request; None while idle.
        body: Body of the request that is served.
        input: Bytes that follow the request that is served.
        held_bytes: Bytes reserved for the current request.
        received_bytes: Bytes received of the current request.
        since_ms: When the phase began, on the monotonic clock.
        keeps_open: Whether the connection goes on once its answer is sent.
        waits_for_end: Whether closing waits until the caller closes, too.
    """

    caller: CallerConnection | None = None

    def __init__(
        self,
        server: Any,
        connection: socket.socket,
        peer: tuple[str, int],
        writer: response_writer.ResponseWriter,
    ) -> None:
        # Cheroot's constructor opens buffered files, which aren't used.
        self.server = server
        self.socket = connection
        self.remote_addr, self.remote_port = peer
        self.wfile = writer
        self.rfile = None
        self.ssl_env: dict[str, str] = {}
        self.requests_seen = 0
        self.RequestHandlerClass = self._take_request
        self.fd = connection.fileno()
        self.phase = Phase.IDLE
        self.reader: request_reader.RequestReader | None = None
        self.body: received_body.ReceivedBody | None = None
        self.input = b""
        self.held_bytes = 0
        self.received_bytes = 0
        self.rate_mark_ms = 0
        self.rate_mark_bytes = 0
        self.last_read_ms = 0
        self.since_ms = clock.monotonic_ms()
        self.keeps_open = False
        self.waits_for_end = False
        # When the first bytes of the request arrived, and how long it waited
        # from then on for a worker.
        self.queued_at_ms = 0
        self.queued_ms = 0

    @property
    def is_unused(self) -> bool:
        """Whether no request has begun to arrive on this connection."""
        return self.phase is Phase.IDLE and not self.requests_seen

    def new_request(self) -> HttpRequest:
        """Return a request of this connection that is not parsed yet."""
        return HttpRequest(self.server, self)

    def _take_request(self, server: Any, connection: Any) -> Any:
        """Return the parsed request; stands in for cheroot's request class."""
        del server, connection
        assert self.reader is not None
        return self.reader.request

    def communicate(self) -> bool:
        """Serve one request; return whether to keep the connection open."""
        self.queued_ms = clock.monotonic_ms() - self.queued_at_ms
        self.wfile.begin_answer()
        self.caller = CallerConnection(
            self.socket, self.server.monitor, self.wfile
        )
        try:
            keep_open: bool = super().communicate()  # type: ignore[no-untyped-call]
            if not self.wfile.has_pending:
                self.caller.finish_response()
            return keep_open
        finally:
            self.caller.stop_monitoring()
            self.requests_seen += 1
            self.waits_for_end = not (self.body and self.body.is_complete)
            self.reader = self.body = None

    def close(self) -> None:
        """Close the connection, with a reset if its response was aborted."""
        self.server.loop.release_bytes(self)
        if self.caller is not None and self.caller.aborted:
            self.reset()
            return
        with contextlib.suppress(OSError):
            if not self.wfile.has_pending:
                self.socket.shutdown(socket.SHUT_WR)
                if not (self.waits_for_end or self._has_input()) and (
                    not unsent_bytes(self.socket)
                ):
                    self.close_idle()
                    return
        if not self.server.loop.finish(self):
            self._finish_sending()

    def reset(self) -> None:
        """Close the connection with a reset."""
        self.server.loop.forget(self)
        # Cheroot's `close` shuts the socket down first. A response body whose
        # end is marked only by the end of the connection would then look
        # complete to the caller.
        with contextlib.suppress(OSError):
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
            )
            os.close(self.socket.detach())

    def cut(self) -> None:
        """End the request in progress with a reset, from another thread."""
        caller = self.caller
        if caller is not None:
            caller.cut()

    def _finish_sending(self) -> None:
        """Send the rest of the response, then discard input for a while.

        Input that is unread at the close, or arrives after it, makes the kernel
        send a reset and discard the rest of the response.
        """
        try:
            self.wfile.flush()
        except OSError:
            self.reset()
            return
        if self.caller is not None:
            self.caller.finish_response()
        end_ms = clock.monotonic_ms() + MAX_LINGER_MS
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
            readable = select.poll()
            readable.register(self.socket, select.POLLIN)
            wait_ms = 0
            while clock.monotonic_ms() < end_ms:
                if readable.poll(wait_ms):
                    if not self.socket.recv(MAX_DISCARDED_BYTES):
                        break
                elif not (self.waits_for_end or unsent_bytes(self.socket)):
                    break
                wait_ms = LINGER_POLL_MS
        self.close_idle()

    def close_unserved(self) -> None:
        """Close without serving; refuse a request that has begun to arrive."""
        if self.phase in (Phase.READING, Phase.SERVING) or self._has_input():
            self.refuse()
        else:
            self.close_idle()

    def close_idle(self) -> None:
        """Close without waiting; the kernel sends the rest of the response."""
        self.server.loop.forget(self)
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()

    def _has_input(self) -> bool:
        if self.input:
            return True
        try:
            return bool(self.socket.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def refuse(self) -> None:
        """Send status 503 and close, when the request can't be served."""
        data = error_response.encode("503 Service Unavailable")
        self.server.loop.log_refusal(self, data)
        with contextlib.suppress(OSError):
            self.socket.send(data)
            self.socket.shutdown(socket.SHUT_WR)
        if not self.server.loop.finish(self):
            # Unread input would make `close` reset the connection, and the
            # caller could lose the response.
            with contextlib.suppress(OSError):
                self.socket.recv(MAX_DISCARDED_BYTES)
            self.close_idle()


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
            if self.remaining_bytes_out == len(chunk):
                # The end of the answer needs no thread that waits for it.
                self.remaining_bytes_out = 0
                self.req.conn.wfile.finish_with(chunk)
            else:
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
