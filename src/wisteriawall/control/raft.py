"""Agreement among control replicas: a pure reducer with Raft's rules.

The reducer holds no socket, file or clock. Time arrives in each call, and
every durable or visible act leaves as an effect. The caller must carry out
log and hard-state effects and sync them before it carries out any later
effect of the same batch.
"""

from collections.abc import Iterator
import dataclasses
import enum
import random
from typing import final

from wisteriawall.wire import raft_messages

__all__ = [
    "AppendLog",
    "Apply",
    "Effect",
    "Raft",
    "RaftRole",
    "SaveHardState",
    "SendPeer",
    "TruncateLog",
    "receive",
    "submit",
    "tick",
]

HEARTBEAT_MS = 100
ELECTION_MIN_MS = 600
ELECTION_MAX_MS = 1_200
LEASE_MS = 500
MAX_ENTRIES_PER_MESSAGE = 256


@final
class RaftRole(enum.Enum):
    """Part a replica plays in the current term."""

    FOLLOWER = "follower"
    PRECANDIDATE = "precandidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@final
@dataclasses.dataclass(slots=True, frozen=True)
class SaveHardState:
    """Persist the term and the vote."""

    term: int
    voted_for: str


@final
@dataclasses.dataclass(slots=True, frozen=True)
class AppendLog:
    """Persist entries after the current end of the log."""

    entries: tuple[raft_messages.LogEntry, ...]


@final
@dataclasses.dataclass(slots=True, frozen=True)
class TruncateLog:
    """Remove the entry at `index` and every later one."""

    index: int


@final
@dataclasses.dataclass(slots=True, frozen=True)
class SendPeer:
    """Send a message to another replica; it may be lost."""

    peer: str
    message: raft_messages.RaftMessage


@final
@dataclasses.dataclass(slots=True, frozen=True)
class Apply:
    """Apply a committed entry to the state machine."""

    entry: raft_messages.LogEntry


Effect = SaveHardState | AppendLog | TruncateLog | SendPeer | Apply


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Progress:
    """What the leader knows of one follower."""

    next_index: int
    match_index: int = 0
    confirmed_ms: int = -1
    echo_ms: int = -1


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Raft:
    """State of one replica.

    `log[i]` holds the entry of index `i + 1`. `confirmed_ms` is this
    replica's clock reading at or after which its applied state was current.
    """

    replica: str
    peers: tuple[str, ...]
    random: random.Random
    term: int = 0
    voted_for: str = ""
    log: list[raft_messages.LogEntry] = dataclasses.field(default_factory=list)
    role: RaftRole = RaftRole.FOLLOWER
    leader: str = ""
    commit_index: int = 0
    applied_index: int = 0
    votes: set[str] = dataclasses.field(default_factory=set)
    progress_by_peer: dict[str, Progress] = dataclasses.field(
        default_factory=dict
    )
    election_due_ms: int = -1
    heartbeat_due_ms: int = 0
    leader_heard_ms: int = -ELECTION_MAX_MS
    confirmed_ms: int = -1
    elected_ms: int = -1

    @property
    def majority(self) -> int:
        """Return how many replicas form a quorum."""
        return (len(self.peers) + 1) // 2 + 1

    @property
    def last_index(self) -> int:
        """Return the index of the newest entry, 0 when the log is empty."""
        return len(self.log)

    def term_at(self, index: int) -> int:
        """Return the term of the entry at `index`, 0 before the first."""
        return self.log[index - 1].term if index > 0 else 0

    def quorum_ms(self, now_ms: int) -> int:
        """Return when a majority last confirmed this leader."""
        times = [now_ms]
        times += [p.confirmed_ms for p in self.progress_by_peer.values()]
        return sorted(times, reverse=True)[self.majority - 1]

    def holds_lease(self, now_ms: int) -> bool:
        """Tell whether no other replica can have been elected by now."""
        if self.role is not RaftRole.LEADER:
            return False
        if self.term_at(self.commit_index) != self.term:
            return False
        return now_ms - self.quorum_ms(now_ms) < LEASE_MS


def tick(raft: Raft, now_ms: int) -> Iterator[Effect]:
    """Advance timers: send heartbeats or start an election."""
    _start_timers(raft, now_ms)
    if raft.role is RaftRole.LEADER:
        yield from _leader_tick(raft, now_ms)
    elif now_ms >= raft.election_due_ms:
        yield from _start_prevote(raft, now_ms)


def submit(raft: Raft, command: bytes, now_ms: int) -> Iterator[Effect]:
    """Append a command as leader; it is applied once committed."""
    if raft.role is not RaftRole.LEADER:
        return
    entry = raft_messages.LogEntry(raft.last_index + 1, raft.term, command)
    raft.log.append(entry)
    yield AppendLog((entry,))
    for peer in raft.peers:
        yield from _send_append(raft, peer, now_ms)
    yield from _advance_commit(raft)


