"""Changes of the control cluster's membership.

Operators, joining replicas and the leader itself start them.
"""

from collections.abc import Iterator

from wisteriawall.control import commands
from wisteriawall.control import events
from wisteriawall.control import link_health
from wisteriawall.control import raft as raft_lib
from wisteriawall.control import raft_members
from wisteriawall.wire import gateway_messages
from wisteriawall.wire import raft_messages

# Until a lost spare voter is removed, the cluster tolerates one loss less. With
# an election before it, the removal has to end within `catch_up_s`.
REMOVE_SPARE_AFTER_MS = 1_000
# A replica that was added but doesn't reply delays other ones.
REMOVE_LEARNER_AFTER_MS = 1_500
__all__ = [
    "find_lost_replica",
    "needed_voters",
    "next_join_step",
    "start_change",
    "unsafe_removal",
]


def start_change(
    raft: raft_lib.Raft,
    request: events.AddReplicaRequest | events.RemoveReplicaRequest,
    wall_ms: int,
) -> events.ReplicasReply | Iterator[raft_lib.Effect]:
    """Start a membership change as leader.

    Returns:
        The effects of the change, or the reply if none is needed or possible.
    """
    adds = isinstance(request, events.AddReplicaRequest)
    is_member = any(m.replica == request.replica for m in raft.members)
    if adds is is_member:
        return events.ReplicasReply(list(raft.members))
    refusal = raft_lib.membership_refusal(raft, request.replica)
    if refusal:
        return events.ReplicasReply(list(raft.members), refusal)
    command = commands.encode(
        commands.RecordMembershipChange(
            "added" if adds else "removed",
            request.replica,
            request.operator,
            wall_ms,
        )
    )
    match request:
        case events.AddReplicaRequest(_, replica, peer, rpc, admin):
            member = raft_messages.Member(replica, peer, rpc, admin)
            return raft_lib.add_member(raft, member, command)
        case events.RemoveReplicaRequest(_, replica):
            return raft_lib.remove_member(raft, replica, command)


def next_join_step(
    raft: raft_lib.Raft, join: gateway_messages.JoinRequest
) -> events.AddReplicaRequest | events.RemoveReplicaRequest | None:
    """Return the next step to make a joining replica a member, None if it is.

    A replica that was added at the same address has lost its data folder before
    it could vote, and is removed first. Voters are removed only when the new
    replica has caught up, see `find_lost_replica`.
    """
    if any(m.replica == join.replica for m in raft.members):
        return None
    for member in raft.members:
        if not member.voting and member.peer_address == join.peer_address:
            return events.RemoveReplicaRequest("leader", member.replica)
    return events.AddReplicaRequest(
        "leader",
        join.replica,
        join.peer_address,
        join.rpc_address,
        join.admin_address,
    )


def unsafe_removal(raft: raft_lib.Raft, replica: str, now_ms: int) -> str:
    """Return why `replica` can't be removed for another one, empty if it can.

    A majority of the voters that are left must have replied recently and hold
    all that is committed, or nothing could be committed after the removal.
    """
    if replica == raft.replica:
        return "the member on this host leads"
    voters = [name for name in raft.voters if name != replica]
    in_contact = sum(
        name == raft.replica or _is_in_contact(raft, name, now_ms)
        for name in voters
    )
    if in_contact <= len(voters) // 2:
        return f"without {replica} no majority of the voters would be left"
    return ""


def needed_voters(tolerated_losses: int) -> int:
    """Return with how many voters this number of losses is tolerated."""
    return 2 * tolerated_losses + 1


def find_lost_replica(
    raft: raft_lib.Raft, now_ms: int, *, tolerated_losses: int
) -> str | None:
    """Return an unresponsive member to remove, None if there is none.

    These are replicas that were added and don't reply, voters for which another
    replica has caught up, and spare voters: those beyond the number that
    tolerates `tolerated_losses`. A lost spare one would raise the quorum for
    nothing. No voter is removed while no majority of them responds.
    """
    voters = raft.voters
    for name in link_health.unresponsive_peers(
        raft, now_ms, REMOVE_LEARNER_AFTER_MS
    ):
        if name not in voters:
            return name
    unresponsive = [
        name
        for name in link_health.unresponsive_peers(
            raft, now_ms, REMOVE_SPARE_AFTER_MS
        )
        if name in voters
    ]
    if len(voters) - len(unresponsive) <= len(voters) // 2:
        return None
    removable = [raft_lib.replaced_voter(raft, now_ms)]
    if len(voters) > needed_voters(tolerated_losses):
        removable += unresponsive
    for name in removable:
        if name and not unsafe_removal(raft, name, now_ms):
            return name
    return None


def _is_in_contact(raft: raft_lib.Raft, peer: str, now_ms: int) -> bool:
    progress = raft.progress_by_peer.get(peer)
    if progress is None:
        return False
    replied = now_ms - progress.last_reply_ms <= raft_members.CONTACT_TIMEOUT_MS
    return replied and progress.match_index >= raft.commit_index
