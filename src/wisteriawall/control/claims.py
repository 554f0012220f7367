"""Decide claims: the only run of each non-repeatable request."""

from wisteriawall.control import commands
from wisteriawall.control import outcomes
from wisteriawall.control import state
from wisteriawall.wire import control_messages

__all__ = ["forget_entry", "grant", "settle"]

MAX_KEPT_CLAIMS = 100_000
MAX_KEPT_ANSWER_BYTES = 64 * 1024 * 1024
CLAIM_KEEP_MS = 24 * 3_600 * 1_000

_Verdict = control_messages.ClaimVerdict


def grant(
    ledger: state.Ledger, index: int, command: commands.GrantClaim
) -> outcomes.ClaimOutcome:
    """Grant a claim once for each key; tell later askers what became of it.

    Claims are kept for 24 hours, the newest 100,000 of them, with at most
    64 MiB of answers; older ones go first.
    """
    _forget_old(ledger, command.at_ms)
    key = (command.account, command.service, command.key)
    claim = ledger.claim_by_key.get(key)
    if claim is None:
        _add(ledger, index, key, command)
        return outcomes.ClaimOutcome(_Verdict.GRANTED, index, None)
    if claim.digest != command.digest:
        return outcomes.ClaimOutcome(_Verdict.MISMATCH, claim.claim_id, None)
    running = claim.verdict is _Verdict.RUNNING
    if running and claim.request_id == command.request_id:
        # The same request asks again because it lost the first answer.
        return outcomes.ClaimOutcome(_Verdict.GRANTED, claim.claim_id, None)
    return outcomes.ClaimOutcome(claim.verdict, claim.claim_id, claim.answer)


def settle(
    ledger: state.Ledger, command: commands.SettleClaim
) -> outcomes.Recorded | outcomes.Dropped:
    """Record the outcome of a run, or release a claim proved not run.

    A run that counts as unknown may still be settled by its own request.
    """
    key = ledger.key_by_claim_id.get(command.claim_id)
    if key is None:
        return outcomes.Dropped("no such claim")
    claim = ledger.claim_by_key[key]
    if claim.request_id != command.request_id:
        return outcomes.Dropped("the claim belongs to another request")
    if claim.verdict is _Verdict.FINISHED:
        return outcomes.Dropped("the claim is finished")
    ledger.running_claim_ids.discard(command.claim_id)
    if command.released:
        _forget(ledger, key)
    elif command.answer is None:
        claim.verdict = _Verdict.UNKNOWN
    else:
        claim.verdict = _Verdict.FINISHED
        claim.answer = command.answer
        ledger.kept_answer_bytes += len(command.answer.body)
    return outcomes.Recorded()


def forget_entry(
    ledger: state.Ledger, command: commands.ForgetEntry
) -> outcomes.Recorded:
    """Make unknown the running claims of an entry incarnation that is gone."""
    for claim_id in sorted(ledger.running_claim_ids):
        claim = ledger.claim_by_key[ledger.key_by_claim_id[claim_id]]
        if claim.entry != command.entry:
            continue
        if claim.incarnation <= command.incarnation:
            claim.verdict = _Verdict.UNKNOWN
            ledger.running_claim_ids.discard(claim_id)
    return outcomes.Recorded()


def _add(
    ledger: state.Ledger,
    index: int,
    key: state.ClaimKey,
    command: commands.GrantClaim,
) -> None:
    ledger.claim_by_key[key] = state.Claim(
        claim_id=index,
        digest=command.digest,
        request_id=command.request_id,
        entry=command.entry,
        incarnation=command.incarnation,
        at_ms=command.at_ms,
        verdict=_Verdict.RUNNING,
    )
    ledger.key_by_claim_id[index] = key
    ledger.running_claim_ids.add(index)


def _forget_old(ledger: state.Ledger, now_ms: int) -> None:
    while ledger.claim_by_key:
        key, oldest = next(iter(ledger.claim_by_key.items()))
        kept = (
            now_ms - oldest.at_ms <= CLAIM_KEEP_MS
            and len(ledger.claim_by_key) < MAX_KEPT_CLAIMS
            and ledger.kept_answer_bytes <= MAX_KEPT_ANSWER_BYTES
        )
        if kept:
            return
        _forget(ledger, key)


def _forget(ledger: state.Ledger, key: state.ClaimKey) -> None:
    claim = ledger.claim_by_key.pop(key)
    del ledger.key_by_claim_id[claim.claim_id]
    ledger.running_claim_ids.discard(claim.claim_id)
    if claim.answer is not None:
        ledger.kept_answer_bytes -= len(claim.answer.body)
