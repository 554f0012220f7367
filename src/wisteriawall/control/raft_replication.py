"""Replication by the leader: appends, acknowledgements and commits."""

from collections.abc import Generator
from collections.abc import Iterator

from wisteriawall.control import raft_state
from wisteriawall.wire import raft_messages

__all__ = [
    "advance_commit",
    "append",
    "apply_committed",
    "become_follower",
    "on_append_reply",
    "on_snapshot_reply",
    "reset_election_timer",
    "send_heartbeats",
    "send_new_entries",
    "update_fresh_as_of",
]

MAX_ENTRIES_PER_MESSAGE = 256
# A heartbeat waits behind the bytes that were sent before it to all followers.
MAX_APPEND_BYTES = 64 * 1024
MAX_IN_FLIGHT_BYTES = 64 * 1024
MAX_IN_FLIGHT_ENTRIES = 2_048
SNAPSHOT_CHUNK_BYTES = 64 * 1024


def reset_election_timer(raft: raft_state.Raft, now_ms: int) -> None:
    """Restart the election timer with a new random timeout."""
    raft.election_due_ms = now_ms + raft.random.randint(
        raft_state.ELECTION_TIMEOUT_MIN_MS, raft_state.ELECTION_TIMEOUT_MAX_MS
    )


def become_follower(
    raft: raft_state.Raft, term: int, now_ms: int
) -> Iterator[raft_state.Effect]:
    """Become a follower; adopt `term` if it is newer than the current one."""
    if term > raft.term:
        raft.leader = ""
        raft.incoming_snapshot = None
        yield from raft.adopt_term(term, "")
    if raft.role is not raft_state.RaftRole.FOLLOWER:
        raft.role = raft_state.RaftRole.FOLLOWER
        raft.votes = set()
        raft.leader = ""
        raft.progress_by_peer = {}
        reset_election_timer(raft, now_ms)


def append(
    raft: raft_state.Raft,
    command: bytes,
    members: tuple[raft_messages.Member, ...] | None = None,
) -> Iterator[raft_state.Effect]:
    """Append an entry as leader; `send_new_entries` sends it.

    `members` is the new membership if the entry changes it. It takes effect at
    once, and removed members get no more messages.
    """
    entry = raft_messages.LogEntry(
        raft.last_index + 1, raft.term, command, members
    )
    raft.log.append([entry])
    raft.writes.request_entries(entry.index)
    if members is not None:
        kept = set(raft.other_members)
        for peer in set(raft.progress_by_peer) - kept:
            del raft.progress_by_peer[peer]
    yield raft_state.AppendLog((entry,))


def send_new_entries(
    raft: raft_state.Raft, now_ms: int
) -> Iterator[raft_state.Effect]:
    """Send each member the entries that it has not been sent yet."""
    if raft.role is not raft_state.RaftRole.LEADER:
        return
    for peer in raft.other_members:
        yield from _send_pending(raft, peer, now_ms)


def send_heartbeats(
    raft: raft_state.Raft, now_ms: int
) -> Iterator[raft_state.Effect]:
    """Send every member new entries or a heartbeat; retry snapshot chunks."""
    raft.heartbeat_due_ms = now_ms + raft_state.HEARTBEAT_INTERVAL_MS
    for peer in raft.other_members:
        progress = _progress_of(raft, peer, now_ms)
        progress.awaits_chunk_reply = False
        sent = list(_send_pending(raft, peer, now_ms))
        yield from sent or [_append_request(raft, peer, [], now_ms)]


