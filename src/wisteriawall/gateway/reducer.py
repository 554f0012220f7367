"""The gateway's reducer: every decision about a request, no I/O."""

from collections.abc import Iterator
import dataclasses
import functools
import zlib

from wisteriawall.config import route_table
from wisteriawall.gateway import calls
from wisteriawall.gateway import events
from wisteriawall.gateway import refusals
from wisteriawall.gateway import state as state_lib
from wisteriawall.policy import placement as placement_lib
from wisteriawall.policy import turn_away
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import site_messages

__all__ = ["reduce"]

# Urgency of rank 0; each rank behind it is one less urgent.
FIRST_URGENCY = 3
# A prompt that can't be in time anyway gives way to those that can.
LATE_URGENCY = 8
BITS_PER_BYTE = 8
# Runners keep idle connections for seconds.
ONCE_REUSE_IDLE_MS = 1_500
# A deadline shorter than others by less than this says nothing.
RETURNED_MS = 200


def reduce(
    gateway: state_lib.Gateway, event: events.Event
) -> Iterator[events.Effect]:
    """Yield the effects of one event, in the order to carry them out."""
    match event:
        case events.Arrived():
            yield from _arrive(gateway, event)
        case events.PromptRead():
            yield from _continue(gateway, event)
        case events.Began():
            yield from _begin(gateway, event)
        case events.Failed():
            yield from _fail(gateway, event)
        case events.Ended():
            yield from _end(gateway, event)
        case events.Heard(events=heard, now_ms=now_ms):
            for step in heard:
                _apply(gateway, step, now_ms)
        case events.Learned():
            yield from _learn(gateway, event)


def _arrive(
    gateway: state_lib.Gateway, event: events.Arrived
) -> Iterator[events.Effect]:
    if gateway.index is None:
        yield events.Refuse(refusal=refusals.NO_TABLE)
        return
    route = gateway.index.find(event.host, event.path)
    if route is None:
        yield events.Decided(
            decision="no-route",
            key=event.key,
            inputs={"host": event.host, "table": gateway.table_number},
        )
        yield events.Refuse(refusal=refusals.NO_ROUTE)
        return
    request = state_lib.Request(
        key=event.key,
        call=event.call,
        route=route,
        service=_service(gateway.index, route, event.key),
        arrived_ms=event.now_ms,
    )
    if event.call.prompt is not None and request.service.engine is not None:
        request.prompt = _prompt(event.key, route, event.call.prompt)
    request.waited_before_ms = _waited_before(gateway, request)
    gateway.request_by_key[event.key] = request
    gateway.retries.request(event.now_ms)
    yield from _place(gateway, request, event.now_ms)


def _waited_before(
    gateway: state_lib.Gateway, request: state_lib.Request
) -> int:
    """Return how long the caller has waited since it first asked.

    Callers of a route start with the same deadline, and one that returns has
    less of it left.
    """
    name, left_ms = request.route.name, request.call.deadline_ms
    longest_ms = max(gateway.longest_deadline_by_route.get(name, 0), left_ms)
    gateway.longest_deadline_by_route[name] = longest_ms
    waited_ms = longest_ms - left_ms
    return waited_ms if waited_ms >= RETURNED_MS else 0


def _service(
    index: route_table.RouteIndex, route: route_table.Route, key: str
) -> route_table.RoutedService:
    """Return the service of a request, drawn by weight from its id."""
    total = sum(share.weight for share in route.shares)
    drawn = zlib.crc32(key.encode()) % total
    for share in route.shares:
        drawn -= share.weight
        if drawn < 0:
            return index.service_by_name[share.service]
    raise AssertionError("weights add up to less than their sum")


def _prompt(
    key: str, route: route_table.Route, prompt: calls.PromptTokens
) -> placement_lib.Prompt:
    parts = prompt.parts
    counted = sum(tokens for _, tokens in parts)
    if prompt.input_tokens > counted:
        parts = (*parts, (f"own-{key}", prompt.input_tokens - counted))
    return placement_lib.Prompt(
        request_id=key,
        parts=parts,
        output_tokens=prompt.output_tokens,
        rank=_urgency(route),
    )


