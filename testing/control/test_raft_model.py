"""State machine over the agreement: faults in any order, every invariant."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest
from testing.control import raft_cluster

from wisteriawall.control import raft_replication

NAMES = strategies.sampled_from("abcd")


class AgreementMachine(stateful.RuleBasedStateMachine):
    """Three replicas under faults; one disk may be lost and replaced."""

    @stateful.initialize(seed=strategies.integers(0, 2**32))
    def set_up(self, seed: int) -> None:
        """Start the replicas."""
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(raft_replication, "SNAPSHOT_CHUNK_BYTES", 200)
        self.cluster = raft_cluster.Cluster(seed=seed)
        self.lost = ""
        self.commands = 0

    @stateful.rule(duration_ms=strategies.sampled_from([20, 100, 500, 1500]))
    def run(self, duration_ms: int) -> None:
        """Let time pass."""
        self.cluster.run(duration_ms)

    @stateful.rule(count=strategies.integers(1, 12))
    def submit(self, count: int) -> None:
        """Submit commands wherever a replica believes it leads."""
        for _ in range(count):
            self.commands += 1
            self.cluster.submit(b"%d" % self.commands)

    @stateful.rule(
        loss=strategies.sampled_from([0.0, 0.1, 0.5]),
        duplication=strategies.sampled_from([0.0, 0.3]),
        delay_ms=strategies.sampled_from([2, 60, 900]),
    )
    def disturb(self, loss: float, duplication: float, delay_ms: int) -> None:
        """Lose, repeat, delay and reorder messages from here on."""
        self.cluster.loss = loss
        self.cluster.duplication = duplication
        self.cluster.delay_ms = delay_ms

    @stateful.rule()
    def heal(self) -> None:
        """End every fault but a lost disk."""
        self.cluster.heal()

    @stateful.rule()
    def cut_leader(self) -> None:
        """Cut the leader off after it took a command nobody else has."""
        leader = self.cluster.leader()
        if leader is not None:
            self.cluster.groups = [{leader.raft.replica}]
            self.submit(1)
            self.cluster.run(1_500)

    @stateful.rule(group=strategies.sets(NAMES, max_size=2))
    def partition(self, group: set[str]) -> None:
        """Cut a group off from the rest."""
        self.cluster.groups = [group]

    @stateful.rule(name=NAMES, is_paused=strategies.booleans())
    def pause(self, name: str, is_paused: bool) -> None:
        """Stop or continue a replica; messages to it wait."""
        if name in self.cluster.node_by_name:
            self.cluster.node_by_name[name].is_paused = is_paused

    @stateful.rule()
    def pause_leader(self) -> None:
        """Stop the replica that leads."""
        leader = self.cluster.leader()
        if leader is not None:
            leader.is_paused = True

    @stateful.rule(name=NAMES, writes=strategies.integers(0, 3))
    def crash(self, name: str, writes: int) -> None:
        """Crash a replica after that many further writes to its disk."""
        if name in self.cluster.node_by_name:
            self.cluster.node_by_name[name].crash_after = writes

    @stateful.rule(name=NAMES)
    def restart(self, name: str) -> None:
        """Start a replica from its disk, crashing it first if it runs."""
        if name in self.cluster.node_by_name:
            self.cluster.crash(name)
            self.cluster.restart(name)

    @stateful.precondition(lambda self: not self.lost)
    @stateful.rule(name=strategies.sampled_from("abc"))
    def lose_disk(self, name: str) -> None:
        """Empty one disk; a new replica arrives to be added."""
        self.lost = name
        self.cluster.start(name)
        self.cluster.start("d")

    @stateful.precondition(lambda self: self.lost)
    @stateful.rule()
    def repair(self) -> None:
        """Ask the leader to add the new replica or remove the lost one."""
        if not self.cluster.change("d", adds=True):
            self.cluster.change(self.lost, adds=False)

    @stateful.invariant()
    def leases_are_exclusive(self) -> None:
        """At most one replica holds a lease, also while nothing happens."""
        if hasattr(self, "cluster"):
            self.cluster.check_leases()

    def teardown(self) -> None:
        """End the faults: everything that was committed is everywhere."""
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


TestAgreement = AgreementMachine.TestCase
TestAgreement.settings = hypothesis.settings(stateful_step_count=50)
