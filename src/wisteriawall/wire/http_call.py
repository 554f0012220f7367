"""HTTP calls that each use a connection of their own.

On a connection with more than one request, a late second response to one of
them could be taken for the response to the next. It is the simplest protection
against that for calls that are rare, or whose servers name no request in their
responses.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses
import socket
import struct
from typing import final
from urllib import parse

from wisteriawall import clock
from wisteriawall import errors
from wisteriawall.web import runner_connection

__all__ = ["CallFailed", "Response", "call"]

MS_PER_S = 1_000
MAX_BODY_BYTES = 16 * 1024 * 1024
NO_LINGER = struct.pack("ii", 1, 0)


@final
class CallFailed(errors.WisteriawallError):
    """No complete response arrived; the request may have been carried out."""


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Response:
    """A complete response; names in `headers` are case-insensitive."""

    status: int
    headers: Mapping[str, str]
    body: bytes


def call(
    method: str,
    url: str,
    *,
    timeout_s: float,
    total_timeout_s: float | None = None,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
    max_body_bytes: int = MAX_BODY_BYTES,
    resets: bool = False,
    check: Callable[[], None] = lambda: None,
) -> Response:
    """Send a request and return its complete response.

    A redirect is returned, not followed.

    Args:
        method: HTTP method.
        url: `http` URL with host, port, path and query.
        timeout_s: Longest time to connect, and again to wait for each part of
            the response.
        total_timeout_s: Longest time from the open connection to the end of the
            response; None sets no limit.
        body: Request body.
        headers: Further request headers.
        max_body_bytes: Maximum size of the response body.
        resets: Whether a call that fails ends its connection with a reset, so
            that no part of the request arrives later.
        check: Called on the open connection, right before the request is sent.
            What it raises ends the call.

    Raises:
        CallFailed: The connection failed, or the response is incomplete,
            malformed, interim, late or has a body over `max_body_bytes`.
    """
    try:
        parts = parse.urlsplit(url)
        connection = runner_connection.RunnerConnection(
            parts.hostname or "", parts.port, timeout=timeout_s
        )
        with (
            contextlib.closing(connection),
            _reset_on_failure(connection, resets=resets),
        ):
            connection.connect()
            if total_timeout_s is not None:
                connection.deadline_at_ms = clock.monotonic_ms() + round(
                    total_timeout_s * MS_PER_S
                )
            check()
            connection.request(
                method,
                parts._replace(scheme="", netloc="").geturl(),
                body=body,
                headers=headers,
                preload_content=False,
            )
            response = connection.getresponse()
            connection.limit_reads(max_body_bytes)
            data = response.read()
    except runner_connection.EXCHANGE_ERRORS as error:
        raise CallFailed(f"{type(error).__name__}: {error}") from error
    return Response(status=response.status, headers=response.headers, body=data)


@contextlib.contextmanager
def _reset_on_failure(
    connection: runner_connection.RunnerConnection, *, resets: bool
) -> Iterator[None]:
    """Let the close of the connection after a failure discard unsent data."""
    try:
        yield
    except BaseException:
        if resets and connection.sock is not None:
            with contextlib.suppress(OSError):
                connection.sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
                )
        raise
