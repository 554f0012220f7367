"""Log entries for events that explain a failure and change no state."""

from collections.abc import Iterator
import dataclasses

from wisteriawall.gateway import events
from wisteriawall.gateway import state as state_lib

__all__ = ["log"]


def log(
    gateway: state_lib.Gateway,
    event: events.ForeignAnswer | events.UnexpectedError | events.StopTimedOut,
) -> Iterator[events.LogDecision]:
    """Yield the log entries of an event."""
    match event:
        case events.ForeignAnswer():
            yield _foreign_answer(gateway, event)
        case events.UnexpectedError(request_id=request_id):
            yield events.LogDecision(
                decision="request-error",
                request_id=request_id,
                inputs={"error": event.error, "trace": event.trace},
            )
        case events.StopTimedOut():
            for key, request in gateway.request_by_key.items():
                progress = event.progress_by_key.get(key)
                yield _still_open(request, progress, event.now_ms)


def _foreign_answer(
    gateway: state_lib.Gateway, event: events.ForeignAnswer
) -> events.LogDecision:
    request = gateway.request_by_key.get(event.request_key)
    return events.LogDecision(
        decision="foreign-answer",
        request_id=event.request_id,
        inputs={
            "answer_to": event.answer_id,
            "status": event.status,
            "not_run": event.not_run,
            "connection_requests": event.connection_requests,
            **_phase_inputs(request),
        },
    )


def _still_open(
    request: state_lib.Request,
    progress: events.AnswerProgress | None,
    now_ms: int,
) -> events.LogDecision:
    return events.LogDecision(
        decision="still-open",
        request_id=request.request_id,
        inputs={
            "route": request.route.name,
            "began": request.answer_started,
            "ms": now_ms - request.arrived_ms,
            "left_ms": request.deadline_at_ms - now_ms,
            **({} if progress is None else dataclasses.asdict(progress)),
            **_phase_inputs(request),
        },
    )


def _phase_inputs(request: state_lib.Request | None) -> dict[str, object]:
    """Return the runner and phase of a request, if one is in progress."""
    if request is None or request.current_send is None:
        return {}
    return {
        "upstream": request.current_send.upstream.upstream_id,
        "leg": request.current_send.phase.value,
    }
