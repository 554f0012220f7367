"""One caller's request, handled from arrival to end on one thread."""

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
from wisteriawall.entry import agent_client as agent_client_lib
from wisteriawall.entry import attempt as attempt_lib
from wisteriawall.entry import completion
from wisteriawall.entry import events
from wisteriawall.entry import parsing
from wisteriawall.entry import sse
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.web import server as server_lib
from wisteriawall.web import server_connection
from wisteriawall.wire import fleet

__all__ = ["ClaimClient", "RequestHandler"]

_LOG = logging.getLogger("entry")

MAX_KEPT_ANSWER_BYTES = 64 * 1024
MAX_BUFFERED_BYTES = 1024 * 1024
SSE_HEADERS = [
    ("Content-Type", "text/event-stream"),
    ("Cache-Control", "no-store"),
]


class ClaimClient(Protocol):
    """Calls to control; each blocks for a bounded time."""

    def request_claim(self, request: events.RequestClaim) -> None:
        """Request a claim and submit control's answer as an event."""

    def settle(self, settle: events.Settle) -> None:
        """Send an outcome to control; queue it for a retry if that fails."""

    def release_later(self, request: events.RequestClaim) -> None:
        """Queue the release of a claim that may have been recorded."""


@final
class RequestHandler:
    """WSGI response body that carries out the reducer's effects.

    Iteration runs the attempts and yields the answer's bytes.

    Args:
        request_id: Id of the request in every process that handles it.
        request: The caller's checked request.
        caller: Connection of the caller.
        start_response: WSGI callback.
        submit: Applies an event to the entry's state; effects of this
            request come back through `deliver`.
        claims: Client for the claims of requests that run at most once.
        agents: Client of the runners' agents.
        on_close: Called once, after the request has ended.
    """

    def __init__(
        self,
        *,
        request_id: str,
        request: parsing.CallerRequest,
        caller: server_connection.CallerConnection,
        start_response: server_lib.StartResponse,
        submit: Callable[[events.Event], None],
        claims: ClaimClient,
        agents: agent_client_lib.AgentClient,
        on_close: Callable[[], None],
    ) -> None:
        self._request_id = request_id
        self._request = request
        self._caller = caller
        self._start_response = start_response
        self._submit = submit
        self._claims = claims
        self._agents = agents
        self._on_close = on_close
        self._effects: queue.SimpleQueue[events.Effect] = queue.SimpleQueue()
        self._attempt: attempt_lib.Attempt | None = None
        self._cancelled = threading.Event()
        self._response_started = False
        self._resumable = True
        self._transcript = completion.Transcript()
        self._answer = self._execute_effects()

    def deliver(self, effect: events.Effect) -> None:
        """Queue an effect of this request; called from any thread."""
        if isinstance(effect, events.Cancel):
            self.cancel()
        self._effects.put(effect)

    def cancel(self) -> None:
        """Cancel the attempt in progress, if any."""
        self._cancelled.set()
        attempt = self._attempt
        if attempt is not None:
            attempt.cancel()

    def abort(self) -> None:
        """End the request before its answer is complete.

        It is called from another thread when a drain deadline passes.
        """
        self._caller.abort_response()
        self.cancel()
        self._effects.put(events.Cancel(self._request_id))

    def __iter__(self) -> Iterator[bytes]:
        """Return an iterator over the bytes of the answer."""
        return self._answer

    def close(self) -> None:
        """End the request, whether or not its answer was complete.

        The WSGI server calls it once, also after an error.
        """
        self._answer.close()
        self._submit(
            events.CallerDisconnected(self._request_id, clock.monotonic_ms())
        )
        self._execute_remaining_claim_effects()
        self._on_close()

    def _execute_effects(self) -> Generator[bytes, None, None]:
        """Carry out queued effects and yield the answer's bytes."""
        while True:
            match self._effects.get():
                case events.Refuse(_, refusal):
                    yield from self._refuse(refusal)
                    return
                case events.Replay(_, answer):
                    yield from self._respond(answer)
                    return
                case events.Cancel():
                    self._abort_connection("the caller disconnected")
                case events.Dispatch() if not self._resumable:
                    self._abort_connection(
                        "the answer ended early and cannot be resumed"
                    )
                case events.Dispatch() as dispatch:
                    if (yield from self._run_attempt(dispatch)):
                        return
                case effect:
                    self._execute_claim_effect(effect)

    def _execute_claim_effect(self, effect: events.Effect) -> None:
        match effect:
            case events.RequestClaim() as request:
                self._claims.request_claim(request)
            case events.Settle() as settle:
                self._claims.settle(settle)
            case events.ReleaseClaim(_, request):
                self._claims.release_later(request)
            case _:
                pass

    def _run_attempt(
        self, dispatch: events.Dispatch
    ) -> Generator[bytes, None, bool]:
        """Yield one attempt's answer; return whether it was complete."""
        attempt = self._agents.new_attempt()
        self._attempt = attempt
        if self._cancelled.wait(dispatch.delay_ms / 1000):
            attempt.cancel()
        try:
            with contextlib.closing(attempt):
                body = self._request_body()
                self._agents.open(attempt, dispatch, self._request, body)
                yield from self._relay_answer(dispatch, attempt)
        except attempt_lib.AttemptRefused as refused:
            self._report_failure(
                dispatch, refused.run, str(refused), refused=refused.by_agent
            )
            return False
        except attempt_lib.AnswerBroken as broken:
            self._report_failure(
                dispatch, refusal_lib.RunState.UNKNOWN, str(broken)
            )
            return False
        except Exception as error:
            # Reported like a failed attempt, so that a defect here leaves no
            # claim unsettled and no request counted as in progress.
            _LOG.exception("request %s failed", self._request_id)
            self._report_failure(
                dispatch, refusal_lib.RunState.UNKNOWN, type(error).__name__
            )
            return False
        return True

    def _report_failure(
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

    def _request_body(self) -> bytes:
        request = self._request
        resumed = bool(self._transcript.events)
        if request.assembled or resumed:
            return self._transcript.request_body(request.body)
        return request.body

    def _relay_answer(
        self, dispatch: events.Dispatch, attempt: attempt_lib.Attempt
    ) -> Iterator[bytes]:
        if self._request.key:
            return self._relay_claimed(dispatch, attempt)
        if not self._request.is_completion:
            return self._relay_body(dispatch, attempt)
        if attempt.is_stream and attempt.status == 200:
            if self._request.assembled:
                return self._relay_assembled(dispatch, attempt)
            return self._relay_stream(dispatch, attempt)
        if self._transcript.events:
            raise attempt_lib.AnswerBroken(f"resume answered {attempt.status}")
        return self._relay_body(dispatch, attempt)

    def _record_events(
        self, dispatch: events.Dispatch, attempt: attempt_lib.Attempt
    ) -> Iterator[bytes]:
        """Yield and record the attempt's events; report the first one."""
        started = False
        for event in attempt.stream(self._request_id):
            if not started:
                started = True
                self._submit(
                    events.FirstTokenReceived(
                        self._request_id, dispatch.attempt, clock.monotonic_ms()
                    )
                )
            self._transcript.add(event)
            yield event

    def _relay_stream(
        self, dispatch: events.Dispatch, attempt: attempt_lib.Attempt
    ) -> Iterator[bytes]:
        for event in self._record_events(dispatch, attempt):
            if not self._response_started:
                self._begin_response(200, SSE_HEADERS)
            if event == sse.END_MARK:
                # Reported before the last bytes are sent, because a caller
                # may close its connection as soon as it has them and must
                # not count as disconnected.
                self._finish(dispatch, None)
            yield event

    def _relay_assembled(
        self, dispatch: events.Dispatch, attempt: attempt_lib.Attempt
    ) -> Iterator[bytes]:
        body = self._assemble(dispatch, attempt)
        self._finish(dispatch, None)
        yield from self._respond(
            fleet.StoredAnswer(200, "application/json", body)
        )

    def _assemble(
        self, dispatch: events.Dispatch, attempt: attempt_lib.Attempt
    ) -> bytes:
        for _ in self._record_events(dispatch, attempt):
            pass
        return completion.assemble(self._transcript.events)

    def _relay_body(
        self, dispatch: events.Dispatch, attempt: attempt_lib.Attempt
    ) -> Iterator[bytes]:
        """Yield the body once it is complete, or as it arrives if it is large.

        As long as the body is buffered, a failed attempt can be retried. Once
        it exceeds `MAX_BUFFERED_BYTES` it can't, since part of it was sent.
        """
        buffered: list[bytes] = []
        buffered_bytes = 0
        for chunk in attempt.body():
            if self._response_started:
                yield chunk
                continue
            buffered.append(chunk)
            buffered_bytes += len(chunk)
            if buffered_bytes > MAX_BUFFERED_BYTES:
                self._resumable = False
                self._begin_response(
                    attempt.status, [("Content-Type", attempt.content_type)]
                )
                yield b"".join(buffered)
        self._finish(dispatch, None)
        if not self._response_started:
            yield from self._respond(
                fleet.StoredAnswer(
                    attempt.status, attempt.content_type, b"".join(buffered)
                )
            )

    def _relay_claimed(
        self, dispatch: events.Dispatch, attempt: attempt_lib.Attempt
    ) -> Iterator[bytes]:
        """Read the complete answer, have control store it, then send it."""
        answer = self._read_claimed(dispatch, attempt)
        self._finish(dispatch, _to_stored_answer(answer))
        self._execute_remaining_claim_effects()
        yield from self._respond(answer)

    def _read_claimed(
        self, dispatch: events.Dispatch, attempt: attempt_lib.Attempt
    ) -> fleet.StoredAnswer:
        if not (attempt.is_stream and self._request.is_completion):
            body = b"".join(attempt.body())
            return fleet.StoredAnswer(
                attempt.status, attempt.content_type, body
            )
        if self._request.assembled:
            body = self._assemble(dispatch, attempt)
            return fleet.StoredAnswer(200, "application/json", body)
        body = b"".join(self._record_events(dispatch, attempt))
        return fleet.StoredAnswer(attempt.status, attempt.content_type, body)

    def _finish(
        self, dispatch: events.Dispatch, answer: fleet.StoredAnswer | None
    ) -> None:
        self._submit(
            events.AttemptFinished(
                dispatch.request_id,
                dispatch.attempt,
                answer,
                clock.monotonic_ms(),
                len(self._transcript.events),
            )
        )

    def _execute_remaining_claim_effects(self) -> None:
        with contextlib.suppress(queue.Empty):
            while True:
                self._execute_claim_effect(self._effects.get_nowait())

    def _begin_response(
        self, status: int, response_headers: list[tuple[str, str]]
    ) -> None:
        self._response_started = True
        self._start_response(server_lib.status_line(status), response_headers)

    def _refuse(self, refusal: refusal_lib.Refusal) -> Iterator[bytes]:
        if self._response_started:
            self._abort_connection(refusal.message)
        yield from server_lib.send_refusal(self._start_response, refusal)

    def _respond(self, answer: fleet.StoredAnswer) -> Iterator[bytes]:
        yield from server_lib.send_response(
            self._start_response,
            status=answer.status,
            body=answer.body,
            content_type=answer.content_type,
        )

    def _abort_connection(self, message: str) -> None:
        """Reset the caller's connection, so that no answer looks complete.

        Raises:
            ConnectionAbortedError: Always.
        """
        self._caller.abort_response()
        if not self._response_started:
            self._begin_response(500, [])
        raise ConnectionAbortedError(message)


def _to_stored_answer(answer: fleet.StoredAnswer) -> fleet.StoredAnswer:
    """Return what control stores: the answer, or a refusal if too large."""
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
    return fleet.StoredAnswer(
        409, "application/json", refusal_lib.encode_json(refusal)
    )
