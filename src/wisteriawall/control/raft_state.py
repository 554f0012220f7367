"""State of one Raft replica, and the effects that its reducer yields."""

from collections.abc import Iterator
import dataclasses
import enum
import random
from typing import final

from wisteriawall.control import raft_log
from wisteriawall.control import raft_writes
from wisteriawall.wire import raft_messages

__all__ = [
    "ELECTION_TIMEOUT_MAX_MS",
    "ELECTION_TIMEOUT_MIN_MS",
    "HEARTBEAT_INTERVAL_MS",
    "LEADER_LEASE_MS",
    "PREVOTE_INTERVAL_MAX_MS",
    "PREVOTE_INTERVAL_MIN_MS",
    "AppendLog",
    "Apply",
    "Effect",
    "IncomingSnapshot",
    "Progress",
    "Raft",
    "RaftRole",
    "ResetLog",
    "Restore",
    "SaveHardState",
    "SaveSnapshot",
    "SendPeer",
    "TruncateLog",
]

HEARTBEAT_INTERVAL_MS = 100
# Each election timeout is drawn at random from this range.
ELECTION_TIMEOUT_MIN_MS = 600
ELECTION_TIMEOUT_MAX_MS = 1_200
# Each interval between prevotes is drawn from this range. A prevote changes
# nothing, and the messages of the first ones are lost if all replicas restart
# and their connections are not open yet.
PREVOTE_INTERVAL_MIN_MS = 150
PREVOTE_INTERVAL_MAX_MS = 300
# Shorter than the smallest election timeout: voters that acknowledged a leader
# elect no other one before its lease has run out.
LEADER_LEASE_MS = 500


@final
class RaftRole(enum.Enum):
    """Role of a replica in the current term."""

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
class SaveSnapshot:
    """Persist a snapshot.

    Log entries before the index `keep_from` are no longer needed then. The
    snapshot of a compaction replaces entries that the log holds. It need not be
    durable when the effects after it are, but those before it must be first.
    """

    snapshot: raft_messages.Snapshot
    keep_from: int
    is_compaction: bool = False


@final
@dataclasses.dataclass(slots=True, frozen=True)
class ResetLog:
    """Discard every log entry.

    The next entry follows the snapshot at `index`.
    """

    index: int


@final
@dataclasses.dataclass(slots=True, frozen=True)
class SendPeer:
    """Send a message to another replica; delivery is not guaranteed."""

    peer: str
    message: raft_messages.RaftMessage


@final
@dataclasses.dataclass(slots=True, frozen=True)
class Apply:
    """Apply a committed entry to the state machine."""

    entry: raft_messages.LogEntry


@final
@dataclasses.dataclass(slots=True, frozen=True)
class Restore:
    """Replace the state machine's state with a snapshot from the leader."""

    snapshot: raft_messages.Snapshot