def _place(
    gateway: state_lib.Gateway, request: state_lib.Request, now_ms: int
) -> Iterator[events.Effect]:
    """Send the request where it is served soonest, or refuse it."""
    if now_ms >= request.until_ms:
        yield from _refuse(gateway, request, refusals.late(), "late")
        return
    candidates = _candidates(gateway, request)
    for upstream in candidates:
        gateway.load_by_id[upstream.upstream_id].expire(now_ms)
    if not candidates:
        yield from _refuse(gateway, request, refusals.no_runner(), "no-runner")
        return
    if request.prompt is None:
        yield from _place_plain(gateway, request, candidates, now_ms)
        return
    yield from _place_prompt(gateway, request, candidates, now_ms)


def _candidates(
    gateway: state_lib.Gateway, request: state_lib.Request
) -> list[site_messages.Upstream]:
    return [
        upstream
        for upstream in gateway.upstream_by_id.values()
        if upstream.service == request.service.name
        and not upstream.leaving
        and upstream.upstream_id not in request.tried_ids
    ]


def _place_plain(
    gateway: state_lib.Gateway,
    request: state_lib.Request,
    candidates: list[site_messages.Upstream],
    now_ms: int,
) -> Iterator[events.Effect]:
    """Send to the runner with the fewest requests, the own zone first."""

    def order(upstream: site_messages.Upstream) -> tuple[int, bool, int]:
        load = gateway.load_by_id[upstream.upstream_id]
        other_zone = upstream.zone != gateway.zone
        # The same runner whenever possible, whose connection is open already.
        preference = zlib.crc32(
            f"{gateway.name}/{upstream.upstream_id}".encode()
        )
        return load.in_flight, other_zone, preference

    chosen = min(candidates, key=order)
    load = gateway.load_by_id[chosen.upstream_id]
    if load.in_flight >= 2 * max(1, chosen.slots):
        refusal = refusals.overloaded(refusals.PLAIN_RETRY_MS)
        yield from _refuse(gateway, request, refusal, "full")
        return
    yield from _send(
        gateway,
        request,
        calls.Send(
            upstream=chosen,
            leg=calls.Leg.WHOLE,
            attempt=request.arrivals + 1,
            urgency=FIRST_URGENCY,
            reuse_idle_ms=_reuse_idle_ms(request.route),
        ),
        now_ms,
        unread_tokens=0,
    )


def _reuse_idle_ms(route: route_table.Route) -> int | None:
    """Return how long a connection may have been idle, None for any time.

    A runner may drop an idle connection at the moment it is used, and a
    request that runs once would then end with an unknown outcome.
    """
    once = route.kind is route_table.RequestKind.AT_MOST_ONCE
    return ONCE_REUSE_IDLE_MS if once else None


def _place_prompt(
    gateway: state_lib.Gateway,
    request: state_lib.Request,
    upstreams: list[site_messages.Upstream],
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
    ]
    find = functools.partial(
        _best,
        candidates=candidates,
        engine=engine,
        now_ms=now_ms,
        options=gateway.tuning.options,
    )
    in_turn = find(prompt)
    behind = find(dataclasses.replace(prompt, rank=LATE_URGENCY))
    if in_turn is None or behind is None:
        yield from _refuse(gateway, request, refusals.no_runner(), "no-runner")
        return
    route = request.route
    waited_ms = now_ms - request.arrived_ms + request.waited_before_ms
    patience_ms = turn_away.patience_ms(
        goal_ms=route.goal_ms, pause_ms=route.pause_goal_ms
    )
    decision = turn_away.decide(
        in_turn,
        behind,
        goal_ms=route.goal_ms,
        waited_ms=waited_ms,
        left_ms=min(
            patience_ms - (now_ms - request.arrived_ms),
            request.until_ms - now_ms,
        ),
        returned=request.waited_before_ms > 0,
        spread=gateway.random.random(),
        bounds=gateway.tuning.bounds,
    )
    match decision:
        case turn_away.TurnAway(reason=reason, retry_ms=retry_ms):
            yield _weighed(gateway, request, behind, "turned-away")
            refusal = refusals.overloaded(retry_ms, reason)
            yield from _refuse(gateway, request, refusal, reason)
        case turn_away.Accept(placement=placement, in_time=in_time):
            request.placement = placement
            yield _weighed(gateway, request, placement, "placed")
            yield from _send_prompt(
                gateway, request, placement, now_ms, in_time=in_time
            )


