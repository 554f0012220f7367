"""Audit trail: one record for each change, with actor, cause and result.

The newest 50,000 records are kept. The texts are part of the ledger, so every
replica must make the same ones from the same command.
"""

from collections.abc import Iterator

from wisteriawall.config import route_table
from wisteriawall.control import commands
from wisteriawall.control import outcomes
from wisteriawall.control import state

__all__ = ["record", "select"]

MAX_RECORDS = 50_000
# Old records are deleted in batches, as each deletion moves all the others.
TRIM_BATCH_RECORDS = 1_000

_Kind = state.AuditKind


def record(
    ledger: state.Ledger,
    index: int,
    command: commands.Command,
    outcome: outcomes.Outcome,
) -> None:
    """Append the audit record of an applied command, if it has one."""
    audit_record = _build_record(index, command, _describe_outcome(outcome))
    if audit_record is None:
        return
    ledger.audit.append(audit_record)
    if len(ledger.audit) >= MAX_RECORDS + TRIM_BATCH_RECORDS:
        del ledger.audit[:-MAX_RECORDS]


def select(
    ledger: state.Ledger, *, after_index: int, kind: str, subject: str
) -> Iterator[state.AuditRecord]:
    """Yield the records after a log index that match, oldest first.

    Args:
        ledger: Ledger to read.
        after_index: Only records with a higher log index.
        kind: Only records of this kind; empty for all.
        subject: Only records whose subject starts with this; empty for all.
    """
    for audit_record in ledger.audit:
        if audit_record.index <= after_index:
            continue
        if kind and audit_record.kind != kind:
            continue
        if audit_record.subject.startswith(subject):
            yield audit_record


def _describe_outcome(outcome: outcomes.Outcome) -> str:
    """Return the outcome as the `result` text of an audit record."""
    match outcome:
        case outcomes.ConfigChanged(number):
            return f"configuration {number}"
        case outcomes.ConfigStale(_, current):
            return f"stale: current is {current}"
        case outcomes.ConfigInvalid(faults):
            return f"invalid: {'; '.join(faults)}"
        case (
            outcomes.TableInForce()
            | outcomes.TableConflict()
            | outcomes.TableBaseReplaced()
        ):
            return _describe_table_outcome(outcome)
        case outcomes.PatchIdReused():
            return "refused: the patch id was used for another patch"
        case outcomes.OrderIssued(order):
            return (
                f"issued {order.fencing_number.term}/"
                f"{order.fencing_number.order_id}"
            )
        case outcomes.OrderRefused(reason):
            return f"refused: {reason}"
        case outcomes.Dropped(reason):
            return f"dropped: {reason}"
        case _:
            return "done"


def _describe_table_outcome(
    outcome: (
        outcomes.TableInForce
        | outcomes.TableConflict
        | outcomes.TableBaseReplaced
    ),
) -> str:
    match outcome:
        case outcomes.TableInForce(number, changed):
            effect = "in force" if changed else "unchanged"
            return f"table {number} {effect}"
        case outcomes.TableConflict(number):
            return f"refused: another table has number {number}"
        case outcomes.TableBaseReplaced(number):
            return f"repeated: table {number} was published before it"


def _build_record(
    index: int, command: commands.Command, result: str
) -> state.AuditRecord | None:
    """Return a command's record, None for claims, streams and usage."""
    match command:
        case commands.RecordLeader(replica, at_ms):
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
        case (
            commands.PublishTable(
                table=route_table.RouteTable(number=number),
                operator=operator,
                at_ms=at_ms,
            )
            | commands.ChangeTable(
                number=number, operator=operator, at_ms=at_ms
            )
        ):
            return state.AuditRecord(
                index,
                at_ms,
                _Kind.TABLE,
                operator,
                f"table/{number}",
                "published",
                result,
            )
        case commands.RecordMembershipChange(change, replica, operator, at_ms):
            return state.AuditRecord(
                index, at_ms, _Kind.REPLICA, operator, replica, change, result
            )
        case commands.IssueOrder(runner, action, argument, cause, at_ms):
            subject = f"{runner} {action} {argument}"
            return state.AuditRecord(
                index, at_ms, _Kind.ORDER, "leader", subject, cause, result
            )
        case commands.RecordOrderResult():
            return _build_order_result(index, command, result)
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
            return _build_engine_record(index, command, result)
        case _:
            return _build_small_record(index, command, result)


def _build_small_record(
    index: int, command: commands.Command, result: str
) -> state.AuditRecord | None:
    """Return the record of a drain or a block, None for other commands."""
    match command:
        case commands.SetDrain(runner, drained, operator, at_ms):
            cause = "drain" if drained else "undo drain"
            return state.AuditRecord(
                index, at_ms, _Kind.DRAIN, operator, runner, cause, result
            )
        case commands.ChangeBlock(name, change, gateway, _, at_ms):
            return state.AuditRecord(
                index, at_ms, _Kind.BLOCK, gateway, name, change.value, result
            )
        case _:
            return None


def _build_order_result(
    index: int, command: commands.RecordOrderResult, result: str
) -> state.AuditRecord:
    """Return the record of an order's result, ignored reports included."""
    order_result = "succeeded" if command.succeeded else "failed"
    return state.AuditRecord(
        index=index,
        at_ms=command.at_ms,
        kind=_Kind.ORDER_RESULT,
        actor=f"agent/{command.runner}",
        subject=f"{command.runner} order {command.order_id}",
        cause=command.detail,
        result=order_result if result == "done" else result,
    )


def _build_engine_record(
    index: int, command: commands.RecordEngine, result: str
) -> state.AuditRecord:
    engine = command.engine
    engine_state = (
        "unclear" if engine.state_unknown else f"{engine.role} {engine.model}"
    )
    return state.AuditRecord(
        index=index,
        at_ms=command.at_ms,
        kind=_Kind.MEMBERSHIP,
        actor=f"agent/{command.runner}",
        subject=f"{command.runner} engine {engine_state}",
        cause="inspection",
        result=result,
    )
