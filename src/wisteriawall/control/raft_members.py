"""Membership changes through the log, one at a time.

A new replica starts as a learner, without a vote. The leader gives it a vote
once it has every committed entry, so that a repaired cluster tolerates the next
loss. A silent voter keeps its vote until then: it may come back, and the
learner may be lost before it has caught up. The leader also records the data
folder from which each replica replied first, so that a replica with an emptied
folder can't vote under its old name.
"""

from collections.abc import Iterator

import msgspec

from wisteriawall.control import raft_replication
from wisteriawall.control import raft_state
from wisteriawall.wire import raft_messages

__all__ = ["add", "refusal", "remove", "replaced_voter", "update_members"]

# Heartbeats are sent every 100 ms; a restart takes about 2 s.
REPLACE_AFTER_MS = 1_500
# A voter that is silent for longer may have been lost.
CONTACT_TIMEOUT_MS = 500


def refusal(raft: raft_state.Raft, replica: str) -> str:
    """Return why `replica` can't be added or removed now, empty if it can."""
    if not raft.has_committed_own_term():
        return "this replica does not lead yet"
    if raft.log.members_index > raft.commit_index:
        return "another membership change is not committed yet"
    is_member = any(m.replica == replica for m in raft.members)
    if not is_member and any(not m.voting for m in raft.members):
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


def replaced_voter(raft: raft_state.Raft, now_ms: int) -> str:
    """Return the voter to remove for a learner that has caught up.

    Another voter would raise the quorum of an odd number of them. So a voter
    at the learner's address, whose data folder is lost, or one that is silent,
    is removed before the learner gets its vote. Empty if there is none.
    """
    learner = _caught_up_learner(raft)
    if learner is None or len(raft.voters) % 2 == 0:
        return ""
    replaceable = [
        member
        for member in raft.members
        if member.voting
        and member.replica != raft.replica
        and (
            _is_at_address(member, learner)
            or raft.silence_ms(member.replica, now_ms) > REPLACE_AFTER_MS
        )
    ]
    replaceable.sort(key=lambda m: not _is_at_address(m, learner))
    return replaceable[0].replica if replaceable else ""


def update_members(
    raft: raft_state.Raft, now_ms: int
) -> Iterator[raft_state.Effect]:
    """Append the next membership change that the leader itself decides.

    Data folders of members that replied for the first time are recorded first;
    then one learner that has caught up gets its vote. Nothing is appended while
    another change is uncommitted.
    """
    if not raft.has_committed_own_term():
        return
    if raft.log.members_index > raft.commit_index:
        return
    members = tuple(_with_identity(raft, member) for member in raft.members)
    if members == raft.members:
        members = tuple(_with_next_promotion(raft, now_ms))
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
    raft: raft_state.Raft, now_ms: int
) -> Iterator[raft_messages.Member]:
    """Yield the members; a learner that has caught up may vote."""
    promoted = _caught_up_learner(raft)
    if _raises_quorum_of_silent_voters(raft, now_ms):
        promoted = None
    for member in raft.members:
        if member is promoted:
            member = msgspec.structs.replace(member, voting=True)
        yield member


def _raises_quorum_of_silent_voters(raft: raft_state.Raft, now_ms: int) -> bool:
    """Return whether one more voter would need a larger part of the others.

    A silent voter either replies soon or is removed, see `replaced_voter`.
    """
    is_silent = any(
        raft.silence_ms(name, now_ms) > CONTACT_TIMEOUT_MS
        for name in raft.voters
        if name != raft.replica
    )
    return is_silent and len(raft.voters) % 2 == 1


def _caught_up_learner(
    raft: raft_state.Raft,
) -> raft_messages.Member | None:
    """Return the first learner that has every committed entry."""
    for member in raft.members:
        progress = raft.progress_by_peer.get(member.replica)
        if member.voting or progress is None or progress.probing:
            continue
        if progress.match_index >= raft.commit_index:
            return member
    return None


def _is_at_address(
    member: raft_messages.Member, other: raft_messages.Member
) -> bool:
    """Return whether both have the same address, so that only one runs."""
    return bool(member.peer_address) and (
        member.peer_address == other.peer_address
    )
