"""Tests of replicas whose disks are slow or stall, with real threads."""

from collections.abc import Iterator
import contextlib
import os
import pathlib
import threading
import time

import pytest

from wisteriawall.config import route_table
from wisteriawall.control import events
from wisteriawall.control import shell as shell_lib
from wisteriawall.demo import cluster as cluster_lib

KEY = b"k" * 32
REPLICAS = ("a", "b", "c")
WAIT_S = 20.0


class _Disks:
    """Syncs of some folders wait until the block of `stalled` ends."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._fdatasync = os.fdatasync
        self._stalled: set[pathlib.Path] = set()
        self._changed = threading.Condition()

    def fdatasync(self, descriptor: int) -> None:
        """Wait while the disk stalls, then sync."""
        path = pathlib.Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        with self._changed:
            self._changed.wait_for(lambda: path.parent not in self._stalled)
        self._fdatasync(descriptor)

    @contextlib.contextmanager
    def stalled(self, *replicas: str) -> Iterator[None]:
        """Let the disks of some replicas stall."""
        self._set({self._folder / replica for replica in replicas})
        try:
            yield
        finally:
            self._set(set())

    def _set(self, folders: set[pathlib.Path]) -> None:
        with self._changed:
            self._stalled = folders
            self._changed.notify_all()


@pytest.fixture
def disks(tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> _Disks:
    """Return the disks of the replicas, none of which stalls."""
    disks = _Disks(tmp_path)
    monkeypatch.setattr(os, "fdatasync", disks.fdatasync)
    return disks


@pytest.fixture
def shell_by_name(
    disks: _Disks, tmp_path: pathlib.Path
) -> Iterator[dict[str, shell_lib.ControlShell]]:
    """Yield three replicas that have started."""
    address_by_replica = {
        name: cluster_lib.unused_loopback_address() for name in REPLICAS
    }
    shells = {
        name: shell_lib.ControlShell(
            replica=name,
            peer_address_by_replica=address_by_replica,
            rpc_address=cluster_lib.unused_loopback_address(),
            folder=tmp_path / name,
            key=KEY,
            incarnation=time.time_ns(),
            bootstrap=True,
        )
        for name in REPLICAS
    }
    for shell in shells.values():
        shell.start()
    yield shells
    for shell in shells.values():
        shell.stop()


def _publish(
    shell_by_name: dict[str, shell_lib.ControlShell], number: int
) -> str:
    """Publish a table at any replica; return the one that acknowledged it."""
    table = route_table.RouteTable(number=number, routes=[], services=[])
    request = events.PublishRequest("op", table, b"%d" % number)
    deadline_s = time.monotonic() + WAIT_S
    while time.monotonic() < deadline_s:
        for name, shell in shell_by_name.items():
            if isinstance(shell.call(request), events.PublishReply):
                return name
        time.sleep(0.02)
    raise AssertionError(f"table {number} was not acknowledged")


def test_change_is_acknowledged_while_the_disk_of_the_leader_stalls(
    disks: _Disks, shell_by_name: dict[str, shell_lib.ControlShell]
) -> None:
    """A stalled sync stopped heartbeats, replication and answers."""
    leader = _publish(shell_by_name, 1)
    with disks.stalled(leader):
        assert _publish({leader: shell_by_name[leader]}, 2) == leader


def test_nothing_is_acknowledged_that_no_majority_has_synced(
    disks: _Disks, shell_by_name: dict[str, shell_lib.ControlShell]
) -> None:
    leader = _publish(shell_by_name, 1)
    table = route_table.RouteTable(number=2, routes=[], services=[])
    request = events.PublishRequest("op", table, b"2")
    with disks.stalled(*(set(REPLICAS) - {leader})):
        reply = shell_by_name[leader].call(request)
        assert not isinstance(reply, events.PublishReply)
    _publish(shell_by_name, 3)
