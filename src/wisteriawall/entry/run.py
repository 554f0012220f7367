"""One caller's request, followed from arrival to its end on one thread."""

from collections.abc import Callable
from collections.abc import Generator
from collections.abc import Iterator
import contextlib
import logging
import queue
import threading
from typing import Protocol
from typing import final

from wisteriawall import clock
from wisteriawall.entry import attempt as attempt_lib
from wisteriawall.entry import completion
from wisteriawall.entry import events
from wisteriawall.entry import parsing
from wisteriawall.entry import relay as relay_lib
from wisteriawall.entry import sse
from wisteriawall.web import connection as connection_lib
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.web import server as server_lib
from wisteriawall.wire import fleet

__all__ = ["Claims", "RequestRun"]

_LOG = logging.getLogger("entry")

MAX_KEPT_ANSWER_BYTES = 64 * 1024
MAX_BUFFERED_BYTES = 1024 * 1024
SSE_HEAD = [
    ("Content-Type", "text/event-stream"),
    ("Cache-Control", "no-store"),
]


class Claims(Protocol):
    """What a run asks of control; each call blocks for a bounded time."""

    def ask(self, ask: events.AskClaim) -> None:
        """Ask for a claim and submit the outcome as an event."""

    def settle(self, settle: events.Settle) -> None:
        """Record an outcome, now or later."""

    def return_later(self, ask: events.AskClaim) -> None:
        """Release a claim once it is known whether it was recorded."""


