"""Load of each runner, from the requests of this and all other gateways."""

from collections.abc import Iterable
from collections.abc import Iterator

from wisteriawall.gateway import events
from wisteriawall.gateway import state as state_lib
from wisteriawall.policy import placement as placement_lib
from wisteriawall.policy import runner_notices
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import gateway_messages

__all__ = [
    "apply_step",
    "apply_steps",
    "apply_table",
    "apply_upstreams",
    "measure_prefill",
    "note_shed",
    "report_plain_end",
    "report_speeds",
    "report_step",
]

PERMILLE = 1_000
OVERLOAD_STATUSES = (429, 503)
SPEED_REPORT_INTERVAL_MS = 4_000
# Load events wait up to 5 ms for others, and are sent and received in a few
# more. Without the correction, a prefill after one of another gateway is
# measured too short by this time.
PEER_EVENT_DELAY_MS = 8


def report_step(
    gateway: state_lib.Gateway,
    request: state_lib.Request,
    kind: gateway_messages.LoadEventKind,
    now_ms: int,
    *,
    prefill_permille: int = 0,
    work_ms: int = 0,
) -> Iterator[events.BroadcastLoad]:
    """Record that a request of this gateway changed state at its runner.

    Yields the effect that broadcasts the change to the other gateways, with
    the measured duration of the prefill if `prefill_permille` is not 0, and
    the time to the answer of a request without a prompt if `work_ms` is not 0.
    """
    assert request.current_send is not None
    load_event = gateway_messages.LoadEvent(
        kind,
        request.current_send.upstream.upstream_id,
        request.request_id,
        prefill_permille=prefill_permille,
        work_ms=work_ms,
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
        delay_ms = PEER_EVENT_DELAY_MS
        if load_event.kind is gateway_messages.LoadEventKind.SENT:
            if _is_outdated(gateway, load_event):
                continue
            delay_ms += load_event.age_ms
        elif load_event.kind is gateway_messages.LoadEventKind.ENDED:
            gateway.recent_ends.note(
                load_event.upstream_id, load_event.request_id
            )
        apply_step(gateway, load_event, now_ms, delay_ms=delay_ms)


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
    *,
    delay_ms: int = 0,
) -> None:
    """Update a runner's load with an event of this or another gateway.

    The event happened `delay_ms` ago. Events about runners that are not in the
    list are ignored.
    """
    happened_ms = now_ms - delay_ms
    load = gateway.load_by_id.get(load_event.upstream_id)
    if load is None:
        return
    start_id = gateway.upstream_by_id[load_event.upstream_id].start_id
    if load_event.prefill_permille > 0 and _is_plain(gateway, load_event):
        gateway.plain_times.add_ratio(
            start_id, load_event.prefill_permille / PERMILLE, now_ms
        )
    elif load_event.prefill_permille > 0:
        load.add_measurement(
            load_event.request_id,
            load_event.prefill_permille / PERMILLE,
            now_ms=happened_ms,
        )
    match load_event.kind:
        case gateway_messages.LoadEventKind.SENT:
            tokens = sum(tokens for _, tokens in load_event.parts)
            load.request_sent(
                load_event.request_id,
                load_event.parts,
                prefill_ms=_bounded_ms(load_event.work_ms)
                or load.prefill_ms(
                    gateway.tuning.placement_options.speeds,
                    uncached_tokens=load_event.uncached_tokens,
                    tokens=tokens,
                ),
                priority_class=load_event.priority_class,
                now_ms=happened_ms,
            )
        case gateway_messages.LoadEventKind.ANSWER_STARTED:
            load.first_token_received(load_event.request_id, now_ms=happened_ms)
            gateway.notices.note_success(start_id, now_ms)
        case gateway_messages.LoadEventKind.ENDED:
            load.request_ended(load_event.request_id, now_ms=happened_ms)
            if load_event.work_ms > 0:
                gateway.plain_times.add_time(
                    gateway.upstream_by_id[load_event.upstream_id].service,
                    "",
                    _bounded_ms(load_event.work_ms),
                )
        case gateway_messages.LoadEventKind.FAILED:
            gateway.notices.avoid(start_id, now_ms)
        case gateway_messages.LoadEventKind.LEAVING:
            gateway.notices.note_leaving(
                start_id, runner_notices.Source.GATEWAY, now_ms
            )


