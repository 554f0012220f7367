"""Redirect callers of a replica that cannot answer to the leader."""

from wisteriawall.control import raft as raft_lib
from wisteriawall.wire import control_messages

__all__ = ["to_leader"]


def to_leader(raft: raft_lib.Raft) -> control_messages.NotLeader:
    """Return the leader's name and RPC address, both empty if unknown.

    The address is included because a caller that has just started may have
    only seed addresses, and any member may be the leader.
    """
    address = next(
        (m.rpc_address for m in raft.members if m.replica == raft.leader), ""
    )
    return control_messages.NotLeader(raft.leader, address)
