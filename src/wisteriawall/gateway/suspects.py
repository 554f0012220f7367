"""Requests and prompt parts under which runners crash, as all gateways see it.

Gateways tell each other of lost requests by load events, and control of the
latest ones too, for gateways that got no load events.
"""

from collections.abc import Iterable
from collections.abc import Iterator

from wisteriawall.gateway import events
from wisteriawall.gateway import protocol
from wisteriawall.gateway import state as state_lib
from wisteriawall.policy import suspects as suspects_lib
from wisteriawall.web import connection_pool
from wisteriawall.wire import gateway_messages

__all__ = [
    "apply_control",
    "apply_events",
    "blocked_reason",
    "is_blocked",
    "note_sent",
    "report",
    "report_complete_answer",
    "report_cut_off",
    "report_unreachable",
]

# Control hears of a loss in each poll during this time.
LOSS_REPORT_MS = 1_500
MAX_LOSSES = 64


def is_blocked(
    gateway: state_lib.Gateway, request: state_lib.Request, now_ms: int
) -> bool:
    """Return whether a request must not be sent, as runners crash under it."""
    return (
        not request.is_trial
        and gateway.suspects.blocked_ms(request.traits, now_ms) > 0
    )


def blocked_reason(traits: Iterable[str]) -> str:
    """Return how the log names a block: by request, or by parts of prompts."""
    is_request = any(
        trait.startswith(suspects_lib.REQUEST_PREFIX) for trait in traits
    )
    return "request-blocked" if is_request else "part-blocked"


def note_sent(
    gateway: state_lib.Gateway, request: state_lib.Request
) -> Iterator[events.LogDecision]:
    """Record that a request is sent: it may be a trial."""
    if gateway.suspects.note_sent(request.traits):
        request.is_trial = True
        yield events.LogDecision(
            decision="trial",
            request_id=request.request_id,
            inputs={"traits": sorted(request.traits)},
        )


def report_cut_off(
    gateway: state_lib.Gateway,
    request: state_lib.Request,
    event: events.PhaseFailed,
) -> Iterator[events.Effect]:
    """Record that a runner cut a request off, and tell other gateways.

    An answer that began a while ago is not the one under which it crashed. A
    runner that still takes connections has not crashed.
    """
    assert request.current_send is not None
    is_prefill = request.current_send.phase is protocol.Phase.PREFILL
    if is_prefill or (event.peer_state is connection_pool.PeerState.LISTENING):
        return
    began_ms, now_ms = request.began_ms, event.now_ms
    has_begun = began_ms > 0 and now_ms - began_ms <= suspects_lib.BEGIN_MS
    load_event = gateway_messages.LoadEvent(
        gateway_messages.LoadEventKind.CUT_OFF,
        request.current_send.upstream.upstream_id,
        request.request_id,
        parts=_without_tokens(request.traits)
        if has_begun or not began_ms
        else (),
        has_begun=has_begun,
        has_crashed=event.peer_state is connection_pool.PeerState.REFUSING,
    )
    gateway.lost_requests.append((now_ms, load_event))
    del gateway.lost_requests[:-MAX_LOSSES]
    yield from apply_events(gateway, [load_event], now_ms)
    yield events.BroadcastLoad(load_event=load_event)


def report_complete_answer(
    gateway: state_lib.Gateway, request: state_lib.Request, now_ms: int
) -> Iterator[events.BroadcastLoad]:
    """Record that an answer was complete, and tell other gateways at times."""
    assert request.current_send is not None
    told = gateway.suspects.note_answer(request.traits, now_ms)
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
    blocked = gateway.suspects.note_unreachable(upstream_id, now_ms)
    yield from _log_blocked(gateway, upstream_id, blocked, now_ms)


def apply_events(
    gateway: state_lib.Gateway,
    load_events: Iterable[gateway_messages.LoadEvent],
    now_ms: int,
) -> Iterator[events.LogDecision]:
    """Record what events of this or other gateways say about requests."""
    for event in load_events:
        upstream_id = event.upstream_id
        match event.kind:
            case gateway_messages.LoadEventKind.COMPLETED:
                gateway.suspects.note_answer(
                    [trait for trait, _ in event.parts], now_ms, is_own=False
                )
            case gateway_messages.LoadEventKind.FAILED:
                yield from report_unreachable(gateway, upstream_id, now_ms)
            case gateway_messages.LoadEventKind.CUT_OFF:
                yield from apply_losses(gateway, [event], now_ms)


def apply_losses(
    gateway: state_lib.Gateway,
    losses: Iterable[gateway_messages.LoadEvent],
    now_ms: int,
) -> Iterator[events.LogDecision]:
    """Record requests that were cut off; each may be told more than once."""
    for loss in losses:
        blocked = gateway.suspects.note_loss(
            loss.upstream_id,
            loss.request_id,
            [trait for trait, _ in loss.parts],
            has_begun=loss.has_begun,
            now_ms=now_ms - loss.age_ms,
            has_crashed=loss.has_crashed,
        )
        yield from _log_blocked(gateway, loss.upstream_id, blocked, now_ms)


def report(
    gateway: state_lib.Gateway, now_ms: int
) -> tuple[dict[str, int], gateway_messages.SuspectReport]:
    """Return the blocked sets, and what else to tell control.

    The sets are named as in the message, with the time to their next trial.
    """
    reported = gateway.suspects.report(now_ms)
    gateway.lost_requests[:] = [
        (lost_ms, event)
        for lost_ms, event in gateway.lost_requests
        if now_ms - lost_ms <= LOSS_REPORT_MS
    ]
    suspects = gateway_messages.SuspectReport(
        cleared=reported.cleared,
        wanted=reported.wanted,
        losses=[
            gateway_messages.with_age(event, now_ms - lost_ms)
            for lost_ms, event in gateway.lost_requests
        ],
    )
    return reported.remaining_ms_by_block, suspects


def apply_control(
    gateway: state_lib.Gateway, event: events.ControlUpdate
) -> Iterator[events.LogDecision]:
    """Adopt the blocks and the lost requests that control knows."""
    known = event.suspects
    yield from apply_losses(gateway, known.losses, event.now_ms)
    granted = gateway.suspects.apply_known(
        event.blocked_ms_by_parts,
        cleared=known.cleared,
        trial_by_block=known.trial_by_block,
        now_ms=event.now_ms,
    )
    for name in granted:
        yield events.LogDecision(
            decision="trial-granted",
            request_id="",
            inputs={"traits": name, "trial": known.trial_by_block[name]},
        )


def _log_blocked(
    gateway: state_lib.Gateway,
    upstream_id: str,
    blocked: list[suspects_lib.Traits],
    now_ms: int,
) -> Iterator[events.LogDecision]:
    for traits in blocked:
        yield events.LogDecision(
            decision=blocked_reason(traits),
            request_id="",
            inputs={
                "parts": sorted(traits),
                "upstream": upstream_id,
                "blocked_ms": gateway.suspects.blocked_ms(traits, now_ms),
            },
        )


def _without_tokens(traits: Iterable[str]) -> tuple[tuple[str, int], ...]:
    return tuple((trait, 0) for trait in traits)
