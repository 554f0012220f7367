"""What gateways tell each other about engines after a start.

This covers the parts that engines hold, and requests that a gateway sent before
it knew every other gateway.
"""

from collections.abc import Iterable
from collections.abc import Iterator

from wisteriawall.gateway import events
from wisteriawall.gateway import protocol
from wisteriawall.gateway import state as state_lib
from wisteriawall.policy import placement as placement_lib
from wisteriawall.wire import gateway_messages

__all__ = ["apply", "describe", "engines", "in_datagrams"]

# Parts of one engine that are kept from its answer or told to other gateways.
# Prompts share their largest parts with others more often than their own ends.
MAX_PARTS = 400
MAX_DATAGRAMS = 3
# A datagram of 1,400 bytes has about 150 of envelope and other fields.
MAX_PARTS_BYTES = 1_200
# Bytes of a part beside its id.
PART_OVERHEAD_BYTES = 7
# Requests in progress at one engine; engines have up to 128 slots.
MAX_REQUESTS = 200
# What a gateway is told of one runs out by itself after this time anyway.
MAX_REQUEST_AGE_MS = 10_000
# Size of a part of an exchange, estimated. It takes 35 ms on a link of
# 3.75 Mbit/s.
MAX_REPLY_BYTES = 16 * 1024
# Bytes of a request beside its id.
REQUEST_OVERHEAD_BYTES = 24
# Requests that are repeated after a start; this gateway has sent few by then.
MAX_REPEATED_REQUESTS = 100


def engines(
    gateway: state_lib.Gateway,
) -> list[gateway_messages.Upstream]:
    """Return the runners whose service has an engine in the table."""
    index = gateway.route_index
    if index is None:
        return []
    return [
        upstream
        for upstream in gateway.upstream_by_id.values()
        if not upstream.leaving
        and (service := index.service_by_name.get(upstream.service)) is not None
        and service.engine is not None
    ]


def largest_first(parts: Iterable[tuple[str, int]]) -> list[tuple[str, int]]:
    """Return the largest parts, at most `MAX_PARTS`."""
    ordered = sorted(parts, key=lambda part: (-part[1], part[0]))
    return ordered[:MAX_PARTS]


def in_datagrams(
    contents: gateway_messages.EngineContents,
) -> Iterator[gateway_messages.EngineContents]:
    """Yield pieces that fit into one datagram each, the largest parts first."""
    pieces: list[list[tuple[str, int]]] = []
    size = MAX_PARTS_BYTES
    for part, tokens in largest_first(contents.parts):
        part_bytes = len(part) + PART_OVERHEAD_BYTES
        size += part_bytes
        if size > MAX_PARTS_BYTES:
            if len(pieces) == MAX_DATAGRAMS:
                break
            pieces.append([])
            size = part_bytes
        pieces[-1].append((part, tokens))
    for parts in pieces:
        yield gateway_messages.EngineContents(
            contents.upstream_id, contents.born_ms, contents.age_ms, parts
        )


def describe(
    gateway: state_lib.Gateway, after: str, now_ms: int
) -> tuple[list[gateway_messages.EngineContents], bool]:
    """Return what this gateway knows of some engines, and if it is the last.

    Args:
        gateway: State of the gateway.
        after: Id of the last engine that was described before.
        now_ms: Monotonic clock.
    """
    described: list[gateway_messages.EngineContents] = []
    size = 0
    for upstream in sorted(engines(gateway), key=lambda u: u.upstream_id):
        if upstream.upstream_id <= after:
            continue
        contents = _describe_one(gateway, upstream, now_ms)
        size += _estimated_bytes(contents)
        if described and size > MAX_REPLY_BYTES:
            return described, False
        described.append(contents)
    return described, True


def _describe_one(
    gateway: state_lib.Gateway,
    upstream: gateway_messages.Upstream,
    now_ms: int,
) -> gateway_messages.EngineContents:
    load = gateway.load_by_id[upstream.upstream_id]
    load.drop_expired(now_ms)
    return gateway_messages.EngineContents(
        upstream.upstream_id,
        upstream.born_ms,
        0,
        load.cached_parts[:MAX_PARTS],
        [
            gateway_messages.RequestInProgress(
                progress.request_id,
                progress.prefill_ms,
                progress.priority_class,
                progress.tokens,
                max(0, now_ms - progress.sent_ms),
                progress.has_begun,
            )
            for progress in load.requests_in_progress[:MAX_REQUESTS]
        ],
    )


def _estimated_bytes(contents: gateway_messages.EngineContents) -> int:
    return sum(
        len(part) + PART_OVERHEAD_BYTES for part, _ in contents.parts
    ) + sum(
        len(request.request_id) + REQUEST_OVERHEAD_BYTES
        for request in contents.requests
    )


