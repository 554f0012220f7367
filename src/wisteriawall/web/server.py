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

from cheroot import errors as cheroot_errors
from cheroot import wsgi

from wisteriawall import errors
from wisteriawall.web import connection as connection_lib
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.web import watch as watch_lib

__all__ = [
    "BodyRefused",
    "Environ",
    "HttpServer",
    "Response",
    "StartResponse",
    "caller",
    "raw_headers",
    "read_body",
    "refuse",
    "respond",
    "status_line",
]

_LOG = logging.getLogger("http")

Environ: TypeAlias = dict[str, Any]
Response: TypeAlias = Iterable[bytes]

DEFAULT_THREADS = 32
MAX_HEAD_BYTES = 32 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024
SOCKET_TIMEOUT_S = 30
BACKLOG = 512

ACCEPTED_QUEUE = 64
READ_DEADLINE_S = 10.0
ANSWER_S = 5.0


@final
class BodyRefused(errors.WisteriawallError):
    """The request's body could not be read; `refusal` is its answer."""

    def __init__(self, refusal: refusal_lib.Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


class StartResponse(Protocol):
    """WSGI callback that sends a status line and headers."""

    def __call__(
        self, status: str, headers: list[tuple[str, str]], /
    ) -> object:
        """Send the head."""


@final
class HttpServer:
    """Serve a WSGI application on one address.

    Args:
        address: Host and port; port 0 takes a free one.
        app: WSGI application.
        threads: Requests served at once.
        read_deadline_s: Time within which head and body must arrive.
    """

    def __init__(
        self,
        *,
        address: str,
        app: Callable[[Environ, StartResponse], Response],
        threads: int = DEFAULT_THREADS,
        read_deadline_s: float = READ_DEADLINE_S,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._app = app
        self._watch = watch_lib.ConnectionWatch()
        self._server = _CherootServer(
            (host, int(port)),
            self._serve,
            numthreads=threads,
            max=threads,
            request_queue_size=BACKLOG,
            timeout=SOCKET_TIMEOUT_S,
            accepted_queue_size=threads + ACCEPTED_QUEUE,
            accepted_queue_timeout=0,
        )
        self._server.gateway = connection_lib.Gateway
        self._server.watch = self._watch
        self._server.read_deadline_s = read_deadline_s
        self._server.max_request_header_size = MAX_HEAD_BYTES
        self._server.max_request_body_size = MAX_BODY_BYTES
        self._server.prepare()
        bound_host, bound_port = self._server.bind_addr[:2]
        self.address = f"{bound_host}:{bound_port}"
        self._thread = threading.Thread(
            target=self._server.serve, name=f"http-{bound_port}", daemon=True
        )

    def start(self) -> None:
        """Start serving."""
        self._watch.start()
        self._thread.start()

    def stop(self, *, answer_s: float = ANSWER_S) -> None:
        """Stop accepting, close idle connections, end answers in progress.

        Answers that are not done within `answer_s` get no more of their
        request's body, and are waited for.
        """
        self.close_after_answers()
        self._server.shutdown_timeout = answer_s
        self._server.stop()
        self._thread.join(timeout=5.0)
        self._watch.stop()

    def close_after_answers(self) -> None:
        """Have every answer from now on close its connection."""
        self._server.closing = True

    @property
    def busy_threads(self) -> int:
        """Return how many workers serve a connection now."""
        pool = self._server.requests
        return sum(worker.conn is not None for worker in pool._threads)

    @property
    def watched(self) -> int:
        """Return how many connections are watched now."""
        return self._watch.watched

    def _serve(
        self, environ: Environ, start_response: StartResponse
    ) -> Response:
        try:
            return self._app(environ, start_response)
        except BodyRefused as refused:
            return refuse(start_response, refused.refusal)


@final
class _CherootServer(wsgi.Server):
    """Cheroot's server with this project's connections and log."""

    ConnectionClass = connection_lib.Connection
    watch: watch_lib.ConnectionWatch
    read_deadline_s: float
    closing = False

    def process_conn(self, conn: connection_lib.Connection) -> None:
        """Queue a connection for a worker, or refuse it at once."""
        try:
            self.requests.put(conn)
        except queue.Full:
            conn.refuse()

    def error_log(
        self, msg: str = "", level: int = logging.INFO, traceback: bool = False
    ) -> None:
        """Log what cheroot reports."""
        # Aborted answers end here by design, so they are no errors.
        _LOG.log(
            min(level, logging.WARNING), "http: %s", msg, exc_info=traceback
        )


def caller(environ: Environ) -> connection_lib.Caller:
    """Return the connection that a request arrived on."""
    found: connection_lib.Caller = environ[connection_lib.CONNECTION]
    return found


def raw_headers(environ: Environ) -> dict[str, str]:
    """Return the headers as they arrived, by their name in title case."""
    found = environ[connection_lib.RAW_HEADERS]
    return {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in found.items()
    }


def read_body(environ: Environ) -> bytes:
    """Return the whole request body.

    Raises:
        BodyRefused: The body was cut, too slow, too large or malformed.
    """
    try:
        body: bytes = environ["wsgi.input"].read()
    except cheroot_errors.MaxSizeExceeded as error:
        raise BodyRefused(_TOO_LARGE) from error
    except TimeoutError as error:
        raise BodyRefused(_TOO_SLOW) from error
    except OSError as error:
        # Cheroot reports a chunk beyond the limit as a plain OSError.
        raise BodyRefused(_TOO_LARGE) from error
    except ValueError as error:
        raise BodyRefused(_bad_body(str(error))) from error
    expected = int(environ.get("CONTENT_LENGTH") or "0")
    if not environ["wsgi.input_terminated"] and len(body) < expected:
        if caller(environ).expired:
            raise BodyRefused(_TOO_SLOW)
        raise BodyRefused(
            _bad_body(f"got {len(body)} bytes, expected {expected}")
        )
    caller(environ).end_reading()
    return body


def respond(
    start_response: StartResponse,
    *,
    status: int,
    body: bytes,
    content_type: str = "application/json",
    headers: Iterable[tuple[str, str]] = (),
) -> Response:
    """Send a complete response."""
    head = [
        ("Content-Type", content_type),
        ("Content-Length", str(len(body))),
        *headers,
    ]
    start_response(status_line(status), head)
    return [body]


def refuse(
    start_response: StartResponse,
    refusal: refusal_lib.Refusal,
    *,
    exact_retry: bool = False,
) -> Response:
    """Send a refusal as JSON.

    With `exact_retry`, `Retry-After` has a fraction where it needs one; only
    some callers read it.
    """
    headers = []
    if refusal.retry_after_ms:
        after = str(refusal.retry_after_s)
        if exact_retry:
            after = f"{refusal.retry_after_ms / 1000:.3f}"
        headers.append(("Retry-After", after))
    if refusal.allow:
        headers.append(("Allow", refusal.allow))
    return respond(
        start_response,
        status=refusal.status,
        body=refusal_lib.to_json(refusal),
        headers=headers,
    )


def status_line(status: int) -> str:
    """Return the status line for a numeric status."""
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"


_TOO_LARGE = refusal_lib.Refusal(
    status=413,
    code=refusal_lib.Code.BODY_TOO_LARGE,
    message=f"expected a body of at most {MAX_BODY_BYTES} bytes",
)
_TOO_SLOW = refusal_lib.Refusal(
    status=408,
    code=refusal_lib.Code.REQUEST_TIMEOUT,
    message="the body did not arrive in time",
)


def _bad_body(message: str) -> refusal_lib.Refusal:
    return refusal_lib.Refusal(
        status=400,
        code=refusal_lib.Code.BAD_REQUEST,
        message=f"body: {message}",
    )
