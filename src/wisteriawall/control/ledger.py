"""State that the replicated log builds: configuration, claims and orders.

`apply` is deterministic: every replica that applies the same entries holds
the same ledger. Wall-clock times arrive inside the commands.
"""

from collections import OrderedDict
import dataclasses
from typing import final

import msgspec

from wisteriawall.config import document
from wisteriawall.config import patch
from wisteriawall.control import commands
from wisteriawall.wire import control_messages
from wisteriawall.wire import fleet

__all__ = [
    "AuditRecord",
    "Claim",
    "ClaimOutcome",
    "ConfigChanged",
    "ConfigInvalid",
    "ConfigStale",
    "Ledger",
    "OrderIssued",
    "OrderRefused",
    "Outcome",
    "Recorded",
    "apply",
]

MAX_KEPT_PATCHES = 10_000
MAX_KEPT_CLAIMS = 100_000
MAX_AUDIT_RECORDS = 50_000


@final
class ConfigChanged(msgspec.Struct, frozen=True, tag="changed"):
    """A patch was accepted and made this configuration number."""

    number: int


@final
class ConfigStale(msgspec.Struct, frozen=True, tag="stale"):
    """A patch named a number that is not the current one."""

    expected: int
    current: int


@final
class ConfigInvalid(msgspec.Struct, frozen=True, tag="invalid"):
    """A patch leads to a document that is not valid."""

    faults: tuple[str, ...]


@final
class ClaimOutcome(msgspec.Struct, frozen=True, tag="claim"):
    """Verdict on a claim, with the kept answer of a finished run."""

    verdict: control_messages.ClaimVerdict
    claim_id: int
    answer: fleet.KeptAnswer | None


@final
class OrderIssued(msgspec.Struct, frozen=True, tag="issued"):
    """An order became the pending order of its runner."""

    order: fleet.Order


@final
class OrderRefused(msgspec.Struct, frozen=True, tag="refused"):
    """An order conflicts with the runner's pending order."""

    pending: fleet.Fence


@final
class Recorded(msgspec.Struct, frozen=True, tag="recorded"):
    """The command changed the ledger and needs no answer of its own."""


Outcome = (
    ConfigChanged
    | ConfigStale
    | ConfigInvalid
    | ClaimOutcome
    | OrderIssued
    | OrderRefused
    | Recorded
)
PatchOutcome = ConfigChanged | ConfigStale | ConfigInvalid


@final
class AuditRecord(msgspec.Struct, frozen=True):
    """One line of the audit trail; `at_ms` is Unix time."""

    index: int
    at_ms: int
    kind: str
    actor: str
    subject: str
    cause: str
    result: str


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Claim:
    """A non-repeatable request and what became of it."""

    claim_id: int
    digest: str
    request_id: str
    entry: str
    incarnation: int
    at_ms: int
    verdict: control_messages.ClaimVerdict
    answer: fleet.KeptAnswer | None = None


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class RunnerState:
    """Agreed state of one runner."""

    phase: fleet.RunnerPhase
    role: fleet.Role
    pending: fleet.Order | None = None
    floor: fleet.Fence = fleet.FENCE_ZERO


ClaimKey = tuple[str, str, str]


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Ledger:
    """Everything the log has decided so far."""

    config: document.Document = dataclasses.field(
        default_factory=document.empty
    )
    fleet_version: int = 0
    runner_by_name: dict[str, RunnerState] = dataclasses.field(
        default_factory=dict
    )
    outcome_by_patch_id: OrderedDict[str, PatchOutcome] = dataclasses.field(
        default_factory=OrderedDict
    )
    claim_by_key: OrderedDict[ClaimKey, Claim] = dataclasses.field(
        default_factory=OrderedDict
    )
    key_by_claim_id: dict[int, ClaimKey] = dataclasses.field(
        default_factory=dict
    )
    audit: list[AuditRecord] = dataclasses.field(default_factory=list)

    def fleet_view(self) -> fleet.FleetView:
        """Return the agreed state of every runner."""
        runners = [
            fleet.RunnerView(name, state.phase, state.role)
            for name, state in sorted(self.runner_by_name.items())
        ]
        return fleet.FleetView(self.fleet_version, runners)


