"""Tests of `wisteriawall.storage.replica_log`.

They cover recovery after a restart or a crash, damaged files and full disks.
"""

from collections.abc import Callable
import errno
import os
import pathlib
import shutil

import hypothesis
from hypothesis import strategies
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
REJECTIONS = (records.LogDamaged, data_folder.FolderRefused)


def open_log(
    path: pathlib.Path, *, cluster: str = "c", replica: str = "a"
) -> replica_log.ReplicaLog:
    """Open the log in a data folder; segments hold only a few entries."""
    folder = data_folder.DataFolder(
        path, cluster=cluster, replica=replica, founders=FOUNDERS
    )
    try:
        return replica_log.ReplicaLog(folder, segment_bytes=300)
    except BaseException:
        folder.close()
        raise


@pytest.fixture
def data_path(tmp_path: pathlib.Path) -> pathlib.Path:
    """Return a data folder: a vote and twelve entries in several segments."""
    path = tmp_path / "data"
    log = open_log(path)
    log.save_hard_state(term=1, voted_for="b")
    for entry in ENTRIES:
        log.append((entry,))
        log.sync()
    log.close()
    assert len(list(path.glob("log-*"))) > 2
    return path


def test_synced_state_is_recovered(data_path: pathlib.Path) -> None:
    log = open_log(data_path)
    assert log.recovered.entries == ENTRIES
    assert (log.recovered.term, log.recovered.voted_for) == (1, "b")
    assert log.recovered.snapshot.members == FOUNDERS
    log.close()


def test_deleted_entries_are_not_recovered(data_path: pathlib.Path) -> None:
    log = open_log(data_path)
    log.truncate(5)
    log.append((raft_messages.LogEntry(5, 2, b"other"),))
    log.sync()
    log.close()
    log = open_log(data_path)
    assert [entry.term for entry in log.recovered.entries] == [1, 1, 1, 1, 2]
    log.save_snapshot(
        raft_messages.Snapshot(9, 3, FOUNDERS, b"state"), first_kept_index=10
    )
    log.close()
    # The log ends as after a crash between snapshot and reset. Recovery drops
    # the entries that conflict with the snapshot.
    log = open_log(data_path)
    assert log.recovered.entries == []
    assert log.recovered.start_index == 9
    log.append((raft_messages.LogEntry(10, 3, b"ten"),))
    log.sync()
    log.close()
    log = open_log(data_path)
    assert [entry.index for entry in log.recovered.entries] == [10]
    log.close()


def test_snapshot_removes_older_segments(
    data_path: pathlib.Path,
) -> None:
    log = open_log(data_path)
    before = len(list(data_path.glob("log-*")))
    snapshot = raft_messages.Snapshot(11, 1, FOUNDERS, b"state")
    log.save_snapshot(snapshot, first_kept_index=10)
    log.close()
    assert len(list(data_path.glob("log-*"))) < before
    log = open_log(data_path)
    assert log.recovered.snapshot == snapshot
    assert log.recovered.start_index <= 9
    assert log.recovered.entries[-1] == ENTRIES[-1]
    assert (log.recovered.term, log.recovered.voted_for) == (1, "b")
    log.close()


@pytest.mark.parametrize(
    ("dropped_segments", "expected_count"),
    [
        pytest.param(0, 12, id="newest-segment"),
        pytest.param(1, 11, id="full-segment"),
    ],
)
def test_last_segment_truncated_at_every_byte(
    data_path: pathlib.Path,
    tmp_path: pathlib.Path,
    dropped_segments: int,
    expected_count: int,
) -> None:
    """A crash can leave any part of the last segment.

    Recovery must return a prefix of the entries and keep the vote, and new
    entries must be recovered too.
    """
    segments = sorted(data_path.glob("log-*"))
    for _ in range(dropped_segments):
        segments.pop().unlink()
    target = segments[-1]
    recovered_count = 0
    for size in range(target.stat().st_size + 1):
        path = tmp_path / f"cut-{size}"
        shutil.copytree(data_path, path)
        os.truncate(path / target.name, size)
        log = open_log(path)
        found = log.recovered.entries
        assert found == ENTRIES[: len(found)]
        assert len(found) >= recovered_count
        recovered_count = len(found)
        assert (log.recovered.term, log.recovered.voted_for) == (1, "b")
        log.append((raft_messages.LogEntry(recovered_count + 1, 2, b"next"),))
        log.sync()
        log.close()
        log = open_log(path)
        assert log.recovered.entries[-1].command == b"next"
        log.close()
    assert recovered_count == expected_count


