"""Raft state of a leader with one follower."""

import random

from support import instant_disk
from wisteriawall.control import raft
from wisteriawall.control import raft_log
from wisteriawall.wire import raft_messages

__all__ = ["acknowledge", "leader_of_two"]


def leader_of_two() -> raft.Raft:
    """Return leader a of two replicas, which knows that b has its log."""
    members = tuple(
        raft_messages.Member(name, identity=f"{name}-1") for name in "ab"
    )
    leader = raft.Raft(
        replica="a",
        identity="a-1",
        incarnation=7,
        random=random.Random(1),
        term=2,
        log=raft_log.RaftLog(
            snapshot=raft_messages.Snapshot(0, 0, members, b""), entries=[]
        ),
    )
    leader.election_due_ms = 10_000
    list(raft.tick(leader, 10_000))
    for prevote in (True, False):
        vote = raft_messages.VoteReply(3, "b", True, prevote, "b-1")
        effects = raft.receive(leader, vote, 10_000)
        list(instant_disk.settle(leader, effects, 10_000))
    list(acknowledge(leader, 1))
    return leader


def acknowledge(leader: raft.Raft, index: int) -> list[raft.Effect]:
    """Handle the acknowledgement of b up to `index`."""
    header = raft_messages.ReplyHeader(
        term=3,
        follower="b",
        identity="b-1",
        is_founder=False,
        leader_clock_ms=10_000,
        follower_clock=raft_messages.ClockReading(1, 1),
    )
    reply = raft_messages.AppendReply(header, True, index, index)
    effects = raft.receive(leader, reply, 10_010)
    return list(instant_disk.settle(leader, effects, 10_010))
