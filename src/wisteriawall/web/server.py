"""HTTP server on cheroot.

An event loop reads requests; each complete one is served by a worker thread.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import http
import logging
import queue
import threading
from typing import Any
from typing import Protocol
from typing import TypeAlias
from typing import final

from cheroot import errors as cheroot_errors
from cheroot import wsgi

from wisteriawall import clock
from wisteriawall import errors
from wisteriawall.web import connection_loop
from wisteriawall.web import connection_monitor
from wisteriawall.web import memory_budget
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.web import request_reader
from wisteriawall.web import response_writer
from wisteriawall.web import server_connection
from wisteriawall.web import worker_pool

__all__ = [
    "BodyRefused",
    "Environ",
    "HttpServer",
    "Response",
    "StartResponse",
    "caller_connection",
    "queued_ms",
    "raw_headers",
    "read_body",
    "send_refusal",
    "send_response",
    "status_line",
]

_LOG = logging.getLogger("http")

# WSGI's `environ` dictionary and its iterable response body.
Environ: TypeAlias = dict[str, Any]
Response: TypeAlias = Iterable[bytes]

DEFAULT_WORKER_THREADS = 32
MAX_HEADER_BYTES = 32 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024
LISTEN_BACKLOG = 512

MAX_QUEUED_CONNECTIONS = 64
REQUEST_READ_TIMEOUT_S = 10.0
RESPONSE_TIMEOUT_S = 5.0
MS_PER_S = 1_000
MIN_DRAIN_MS = 100
DEFAULT_READ_LIMITS = request_reader.ReadLimits()
DEFAULT_WRITE_LIMITS = response_writer.WriteLimits()


@final
class BodyRefused(errors.WisteriawallError):
    """The request body could not be read.

    Args:
        refusal: Sent to the caller if the application does not catch this
            error.
    """

    def __init__(self, refusal: refusal_lib.Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


class StartResponse(Protocol):
    """WSGI's `start_response` callback."""

    def __call__(
        self, status: str, headers: list[tuple[str, str]], /
    ) -> object:
        """Set the status line and headers that precede the first body bytes."""


