"""Placement of requests: choose a runner, or refuse the request.

Plain requests go to the runner at which `policy.plain_times` expects them to be
complete first, and are refused if that is too late at all of them. Prompts go
where `policy.placement` finds the lowest cost, which is mostly the time to the
first token, unless `policy.admission` rejects them.
"""

from collections.abc import Iterator
import dataclasses
import functools
import zlib

from wisteriawall.config import route_table
from wisteriawall.gateway import accounts
from wisteriawall.gateway import events
from wisteriawall.gateway import final_answers
from wisteriawall.gateway import limits
from wisteriawall.gateway import loads
from wisteriawall.gateway import protocol
from wisteriawall.gateway import refusals
from wisteriawall.gateway import retry_budget
from wisteriawall.gateway import state as state_lib
from wisteriawall.gateway import stream_origins
from wisteriawall.gateway import suspects
from wisteriawall.policy import admission
from wisteriawall.policy import placement as placement_lib
from wisteriawall.policy import plain_times
from wisteriawall.wire import gateway_messages

__all__ = [
    "dispatch",
    "least_loaded_decoder",
    "may_send",
    "place",
    "priority_class",
]

# Priority class of routes of rank 0; each further rank adds one. A lower class
# is served first.
TOP_PRIORITY_CLASS = 3
# Classes of each rank of accounts, for the ranks of routes. Routes without an
# account have those of the accounts of rank 1.
CLASSES_PER_ACCOUNT_RANK = 3
# Priority class of prompts that can't meet their target latency. They are
# served after all prompts that can.
LATE_PRIORITY_CLASS = 8
BITS_PER_BYTE = 8
# Standard deviations of the time of a request that has to end before a stop.
STOP_DEVIATIONS = 2
# Shorter than the few seconds after which runners close idle connections.
AT_MOST_ONCE_MAX_IDLE_MS = 1_500


def place(
    gateway: state_lib.Gateway, request: state_lib.Request, now_ms: int
) -> Iterator[events.Effect]:
    """Choose a runner for a request and dispatch it, or refuse it.

    Called on arrival and again for each retry; runners that were tried before
    are left out.
    """
    if now_ms >= request.deadline_at_ms:
        yield from final_answers.refuse(
            gateway, request, refusals.deadline_passed(), "late"
        )
        return
    if _outlasts_stop(gateway, request, now_ms):
        yield from final_answers.refuse(
            gateway, request, refusals.STOPPING, "stopping"
        )
        return
    verdict = accounts.identify(gateway, request, now_ms)
    if isinstance(verdict, accounts.Refused):
        yield from final_answers.refuse(
            gateway, request, verdict.refusal, verdict.reason
        )
        return
    if request.prompt is not None:
        request.prompt = dataclasses.replace(
            request.prompt, priority_class=priority_class(request)
        )
    if suspects.is_blocked(gateway, request, now_ms):
        yield from final_answers.refuse_blocked(gateway, request, now_ms)
        return
    candidates = _candidates(gateway, request, now_ms)
    for upstream in candidates:
        gateway.load_by_id[upstream.upstream_id].drop_expired(now_ms)
    if not candidates:
        yield from final_answers.refuse_without_runner(gateway, request, now_ms)
        return
    if request.prompt is None:
        yield from _place_plain(gateway, request, candidates, now_ms)
        return
    yield from _place_prompt(gateway, request, candidates, now_ms)


def _outlasts_stop(
    gateway: state_lib.Gateway, request: state_lib.Request, now_ms: int
) -> bool:
    """Return whether a stop would end a request that must not be repeated.

    It goes by the time that such requests have taken.
    """
    if (
        gateway.answers_end_ms is None
        or request.route.kind is not route_table.RequestKind.AT_MOST_ONCE
    ):
        return False
    service, route = request.service.name, request.route.name
    times = gateway.plain_times
    needed_ms = times.work_ms(service, route)
    needed_ms += STOP_DEVIATIONS * times.deviation_ms(service, route)
    return now_ms + needed_ms > gateway.answers_end_ms


def may_send(
    gateway: state_lib.Gateway,
    request: state_lib.Request,
    upstream: gateway_messages.Upstream,
    now_ms: int,
) -> bool:
    """Return whether a runner accepts a request of this gateway."""
    return (
        not upstream.leaving
        and stream_origins.fits(gateway, request, upstream, now_ms)
        and gateway.notices.may_send(upstream.start_id, now_ms)
        and gateway.limits.may_send(
            upstream.start_id, request.request_id, now_ms
        )
    )


