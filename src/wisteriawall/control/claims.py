"""Claims: permission to run a non-repeatable request, granted only once.

An entry claims a request under the caller's idempotency key before it forwards
the request, and settles the claim with the outcome of the run.
"""

from wisteriawall.control import commands
from wisteriawall.control import outcomes
from wisteriawall.control import state
from wisteriawall.wire import control_messages

__all__ = ["grant", "mark_outcomes_unknown", "settle"]

MAX_KEPT_CLAIMS = 100_000
MAX_KEPT_ANSWER_BYTES = 64 * 1024 * 1024
CLAIM_RETENTION_MS = 24 * 3_600 * 1_000

_Verdict = control_messages.ClaimVerdict


def grant(
    ledger: state.Ledger, index: int, command: commands.GrantClaim
) -> outcomes.ClaimOutcome:
    """Grant the first claim of a key; answer later ones with its outcome.

    A key that was claimed for a request with another digest is a mismatch.
    Claims are kept for 24 hours, at most 100,000 of them and with at most
    64 MiB of answers; the oldest are removed first. `index` is the log index
    of the command and becomes the claim's id.
    """
    _remove_old_claims(ledger, command.at_ms)
    key = (command.account, command.service, command.key)
    claim = ledger.claim_by_key.get(key)
    if claim is None:
        _add_claim(ledger, index, key, command)
        return outcomes.ClaimOutcome(_Verdict.GRANTED, index, None)
    if claim.digest != command.digest:
        return outcomes.ClaimOutcome(_Verdict.MISMATCH, claim.claim_id, None)
    running = claim.verdict is _Verdict.RUNNING
    if running and claim.request_id == command.request_id:
        # The entry retries because it did not receive the first reply.
        return outcomes.ClaimOutcome(_Verdict.GRANTED, claim.claim_id, None)
    return outcomes.ClaimOutcome(claim.verdict, claim.claim_id, claim.answer)


def settle(
    ledger: state.Ledger, command: commands.SettleClaim
) -> outcomes.Recorded | outcomes.Dropped:
    """Record the outcome of a run, or release a claim that was not used.

    After a release the key can be claimed again. A settlement without an
    answer makes the outcome unknown; the request that holds the claim may
    still settle it later.
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
        _remove_claim(ledger, key)
    elif command.answer is None:
        claim.verdict = _Verdict.UNKNOWN
    else:
        claim.verdict = _Verdict.FINISHED
        claim.answer = command.answer
        ledger.kept_answer_bytes += len(command.answer.body)
    return outcomes.Recorded()


def mark_outcomes_unknown(
    ledger: state.Ledger, command: commands.RecordEntryLost
) -> outcomes.Recorded:
    """Mark the running claims of a lost entry as having an unknown outcome.

    This concerns the command's incarnation of the entry and, without `only`,
    all lower ones.
    """
    for claim_id in sorted(ledger.running_claim_ids):
        claim = ledger.claim_by_key[ledger.key_by_claim_id[claim_id]]
        if claim.entry != command.entry:
            continue
        is_lost = claim.incarnation == command.incarnation or (
            claim.incarnation < command.incarnation and not command.only
        )
        if is_lost:
            claim.verdict = _Verdict.UNKNOWN
            ledger.running_claim_ids.discard(claim_id)
    return outcomes.Recorded()


def _add_claim(
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


def _remove_old_claims(ledger: state.Ledger, now_ms: int) -> None:
    """Remove the oldest claims until age, count and size limits hold."""
    while ledger.claim_by_key:
        key, oldest = next(iter(ledger.claim_by_key.items()))
        within_limits = (
            now_ms - oldest.at_ms <= CLAIM_RETENTION_MS
            and len(ledger.claim_by_key) < MAX_KEPT_CLAIMS
            and ledger.kept_answer_bytes <= MAX_KEPT_ANSWER_BYTES
        )
        if within_limits:
            return
        _remove_claim(ledger, key)


def _remove_claim(ledger: state.Ledger, key: state.ClaimKey) -> None:
    claim = ledger.claim_by_key.pop(key)
    del ledger.key_by_claim_id[claim.claim_id]
    ledger.running_claim_ids.discard(claim.claim_id)
    if claim.answer is not None:
        ledger.kept_answer_bytes -= len(claim.answer.body)