def apply(
    gateway: state_lib.Gateway,
    event: events.EngineAsked
    | events.EngineAnswered
    | events.ContentsTold
    | events.PeersSettled,
) -> Iterator[events.Effect]:
    """Record what an engine or another gateway says, or tell others."""
    match event:
        case events.EngineAsked(upstream=upstream):
            load = _find_load(gateway, upstream.upstream_id, upstream.born_ms)
            if load is not None:
                gateway.settled_parts_by_start[upstream.start_id] = (
                    load.settled_parts
                )
        case events.EngineAnswered():
            yield from _handle_answer(gateway, event)
        case events.ContentsTold():
            for contents in event.contents:
                yield from _restore(
                    gateway, contents, absent=frozenset(), source=event.source
                )
                _restore_requests(gateway, contents, event.now_ms)
        case events.PeersSettled(now_ms=now_ms):
            yield from _repeat_requests(gateway, now_ms)


def _handle_answer(
    gateway: state_lib.Gateway, event: events.EngineAnswered
) -> Iterator[events.Effect]:
    """Adopt an engine's answer.

    A part that a complete answer does not list is forgotten if it was known
    when the engine was asked; a later one may have arrived in the meantime.
    """
    upstream = event.upstream
    known = gateway.settled_parts_by_start.pop(upstream.start_id, frozenset())
    held = event.held
    if held is None:
        yield events.LogDecision(
            decision="engine-not-learned",
            request_id="",
            inputs={
                "upstream": upstream.upstream_id,
                "reason": event.reason,
                "took_ms": event.took_ms,
            },
        )
        return
    yield events.LogDecision(
        decision="engine-asked",
        request_id="",
        inputs={
            "upstream": upstream.upstream_id,
            "parts": len(held.parts),
            "malformed": held.malformed,
            "took_ms": event.took_ms,
        },
    )
    is_complete = held.malformed == 0
    contents = gateway_messages.EngineContents(
        upstream.upstream_id,
        upstream.born_ms,
        0,
        largest_first(held.parts),
    )
    yield from _restore(
        gateway,
        contents,
        absent=known - {part for part, _ in held.parts}
        if is_complete
        else frozenset(),
        source="engine",
    )


def _restore(
    gateway: state_lib.Gateway,
    contents: gateway_messages.EngineContents,
    *,
    absent: frozenset[str],
    source: str,
) -> Iterator[events.LogDecision]:
    load = _find_load(gateway, contents.upstream_id, contents.born_ms)
    if load is None:
        return
    new = load.restore_parts(contents.parts[:MAX_PARTS], absent=absent)
    yield events.LogDecision(
        decision="engine-learned",
        request_id="",
        inputs={
            "upstream": contents.upstream_id,
            "source": source,
            "parts": len(contents.parts),
            "new": new,
            "forgotten": len(absent),
            "requests": len(contents.requests),
            "age_ms": contents.age_ms,
        },
    )


def _restore_requests(
    gateway: state_lib.Gateway,
    contents: gateway_messages.EngineContents,
    now_ms: int,
) -> None:
    """Record requests in progress, without those that ended meanwhile."""
    upstream_id = contents.upstream_id
    load = _find_load(gateway, upstream_id, contents.born_ms)
    if load is None:
        return
    for request in sorted(
        contents.requests[:MAX_REQUESTS], key=lambda r: r.age_ms
    ):
        if not 0 <= request.age_ms < MAX_REQUEST_AGE_MS or (
            gateway.recent_ends.has_ended(upstream_id, request.request_id)
        ):
            continue
        progress = placement_lib.Progress(
            request_id=request.request_id,
            prefill_ms=request.prefill_ms,
            priority_class=request.priority_class,
            tokens=request.tokens,
            sent_ms=now_ms - request.age_ms,
            has_begun=request.has_begun,
        )
        load.restore_request(progress, now_ms=now_ms)


def _find_load(
    gateway: state_lib.Gateway, upstream_id: str, born_ms: int
) -> placement_lib.EngineLoad | None:
    """Return the load of a start of a runner that is still listed."""
    upstream = gateway.upstream_by_id.get(upstream_id)
    if upstream is None or upstream.born_ms != born_ms:
        return None
    return gateway.load_by_id.get(upstream_id)


def _repeat_requests(
    gateway: state_lib.Gateway, now_ms: int
) -> Iterator[events.BroadcastLoad]:
    """Repeat the load events of the requests in progress here."""
    in_progress = [
        request
        for request in gateway.request_by_key.values()
        if request.current_send is not None
    ]
    for request in in_progress[-MAX_REPEATED_REQUESTS:]:
        send = request.current_send
        assert send is not None
        upstream_id, request_id = send.upstream.upstream_id, request.request_id
        load = gateway.load_by_id.get(upstream_id)
        if load is None or not load.has_request(request_id):
            continue
        placement = request.placement
        is_decode = send.phase is protocol.Phase.DECODE
        yield events.BroadcastLoad(
            load_event=gateway_messages.LoadEvent(
                gateway_messages.LoadEventKind.SENT,
                upstream_id,
                request_id,
                placement.uncached_tokens
                if placement is not None and not is_decode
                else 0,
                request.prompt.parts if request.prompt else (),
                send.priority_class,
                # An event that is not repeated has none.
                age_ms=max(1, now_ms - request.sent_ms),
            )
        )
        if request.answer_started and request.prompt is not None:
            yield events.BroadcastLoad(
                load_event=gateway_messages.LoadEvent(
                    gateway_messages.LoadEventKind.ANSWER_STARTED,
                    upstream_id,
                    request_id,
                )
            )
