"""Tests of links between replicas that went silent."""

import random

import pytest

from wisteriawall.control import link_health
from wisteriawall.control import raft as raft_lib
from wisteriawall.control import raft_state

NOW_MS = 10_000
LONG_AGO_MS = NOW_MS - link_health.SILENCE_MS - 1


@pytest.mark.parametrize(
    ("role", "leader", "heard_ms", "echoed_ms", "stale"),
    [
        pytest.param(
            "LEADER", "a", NOW_MS, NOW_MS, ["c"], id="silent-follower"
        ),
        pytest.param("FOLLOWER", "b", NOW_MS, NOW_MS, [], id="both-ways"),
        pytest.param("FOLLOWER", "b", NOW_MS, LONG_AGO_MS, ["b"], id="one-way"),
        pytest.param(
            "FOLLOWER", "b", LONG_AGO_MS, NOW_MS, ["b", "c"], id="no-leader"
        ),
    ],
)
def test_stale_peers(
    role: str, leader: str, heard_ms: int, echoed_ms: int, stale: list[str]
) -> None:
    raft = raft_lib.Raft(replica="a", peers=("b", "c"), random=random.Random(1))
    raft.role = raft_lib.RaftRole[role]
    raft.leader = leader
    raft.leader_heard_ms = heard_ms
    raft.echoed_ms = echoed_ms
    raft.elected_ms = LONG_AGO_MS
    raft.progress_by_peer = {
        "b": raft_state.Progress(next_index=1, heard_ms=NOW_MS),
        "c": raft_state.Progress(next_index=1, heard_ms=LONG_AGO_MS),
    }
    assert link_health.stale_peers(raft, NOW_MS) == stale
