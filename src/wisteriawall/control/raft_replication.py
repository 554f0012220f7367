"""Replication by the leader: appends, acknowledgements and commit."""

from collections.abc import Generator
from collections.abc import Iterator

from wisteriawall.control import raft_state
from wisteriawall.wire import raft_messages

__all__ = [
    "advance_commit",
    "append",
    "apply_committed",
    "confirm",
    "flush",
    "heartbeat",
    "on_append_reply",
    "on_snapshot_reply",
    "reset_election",
    "step_down",
]

MAX_ENTRIES_PER_MESSAGE = 256
MAX_APPEND_BYTES = 1024 * 1024
MAX_WINDOW_ENTRIES = 2_048
SNAPSHOT_CHUNK_BYTES = 256 * 1024


def reset_election(raft: raft_state.Raft, now_ms: int) -> None:
    """Wait a new random time for a leader before standing for election."""
    raft.election_due_ms = now_ms + raft.random.randint(
        raft_state.ELECTION_MIN_MS, raft_state.ELECTION_MAX_MS
    )


def step_down(
    raft: raft_state.Raft, term: int, now_ms: int
) -> Iterator[raft_state.Effect]:
    """Follow, in a newer term if `term` is one."""
    if term > raft.term:
        raft.term = term
        raft.voted_for = ""
        raft.leader = ""
        raft.incoming = None
        yield raft_state.SaveHardState(term, "")
    if raft.role is not raft_state.RaftRole.FOLLOWER:
        raft.role = raft_state.RaftRole.FOLLOWER
        raft.leader = ""
        raft.progress_by_peer = {}
        reset_election(raft, now_ms)


def append(
    raft: raft_state.Raft,
    command: bytes,
    members: tuple[raft_messages.Member, ...] | None = None,
) -> Iterator[raft_state.Effect]:
    """Append an entry as leader; `flush` sends it."""
    entry = raft_messages.LogEntry(
        raft.last_index + 1, raft.term, command, members
    )
    raft.log.append([entry])
    if members is not None:
        kept = set(raft.others)
        for peer in set(raft.progress_by_peer) - kept:
            del raft.progress_by_peer[peer]
    yield raft_state.AppendLog((entry,))
    yield from advance_commit(raft)


def flush(raft: raft_state.Raft, now_ms: int) -> Iterator[raft_state.Effect]:
    """Send entries that followers were not sent yet."""
    if raft.role is not raft_state.RaftRole.LEADER:
        return
    for peer in raft.others:
        yield from _send_new(raft, peer, now_ms)


def heartbeat(
    raft: raft_state.Raft, now_ms: int
) -> Iterator[raft_state.Effect]:
    """Assert leadership to every member and repeat what got no answer."""
    raft.heartbeat_due_ms = now_ms + raft_state.HEARTBEAT_MS
    for peer in raft.others:
        progress = _progress(raft, peer)
        progress.snapshot_waiting = False
        sent = list(_send_new(raft, peer, now_ms))
        yield from sent or [_append_request(raft, peer, [], now_ms)]


def on_append_reply(
    raft: raft_state.Raft, message: raft_messages.AppendReply, now_ms: int
) -> Iterator[raft_state.Effect]:
    """Learn how far a follower's log matches and commit what a majority has."""
    progress = yield from _on_received(raft, message.received, now_ms)
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
        # One empty message asks whether the logs match at the new place.
        yield _append_request(raft, message.received.follower, [], now_ms)
    else:
        yield from _send_new(raft, message.received.follower, now_ms)


def on_snapshot_reply(
    raft: raft_state.Raft, message: raft_messages.SnapshotReply, now_ms: int
) -> Iterator[raft_state.Effect]:
    """Send the next piece of a snapshot."""
    progress = yield from _on_received(raft, message.received, now_ms)
    if progress is None or message.index != progress.snapshot_index:
        return
    if message.received_bytes == progress.snapshot_bytes and (
        progress.snapshot_waiting
    ):
        return
    progress.snapshot_bytes = message.received_bytes
    progress.snapshot_waiting = False
    yield from _send_new(raft, message.received.follower, now_ms)


def advance_commit(raft: raft_state.Raft) -> Iterator[raft_state.Effect]:
    """Commit the newest entry of this term that a majority holds."""
    matched = {n: p.match_index for n, p in raft.progress_by_peer.items()}
    agreed = raft.agreed({**matched, raft.replica: raft.last_index})
    if agreed <= raft.commit_index or raft.log.term_at(agreed) != raft.term:
        return
    raft.commit_index = agreed
    yield from apply_committed(raft)


