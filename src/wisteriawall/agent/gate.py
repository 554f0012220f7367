"""Agent's HTTP interface: the only way from an entry to the upstream."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import functools
import hmac
import logging
from typing import final

import urllib3

from wisteriawall import clock
from wisteriawall.agent import events
from wisteriawall.observability import metrics as metrics_lib
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.web import server as server_lib
from wisteriawall.wire import headers

__all__ = ["Gate", "RelayedBody"]

_LOG = logging.getLogger("agent")

UPSTREAM_TIMEOUT = urllib3.Timeout(connect=2.0, read=120.0)
CHUNK_BYTES = 65_536
COPIED_HEADERS = ("Content-Type", "Content-Length")


@final
class Gate:
    """WSGI application that admits attempts and relays their answers.

    Args:
        upstream: Host and port of the upstream.
        token: Secret that entries present.
        submit: Reduces an event and returns the effects for its sender.
        metrics: Where admissions, refusals and first bytes are counted.
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
        self._pool = urllib3.PoolManager(retries=False, maxsize=64)

    def __call__(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        """Serve one attempt."""
        token = environ.get(headers.environ_name(headers.TOKEN), "")
        if not hmac.compare_digest(token.encode(), self._token):
            return server_lib.refuse(start_response, _UNAUTHENTICATED)
        # A slow body must not let an old lease or number pass.
        body = server_lib.read_body(environ)
        arrived = _parse_arrival(environ)
        if arrived is None:
            return server_lib.refuse(start_response, _BAD_HEAD)
        for effect in self._submit(arrived):
            match effect:
                case events.Reject(_, refusal):
                    self._metrics.count(f"refused.{refusal.code}")
                    return server_lib.refuse(start_response, refusal)
                case events.Admit():
                    self._metrics.count("admitted")
                    return self._relay(environ, start_response, arrived, body)
                case _:
                    pass
        return server_lib.refuse(start_response, _BAD_HEAD)

    def _relay(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
        arrived: events.Arrived,
        body: bytes,
    ) -> server_lib.Response:
        try:
            response = self._open(environ, arrived, body)
        except urllib3.exceptions.HTTPError as error:
            refusal = _failure(error)
            not_run = refusal.run is refusal_lib.RunState.NOT_RUN
            self._end(arrived, not_run=not_run)
            self._metrics.count(f"upstream_failed.{refusal.run}")
            return server_lib.refuse(start_response, refusal)
        head = [
            (name, response.headers[name])
            for name in COPIED_HEADERS
            if name in response.headers
        ]
        head.append((headers.REQUEST, arrived.request_id))
        head.append((headers.ATTEMPT, str(arrived.attempt)))
        start_response(server_lib.status_line(response.status), head)
        body_out = RelayedBody(
            response=response,
            on_first=functools.partial(self._note_first, arrived),
            on_close=functools.partial(self._close, arrived),
        )
        self._open_bodies.add(body_out)
        # An entry that has gone frees its place on the upstream at once.
        server_lib.caller(environ).on_hangup(body_out.cut)
        return body_out

    def cut_all(self) -> None:
        """Break every answer in progress, as the end of the process would."""
        for body in list(self._open_bodies):
            body.cut()

    def _close(self, arrived: events.Arrived, body: "RelayedBody") -> None:
        self._open_bodies.discard(body)
        self._end(arrived, not_run=False)

    def _note_first(self, arrived: events.Arrived) -> None:
        self.first_token_ms = clock.monotonic_ms() - arrived.now_ms
        self._metrics.record_duration_ms("first_token", self.first_token_ms)

    def _open(
        self,
        environ: server_lib.Environ,
        arrived: events.Arrived,
        body: bytes,
    ) -> urllib3.BaseHTTPResponse:
        query = environ.get("QUERY_STRING", "")
        path = environ["PATH_INFO"] + (f"?{query}" if query else "")
        copied = {
            "Content-Type": environ.get("CONTENT_TYPE", ""),
            headers.REQUEST: arrived.request_id,
            headers.ATTEMPT: str(arrived.attempt),
        }
        key = environ.get("HTTP_IDEMPOTENCY_KEY")
        if key:
            copied["Idempotency-Key"] = key
        return self._pool.request(
            environ["REQUEST_METHOD"],
            f"http://{self._upstream}{path}",
            body=body,
            headers=copied,
            timeout=UPSTREAM_TIMEOUT,
            preload_content=False,
        )

    def _end(self, arrived: events.Arrived, *, not_run: bool) -> None:
        self._submit(
            events.Ended(
                arrived.request_id,
                arrived.attempt,
                clock.monotonic_ms(),
                arrived.claim_id,
                not_run,
            )
        )


@final
class RelayedBody:
    """Body of a relayed response; `close` runs even if nothing was read."""

    def __init__(
        self,
        *,
        response: urllib3.BaseHTTPResponse,
        on_first: Callable[[], None],
        on_close: Callable[["RelayedBody"], None],
    ) -> None:
        self._response = response
        self._on_first = on_first
        self._is_cut = False
        self._on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        """Yield the upstream's bytes; an error aborts the connection."""
        chunks = self._response.stream(CHUNK_BYTES, decode_content=False)
        first = next(chunks, b"")
        self._on_first()
        yield first
        for chunk in chunks:
            if self._is_cut:
                break
            yield chunk
        if self._is_cut:
            raise ConnectionAbortedError("the answer was cut")
        self._response.release_conn()

    def close(self) -> None:
        """Release the upstream's connection and report the end."""
        # A fully read response has returned its connection to the pool.
        self._response.close()
        self._on_close(self)

    def cut(self) -> None:
        """Break the answer from another thread."""
        self._is_cut = True
        with contextlib.suppress(OSError, ValueError, RuntimeError):
            self._response.shutdown()


_UNAUTHENTICATED = refusal_lib.Refusal(
    status=401,
    code=refusal_lib.Code.UNAUTHENTICATED,
    message="expected an entry's token",
)
_BAD_HEAD = refusal_lib.Refusal(
    status=400,
    code=refusal_lib.Code.BAD_REQUEST,
    message="expected request, attempt and configuration headers",
)


def _failure(error: urllib3.exceptions.HTTPError) -> refusal_lib.Refusal:
    refused = isinstance(error, urllib3.exceptions.NewConnectionError)
    run = refusal_lib.RunState
    return refusal_lib.Refusal(
        status=502,
        code=refusal_lib.Code.UPSTREAM_FAILED,
        message=type(error).__name__,
        run=run.NOT_RUN if refused else run.UNKNOWN,
    )


def _parse_arrival(environ: server_lib.Environ) -> events.Arrived | None:
    def read(header: str) -> str:
        value: str = environ.get(headers.environ_name(header), "")
        return value

    try:
        return events.Arrived(
            request_id=read(headers.REQUEST),
            attempt=int(read(headers.ATTEMPT)),
            config_number=int(read(headers.NUMBER)),
            claim_id=int(read(headers.CLAIM) or "0"),
            now_ms=clock.monotonic_ms(),
            agent_incarnation=int(read(headers.AGENT) or "0"),
        )
    except ValueError:
        return None
