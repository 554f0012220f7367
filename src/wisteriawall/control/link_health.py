"""Find control replicas and links between them that stopped responding."""

from wisteriawall.control import raft as raft_lib

__all__ = [
    "LINK_TIMEOUT_MS",
    "RECONNECT_INTERVAL_MS",
    "peers_to_reconnect",
    "unresponsive_peers",
]

# TCP retransmits a lost SYN only after a second, longer than an election takes.
# A new connection before that reaches a peer that has started in the meantime.
RECONNECT_INTERVAL_MS = 300

# Leaders send every 100 ms, so without traffic for this long either the link or
# its peer has failed.
LINK_TIMEOUT_MS = 1_500


def peers_to_reconnect(raft: raft_lib.Raft, now_ms: int) -> list[str]:
    """Return the peers to which the connection should be reopened.

    For a leader these are the peers without a recent reply. For a follower it
    is the leader, if the age of the clock reading that it returns shows that it
    does not receive replies. Without a recent message of a leader it is every
    peer.
    """
    if raft.role is raft_lib.RaftRole.LEADER:
        return unresponsive_peers(raft, now_ms, LINK_TIMEOUT_MS)
    if raft.leader and now_ms - raft.leader_contact_ms <= LINK_TIMEOUT_MS:
        is_reply_missing = (
            now_ms - raft.newest_returned_clock_ms > LINK_TIMEOUT_MS
        )
        return [raft.leader] if is_reply_missing else []
    return raft.other_members


def unresponsive_peers(
    raft: raft_lib.Raft, now_ms: int, timeout_ms: int
) -> list[str]:
    """Return the peers without a reply to this leader for `timeout_ms`."""
    return [
        name
        for name in raft.other_members
        if raft.silence_ms(name, now_ms) > timeout_ms
    ]
