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

__all__ = ["apply", "engines", "in_datagrams"]

# Parts of one engine that are kept from its answer or told to other gateways.
# Prompts share their largest parts with others more often than their own ends.
MAX_PARTS = 400
MAX_DATAGRAMS = 3
# A datagram of 1,400 bytes has about 150 of envelope and other fields.
MAX_PARTS_BYTES = 1_200
# Bytes of a part beside its id.
PART_OVERHEAD_BYTES = 7
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
            "age_ms": contents.age_ms,
        },
    )


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