def measure_prefill(
    gateway: state_lib.Gateway, request: state_lib.Request, now_ms: int
) -> int:
    """Return the time of a prefill that ends now, in permille of the nominal.

    Returns 0 if it can't be measured.
    """
    assert request.current_send is not None
    load = gateway.load_by_id.get(request.current_send.upstream.upstream_id)
    if load is None or request.prompt is None:
        return 0
    ratio = load.measure_prefill(request.request_id, now_ms=now_ms)
    return 0 if ratio is None else max(1, round(ratio * PERMILLE))


def report_plain_end(
    gateway: state_lib.Gateway, request: state_lib.Request, now_ms: int
) -> Iterator[events.BroadcastLoad]:
    """Record that a request without a prompt was answered.

    Its time counts if it found a free slot at the runner.
    """
    kind = gateway_messages.LoadEventKind.ENDED
    if not request.found_free_slot or not request.began_ms:
        yield from report_step(gateway, request, kind, now_ms)
        return
    measured_ms = max(1, request.began_ms - request.sent_ms)
    service, route = request.service.name, request.route.name
    is_measured = gateway.plain_times.is_measured(service, route)
    gateway.plain_times.add_time(service, route, measured_ms)
    yield from report_step(
        gateway,
        request,
        kind,
        now_ms,
        prefill_permille=max(
            1, round(PERMILLE * measured_ms / max(1.0, request.work_ms))
        )
        if is_measured
        else 0,
        work_ms=measured_ms,
    )


def note_shed(
    gateway: state_lib.Gateway,
    request: state_lib.Request,
    event: events.PhaseFailed,
) -> None:
    """Learn at how many requests in flight a plain runner sheds."""
    assert request.current_send is not None
    upstream = request.current_send.upstream
    load = gateway.load_by_id.get(upstream.upstream_id)
    if (
        load is not None
        and request.prompt is None
        and event.run is refusal_lib.RunState.NOT_RUN
        and event.status in OVERLOAD_STATUSES
        and load.in_flight >= upstream.slots
    ):
        gateway.plain_times.add_shed(
            upstream.start_id, load.in_flight - 1, event.now_ms
        )


def report_speeds(
    gateway: state_lib.Gateway, now_ms: int
) -> Iterator[events.LogDecision]:
    """Log the learned speeds of engines from time to time."""
    if now_ms - gateway.speeds_reported_ms < SPEED_REPORT_INTERVAL_MS:
        return
    gateway.speeds_reported_ms = now_ms
    for report in gateway.speeds.report():
        yield events.LogDecision(
            decision="engine-speed",
            request_id="",
            inputs={
                "service": report.service,
                "stage": "prefill" if report.is_prefill_engine else "decode",
                "slowdown": round(report.ratio, 3),
                "spread": round(report.spread, 3),
                "stall_factor": round(report.stall_factor, 3),
                "overhead_ms": round(report.overhead_ms, 1),
                "measurements": report.measurements,
            },
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
    gateway.plain_times.drop_unlisted(listed)
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
        service_speed = gateway.speeds.service_speed(
            upstream.service, is_prefill_engine=is_prefill_engine
        )
        if load is not None and same_start:
            if load.speed.service is not service_speed:
                load.set_stage(
                    is_prefill_engine=is_prefill_engine,
                    service_speed=service_speed,
                )
            continue
        gateway.load_by_id[upstream_id] = placement_lib.EngineLoad(
            kv_cache_tokens=_kv_cache_tokens(gateway, upstream.service),
            is_prefill_engine=is_prefill_engine,
            service_speed=service_speed,
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


def _is_plain(
    gateway: state_lib.Gateway, load_event: gateway_messages.LoadEvent
) -> bool:
    upstream = gateway.upstream_by_id[load_event.upstream_id]
    if gateway.route_index is None:
        return False
    service = gateway.route_index.service_by_name.get(upstream.service)
    return service is not None and service.engine is None


def _bounded_ms(work_ms: int) -> int:
    """Return a time from outside, at most that of the longest request."""
    return min(max(0, work_ms), placement_lib.MAX_REQUEST_MS)


def _kv_cache_tokens(gateway: state_lib.Gateway, service: str) -> int:
    if gateway.route_index is None:
        return 0
    routed_service = gateway.route_index.service_by_name.get(service)
    return (
        routed_service.engine.memory_tokens
        if routed_service and routed_service.engine
        else 0
    )
