"""Membership changes through the log, one at a time.

A new replica starts as a learner, without a vote. The leader gives it a vote
once it has every committed entry, so that a repaired cluster tolerates the next
loss. The leader also records the data folder from which each replica replied
first, so that a replica with an emptied folder can't vote under its old name.
"""

from collections.abc import Iterator

import msgspec

from wisteriawall.control import raft_replication
from wisteriawall.control import raft_state
from wisteriawall.wire import raft_messages

__all__ = ["add", "refusal", "remove", "update_members"]


def refusal(raft: raft_state.Raft, replica: str) -> str:
    """Return why `replica` can't be added or removed now, empty if it can."""
    if not raft.has_committed_own_term():
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
    """Append an entry with `command` that adds `member` as a learner."""
    learner = msgspec.structs.replace(member, voting=False, identity="")
    members = (*raft.members, learner)
    yield from raft_replication.append(raft, command, members)


def remove(
    raft: raft_state.Raft, replica: str, command: bytes
) -> Iterator[raft_state.Effect]:
    """Append an entry with `command` that removes `replica`."""
    members = tuple(m for m in raft.members if m.replica != replica)
    yield from raft_replication.append(raft, command, members)


def update_members(raft: raft_state.Raft) -> Iterator[raft_state.Effect]:
    """Append the next membership change that the leader itself decides.

    Data folders of members that replied for the first time are recorded first;
    then one learner that has caught up gets its vote. Nothing is appended while
    another change is uncommitted.
    """
    if not raft.has_committed_own_term():
        return
    if raft.log.members_index > raft.commit_index:
        return
    identified = tuple(_with_identity(raft, member) for member in raft.members)
    members = identified
    if identified == raft.members:
        members = tuple(_with_next_promotion(raft, identified))
    if members != raft.members:
        yield from raft_replication.append(raft, b"", members)


def _with_identity(
    raft: raft_state.Raft, member: raft_messages.Member
) -> raft_messages.Member:
    """Return the member with the data folder that it replied from, if any."""
    if member.identity:
        return member
    progress = raft.progress_by_peer.get(member.replica)
    identity = progress.identity if progress else ""
    if member.replica == raft.replica:
        identity = raft.identity
    return msgspec.structs.replace(member, identity=identity)


def _with_next_promotion(
    raft: raft_state.Raft, members: tuple[raft_messages.Member, ...]
) -> Iterator[raft_messages.Member]:
    """Yield the members; the first learner that has caught up may vote."""
    promoted = False
    for member in members:
        if not promoted and _has_caught_up(raft, member):
            promoted = True
            member = msgspec.structs.replace(member, voting=True)
        yield member


def _has_caught_up(raft: raft_state.Raft, member: raft_messages.Member) -> bool:
    progress = raft.progress_by_peer.get(member.replica)
    if member.voting or progress is None or progress.probing:
        return False
    return progress.match_index >= raft.commit_index
