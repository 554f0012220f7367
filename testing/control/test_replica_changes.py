"""Tests of membership changes that a replica requests or the leader starts."""

import random

import pytest

from wisteriawall.control import events
from wisteriawall.control import raft as raft_lib
from wisteriawall.control import raft_state
from wisteriawall.control import replica_changes
from wisteriawall.wire import gateway_messages
from wisteriawall.wire import raft_messages

NOW_MS = 50_000


def leader(*names: str, unresponsive: tuple[str, ...] = ()) -> raft_lib.Raft:
    """Return the state of a leader `a` with these other voters."""
    raft = raft_lib.Raft(replica="a", peers=names, random=random.Random(1))
    raft.role = raft_lib.RaftRole.LEADER
    raft.elected_ms = 0
    raft.progress_by_peer = {
        name: raft_state.Progress(
            next_index=1, last_reply_ms=1 if name in unresponsive else NOW_MS
        )
        for name in names
    }
    return raft


@pytest.mark.parametrize(
    ("others", "unresponsive", "tolerated_losses", "lost"),
    [
        pytest.param("bc", "c", 1, None, id="not-below-three-voters"),
        pytest.param("bcd", "", 1, None, id="all-responsive"),
        pytest.param("bcd", "d", 1, "d", id="unresponsive-one-of-four"),
        pytest.param("bcd", "cd", 1, None, id="no-responsive-majority"),
        pytest.param("bcde", "de", 2, None, id="not-below-five-voters"),
        pytest.param("bcdef", "ef", 2, "e", id="two-of-six"),
    ],
)
def test_lost_replica_is_found(
    others: str, unresponsive: str, tolerated_losses: int, lost: str | None
) -> None:
    raft = leader(*others, unresponsive=tuple(unresponsive))
    found = replica_changes.find_lost_replica(
        raft, NOW_MS, tolerated_losses=tolerated_losses
    )
    assert found == lost


def test_member_on_the_same_host_is_replaced() -> None:
    raft = leader("b")
    raft.log.members = (
        raft_messages.Member("a", "10.0.0.1:1"),
        raft_messages.Member("b", "10.0.0.2:1"),
    )
    join = gateway_messages.JoinRequest("b-2", "10.0.0.2:1", "", "")
    step = replica_changes.next_join_step(raft, join, NOW_MS)
    assert step == events.RemoveReplicaRequest("leader", "b")
    raft.log.members = raft.log.members[:1]
    step = replica_changes.next_join_step(raft, join, NOW_MS)
    assert isinstance(step, events.AddReplicaRequest)
    raft.log.members = (*raft.log.members, raft_messages.Member("b-2"))
    assert replica_changes.next_join_step(raft, join, NOW_MS) is None


@pytest.mark.parametrize(
    ("others", "unresponsive", "step"),
    [
        pytest.param("bc", "", "add", id="all-responsive"),
        pytest.param("bc", "b", "remove b", id="one-of-three-lost"),
        pytest.param("bc", "bc", "add", id="two-lost"),
        pytest.param("b", "b", "add", id="too-few-voters"),
    ],
)
def test_unresponsive_member_is_removed_before_its_replacement_joins(
    others: str, unresponsive: str, step: str
) -> None:
    raft = leader(*others, unresponsive=tuple(unresponsive))
    raft.log.members = tuple(
        raft_messages.Member(name, f"10.0.0.{n}:1")
        for n, name in enumerate(f"a{others}")
    )
    join = gateway_messages.JoinRequest("new", "10.0.0.9:1", "", "")
    match replica_changes.next_join_step(raft, join, NOW_MS):
        case events.RemoveReplicaRequest(replica=removed):
            assert step == f"remove {removed}"
        case events.AddReplicaRequest(replica=added):
            assert (step, added) == ("add", "new")
        case None:
            raise AssertionError("expected a change")


@pytest.mark.parametrize(
    ("others", "unresponsive", "behind", "removed", "is_safe"),
    [
        pytest.param("bc", "", "", "b", True, id="two-of-three-left"),
        pytest.param("bc", "b", "", "b", True, id="lost-one-of-three"),
        pytest.param("bc", "c", "", "b", False, id="other-one-is-lost"),
        pytest.param("bc", "", "c", "b", False, id="other-one-was-just-lost"),
        pytest.param("bcd", "c", "", "b", True, id="two-of-three-stay"),
        pytest.param("b", "", "", "b", True, id="leader-alone"),
        pytest.param("bc", "", "", "a", False, id="leader"),
    ],
)
def test_replica_without_which_nothing_is_committed_is_not_removed(
    others: str, unresponsive: str, behind: str, removed: str, is_safe: bool
) -> None:
    """A late request to join stopped two of three replicas."""
    raft = leader(*others, unresponsive=tuple(unresponsive))
    raft.commit_index = 1
    for name, progress in raft.progress_by_peer.items():
        progress.match_index = 0 if name in behind else 1
    reason = replica_changes.unsafe_removal(raft, removed, NOW_MS)
    assert (reason == "") is is_safe