def _candidates(
    gateway: state_lib.Gateway, request: state_lib.Request, now_ms: int
) -> list[gateway_messages.Upstream]:
    """Return the runners that a request may be sent to.

    Runners that failed lately are left out, unless they are too many.
    """
    allowed = [
        upstream
        for upstream in gateway.upstream_by_id.values()
        if upstream.service == request.service.name
        and upstream.upstream_id not in request.tried_upstream_ids
        and may_send(gateway, request, upstream, now_ms)
    ]
    preferred_ids = gateway.notices.without_avoided(
        [upstream.start_id for upstream in allowed], now_ms
    )
    return [u for u in allowed if u.start_id in preferred_ids]


def _place_plain(
    gateway: state_lib.Gateway,
    request: state_lib.Request,
    candidates: list[gateway_messages.Upstream],
    now_ms: int,
) -> Iterator[events.Effect]:
    """Dispatch a request without a prompt by expected completion.

    Among similar runners, those in the gateway's own zone go first.
    """
    service, route = request.service.name, request.route.name
    times = gateway.plain_times
    forecasts = [
        times.forecast(_plain_load(gateway, upstream), service, route, now_ms)
        for upstream in candidates
    ]
    chosen = plain_times.choose(
        forecasts,
        remaining_ms=request.deadline_at_ms - now_ms,
        deviation_ms=times.deviation_ms(service, route),
        at_most_once=(
            request.route.kind is route_table.RequestKind.AT_MOST_ONCE
        ),
    )
    if chosen is None:
        yield _plain_decision(
            request, min(forecasts, key=_completion_ms), "turned-away"
        )
        retry_ms = plain_times.retry_ms(forecasts, gateway.random.random())
        refusal = refusals.overloaded(retry_ms)
        yield from final_answers.refuse(gateway, request, refusal, "full")
        return
    yield _plain_decision(request, chosen, "placed")
    request.work_ms = times.work_ms(service, route)
    request.found_free_slot = chosen.load.in_flight < chosen.load.slots
    yield from dispatch(
        gateway,
        request,
        protocol.Send(
            upstream=gateway.upstream_by_id[chosen.load.upstream_id],
            phase=protocol.Phase.WHOLE,
            attempt=request.attempts + 1,
            priority_class=TOP_PRIORITY_CLASS,
            max_idle_ms=_max_idle_ms(request.route),
        ),
        now_ms,
        uncached_tokens=0,
    )


def _plain_load(
    gateway: state_lib.Gateway, upstream: gateway_messages.Upstream
) -> plain_times.RunnerLoad:
    load = gateway.load_by_id[upstream.upstream_id]
    # A fixed order per gateway sends consecutive requests to the same runner,
    # which has an open connection already.
    order = zlib.crc32(f"{gateway.name}/{upstream.upstream_id}".encode())
    return plain_times.RunnerLoad(
        upstream_id=upstream.upstream_id,
        start_id=upstream.start_id,
        slots=upstream.slots,
        in_flight=load.in_flight,
        work_ms=load.pending_work_ms,
        same_zone=upstream.zone == gateway.zone,
        preference=order / placement_lib.MAX_CRC32,
    )


def _completion_ms(forecast: plain_times.Forecast) -> float:
    return forecast.completion_ms


def _plain_decision(
    request: state_lib.Request, forecast: plain_times.Forecast, decision: str
) -> events.LogDecision:
    return events.LogDecision(
        decision=decision,
        request_id=request.request_id,
        inputs={
            "route": request.route.name,
            "upstream": forecast.load.upstream_id,
            "in_flight": forecast.load.in_flight,
            "max_in_flight": forecast.max_in_flight,
            "wait_ms": round(forecast.wait_ms),
            "run_ms": round(forecast.run_ms),
            "slowdown": round(forecast.factor, 3),
        },
    )


def _max_idle_ms(route: route_table.Route) -> int | None:
    """Return how long a reused connection may have been idle.

    Returns None if there is no bound. A runner may close an idle connection
    just as a request is sent on it. A request that must not be repeated would
    then end with an unknown outcome.
    """
    at_most_once = route.kind is route_table.RequestKind.AT_MOST_ONCE
    return AT_MOST_ONCE_MAX_IDLE_MS if at_most_once else None


