"""Stateful test of Raft: random faults, with every invariant checked."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest
from testing.control import raft_cluster

from wisteriawall.control import raft_replication

NAMES = strategies.sampled_from("abcd")
DURATIONS = strategies.sampled_from([20, 100, 500, 1500])


class RaftMachine(stateful.RuleBasedStateMachine):
    """Three replicas under random faults; one disk may be lost and replaced."""

    @stateful.initialize(seed=strategies.integers(0, 2**32))
    def set_up(self, seed: int) -> None:
        """Start the replicas."""
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(raft_replication, "SNAPSHOT_CHUNK_BYTES", 200)
        self.cluster = raft_cluster.Cluster(
            seed=seed, snapshot_interval_entries=6
        )
        self.cluster.run(2_000)
        self.lost = ""
        self.commands = 0

    @stateful.rule(duration_ms=DURATIONS)
    def run(self, duration_ms: int) -> None:
        """Advance virtual time."""
        self.cluster.run(duration_ms)

    @stateful.rule(
        count=strategies.integers(1, 12),
        duration_ms=strategies.sampled_from([0, 10, 300]),
    )
    def submit(self, count: int, duration_ms: int) -> None:
        """Submit commands at every replica that holds the lease."""
        for _ in range(count):
            self.commands += 1
            self.cluster.submit(b"%d" % self.commands)
        self.cluster.run(duration_ms)

    @stateful.rule(
        loss=strategies.sampled_from([0.0, 0.1, 0.5]),
        duplication=strategies.sampled_from([0.0, 0.3]),
        delay_ms=strategies.sampled_from([2, 60, 900]),
    )
    def disturb(self, loss: float, duplication: float, delay_ms: int) -> None:
        """Lose, duplicate, delay and reorder messages from now on."""
        self.cluster.loss = loss
        self.cluster.duplication = duplication
        self.cluster.delay_ms = delay_ms

    @stateful.rule(sync_ms=strategies.sampled_from([0, 60, 300, 1_200]))
    def slow_disks(self, sync_ms: int) -> None:
        """Let each sync take up to this time from now on."""
        self.cluster.sync_ms = sync_ms

    @stateful.rule()
    def heal(self) -> None:
        """End all faults except a lost disk."""
        self.cluster.heal()

    @stateful.rule()
    def cut_leader(self) -> None:
        """Isolate the leader with a command that no other replica receives."""
        leader = self.cluster.leader()
        if leader is not None:
            self.cluster.isolated_groups = [{leader.raft.replica}]
            self.submit(1, 0)
            self.cluster.run(1_500)

    @stateful.rule(restarts=strategies.booleans())
    def swap_cut(self, restarts: bool) -> None:
        """Isolate a follower, then the leader instead.

        The follower starts an election at once, while the leader still has the
        lease that the third replica acknowledged, perhaps before a restart.
        """
        leader = self.cluster.leader()
        if leader is None:
            return
        first, *rest = leader.raft.other_members
        self.cluster.isolated_groups = [{first}]
        self.cluster.run(1_500)
        self.cluster.isolated_groups = [{leader.raft.replica}]
        for name in rest if restarts else ():
            if name in self.cluster.node_by_name:
                self.cluster.restart(name)
        self.cluster.run(600)
        self.cluster.isolated_groups = []

    @stateful.rule(
        group=strategies.sets(NAMES, max_size=2), duration_ms=DURATIONS
    )
    def partition(self, group: set[str], duration_ms: int) -> None:
        """Isolate a group from the other replicas for a while."""
        self.cluster.isolated_groups = [group]
        self.cluster.run(duration_ms)
        self.cluster.isolated_groups = []

    @stateful.rule(name=NAMES, duration_ms=DURATIONS)
    def pause(self, name: str, duration_ms: int) -> None:
        """Pause a replica for a while; messages to it are delivered later."""
        node = self.cluster.node_by_name.get(name)
        if node is not None:
            node.is_paused = True
            self.cluster.run(duration_ms)
            node.is_paused = False

    @stateful.rule()
    def pause_leader(self) -> None:
        """Pause the leader."""
        leader = self.cluster.leader()
        if leader is not None:
            leader.is_paused = True

    @stateful.rule(name=NAMES, writes=strategies.integers(0, 3))
    def crash(self, name: str, writes: int) -> None:
        """Crash a replica after this number of further disk writes."""
        if name in self.cluster.node_by_name:
            self.cluster.node_by_name[name].crash_after = writes

    @stateful.rule(name=NAMES)
    def restart(self, name: str) -> None:
        """Restart a replica from its disk, crashing it first if it runs."""
        if name in self.cluster.node_by_name:
            self.cluster.crash(name)
            self.cluster.restart(name)

    @stateful.precondition(lambda self: not self.lost)
    @stateful.rule(name=strategies.sampled_from("abc"))
    def lose_disk(self, name: str) -> None:
        """Empty one disk, and start a new replica that can be added."""
        self.lost = name
        self.cluster.start(name)
        self.cluster.start("d")

    @stateful.precondition(lambda self: self.lost)
    @stateful.rule()
    def repair(self) -> None:
        """Ask the leader to add the new replica or remove the lost one."""
        if not self.cluster.change("d", adds=True):
            self.cluster.change(self.lost, adds=False)
        self.cluster.run(200)

    @stateful.invariant()
    def leases_are_exclusive(self) -> None:
        """At most one replica holds a lease, also between events."""
        if hasattr(self, "cluster"):
            self.cluster.check_leases()

    def teardown(self) -> None:
        """End all faults; check that members apply all committed entries."""
        if not hasattr(self, "cluster"):
            return
        self.cluster.heal()
        self.cluster.run(2_000)
        self.cluster.await_leader()
        assert self.cluster.submit(b"last") == 1
        self.cluster.run(2_000)
        assert b"last" in [entry.command for entry in self.cluster.committed]
        leader = self.cluster.await_leader()
        for member in leader.raft.members:
            node = self.cluster.node_by_name[member.replica]
            if member.identity == node.disk.identity:
                assert node.applied == self.cluster.committed
        self.patch.undo()


TestRaft = RaftMachine.TestCase
TestRaft.settings = hypothesis.settings(stateful_step_count=50)
