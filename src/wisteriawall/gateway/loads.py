"""Load of each runner, from the requests of this and all other gateways."""

from collections.abc import Iterable
from collections.abc import Iterator

from wisteriawall.gateway import events
from wisteriawall.gateway import state as state_lib
from wisteriawall.policy import placement as placement_lib
from wisteriawall.policy import runner_notices
from wisteriawall.wire import gateway_messages

__all__ = [
    "apply_step",
    "apply_steps",
    "apply_table",
    "apply_upstreams",
    "report_step",
    "update_slowdown",
]


def report_step(
    gateway: state_lib.Gateway,
    request: state_lib.Request,
    kind: gateway_messages.LoadEventKind,
    now_ms: int,
) -> Iterator[events.BroadcastLoad]:
    """Record that a request of this gateway changed state at its runner.

    Yields the effect that broadcasts the change to the other gateways.
    """
    assert request.current_send is not None
    load_event = gateway_messages.LoadEvent(
        kind, request.current_send.upstream.upstream_id, request.request_id
    )
    apply_step(gateway, load_event, now_ms)
    yield events.BroadcastLoad(load_event=load_event)


def apply_steps(
    gateway: state_lib.Gateway,
    load_events: Iterable[gateway_messages.LoadEvent],
    now_ms: int,
) -> None:
    """Update runners' loads with events of another gateway.

    A SENT event that is repeated counts from when the request was sent.
    """
    for load_event in load_events:
        sent_ms = now_ms
        if load_event.kind is gateway_messages.LoadEventKind.SENT:
            if _is_outdated(gateway, load_event):
                continue
            sent_ms = now_ms - load_event.age_ms
        elif load_event.kind is gateway_messages.LoadEventKind.ENDED:
            gateway.recent_ends.note(
                load_event.upstream_id, load_event.request_id
            )
        apply_step(gateway, load_event, sent_ms)


def _is_outdated(
    gateway: state_lib.Gateway, load_event: gateway_messages.LoadEvent
) -> bool:
    """Return whether a repeated SENT event says nothing new."""
    load = gateway.load_by_id.get(load_event.upstream_id)
    request_id = load_event.request_id
    return load_event.age_ms > 0 and (
        load is None
        or load.has_request(request_id)
        or gateway.recent_ends.has_ended(load_event.upstream_id, request_id)
    )


def apply_step(
    gateway: state_lib.Gateway,
    load_event: gateway_messages.LoadEvent,
    now_ms: int,
) -> None:
    """Update a runner's load with an event of this or another gateway.

    Events about runners that are not in the list are ignored.
    """
    load = gateway.load_by_id.get(load_event.upstream_id)
    if load is None:
        return
    start_id = gateway.upstream_by_id[load_event.upstream_id].start_id
    match load_event.kind:
        case gateway_messages.LoadEventKind.SENT:
            tokens = sum(tokens for _, tokens in load_event.parts)
            load.request_sent(
                load_event.request_id,
                load_event.parts,
                prefill_ms=load.prefill_ms(
                    gateway.tuning.placement_options.speeds,
                    uncached_tokens=load_event.uncached_tokens,
                    tokens=tokens,
                ),
                priority_class=load_event.priority_class,
                now_ms=now_ms,
            )
        case gateway_messages.LoadEventKind.ANSWER_STARTED:
            load.first_token_received(load_event.request_id, now_ms=now_ms)
            gateway.notices.note_success(start_id, now_ms)
        case gateway_messages.LoadEventKind.ENDED:
            load.request_ended(load_event.request_id, now_ms=now_ms)
        case gateway_messages.LoadEventKind.FAILED:
            gateway.notices.avoid(start_id, now_ms)
        case gateway_messages.LoadEventKind.LEAVING:
            gateway.notices.note_leaving(
                start_id, runner_notices.Source.GATEWAY, now_ms
            )


def update_slowdown(
    gateway: state_lib.Gateway, request: state_lib.Request, now_ms: int
) -> None:
    """Update an engine's slowdown from the measured time of a prefill.

    Does nothing for requests without a prompt. Prompts that were expected to
    wait in the engine's queue are ignored too, because their time depends on
    the queue more than on the engine's speed.
    """
    assert request.current_send is not None
    load = gateway.load_by_id.get(request.current_send.upstream.upstream_id)
    placement = request.placement
    if load is None or placement is None:
        return
    speeds = gateway.tuning.placement_options.speeds
    if request.prompt is None or placement.wait_ms > 0:
        return
    expected_ms = load.slowdown * load.prefill_ms(
        speeds,
        uncached_tokens=placement.uncached_tokens,
        tokens=request.prompt.tokens,
    )
    prefill_ms = now_ms - request.sent_ms - speeds.first_decode_ms
    load.update_slowdown(
        expected_ms=expected_ms, measured_ms=max(0.0, prefill_ms)
    )


def apply_upstreams(
    gateway: state_lib.Gateway,
    upstreams: list[gateway_messages.Upstream],
    now_ms: int,
) -> None:
    """Replace the list of runners and adjust the recorded loads.

    The loads of runners that are no longer listed are dropped. A runner that
    is new or was restarted gets an empty load, because its KV cache is empty.
    """
    previous_by_id = gateway.upstream_by_id
    gateway.upstream_by_id = {u.upstream_id: u for u in upstreams}
    listed = {upstream.start_id for upstream in upstreams}
    gateway.notices.drop_expired(listed, now_ms)
    gateway.limits.drop_unlisted(listed, now_ms)
    for ended in set(gateway.ended_ms_by_start) - listed:
        del gateway.ended_ms_by_start[ended]
    for removed_id in set(gateway.load_by_id) - set(gateway.upstream_by_id):
        del gateway.load_by_id[removed_id]
    for upstream_id, upstream in gateway.upstream_by_id.items():
        previous = previous_by_id.get(upstream_id)
        same_start = (
            previous is not None and previous.born_ms == upstream.born_ms
        )
        load = gateway.load_by_id.get(upstream_id)
        is_prefill_engine = upstream.stage is gateway_messages.Stage.PREFILL
        if load is not None and same_start:
            load.is_prefill_engine = is_prefill_engine
            continue
        gateway.load_by_id[upstream_id] = placement_lib.EngineLoad(
            kv_cache_tokens=_kv_cache_tokens(gateway, upstream.service),
            is_prefill_engine=is_prefill_engine,
        )


def apply_table(gateway: state_lib.Gateway) -> None:
    """Adopt the capacities of engines from a newer routing table.

    The list of runners may arrive before the first table that names their
    service.
    """
    for upstream_id, upstream in gateway.upstream_by_id.items():
        gateway.load_by_id[upstream_id].set_kv_cache_tokens(
            _kv_cache_tokens(gateway, upstream.service)
        )


def _kv_cache_tokens(gateway: state_lib.Gateway, service: str) -> int:
    if gateway.route_index is None:
        return 0
    routed_service = gateway.route_index.service_by_name.get(service)
    return (
        routed_service.engine.memory_tokens
        if routed_service and routed_service.engine
        else 0
    )