def receive(
    raft: Raft, message: raft_messages.RaftMessage, now_ms: int
) -> Iterator[Effect]:
    """Process one message of another replica."""
    _start_timers(raft, now_ms)
    match message:
        case raft_messages.VoteRequest():
            yield from _on_vote_request(raft, message, now_ms)
        case raft_messages.VoteReply():
            yield from _on_vote_reply(raft, message, now_ms)
        case raft_messages.AppendRequest():
            yield from _on_append_request(raft, message, now_ms)
        case raft_messages.AppendReply():
            yield from _on_append_reply(raft, message, now_ms)


def _start_timers(raft: Raft, now_ms: int) -> None:
    if raft.election_due_ms >= 0:
        return
    _reset_election(raft, now_ms)
    # Before a restart this replica may have confirmed a leader's lease.
    raft.leader_heard_ms = now_ms


def _reset_election(raft: Raft, now_ms: int) -> None:
    raft.election_due_ms = now_ms + raft.random.randint(
        ELECTION_MIN_MS, ELECTION_MAX_MS
    )


def _step_down(raft: Raft, term: int, now_ms: int) -> Iterator[Effect]:
    if term > raft.term:
        raft.term = term
        raft.voted_for = ""
        yield SaveHardState(term, "")
    if raft.role is not RaftRole.FOLLOWER:
        raft.role = RaftRole.FOLLOWER
        raft.leader = ""
        _reset_election(raft, now_ms)


def _leader_tick(raft: Raft, now_ms: int) -> Iterator[Effect]:
    alive_ms = max(raft.quorum_ms(now_ms), raft.elected_ms)
    if raft.peers and now_ms - alive_ms > ELECTION_MAX_MS:
        yield from _step_down(raft, raft.term, now_ms)
        return
    raft.confirmed_ms = raft.quorum_ms(now_ms)
    if now_ms < raft.heartbeat_due_ms:
        return
    raft.heartbeat_due_ms = now_ms + HEARTBEAT_MS
    for peer in raft.peers:
        yield from _send_append(raft, peer, now_ms)


def _start_prevote(raft: Raft, now_ms: int) -> Iterator[Effect]:
    _reset_election(raft, now_ms)
    raft.role = RaftRole.PRECANDIDATE
    raft.leader = ""
    raft.votes = {raft.replica}
    if len(raft.votes) >= raft.majority:
        yield from _start_election(raft, now_ms)
        return
    yield from _request_votes(raft, term=raft.term + 1, prevote=True)


def _start_election(raft: Raft, now_ms: int) -> Iterator[Effect]:
    raft.role = RaftRole.CANDIDATE
    raft.term += 1
    raft.voted_for = raft.replica
    raft.votes = {raft.replica}
    yield SaveHardState(raft.term, raft.voted_for)
    if len(raft.votes) >= raft.majority:
        yield from _become_leader(raft, now_ms)
        return
    yield from _request_votes(raft, term=raft.term, prevote=False)


def _request_votes(raft: Raft, *, term: int, prevote: bool) -> Iterator[Effect]:
    request = raft_messages.VoteRequest(
        term,
        raft.replica,
        raft.last_index,
        raft.term_at(raft.last_index),
        prevote,
    )
    for peer in raft.peers:
        yield SendPeer(peer, request)


def _become_leader(raft: Raft, now_ms: int) -> Iterator[Effect]:
    raft.role = RaftRole.LEADER
    raft.leader = raft.replica
    raft.elected_ms = now_ms
    raft.heartbeat_due_ms = now_ms + HEARTBEAT_MS
    raft.progress_by_peer = {
        peer: Progress(next_index=raft.last_index + 1) for peer in raft.peers
    }
    yield from submit(raft, b"", now_ms)


def _on_vote_request(
    raft: Raft, message: raft_messages.VoteRequest, now_ms: int
) -> Iterator[Effect]:
    has_leader = raft.role is RaftRole.LEADER or (
        now_ms - raft.leader_heard_ms < ELECTION_MIN_MS
    )
    if has_leader:
        # A vote now could elect a second leader inside the first one's lease.
        reply = raft_messages.VoteReply(
            raft.term, raft.replica, False, message.prevote
        )
        yield SendPeer(message.candidate, reply)
        return
    if message.term > raft.term and not message.prevote:
        yield from _step_down(raft, message.term, now_ms)
    newest = (raft.term_at(raft.last_index), raft.last_index)
    up_to_date = (message.last_term, message.last_index) >= newest
    if message.prevote:
        granted = up_to_date and message.term > raft.term
        term = message.term if granted else raft.term
    else:
        free = raft.voted_for in ("", message.candidate)
        granted = up_to_date and free and message.term == raft.term
        term = raft.term
    if granted and not message.prevote:
        raft.voted_for = message.candidate
        _reset_election(raft, now_ms)
        yield SaveHardState(raft.term, raft.voted_for)
    reply = raft_messages.VoteReply(
        term, raft.replica, granted, message.prevote
    )
    yield SendPeer(message.candidate, reply)


