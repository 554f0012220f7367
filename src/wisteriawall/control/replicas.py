"""Operators' changes of the control replicas themselves."""

from collections.abc import Iterator

from wisteriawall.control import commands
from wisteriawall.control import events
from wisteriawall.control import raft as raft_lib
from wisteriawall.wire import raft_messages

__all__ = ["change"]


def change(
    raft: raft_lib.Raft,
    request: events.ReplicaAdd | events.ReplicaRemove,
    wall_ms: int,
) -> events.ReplicasReply | Iterator[raft_lib.Effect]:
    """Start a membership change as leader, or answer why there is none."""
    adds = isinstance(request, events.ReplicaAdd)
    is_member = any(m.replica == request.replica for m in raft.members)
    if adds is is_member:
        return events.ReplicasReply(list(raft.members))
    refusal = raft_lib.membership_refusal(raft, request.replica)
    if refusal:
        return events.ReplicasReply(list(raft.members), refusal)
    command = commands.encode(
        commands.ChangeReplica(
            "added" if adds else "removed",
            request.replica,
            request.operator,
            wall_ms,
        )
    )
    match request:
        case events.ReplicaAdd(_, replica, peer, rpc, admin):
            member = raft_messages.Member(replica, peer, rpc, admin)
            return raft_lib.add_member(raft, member, command)
        case events.ReplicaRemove(_, replica):
            return raft_lib.remove_member(raft, replica, command)