def apply_committed(raft: raft_state.Raft) -> Iterator[raft_state.Effect]:
    """Apply every committed entry that is not applied yet, in order."""
    while raft.applied_index < raft.commit_index:
        raft.applied_index += 1
        yield raft_state.Apply(raft.log.entry(raft.applied_index))


def _on_received(
    raft: raft_state.Raft, received: raft_messages.Received, now_ms: int
) -> Generator[raft_state.Effect, None, raft_state.Progress | None]:
    """Return the progress of a follower that answered this leadership."""
    if not raft.accepts(received.follower, received.identity):
        return None
    if raft.awaits_founder(received.follower) and not received.is_founder:
        return None
    if received.term > raft.term:
        yield from step_down(raft, received.term, now_ms)
        return None
    if raft.role is not raft_state.RaftRole.LEADER:
        return None
    if received.term != raft.term or received.follower not in raft.others:
        return None
    progress = _progress(raft, received.follower)
    if progress.identity not in ("", received.identity):
        return None
    progress.identity = received.identity
    progress.heard_ms = now_ms
    progress.confirmed_ms = max(progress.confirmed_ms, received.round_ms)
    newer = received.echo.clock_ms > progress.echo.clock_ms
    if newer or received.echo.incarnation != progress.echo.incarnation:
        progress.echo = received.echo
    confirm(raft, now_ms)
    return progress


def confirm(raft: raft_state.Raft, now_ms: int) -> None:
    """Note until when this leader's applied state is known to be current."""
    if raft.commits_own_term():
        raft.confirmed_ms = max(raft.confirmed_ms, raft.quorum_ms(now_ms))


def _progress(raft: raft_state.Raft, peer: str) -> raft_state.Progress:
    progress = raft.progress_by_peer.get(peer)
    if progress is None:
        progress = raft_state.Progress(next_index=raft.last_index + 1)
        raft.progress_by_peer[peer] = progress
    return progress


def _needs_snapshot(
    raft: raft_state.Raft, progress: raft_state.Progress
) -> bool:
    return progress.next_index <= raft.log.start_index


def _send_new(
    raft: raft_state.Raft, peer: str, now_ms: int
) -> Iterator[raft_state.Effect]:
    progress = _progress(raft, peer)
    if _needs_snapshot(raft, progress):
        yield from _send_chunk(raft, peer, now_ms)
        return
    while not progress.probing and progress.next_index <= raft.last_index:
        in_flight = progress.next_index - progress.match_index - 1
        if in_flight >= MAX_WINDOW_ENTRIES:
            return
        entries = raft.log.page(
            after=progress.next_index - 1,
            max_entries=MAX_ENTRIES_PER_MESSAGE,
            max_bytes=MAX_APPEND_BYTES,
        )
        yield _append_request(raft, peer, entries, now_ms)
        # Assume delivery; a rejected heartbeat moves the index back.
        progress.next_index += len(entries)


def _append_request(
    raft: raft_state.Raft,
    peer: str,
    entries: list[raft_messages.LogEntry],
    now_ms: int,
) -> raft_state.SendPeer:
    progress = _progress(raft, peer)
    previous = max(progress.next_index - 1, raft.log.start_index)
    age_ms = -1
    if raft.commits_own_term():
        age_ms = now_ms - raft.quorum_ms(now_ms)
    request = raft_messages.AppendRequest(
        term=raft.term,
        leader=raft.replica,
        previous_index=previous,
        previous_term=raft.log.term_at(previous),
        entries=entries,
        commit_index=raft.commit_index,
        round_ms=now_ms,
        echo=progress.echo,
        quorum_age_ms=age_ms,
    )
    return raft_state.SendPeer(peer, request)


def _send_chunk(
    raft: raft_state.Raft, peer: str, now_ms: int
) -> Iterator[raft_state.Effect]:
    progress = _progress(raft, peer)
    silent = now_ms - progress.heard_ms > raft_state.ELECTION_MAX_MS
    if progress.snapshot_waiting or progress.heard_ms < 0 or silent:
        return
    snapshot = raft.log.snapshot
    if progress.snapshot_index != snapshot.index:
        progress.snapshot_index = snapshot.index
        progress.snapshot_bytes = 0
    offset = progress.snapshot_bytes
    piece = snapshot.data[offset : offset + SNAPSHOT_CHUNK_BYTES]
    progress.snapshot_waiting = True
    chunk = raft_messages.SnapshotChunk(
        term=raft.term,
        leader=raft.replica,
        snapshot=raft_messages.Snapshot(
            snapshot.index, snapshot.term, snapshot.members, piece
        ),
        offset=offset,
        total_bytes=len(snapshot.data),
        round_ms=now_ms,
    )
    yield raft_state.SendPeer(peer, chunk)