def apply(
    ledger: Ledger, *, index: int, term: int, command: commands.Command
) -> Outcome:
    """Apply the command at `index` and return what it decided."""
    match command:
        case commands.TakeLead() | commands.ChangeReplica():
            outcome: Outcome = Recorded()
        case commands.PatchConfig():
            outcome = _patch_config(ledger, command)
        case commands.GrantClaim():
            outcome = _grant_claim(ledger, index, command)
        case commands.SettleClaim():
            outcome = _settle_claim(ledger, command)
        case commands.IssueOrder():
            fence = fleet.Fence(term, index)
            outcome = _issue_order(ledger, fence, command)
        case commands.CompleteOrder():
            outcome = _complete_order(ledger, command)
        case commands.SetPhase():
            outcome = _set_phase(ledger, command)
    _record_audit(ledger, index, command, outcome)
    return outcome


def _patch_config(
    ledger: Ledger, command: commands.PatchConfig
) -> PatchOutcome:
    first = ledger.outcome_by_patch_id.get(command.patch_id)
    if first is not None:
        return first
    outcome = _decide_patch(ledger, command)
    if command.patch_id:
        ledger.outcome_by_patch_id[command.patch_id] = outcome
        while len(ledger.outcome_by_patch_id) > MAX_KEPT_PATCHES:
            ledger.outcome_by_patch_id.popitem(last=False)
    return outcome


def _decide_patch(
    ledger: Ledger, command: commands.PatchConfig
) -> PatchOutcome:
    current = ledger.config.number
    if command.base_number != current:
        return ConfigStale(command.base_number, current)
    try:
        ledger.config = patch.apply_patch(
            current=ledger.config, change=command.change
        )
    except patch.PatchInvalid as error:
        return ConfigInvalid(error.faults)
    _follow_config(ledger)
    return ConfigChanged(ledger.config.number)


def _follow_config(ledger: Ledger) -> None:
    """Add states of new runners and drop those of removed ones."""
    for name, runner in ledger.config.runners.items():
        if name not in ledger.runner_by_name:
            ledger.runner_by_name[name] = RunnerState(
                phase=fleet.RunnerPhase.LIVE, role=_initial_role(runner)
            )
    for name in set(ledger.runner_by_name) - set(ledger.config.runners):
        del ledger.runner_by_name[name]
    ledger.fleet_version += 1


def _initial_role(runner: document.Runner) -> fleet.Role:
    del runner
    return fleet.Role.MIXED


def _grant_claim(
    ledger: Ledger, index: int, command: commands.GrantClaim
) -> ClaimOutcome:
    key = (command.account, command.service, command.key)
    claim = ledger.claim_by_key.get(key)
    if claim is None:
        claim = Claim(
            claim_id=index,
            digest=command.digest,
            request_id=command.request_id,
            entry=command.entry,
            incarnation=command.incarnation,
            at_ms=command.at_ms,
            verdict=control_messages.ClaimVerdict.RUNNING,
        )
        ledger.claim_by_key[key] = claim
        ledger.key_by_claim_id[index] = key
        _forget_old_claims(ledger)
        return ClaimOutcome(control_messages.ClaimVerdict.GRANTED, index, None)
    if claim.digest != command.digest:
        return ClaimOutcome(
            control_messages.ClaimVerdict.MISMATCH, claim.claim_id, None
        )
    if claim.request_id == command.request_id and claim.answer is None:
        # The same request asks again because it lost the first answer.
        return ClaimOutcome(
            control_messages.ClaimVerdict.GRANTED, claim.claim_id, None
        )
    return ClaimOutcome(claim.verdict, claim.claim_id, claim.answer)


