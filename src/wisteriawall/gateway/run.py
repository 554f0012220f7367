"""One caller's request, followed from arrival to its end on one thread."""

from collections.abc import Callable
from collections.abc import Generator
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import logging
import threading
from typing import TypeAlias
from typing import final

import urllib3

from wisteriawall import clock
from wisteriawall.gateway import calls
from wisteriawall.gateway import events
from wisteriawall.gateway import stream
from wisteriawall.web import connection as connection_lib
from wisteriawall.web import connections
from wisteriawall.web import exchange as exchange_lib
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.web import server as server_lib

__all__ = ["CallerRequest", "RequestRun", "end_to_end"]

_LOG = logging.getLogger("gateway")

Head: TypeAlias = urllib3.BaseHTTPResponse

MS_PER_S = 1_000
# Headers that concern one connection alone; RFC 9110, section 7.6.1.
HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class CallerRequest:
    """A caller's request as it arrived; `target` is path and query."""

    key: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    call: calls.Call
    until_ms: int
    is_stream: bool
    is_resumable: bool
    is_repeatable: bool


@final
class RequestRun:
    """Body of a caller's response; it follows the reducer's effects.

    Args:
        request: The caller's request.
        effects: What the reducer asked for when the request arrived.
        caller: Connection of the caller.
        start_response: WSGI callback.
        submit: Reduces an event; returns the effects for this request.
        dialect: Translates headers.
        pool: Connections to runners.
        on_close: Called once at the very end.
    """

    def __init__(
        self,
        *,
        request: CallerRequest,
        effects: list[events.Effect],
        caller: connection_lib.Caller,
        start_response: server_lib.StartResponse,
        submit: Callable[[events.Event], list[events.Effect]],
        dialect: calls.Dialect,
        pool: connections.ConnectionPool,
        on_close: Callable[[], None],
    ) -> None:
        self._request = request
        self._effects = effects
        self._caller = caller
        self._start_response = start_response
        self._submit = submit
        self._dialect = dialect
        self._pool = pool
        self._on_close = on_close
        self._lock = threading.Lock()
        self._exchange: exchange_lib.Exchange | None = None
        self._cancelled = False
        self._begun = False
        self._whole = False
        self._scanner = stream.EventScanner()
        self._answer = self._follow()

    def cancel(self) -> None:
        """Break the exchange in progress, if any; from any thread."""
        with self._lock:
            self._cancelled = True
            exchange = self._exchange
        if exchange is not None:
            exchange.cancel()

    def __iter__(self) -> Iterator[bytes]:
        """Return the answer's chunks."""
        return self._answer

    def close(self) -> None:
        """End the request, whether or not its answer was complete."""
        self._answer.close()
        ended = events.Ended(
            key=self._request.key, whole=self._whole, now_ms=clock.steady_ms()
        )
        self._submit(ended)
        self._on_close()

    def _follow(self) -> Generator[bytes, None, None]:
        """Yield the answer's bytes while following the effects."""
        effects = self._effects
        while effects:
            match effects[0]:
                case events.Refuse(refusal=refusal):
                    yield from self._refuse(refusal)
                    return
                case calls.Send() as send:
                    effects = yield from self._try(send)
                case effect:
                    raise AssertionError(f"unexpected {type(effect).__name__}")

    def _try(
        self, send: calls.Send
    ) -> Generator[bytes, None, list[events.Effect]]:
        """Yield one leg's answer; return what to do after it."""
        exchange = exchange_lib.Exchange(self._pool)
        with self._lock:
            self._exchange = exchange
            cancelled = self._cancelled
        if cancelled:
            exchange.cancel()
        try:
            return (yield from self._exchange_leg(exchange, send))
        except exchange_lib.Unreachable as error:
            return self._fail(
                refusal_lib.RunState.NOT_RUN, str(error), unreachable=True
            )
        except exchange_lib.Broken as error:
            status = 504 if error.timed_out else 502
            return self._fail(
                refusal_lib.RunState.UNKNOWN, str(error), status=status
            )
        finally:
            exchange.close()

    def _exchange_leg(
        self, exchange: exchange_lib.Exchange, send: calls.Send
    ) -> Generator[bytes, None, list[events.Effect]]:
        head = self._open(exchange, send)
        answer = self._dialect.read_answer(head.status, dict(head.headers))
        if answer.not_run:
            self._read_rest(exchange)
            return self._fail(
                refusal_lib.RunState.NOT_RUN, f"rejected with {head.status}"
            )
        if send.leg is calls.Leg.READ:
            return self._take_prompt(exchange, answer)
        if answer.attempt_id != self._request.call.attempt_id:
            return self._fail(
                refusal_lib.RunState.UNKNOWN, "the answer is to another request"
            )
        streamed = self._request.is_stream and head.status == 200
        if streamed:
            return (yield from self._relay(exchange, head))
        return (yield from self._relay_whole(exchange, head, answer))

    def _open(self, exchange: exchange_lib.Exchange, send: calls.Send) -> Head:
        request = self._request
        left_ms = max(1, request.until_ms - clock.steady_ms())
        headers = self._dialect.request_headers(
            request.headers,
            send,
            left_ms=left_ms,
            last_event=self._scanner.last_event_id,
        )
        return exchange.open(
            send.upstream.address,
            method=request.method,
            target=request.target,
            headers=headers,
            body=request.body or None,
            timeout_s=left_ms / MS_PER_S,
            max_idle_ms=connections.FOREVER_MS
            if send.reuse_idle_ms is None
            else send.reuse_idle_ms,
        )

    def _read_rest(self, exchange: exchange_lib.Exchange) -> None:
        """Read a rejection's body, so that its connection can be kept."""
        for _ in exchange.chunks():
            pass
        exchange.release()

    def _take_prompt(
        self, exchange: exchange_lib.Exchange, answer: calls.AnswerHead
    ) -> list[events.Effect]:
        body = b"".join(exchange.chunks())
        exchange.release()
        read = self._dialect.read_prompt(body) if answer.status == 200 else None
        if read is None:
            return self._fail(
                refusal_lib.RunState.NOT_RUN,
                f"reading the prompt was answered {answer.status}",
            )
        done = events.PromptRead(
            key=self._request.key, handle=read.handle, now_ms=clock.steady_ms()
        )
        return self._submit(done)

    def _relay(
        self,
        exchange: exchange_lib.Exchange,
        head: Head,
    ) -> Generator[bytes, None, list[events.Effect]]:
        """Forward a stream as it arrives."""
        self._began()
        if not self._begun:
            self._begin(head.status, end_to_end(head.headers.items()))
        yield from self._chunks(exchange)
        self._whole = True
        exchange.release()
        return []

    def _chunks(self, exchange: exchange_lib.Exchange) -> Iterator[bytes]:
        """Yield chunks; only whole events where a stream can be resumed."""
        if not self._request.is_resumable:
            yield from exchange.chunks()
            return
        self._scanner.restart()
        for chunk in exchange.chunks():
            whole = self._scanner.feed(chunk)
            if whole:
                yield whole
        rest = self._scanner.rest
        if rest:
            yield rest

    def _relay_whole(
        self,
        exchange: exchange_lib.Exchange,
        head: Head,
        answer: calls.AnswerHead,
    ) -> Generator[bytes, None, list[events.Effect]]:
        """Read the whole answer, then send it."""
        body = b"".join(exchange.chunks())
        exchange.release()
        if self._begun:
            self._abort(f"resuming was answered {head.status}")
        if head.status >= 500 and (
            not answer.sealed or self._request.is_repeatable
        ):
            effects = self._fail(
                refusal_lib.RunState.UNKNOWN,
                f"answered {head.status}",
                answered=answer.sealed,
            )
            if not any(isinstance(e, events.Deliver) for e in effects):
                return effects
        self._began()
        self._whole = True
        headers = [
            *end_to_end(head.headers.items()),
            ("Content-Length", str(len(body))),
        ]
        self._begin(head.status, headers)
        yield body
        return []

    def _began(self) -> None:
        self._submit(
            events.Began(key=self._request.key, now_ms=clock.steady_ms())
        )

    def _fail(
        self,
        run: refusal_lib.RunState,
        reason: str,
        *,
        unreachable: bool = False,
        answered: bool = False,
        status: int = 0,
    ) -> list[events.Effect]:
        if self._cancelled:
            self._abort("the caller is gone")
        failed = events.Failed(
            key=self._request.key,
            run=run,
            reason=reason,
            now_ms=clock.steady_ms(),
            unreachable=unreachable,
            answered=answered,
            status=status,
        )
        return self._submit(failed)

    def _begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        self._begun = True
        self._start_response(server_lib.status_line(status), headers)

    def _refuse(self, refusal: refusal_lib.Refusal) -> Iterator[bytes]:
        if self._begun:
            self._abort(refusal.message)
        yield from server_lib.refuse(
            self._start_response, refusal, exact_retry=True
        )

    def _abort(self, message: str) -> None:
        """Break the caller's connection, so that nothing looks whole."""
        self._caller.abort()
        if not self._begun:
            self._begin(500, [])
        raise ConnectionAbortedError(message)


def end_to_end(
    headers: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return the headers that concern more than one connection."""
    named = list(headers)
    listed = {
        token.strip().lower()
        for name, value in named
        if name.lower() == "connection"
        for token in value.split(",")
    }
    return [
        (name, value)
        for name, value in named
        if name.lower() not in HOP_HEADERS | listed
    ]
