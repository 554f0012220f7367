"""Handling of the leader's entries and snapshots by a follower."""

from collections.abc import Iterator

from wisteriawall.control import raft_replication
from wisteriawall.control import raft_state
from wisteriawall.wire import raft_messages

__all__ = [
    "MAX_SNAPSHOT_BYTES",
    "acknowledge_synced",
    "on_append_request",
    "on_snapshot_chunk",
]

MAX_SNAPSHOT_BYTES = 512 * 1024 * 1024


def on_append_request(
    raft: raft_state.Raft, message: raft_messages.AppendRequest, now_ms: int
) -> Iterator[raft_state.Effect]:
    """Store the entries if they follow the log, and apply committed ones.

    Entries that don't follow the log are rejected, with a hint where the leader
    should try next.
    """
    if message.term < raft.term:
        yield _append_reply(raft, message, now_ms, success=False, match_index=0)
        return
    was_pending = raft.writes.is_pending
    yield from _accept_leader(raft, message, now_ms)
    hint = _find_mismatch(raft, message)
    if hint is not None:
        yield _append_reply(
            raft, message, now_ms, success=False, match_index=hint
        )
        return
    yield from _store_entries(raft, message.entries)
    matched = message.previous_index + len(message.entries)
    raft.matched_index = max(raft.matched_index, matched)
    commit_index = min(message.commit_index, matched)
    raft.commit_index = max(raft.commit_index, commit_index)
    yield from raft_replication.apply_committed(raft)
    _update_fresh_as_of(raft, message)
    if raft.writes.is_pending and not was_pending:
        # The first write after a pause is acknowledged when it is durable. If
        # that takes long, later requests keep the leader's lease.
        return
    yield from _acknowledge(raft, now_ms)


def acknowledge_synced(
    raft: raft_state.Raft, now_ms: int
) -> Iterator[raft_state.Effect]:
    """Tell the leader what has become durable."""
    if raft.role is raft_state.RaftRole.FOLLOWER and raft.leader:
        yield from _acknowledge(raft, now_ms)


def on_snapshot_chunk(
    raft: raft_state.Raft, message: raft_messages.SnapshotChunk, now_ms: int
) -> Iterator[raft_state.Effect]:
    """Store a chunk of a snapshot, and install the snapshot when complete."""
    if message.term < raft.term or message.total_bytes > MAX_SNAPSHOT_BYTES:
        return
    yield from _accept_leader(raft, message, now_ms)
    snapshot = message.snapshot
    if snapshot.index > raft.commit_index:
        incoming = _add_chunk(raft, message)
        if len(incoming.data) < message.total_bytes:
            reply = raft_messages.SnapshotReply(
                _reply_header(raft, message.leader_clock_ms, now_ms),
                snapshot.index,
                len(incoming.data),
            )
            yield raft_state.SendPeer(message.leader, reply)
            return
        yield from _install_snapshot(raft, snapshot, bytes(incoming.data))
    raft.matched_index = max(raft.matched_index, raft.commit_index)
    yield from _acknowledge(raft, now_ms)


def _accept_leader(
    raft: raft_state.Raft,
    message: raft_messages.AppendRequest | raft_messages.SnapshotChunk,
    now_ms: int,
) -> Iterator[raft_state.Effect]:
    """Follow the sender of a valid request as the leader of its term."""
    yield from raft_replication.become_follower(raft, message.term, now_ms)
    raft.leader = message.leader
    raft.leader_clock_ms = max(raft.leader_clock_ms, message.leader_clock_ms)
    raft.leader_contact_ms = now_ms
    raft_replication.reset_election_timer(raft, now_ms)


def _find_mismatch(
    raft: raft_state.Raft, message: raft_messages.AppendRequest
) -> int | None:
    """Return the index that the leader should try next.

    None means that the log matches the leader's at the request's previous
    entry.
    """
    previous = message.previous_index
    if previous > raft.last_index:
        return raft.last_index
    if previous <= raft.commit_index:
        return None
    if raft.log.term_at(previous) == message.previous_term:
        return None
    return raft.commit_index


def _store_entries(
    raft: raft_state.Raft, entries: list[raft_messages.LogEntry]
) -> Iterator[raft_state.Effect]:
    """Append the entries that the log lacks and remove conflicting ones."""
    new_entries = [
        entry for entry in entries if entry.index > raft.commit_index
    ]
    while new_entries and new_entries[0].index <= raft.last_index:
        if raft.log.term_at(new_entries[0].index) != new_entries[0].term:
            raft.log.truncate(new_entries[0].index)
            raft.writes.request_removal(new_entries[0].index - 1)
            yield raft_state.TruncateLog(new_entries[0].index)
            break
        del new_entries[0]
    if new_entries:
        raft.log.append(new_entries)
        raft.writes.request_entries(raft.last_index)
        yield raft_state.AppendLog(tuple(new_entries))


