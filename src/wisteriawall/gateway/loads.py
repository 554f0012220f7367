"""What a gateway notes of requests at runners, its own and others'."""

from collections.abc import Iterator

from wisteriawall.gateway import events
from wisteriawall.gateway import state as state_lib
from wisteriawall.policy import placement as placement_lib
from wisteriawall.wire import site_messages

__all__ = ["apply", "follow_upstreams", "learn_pace", "step"]


def step(
    gateway: state_lib.Gateway,
    request: state_lib.Request,
    kind: site_messages.LoadStep,
    now_ms: int,
) -> Iterator[events.Tell]:
    """Note a step of an own request, and tell the other gateways."""
    assert request.sent is not None
    step = site_messages.LoadEvent(
        kind, request.sent.upstream.upstream_id, request.key
    )
    apply(gateway, step, now_ms)
    yield events.Tell(event=step)


def apply(
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


def learn_pace(
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


def follow_upstreams(
    gateway: state_lib.Gateway, upstreams: list[site_messages.Upstream]
) -> None:
    """Take a new list; a runner that started again remembers nothing."""
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