@final
class HttpServer:
    """HTTP server that runs a WSGI application on one listening socket.

    The constructor binds the socket, so `address` holds the chosen port
    before `start` is called.

    Args:
        address: Host and port to listen on; with port 0 the kernel chooses.
        app: WSGI application; it runs in the worker threads.
        threads: Number of worker threads, each serving one request.
        request_read_timeout_s: Seconds within which the headers and body of a
            request must arrive; a slower one is refused with status 408.
        budget: Memory and connections, shared by the servers of a process;
            None for one of this server alone.
        check_head: Called with method, target and headers once the head of a
            request is complete, in the event loop; it must not block. Its
            refusal is sent before the body is read, and the connection closed.
            Repeated `Authorization` fields are joined by a comma.
        drops_body: Whether the application reads no bodies; they are dropped
            as they arrive.
        read_limits: Further limits on requests.
        write_limits: Limits on callers that read slowly.
    """

    def __init__(
        self,
        *,
        address: str,
        app: Callable[[Environ, StartResponse], Response],
        threads: int = DEFAULT_WORKER_THREADS,
        request_read_timeout_s: float = REQUEST_READ_TIMEOUT_S,
        budget: memory_budget.MemoryBudget | None = None,
        check_head: request_reader.CheckHead | None = None,
        drops_body: bool = False,
        read_limits: request_reader.ReadLimits = DEFAULT_READ_LIMITS,
        write_limits: response_writer.WriteLimits = DEFAULT_WRITE_LIMITS,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._app = app
        self._monitor = connection_monitor.ConnectionMonitor()
        self._server = _CherootServer(
            (host, int(port)),
            self._call_app,
            numthreads=threads,
            max=threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=read_limits.idle_ms // MS_PER_S,
        )
        self._workers = worker_pool.WorkerPool(
            self._server,
            threads=threads,
            max_queued=threads + MAX_QUEUED_CONNECTIONS,
        )
        self._server.requests = self._workers
        self._server.gateway = server_connection.WsgiGateway
        self._server.monitor = self._monitor
        limits = dataclasses.replace(
            read_limits, request_ms=round(request_read_timeout_s * MS_PER_S)
        )
        self._server.new_loop = lambda: connection_loop.ConnectionLoop(
            self._server,
            budget=budget or memory_budget.for_limits(),
            read_limits=limits,
            write_limits=write_limits,
            check_head=check_head,
            drops_body=drops_body,
        )
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.max_request_body_size = MAX_BODY_BYTES
        self._server.prepare()
        bound_host, bound_port = self._server.bind_addr[:2]
        self.address = f"{bound_host}:{bound_port}"
        self._thread = threading.Thread(
            target=self._server.serve, name=f"http-{bound_port}", daemon=True
        )

    def start(self) -> None:
        """Accept connections, in a background thread."""
        self._monitor.start()
        self._thread.start()

    def stop(
        self,
        *,
        response_timeout_s: float = RESPONSE_TIMEOUT_S,
        delivery_timeout_s: float = 0.0,
        on_timeout: Callable[[], None] | None = None,
    ) -> None:
        """Stop accepting, close idle connections and finish requests.

        Waits for responses in progress. If some are not finished after
        `response_timeout_s` seconds, `on_timeout` is called, which may end them
        with an answer. Those that are left a moment later, or after
        `delivery_timeout_s` more seconds if that is longer, are cut: their
        connections are reset and their disconnect callbacks are called.
        """
        self.disable_keep_alive()
        if on_timeout is not None:
            self._workers.on_timeout = on_timeout
        deadline_ms = clock.monotonic_ms() + round(
            response_timeout_s * MS_PER_S
        )
        cut_at_ms = deadline_ms + round(delivery_timeout_s * MS_PER_S)
        self._workers.stop_deadline_ms = deadline_ms
        self._workers.cut_at_ms = cut_at_ms
        loop = self._server.loop
        loop.drain_deadline_ms = cut_at_ms
        self._server.stop()
        remaining_ms = max(MIN_DRAIN_MS, cut_at_ms - clock.monotonic_ms())
        loop.drain_deadline_ms = clock.monotonic_ms() + remaining_ms
        loop.join_drainer(2 * remaining_ms / MS_PER_S)
        self._thread.join(timeout=5.0)
        self._monitor.stop()

    def disable_keep_alive(self) -> None:
        """Close each connection after the next response that it begins."""
        self._server.closes_after_response = True

    @property
    def busy_worker_threads(self) -> int:
        """Return the number of workers that are serving a connection."""
        return self._workers.busy_threads

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return self._server.loop.open_connections

    @property
    def monitor_registrations(self) -> int:
        """Return the number of disconnect callbacks.

        It is 0 when no request is in progress.
        """
        return self._monitor.registration_count

    def _call_app(
        self, environ: Environ, start_response: StartResponse
    ) -> Response:
        try:
            return self._app(environ, start_response)
        except BodyRefused as error:
            return send_refusal(start_response, error.refusal)


@final
class _CherootServer(wsgi.Server):
    """Cheroot server that uses `ServerConnection` and the `http` logger."""

    monitor: connection_monitor.ConnectionMonitor
    new_loop: Callable[[], connection_loop.ConnectionLoop]
    loop: connection_loop.ConnectionLoop
    shutdown_timeout: float
    _connections: Any
    closes_after_response = False

    def prepare(self) -> None:
        """Bind the socket and start the workers."""
        super().prepare()
        self._connections.close()
        self.loop = self._connections = self.new_loop()

    def put_conn(self, conn: server_connection.ServerConnection) -> None:
        """Wait for the next request of a connection, unless stopping."""
        self.loop.put(conn)

    def process_conn(self, conn: server_connection.ServerConnection) -> None:
        """Queue a connection for a worker; refuse it if the queue is full."""
        try:
            self.requests.put(conn)
        except queue.Full:
            conn.refuse()

    def error_log(
        self, msg: str = "", level: int = logging.INFO, traceback: bool = False
    ) -> None:
        """Log a message of cheroot, at level WARNING or below."""
        # An aborted response is reported here too. It is intended, so it must
        # not be logged as an error.
        _LOG.log(
            min(level, logging.WARNING), "http: %s", msg, exc_info=traceback
        )


def caller_connection(environ: Environ) -> server_connection.CallerConnection:
    """Return the connection on which the request arrived."""
    connection: server_connection.CallerConnection = environ[
        server_connection.CONNECTION_KEY
    ]
    return connection


def queued_ms(environ: Environ) -> int:
    """Return the time from the request's first bytes to its worker thread."""
    value: int = environ[server_connection.QUEUED_MS_KEY]
    return value


def raw_headers(environ: Environ) -> dict[str, str]:
    """Return the request headers by name in title case, such as `If-Match`.

    Unlike the `HTTP_` keys of a WSGI environ, the names distinguish hyphens
    from underscores.
    """
    return request_reader.header_texts(
        environ[server_connection.RAW_HEADERS_KEY]
    )


def read_body(environ: Environ) -> bytes:
    """Return the whole request body.

    Raises:
        BodyRefused: The body ended early, was too large or was malformed.
    """
    try:
        body: bytes = environ["wsgi.input"].read()
    except cheroot_errors.MaxSizeExceeded as error:
        raise BodyRefused(_BODY_TOO_LARGE) from error
    except ValueError as error:
        raise _incomplete_body(str(error)) from error
    if not environ["wsgi.input"].is_complete:
        expected = environ.get("CONTENT_LENGTH")
        raise _incomplete_body(f"got {len(body)} bytes, expected {expected}")
    return body


def send_response(
    start_response: StartResponse,
    *,
    status: int,
    body: bytes,
    content_type: str = "application/json",
    headers: Iterable[tuple[str, str]] = (),
) -> Response:
    """Start a response with a known body and return that body."""
    all_headers = [
        ("Content-Type", content_type),
        ("Content-Length", str(len(body))),
        *headers,
    ]
    start_response(status_line(status), all_headers)
    return [body]


def send_refusal(
    start_response: StartResponse,
    refusal: refusal_lib.Refusal,
    *,
    fractional_retry_after: bool = False,
) -> Response:
    """Send a refusal as a JSON response.

    With `fractional_retry_after`, `Retry-After` holds seconds with three
    decimals. The HTTP standard allows whole seconds only, and not every caller
    accepts decimals.
    """
    headers = []
    if refusal.retry_after_ms:
        retry_after = str(refusal.retry_after_s)
        if fractional_retry_after:
            retry_after = f"{refusal.retry_after_ms / 1000:.3f}"
        headers.append(("Retry-After", retry_after))
    if refusal.allow:
        headers.append(("Allow", refusal.allow))
    return send_response(
        start_response,
        status=refusal.status,
        body=refusal_lib.encode_json(refusal),
        headers=headers,
    )


def status_line(status: int) -> str:
    """Return the status with its reason phrase, such as `404 Not Found`."""
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"


_BODY_TOO_LARGE = refusal_lib.Refusal(
    status=413,
    code=refusal_lib.Code.BODY_TOO_LARGE,
    message=f"expected a body of at most {MAX_BODY_BYTES} bytes",
)


def _incomplete_body(message: str) -> BodyRefused:
    """Return the refusal of a body that ended early or is malformed."""
    return BodyRefused(
        refusal_lib.Refusal(
            status=400,
            code=refusal_lib.Code.BAD_REQUEST,
            message=f"body: {message}",
        )
    )