def _update_fresh_as_of(
    raft: raft_state.Raft, message: raft_messages.AppendRequest
) -> None:
    """Update `fresh_as_of_ms` from the clock reading that the leader returned.

    The request's commit index was current `quorum_age_ms` before the leader
    sent it, and this replica's clock had passed the returned reading by then.
    So the commit index covers all that was committed before that reading minus
    `quorum_age_ms`.
    """
    if message.follower_clock.incarnation != raft.incarnation:
        return
    raft.newest_returned_clock_ms = max(
        raft.newest_returned_clock_ms, message.follower_clock.clock_ms
    )
    if message.quorum_age_ms < 0:
        return
    if raft.applied_index >= message.commit_index:
        fresh_as_of_ms = message.follower_clock.clock_ms - message.quorum_age_ms
        raft.fresh_as_of_ms = max(raft.fresh_as_of_ms, fresh_as_of_ms)


def _add_chunk(
    raft: raft_state.Raft, message: raft_messages.SnapshotChunk
) -> raft_state.IncomingSnapshot:
    """Append the chunk if it is the next one; restart for a new snapshot."""
    key = (message.snapshot.index, message.term)
    incoming = raft.incoming_snapshot
    if incoming is None or (incoming.index, incoming.term) != key:
        incoming = raft_state.IncomingSnapshot(
            index=message.snapshot.index, term=message.term
        )
        raft.incoming_snapshot = incoming
    if message.offset == len(incoming.data):
        incoming.data += message.snapshot.data
    return incoming


def _install_snapshot(
    raft: raft_state.Raft, chunk: raft_messages.Snapshot, data: bytes
) -> Iterator[raft_state.Effect]:
    """Replace the state by a snapshot; keep log entries that continue it."""
    raft.incoming_snapshot = None
    snapshot = raft_messages.Snapshot(
        chunk.index, chunk.term, chunk.members, data
    )
    if raft.log.term_at(snapshot.index) == snapshot.term:
        raft.log.compact(snapshot, keep_from=snapshot.index + 1)
        raft.writes.request_entries(snapshot.index)
        yield raft_state.SaveSnapshot(snapshot, snapshot.index + 1)
    else:
        raft.log.reset(snapshot)
        raft.writes.request_removal(raft.commit_index)
        yield raft_state.SaveSnapshot(snapshot, snapshot.index + 1)
        raft.writes.request_entries(snapshot.index)
        yield raft_state.ResetLog(snapshot.index)
    raft.commit_index = snapshot.index
    raft.applied_index = snapshot.index
    yield raft_state.Restore(snapshot)


def _acknowledge(
    raft: raft_state.Raft, now_ms: int
) -> Iterator[raft_state.SendPeer]:
    """Acknowledge the leader's newest request, and the durable entries.

    Entries that are not durable yet are acknowledged after their sync. While
    the term is not, nothing is.
    """
    if not raft.writes.is_vote_synced:
        return
    matched = max(raft.matched_index, raft.commit_index)
    match_index = min(matched, raft.writes.synced_index)
    reply = raft_messages.AppendReply(
        _reply_header(raft, raft.leader_clock_ms, now_ms),
        success=True,
        previous_index=match_index,
        match_index=match_index,
    )
    yield raft_state.SendPeer(raft.leader, reply)


def _append_reply(
    raft: raft_state.Raft,
    request: raft_messages.AppendRequest,
    now_ms: int,
    *,
    success: bool,
    match_index: int,
) -> raft_state.SendPeer:
    reply = raft_messages.AppendReply(
        _reply_header(raft, request.leader_clock_ms, now_ms),
        success=success,
        previous_index=request.previous_index,
        match_index=match_index,
    )
    return raft_state.SendPeer(request.leader, reply)


def _reply_header(
    raft: raft_state.Raft, leader_clock_ms: int, now_ms: int
) -> raft_messages.ReplyHeader:
    return raft_messages.ReplyHeader(
        term=raft.term,
        follower=raft.replica,
        identity=raft.identity,
        is_founder=raft.is_founder,
        leader_clock_ms=leader_clock_ms,
        follower_clock=raft_messages.ClockReading(raft.incarnation, now_ms),
    )
