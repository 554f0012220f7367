"""Tests that what was acknowledged is left by kills and a loss of power.

A name that was created, renamed or removed without a sync of its folder may be
kept or lost, independently of others. `Disk` records the durable names.
"""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import errno
import os
import pathlib

import pytest

from wisteriawall.storage import data_folder
from wisteriawall.storage import durable_files
from wisteriawall.storage import records
from wisteriawall.storage import replica_log
from wisteriawall.wire import raft_messages

FOUNDERS = (raft_messages.Member("a"), raft_messages.Member("b"))
ENTRIES = [
    raft_messages.LogEntry(index, 1, b"command %d" % index)
    for index in range(1, 13)
]
# A segment of this size isn't followed by another one, whose start would sync
# the folder.
LARGE_SEGMENT_BYTES = 1 << 20
SNAPSHOT = raft_messages.Snapshot(11, 1, FOUNDERS, b"state")


class Killed(BaseException):
    """The process was killed here."""


class Disk:
    """Data folder that knows which of its names are durable.

    The contents of files are always kept. Hard links in another folder hold
    the durable names.
    """

    def __init__(self, path: pathlib.Path, durable: pathlib.Path) -> None:
        self.path = path
        self.kill_at = ""
        self._durable = durable
        self._fsync = os.fsync

    def fsync(self, descriptor: int) -> None:
        """Sync a file or the names in the folder.

        Killed instead if that would make the name `kill_at` durable.
        """
        self._fsync(descriptor)
        if not os.path.samestat(os.fstat(descriptor), self.path.stat()):
            return
        unsynced = self.unsynced_names()
        if self.kill_at in unsynced:
            self.kill_at = ""
            raise Killed
        for name in unsynced:
            _copy_name(self.path / name, self._durable / name)

    def unsynced_names(self) -> list[str]:
        """Return the names that a loss of power may undo, sorted."""
        files = [*self.path.iterdir(), *self._durable.iterdir()]
        return [
            name
            for name in sorted({file.name for file in files})
            if _inode(self.path / name) != _inode(self._durable / name)
        ]

    def lose_power(self, undone: Iterable[str]) -> None:
        """Undo what was done to these names since the last sync."""
        for name in undone:
            _copy_name(self._durable / name, self.path / name)


def _inode(path: pathlib.Path) -> int:
    return path.stat().st_ino if path.exists() else 0


def _copy_name(source: pathlib.Path, target: pathlib.Path) -> None:
    if target.exists():
        os.remove(target)
    if source.exists():
        os.link(source, target)