def _forget_old_claims(ledger: Ledger) -> None:
    while len(ledger.claim_by_key) > MAX_KEPT_CLAIMS:
        _, claim = ledger.claim_by_key.popitem(last=False)
        del ledger.key_by_claim_id[claim.claim_id]


def _settle_claim(ledger: Ledger, command: commands.SettleClaim) -> Recorded:
    key = ledger.key_by_claim_id.get(command.claim_id)
    if key is None:
        return Recorded()
    claim = ledger.claim_by_key[key]
    if claim.request_id != command.request_id:
        return Recorded()
    if claim.verdict is not control_messages.ClaimVerdict.RUNNING:
        return Recorded()
    if command.released:
        del ledger.claim_by_key[key]
        del ledger.key_by_claim_id[command.claim_id]
    elif command.answer is None:
        claim.verdict = control_messages.ClaimVerdict.UNKNOWN
    else:
        claim.verdict = control_messages.ClaimVerdict.FINISHED
        claim.answer = command.answer
    return Recorded()


def _issue_order(
    ledger: Ledger, fence: fleet.Fence, command: commands.IssueOrder
) -> Outcome:
    state = ledger.runner_by_name.get(command.runner)
    if state is None:
        return Recorded()
    if state.pending is not None:
        return OrderRefused(state.pending.fence)
    order = fleet.Order(fence, command.runner, command.action, command.argument)
    state.pending = order
    state.floor = fence
    state.phase = fleet.RunnerPhase.CHANGING
    ledger.fleet_version += 1
    return OrderIssued(order)


def _complete_order(
    ledger: Ledger, command: commands.CompleteOrder
) -> Recorded:
    state = ledger.runner_by_name.get(command.runner)
    if state is None or state.pending is None:
        return Recorded()
    if state.pending.fence.order_id != command.order_id:
        return Recorded()
    state.pending = None
    state.role = command.role
    if state.phase is fleet.RunnerPhase.CHANGING:
        state.phase = fleet.RunnerPhase.LIVE
    ledger.fleet_version += 1
    return Recorded()


def _set_phase(ledger: Ledger, command: commands.SetPhase) -> Recorded:
    state = ledger.runner_by_name.get(command.runner)
    if state is not None:
        state.phase = command.phase
        ledger.fleet_version += 1
    return Recorded()


def _record_audit(
    ledger: Ledger, index: int, command: commands.Command, outcome: Outcome
) -> None:
    record = _audit_record(index, command, outcome)
    if record is None:
        return
    ledger.audit.append(record)
    del ledger.audit[:-MAX_AUDIT_RECORDS]


def _audit_record(
    index: int, command: commands.Command, outcome: Outcome
) -> AuditRecord | None:
    result = type(outcome).__name__
    match command:
        case commands.TakeLead(replica, at_ms):
            return AuditRecord(
                index, at_ms, "leadership", replica, replica, "elected", "leads"
            )
        case commands.ChangeReplica(change, replica, operator, at_ms):
            return AuditRecord(
                index, at_ms, "replica", operator, replica, change, result
            )
        case commands.PatchConfig(patch_id, operator, base, _, at_ms):
            subject = f"config {base}"
            return AuditRecord(
                index, at_ms, "patch", operator, subject, patch_id, result
            )
        case commands.IssueOrder(runner, action, argument, cause, at_ms):
            subject = f"{runner} {action} {argument}"
            return AuditRecord(
                index, at_ms, "order", "leader", subject, cause, result
            )
        case commands.CompleteOrder(order_id, runner, succeeded, detail, _, at):
            text = "succeeded" if succeeded else "failed"
            subject = f"{runner} order {order_id}"
            return AuditRecord(
                index, at, "order-result", runner, subject, detail, text
            )
        case commands.SetPhase(runner, phase, cause, at_ms):
            return AuditRecord(
                index, at_ms, "membership", "leader", runner, cause, phase
            )
        case _:
            return None
