"""Applies committed commands to the ledger.

`apply` is deterministic: every replica that applies the same log entries
holds the same ledger. Wall-clock times are part of the commands.
"""

from wisteriawall.control import audit
from wisteriawall.control import claims
from wisteriawall.control import commands
from wisteriawall.control import config_patches
from wisteriawall.control import membership
from wisteriawall.control import orders
from wisteriawall.control import outcomes
from wisteriawall.control import state
from wisteriawall.control import stream_origins
from wisteriawall.control import suspect_blocks
from wisteriawall.control import tables
from wisteriawall.control import usage
from wisteriawall.wire import fleet

__all__ = ["Ledger", "apply"]

Ledger = state.Ledger


def apply(
    ledger: state.Ledger, *, index: int, term: int, command: commands.Command
) -> outcomes.Outcome:
    """Apply a committed command and return its outcome.

    Claims, repeated patches and repeated drains get no audit record, other
    commands get one.

    Args:
        ledger: State to update.
        index: Log index of the command.
        term: Term of its log entry.
        command: Command to apply.
    """
    is_repeated = _is_repeated(ledger, command)
    outcome = _apply_command(ledger, index, term, command)
    if not is_repeated:
        audit.record(ledger, index, command, outcome)
    return outcome


def _is_repeated(ledger: state.Ledger, command: commands.Command) -> bool:
    """Return whether the command has an id whose first outcome is kept."""
    match command:
        case commands.PatchConfig(patch_id=patch_id):
            return patch_id in ledger.patch_by_id
        case commands.SetDrain(drain_id=drain_id):
            return drain_id in ledger.drain_by_id
        case _:
            return False


def _apply_command(
    ledger: state.Ledger, index: int, term: int, command: commands.Command
) -> outcomes.Outcome:
    match command:
        case commands.PatchConfig():
            return config_patches.apply_patch(ledger, command)
        case commands.PublishTable():
            return tables.publish(ledger, command)
        case commands.ChangeTable():
            return tables.change(ledger, command)
        case commands.GrantClaim():
            return claims.grant(ledger, index, command)
        case commands.SettleClaim():
            return claims.settle(ledger, command)
        case commands.RecordEntryLost():
            return claims.mark_outcomes_unknown(ledger, command)
        case (
            commands.ChangeBlock()
            | commands.SetVersions()
            | commands.RecordStreams()
            | commands.RecordUsage()
            | commands.FixUsage()
            | commands.SettleUsage()
        ):
            _apply_gateway_command(ledger, command)
            return outcomes.Recorded()
        case _:
            return _apply_fleet_command(
                ledger, fleet.FencingNumber(term, index), command
            )


def _apply_gateway_command(
    ledger: state.Ledger,
    command: commands.ChangeBlock
    | commands.SetVersions
    | commands.RecordStreams
    | commands.RecordUsage
    | commands.FixUsage
    | commands.SettleUsage,
) -> None:
    """Apply what gateways reported."""
    match command:
        case commands.ChangeBlock():
            suspect_blocks.apply(ledger, command)
        case commands.SetVersions():
            stream_origins.set_versions(ledger, command)
        case commands.RecordStreams():
            stream_origins.record(ledger, command)
        case _:
            usage.apply(ledger.usage, command)


def _apply_fleet_command(
    ledger: state.Ledger,
    fencing_number: fleet.FencingNumber,
    command: commands.Command,
) -> outcomes.Outcome:
    match command:
        case commands.IssueOrder():
            return orders.issue_order(ledger, fencing_number, command)
        case commands.RecordOrderResult():
            return orders.record_result(ledger, command)
        case commands.SetPresence():
            return membership.set_presence(ledger, fencing_number.term, command)
        case commands.RecordEngine():
            return membership.record_engine(ledger, command)
        case commands.SetDrain():
            return membership.set_drain(ledger, command)
        case _:
            return outcomes.Recorded()
