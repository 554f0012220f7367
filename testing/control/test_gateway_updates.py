"""Tests of the leader's answers to gateways."""

import random

import pytest
from support import instant_disk
from support import leading_raft

from wisteriawall.control import gateway_updates
from wisteriawall.control import raft
from wisteriawall.control import raft_log
from wisteriawall.control import state
from wisteriawall.wire import gateway_messages
from wisteriawall.wire import raft_messages


class LeadingReplica:
    """The only replica of a cluster, and what it knows of gateways."""

    def __init__(self) -> None:
        """Win the election."""
        member = raft_messages.Member("c", identity="c-1")
        snapshot = raft_messages.Snapshot(0, 0, (member,), b"")
        self.raft = raft.Raft(
            replica="c",
            identity="c-1",
            incarnation=1,
            random=random.Random(1),
            term=1,
            log=raft_log.RaftLog(snapshot=snapshot, entries=[]),
        )
        for now_ms in range(0, 3_000, 50):
            self.tick(now_ms)
        self.updates = gateway_updates.GatewayUpdates()

    def tick(self, now_ms: int) -> None:
        """Let time pass."""
        effects = raft.tick(self.raft, now_ms)
        list(instant_disk.settle(self.raft, effects, now_ms))

    def follow(
        self,
        name: str,
        *,
        version: int = 0,
        now_ms: int = 3_000,
        **more: object,
    ) -> gateway_messages.Followed:
        """Return the answer to a gateway that has the list `version`."""
        request = gateway_messages.FollowRequest(
            name,
            1,
            f"{name}:1",
            0,
            (0, 0),
            peers_version=version,
            **more,  # type: ignore[arg-type]
        )
        reply = gateway_updates.follow(
            self.updates, self.raft, state.Ledger(), request, now_ms
        )
        assert isinstance(reply, gateway_messages.Followed)
        return reply


def test_the_list_of_gateways_is_sent_once() -> None:
    leader = LeadingReplica()
    leader.follow("a")
    first = leader.follow("b")
    assert first.peers == [gateway_messages.GatewayPeer("a", "a:1")]
    assert leader.follow("b", version=first.peers_version).peers is None
    own = leader.follow("a")
    assert own.peers_version == first.peers_version
    assert own.peers == [gateway_messages.GatewayPeer("b", "b:1")]


@pytest.mark.parametrize(
    "change",
    [
        pytest.param("added", id="added"),
        pytest.param("stopping", id="stopping"),
        pytest.param("silent", id="silent"),
    ],
)
def test_a_changed_list_of_gateways_is_sent_again(change: str) -> None:
    leader = LeadingReplica()
    leader.follow("a")
    version = leader.follow("b").peers_version
    now_ms = 3_000
    match change:
        case "added":
            leader.follow("d")
        case "stopping":
            leader.follow("a", stopping=True)
        case "silent":
            now_ms += gateway_updates.GATEWAY_TIMEOUT_MS + 1
            for _ in range(2):
                leader.tick(now_ms)
    reply = leader.follow("b", version=version, now_ms=now_ms)
    expected = ["a", "d"] if change == "added" else []
    assert reply.peers is not None
    assert [peer.name for peer in reply.peers] == expected


def test_a_gateway_that_starts_hears_the_newest_limits_of_runners() -> None:
    leader = LeadingReplica()
    limit, raised = (
        gateway_messages.RunnerLimit(per_s, age_ms)
        for per_s, age_ms in ((1.4, 900), (2.0, 100))
    )
    leader.follow("g1", limit_by_runner={"u/1": raised, "u/2": limit})
    leader.follow("g2", limit_by_runner={"u/1": limit})
    heard = leader.follow("g3", now_ms=3_050).limit_by_runner
    assert heard == {
        "u/1": gateway_messages.RunnerLimit(2.0, 150),
        "u/2": gateway_messages.RunnerLimit(1.4, 950),
    }
    for now_ms in range(3_050, 64_000, 50):
        leader.tick(now_ms)
    assert leader.follow("g3", now_ms=64_000).limit_by_runner == {}


def test_list_of_an_earlier_term_is_not_published_after_a_commit() -> None:
    """It was held until its versions were committed, and is outdated."""
    updates = gateway_updates.GatewayUpdates(commits_versions=True)
    upstream = gateway_messages.Upstream(
        upstream_id="u",
        service="s",
        address="u:1",
        zone="z",
        slots=1,
        version="v2",
    )
    ledger = state.Ledger()
    gateway_updates.hold_upstreams(updates, [upstream], 3)
    gateway_updates.publish_held_upstreams(updates, ledger, 3)
    assert updates.upstreams is None
    ledger.versions_by_service["s"] = ["v2"]
    gateway_updates.publish_held_upstreams(updates, ledger, 4)
    assert updates.upstreams is None
    gateway_updates.publish_held_upstreams(updates, ledger, 3)
    assert updates.upstreams is not None
    assert updates.upstreams.upstreams == [upstream]


@pytest.mark.parametrize(
    ("now_ms", "is_answered"),
    [
        pytest.param(10_020, True, id="lease"),
        pytest.param(10_500, False, id="lapsed lease"),
        pytest.param(60_000, False, id="frozen for long"),
    ],
)
def test_leader_whose_lease_lapsed_names_no_table(
    now_ms: int, is_answered: bool
) -> None:
    """Another replica may lead, and know of a newer table."""
    leader = leading_raft.leader_of_two()
    request = gateway_messages.FollowRequest("g", 1, "g:1", 0, (0, 0))
    answer = gateway_updates.follow(
        gateway_updates.GatewayUpdates(),
        leader,
        state.Ledger(),
        request,
        now_ms,
    )
    assert isinstance(answer, gateway_messages.Followed) is is_answered
