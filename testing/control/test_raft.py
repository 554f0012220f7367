"""Tests of `wisteriawall.control.raft`."""

from collections import deque
from collections.abc import Iterator
import random

import pytest
from support import instant_disk

from wisteriawall.control import raft

REPLICAS = ("a", "b", "c")
STEP_MS = 10


class Network:
    """Three replicas and the messages between them, in virtual time."""

    def __init__(self) -> None:
        """Start every replica with an empty log."""
        self.now_ms = 0
        self.replica_by_name = {
            name: raft.Raft(
                replica=name,
                peers=tuple(p for p in REPLICAS if p != name),
                random=random.Random(name),
            )
            for name in REPLICAS
        }
        self.applied_by_name: dict[str, list[bytes]] = {
            name: [] for name in REPLICAS
        }
        self.isolated: set[str] = set()
        self.messages: deque[raft.SendPeer] = deque()

    def collect(self, name: str, effects: Iterator[raft.Effect]) -> None:
        """Queue messages and record applied commands."""
        replica = self.replica_by_name[name]
        for effect in instant_disk.settle(replica, effects, self.now_ms):
            match effect:
                case raft.SendPeer(peer, _) if not self.isolated & {name, peer}:
                    self.messages.append(effect)
                case raft.Apply(entry) if entry.command:
                    self.applied_by_name[name].append(entry.command)
                case _:
                    pass

    def run(self, duration_ms: int) -> None:
        """Advance virtual time, delivering every message."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            for name, replica in self.replica_by_name.items():
                self.collect(name, raft.tick(replica, self.now_ms))
            while self.messages:
                sent = self.messages.popleft()
                replica = self.replica_by_name[sent.peer]
                effects = raft.receive(replica, sent.message, self.now_ms)
                self.collect(sent.peer, effects)

    def leaders(self) -> list[raft.Raft]:
        """Return the replicas that hold a leader lease now."""
        return [
            replica
            for replica in self.replica_by_name.values()
            if replica.holds_lease(self.now_ms)
        ]

    def submit(self, command: bytes) -> None:
        """Submit a command at the leader."""
        [leader] = self.leaders()
        effects = raft.propose(leader, command, self.now_ms)
        self.collect(leader.replica, effects)


@pytest.fixture
def network() -> Network:
    """Return a network that has elected a leader."""
    network = Network()
    network.run(3_000)
    return network


def test_command_is_applied_by_every_replica(network: Network) -> None:
    network.submit(b"one")
    network.run(200)
    assert list(network.applied_by_name.values()) == [[b"one"]] * 3


def test_isolated_leader_loses_its_lease_before_another_is_elected(
    network: Network,
) -> None:
    [old] = network.leaders()
    network.isolated = {old.replica}
    lost_ms = network.now_ms
    while network.leaders() in ([], [old]):
        assert network.now_ms - lost_ms < 3_000
        network.run(STEP_MS)
    assert old not in network.leaders()
    network.submit(b"two")
    network.isolated = set()
    network.run(2_000)
    assert network.applied_by_name[old.replica] == [b"two"]
