"""Consensus among control replicas: the Raft algorithm without I/O.

The functions use no socket, file or clock. Every call passes the time in, and
whatever must be stored, sent or applied is returned as an effect. The caller
must write log, snapshot and hard-state effects to disk in order, and call
`synced` once they are durable. All other effects may be executed at once.
"""

from collections.abc import Iterator

from wisteriawall.control import raft_election
from wisteriawall.control import raft_follower
from wisteriawall.control import raft_members
from wisteriawall.control import raft_replication
from wisteriawall.control import raft_state
from wisteriawall.wire import raft_messages

__all__ = [
    "MAX_COMMAND_BYTES",
    "AppendLog",
    "Apply",
    "Effect",
    "Raft",
    "RaftRole",
    "ResetLog",
    "Restore",
    "SaveHardState",
    "SaveSnapshot",
    "SendPeer",
    "TruncateLog",
    "add_member",
    "compact",
    "is_snapshot_due",
    "membership_refusal",
    "propose",
    "receive",
    "remove_member",
    "replaced_voter",
    "replicate",
    "synced",
    "tick",
]

AppendLog = raft_state.AppendLog
Apply = raft_state.Apply
Effect = raft_state.Effect
Raft = raft_state.Raft
RaftRole = raft_state.RaftRole
ResetLog = raft_state.ResetLog
Restore = raft_state.Restore
SaveHardState = raft_state.SaveHardState
SaveSnapshot = raft_state.SaveSnapshot
SendPeer = raft_state.SendPeer
TruncateLog = raft_state.TruncateLog

SNAPSHOT_INTERVAL_ENTRIES = 4_096
# Entries kept before a snapshot, so that slow followers catch up without it.
CATCH_UP_ENTRIES = 2_048
TYPICAL_ENTRY_BYTES = 256
MAX_COMMAND_BYTES = 4 * 1024 * 1024

membership_refusal = raft_members.refusal
add_member = raft_members.add
remove_member = raft_members.remove
replaced_voter = raft_members.replaced_voter


def tick(raft: Raft, now_ms: int) -> Iterator[Effect]:
    """Send heartbeats or start an election if one is due by `now_ms`."""
    _start_timers(raft, now_ms)
    if raft.role is RaftRole.LEADER:
        yield from _leader_tick(raft, now_ms)
    elif now_ms >= raft.election_due_ms and raft.writes.is_vote_synced:
        # A replica whose disk is stuck could not win.
        yield from raft_election.start_prevote(raft, now_ms)


def propose(raft: Raft, command: bytes, now_ms: int) -> Iterator[Effect]:
    """Append a command to the log of the leader; other replicas ignore it.

    It is applied once committed. `replicate` sends all commands of a batch to
    each follower in one message.
    """
    del now_ms
    if raft.role is RaftRole.LEADER:
        yield from raft_replication.append(raft, command)


def replicate(raft: Raft, now_ms: int) -> Iterator[Effect]:
    """Send appended entries to followers; call it after each event batch."""
    yield from raft_replication.send_new_entries(raft, now_ms)


def synced(raft: Raft, number: int, now_ms: int) -> Iterator[Effect]:
    """Continue what waits for the disk.

    Args:
        raft: Replica whose writes are durable.
        number: Value of `raft.writes.requested` after the newest effect that
            is durable, and all effects before it are.
        now_ms: Monotonic time.
    """
    was_vote_synced = raft.writes.is_vote_synced
    raft.writes.complete(number)
    ready = [sent for needed, sent in raft.delayed if needed <= number]
    raft.delayed = [entry for entry in raft.delayed if entry[0] > number]
    yield from ready
    if raft.writes.is_vote_synced and not was_vote_synced:
        yield from raft_election.on_vote_synced(raft, now_ms)
    if raft.role is RaftRole.LEADER:
        yield from raft_replication.advance_commit(raft)
    yield from raft_follower.acknowledge_synced(raft, now_ms)


def receive(
    raft: Raft, message: raft_messages.RaftMessage, now_ms: int
) -> Iterator[Effect]:
    """Process one message from another replica."""
    _start_timers(raft, now_ms)
    match message:
        case raft_messages.VoteRequest():
            yield from raft_election.on_vote_request(raft, message, now_ms)
        case raft_messages.VoteReply():
            yield from raft_election.on_vote_reply(raft, message, now_ms)
        case raft_messages.AppendRequest():
            yield from raft_follower.on_append_request(raft, message, now_ms)
        case raft_messages.AppendReply():
            yield from raft_replication.on_append_reply(raft, message, now_ms)
        case raft_messages.SnapshotChunk():
            yield from raft_follower.on_snapshot_chunk(raft, message, now_ms)
        case raft_messages.SnapshotReply():
            yield from raft_replication.on_snapshot_reply(raft, message, now_ms)


def is_snapshot_due(raft: Raft) -> bool:
    """Return whether enough entries were applied since the last snapshot."""
    covered = raft.applied_index - raft.log.snapshot.index
    # The interval grows with the snapshot, so that writing snapshots costs a
    # constant share of what writing the log costs.
    entries_by_size = len(raft.log.snapshot.data) // TYPICAL_ENTRY_BYTES
    return covered >= max(SNAPSHOT_INTERVAL_ENTRIES, entries_by_size)


def compact(
    raft: Raft, data: bytes, *, catch_up_entries: int = CATCH_UP_ENTRIES
) -> Iterator[Effect]:
    """Save a snapshot of the applied state and drop the entries it covers.

    Args:
        raft: Replica whose log is compacted.
        data: Encoded state machine after the entry at `applied_index`.
        catch_up_entries: Entries before the snapshot to keep for followers.
    """
    index = raft.applied_index
    if index <= raft.log.snapshot.index:
        return
    snapshot = raft_messages.Snapshot(
        index, raft.log.term_at(index), raft.log.members_at(index), data
    )
    keep_from = max(raft.log.start_index + 1, index + 1 - catch_up_entries)
    raft.log.compact(snapshot, keep_from=keep_from)
    raft.writes.request_entries(0)
    yield SaveSnapshot(snapshot, keep_from, is_compaction=True)


def _start_timers(raft: Raft, now_ms: int) -> None:
    if raft.election_due_ms >= 0:
        return
    # An earlier process of this replica may have acknowledged a leader just
    # before it ended, so no vote is granted until that lease has run out.
    started_ms = (
        now_ms if raft.process_started_ms < 0 else raft.process_started_ms
    )
    raft_replication.reset_election_timer(raft, started_ms)
    raft.leader_contact_ms = started_ms


def _leader_tick(raft: Raft, now_ms: int) -> Iterator[Effect]:
    last_quorum_ms = max(raft.quorum_acknowledged_ms(now_ms), raft.elected_ms)
    members_committed = raft.log.members_index <= raft.commit_index
    removed = members_committed and raft.replica not in raft.voters
    if removed or now_ms - last_quorum_ms > raft_state.ELECTION_TIMEOUT_MAX_MS:
        yield from raft_replication.become_follower(raft, raft.term, now_ms)
        return
    raft_replication.update_fresh_as_of(raft, now_ms)
    yield from raft_members.update_members(raft, now_ms)
    if now_ms >= raft.heartbeat_due_ms:
        yield from raft_replication.send_heartbeats(raft, now_ms)
    else:
        yield from raft_replication.send_new_entries(raft, now_ms)
