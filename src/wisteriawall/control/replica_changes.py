"""Changes of the control cluster's membership.

Operators, joining replicas and the leader itself start them.
"""

from collections.abc import Iterator

from wisteriawall.control import commands
from wisteriawall.control import events
from wisteriawall.control import link_health
from wisteriawall.control import raft as raft_lib
from wisteriawall.wire import gateway_messages
from wisteriawall.wire import raft_messages

# A replica restarts within this time, and one that takes longer can join again.
# Until a lost replica is removed, the cluster tolerates one loss less.
REMOVE_AFTER_MS = 4_000
# Heartbeats are sent every 100 ms; a restart takes about 2 s.
REPLACE_AFTER_MS = 1_500
# With fewer voters, the loss of one stops the cluster.
MIN_VOTERS = 3

__all__ = ["find_lost_replica", "next_join_step", "start_change"]


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
    raft: raft_lib.Raft, join: gateway_messages.JoinRequest, now_ms: int
) -> events.AddReplicaRequest | events.RemoveReplicaRequest | None:
    """Return the next step to make a joining replica a member, None if it is.

    A member on the same host, or a single unresponsive one, is removed first:
    if one of three voters is lost, a fourth voter would raise the quorum to
    all three that are left.
    """
    if any(m.replica == join.replica for m in raft.members):
        return None
    for member in raft.members:
        if _host(member.peer_address) == _host(join.peer_address):
            return events.RemoveReplicaRequest("leader", member.replica)
    unresponsive = link_health.unresponsive_peers(
        raft, now_ms, REPLACE_AFTER_MS
    )
    if len(unresponsive) == 1 and len(raft.voters) >= MIN_VOTERS:
        return events.RemoveReplicaRequest("leader", unresponsive[0])
    return events.AddReplicaRequest(
        "leader",
        join.replica,
        join.peer_address,
        join.rpc_address,
        join.admin_address,
    )


def find_lost_replica(raft: raft_lib.Raft, now_ms: int) -> str | None:
    """Return an unresponsive member to remove, None if there is none.

    No member is removed if fewer than `MIN_VOTERS` voters would be left, or if
    no majority of the voters responds.
    """
    if len(raft.voters) <= MIN_VOTERS:
        return None
    unresponsive = link_health.unresponsive_peers(raft, now_ms, REMOVE_AFTER_MS)
    responsive = [name for name in raft.voters if name not in unresponsive]
    if not unresponsive or len(responsive) <= len(raft.voters) // 2:
        return None
    return unresponsive[0]


def _host(address: str) -> str:
    return address.rpartition(":")[0]
