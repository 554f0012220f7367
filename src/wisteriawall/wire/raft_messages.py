"""Raft messages between control replicas, and the data that they carry."""

from typing import final

import msgspec

__all__ = [
    "NO_CLOCK_READING",
    "AppendReply",
    "AppendRequest",
    "ClockReading",
    "LogEntry",
    "Member",
    "RaftMessage",
    "ReplyHeader",
    "Snapshot",
    "SnapshotChunk",
    "SnapshotReply",
    "VoteReply",
    "VoteRequest",
]


@final
class Member(msgspec.Struct, frozen=True):
    """One replica of the cluster membership and its addresses.

    `voting` is False while a new replica is still catching up. `identity` is
    the id of the data folder that the replica had at its first contact, empty
    before that. A replica that restarts with another data folder is not this
    member.
    """

    replica: str
    peer_address: str = ""
    rpc_address: str = ""
    admin_address: str = ""
    voting: bool = True
    identity: str = ""


@final
class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log; `command` is an encoded command.

    An entry that changes the membership has the new one in `members`. A
    replica uses it as soon as the entry is in its log, committed or not.
    """

    index: int
    term: int
    command: bytes
    members: tuple[Member, ...] | None = None


@final
class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """Encoded state after the entry at `index`.

    It replaces all log entries up to this one.
    """

    index: int
    term: int
    members: tuple[Member, ...]
    data: bytes


@final
class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag="vote"):
    """Request for a vote.

    With `prevote`, the candidate only asks whether it would get the vote, and
    does not start the new term yet. `last_index` and `last_term` are those of
    the last entry in its log, and `identity` is the id of its data folder.
    """

    term: int
    candidate: str
    last_index: int
    last_term: int
    prevote: bool
    identity: str = ""


@final
class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag="voted"):
    """Answer to a vote request."""

    term: int
    voter: str
    granted: bool
    prevote: bool
    identity: str = ""


@final
class ClockReading(msgspec.Struct, frozen=True, array_like=True):
    """Reading of a follower's monotonic clock.

    Readings can be compared only within one incarnation of the follower.
    """

    incarnation: int
    clock_ms: int


# Used by a leader that has not received a reading from the follower yet.
NO_CLOCK_READING = ClockReading(-1, -1)


@final
class AppendRequest(msgspec.Struct, frozen=True, array_like=True, tag="append"):
    """Request of the leader to append entries; without entries, a heartbeat.

    `leader_clock_ms` is the leader's clock at sending. `follower_clock` is the
    newest clock reading of the receiver that the leader has received.
    `quorum_age_ms` is the time, before sending, since a majority confirmed that
    the leader's commit index was current, -1 if none has confirmed it yet. From
    `follower_clock` and `quorum_age_ms` the follower computes a bound on its
    staleness without comparing clocks of two machines.
    """

    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: list[LogEntry]
    commit_index: int
    leader_clock_ms: int
    follower_clock: ClockReading
    quorum_age_ms: int


@final
class ReplyHeader(msgspec.Struct, frozen=True, array_like=True):
    """Fields that every reply to a leader has.

    `identity` is the id of the follower's data folder, and `is_founder` says
    that this folder took part in founding the cluster. `leader_clock_ms` is
    copied from the request that is answered, and `follower_clock` is the
    follower's clock at answering.
    """

    term: int
    follower: str
    identity: str
    is_founder: bool
    leader_clock_ms: int
    follower_clock: ClockReading


@final
class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag="appended"):
    """Answer to an append request.

    `match_index` is the last index up to which the follower's log matches the
    leader's. Without `success` it is a hint where the leader should try next.
    """

    header: ReplyHeader
    success: bool
    previous_index: int
    match_index: int


@final
class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True, tag="chunk"):
    """One chunk of a snapshot, for a follower that is behind the leader's log.

    The data of `snapshot` is this chunk only. It starts at the byte `offset` of
    the whole data, which has `total_bytes`. `leader_clock_ms` is the leader's
    clock at sending.
    """

    term: int
    leader: str
    snapshot: Snapshot
    offset: int
    total_bytes: int
    leader_clock_ms: int


@final
class SnapshotReply(
    msgspec.Struct, frozen=True, array_like=True, tag="chunked"
):
    """Answer to a snapshot chunk.

    `received_bytes` is how much of the snapshot at `index` has arrived.
    """

    header: ReplyHeader
    index: int
    received_bytes: int


RaftMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
)
