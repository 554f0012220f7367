"""Admission of attempts: lease, configuration number, drain and claims."""

from wisteriawall.agent import events
from wisteriawall.agent import state
from wisteriawall.web import refusal as refusal_lib

__all__ = ["LEASE_MS", "MAX_CLAIMS", "admit", "end"]

LEASE_MS = 2_000
RETRY_SOON_MS = 500
MAX_CLAIMS = 16_384

_Code = refusal_lib.Code


def admit(
    agent: state.Agent, event: events.Arrived
) -> events.Admit | events.Reject:
    """Decide whether the upstream runs the attempt that arrived."""
    refusal = _find_refusal(agent, event)
    if refusal is not None:
        return events.Reject(event.request_id, refusal)
    agent.running.add((event.request_id, event.attempt))
    if event.claim_id:
        _remember_claim(agent, event.claim_id)
    return events.Admit(event.request_id)


def end(agent: state.Agent, event: events.Ended) -> None:
    """Forget an attempt; a claim proved not run may be admitted again."""
    agent.running.discard((event.request_id, event.attempt))
    if event.not_run:
        agent.admitted_claims.discard(event.claim_id)


def _remember_claim(agent: state.Agent, claim_id: int) -> None:
    agent.admitted_claims.add(claim_id)
    if len(agent.admitted_claims) > MAX_CLAIMS:
        # Claim ids are log indexes, so the lowest is the oldest.
        forgotten = min(agent.admitted_claims)
        agent.admitted_claims.discard(forgotten)
        agent.claim_floor = forgotten


def _find_refusal(
    agent: state.Agent, event: events.Arrived
) -> refusal_lib.Refusal | None:
    if event.claim_id:
        refusal = _find_claim_refusal(agent, event)
        if refusal is not None:
            return refusal
    if (event.request_id, event.attempt) in agent.running:
        return _unknown("this attempt is running")
    if agent.stopping or agent.draining or agent.pending is not None:
        return _not_run(_Code.DRAINING, "this upstream takes no new work")
    if event.now_ms >= agent.lease_until_ms:
        return _not_run(_Code.NO_LEASE, "the configuration lease has run out")
    if _is_stale(agent, event):
        return _not_run(
            _Code.STALE_CONFIG,
            f"configuration {event.config_number}, "
            f"expected {agent.config_number}",
        )
    return None


def _find_claim_refusal(
    agent: state.Agent, event: events.Arrived
) -> refusal_lib.Refusal | None:
    """Refuse what this or an earlier incarnation may have admitted."""
    if event.claim_id in agent.admitted_claims:
        return _unknown("this claim was admitted before")
    if event.claim_id <= agent.claim_floor:
        return _unknown("this claim is older than those remembered")
    if event.agent_incarnation in (0, agent.incarnation):
        return None
    if event.attempt > 1:
        return _unknown("an earlier incarnation may have run this claim")
    # The first attempt of a claim has reached no process before this one.
    return _not_run(_Code.UNAVAILABLE, "this agent has restarted")


def _not_run(code: refusal_lib.Code, message: str) -> refusal_lib.Refusal:
    return refusal_lib.Refusal(
        status=503, code=code, message=message, retry_after_ms=RETRY_SOON_MS
    )


def _unknown(message: str) -> refusal_lib.Refusal:
    return refusal_lib.Refusal(
        status=409,
        code=_Code.UNKNOWN_OUTCOME,
        message=message,
        run=refusal_lib.RunState.UNKNOWN,
    )


def _is_stale(agent: state.Agent, event: events.Arrived) -> bool:
    """Tell whether no entry may still act on the request's number."""
    if event.config_number >= agent.config_number:
        return False
    if event.config_number < agent.previous_number:
        return True
    return event.now_ms >= agent.superseded_ms + LEASE_MS