def on_append_reply(
    raft: raft_state.Raft, message: raft_messages.AppendReply, now_ms: int
) -> Iterator[raft_state.Effect]:
    """Update a follower's progress and commit what a majority has stored."""
    progress = yield from _accept_reply(raft, message.header, now_ms)
    if progress is None:
        return
    if message.success:
        progress.probing = False
        progress.match_index = max(progress.match_index, message.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        yield from advance_commit(raft)
    elif message.previous_index > progress.match_index:
        hint = min(message.match_index, message.previous_index - 1)
        progress.probing = True
        progress.next_index = max(progress.match_index, hint) + 1
    if raft.role is not raft_state.RaftRole.LEADER:
        return
    if progress.probing and not _needs_snapshot(raft, progress):
        # An empty request asks whether the logs match at the new index.
        yield _append_request(raft, message.header.follower, [], now_ms)
    else:
        yield from _send_pending(raft, message.header.follower, now_ms)


def on_snapshot_reply(
    raft: raft_state.Raft, message: raft_messages.SnapshotReply, now_ms: int
) -> Iterator[raft_state.Effect]:
    """Send the next chunk of a snapshot."""
    progress = yield from _accept_reply(raft, message.header, now_ms)
    if progress is None or message.index != progress.snapshot_index:
        return
    if message.received_bytes == progress.snapshot_offset and (
        progress.awaits_chunk_reply
    ):
        # A duplicate reply: this chunk is already being sent.
        return
    progress.snapshot_offset = message.received_bytes
    progress.awaits_chunk_reply = False
    yield from _send_pending(raft, message.header.follower, now_ms)


def advance_commit(raft: raft_state.Raft) -> Iterator[raft_state.Effect]:
    """Commit up to the newest entry of this term that a majority has."""
    match_index_by_peer = {
        name: progress.match_index
        for name, progress in raft.progress_by_peer.items()
    }
    commit_index = raft.majority_value(
        {**match_index_by_peer, raft.replica: raft.writes.synced_index}
    )
    if (
        commit_index <= raft.commit_index
        or raft.log.term_at(commit_index) != raft.term
    ):
        return
    raft.commit_index = commit_index
    yield from apply_committed(raft)


def apply_committed(raft: raft_state.Raft) -> Iterator[raft_state.Effect]:
    """Apply, in order, every committed entry that is not applied yet."""
    while raft.applied_index < raft.commit_index:
        raft.applied_index += 1
        yield raft_state.Apply(raft.log.entry(raft.applied_index))


def _accept_reply(
    raft: raft_state.Raft, header: raft_messages.ReplyHeader, now_ms: int
) -> Generator[raft_state.Effect, None, raft_state.Progress | None]:
    """Update and return the progress of the follower that replied.

    None means that the reply is ignored: its sender is not a member with this
    data folder, or this replica does not lead in the reply's term.
    """
    if not raft.accepts_identity(header.follower, header.identity):
        return None
    if raft.is_unidentified_founder(header.follower) and not header.is_founder:
        return None
    if header.term > raft.term:
        yield from become_follower(raft, header.term, now_ms)
        return None
    if raft.role is not raft_state.RaftRole.LEADER:
        return None
    if header.term != raft.term or header.follower not in raft.other_members:
        return None
    progress = _progress_of(raft, header.follower, now_ms)
    if progress.identity not in ("", header.identity):
        return None
    progress.identity = header.identity
    progress.last_reply_ms = now_ms
    progress.acknowledged_ms = max(
        progress.acknowledged_ms, header.leader_clock_ms
    )
    newer = header.follower_clock.clock_ms > progress.follower_clock.clock_ms
    if (
        newer
        or header.follower_clock.incarnation
        != progress.follower_clock.incarnation
    ):
        progress.follower_clock = header.follower_clock
    update_fresh_as_of(raft, now_ms)
    return progress


def update_fresh_as_of(raft: raft_state.Raft, now_ms: int) -> None:
    """Update the time up to which this leader's state is known as current."""
    if raft.has_committed_own_term():
        raft.fresh_as_of_ms = max(
            raft.fresh_as_of_ms, raft.quorum_acknowledged_ms(now_ms)
        )


def _progress_of(
    raft: raft_state.Raft, peer: str, now_ms: int
) -> raft_state.Progress:
    """Return the progress of a member, a new one if there is none."""
    progress = raft.progress_by_peer.get(peer)
    if progress is None:
        progress = raft_state.Progress(
            next_index=raft.last_index + 1, since_ms=now_ms
        )
        raft.progress_by_peer[peer] = progress
    return progress


def _needs_snapshot(
    raft: raft_state.Raft, progress: raft_state.Progress
) -> bool:
    """Return whether the next entry was already dropped from the log."""
    return progress.next_index <= raft.log.start_index


def _send_pending(
    raft: raft_state.Raft, peer: str, now_ms: int
) -> Iterator[raft_state.Effect]:
    """Send new entries, or a snapshot chunk if the log starts too late."""
    progress = _progress_of(raft, peer, now_ms)
    if _needs_snapshot(raft, progress):
        yield from _send_snapshot_chunk(raft, peer, now_ms)
        return
    while not progress.probing and progress.next_index <= raft.last_index:
        in_flight = progress.next_index - progress.match_index - 1
        in_flight_bytes = raft.log.size_bytes(
            after=progress.match_index, before=progress.next_index
        )
        if (
            in_flight >= MAX_IN_FLIGHT_ENTRIES
            or in_flight_bytes >= MAX_IN_FLIGHT_BYTES
        ):
            return
        entries = raft.log.entries_after(
            after=progress.next_index - 1,
            max_entries=MAX_ENTRIES_PER_MESSAGE,
            max_bytes=MAX_APPEND_BYTES,
        )
        yield _append_request(raft, peer, entries, now_ms)
        # Delivery is assumed; a rejected heartbeat moves the index back.
        progress.next_index += len(entries)


def _append_request(
    raft: raft_state.Raft,
    peer: str,
    entries: list[raft_messages.LogEntry],
    now_ms: int,
) -> raft_state.SendPeer:
    progress = _progress_of(raft, peer, now_ms)
    previous = max(progress.next_index - 1, raft.log.start_index)
    age_ms = -1
    if raft.has_committed_own_term():
        age_ms = now_ms - raft.quorum_acknowledged_ms(now_ms)
    request = raft_messages.AppendRequest(
        term=raft.term,
        leader=raft.replica,
        previous_index=previous,
        previous_term=raft.log.term_at(previous),
        entries=entries,
        commit_index=raft.commit_index,
        leader_clock_ms=now_ms,
        follower_clock=progress.follower_clock,
        quorum_age_ms=age_ms,
    )
    return raft_state.SendPeer(peer, request)


def _send_snapshot_chunk(
    raft: raft_state.Raft, peer: str, now_ms: int
) -> Iterator[raft_state.Effect]:
    """Send the next chunk, unless a reply is pending or the member is lost."""
    progress = _progress_of(raft, peer, now_ms)
    is_unresponsive = (
        now_ms - progress.last_reply_ms > raft_state.ELECTION_TIMEOUT_MAX_MS
    )
    if (
        progress.awaits_chunk_reply
        or progress.last_reply_ms < 0
        or is_unresponsive
    ):
        return
    snapshot = raft.log.snapshot
    if progress.snapshot_index != snapshot.index:
        progress.snapshot_index = snapshot.index
        progress.snapshot_offset = 0
    offset = progress.snapshot_offset
    chunk_data = snapshot.data[offset : offset + SNAPSHOT_CHUNK_BYTES]
    progress.awaits_chunk_reply = True
    chunk = raft_messages.SnapshotChunk(
        term=raft.term,
        leader=raft.replica,
        snapshot=raft_messages.Snapshot(
            snapshot.index, snapshot.term, snapshot.members, chunk_data
        ),
        offset=offset,
        total_bytes=len(snapshot.data),
        leader_clock_ms=now_ms,
    )
    yield raft_state.SendPeer(peer, chunk)