@final
class RequestRun:
    """Body of a caller's response; it follows the reducer's effects.

    Args:
        request_id: Id of the request on every hop.
        request: The caller's checked request.
        caller: Connection of the caller.
        start_response: WSGI callback.
        submit: Reduces an event; its effects come back through `deliver`.
        claims: Calls to control.
        relay: Opens attempts.
        on_close: Called once at the very end.
    """

    def __init__(
        self,
        *,
        request_id: str,
        request: parsing.CallerRequest,
        caller: connection_lib.Caller,
        start_response: server_lib.StartResponse,
        submit: Callable[[events.Event], None],
        claims: Claims,
        relay: relay_lib.Relay,
        on_close: Callable[[], None],
    ) -> None:
        self._request_id = request_id
        self._request = request
        self._caller = caller
        self._start_response = start_response
        self._submit = submit
        self._claims = claims
        self._relay = relay
        self._on_close = on_close
        self._effects: queue.SimpleQueue[events.Effect] = queue.SimpleQueue()
        self._attempt: attempt_lib.Attempt | None = None
        self._cancelled = threading.Event()
        self._begun = False
        self._resumable = True
        self._transcript = completion.Transcript()
        self._answer = self._follow()

    def deliver(self, effect: events.Effect) -> None:
        """Take an effect for this request, from any thread."""
        if isinstance(effect, events.Cancel):
            self.cancel()
        self._effects.put(effect)

    def cancel(self) -> None:
        """Break the attempt in progress, if any."""
        self._cancelled.set()
        attempt = self._attempt
        if attempt is not None:
            attempt.cancel()

    def cut(self) -> None:
        """End the request without a whole answer, as a drain deadline does."""
        self._caller.abort()
        self.cancel()
        self._effects.put(events.Cancel(self._request_id))

    def __iter__(self) -> Iterator[bytes]:
        """Return the answer's chunks."""
        return self._answer

    def close(self) -> None:
        """End the request, whether or not its answer was complete."""
        self._answer.close()
        self._submit(events.CallerGone(self._request_id, clock.monotonic_ms()))
        self._settle_rest()
        self._on_close()

    def _follow(self) -> Generator[bytes, None, None]:
        """Yield the answer's bytes while following the effects."""
        while True:
            match self._effects.get():
                case events.Refuse(_, refusal):
                    yield from self._refuse(refusal)
                    return
                case events.Replay(_, answer):
                    yield from self._respond(answer)
                    return
                case events.Cancel():
                    self._abort("the caller is gone")
                case events.Dispatch() if not self._resumable:
                    self._abort("the answer broke after it began")
                case events.Dispatch() as dispatch:
                    if (yield from self._try(dispatch)):
                        return
                case effect:
                    self._call_control(effect)

    def _call_control(self, effect: events.Effect) -> None:
        match effect:
            case events.AskClaim() as ask:
                self._claims.ask(ask)
            case events.Settle() as settle:
                self._claims.settle(settle)
            case events.ReturnClaim(_, ask):
                self._claims.return_later(ask)
            case _:
                pass

    def _try(self, dispatch: events.Dispatch) -> Generator[bytes, None, bool]:
        """Yield one attempt's answer; return whether the request ended."""
        attempt = self._relay.new_attempt()
        self._attempt = attempt
        if self._cancelled.wait(dispatch.delay_ms / 1000):
            attempt.cancel()
        try:
            with contextlib.closing(attempt):
                body = self._body()
                self._relay.open(attempt, dispatch, self._request, body)
                yield from self._relay_answer(dispatch, attempt)
        except attempt_lib.AttemptRefused as refused:
            self._fail(
                dispatch, refused.run, str(refused), refused=refused.by_agent
            )
            return False
        except attempt_lib.AnswerBroken as broken:
            self._fail(dispatch, refusal_lib.RunState.UNKNOWN, str(broken))
            return False
        except Exception as error:
            # A defect must not leave a claim or a counter behind.
            _LOG.exception("request %s failed", self._request_id)
            self._fail(
                dispatch, refusal_lib.RunState.UNKNOWN, type(error).__name__
            )
            return False
        return True

    def _fail(
        self,
        dispatch: events.Dispatch,
        run: refusal_lib.RunState,
        message: str,
        *,
        refused: bool = False,
    ) -> None:
        _LOG.info(
            "entry: attempt %d of %s on %s failed: %s",
            dispatch.attempt,
            dispatch.request_id,
            dispatch.runner,
            message,
        )
        self._submit(
            events.AttemptFailed(
                dispatch.request_id,
                dispatch.attempt,
                run,
                message,
                clock.monotonic_ms(),
                refused,
            )
        )

    def _body(self) -> bytes:
        request = self._request
        resumed = bool(self._transcript.events)
        if request.assembled or resumed:
            return self._transcript.request_body(request.body)
        return request.body

    def _relay_answer(
        self, dispatch: events.Dispatch, attempt: attempt_lib.Attempt
    ) -> Iterator[bytes]:
        if self._request.key:
            return self._relay_kept(dispatch, attempt)
        if not self._request.is_completion:
            return self._relay_whole(dispatch, attempt)
        if attempt.is_stream and attempt.status == 200:
            if self._request.assembled:
                return self._relay_assembled(dispatch, attempt)
            return self._relay_stream(dispatch, attempt)
        if self._transcript.events:
            raise attempt_lib.AnswerBroken(f"resume answered {attempt.status}")
        return self._relay_whole(dispatch, attempt)

    def _events(
        self, dispatch: events.Dispatch, attempt: attempt_lib.Attempt
    ) -> Iterator[bytes]:
        """Yield and record the attempt's events; report the first."""
        started = False
        for event in attempt.stream(self._request_id):
            if not started:
                started = True
                self._submit(
                    events.Started(
                        self._request_id, dispatch.attempt, clock.monotonic_ms()
                    )
                )
            self._transcript.add(event)
            yield event

    def _relay_stream(
        self, dispatch: events.Dispatch, attempt: attempt_lib.Attempt
    ) -> Iterator[bytes]:
        for event in self._events(dispatch, attempt):
            if not self._begun:
                self._begin(200, SSE_HEAD)
            if event == sse.END_MARK:
                # The answer is whole before its last byte goes out, so a
                # caller that has it never counts as one that vanished.
                self._finish(dispatch, None)
            yield event

    def _relay_assembled(
        self, dispatch: events.Dispatch, attempt: attempt_lib.Attempt
    ) -> Iterator[bytes]:
        body = self._assemble(dispatch, attempt)
        self._finish(dispatch, None)
        yield from self._respond(
            fleet.KeptAnswer(200, "application/json", body)
        )

    def _assemble(
        self, dispatch: events.Dispatch, attempt: attempt_lib.Attempt
    ) -> bytes:
        for _ in self._events(dispatch, attempt):
            pass
        return completion.assemble(self._transcript.events)

    def _relay_whole(
        self, dispatch: events.Dispatch, attempt: attempt_lib.Attempt
    ) -> Iterator[bytes]:
        """Send a body once it is whole, or as it arrives if it is large."""
        held: list[bytes] = []
        held_bytes = 0
        for chunk in attempt.body():
            if self._begun:
                yield chunk
                continue
            held.append(chunk)
            held_bytes += len(chunk)
            if held_bytes > MAX_BUFFERED_BYTES:
                self._resumable = False
                self._begin(
                    attempt.status, [("Content-Type", attempt.content_type)]
                )
                yield b"".join(held)
        self._finish(dispatch, None)
        if not self._begun:
            yield from self._respond(
                fleet.KeptAnswer(
                    attempt.status, attempt.content_type, b"".join(held)
                )
            )

    def _relay_kept(
        self, dispatch: events.Dispatch, attempt: attempt_lib.Attempt
    ) -> Iterator[bytes]:
        """Read the whole answer, have it kept, then send it."""
        answer = self._read_kept(dispatch, attempt)
        self._finish(dispatch, _kept_form(answer))
        self._settle_rest()
        yield from self._respond(answer)

    def _read_kept(
        self, dispatch: events.Dispatch, attempt: attempt_lib.Attempt
    ) -> fleet.KeptAnswer:
        if not (attempt.is_stream and self._request.is_completion):
            body = b"".join(attempt.body())
            return fleet.KeptAnswer(attempt.status, attempt.content_type, body)
        if self._request.assembled:
            body = self._assemble(dispatch, attempt)
            return fleet.KeptAnswer(200, "application/json", body)
        body = b"".join(self._events(dispatch, attempt))
        return fleet.KeptAnswer(attempt.status, attempt.content_type, body)

    def _finish(
        self, dispatch: events.Dispatch, answer: fleet.KeptAnswer | None
    ) -> None:
        self._submit(
            events.Finished(
                dispatch.request_id,
                dispatch.attempt,
                answer,
                clock.monotonic_ms(),
                len(self._transcript.events),
            )
        )

    def _settle_rest(self) -> None:
        with contextlib.suppress(queue.Empty):
            while True:
                self._call_control(self._effects.get_nowait())

    def _begin(self, status: int, head: list[tuple[str, str]]) -> None:
        self._begun = True
        self._start_response(server_lib.status_line(status), head)

    def _refuse(self, refusal: refusal_lib.Refusal) -> Iterator[bytes]:
        if self._begun:
            self._abort(refusal.message)
        yield from server_lib.refuse(self._start_response, refusal)

    def _respond(self, answer: fleet.KeptAnswer) -> Iterator[bytes]:
        yield from server_lib.respond(
            self._start_response,
            status=answer.status,
            body=answer.body,
            content_type=answer.content_type,
        )

    def _abort(self, message: str) -> None:
        """Break the caller's connection, so that nothing looks whole."""
        self._caller.abort()
        if not self._begun:
            self._begin(500, [])
        raise ConnectionAbortedError(message)


def _kept_form(answer: fleet.KeptAnswer) -> fleet.KeptAnswer:
    """Return what control keeps: the answer, or that it is too large."""
    if len(answer.body) <= MAX_KEPT_ANSWER_BYTES:
        return answer
    refusal = refusal_lib.Refusal(
        status=409,
        code=refusal_lib.Code.ANSWER_NOT_KEPT,
        message=(
            f"the request ran and was answered {answer.status}; its answer "
            f"of {len(answer.body)} bytes exceeds the "
            f"{MAX_KEPT_ANSWER_BYTES} bytes that are kept"
        ),
        run=refusal_lib.RunState.RAN,
    )
    return fleet.KeptAnswer(
        409, "application/json", refusal_lib.to_json(refusal)
    )
