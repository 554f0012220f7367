"""HTTP server on cheroot: one worker thread for each request in progress."""

from collections.abc import Callable
from collections.abc import Iterable
import http
import logging
import queue
import threading
from typing import Any
from typing import Protocol
from typing import TypeAlias
from typing import final

from cheroot import connections
from cheroot import errors as cheroot_errors
from cheroot import wsgi

from wisteriawall import clock
from wisteriawall import errors
from wisteriawall.web import connection_monitor
from wisteriawall.web import idle_connections
from wisteriawall.web import refusal as refusal_lib
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
SOCKET_TIMEOUT_S = 30
LISTEN_BACKLOG = 512

MAX_QUEUED_CONNECTIONS = 64
REQUEST_READ_TIMEOUT_S = 10.0
RESPONSE_TIMEOUT_S = 5.0
MS_PER_S = 1_000


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
    """

    def __init__(
        self,
        *,
        address: str,
        app: Callable[[Environ, StartResponse], Response],
        threads: int = DEFAULT_WORKER_THREADS,
        request_read_timeout_s: float = REQUEST_READ_TIMEOUT_S,
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
            timeout=SOCKET_TIMEOUT_S,
        )
        self._workers = worker_pool.WorkerPool(
            self._server,
            threads=threads,
            max_queued=threads + MAX_QUEUED_CONNECTIONS,
        )
        self._server.requests = self._workers
        self._server.gateway = server_connection.WsgiGateway
        self._server.monitor = self._monitor
        self._server.request_read_timeout_s = request_read_timeout_s
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
        on_timeout: Callable[[], None] | None = None,
    ) -> None:
        """Stop accepting, close idle connections and finish requests.

        Waits for responses in progress. Those that are not finished after
        `response_timeout_s` seconds are cut: their connections are reset and
        their disconnect callbacks are called. `on_timeout` is called before
        that.
        """
        self.disable_keep_alive()
        if on_timeout is not None:
            self._workers.on_timeout = on_timeout
        self._workers.stop_deadline_ms = clock.monotonic_ms() + round(
            response_timeout_s * MS_PER_S
        )
        self._server.stop()
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
    def monitor_registrations(self) -> int:
        """Return the number of disconnect callbacks and read deadlines.

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

    ConnectionClass = server_connection.ServerConnection
    monitor: connection_monitor.ConnectionMonitor
    request_read_timeout_s: float
    shutdown_timeout: float
    _connections: connections.ConnectionManager
    closes_after_response = False

    def prepare(self) -> None:
        """Bind the socket and start the workers."""
        super().prepare()
        self._connections.close()
        self._connections = idle_connections.IdleConnections(self)

    def put_conn(self, conn: server_connection.ServerConnection) -> None:
        """Wait for the next request of a connection, unless stopping."""
        self._connections.put(conn)

    def process_conn(self, conn: server_connection.ServerConnection) -> None:
        """Queue a connection for a worker; refuse it if the queue is full."""
        conn.queued_at_ms = clock.monotonic_ms()
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
    """Return how long the request's connection waited for a worker thread."""
    value: int = environ[server_connection.QUEUED_MS_KEY]
    return value


def raw_headers(environ: Environ) -> dict[str, str]:
    """Return the request headers by name in title case, such as `If-Match`.

    Unlike the `HTTP_` keys of a WSGI environ, the names distinguish hyphens
    from underscores.
    """
    headers = environ[server_connection.RAW_HEADERS_KEY]
    return {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in headers.items()
    }


def read_body(environ: Environ) -> bytes:
    """Return the whole request body and clear its read deadline.

    Raises:
        BodyRefused: The body ended early, missed the read deadline, was too
            large or was malformed.
    """
    try:
        body: bytes = environ["wsgi.input"].read()
    except cheroot_errors.MaxSizeExceeded as error:
        raise BodyRefused(_BODY_TOO_LARGE) from error
    except TimeoutError as error:
        raise BodyRefused(_BODY_TOO_SLOW) from error
    except (OSError, ValueError) as error:
        raise _incomplete_body(environ, str(error)) from error
    expected = int(environ.get("CONTENT_LENGTH") or "0")
    if not environ["wsgi.input_terminated"] and len(body) < expected:
        raise _incomplete_body(
            environ, f"got {len(body)} bytes, expected {expected}"
        )
    caller_connection(environ).clear_read_deadline()
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
_BODY_TOO_SLOW = refusal_lib.Refusal(
    status=408,
    code=refusal_lib.Code.REQUEST_TIMEOUT,
    message="the body did not arrive in time",
)


def _incomplete_body(environ: Environ, message: str) -> BodyRefused:
    """Return the refusal of a body that ended early or is malformed.

    One that the read deadline ends looks like either.
    """
    if caller_connection(environ).read_timed_out:
        return BodyRefused(_BODY_TOO_SLOW)
    return BodyRefused(
        refusal_lib.Refusal(
            status=400,
            code=refusal_lib.Code.BAD_REQUEST,
            message=f"body: {message}",
        )
    )
