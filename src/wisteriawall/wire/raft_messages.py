"""Messages between control replicas: elections and log replication."""

from typing import final

import msgspec

__all__ = [
    "NO_ECHO",
    "AppendReply",
    "AppendRequest",
    "Echo",
    "LogEntry",
    "Member",
    "RaftMessage",
    "Received",
    "Snapshot",
    "SnapshotChunk",
    "SnapshotReply",
    "VoteReply",
    "VoteRequest",
]


@final
class Member(msgspec.Struct, frozen=True):
    """One replica of the agreed membership and where it is reached.

    `voting` is False while a new replica still catches up. `identity` names
    the data folder that the replica was first heard with, empty before that;
    a replica that returns with another folder is not this member.
    """

    replica: str
    peer_address: str = ""
    rpc_address: str = ""
    admin_address: str = ""
    voting: bool = True
    identity: str = ""


@final
class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One record of the replicated log; `command` is an encoded command.

    `members` is set when the entry changes the membership, which holds from
    the moment a replica has the entry in its log.
    """

    index: int
    term: int
    command: bytes
    members: tuple[Member, ...] | None = None


@final
class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State after the entry at `index`, which replaces the log up to it."""

    index: int
    term: int
    members: tuple[Member, ...]
    data: bytes


@final
class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag="vote"):
    """Ask for a vote; `prevote` asks without starting the new term."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    prevote: bool
    identity: str = ""


@final
class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag="voted"):
    """Answer a vote request."""

    term: int
    voter: str
    granted: bool
    prevote: bool
    identity: str = ""


@final
class Echo(msgspec.Struct, frozen=True, array_like=True):
    """A follower's clock reading; clocks differ between incarnations."""

    incarnation: int
    clock_ms: int


NO_ECHO = Echo(-1, -1)


@final
class AppendRequest(msgspec.Struct, frozen=True, array_like=True, tag="append"):
    """Replicate entries and assert leadership.

    `round_ms` is the leader's clock when sent. `echo` is the newest clock
    reading that the leader had received from the receiver, and
    `quorum_age_ms` how long before sending the leader's commit index was
    confirmed current by a majority, -1 when it was not yet. Together they let
    the follower bound its own staleness without comparing clocks.
    """

    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: list[LogEntry]
    commit_index: int
    round_ms: int
    echo: Echo
    quorum_age_ms: int


@final
class Received(msgspec.Struct, frozen=True, array_like=True):
    """What every reply to a leader says of its sender and its round.

    `round_ms` is the clock reading of the request that is answered.
    `is_founder` tells that the data folder founded the cluster.
    """

    term: int
    follower: str
    identity: str
    is_founder: bool
    round_ms: int
    echo: Echo


@final
class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag="appended"):
    """Report how far the follower's log matches the leader's.

    After a rejection `match_index` is where the leader should try next.
    """

    received: Received
    success: bool
    previous_index: int
    match_index: int


@final
class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True, tag="chunk"):
    """Send one piece of a snapshot to a follower that is behind the log.

    `snapshot` carries the piece in place of the whole data; the piece starts
    at `offset` of `total_bytes`.
    """

    term: int
    leader: str
    snapshot: Snapshot
    offset: int
    total_bytes: int
    round_ms: int


@final
class SnapshotReply(
    msgspec.Struct, frozen=True, array_like=True, tag="chunked"
):
    """Report how many bytes of the snapshot at `index` have arrived."""

    received: Received
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
