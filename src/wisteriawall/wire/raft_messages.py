"""Messages between control replicas: elections and log replication."""

from typing import final

import msgspec

__all__ = [
    "AppendReply",
    "AppendRequest",
    "LogEntry",
    "Member",
    "RaftMessage",
    "VoteReply",
    "VoteRequest",
]


@final
class Member(msgspec.Struct, frozen=True, array_like=True):
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
    """One record of the replicated log; `command` is an encoded command."""

    index: int
    term: int
    command: bytes


@final
class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag="vote"):
    """Ask for a vote; `prevote` asks without starting the new term."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    prevote: bool


@final
class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag="voted"):
    """Answer a vote request."""

    term: int
    voter: str
    granted: bool
    prevote: bool


@final
class AppendRequest(msgspec.Struct, frozen=True, array_like=True, tag="append"):
    """Replicate entries and assert leadership.

    `round_ms` is the leader's clock when sent. `echo_ms` is the newest
    follower clock reading that the leader had received from the receiver,
    and `quorum_age_ms` how long before sending a majority last confirmed
    this leader; together they let the follower bound its own staleness
    without comparing clocks.
    """

    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: list[LogEntry]
    commit_index: int
    round_ms: int
    echo_ms: int
    quorum_age_ms: int


@final
class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag="appended"):
    """Report how far the follower's log matches the leader's."""

    term: int
    follower: str
    success: bool
    match_index: int
    round_ms: int
    clock_ms: int


RaftMessage = VoteRequest | VoteReply | AppendRequest | AppendReply