Effect = (
    SaveHardState
    | AppendLog
    | TruncateLog
    | SaveSnapshot
    | ResetLog
    | SendPeer
    | Apply
    | Restore
)


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Progress:
    """Replication progress of one follower, as its leader tracks it.

    Attributes:
        next_index: Index of the next entry to send.
        match_index: Highest index up to which the follower's log is known to
            match the leader's.
        probing: Whether the place where the logs match is still being
            searched; no entries are sent until it is found.
        acknowledged_ms: The leader's clock when it sent the newest request
            that the follower has answered, -1 before the first answer.
        last_reply_ms: The leader's clock when the newest reply arrived, -1
            before the first.
        since_ms: The leader's clock when it began to track this follower.
        follower_clock: Newest clock reading that the follower has sent.
        identity: Data folder that the follower replied from, empty before its
            first reply.
        snapshot_index: Index of the snapshot that is being sent.
        snapshot_offset: Byte offset of the snapshot's next chunk.
        awaits_chunk_reply: Whether a chunk was sent that is not answered yet.
    """

    next_index: int
    match_index: int = 0
    probing: bool = True
    acknowledged_ms: int = -1
    last_reply_ms: int = -1
    since_ms: int = -1
    follower_clock: raft_messages.ClockReading = raft_messages.NO_CLOCK_READING
    identity: str = ""
    snapshot_index: int = 0
    snapshot_offset: int = 0
    awaits_chunk_reply: bool = False


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class IncomingSnapshot:
    """Chunks of a snapshot that have arrived in order.

    `index` is the last log index that the snapshot covers, and `term` the term
    of the leader that sends it.
    """

    index: int
    term: int
    data: bytearray = dataclasses.field(default_factory=bytearray)


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Raft:
    """Raft state of one replica.

    Attributes:
        identity: Name of this replica's data folder.
        is_founder: Whether the data folder founded the cluster.
        incarnation: Number of this process; clock readings of different
            incarnations are not comparable.
        voted_for: Candidate that got this replica's vote in the current term,
            empty if none did.
        leader: Leader of the current term, empty if it is unknown.
        prevotes: Voters that have granted their prevote to this replica.
        votes: Voters that have granted this replica their vote in the current
            term. Empty until its own is durable, and once it leads or follows.
        incoming_snapshot: Snapshot that is being received, None if none is.
        leader_contact_ms: Clock when the newest message of a leader arrived.
        fresh_as_of_ms: Clock reading that bounds staleness: everything that was
            committed before it has been applied here. -1 if there is none.
        newest_returned_clock_ms: Newest of this replica's own clock readings
            that a leader has returned, -1 before the first.
        elected_ms: Clock when this replica last became leader.
        writes: Which of the effects that store something are durable.
        delayed: Messages that may be sent once the write of their number is
            durable.
        matched_index: Newest entry that is known to match the log of the leader
            of this term, 0 if there is none.
        leader_clock_ms: Newest clock reading that the leader of this term has
            sent.
        process_started_ms: Clock when this process started, -1 if an earlier
            process of this replica may have run after that time.

    Args:
        peers: Other voters of a new cluster that a replica without a log
            founds. With None it waits until a leader adds it.
    """

    replica: str
    peers: dataclasses.InitVar[tuple[str, ...] | None] = None
    random: random.Random
    identity: str = ""
    is_founder: bool = False
    incarnation: int = 0
    term: int = 0
    voted_for: str = ""
    log: raft_log.RaftLog = dataclasses.field(default_factory=raft_log.RaftLog)
    role: RaftRole = RaftRole.FOLLOWER
    leader: str = ""
    commit_index: int = 0
    applied_index: int = 0
    prevotes: set[str] = dataclasses.field(default_factory=set)
    votes: set[str] = dataclasses.field(default_factory=set)
    progress_by_peer: dict[str, Progress] = dataclasses.field(
        default_factory=dict
    )
    incoming_snapshot: IncomingSnapshot | None = None
    election_due_ms: int = -1
    heartbeat_due_ms: int = 0
    leader_contact_ms: int = -ELECTION_TIMEOUT_MAX_MS
    fresh_as_of_ms: int = -1
    newest_returned_clock_ms: int = -1
    elected_ms: int = -1
    process_started_ms: int = -1
    writes: raft_writes.Writes = dataclasses.field(
        default_factory=raft_writes.Writes
    )
    delayed: list[tuple[int, SendPeer]] = dataclasses.field(
        default_factory=list
    )
    matched_index: int = 0
    leader_clock_ms: int = -1

    def __post_init__(self, peers: tuple[str, ...] | None) -> None:
        """Found a cluster if `peers` are given, and start at the snapshot."""
        if peers is not None and not self.log.members:
            names = sorted({self.replica, *peers})
            self.is_founder = True
            self.log.members = tuple(map(raft_messages.Member, names))
            self.log.snapshot = raft_messages.Snapshot(
                0, 0, self.log.members, b""
            )
        self.commit_index = self.log.snapshot.index
        self.applied_index = self.log.snapshot.index
        self.writes.synced_index = self.log.last_index

    def adopt_term(self, term: int, voted_for: str) -> Iterator[SaveHardState]:
        """Store a newer term, or a vote in the current one."""
        if term > self.term:
            self.votes = set()
            self.matched_index = 0
            self.leader_clock_ms = -1
        self.term, self.voted_for = term, voted_for
        self.writes.request_vote()
        yield SaveHardState(term, voted_for)

    def send_when_synced(
        self, peer: str, message: raft_messages.RaftMessage
    ) -> Iterator[SendPeer]:
        """Send a message that promises that the term and vote are durable."""
        sent = SendPeer(peer, message)
        if self.writes.is_vote_synced:
            yield sent
        else:
            self.delayed.append((self.writes.vote, sent))

    @property
    def last_index(self) -> int:
        """Return the index of the newest log entry, 0 if there is none."""
        return self.log.last_index

    @property
    def members(self) -> tuple[raft_messages.Member, ...]:
        """Return the newest membership in the log, which may be uncommitted."""
        return self.log.members

    @property
    def other_members(self) -> list[str]:
        """Return the names of all other members, learners included."""
        return [m.replica for m in self.members if m.replica != self.replica]

    @property
    def voters(self) -> list[str]:
        """Return the names of the members that have a vote."""
        return [m.replica for m in self.members if m.voting]

    def silence_ms(self, peer: str, now_ms: int) -> int:
        """Return for how long a peer has not replied to this leader.

        The time before the election does not count, nor that before the peer
        became a member.
        """
        progress = self.progress_by_peer.get(peer)
        if progress is None:
            return 0
        newest_ms = max(progress.last_reply_ms, progress.since_ms)
        return now_ms - max(newest_ms, self.elected_ms)

    def accepts_identity(self, replica: str, identity: str) -> bool:
        """Return whether `replica` may run on the data folder `identity`.

        The membership names the folder of each replica that has been in
        contact with a leader. Any folder will do for other replicas.
        """
        return all(
            m.identity in ("", identity)
            for m in self.members
            if m.replica == replica
        )

    def is_unidentified_founder(self, replica: str) -> bool:
        """Return whether a founding voter's data folder is not recorded yet.

        The leader records it after the founder's first reply.
        """
        return any(
            m.replica == replica and m.voting and not m.identity
            for m in self.members
        )

    def may_vote(self) -> bool:
        """Return whether this data folder may take part in an election.

        A voter with an emptied folder may not, because its votes and the
        entries that it acknowledged are lost.
        """
        if self.is_unidentified_founder(self.replica):
            return self.is_founder
        named = any(m.replica == self.replica for m in self.members)
        return named and self.accepts_identity(self.replica, self.identity)

    def majority_value(self, value_by_replica: dict[str, int]) -> int:
        """Return the highest value reached by a majority of voters, or -1."""
        values = sorted(value_by_replica.get(name, -1) for name in self.voters)
        return values[(len(values) - 1) // 2] if values else -1

    def quorum_acknowledged_ms(self, now_ms: int) -> int:
        """Return when a majority of voters last acknowledged this leader.

        It is the leader's clock when it sent the requests that a majority,
        itself included at `now_ms`, has answered; -1 if there are none.
        """
        acknowledged_ms_by_peer = {
            n: p.acknowledged_ms for n, p in self.progress_by_peer.items()
        }
        return self.majority_value(
            {**acknowledged_ms_by_peer, self.replica: now_ms}
        )

    def has_committed_own_term(self) -> bool:
        """Return whether this leader has committed an entry of its own term.

        Only then does its commit index cover all that the cluster committed.
        """
        if self.role is not RaftRole.LEADER:
            return False
        return self.log.term_at(self.commit_index) == self.term

    def holds_lease(self, now_ms: int) -> bool:
        """Return whether this replica leads and no other one can lead yet."""
        if not self.has_committed_own_term():
            return False
        return now_ms - self.quorum_acknowledged_ms(now_ms) < LEADER_LEASE_MS
