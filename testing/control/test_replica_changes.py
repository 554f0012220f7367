"""Tests of membership changes that a replica requests or the leader starts."""

import random

import pytest

from wisteriawall.control import events
from wisteriawall.control import raft as raft_lib
from wisteriawall.control import raft_members
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


def find(raft: raft_lib.Raft, *, tolerated_losses: int = 1) -> str | None:
    """Return the member that the leader removes now."""
    return replica_changes.find_lost_replica(
        raft, NOW_MS, tolerated_losses=tolerated_losses
    )


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
    assert find(raft, tolerated_losses=tolerated_losses) == lost


JOIN = gateway_messages.JoinRequest("new", "10.0.0.9:1", "", "")


@pytest.mark.parametrize("silent", ["", "b", "bc"])
def test_no_voter_is_removed_for_a_replica_that_has_yet_to_catch_up(
    silent: str,
) -> None:
    """A voter made way for a successor that was lost before it could vote."""
    raft = leader("b", "c", unresponsive=tuple(silent))
    step = replica_changes.next_join_step(raft, JOIN)
    assert step == events.AddReplicaRequest(
        "leader", "new", "10.0.0.9:1", "", ""
    )
    raft.log.members += (raft_messages.Member("new", voting=False),)
    assert replica_changes.next_join_step(raft, JOIN) is None
    assert find(raft) is None


def test_learner_whose_folder_was_lost_is_replaced() -> None:
    raft = leader("b", "c")
    raft.log.members += (
        raft_messages.Member("lost", "10.0.0.9:1", voting=False),
    )
    step = replica_changes.next_join_step(raft, JOIN)
    assert step == events.RemoveReplicaRequest("leader", "lost")


def test_new_member_does_not_count_as_unresponsive() -> None:
    """Two replicas that joined at once removed each other in turn."""
    raft = leader("b", "c")
    raft.log.members += (raft_messages.Member("new", voting=False),)
    assert find(raft) is None
    raft.progress_by_peer["new"] = raft_state.Progress(
        next_index=1, since_ms=NOW_MS - 100
    )
    assert find(raft) is None
    raft.progress_by_peer["new"].since_ms = 1
    assert find(raft) == "new"


@pytest.mark.parametrize(
    ("others", "silence_by_voter_ms", "lost_address", "removed", "votes"),
    [
        pytest.param("bc", {}, "", None, True, id="all-responsive"),
        pytest.param("bc", {"c": 700}, "", None, False, id="silent-for-short"),
        pytest.param("bc", {"c": 2_000}, "", "c", False, id="silent"),
        pytest.param("bc", {"c": 700}, "c", "c", False, id="same-address"),
        pytest.param(
            "bcde", {"c": 2_000, "d": 9_000}, "d", "d", False, id="two-lost"
        ),
        pytest.param(
            "bcd", {"d": 700}, "", None, True, id="quorum-is-not-raised"
        ),
    ],
)
def test_learner_that_has_caught_up_replaces_a_lost_voter(
    others: str,
    silence_by_voter_ms: dict[str, int],
    lost_address: str,
    removed: str | None,
    votes: bool,
) -> None:
    raft = leader(*others)
    raft.log.members = tuple(
        raft_messages.Member(name, f"10.0.0.{name}:1", identity=name)
        for name in ("a", *others)
    )
    raft.log.members += (
        raft_messages.Member(
            "new",
            f"10.0.0.{lost_address or 'x'}:1",
            voting=False,
            identity="n",
        ),
    )
    raft.progress_by_peer["new"] = raft_state.Progress(
        next_index=1, probing=False, last_reply_ms=NOW_MS
    )
    for name, silence_ms in silence_by_voter_ms.items():
        raft.progress_by_peer[name].last_reply_ms = NOW_MS - silence_ms
    assert find(raft, tolerated_losses=len(others) // 2) == removed
    raft.term = raft.log.start_term
    list(raft_members.update_members(raft, NOW_MS))
    assert ("new" in raft.voters) is votes


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
