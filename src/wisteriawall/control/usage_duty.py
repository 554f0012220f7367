"""Usage reports of a control replica: what its reducer asks of `usage`."""

from collections.abc import Iterator

from wisteriawall.control import commands
from wisteriawall.control import duties
from wisteriawall.control import events
from wisteriawall.control import redirect
from wisteriawall.control import replica_state
from wisteriawall.control import usage
from wisteriawall.wire import gateway_messages

__all__ = [
    "describe_fixed",
    "due_commands",
    "due_report",
    "note_report",
    "receipt",
]


def note_report(
    control: replica_state.ReplicaState,
    request: gateway_messages.FollowRequest,
    event: events.CallReceived,
) -> Iterator[events.Note]:
    """Merge the usage that a gateway reports."""
    if request.usage is None or control.usage.settings is None:
        return
    published = control.ledger.published
    accounts = published.table.accounts if published else None
    for finding in usage.note_report(
        control.usage,
        control.ledger.usage,
        request,
        accounts=frozenset(account.name for account in accounts or ()),
        now_ms=event.now_ms,
        wall_ms=event.wall_ms,
    ):
        yield events.Note(finding.decision, finding.inputs)


def receipt(
    control: replica_state.ReplicaState,
    request: gateway_messages.FollowRequest,
) -> gateway_messages.UsageReceipt:
    """Return what is committed of a gateway's usage."""
    return usage.receipt(control.usage, control.ledger.usage, request)


def due_commands(
    control: replica_state.ReplicaState, now_ms: int, wall_ms: int
) -> Iterator[commands.Command]:
    """Yield the commands about usage that the leader has to commit."""
    started_ms = control.raft.process_started_ms
    yield from usage.due_commands(
        control.usage,
        control.ledger.usage,
        leading_ms=now_ms - control.raft.elected_ms,
        now_ms=now_ms,
        wall_ms=wall_ms,
        running_ms=now_ms - started_ms if started_ms >= 0 else 0,
    )


def due_report(
    control: replica_state.ReplicaState,
    request: events.DueUsageRequest,
    *,
    now_ms: int,
    wall_ms: int,
) -> events.Reply:
    """Return the report that this replica, as leader, has to send."""
    settings = control.usage.settings
    if settings is None or not control.raft.holds_lease(now_ms):
        return redirect.to_leader(control.raft)
    time_ms = usage.window_time_ms(
        control.usage, now_ms=now_ms, wall_ms=wall_ms
    )
    report = duties.choose_report(
        control.ledger.usage.unsent,
        failed=request.failed,
        window_ms=settings.window_ms,
        late_ms=settings.late_ms,
        time_ms=time_ms,
    )
    overdue_ms = 0
    if report is not None:
        end_ms = (report.window + 1) * settings.window_ms
        overdue_ms = time_ms - end_ms - settings.late_ms
    return events.DueUsageReply(
        control.raft.term, report, overdue_ms, settings.late_ms
    )


def describe_fixed(
    control: replica_state.ReplicaState, command: commands.FixUsage
) -> Iterator[events.Note]:
    """Log a window that was fixed, at the leader only."""
    if not control.raft.holds_lease(control.now_ms):
        return
    for report in control.ledger.usage.unsent:
        if report.window == command.window:
            yield events.Note(
                "usage-fixed",
                {
                    "window": report.window,
                    "term": control.raft.term,
                    "accounts": len(report.count_by_account),
                    "requests": sum(report.count_by_account.values()),
                    "unsent": len(control.ledger.usage.unsent),
                },
            )
