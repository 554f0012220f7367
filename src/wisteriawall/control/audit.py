"""Audit trail: a record for each change, with who, when, cause and result.

The newest 50,000 records are kept; older ones go first.
"""

from collections.abc import Iterator

from wisteriawall.control import commands
from wisteriawall.control import outcomes
from wisteriawall.control import state

__all__ = ["record", "select"]

MAX_RECORDS = 50_000
TRIM_RECORDS = 1_000

_Kind = state.AuditKind


def record(
    ledger: state.Ledger,
    index: int,
    command: commands.Command,
    outcome: outcomes.Outcome,
) -> None:
    """Append the record of one applied command, if it is one to keep."""
    entry = _build(index, command, _result(outcome))
    if entry is None:
        return
    ledger.audit.append(entry)
    if len(ledger.audit) >= MAX_RECORDS + TRIM_RECORDS:
        del ledger.audit[:-MAX_RECORDS]


def select(
    ledger: state.Ledger, *, after_index: int, kind: str, subject: str
) -> Iterator[state.AuditRecord]:
    """Yield records after a log index, oldest first.

    Args:
        ledger: Ledger to read.
        after_index: Log index that the caller has seen.
        kind: Only this kind; empty for all.
        subject: Only subjects that start with this text; empty for all.
    """
    for entry in ledger.audit:
        if entry.index <= after_index:
            continue
        if kind and entry.kind != kind:
            continue
        if entry.subject.startswith(subject):
            yield entry


def _result(outcome: outcomes.Outcome) -> str:
    match outcome:
        case outcomes.ConfigChanged(number):
            return f"configuration {number}"
        case outcomes.ConfigStale(_, current):
            return f"stale: current is {current}"
        case outcomes.ConfigInvalid(faults):
            return f"invalid: {'; '.join(faults)}"
        case outcomes.TableHeld(number, changed):
            done = "in force" if changed else "unchanged"
            return f"table {number} {done}"
        case outcomes.TableConflict(number):
            return f"refused: another table has number {number}"
        case outcomes.PatchIdReused():
            return "refused: the patch id was used for another patch"
        case outcomes.OrderIssued(order):
            return f"issued {order.fence.term}/{order.fence.order_id}"
        case outcomes.OrderRefused(reason):
            return f"refused: {reason}"
        case outcomes.Dropped(reason):
            return f"dropped: {reason}"
        case _:
            return "done"


def _build(
    index: int, command: commands.Command, result: str
) -> state.AuditRecord | None:
    match command:
        case commands.TakeLead(replica, at_ms):
            return state.AuditRecord(
                index,
                at_ms,
                _Kind.LEADERSHIP,
                replica,
                replica,
                "elected",
                result,
            )
        case commands.PatchConfig(patch_id, operator, base, _, at_ms):
            return state.AuditRecord(
                index,
                at_ms,
                _Kind.PATCH,
                operator,
                f"config/{base}",
                patch_id,
                result,
            )
        case commands.PublishTable(table, _, operator, at_ms):
            return state.AuditRecord(
                index,
                at_ms,
                _Kind.TABLE,
                operator,
                f"table/{table.number}",
                "published",
                result,
            )
        case commands.ChangeReplica(change, replica, operator, at_ms):
            return state.AuditRecord(
                index, at_ms, _Kind.REPLICA, operator, replica, change, result
            )
        case commands.IssueOrder(runner, action, argument, cause, at_ms):
            subject = f"{runner} {action} {argument}"
            return state.AuditRecord(
                index, at_ms, _Kind.ORDER, "leader", subject, cause, result
            )
        case commands.CompleteOrder():
            return _build_result(index, command, result)
        case commands.SetPresence(runner, presence, _, cause, at_ms):
            return state.AuditRecord(
                index,
                at_ms,
                _Kind.MEMBERSHIP,
                "leader",
                f"{runner} {presence}",
                cause,
                result,
            )
        case commands.RecordEngine():
            return _build_inspection(index, command, result)
        case commands.SetDrain(runner, drained, operator, at_ms):
            cause = "drain" if drained else "undo drain"
            return state.AuditRecord(
                index, at_ms, _Kind.DRAIN, operator, runner, cause, result
            )
        case _:
            return None


def _build_result(
    index: int, command: commands.CompleteOrder, result: str
) -> state.AuditRecord:
    ended = "succeeded" if command.succeeded else "failed"
    return state.AuditRecord(
        index=index,
        at_ms=command.at_ms,
        kind=_Kind.ORDER_RESULT,
        actor=f"agent/{command.runner}",
        subject=f"{command.runner} order {command.order_id}",
        cause=command.detail,
        result=ended if result == "done" else result,
    )


def _build_inspection(
    index: int, command: commands.RecordEngine, result: str
) -> state.AuditRecord:
    engine = command.engine
    found = "unclear" if engine.unclear else f"{engine.role} {engine.model}"
    return state.AuditRecord(
        index=index,
        at_ms=command.at_ms,
        kind=_Kind.MEMBERSHIP,
        actor=f"agent/{command.runner}",
        subject=f"{command.runner} engine {found}",
        cause="inspection",
        result=result,
    )