def _place_prompt(
    gateway: state_lib.Gateway,
    request: state_lib.Request,
    upstreams: list[gateway_messages.Upstream],
    now_ms: int,
) -> Iterator[events.Effect]:
    prompt, engine = request.prompt, request.service.engine
    assert prompt is not None
    assert engine is not None
    candidates = [
        placement_lib.Candidate(
            upstream_id=upstream.upstream_id,
            load=gateway.load_by_id[upstream.upstream_id],
            same_zone=upstream.zone == gateway.zone,
        )
        for upstream in upstreams
        if request.may_prefill
        or upstream.stage is not gateway_messages.Stage.PREFILL
    ]
    find_placement = functools.partial(
        _cheapest_placement,
        candidates=candidates,
        engine=engine,
        now_ms=now_ms,
        options=gateway.tuning.placement_options,
    )
    at_route_priority = find_placement(prompt)
    at_late_priority = find_placement(
        dataclasses.replace(prompt, priority_class=LATE_PRIORITY_CLASS)
    )
    if at_route_priority is None or at_late_priority is None:
        yield from final_answers.refuse_without_runner(gateway, request, now_ms)
        return
    route = request.route
    waited_ms = now_ms - request.arrived_ms + request.earlier_wait_ms
    has_begun = request.origin is not None
    # The caller waits for the next event since the last one.
    waiting_ms = 0 if has_begun else now_ms - request.arrived_ms
    client_timeout_ms = admission.client_timeout_ms(
        target_latency_ms=route.goal_ms, target_gap_ms=route.pause_goal_ms
    )
    decision = admission.decide(
        at_route_priority,
        at_late_priority,
        target_latency_ms=route.goal_ms,
        waited_ms=waited_ms,
        remaining_ms=min(
            client_timeout_ms - waiting_ms,
            request.deadline_at_ms - now_ms,
        ),
        is_retry=request.earlier_wait_ms > 0,
        has_begun=has_begun,
        is_idle=_is_mostly_idle(gateway, at_late_priority),
        standing=gateway.fair_share.standing(request.account, now_ms),
        jitter=gateway.random.random(),
        bounds=gateway.tuning.admission_bounds,
    )
    match decision:
        case admission.Reject(reason=reason, retry_ms=retry_ms):
            gateway.fair_share.add_shortage(request.account, now_ms)
            yield _placement_decision(
                gateway, request, at_late_priority, "turned-away"
            )
            refusal = refusals.overloaded(retry_ms, reason)
            yield from final_answers.refuse(gateway, request, refusal, reason)
        case admission.Accept(placement=placement, in_time=in_time):
            request.placement = placement
            _count_work(gateway, request, placement, now_ms, in_time=in_time)
            yield _placement_decision(gateway, request, placement, "placed")
            yield from _send_prompt(
                gateway, request, placement, now_ms, in_time=in_time
            )


def _count_work(
    gateway: state_lib.Gateway,
    request: state_lib.Request,
    placement: placement_lib.Placement,
    now_ms: int,
    *,
    in_time: bool,
) -> None:
    """Count the engine time of an accepted prompt for its account."""
    if not request.account or request.prompt is None:
        return
    load = gateway.load_by_id[placement.prefill_upstream_id]
    work_ms = load.prefill_ms(
        gateway.tuning.placement_options.speeds,
        uncached_tokens=placement.uncached_tokens,
        tokens=request.prompt.tokens,
    )
    gateway.fair_share.add_work(request.account, work_ms, now_ms)
    if not in_time:
        gateway.fair_share.add_shortage(request.account, now_ms)


def _is_mostly_idle(
    gateway: state_lib.Gateway, placement: placement_lib.Placement
) -> bool:
    """Return whether half of the slots are free and no prompt waits."""
    return placement.wait_ms <= 0 and all(
        2 * gateway.load_by_id[upstream_id].in_flight
        <= gateway.upstream_by_id[upstream_id].slots
        and not gateway.load_by_id[upstream_id].pending_prefills
        for upstream_id in (
            placement.prefill_upstream_id,
            placement.upstream_id,
        )
    )


def _cheapest_placement(
    prompt: placement_lib.Prompt,
    *,
    candidates: list[placement_lib.Candidate],
    engine: route_table.EngineCapacity,
    now_ms: int,
    options: placement_lib.Options,
) -> placement_lib.Placement | None:
    return placement_lib.cheapest(
        placement_lib.enumerate_placements(
            prompt,
            candidates,
            transfer_ms_per_token=engine.token_bytes
            * BITS_PER_BYTE
            / engine.link_bits_per_ms,
            now_ms=now_ms,
            options=options,
        )
    )


def _placement_decision(
    gateway: state_lib.Gateway,
    request: state_lib.Request,
    placement: placement_lib.Placement,
    decision: str,
) -> events.LogDecision:
    load = gateway.load_by_id[placement.prefill_upstream_id]
    return events.LogDecision(
        decision=decision,
        request_id=request.request_id,
        inputs={
            "route": request.route.name,
            "queued": load.pending_prefills,
            "slowdown": round(load.slowdown, 3),
            "slowdown_error": round(load.uncertainty, 3),
            "wait_ms": round(placement.wait_ms),
            "first_token_ms": round(placement.first_token_ms),
            "unread_tokens": placement.uncached_tokens,
            "waited_before_ms": request.earlier_wait_ms,
            "upstream": placement.upstream_id,
            "list": gateway.list_version,
        },
    )


