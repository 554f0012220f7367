"""HTTP server on cheroot: one worker thread for each request in progress."""

from collections.abc import Callable
from collections.abc import Iterable
import threading
from typing import Any
from typing import Protocol
from typing import TypeAlias
from typing import final

from cheroot import wsgi

from wisteriawall.web import refusal as refusal_lib

__all__ = [
    "Environ",
    "HttpServer",
    "Response",
    "StartResponse",
    "read_body",
    "refuse",
    "respond",
]

Environ: TypeAlias = dict[str, Any]
Response: TypeAlias = Iterable[bytes]

DEFAULT_THREADS = 32
MAX_HEAD_BYTES = 32 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024
SOCKET_TIMEOUT_S = 30
BACKLOG = 512

REASON_BY_STATUS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    412: "Precondition Failed",
    413: "Content Too Large",
    422: "Unprocessable Content",
    428: "Precondition Required",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


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
    """

    def __init__(
        self,
        *,
        address: str,
        app: Callable[[Environ, StartResponse], Response],
        threads: int = DEFAULT_THREADS,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._server = wsgi.Server(
            (host, int(port)),
            app,
            numthreads=threads,
            max=threads,
            request_queue_size=BACKLOG,
            timeout=SOCKET_TIMEOUT_S,
        )
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
        self._thread.start()

    def stop(self) -> None:
        """Stop accepting and close idle connections."""
        self._server.stop()
        self._thread.join(timeout=5.0)


def read_body(environ: Environ) -> bytes:
    """Return the whole request body."""
    body: bytes = environ["wsgi.input"].read()
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
    start_response: StartResponse, refusal: refusal_lib.Refusal
) -> Response:
    """Send a refusal as JSON."""
    headers = []
    if refusal.retry_after_ms:
        headers.append(("Retry-After", str(refusal.retry_after_s)))
    return respond(
        start_response,
        status=refusal.status,
        body=refusal_lib.to_json(refusal),
        headers=headers,
    )


def status_line(status: int) -> str:
    """Return the status line for a numeric status."""
    return f"{status} {REASON_BY_STATUS.get(status, 'Status')}"
