"""Requests that are answered from the applied state, without a log entry.

Any replica answers them while its state is current; otherwise it names the
leader.
"""

import itertools
from typing import TypeAlias

from wisteriawall.control import audit
from wisteriawall.control import config_patches
from wisteriawall.control import events
from wisteriawall.control import liveness
from wisteriawall.control import redirect
from wisteriawall.control import renewal
from wisteriawall.control import replica_state
from wisteriawall.control import state
from wisteriawall.control import status as status_lib
from wisteriawall.wire import control_messages

__all__ = [
    "LedgerRead",
    "is_state_current",
    "read_ledger",
    "read_status",
    "read_table",
    "renew_lease",
]

MAX_STALENESS_MS = 1_000

LedgerRead: TypeAlias = (
    events.ConfigRequest | events.HistoryRequest | events.AuditRequest
)


def is_state_current(control: replica_state.ReplicaState, now_ms: int) -> bool:
    """Return whether the applied state was recently confirmed to be current.

    The confirmation may be up to `MAX_STALENESS_MS` old.
    """
    fresh_as_of_ms = control.raft.fresh_as_of_ms
    return fresh_as_of_ms >= 0 and now_ms - fresh_as_of_ms <= MAX_STALENESS_MS


def renew_lease(
    control: replica_state.ReplicaState,
    renew: control_messages.RenewRequest,
    now_ms: int,
) -> events.Reply:
    """Record a heartbeat and grant a configuration lease.

    A replica whose state is not current, or older than the sender's, names
    the leader instead.
    """
    not_leader = redirect.to_leader(control.raft)
    if not is_state_current(control, now_ms):
        return not_leader
    liveness.record_renewal(
        control.processes, renew, replica=control.raft.replica, now_ms=now_ms
    )
    grant = renewal.grant_lease(
        control.ledger,
        renew,
        size=control.document_size,
        age_ms=now_ms - control.raft.fresh_as_of_ms,
        leader=control.raft.leader,
    )
    return grant or not_leader


def read_ledger(
    control: replica_state.ReplicaState, request: LedgerRead, now_ms: int
) -> events.Reply:
    """Answer a read of the ledger, or name the leader if it may be old."""
    if not is_state_current(control, now_ms):
        return redirect.to_leader(control.raft)
    ledger = control.ledger
    match request:
        case events.ConfigRequest(number):
            return _find_config(ledger, number)
        case events.HistoryRequest(limit):
            return events.HistoryReply(ledger.history[: -limit - 1 : -1])
        case events.AuditRequest():
            records = audit.select(
                ledger,
                after_index=request.after_index,
                kind=request.kind,
                subject=request.subject,
            )
            return events.AuditReply(
                list(itertools.islice(records, request.limit))
            )


def _find_config(ledger: state.Ledger, number: int | None) -> events.Reply:
    """Return the configuration `number`, or the newest when it is None."""
    if number is None:
        return events.ConfigReply(ledger.config)
    found = config_patches.document_at(ledger, number)
    if found is not None:
        return events.ConfigReply(found)
    newest = ledger.config.number
    oldest = newest - len(ledger.history)
    return events.NotKept(
        f"configuration {number}, expected {oldest} to {newest}"
    )


def read_table(
    control: replica_state.ReplicaState, now_ms: int
) -> events.Reply:
    """Return the newest routing table, if this replica's state is current."""
    if not is_state_current(control, now_ms):
        return events.Unavailable("not sure which table is the newest")
    published = control.ledger.published
    if published is None:
        return events.TableReply(0, b"")
    return events.TableReply(published.table.number, published.source)


def read_status(
    control: replica_state.ReplicaState, whole: bool, now_ms: int
) -> events.Reply:
    """Return the cluster's status as this replica sees it.

    Only the leader receives the heartbeats of all processes. With `whole`,
    another replica that knows a leader names it instead.
    """
    leader = control.raft.leader
    if whole and leader not in ("", control.raft.replica):
        return redirect.to_leader(control.raft)
    return status_lib.build_status(
        raft=control.raft,
        ledger=control.ledger,
        processes=control.processes,
        now_ms=now_ms,
    )