@hypothesis.settings(
    max_examples=300,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(data=strategies.data())
def test_flipped_bit_loses_the_last_entry_or_is_reported(
    data_path: pathlib.Path, data: strategies.DataObject
) -> None:
    """Damage must never be read as other entries, nor drop more than one."""
    files = [*sorted(data_path.glob("log-*")), data_path / "identity"]
    target = data.draw(strategies.sampled_from(files), label="file")
    original = target.read_bytes()
    bit = data.draw(strategies.integers(0, 8 * len(original) - 1), label="bit")
    flipped = bytearray(original)
    flipped[bit // 8] ^= 1 << bit % 8
    target.write_bytes(flipped)
    original_by_path = {path: path.read_bytes() for path in files}
    last_record_bytes = records.HEADER.size + 40
    is_in_last_record = (
        target == files[-2] and bit // 8 >= len(original) - last_record_bytes
    )
    try:
        log = open_log(data_path)
    except REJECTIONS as error:
        assert str(data_path) in str(error)
        assert "expected" in str(error)
        assert {path: path.read_bytes() for path in files} == original_by_path
    else:
        found = log.recovered.entries
        assert found == ENTRIES[: len(found)]
        assert len(found) >= len(ENTRIES) - 1
        assert is_in_last_record
        log.close()
    for path, content in original_by_path.items():
        path.write_bytes(original if path == target else content)


def _remove_middle_segment(path: pathlib.Path) -> None:
    sorted(path.glob("log-*"))[1].unlink()


def _remove_every_segment(path: pathlib.Path) -> None:
    for segment in path.glob("log-*"):
        segment.unlink()


def _remove_identity(path: pathlib.Path) -> None:
    (path / "identity").unlink()


def _remove_vote_record(path: pathlib.Path) -> None:
    segment = min(path.glob("log-*"))
    data = segment.read_bytes()
    second = data.index(records.MARKER, 1)
    third = data.index(records.MARKER, second + 1)
    segment.write_bytes(data[:second] + data[third:])


def _replace_by_foreign_file(path: pathlib.Path) -> None:
    shutil.rmtree(path)
    path.mkdir()
    (path / "photos").write_bytes(b"")


@pytest.mark.parametrize(
    ("damage", "names", "message"),
    [
        pytest.param(
            lambda _: None, ("x", "a"), "cluster 'c'", id="other-cluster"
        ),
        pytest.param(
            lambda _: None, ("c", "x"), "replica 'a'", id="other-replica"
        ),
        pytest.param(
            _remove_middle_segment,
            ("c", "a"),
            "segment 3 after 1",
            id="missing-segment",
        ),
        pytest.param(
            _remove_every_segment, ("c", "a"), "no log segment", id="no-log"
        ),
        pytest.param(
            _remove_identity, ("c", "a"), "no identity", id="no-identity"
        ),
        pytest.param(
            _remove_vote_record, ("c", "a"), "damaged record 1", id="no-vote"
        ),
        pytest.param(
            _replace_by_foreign_file, ("c", "a"), "photos", id="foreign-file"
        ),
    ],
)
def test_unusable_folder_is_rejected_and_unchanged(
    data_path: pathlib.Path,
    damage: Callable[[pathlib.Path], None],
    names: tuple[str, str],
    message: str,
) -> None:
    damage(data_path)
    before = {p.name: p.read_bytes() for p in data_path.iterdir()}
    with pytest.raises(REJECTIONS, match=message):
        open_log(data_path, cluster=names[0], replica=names[1])
    before.setdefault("lock", b"")
    assert {p.name: p.read_bytes() for p in data_path.iterdir()} == before


def test_folder_in_use_is_rejected(data_path: pathlib.Path) -> None:
    log = open_log(data_path)
    with pytest.raises(data_folder.FolderRefused, match="another process"):
        open_log(data_path)
    log.close()


@pytest.mark.parametrize("call", ["write", "fdatasync"])
def test_sync_after_a_full_disk_fails_until_reopened(
    data_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, call: str
) -> None:
    log = open_log(data_path)

    def fail_with_full_disk(*_: object) -> int:
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patched:
        patched.setattr(os, call, fail_with_full_disk)
        log.append((raft_messages.LogEntry(13, 1, b"lost"),))
        with pytest.raises(durable_files.StorageFailed, match="free space"):
            log.sync()
    # What the failed sync left on the disk is unknown until a restart.
    with pytest.raises(durable_files.StorageFailed):
        log.sync()
    log.close()
    log = open_log(data_path)
    assert log.recovered.entries[:12] == ENTRIES
    log.close()