def _send_prompt(
    gateway: state_lib.Gateway,
    request: state_lib.Request,
    placement: placement_lib.Placement,
    now_ms: int,
    *,
    in_time: bool,
) -> Iterator[events.Effect]:
    send_class = priority_class(request) if in_time else LATE_PRIORITY_CLASS
    match placement:
        case placement_lib.SingleEngine(upstream_id=upstream_id):
            phase = protocol.Phase.WHOLE
        case placement_lib.EnginePair(prefill_id=upstream_id):
            phase = protocol.Phase.PREFILL
            yield from limits.reserve_decoder(
                gateway, request, placement.upstream_id, now_ms
            )
    send = protocol.Send(
        upstream=gateway.upstream_by_id[upstream_id],
        phase=phase,
        attempt=request.attempts + 1,
        priority_class=send_class,
    )
    yield from dispatch(
        gateway,
        request,
        send,
        now_ms,
        uncached_tokens=placement.uncached_tokens,
    )


def priority_class(request: state_lib.Request) -> int:
    """Return the priority class of a request.

    The rank of its account goes first, then that of its route, so that short
    requests of an urgent route don't wait behind long ones of accounts of the
    same rank. Without the rank of an account, that of the route counts alone.
    The platform's scale is 0 to 9, with 0 served first.
    """
    account_rank, route_rank = request.account_rank, request.route.rank
    if account_rank is None:
        return min(LATE_PRIORITY_CLASS, TOP_PRIORITY_CLASS + route_rank)
    route_class = max(0, min(CLASSES_PER_ACCOUNT_RANK - 1, route_rank))
    account_class = CLASSES_PER_ACCOUNT_RANK * max(0, account_rank)
    return min(LATE_PRIORITY_CLASS - 1, account_class + route_class)


def dispatch(
    gateway: state_lib.Gateway,
    request: state_lib.Request,
    send: protocol.Send,
    now_ms: int,
    *,
    uncached_tokens: int,
) -> Iterator[events.Effect]:
    """Send one phase of a request to a runner.

    Records the phase in the request and in the runner's load, and broadcasts
    the load to the other gateways. `uncached_tokens` is the number of prompt
    tokens that the runner is expected to prefill.
    """
    verdict = accounts.identify(gateway, request, now_ms)
    if isinstance(verdict, accounts.Refused):
        yield from final_answers.refuse(
            gateway, request, verdict.refusal, verdict.reason
        )
        return
    runner = send.upstream.start_id
    send = dataclasses.replace(
        send,
        is_limited=gateway.limits.is_limited(runner),
        account=verdict.account,
        hides_key=verdict.hides_key,
        valid_until_ms=verdict.valid_until_ms,
    )
    request.current_send = send
    request.sent_ms = now_ms
    request.began_ms = 0
    if send.phase is not protocol.Phase.PREFILL:
        request.attempts += 1
    retry_budget.note_send(gateway, request, send)
    request.tried_upstream_ids.add(send.upstream.upstream_id)
    load_event = gateway_messages.LoadEvent(
        gateway_messages.LoadEventKind.SENT,
        send.upstream.upstream_id,
        request.request_id,
        uncached_tokens,
        request.prompt.parts if request.prompt else (),
        send.priority_class,
        work_ms=0 if request.prompt else round(request.work_ms),
    )
    loads.apply_step(gateway, load_event, now_ms)
    limits.apply_step(gateway, load_event, now_ms, is_own=True)
    yield from suspects.note_sent(gateway, request)
    yield events.LogDecision(
        decision="sent",
        request_id=request.request_id,
        inputs={
            "route": request.route.name,
            "account": request.account,
            "leg": send.phase.value,
            "upstream": send.upstream.upstream_id,
            "attempt": send.attempt,
            "fingerprint": request.fingerprint,
            "version": send.upstream.version,
            "resumes": request.head.resumes[
                : stream_origins.MAX_LOGGED_ID_LENGTH
            ],
            "urgency": send.priority_class,
            "left_ms": request.deadline_at_ms - now_ms,
            "table": gateway.table_number,
            "table_age_ms": now_ms - gateway.table_confirmed_ms,
            "list": gateway.list_version,
        },
    )
    yield events.BroadcastLoad(load_event=load_event)
    yield send


def least_loaded_decoder(
    gateway: state_lib.Gateway, request: state_lib.Request, now_ms: int
) -> gateway_messages.Upstream | None:
    """Return the decode engine with the shortest wait for this request.

    Returns None if no engine that can decode is left to try.
    """
    return min(
        (
            upstream
            for upstream in _candidates(gateway, request, now_ms)
            if upstream.stage is not gateway_messages.Stage.PREFILL
        ),
        key=lambda u: gateway.load_by_id[u.upstream_id].wait_ms(
            now_ms=now_ms, priority_class=priority_class(request)
        ),
        default=None,
    )
