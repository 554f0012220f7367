"""Parts of prompts under which runners crash, as all gateways see them."""

from collections.abc import Iterable
from collections.abc import Iterator

from wisteriawall.gateway import events
from wisteriawall.gateway import protocol
from wisteriawall.gateway import state as state_lib
from wisteriawall.policy import suspect_parts
from wisteriawall.wire import gateway_messages

__all__ = [
    "apply_events",
    "is_blocked",
    "report_complete_answer",
    "report_cut_off",
    "report_unreachable",
]


def is_blocked(
    gateway: state_lib.Gateway, request: state_lib.Request, now_ms: int
) -> bool:
    """Return whether a request has parts under which runners crash."""
    return gateway.suspect_parts.blocked_ms(request.shared_parts, now_ms) > 0


def report_cut_off(
    gateway: state_lib.Gateway, request: state_lib.Request, now_ms: int
) -> Iterator[events.Effect]:
    """Record that a runner cut a request off, and tell other gateways.

    An answer that began a while ago is not the one under which it crashed.
    """
    assert request.current_send is not None
    if request.current_send.phase is protocol.Phase.PREFILL:
        return
    began_ms = request.began_ms
    has_begun = began_ms > 0 and now_ms - began_ms <= suspect_parts.BEGIN_MS
    load_event = gateway_messages.LoadEvent(
        gateway_messages.LoadEventKind.CUT_OFF,
        request.current_send.upstream.upstream_id,
        request.request_id,
        parts=_without_tokens(request.shared_parts)
        if has_begun or not began_ms
        else (),
        has_begun=has_begun,
    )
    yield from apply_events(gateway, [load_event], now_ms)
    yield events.BroadcastLoad(load_event=load_event)


def report_complete_answer(
    gateway: state_lib.Gateway, request: state_lib.Request, now_ms: int
) -> Iterator[events.BroadcastLoad]:
    """Record that an answer was complete, and tell other gateways at times."""
    assert request.current_send is not None
    told = gateway.suspect_parts.note_answer(request.shared_parts, now_ms)
    if told:
        yield events.BroadcastLoad(
            load_event=gateway_messages.LoadEvent(
                gateway_messages.LoadEventKind.COMPLETED,
                request.current_send.upstream.upstream_id,
                request.request_id,
                parts=_without_tokens(told),
            )
        )


def report_unreachable(
    gateway: state_lib.Gateway, upstream_id: str, now_ms: int
) -> Iterator[events.LogDecision]:
    """Record that a runner can't be reached, as after a crash."""
    blocked = gateway.suspect_parts.note_unreachable(upstream_id, now_ms)
    yield from _log_blocked(gateway, upstream_id, blocked, now_ms)


def apply_events(
    gateway: state_lib.Gateway,
    load_events: Iterable[gateway_messages.LoadEvent],
    now_ms: int,
) -> Iterator[events.LogDecision]:
    """Record what events of this or other gateways say about parts."""
    suspects = gateway.suspect_parts
    for event in load_events:
        upstream_id = event.upstream_id
        parts = [part for part, _ in event.parts]
        match event.kind:
            case gateway_messages.LoadEventKind.SENT:
                suspects.note_sent(parts, now_ms)
            case gateway_messages.LoadEventKind.COMPLETED:
                suspects.note_answer(parts, now_ms, is_own=False)
            case gateway_messages.LoadEventKind.FAILED:
                yield from report_unreachable(gateway, upstream_id, now_ms)
            case gateway_messages.LoadEventKind.CUT_OFF:
                blocked = suspects.note_loss(
                    upstream_id,
                    event.request_id,
                    parts,
                    has_begun=event.has_begun,
                    now_ms=now_ms,
                )
                yield from _log_blocked(gateway, upstream_id, blocked, now_ms)


def _log_blocked(
    gateway: state_lib.Gateway,
    upstream_id: str,
    blocked: list[suspect_parts.Parts],
    now_ms: int,
) -> Iterator[events.LogDecision]:
    for parts in blocked:
        yield events.LogDecision(
            decision="part-blocked",
            request_id="",
            inputs={
                "parts": sorted(parts),
                "upstream": upstream_id,
                "blocked_ms": gateway.suspect_parts.blocked_ms(parts, now_ms),
            },
        )


def _without_tokens(parts: Iterable[str]) -> tuple[tuple[str, int], ...]:
    return tuple((part, 0) for part in parts)
