"""Membership changes, one at a time, through the log.

A new replica first learns without a vote. The leader gives it the vote once
it holds what is committed, so a repaired cluster bears the next loss. The
leader also writes down the data folder that each replica was first heard
with, so that an emptied folder under an old name takes no part in a vote.
"""

from collections.abc import Iterator

import msgspec

from wisteriawall.control import raft_replication
from wisteriawall.control import raft_state
from wisteriawall.wire import raft_messages

__all__ = ["add", "refusal", "remove", "settle"]


def refusal(raft: raft_state.Raft, replica: str) -> str:
    """Return why `replica` may not join or leave now, empty if it may."""
    if not raft.commits_own_term():
        return "this replica does not lead yet"
    if raft.log.members_index > raft.commit_index:
        return "another membership change is not committed yet"
    if any(not m.voting and m.replica != replica for m in raft.members):
        return "a replica that was added has not caught up yet"
    if raft.voters == [replica]:
        return "the last voting replica can't leave"
    return ""


def add(
    raft: raft_state.Raft, member: raft_messages.Member, command: bytes
) -> Iterator[raft_state.Effect]:
    """Append the membership with `member` as a learner."""
    learner = msgspec.structs.replace(member, voting=False, identity="")
    members = (*raft.members, learner)
    yield from raft_replication.append(raft, command, members)


def remove(
    raft: raft_state.Raft, replica: str, command: bytes
) -> Iterator[raft_state.Effect]:
    """Append the membership without `replica`."""
    members = tuple(m for m in raft.members if m.replica != replica)
    yield from raft_replication.append(raft, command, members)


def settle(raft: raft_state.Raft) -> Iterator[raft_state.Effect]:
    """Note data folders heard first and promote learners that caught up."""
    if not raft.commits_own_term():
        return
    if raft.log.members_index > raft.commit_index:
        return
    sealed = tuple(_sealed(raft, member) for member in raft.members)
    members = sealed
    if sealed == raft.members:
        members = tuple(_promoted(raft, sealed))
    if members != raft.members:
        yield from raft_replication.append(raft, b"", members)


def _sealed(
    raft: raft_state.Raft, member: raft_messages.Member
) -> raft_messages.Member:
    if member.identity:
        return member
    progress = raft.progress_by_peer.get(member.replica)
    identity = progress.identity if progress else ""
    if member.replica == raft.replica:
        identity = raft.identity
    return msgspec.structs.replace(member, identity=identity)


def _promoted(
    raft: raft_state.Raft, members: tuple[raft_messages.Member, ...]
) -> Iterator[raft_messages.Member]:
    """Yield the members, the first learner that caught up with a vote."""
    promoted = False
    for member in members:
        if not promoted and _caught_up(raft, member):
            promoted = True
            member = msgspec.structs.replace(member, voting=True)
        yield member


def _caught_up(raft: raft_state.Raft, member: raft_messages.Member) -> bool:
    progress = raft.progress_by_peer.get(member.replica)
    if member.voting or progress is None or progress.probing:
        return False
    return progress.match_index >= raft.commit_index
