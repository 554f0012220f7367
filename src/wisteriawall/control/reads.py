"""Requests that are answered from the applied state, without a log entry.

Any replica answers them. A heartbeat may be answered from a state that was
confirmed to be current a moment ago. A read waits until the state is confirmed
to be current as of the read's arrival, so that it returns all that was
acknowledged before.
"""

from collections.abc import Iterator
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
    "Read",
    "answer_confirmed_reads",
    "is_state_current",
    "read_status",
    "renew_lease",
    "submit_read",
]

MAX_STALENESS_MS = 1_000
# Confirmations arrive with the leader's heartbeats.
MAX_READ_WAIT_MS = 1_000

Read: TypeAlias = (
    events.ConfigRequest
    | events.HistoryRequest
    | events.AuditRequest
    | events.TableRequest
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


def submit_read(
    control: replica_state.ReplicaState,
    *,
    call_id: int,
    read: Read,
    now_ms: int,
) -> Iterator[events.Answer]:
    """Add a read to the pending ones, or refuse it if the state is outdated."""
    if not is_state_current(control, now_ms):
        yield events.Answer(call_id, _refusal(control, read))
        return
    control.pending_reads.append(
        replica_state.PendingRead(
            call_id=call_id, request=read, arrived_ms=now_ms
        )
    )


def answer_confirmed_reads(
    control: replica_state.ReplicaState,
) -> Iterator[events.Answer]:
    """Answer the reads that are confirmed, and those that waited too long."""
    fresh_as_of_ms = control.raft.fresh_as_of_ms
    oldest_ms = control.now_ms - MAX_READ_WAIT_MS
    reads = control.pending_reads
    control.pending_reads = []
    for read in reads:
        if fresh_as_of_ms >= read.arrived_ms:
            reply = _read_state(control.ledger, read.request)
        elif read.arrived_ms <= oldest_ms:
            reply = _refusal(control, read.request)
        else:
            control.pending_reads.append(read)
            continue
        yield events.Answer(read.call_id, reply)


def _refusal(control: replica_state.ReplicaState, read: Read) -> events.Reply:
    if isinstance(read, events.TableRequest):
        return events.Unavailable("not sure which table is the newest")
    return redirect.to_leader(control.raft)


def _read_state(ledger: state.Ledger, read: Read) -> events.Reply:
    match read:
        case events.ConfigRequest(number):
            return _find_config(ledger, number)
        case events.HistoryRequest(limit):
            return events.HistoryReply(ledger.history[: -limit - 1 : -1])
        case events.AuditRequest():
            records = audit.select(
                ledger,
                after_index=read.after_index,
                kind=read.kind,
                subject=read.subject,
            )
            return events.AuditReply(
                list(itertools.islice(records, read.limit))
            )
        case events.TableRequest():
            published = ledger.published
            if published is None:
                return events.TableReply(0, b"")
            return events.TableReply(published.table.number, published.source)


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
