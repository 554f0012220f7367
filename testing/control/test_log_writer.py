"""Tests of `wisteriawall.control.log_writer` on a real disk."""

from collections.abc import Iterator
import os
import pathlib
import threading
import time

import pytest

from wisteriawall.control import log_writer
from wisteriawall.control import raft
from wisteriawall.storage import data_folder
from wisteriawall.storage import durable_files
from wisteriawall.storage import replica_log
from wisteriawall.wire import raft_messages

WAIT_S = 10.0
MEMBERS = (raft_messages.Member("a"),)


class _Snapshots:
    """Syncs of snapshots wait until `released` is set, or fail."""

    def __init__(self) -> None:
        self.released = threading.Event()
        self.error: OSError | None = None
        self._fsync = os.fsync

    def fsync(self, descriptor: int) -> None:
        """Sync; wait before that if it is a snapshot."""
        if ".snapshot" in os.readlink(f"/proc/self/fd/{descriptor}"):
            assert self.released.wait(WAIT_S)
            if self.error is not None:
                raise self.error
        self._fsync(descriptor)


@pytest.fixture
def snapshots(monkeypatch: pytest.MonkeyPatch) -> Iterator[_Snapshots]:
    """Yield the syncs of snapshots, which wait."""
    snapshots = _Snapshots()
    monkeypatch.setattr(os, "fsync", snapshots.fsync)
    yield snapshots
    snapshots.released.set()


def _open(folder: pathlib.Path) -> replica_log.ReplicaLog:
    owned = data_folder.DataFolder(
        folder, cluster="c", replica="a", founders=MEMBERS
    )
    return replica_log.ReplicaLog(owned, segment_bytes=1)


def _start(log: replica_log.ReplicaLog) -> log_writer.LogWriter:
    writer = log_writer.LogWriter(
        log, on_progress=lambda: None, on_sync=lambda *_: None
    )
    writer.start()
    return writer


def _append(index: int) -> raft.AppendLog:
    return raft.AppendLog((raft_messages.LogEntry(index, 1, b"x"),))


def _snapshot(index: int) -> raft_messages.Snapshot:
    return raft_messages.Snapshot(index, 1, MEMBERS, b"state")


def _await_synced(writer: log_writer.LogWriter, number: int) -> None:
    deadline_s = time.monotonic() + WAIT_S
    while writer.synced < number:
        assert time.monotonic() < deadline_s
        time.sleep(0.005)


def test_segments_are_kept_until_the_snapshot_of_a_compaction_is_durable(
    tmp_path: pathlib.Path, snapshots: _Snapshots
) -> None:
    """Entries that follow it don't wait for it."""
    log = _open(tmp_path)
    writer = _start(log)
    for index in range(1, 5):
        writer.write([_append(index)], index)
        _await_synced(writer, index)
    writer.write([raft.SaveSnapshot(_snapshot(4), 4, is_compaction=True)], 5)
    writer.write([_append(5)], 6)
    _await_synced(writer, 6)
    segments = sorted(tmp_path.glob("*.segment"))
    assert len(segments) > 4
    snapshots.released.set()
    writer.close(WAIT_S)
    assert len(sorted(tmp_path.glob("*.segment"))) < len(segments)
    recovered = _open(tmp_path).recovered
    assert recovered.snapshot == _snapshot(4)
    assert [entry.index for entry in recovered.entries] == [5]


def test_an_installed_snapshot_is_not_replaced_by_one_of_a_compaction(
    tmp_path: pathlib.Path, snapshots: _Snapshots
) -> None:
    writer = _start(_open(tmp_path))
    writer.write([_append(index) for index in range(1, 5)], 4)
    writer.write([raft.SaveSnapshot(_snapshot(3), 3, is_compaction=True)], 5)
    _await_synced(writer, 5)
    installed = [raft.SaveSnapshot(_snapshot(9), 10), raft.ResetLog(9)]
    writer.write([*installed, _append(10)], 8)
    time.sleep(0.1)
    assert writer.synced == 5
    snapshots.released.set()
    _await_synced(writer, 8)
    writer.close(WAIT_S)
    recovered = _open(tmp_path).recovered
    assert recovered.snapshot == _snapshot(9)
    assert [entry.index for entry in recovered.entries] == [10]


def test_a_snapshot_that_cannot_be_saved_stops_the_replica(
    tmp_path: pathlib.Path, snapshots: _Snapshots
) -> None:
    writer = _start(_open(tmp_path))
    snapshots.error = OSError(5, "Input/output error")
    snapshots.released.set()
    compaction = raft.SaveSnapshot(_snapshot(1), 1, is_compaction=True)
    writer.write([_append(1), compaction], 2)
    deadline_s = time.monotonic() + WAIT_S
    with pytest.raises(durable_files.StorageFailed):
        while time.monotonic() < deadline_s:
            assert writer.synced in (0, 2)
            time.sleep(0.005)
    writer.close(WAIT_S)
    assert _open(tmp_path).recovered.entries
