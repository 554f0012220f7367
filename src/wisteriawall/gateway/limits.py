"""Limits that runners name, as all gateways see them."""

from collections.abc import Iterable
from collections.abc import Iterator

from wisteriawall.gateway import events
from wisteriawall.gateway import state as state_lib
from wisteriawall.policy import runner_limits
from wisteriawall.wire import gateway_messages

__all__ = [
    "apply_events",
    "apply_known",
    "apply_step",
    "known",
    "note_contact",
    "report_answer",
    "report_usage",
    "reserve_decoder",
]


def report_answer(
    gateway: state_lib.Gateway, event: events.RunnerNoticed
) -> Iterator[events.Effect]:
    """Record the limit in an answer, and tell other gateways of a new one."""
    per_s = None
    if event.limit is not None:
        per_s = event.limit.per_s
        if per_s is None:
            return
    change = gateway.limits.note_answer(
        event.upstream.start_id,
        per_s,
        sent_ms=event.sent_ms,
        source=runner_limits.Source.ANSWER,
        now_ms=event.now_ms,
    )
    if change is None:
        return
    yield from _log_change(event.upstream.start_id, change, event.request_id)
    yield events.BroadcastLoad(
        load_event=gateway_messages.LoadEvent(
            gateway_messages.LoadEventKind.LIMITED,
            event.upstream.upstream_id,
            "",
            per_s=gateway_messages.NO_LIMIT_PER_S if per_s is None else per_s,
            age_ms=change.age_ms,
        )
    )


def note_contact(
    gateway: state_lib.Gateway, event: events.ControlUpdate
) -> Iterator[events.LogDecision]:
    """Record that control answered, and whether load events arrive here."""
    sent, heard = event.load_events_of_others, gateway.load_events_heard
    if gateway.hearing.note(sent=sent, heard=heard):
        yield events.LogDecision(
            decision="load-events-back"
            if gateway.hearing.hears
            else "load-events-missing",
            request_id="",
            inputs={"sent_by_others": sent, "heard": heard},
        )
    gateway.limits.note_contact(
        event.gateway_count, event.now_ms, hears=gateway.hearing.hears
    )


def reserve_decoder(
    gateway: state_lib.Gateway,
    request: state_lib.Request,
    upstream_id: str,
    now_ms: int,
) -> Iterator[events.BroadcastLoad]:
    """Reserve a place at a limited runner for after the prefill."""
    if gateway.limits.is_limited(gateway.upstream_by_id[upstream_id].start_id):
        load_event = gateway_messages.LoadEvent(
            gateway_messages.LoadEventKind.RESERVED,
            upstream_id,
            request.request_id,
        )
        apply_step(gateway, load_event, now_ms, is_own=True)
        yield events.BroadcastLoad(load_event=load_event)


def apply_step(
    gateway: state_lib.Gateway,
    load_event: gateway_messages.LoadEvent,
    now_ms: int,
    *,
    is_own: bool,
) -> None:
    """Count a request of this or another gateway at its runner."""
    upstream = gateway.upstream_by_id.get(load_event.upstream_id)
    if upstream is None:
        return
    runner, request_id = upstream.start_id, load_event.request_id
    if load_event.kind is gateway_messages.LoadEventKind.SENT and (
        load_event.age_ms > 0
    ):
        return  # It is repeated, and the runner may have counted it long ago.
    match load_event.kind:
        case gateway_messages.LoadEventKind.SENT:
            gateway.limits.note_sent(runner, request_id, now_ms, is_own=is_own)
        case gateway_messages.LoadEventKind.RESERVED:
            gateway.limits.reserve(runner, request_id, now_ms, is_own=is_own)


def apply_events(
    gateway: state_lib.Gateway,
    load_events: Iterable[gateway_messages.LoadEvent],
    now_ms: int,
) -> Iterator[events.LogDecision]:
    """Record what events of other gateways say about limited runners."""
    for load_event in load_events:
        if load_event.kind is not gateway_messages.LoadEventKind.LIMITED:
            apply_step(gateway, load_event, now_ms, is_own=False)
            continue
        upstream = gateway.upstream_by_id.get(load_event.upstream_id)
        if upstream is None:
            continue
        change = gateway.limits.note_answer(
            upstream.start_id,
            load_event.per_s if load_event.per_s >= 0 else None,
            sent_ms=now_ms - load_event.age_ms,
            source=runner_limits.Source.GATEWAY,
            now_ms=now_ms,
        )
        if change is not None:
            yield from _log_change(upstream.start_id, change, "")


def known(
    gateway: state_lib.Gateway, now_ms: int
) -> dict[str, gateway_messages.RunnerLimit]:
    """Return the limits that this gateway knows, to tell control."""
    return {
        runner: gateway_messages.RunnerLimit(
            gateway_messages.NO_LIMIT_PER_S if per_s is None else per_s, age_ms
        )
        for runner, per_s, age_ms in gateway.limits.known(now_ms)
    }


def apply_known(
    gateway: state_lib.Gateway, event: events.ControlUpdate
) -> Iterator[events.LogDecision]:
    """Adopt the limits of which only other gateways heard."""
    for runner, limit in event.limit_by_runner.items():
        change = gateway.limits.note_known(
            runner,
            limit.per_s if limit.per_s >= 0 else None,
            age_ms=limit.age_ms,
            now_ms=event.now_ms,
        )
        if change is not None:
            yield from _log_change(runner, change, "")


def report_usage(
    gateway: state_lib.Gateway, now_ms: int
) -> Iterator[events.LogDecision]:
    """End old limits, and log what limited runners got from all gateways."""
    for runner, change in gateway.limits.expire(now_ms):
        yield from _log_change(runner, change, "")
    for runner, usage in gateway.limits.report(now_ms):
        yield events.LogDecision(
            decision="runner-limit-use",
            request_id="",
            inputs={
                "upstream": runner.rpartition("/")[0],
                "per_s": usage.per_s,
                "age_ms": usage.age_ms,
                "sent": usage.sent,
                "sent_here": usage.sent_here,
                "interval_ms": usage.interval_ms,
                "tokens": round(usage.tokens, 1),
                "isolated": usage.is_isolated,
            },
        )


def _log_change(
    runner: str, change: runner_limits.Change, request_id: str
) -> Iterator[events.LogDecision]:
    if change.kind is not runner_limits.ChangeKind.REPEATED:
        yield events.LogDecision(
            decision="runner-limit",
            request_id=request_id,
            inputs={
                "upstream": runner.rpartition("/")[0],
                "start": runner,
                "change": change.kind.value,
                "per_s": change.per_s,
                "source": change.source.value,
                "age_ms": change.age_ms,
            },
        )
