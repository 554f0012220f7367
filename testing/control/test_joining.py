"""Tests of replicas that request membership themselves, on loopback."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import pathlib
import time

import pytest

from wisteriawall.control import joining
from wisteriawall.control import shell as shell_lib
from wisteriawall.demo import cluster
from wisteriawall.wire import control_client
from wisteriawall.wire import envelope
from wisteriawall.wire import gateway_messages
from wisteriawall.wire import raft_messages

KEY = b"k" * 32
WAIT_S = 20.0
# Outgoing connections leave from 127.0.0.1 and may take a free port there.
NETWORK = cluster.unused_loopback_address().rpartition(".")[0]


class Replica:
    """A replica and its thread that requests membership."""

    def __init__(
        self, folder: pathlib.Path, name: str, host: str, seed: str = ""
    ) -> None:
        """Found a cluster, or join the one whose replica is at `seed`."""
        peer, self.rpc, admin = (
            f"{host}:{cluster.unused_loopback_address().rpartition(':')[2]}"
            for _ in range(3)
        )
        founders = (raft_messages.Member(name, peer, self.rpc, admin),)
        self.shell = shell_lib.ControlShell(
            replica=name,
            peer_address_by_replica={name: peer},
            rpc_address=self.rpc,
            folder=folder / name,
            key=KEY,
            incarnation=1,
            bootstrap=not seed,
            founders=() if seed else founders,
        )
        client = control_client.ControlClient(
            address_by_replica={"seed": seed or self.rpc},
            key=KEY,
            sender=envelope.Sender(name, 1),
        )
        request = gateway_messages.JoinRequest(name, peer, self.rpc, admin)
        self._joining = joining.ClusterJoiner(
            replica=self.shell, request=request, client=client
        )
        self._closed = False
        self.shell.start()
        self._joining.start()

    def close(self) -> None:
        """Stop the replica, once."""
        if self._closed:
            return
        self._closed = True
        self._joining.stop()
        self.shell.stop()

    def voters(self) -> set[str]:
        """Return the voting members in this replica's log."""
        members = self.shell.members
        return {member.replica for member in members if member.voting}


@pytest.fixture
def start(
    tmp_path: pathlib.Path,
) -> Iterator[Callable[..., Replica]]:
    """Return a function that starts a replica."""
    with contextlib.ExitStack() as stack:

        def run(name: str, host: str, seed: str = "") -> Replica:
            replica = Replica(tmp_path, name, host, seed)
            stack.callback(replica.close)
            return replica

        yield run


def wait_for_voters(replica: Replica, expected: set[str]) -> None:
    """Wait until the replica's log contains exactly these voters."""
    deadline = time.monotonic() + WAIT_S
    while replica.voters() != expected:
        assert time.monotonic() < deadline, replica.voters()
        time.sleep(0.05)


def test_new_replica_becomes_a_voter(start: Callable[..., Replica]) -> None:
    founder = start("c1", f"{NETWORK}.1")
    joined = start("c2", f"{NETWORK}.2", founder.rpc)
    wait_for_voters(founder, {"c1", "c2"})
    wait_for_voters(joined, {"c1", "c2"})


def test_replica_with_an_emptied_folder_replaces_the_one_on_its_host(
    start: Callable[..., Replica],
) -> None:
    founder = start("c1", f"{NETWORK}.1")
    start("c2", f"{NETWORK}.2", founder.rpc)
    lost = start("c3", f"{NETWORK}.3", founder.rpc)
    wait_for_voters(founder, {"c1", "c2", "c3"})
    lost.close()
    start("c3-again", f"{NETWORK}.3", founder.rpc)
    wait_for_voters(founder, {"c1", "c2", "c3-again"})
