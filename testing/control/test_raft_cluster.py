"""Tests of Raft's bounds on recovery time and message count."""

import copy

import pytest
from testing.control import raft_cluster

from wisteriawall.control import raft_replication
from wisteriawall.wire import raft_messages

MAX_WRITE_OUTAGE_MS = 3_000
MAX_CATCH_UP_MS = 3_000
SEEDS = 40


@pytest.mark.parametrize("seed", range(SEEDS))
@pytest.mark.parametrize("fault", ["crash", "pause", "cut"])
def test_writes_resume_in_time_after_loss_of_the_leader(
    seed: int, fault: str
) -> None:
    cluster = raft_cluster.Cluster(seed=seed)
    old = cluster.await_leader()
    cluster.run(seed * 5)
    match fault:
        case "crash":
            cluster.crash(old.raft.replica)
        case "pause":
            old.is_paused = True
        case "cut":
            cluster.isolated_groups = [{old.raft.replica}]
    lost_ms = cluster.now_ms
    while b"after" not in [entry.command for entry in cluster.committed]:
        assert cluster.now_ms - lost_ms < MAX_WRITE_OUTAGE_MS
        leader = cluster.leader()
        if leader is not None and leader is not old:
            cluster.submit(b"after")
        cluster.run(raft_cluster.STEP_MS)


@pytest.mark.parametrize(
    "snapshot_interval_entries",
    [pytest.param(100, id="snapshot"), pytest.param(9_999, id="log")],
)
def test_replica_1000_entries_behind_catches_up_in_time(
    snapshot_interval_entries: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(raft_replication, "SNAPSHOT_CHUNK_BYTES", 2_000)
    cluster = raft_cluster.Cluster(
        seed=3, snapshot_interval_entries=snapshot_interval_entries
    )
    leader = cluster.await_leader()
    behind = next(iter(leader.raft.other_members))
    cluster.crash(behind)
    for number in range(1_000):
        cluster.submit(b"change %d" % number)
        if number % 50 == 0:
            cluster.run(20)
    cluster.run(500)
    assert len(cluster.committed) >= 1_000
    cluster.restart(behind)
    node = cluster.node_by_name[behind]
    since_ms = cluster.now_ms
    while node.raft.fresh_as_of_ms - node.offset_ms < since_ms:
        assert cluster.now_ms - since_ms < MAX_CATCH_UP_MS
        cluster.run(raft_cluster.STEP_MS)
    assert node.applied == cluster.committed
    # Entries written after an installed snapshot must be recoverable, too.
    cluster.submit(b"later")
    cluster.run(300)
    cluster.crash(behind)
    cluster.restart(behind)
    cluster.run(300)
    assert cluster.node_by_name[behind].applied == cluster.committed


def test_loss_of_a_second_replica_after_a_repair_loses_no_entries() -> None:
    cluster = raft_cluster.Cluster(seed=5)
    leader = cluster.await_leader()
    first, second = leader.raft.other_members
    for number in range(30):
        cluster.submit(b"%d" % number)
    cluster.run(300)
    cluster.node_by_name.pop(first)
    cluster.start("d")
    assert cluster.change("d", adds=True)
    while "d" not in leader.raft.voters:
        cluster.submit(b"meanwhile")
        committed_index = leader.raft.commit_index
        cluster.run(raft_cluster.STEP_MS)
    # A learner gets its vote only once it has every committed entry.
    assert cluster.node_by_name["d"].raft.last_index >= committed_index
    while not cluster.change(first, adds=False):
        cluster.run(raft_cluster.STEP_MS)
    while first in leader.raft.voters or leader.raft.commit_index < (
        leader.raft.log.members_index
    ):
        cluster.run(raft_cluster.STEP_MS)
    acknowledged = list(cluster.committed)
    for lost in (leader.raft.replica, second):
        survivors = copy.deepcopy(cluster)
        survivors.node_by_name.pop(lost)
        survivors.await_leader()
        assert survivors.submit(b"after") == 1
        survivors.run(1_000)
        assert survivors.committed[: len(acknowledged)] == acknowledged
        assert survivors.committed[-1].command == b"after"


def test_learner_has_no_vote_before_it_has_caught_up() -> None:
    cluster = raft_cluster.Cluster(seed=6)
    leader = cluster.await_leader()
    cluster.submit(b"one")
    cluster.run(300)
    assert cluster.change("d", adds=True)
    # No replica runs under the new name.
    cluster.run(2_000)
    assert "d" not in leader.raft.voters
    assert not cluster.change("e", adds=True)
    assert cluster.change("d", adds=False)


def test_membership_changes_one_replica_at_a_time() -> None:
    cluster = raft_cluster.Cluster("abcde", seed=8)
    leader = cluster.await_leader()
    cluster.run(500)
    first, second, *_ = leader.raft.other_members
    assert cluster.change(first, adds=False)
    assert not cluster.change(second, adds=False)
    cluster.run(500)
    assert cluster.change(second, adds=False)
    cluster.run(500)
    assert len(leader.raft.voters) == 3
    # A removed leader steps down once its removal is committed.
    assert cluster.change(leader.raft.replica, adds=False)
    cluster.run(3_000)
    successor = cluster.await_leader()
    assert successor is not leader
    assert leader.raft.replica not in successor.raft.voters


def test_entries_are_not_resent_to_an_unresponsive_follower() -> None:
    cluster = raft_cluster.Cluster(seed=7, snapshot_interval_entries=9_999)
    leader = cluster.await_leader()
    cluster.run(300)
    paused = cluster.node_by_name[leader.raft.other_members[0]]
    paused.is_paused = True
    cluster.records_messages = True
    for number in range(400):
        cluster.submit(b"%d" % number)
        cluster.run(raft_cluster.STEP_MS)
    entries = [
        entry.index
        for message in cluster.messages
        if isinstance(message, raft_messages.AppendRequest)
        for entry in message.entries
    ]
    assert len(entries) <= 2 * 400