def _best(
    prompt: placement_lib.Prompt,
    *,
    candidates: list[placement_lib.Candidate],
    engine: route_table.EngineTraits,
    now_ms: int,
    options: placement_lib.Options,
) -> placement_lib.Placement | None:
    return placement_lib.best(
        placement_lib.forecasts(
            prompt,
            candidates,
            transfer_ms_per_token=engine.token_bytes
            * BITS_PER_BYTE
            / engine.link_bits_per_ms,
            now_ms=now_ms,
            options=options,
        )
    )


def _weighed(
    gateway: state_lib.Gateway,
    request: state_lib.Request,
    placement: placement_lib.Placement,
    decision: str,
) -> events.Decided:
    return events.Decided(
        decision=decision,
        key=request.key,
        inputs={
            "route": request.route.name,
            "wait_ms": round(placement.wait_ms),
            "first_token_ms": round(placement.first_token_ms),
            "unread_tokens": placement.unread_tokens,
            "waited_before_ms": request.waited_before_ms,
            "upstream": placement.upstream_id,
            "list": gateway.list_position,
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
    urgency = _urgency(request.route) if in_time else LATE_URGENCY
    match placement:
        case placement_lib.Direct(upstream_id=upstream_id):
            leg = calls.Leg.WHOLE
        case placement_lib.HandOver(reader_id=upstream_id):
            leg = calls.Leg.READ
    send = calls.Send(
        upstream=gateway.upstream_by_id[upstream_id],
        leg=leg,
        attempt=request.arrivals + 1,
        urgency=urgency,
    )
    yield from _send(
        gateway, request, send, now_ms, unread_tokens=placement.unread_tokens
    )


def _urgency(route: route_table.Route) -> int:
    return min(LATE_URGENCY, FIRST_URGENCY + route.rank)


def _send(
    gateway: state_lib.Gateway,
    request: state_lib.Request,
    send: calls.Send,
    now_ms: int,
    *,
    unread_tokens: int,
) -> Iterator[events.Effect]:
    """Note the leg, tell the others, and have it sent."""
    request.sent = send
    request.sent_ms = now_ms
    if send.leg is not calls.Leg.READ:
        request.arrivals += 1
    request.tried_ids.add(send.upstream.upstream_id)
    step = site_messages.LoadEvent(
        site_messages.LoadStep.SENT,
        send.upstream.upstream_id,
        request.key,
        unread_tokens,
        request.prompt.parts if request.prompt else (),
        send.urgency,
    )
    _apply(gateway, step, now_ms)
    yield events.Decided(
        decision="sent",
        key=request.key,
        inputs={
            "route": request.route.name,
            "leg": send.leg.value,
            "upstream": send.upstream.upstream_id,
            "attempt": send.attempt,
            "left_ms": request.until_ms - now_ms,
            "table": gateway.table_number,
            "list": gateway.list_position,
        },
    )
    yield events.Tell(event=step)
    yield send


def _continue(
    gateway: state_lib.Gateway, event: events.PromptRead
) -> Iterator[events.Effect]:
    """Hand the memory that was read over to the answering engine."""
    request = gateway.request_by_key.get(event.key)
    if request is None or request.sent is None:
        return
    placement = request.placement
    assert isinstance(placement, placement_lib.HandOver)
    reader = request.sent.upstream
    _learn_pace(gateway, request, event.now_ms)
    yield _reached(request, "prompt-read", event.now_ms)
    yield from _step(
        gateway, request, site_messages.LoadStep.ENDED, event.now_ms
    )
    answering = gateway.upstream_by_id.get(placement.upstream_id)
    if answering is None or answering.leaving:
        answering = _calmest_answering(gateway, request, event.now_ms)
    if answering is None:
        yield from _refuse(gateway, request, refusals.no_runner(), "no-runner")
        return
    send = calls.Send(
        upstream=answering,
        leg=calls.Leg.CONTINUE,
        attempt=request.arrivals + 1,
        urgency=request.sent.urgency,
        memory_from=f"{reader.address}/{event.handle}",
    )
    yield from _send(gateway, request, send, event.now_ms, unread_tokens=0)


def _calmest_answering(
    gateway: state_lib.Gateway, request: state_lib.Request, now_ms: int
) -> site_messages.Upstream | None:
    return min(
        (
            upstream
            for upstream in _candidates(gateway, request)
            if upstream.stage is not site_messages.Stage.PREFILL
        ),
        key=lambda u: gateway.load_by_id[u.upstream_id].wait_ms(
            now_ms=now_ms, rank=_urgency(request.route)
        ),
        default=None,
    )


def _begin(
    gateway: state_lib.Gateway, event: events.Began
) -> Iterator[events.Effect]:
    request = gateway.request_by_key.get(event.key)
    if request is None or request.sent is None or request.began:
        return
    request.began = True
    if request.sent.leg is calls.Leg.WHOLE:
        _learn_pace(gateway, request, event.now_ms)
    yield _reached(request, "began", event.now_ms)
    yield from _step(
        gateway, request, site_messages.LoadStep.BEGAN, event.now_ms
    )


def _reached(
    request: state_lib.Request, decision: str, now_ms: int
) -> events.Decided:
    """Return the line that compares a leg's progress with its forecast."""
    assert request.sent is not None
    inputs: dict[str, object] = {
        "upstream": request.sent.upstream.upstream_id,
        "leg": request.sent.leg.value,
        "leg_ms": now_ms - request.sent_ms,
        "ms": now_ms - request.arrived_ms,
    }
    if request.placement is not None and request.prompt is not None:
        inputs["forecast_ms"] = round(request.placement.first_token_ms)
        inputs["forecast_wait_ms"] = round(request.placement.wait_ms)
        inputs["unread_tokens"] = request.placement.unread_tokens
        inputs["tokens"] = request.prompt.tokens
    return events.Decided(decision=decision, key=request.key, inputs=inputs)


def _learn_pace(
    gateway: state_lib.Gateway, request: state_lib.Request, now_ms: int
) -> None:
    """Compare the engine's reading with what was forecast of it."""
    assert request.sent is not None
    load = gateway.load_by_id.get(request.sent.upstream.upstream_id)
    placement = request.placement
    if load is None or placement is None:
        return
    speeds = gateway.tuning.options.speeds
    if request.prompt is None or placement.wait_ms > 0:
        # A forecast of the queue says little about the engine's own pace.
        return
    read_ms = load.pace * load.read_ms(
        speeds,
        unread=placement.unread_tokens,
        tokens=request.prompt.tokens,
    )
    took_ms = now_ms - request.sent_ms - speeds.first_ms
    load.observe(expected_ms=read_ms, took_ms=max(0.0, took_ms))


def _fail(
    gateway: state_lib.Gateway, event: events.Failed
) -> Iterator[events.Effect]:
    """Try another runner where that is allowed, or give the final answer."""
    request = gateway.request_by_key.get(event.key)
    if request is None or request.sent is None:
        return
    failed = request.sent
    yield events.Decided(
        decision="leg-failed",
        key=event.key,
        inputs={
            "upstream": failed.upstream.upstream_id,
            "leg": failed.leg.value,
            "run": event.run.value,
            "reason": event.reason,
        },
    )
    yield from _step(
        gateway, request, site_messages.LoadStep.ENDED, event.now_ms
    )
    run = event.run
    if failed.leg is calls.Leg.READ:
        # Reading a prompt does not run its request.
        run = refusal_lib.RunState.NOT_RUN
        if not event.unreachable:
            request.arrivals += 1
    elif event.unreachable:
        request.arrivals -= 1
    if _may_retry(gateway, request, event, run):
        request.sent = None
        yield from _place(gateway, request, event.now_ms)
        return
    if event.answered:
        yield events.Deliver()
        return
    refusal = refusals.failed(event, run)
    yield from _refuse(gateway, request, refusal, event.reason)


def _may_retry(
    gateway: state_lib.Gateway,
    request: state_lib.Request,
    event: events.Failed,
    run: refusal_lib.RunState,
) -> bool:
    if event.now_ms >= request.until_ms:
        return False
    if request.began and not request.route.resumable:
        return False
    not_run = run is refusal_lib.RunState.NOT_RUN
    if not not_run and not request.route.repeatable:
        return False
    if event.unreachable:
        return True
    if request.arrivals >= request.route.max_attempts:
        return False
    return gateway.retries.take(event.now_ms)


def _end(
    gateway: state_lib.Gateway, event: events.Ended
) -> Iterator[events.Effect]:
    request = gateway.request_by_key.pop(event.key, None)
    if request is None or request.sent is None:
        return
    yield events.Decided(
        decision="ended",
        key=event.key,
        inputs={
            "upstream": request.sent.upstream.upstream_id,
            "whole": event.whole,
            "ms": event.now_ms - request.arrived_ms,
        },
    )
    yield from _step(
        gateway, request, site_messages.LoadStep.ENDED, event.now_ms
    )


def _refuse(
    gateway: state_lib.Gateway,
    request: state_lib.Request,
    refusal: refusal_lib.Refusal,
    reason: str,
) -> Iterator[events.Effect]:
    gateway.request_by_key.pop(request.key, None)
    yield events.Decided(
        decision="refused",
        key=request.key,
        inputs={
            "status": refusal.status,
            "run": refusal.run.value,
            "reason": reason,
            "retry_ms": refusal.retry_after_ms,
            "table": gateway.table_number,
        },
    )
    yield events.Refuse(refusal=refusal)


def _step(
    gateway: state_lib.Gateway,
    request: state_lib.Request,
    kind: site_messages.LoadStep,
    now_ms: int,
) -> Iterator[events.Tell]:
    assert request.sent is not None
    step = site_messages.LoadEvent(
        kind, request.sent.upstream.upstream_id, request.key
    )
    _apply(gateway, step, now_ms)
    yield events.Tell(event=step)


def _apply(
    gateway: state_lib.Gateway, step: site_messages.LoadEvent, now_ms: int
) -> None:
    """Note one step of this or another gateway."""
    load = gateway.load_by_id.get(step.upstream_id)
    if load is None:
        return
    match step.step:
        case site_messages.LoadStep.SENT:
            tokens = sum(tokens for _, tokens in step.parts)
            load.send(
                step.request_id,
                step.parts,
                read_ms=load.read_ms(
                    gateway.tuning.options.speeds,
                    unread=step.unread_tokens,
                    tokens=tokens,
                ),
                rank=step.rank,
                now_ms=now_ms,
            )
        case site_messages.LoadStep.BEGAN:
            load.began(step.request_id, now_ms=now_ms)
        case site_messages.LoadStep.ENDED:
            load.ended(step.request_id, now_ms=now_ms)


def _learn(
    gateway: state_lib.Gateway, event: events.Learned
) -> Iterator[events.Decided]:
    table = event.table
    if table is not None and table.number > gateway.table_number:
        gateway.index = route_table.RouteIndex(table)
        yield events.Decided(
            decision="table", key="", inputs={"number": table.number}
        )
    listed = event.upstreams
    if listed is not None and listed.position > gateway.list_position:
        gateway.list_position = listed.position
        _follow_upstreams(gateway, listed.upstreams)
        yield events.Decided(
            decision="upstreams",
            key="",
            inputs={"list": listed.position, "count": len(listed.upstreams)},
        )


def _follow_upstreams(
    gateway: state_lib.Gateway, upstreams: list[site_messages.Upstream]
) -> None:
    before = gateway.upstream_by_id
    gateway.upstream_by_id = {u.upstream_id: u for u in upstreams}
    for gone in set(gateway.load_by_id) - set(gateway.upstream_by_id):
        del gateway.load_by_id[gone]
    for upstream_id, upstream in gateway.upstream_by_id.items():
        known = before.get(upstream_id)
        same = known is not None and known.born_ms == upstream.born_ms
        load = gateway.load_by_id.get(upstream_id)
        is_reader = upstream.stage is site_messages.Stage.PREFILL
        if load is not None and same:
            load.is_reader = is_reader
            continue
        gateway.load_by_id[upstream_id] = placement_lib.EngineLoad(
            memory_tokens=_memory_tokens(gateway, upstream.service),
            is_reader=is_reader,
        )


def _memory_tokens(gateway: state_lib.Gateway, service: str) -> int:
    if gateway.index is None:
        return 0
    found = gateway.index.service_by_name.get(service)
    return found.engine.memory_tokens if found and found.engine else 0
