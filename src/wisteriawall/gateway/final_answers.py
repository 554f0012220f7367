"""End requests with an answer of the gateway itself."""

from collections.abc import Iterator

from wisteriawall.gateway import events
from wisteriawall.gateway import refusals
from wisteriawall.gateway import state as state_lib
from wisteriawall.policy import stream_origins
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import gateway_messages

__all__ = [
    "refuse",
    "refuse_blocked",
    "refuse_without_runner",
    "refused_entry",
]


def refuse(
    gateway: state_lib.Gateway,
    request: state_lib.Request,
    refusal: refusal_lib.Refusal,
    reason: str,
) -> Iterator[events.Effect]:
    """Drop a request, and yield its log entry and its refusal.

    `reason` is the text for the log; it may differ from the refusal's message.
    The refusal does not say "not run" if an earlier runner may have run it.
    """
    gateway.request_by_key.pop(request.request_key, None)
    if request.may_have_run:
        refusal = refusals.after_possible_run(refusal)
    yield refused_entry(
        request.request_id, refusal, reason, table=gateway.table_number
    )
    yield events.Refuse(refusal=refusal)


def refused_entry(
    request_id: str,
    refusal: refusal_lib.Refusal,
    reason: str,
    **more_inputs: object,
) -> events.LogDecision:
    """Return the log entry of a refusal."""
    return events.LogDecision(
        decision="refused",
        request_id=request_id,
        inputs={
            "status": refusal.status,
            "run": refusal.run.value,
            "reason": reason,
            "retry_ms": refusal.retry_after_ms,
            **more_inputs,
        },
    )


def refuse_blocked(
    gateway: state_lib.Gateway, request: state_lib.Request, now_ms: int
) -> Iterator[events.Effect]:
    """Refuse a request under which runners would crash."""
    gateway.suspects.note_refused(request.traits)
    blocked_ms = gateway.suspects.blocked_ms(request.traits, now_ms)
    yield from refuse(
        gateway, request, refusals.blocked(blocked_ms), "part-blocked"
    )


def refuse_without_runner(
    gateway: state_lib.Gateway, request: state_lib.Request, now_ms: int
) -> Iterator[events.Effect]:
    """Refuse a request because no runner of its service is left to try.

    If some are only paused, or take few requests, the caller is asked to return
    when the first of them takes one.
    """
    runners = [
        upstream.start_id
        for upstream in gateway.upstream_by_id.values()
        if upstream.service == request.service.name
        and not upstream.leaving
        and request.origin in (None, _origin_of(request, upstream))
    ]
    if not runners and request.origin is not None:
        yield from refuse(
            gateway, request, refusals.VERSION_GONE, "version-gone"
        )
        return
    limited_ms = (
        gateway.limits.resume_ms(runner, request.request_id, now_ms)
        for runner in runners
        if gateway.notices.may_send(runner, now_ms)
    )
    waits_ms = (gateway.notices.resume_ms(runners, now_ms), *limited_ms)
    resume_ms = min((wait_ms for wait_ms in waits_ms if wait_ms), default=0)
    yield from refuse(
        gateway, request, refusals.no_runner(resume_ms), "no-runner"
    )


def _origin_of(
    request: state_lib.Request, upstream: gateway_messages.Upstream
) -> stream_origins.Origin:
    """Return the origin of the request's stream if the runner began it."""
    return stream_origins.Origin(
        service=upstream.service,
        version=upstream.version,
        fingerprint=request.fingerprint,
    )
