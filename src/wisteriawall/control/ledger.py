"""Apply committed commands to the ledger.

`apply` is deterministic: every replica that applies the same entries holds
the same ledger. Wall-clock times arrive inside the commands.
"""

from wisteriawall.control import audit
from wisteriawall.control import claims
from wisteriawall.control import commands
from wisteriawall.control import configuration
from wisteriawall.control import membership
from wisteriawall.control import orders
from wisteriawall.control import outcomes
from wisteriawall.control import state
from wisteriawall.control import tables
from wisteriawall.wire import fleet

__all__ = ["Ledger", "apply"]

Ledger = state.Ledger


def apply(
    ledger: state.Ledger, *, index: int, term: int, command: commands.Command
) -> outcomes.Outcome:
    """Apply the command at `index` and return what it decided."""
    resent = _is_resent(ledger, command)
    outcome = _decide(ledger, index, term, command)
    if not resent:
        audit.record(ledger, index, command, outcome)
    return outcome


def _is_resent(ledger: state.Ledger, command: commands.Command) -> bool:
    match command:
        case commands.PatchConfig(patch_id=patch_id):
            return patch_id in ledger.patch_by_id
        case _:
            return False


def _decide(
    ledger: state.Ledger, index: int, term: int, command: commands.Command
) -> outcomes.Outcome:
    match command:
        case commands.PatchConfig():
            return configuration.apply_patch(ledger, command)
        case commands.PublishTable():
            return tables.publish(ledger, command)
        case commands.GrantClaim():
            return claims.grant(ledger, index, command)
        case commands.SettleClaim():
            return claims.settle(ledger, command)
        case commands.ForgetEntry():
            return claims.forget_entry(ledger, command)
        case _:
            return _decide_fleet(ledger, fleet.Fence(term, index), command)


def _decide_fleet(
    ledger: state.Ledger, fence: fleet.Fence, command: commands.Command
) -> outcomes.Outcome:
    match command:
        case commands.IssueOrder():
            return orders.issue(ledger, fence, command)
        case commands.CompleteOrder():
            return orders.complete(ledger, command)
        case commands.SetPresence():
            return membership.set_presence(ledger, fence.term, command)
        case commands.RecordEngine():
            return membership.record_engine(ledger, command)
        case commands.SetDrain():
            return membership.set_drain(ledger, command)
        case _:
            return outcomes.Recorded()