def _on_vote_reply(
    raft: Raft, message: raft_messages.VoteReply, now_ms: int
) -> Iterator[Effect]:
    if not message.granted:
        if message.term > raft.term:
            yield from _step_down(raft, message.term, now_ms)
        return
    if message.prevote:
        wanted = RaftRole.PRECANDIDATE
        current = message.term == raft.term + 1
    else:
        wanted = RaftRole.CANDIDATE
        current = message.term == raft.term
    if raft.role is not wanted or not current:
        return
    raft.votes.add(message.voter)
    if len(raft.votes) < raft.majority:
        return
    if message.prevote:
        yield from _start_election(raft, now_ms)
    else:
        yield from _become_leader(raft, now_ms)


def _on_append_request(
    raft: Raft, message: raft_messages.AppendRequest, now_ms: int
) -> Iterator[Effect]:
    if message.term < raft.term:
        yield _append_reply(raft, message, now_ms, success=False, match_index=0)
        return
    yield from _step_down(raft, message.term, now_ms)
    raft.leader = message.leader
    raft.leader_heard_ms = now_ms
    _reset_election(raft, now_ms)
    previous = message.previous_index
    if (
        previous > raft.last_index
        or raft.term_at(previous) != message.previous_term
    ):
        yield _append_reply(
            raft, message, now_ms, success=False, match_index=raft.commit_index
        )
        return
    yield from _store_entries(raft, message.entries)
    match_index = previous + len(message.entries)
    commit = min(message.commit_index, match_index)
    yield from _apply_up_to(raft, commit)
    if message.echo_ms >= 0 and raft.applied_index >= message.commit_index:
        confirmed = message.echo_ms - message.quorum_age_ms
        raft.confirmed_ms = max(raft.confirmed_ms, confirmed)
    yield _append_reply(
        raft, message, now_ms, success=True, match_index=match_index
    )


def _append_reply(
    raft: Raft,
    request: raft_messages.AppendRequest,
    now_ms: int,
    *,
    success: bool,
    match_index: int,
) -> SendPeer:
    reply = raft_messages.AppendReply(
        term=raft.term,
        follower=raft.replica,
        success=success,
        match_index=match_index,
        round_ms=request.round_ms,
        clock_ms=now_ms,
    )
    return SendPeer(request.leader, reply)


def _store_entries(
    raft: Raft, entries: list[raft_messages.LogEntry]
) -> Iterator[Effect]:
    fresh = list(entries)
    while fresh and fresh[0].index <= raft.last_index:
        if raft.term_at(fresh[0].index) != fresh[0].term:
            yield TruncateLog(fresh[0].index)
            del raft.log[fresh[0].index - 1 :]
            break
        del fresh[0]
    if fresh:
        raft.log.extend(fresh)
        yield AppendLog(tuple(fresh))


def _on_append_reply(
    raft: Raft, message: raft_messages.AppendReply, now_ms: int
) -> Iterator[Effect]:
    if message.term > raft.term:
        yield from _step_down(raft, message.term, now_ms)
        return
    progress = raft.progress_by_peer.get(message.follower)
    if raft.role is not RaftRole.LEADER or progress is None:
        return
    if message.term != raft.term:
        return
    progress.confirmed_ms = max(progress.confirmed_ms, message.round_ms)
    progress.echo_ms = max(progress.echo_ms, message.clock_ms)
    raft.confirmed_ms = raft.quorum_ms(now_ms)
    if message.success:
        progress.match_index = max(progress.match_index, message.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
    else:
        # A follower that rejects names its commit index, which is shared.
        progress.next_index = max(progress.match_index, message.match_index) + 1
    yield from _advance_commit(raft)
    if progress.next_index <= raft.last_index and not message.success:
        yield from _send_append(raft, message.follower, now_ms)


def _send_append(raft: Raft, peer: str, now_ms: int) -> Iterator[Effect]:
    progress = raft.progress_by_peer[peer]
    previous = progress.next_index - 1
    entries = raft.log[previous : previous + MAX_ENTRIES_PER_MESSAGE]
    request = raft_messages.AppendRequest(
        term=raft.term,
        leader=raft.replica,
        previous_index=previous,
        previous_term=raft.term_at(previous),
        entries=entries,
        commit_index=raft.commit_index,
        round_ms=now_ms,
        echo_ms=progress.echo_ms,
        quorum_age_ms=now_ms - raft.quorum_ms(now_ms),
    )
    # Assume delivery; a rejected or silent round moves the index back.
    progress.next_index += len(entries)
    yield SendPeer(peer, request)


def _advance_commit(raft: Raft) -> Iterator[Effect]:
    matches = [raft.last_index]
    matches += [p.match_index for p in raft.progress_by_peer.values()]
    agreed = sorted(matches, reverse=True)[raft.majority - 1]
    if agreed > raft.commit_index and raft.term_at(agreed) == raft.term:
        yield from _apply_up_to(raft, agreed)


def _apply_up_to(raft: Raft, index: int) -> Iterator[Effect]:
    raft.commit_index = max(raft.commit_index, index)
    while raft.applied_index < raft.commit_index:
        raft.applied_index += 1
        yield Apply(raft.log[raft.applied_index - 1])
