"""Whether changes are accepted after disks were full, one after another."""

import errno
import os
import pathlib
import threading
import time

import pytest

from wisteriawall.config import route_table
from wisteriawall.control import events
from wisteriawall.control import raft
from wisteriawall.control import shell as shell_lib
from wisteriawall.demo import cluster
from wisteriawall.storage import durable_files
from wisteriawall.wire import raft_messages

KEY = b"k" * 32
NAMES = ("a", "b", "c")
FULL_S = 1.0
RESTART_PAUSE_S = 0.1
WAIT_S = 15.0


class Disks:
    """Disks in folders; a full one takes the first half of each write."""

    def __init__(self, root: pathlib.Path) -> None:
        """Let all of them have room."""
        self._root = root
        self.full = ""
        self._write = os.write

    def write(self, descriptor: int, data: bytes) -> int:
        """Write to a descriptor, as `os.write`."""
        try:
            path = os.readlink(f"/proc/self/fd/{descriptor}")
        except OSError:
            path = ""
        if self.full and path.startswith(str(self._root / self.full)):
            self._write(descriptor, bytes(data)[: len(data) // 2])
            raise OSError(errno.ENOSPC, "No space left on device")
        return self._write(descriptor, data)


class Replica:
    """A replica that is started again whenever it ends."""

    def __init__(
        self, root: pathlib.Path, member: raft_messages.Member
    ) -> None:
        """Found a cluster of the replicas at these addresses."""
        self._root = root
        self._member = member
        self.starts = 0
        self.shell: shell_lib.ControlShell | None = None
        self._ended = threading.Event()
        self._finished = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def start(self, founders: tuple[raft_messages.Member, ...]) -> None:
        """Start the replica, in a thread that keeps it running."""
        self._founders = founders
        self._thread.start()

    def close(self) -> None:
        """Stop the replica for good."""
        self._finished.set()
        self._ended.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._finished.is_set():
            self._ended.clear()
            try:
                shell = self._open()
            except durable_files.StorageFailed:
                self._finished.wait(RESTART_PAUSE_S)
                continue
            self.starts += 1
            shell.start()
            self.shell = shell
            self._ended.wait()
            self.shell = None
            shell.stop()
            self._finished.wait(RESTART_PAUSE_S)

    def _open(self) -> shell_lib.ControlShell:
        return shell_lib.ControlShell(
            replica=self._member.replica,
            peer_address_by_replica={
                self._member.replica: self._member.peer_address
            },
            rpc_address=self._member.rpc_address,
            folder=self._root / self._member.replica,
            key=KEY,
            incarnation=time.time_ns(),
            bootstrap=True,
            founders=self._founders,
            on_failure=self._ended.set,
        )


def publish(replicas: list[Replica], number: int) -> None:
    """Publish a table at any replica; fail if none acknowledges it in time."""
    table = route_table.RouteTable(number=number, routes=[], services=[])
    request = events.PublishRequest("op", table, b"%d" % number)
    deadline = time.monotonic() + WAIT_S
    while time.monotonic() < deadline:
        for replica in replicas:
            shell = replica.shell
            if shell is not None and isinstance(
                shell.call(request), events.PublishReply
            ):
                return
        time.sleep(0.02)
    raise AssertionError(f"table {number} was not acknowledged")


@pytest.mark.parametrize("snapshots", [False, True], ids=["log", "snapshots"])
def test_changes_are_accepted_while_and_after_disks_are_full_in_turn(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, snapshots: bool
) -> None:
    """Other operators had changes refused long after the last had room."""
    if snapshots:
        monkeypatch.setattr(raft, "SNAPSHOT_INTERVAL_ENTRIES", 4)
        monkeypatch.setattr(raft, "CATCH_UP_ENTRIES", 2)
    disks = Disks(tmp_path)
    monkeypatch.setattr(os, "write", disks.write)
    members = tuple(
        raft_messages.Member(
            name,
            cluster.unused_loopback_address(),
            cluster.unused_loopback_address(),
        )
        for name in NAMES
    )
    replicas = [Replica(tmp_path, member) for member in members]
    try:
        for replica in replicas:
            replica.start(members)
        number = 1
        publish(replicas, number)
        for name in NAMES * 2:
            disks.full = name
            full_until = time.monotonic() + FULL_S
            while time.monotonic() < full_until:
                number += 1
                publish(replicas, number)
        disks.full = ""
        for _ in range(5):
            number += 1
            publish(replicas, number)
        deadline = time.monotonic() + WAIT_S
        while not all(_holds(replica, number) for replica in replicas):
            assert time.monotonic() < deadline, "a replica has not caught up"
            time.sleep(0.05)
        restarts = sum(replica.starts for replica in replicas) - len(NAMES)
        # One for each time that a disk was full, once it has room again.
        assert 0 < restarts <= 2 * len(NAMES)
    finally:
        disks.full = ""
        for replica in replicas:
            replica.close()


def test_replica_whose_full_disk_breaks_ends(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It waited for room for good."""

    def break_down(folder: pathlib.Path) -> None:
        error = OSError(errno.EIO, "Input/output error")
        raise durable_files.StorageFailed(folder, error)

    disks = Disks(tmp_path)
    monkeypatch.setattr(os, "write", disks.write)
    monkeypatch.setattr(durable_files, "check_room", break_down)
    member = raft_messages.Member(
        "a",
        cluster.unused_loopback_address(),
        cluster.unused_loopback_address(),
    )
    ended = threading.Event()
    shell = shell_lib.ControlShell(
        replica="a",
        peer_address_by_replica={"a": member.peer_address},
        rpc_address=member.rpc_address,
        folder=tmp_path / "a",
        key=KEY,
        incarnation=1,
        bootstrap=True,
        founders=(member,),
        on_failure=ended.set,
    )
    disks.full = "a"
    shell.start()
    try:
        assert ended.wait(WAIT_S)
    finally:
        shell.stop()


def _holds(replica: Replica, number: int) -> bool:
    """Return whether the replica reads the table `number` itself."""
    shell = replica.shell
    if shell is None:
        return False
    reply = shell.call(events.TableRequest())
    return isinstance(reply, events.TableReply) and reply.number == number
