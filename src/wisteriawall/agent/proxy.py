"""The agent's HTTP proxy, through which entries reach the upstream."""

from collections.abc import Callable
from collections.abc import Iterator
import functools
import hmac
import logging
from typing import final

import urllib3.exceptions
import urllib3.util

from wisteriawall import clock
from wisteriawall.agent import events
from wisteriawall.observability import metrics as metrics_lib
from wisteriawall.web import connection_pool
from wisteriawall.web import http_exchange
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.web import server as server_lib
from wisteriawall.wire import headers

__all__ = ["RelayedBody", "UpstreamProxy"]

_LOG = logging.getLogger("agent")

UPSTREAM_TIMEOUT_S = 120.0
RELAYED_HEADERS = ("Content-Type", "Content-Length")


@final
class UpstreamProxy:
    """WSGI application that admits attempts and relays their answers.

    `first_token_ms` is the time to the first byte of the last answer that
    began, 0 before any did.

    Args:
        upstream: Host and port of the upstream.
        token: Secret by which entries authenticate.
        submit: Applies an event to the agent's state and returns the effects
            that its sender has to carry out.
        metrics: Receives counts of admissions, refusals and failures, and
            times to the first byte.
    """

    def __init__(
        self,
        *,
        upstream: str,
        token: str,
        submit: Callable[[events.Event], list[events.Effect]],
        metrics: metrics_lib.Metrics,
    ) -> None:
        self.first_token_ms = 0
        self._open_bodies: set[RelayedBody] = set()
        self._metrics = metrics
        self._upstream = upstream
        self._token = token.encode()
        self._submit = submit
        self._pool = connection_pool.ConnectionPool()

    def __call__(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        """Serve one attempt."""
        token = environ.get(headers.wsgi_environ_key(headers.TOKEN), "")
        if not hmac.compare_digest(token.encode(), self._token):
            return _send_refusal(environ, start_response, _UNAUTHENTICATED)
        # Read before admission, so that lease and configuration number are
        # checked when the attempt starts, however slow the body was.
        try:
            body = server_lib.read_body(environ)
        except server_lib.BodyRefused as error:
            return _send_refusal(environ, start_response, error.refusal)
        arrived = _parse_arrival(environ)
        if arrived is None:
            return _send_refusal(environ, start_response, _BAD_HEADERS)
        for effect in self._submit(arrived):
            match effect:
                case events.Reject(_, refusal):
                    self._metrics.count(f"refused.{refusal.code}")
                    return _send_refusal(environ, start_response, refusal)
                case events.Admit():
                    self._metrics.count("admitted")
                    return self._relay(environ, start_response, arrived, body)
                case _:
                    pass
        return _send_refusal(environ, start_response, _BAD_HEADERS)

    def _relay(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
        arrived: events.AttemptArrived,
        body: bytes,
    ) -> server_lib.Response:
        exchange = http_exchange.HttpExchange(self._pool)
        try:
            response = self._request_upstream(exchange, environ, arrived, body)
            _check_identity(response, arrived)
        except Exception as error:
            exchange.close()
            refusal = _refusal_of_error(error)
            not_run = refusal.run is refusal_lib.RunState.NOT_RUN
            self._end(arrived, not_run=not_run)
            self._metrics.count(f"upstream_failed.{refusal.run}")
            return _send_refusal(environ, start_response, refusal)
        response_headers = [
            (name, response.headers[name])
            for name in RELAYED_HEADERS
            if name in response.headers
        ]
        response_headers.append((headers.REQUEST_ID, arrived.request_id))
        response_headers.append((headers.ATTEMPT, str(arrived.attempt)))
        start_response(
            server_lib.status_line(response.status), response_headers
        )
        relayed_body = RelayedBody(
            exchange=exchange,
            on_first_byte=functools.partial(self._record_first_byte, arrived),
            on_close=functools.partial(self._on_body_closed, arrived),
        )
        self._open_bodies.add(relayed_body)
        # A disconnected entry releases the upstream's capacity at once.
        server_lib.caller_connection(environ).on_disconnect(relayed_body.abort)
        return relayed_body

    def abort_all(self) -> None:
        """Abort every answer in progress, as the process's end would."""
        for body in list(self._open_bodies):
            body.abort()

    def _on_body_closed(
        self, arrived: events.AttemptArrived, body: "RelayedBody"
    ) -> None:
        self._open_bodies.discard(body)
        self._end(arrived, not_run=False)

    def _record_first_byte(self, arrived: events.AttemptArrived) -> None:
        self.first_token_ms = clock.monotonic_ms() - arrived.now_ms
        self._metrics.record_duration_ms("first_token", self.first_token_ms)

    def _request_upstream(
        self,
        exchange: http_exchange.HttpExchange,
        environ: server_lib.Environ,
        arrived: events.AttemptArrived,
        body: bytes,
    ) -> urllib3.BaseHTTPResponse:
        query = environ.get("QUERY_STRING", "")
        path = environ["PATH_INFO"] + (f"?{query}" if query else "")
        url = urllib3.util.parse_url(f"http://{self._upstream}{path}")
        upstream_headers = {
            "Host": self._upstream,
            "Content-Type": environ.get("CONTENT_TYPE", ""),
            headers.REQUEST_ID: arrived.request_id,
            headers.ATTEMPT: str(arrived.attempt),
        }
        key = environ.get("HTTP_IDEMPOTENCY_KEY")
        if key:
            upstream_headers["Idempotency-Key"] = key
        # An upstream need not repeat the request id. Its answer is known to be
        # to this attempt only if the connection carries no other one.
        return exchange.send(
            self._upstream,
            method=environ["REQUEST_METHOD"],
            target=url.request_uri,
            headers=upstream_headers,
            body=body,
            timeout_s=UPSTREAM_TIMEOUT_S,
            force_new=True,
        )

    def _end(self, arrived: events.AttemptArrived, *, not_run: bool) -> None:
        self._submit(
            events.AttemptEnded(
                arrived.request_id,
                arrived.attempt,
                clock.monotonic_ms(),
                arrived.claim_id,
                not_run,
            )
        )


@final
class RelayedBody:
    """Body of a relayed response.

    The WSGI server calls `close` even if it has read nothing.
    """

    def __init__(
        self,
        *,
        exchange: http_exchange.HttpExchange,
        on_first_byte: Callable[[], None],
        on_close: Callable[["RelayedBody"], None],
    ) -> None:
        self._exchange = exchange
        self._on_first_byte = on_first_byte
        self._aborted = False
        self._on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        """Yield the upstream's bytes; an error resets the connection."""
        chunks = self._exchange.body_chunks()
        first = next(chunks, b"")
        self._on_first_byte()
        yield first
        for chunk in chunks:
            if self._aborted:
                break
            yield chunk
        if self._aborted:
            raise ConnectionAbortedError("the answer was aborted")

    def close(self) -> None:
        """Close the upstream's connection and report the attempt's end."""
        self._exchange.close()
        self._on_close(self)

    def abort(self) -> None:
        """Abort the answer; called from any thread."""
        self._aborted = True
        self._exchange.cancel()


_UNAUTHENTICATED = refusal_lib.Refusal(
    status=401,
    code=refusal_lib.Code.UNAUTHENTICATED,
    message="expected an entry's token",
)
_BAD_HEADERS = refusal_lib.Refusal(
    status=400,
    code=refusal_lib.Code.BAD_REQUEST,
    message="expected request, attempt and configuration headers",
)


def _send_refusal(
    environ: server_lib.Environ,
    start_response: server_lib.StartResponse,
    refusal: refusal_lib.Refusal,
) -> server_lib.Response:
    """Send a refusal that names the attempt as the entry named it."""
    refused = headers.attempt_key(
        environ.get(headers.wsgi_environ_key(headers.REQUEST_ID), ""),
        environ.get(headers.wsgi_environ_key(headers.ATTEMPT), ""),
    )

    def start_named(
        status: str, response_headers: list[tuple[str, str]], /
    ) -> object:
        named = [*response_headers, (headers.REFUSED, refused)]
        return start_response(status, named)

    return server_lib.send_refusal(start_named, refusal)


def _check_identity(
    response: urllib3.BaseHTTPResponse, arrived: events.AttemptArrived
) -> None:
    """Raise Broken if the response names another attempt."""
    expected = {
        headers.REQUEST_ID: arrived.request_id,
        headers.ATTEMPT: str(arrived.attempt),
    }
    for name, value in expected.items():
        if response.headers.get(name, value) != value:
            raise http_exchange.Broken("the answer is to another attempt")


def _refusal_of_error(error: Exception) -> refusal_lib.Refusal:
    run = refusal_lib.RunState
    not_sent = (
        http_exchange.Unreachable,
        urllib3.exceptions.LocationParseError,
    )
    if not isinstance(error, (*not_sent, http_exchange.Broken)):
        _LOG.error("agent: an attempt failed unexpectedly", exc_info=error)
    return refusal_lib.Refusal(
        status=502,
        code=refusal_lib.Code.UPSTREAM_FAILED,
        message=f"{type(error).__name__}: {error}",
        run=run.NOT_RUN if isinstance(error, not_sent) else run.UNKNOWN,
    )


def _parse_arrival(environ: server_lib.Environ) -> events.AttemptArrived | None:
    def read(header: str) -> str:
        value: str = environ.get(headers.wsgi_environ_key(header), "")
        return value

    try:
        return events.AttemptArrived(
            request_id=read(headers.REQUEST_ID),
            attempt=int(read(headers.ATTEMPT)),
            config_number=int(read(headers.CONFIG_NUMBER)),
            claim_id=int(read(headers.CLAIM_ID) or "0"),
            now_ms=clock.monotonic_ms(),
            agent_incarnation=int(read(headers.AGENT_INCARNATION) or "0"),
        )
    except ValueError:
        return None