@pytest.fixture
def disk(tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> Disk:
    """Return a disk with an empty data folder."""
    path, durable = tmp_path / "data", tmp_path / "durable"
    path.mkdir()
    durable.mkdir()
    disk = Disk(path, durable)
    monkeypatch.setattr(os, "fsync", disk.fsync)
    return disk


def open_log(
    path: pathlib.Path, *, segment_bytes: int = 300
) -> replica_log.ReplicaLog:
    """Open the log in a data folder; segments hold only a few entries."""
    folder = data_folder.DataFolder(
        path, cluster="c", replica="a", founders=FOUNDERS
    )
    try:
        return replica_log.ReplicaLog(folder, segment_bytes=segment_bytes)
    except BaseException:
        folder.close()
        raise


def append(
    log: replica_log.ReplicaLog, entries: Iterable[raft_messages.LogEntry]
) -> None:
    """Append entries one by one, each durable as if acknowledged."""
    for entry in entries:
        log.append((entry,))
        log.sync()


@pytest.mark.parametrize(
    "choose_undone",
    [
        pytest.param(lambda names: names[:1], id="oldest-comes-back"),
        pytest.param(lambda names: names[-1:], id="newest-comes-back"),
        pytest.param(lambda names: names, id="all-come-back"),
    ],
)
@pytest.mark.parametrize(
    "removals",
    [
        pytest.param(1, id="in-first-removal"),
        pytest.param(2, id="in-second-removal"),
        pytest.param(None, id="after-all-removals"),
    ],
)
def test_entries_survive_when_removed_segments_come_back(
    disk: Disk,
    monkeypatch: pytest.MonkeyPatch,
    removals: int | None,
    choose_undone: Callable[[list[str]], list[str]],
) -> None:
    log = open_log(disk.path)
    append(log, ENTRIES)
    unlink = pathlib.Path.unlink
    removed = []

    def unlink_until_killed(path: pathlib.Path) -> None:
        unlink(path)
        removed.append(path.name)
        if len(removed) == removals:
            raise Killed

    with monkeypatch.context() as patched:
        patched.setattr(pathlib.Path, "unlink", unlink_until_killed)
        with contextlib.suppress(Killed):
            log.save_snapshot(SNAPSHOT, first_kept_index=12)
    log.close()
    assert len(removed) == (removals or 2)
    disk.lose_power(choose_undone(disk.unsynced_names()))
    log = open_log(disk.path)
    assert log.recovered.snapshot == SNAPSHOT
    assert log.recovered.entries[-1] == ENTRIES[-1]
    log.close()


def test_failed_removal_of_a_segment_stops_the_log(
    disk: Disk, monkeypatch: pytest.MonkeyPatch
) -> None:
    log = open_log(disk.path)
    append(log, ENTRIES)

    def fail(_: pathlib.Path) -> None:
        raise OSError(errno.EIO, "Input/output error")

    with monkeypatch.context() as patched:
        patched.setattr(pathlib.Path, "unlink", fail)
        with pytest.raises(durable_files.StorageFailed):
            log.save_snapshot(SNAPSHOT, first_kept_index=12)
    with pytest.raises(durable_files.StorageFailed):
        log.sync()
    log.close()
    log = open_log(disk.path)
    assert log.recovered.entries[-1] == ENTRIES[-1]
    log.close()


@pytest.mark.parametrize(
    "name",
    [
        pytest.param("lock", id="lock-not-synced"),
        pytest.param("log-0000000000000001.segment", id="segment-not-synced"),
        pytest.param("identity", id="identity-not-synced"),
    ],
)
def test_entries_survive_a_kill_in_the_first_start(
    disk: Disk, name: str
) -> None:
    disk.kill_at = name
    with pytest.raises(Killed):
        open_log(disk.path)
    log = open_log(disk.path)
    append(log, ENTRIES[:1])
    log.close()
    disk.lose_power(disk.unsynced_names())
    log = open_log(disk.path)
    assert log.recovered.entries == ENTRIES[:1]
    log.close()


def test_entries_survive_a_kill_while_a_snapshot_is_installed(
    disk: Disk,
) -> None:
    """The kill comes between the rename of the snapshot and its sync."""
    log = open_log(disk.path, segment_bytes=LARGE_SEGMENT_BYTES)
    append(log, ENTRIES[:2])
    disk.kill_at = "snapshot-0000000000000020.snapshot"
    with pytest.raises(Killed):
        log.save_snapshot(
            raft_messages.Snapshot(20, 3, FOUNDERS, b"state"),
            first_kept_index=21,
        )
    log.close()
    log = open_log(disk.path, segment_bytes=LARGE_SEGMENT_BYTES)
    acknowledged = raft_messages.LogEntry(21, 3, b"acknowledged")
    append(log, [acknowledged])
    log.close()
    disk.lose_power(disk.unsynced_names())
    log = open_log(disk.path, segment_bytes=LARGE_SEGMENT_BYTES)
    assert log.recovered.start_index == 20
    assert log.recovered.entries == [acknowledged]
    log.close()


def test_folder_that_cannot_be_synced_is_not_used(
    disk: Disk, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(_: int) -> None:
        raise OSError(errno.EIO, "Input/output error")

    with monkeypatch.context() as patched:
        patched.setattr(os, "fsync", fail)
        with pytest.raises(durable_files.StorageFailed):
            open_log(disk.path)
    assert [file.name for file in disk.path.iterdir()] == ["lock"]
    open_log(disk.path).close()


@pytest.mark.parametrize(
    "kept_bytes",
    [
        pytest.param(0, id="empty-segment"),
        pytest.param(20, id="torn-first-record"),
    ],
)
def test_entries_survive_when_an_incomplete_segment_comes_back(
    disk: Disk, kept_bytes: int
) -> None:
    """A kill left the next segment incomplete, and the restart removed it.

    Power is lost in the first write after that, which is torn.
    """
    log = open_log(disk.path, segment_bytes=LARGE_SEGMENT_BYTES)
    append(log, ENTRIES[:3])
    path = log.path
    log.close()
    incomplete = disk.path / "log-0000000000000002.segment"
    incomplete.write_bytes(path.read_bytes()[:kept_bytes])
    durable_files.sync_folder(disk.path)
    log = open_log(disk.path, segment_bytes=LARGE_SEGMENT_BYTES)
    assert not incomplete.exists()
    append(log, ENTRIES[3:4])
    log.close()
    os.truncate(path, path.stat().st_size - 1)
    disk.lose_power(disk.unsynced_names())
    log = open_log(disk.path, segment_bytes=LARGE_SEGMENT_BYTES)
    assert log.recovered.entries == ENTRIES[:3]
    log.close()


@pytest.mark.parametrize(
    "names",
    [
        pytest.param(["data"], id="one-folder-missing"),
        pytest.param(["a", "b", "data"], id="parents-missing"),
    ],
)
def test_created_folders_and_their_parents_are_synced(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, names: list[str]
) -> None:
    """Otherwise a loss of power could undo a folder with all that is in it."""
    synced = set()
    fsync = os.fsync

    def record(descriptor: int) -> None:
        fsync(descriptor)
        synced.add(os.fstat(descriptor).st_ino)

    monkeypatch.setattr(os, "fsync", record)
    path = tmp_path.joinpath(*names)
    open_log(path).close()
    folders = [path, *path.parents[: len(names)]]
    assert folders[-1] == tmp_path
    assert [folder for folder in folders if _inode(folder) not in synced] == []


def test_log_closes_after_a_segment_could_not_be_created(
    disk: Disk, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The descriptor of the segment before was closed twice."""
    log = open_log(disk.path)
    open_file = os.open

    def fail_to_create(path: str, flags: int, mode: int = 0o777) -> int:
        if flags & os.O_CREAT:
            raise OSError(errno.ENOSPC, "No space left on device")
        return open_file(path, flags, mode)

    with monkeypatch.context() as patched:
        patched.setattr(os, "open", fail_to_create)
        with pytest.raises(durable_files.StorageFailed):
            append(log, ENTRIES)
    log.close()


def test_log_opens_after_a_batch_whose_first_page_is_missing(
    disk: Disk,
) -> None:
    """Power was lost in the sync of the batch, so none of it is durable."""
    log = open_log(disk.path, segment_bytes=LARGE_SEGMENT_BYTES)
    append(log, ENTRIES[:3])
    synced_bytes = log.path.stat().st_size
    log.append(
        tuple(
            raft_messages.LogEntry(index, 1, b"x" * 6_000) for index in (4, 5)
        )
    )
    log.sync()
    log.close()
    with log.path.open("r+b") as file:
        file.seek(synced_bytes)
        file.write(bytes(4_096 - synced_bytes))
    log = open_log(disk.path, segment_bytes=LARGE_SEGMENT_BYTES)
    assert log.recovered.entries == ENTRIES[:3]
    log.close()


def _zero(data: bytearray, start: int, end: int) -> None:
    data[start:end] = bytes(end - start)


@pytest.mark.parametrize(
    ("start", "end", "batches", "entries"),
    [
        pytest.param(4_096, 8_192, 1, 3, id="page-in-first-record"),
        pytest.param(8_192, 12_288, 1, 4, id="page-in-later-record"),
        pytest.param(None, 8_192, 1, 3, id="two-pages"),
        pytest.param(None, 4_096, 2, -1, id="later-batch-is-intact"),
        pytest.param(100, 4_096, 1, -1, id="synced-part-of-the-page"),
        pytest.param(5_000, 5_001, 1, -1, id="one-byte"),
        pytest.param(4_097, 8_192, 1, -1, id="part-of-a-page"),
    ],
)
def test_only_missing_pages_of_the_last_batch_are_dropped(
    disk: Disk, start: int | None, end: int, batches: int, entries: int
) -> None:
    """Other damage may be that of acknowledged entries; -1: it is reported."""
    log = open_log(disk.path, segment_bytes=LARGE_SEGMENT_BYTES)
    append(log, ENTRIES[:3])
    synced_bytes = log.path.stat().st_size
    added = [
        raft_messages.LogEntry(index, 1, b"x" * 6_000) for index in (4, 5, 6)
    ]
    log.append(tuple(added))
    log.sync()
    if batches == 2:
        log.append((raft_messages.LogEntry(7, 1, b"later"),))
        log.sync()
    log.close()
    data = bytearray(log.path.read_bytes())
    _zero(data, synced_bytes if start is None else start, end)
    log.path.write_bytes(data)
    if entries < 0:
        with pytest.raises(records.LogDamaged):
            open_log(disk.path, segment_bytes=LARGE_SEGMENT_BYTES)
        assert log.path.read_bytes() == data
        return
    log = open_log(disk.path, segment_bytes=LARGE_SEGMENT_BYTES)
    assert log.recovered.entries == [*ENTRIES[:3], *added][:entries]
    log.append((raft_messages.LogEntry(entries + 1, 2, b"next"),))
    log.sync()
    log.close()
    log = open_log(disk.path, segment_bytes=LARGE_SEGMENT_BYTES)
    assert log.recovered.entries[-1].command == b"next"
    log.close()
