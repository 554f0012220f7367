"""Tests for finding peers and links that stopped responding."""

import random

import pytest

from wisteriawall.control import link_health
from wisteriawall.control import raft as raft_lib
from wisteriawall.control import raft_state

NOW_MS = 10_000
LONG_AGO_MS = NOW_MS - link_health.LINK_TIMEOUT_MS - 1


@pytest.mark.parametrize(
    ("role", "leader", "contact_ms", "returned_clock_ms", "expected"),
    [
        pytest.param(
            "LEADER", "a", NOW_MS, NOW_MS, ["c"], id="unresponsive-follower"
        ),
        pytest.param(
            "FOLLOWER", "b", NOW_MS, NOW_MS, [], id="link-works-both-ways"
        ),
        pytest.param(
            "FOLLOWER",
            "b",
            NOW_MS,
            LONG_AGO_MS,
            ["b"],
            id="leader-gets-no-replies",
        ),
        pytest.param(
            "FOLLOWER", "b", LONG_AGO_MS, NOW_MS, ["b", "c"], id="no-leader"
        ),
    ],
)
def test_peers_to_reconnect(
    role: str,
    leader: str,
    contact_ms: int,
    returned_clock_ms: int,
    expected: list[str],
) -> None:
    raft = raft_lib.Raft(replica="a", peers=("b", "c"), random=random.Random(1))
    raft.role = raft_lib.RaftRole[role]
    raft.leader = leader
    raft.leader_contact_ms = contact_ms
    raft.newest_returned_clock_ms = returned_clock_ms
    raft.elected_ms = LONG_AGO_MS
    raft.progress_by_peer = {
        "b": raft_state.Progress(next_index=1, last_reply_ms=NOW_MS),
        "c": raft_state.Progress(next_index=1, last_reply_ms=LONG_AGO_MS),
    }
    assert link_health.peers_to_reconnect(raft, NOW_MS) == expected
