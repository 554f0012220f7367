"""Admission of attempts, by lease, configuration number, drain and claim."""

from wisteriawall.agent import events
from wisteriawall.agent import state
from wisteriawall.web import refusal as refusal_lib

__all__ = ["LEASE_MS", "MAX_REMEMBERED_CLAIMS", "decide", "end_attempt"]

LEASE_MS = 2_000
RETRY_AFTER_MS = 500
MAX_REMEMBERED_CLAIMS = 16_384

_Code = refusal_lib.Code


def decide(
    agent: state.AgentState, event: events.AttemptArrived
) -> events.Admit | events.Reject:
    """Decide whether the upstream runs an attempt, and record it if so."""
    refusal = _find_refusal(agent, event)
    if refusal is not None:
        return events.Reject(event.request_id, refusal)
    agent.running_attempts.add((event.request_id, event.attempt))
    if event.claim_id:
        _record_claim(agent, event.claim_id)
    return events.Admit(event.request_id)


def end_attempt(agent: state.AgentState, event: events.AttemptEnded) -> None:
    """Remove an attempt that ended.

    Its claim may be admitted again only if the attempt did not run.
    """
    agent.running_attempts.discard((event.request_id, event.attempt))
    if event.not_run:
        agent.admitted_claim_ids.discard(event.claim_id)


def _record_claim(agent: state.AgentState, claim_id: int) -> None:
    agent.admitted_claim_ids.add(claim_id)
    if len(agent.admitted_claim_ids) > MAX_REMEMBERED_CLAIMS:
        # Claim ids are indexes of control's log, so the lowest is the oldest.
        forgotten = min(agent.admitted_claim_ids)
        agent.admitted_claim_ids.discard(forgotten)
        agent.newest_forgotten_claim_id = forgotten


def _find_refusal(
    agent: state.AgentState, event: events.AttemptArrived
) -> refusal_lib.Refusal | None:
    if event.claim_id:
        refusal = _find_claim_refusal(agent, event)
        if refusal is not None:
            return refusal
    if (event.request_id, event.attempt) in agent.running_attempts:
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
    agent: state.AgentState, event: events.AttemptArrived
) -> refusal_lib.Refusal | None:
    """Return a refusal if an earlier attempt of this claim may have run.

    Only claims that this incarnation admitted are known exactly; what
    earlier incarnations admitted is lost.
    """
    if event.claim_id in agent.admitted_claim_ids:
        return _unknown("this claim was admitted before")
    if event.claim_id <= agent.newest_forgotten_claim_id:
        return _unknown("this claim is older than those remembered")
    if event.agent_incarnation in (0, agent.incarnation):
        return None
    if event.attempt > 1:
        return _unknown("an earlier incarnation may have run this claim")
    # A first attempt has not been sent to any other process before.
    return _not_run(_Code.UNAVAILABLE, "this agent has restarted")


def _not_run(code: refusal_lib.Code, message: str) -> refusal_lib.Refusal:
    return refusal_lib.Refusal(
        status=503, code=code, message=message, retry_after_ms=RETRY_AFTER_MS
    )


def _unknown(message: str) -> refusal_lib.Refusal:
    return refusal_lib.Refusal(
        status=409,
        code=_Code.UNKNOWN_OUTCOME,
        message=message,
        run=refusal_lib.RunState.UNKNOWN,
    )


def _is_stale(agent: state.AgentState, event: events.AttemptArrived) -> bool:
    """Return whether the request's configuration number is too old.

    The previous number is accepted until the leases of the entries that may
    still use it have run out.
    """
    if event.config_number >= agent.config_number:
        return False
    if event.config_number < agent.previous_config_number:
        return True
    return event.now_ms >= agent.superseded_ms + LEASE_MS
