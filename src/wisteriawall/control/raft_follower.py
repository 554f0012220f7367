"""Handling of the leader's entries and snapshots by a follower."""

from collections.abc import Iterator

from wisteriawall.control import raft_replication
from wisteriawall.control import raft_state
from wisteriawall.wire import raft_messages

__all__ = ["MAX_SNAPSHOT_BYTES", "on_append_request", "on_snapshot_chunk"]

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
    yield from _accept_leader(raft, message.term, message.leader, now_ms)
    hint = _find_mismatch(raft, message)
    if hint is not None:
        yield _append_reply(
            raft, message, now_ms, success=False, match_index=hint
        )
        return
    yield from _store_entries(raft, message.entries)
    matched = message.previous_index + len(message.entries)
    commit_index = min(message.commit_index, matched)
    raft.commit_index = max(raft.commit_index, commit_index)
    yield from raft_replication.apply_committed(raft)
    _update_fresh_as_of(raft, message)
    yield _append_reply(
        raft,
        message,
        now_ms,
        success=True,
        match_index=max(matched, raft.commit_index),
    )


def on_snapshot_chunk(
    raft: raft_state.Raft, message: raft_messages.SnapshotChunk, now_ms: int
) -> Iterator[raft_state.Effect]:
    """Store a chunk of a snapshot, and install the snapshot when complete."""
    if message.term < raft.term or message.total_bytes > MAX_SNAPSHOT_BYTES:
        return
    yield from _accept_leader(raft, message.term, message.leader, now_ms)
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
    final_reply = raft_messages.AppendReply(
        _reply_header(raft, message.leader_clock_ms, now_ms),
        success=True,
        previous_index=snapshot.index,
        match_index=raft.commit_index,
    )
    yield raft_state.SendPeer(message.leader, final_reply)


def _accept_leader(
    raft: raft_state.Raft, term: int, leader: str, now_ms: int
) -> Iterator[raft_state.Effect]:
    """Follow the sender of a valid request as the leader of `term`."""
    yield from raft_replication.become_follower(raft, term, now_ms)
    raft.leader = leader
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
            yield raft_state.TruncateLog(new_entries[0].index)
            break
        del new_entries[0]
    if new_entries:
        raft.log.append(new_entries)
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
        yield raft_state.SaveSnapshot(snapshot, snapshot.index + 1)
    else:
        raft.log.reset(snapshot)
        yield raft_state.SaveSnapshot(snapshot, snapshot.index + 1)
        yield raft_state.ResetLog(snapshot.index)
    raft.commit_index = snapshot.index
    raft.applied_index = snapshot.index
    yield raft_state.Restore(snapshot)


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
