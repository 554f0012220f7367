"""Tests of `wisteriawall.storage.replica_log` under damage and full disks."""

from collections.abc import Callable
import errno
import os
import pathlib
import shutil

import hypothesis
from hypothesis import strategies
import pytest

from wisteriawall.storage import data_folder
from wisteriawall.storage import durable
from wisteriawall.storage import records
from wisteriawall.storage import replica_log
from wisteriawall.wire import raft_messages

FOUNDERS = (raft_messages.Member("a"), raft_messages.Member("b"))
ENTRIES = [
    raft_messages.LogEntry(index, 1, b"command %d" % index)
    for index in range(1, 13)
]
REFUSALS = (records.LogDamaged, data_folder.FolderRefused)


def reopen(
    path: pathlib.Path, *, cluster: str = "c", replica: str = "a"
) -> replica_log.ReplicaLog:
    """Open a data folder with segments of a few entries."""
    folder = data_folder.DataFolder(
        path, cluster=cluster, replica=replica, founders=FOUNDERS
    )
    try:
        return replica_log.ReplicaLog(folder, segment_bytes=300)
    except BaseException:
        folder.close()
        raise


@pytest.fixture
def written(tmp_path: pathlib.Path) -> pathlib.Path:
    """Return a folder with a vote and twelve entries in several segments."""
    path = tmp_path / "data"
    log = reopen(path)
    log.save_hard_state(term=1, voted_for="b")
    for entry in ENTRIES:
        log.append((entry,))
        log.sync()
    log.close()
    assert len(list(path.glob("log-*"))) > 2
    return path


def test_everything_synced_comes_back(written: pathlib.Path) -> None:
    log = reopen(written)
    assert log.recovered.entries == ENTRIES
    assert (log.recovered.term, log.recovered.voted_for) == (1, "b")
    assert log.recovered.snapshot.members == FOUNDERS
    log.close()


def test_truncated_and_reset_entries_stay_void(written: pathlib.Path) -> None:
    log = reopen(written)
    log.truncate(5)
    log.append((raft_messages.LogEntry(5, 2, b"other"),))
    log.sync()
    log.close()
    log = reopen(written)
    assert [e.term for e in log.recovered.entries] == [1, 1, 1, 1, 2]
    log.save_snapshot(
        raft_messages.Snapshot(9, 3, FOUNDERS, b"state"), keep_from=10
    )
    log.close()
    # A crash before the reset: the snapshot voids what it does not match.
    log = reopen(written)
    assert log.recovered.entries == []
    assert log.recovered.start_index == 9
    log.append((raft_messages.LogEntry(10, 3, b"ten"),))
    log.sync()
    log.close()
    log = reopen(written)
    assert [e.index for e in log.recovered.entries] == [10]
    log.close()


def test_snapshot_removes_the_segments_before_it(
    written: pathlib.Path,
) -> None:
    log = reopen(written)
    before = len(list(written.glob("log-*")))
    snapshot = raft_messages.Snapshot(11, 1, FOUNDERS, b"state")
    log.save_snapshot(snapshot, keep_from=10)
    log.close()
    assert len(list(written.glob("log-*"))) < before
    log = reopen(written)
    assert log.recovered.snapshot == snapshot
    assert log.recovered.start_index <= 9
    assert log.recovered.entries[-1] == ENTRIES[-1]
    assert (log.recovered.term, log.recovered.voted_for) == (1, "b")
    log.close()


@pytest.mark.parametrize(
    ("dropped_segments", "entries"),
    [pytest.param(0, 12, id="newest"), pytest.param(1, 11, id="full")],
)
def test_every_truncation_of_the_newest_segment(
    written: pathlib.Path,
    tmp_path: pathlib.Path,
    dropped_segments: int,
    entries: int,
) -> None:
    segments = sorted(written.glob("log-*"))
    for _ in range(dropped_segments):
        segments.pop().unlink()
    target = segments[-1]
    held = 0
    for size in range(target.stat().st_size + 1):
        path = tmp_path / f"cut-{size}"
        shutil.copytree(written, path)
        os.truncate(path / target.name, size)
        log = reopen(path)
        found = log.recovered.entries
        assert found == ENTRIES[: len(found)]
        assert len(found) >= held
        held = len(found)
        assert (log.recovered.term, log.recovered.voted_for) == (1, "b")
        log.append((raft_messages.LogEntry(held + 1, 2, b"next"),))
        log.sync()
        log.close()
        log = reopen(path)
        assert log.recovered.entries[-1].command == b"next"
        log.close()
    assert held == entries


@hypothesis.settings(
    max_examples=300,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(data=strategies.data())
def test_flipped_bit_gives_a_prefix_or_an_error(
    written: pathlib.Path, data: strategies.DataObject
) -> None:
    files = [*sorted(written.glob("log-*")), written / "identity"]
    target = data.draw(strategies.sampled_from(files), label="file")
    whole = target.read_bytes()
    bit = data.draw(strategies.integers(0, 8 * len(whole) - 1), label="bit")
    flipped = bytearray(whole)
    flipped[bit // 8] ^= 1 << bit % 8
    target.write_bytes(flipped)
    kept = {path: path.read_bytes() for path in files}
    last_record = records.HEADER.size + 40
    is_tail = target == files[-2] and bit // 8 >= len(whole) - last_record
    try:
        log = reopen(written)
    except REFUSALS as refused:
        assert str(written) in str(refused)
        assert "expected" in str(refused)
        assert {path: path.read_bytes() for path in files} == kept
    else:
        found = log.recovered.entries
        assert found == ENTRIES[: len(found)]
        assert len(found) >= len(ENTRIES) - 1
        assert is_tail
        log.close()
    for path, content in kept.items():
        path.write_bytes(whole if path == target else content)


def _lose_middle(path: pathlib.Path) -> None:
    sorted(path.glob("log-*"))[1].unlink()


def _lose_log(path: pathlib.Path) -> None:
    for segment in path.glob("log-*"):
        segment.unlink()


def _lose_identity(path: pathlib.Path) -> None:
    (path / "identity").unlink()


def _cut_out_vote(path: pathlib.Path) -> None:
    segment = min(path.glob("log-*"))
    data = segment.read_bytes()
    second = data.index(records.MARKER, 1)
    third = data.index(records.MARKER, second + 1)
    segment.write_bytes(data[:second] + data[third:])


def _foreign_file(path: pathlib.Path) -> None:
    shutil.rmtree(path)
    path.mkdir()
    (path / "photos").write_bytes(b"")


@pytest.mark.parametrize(
    ("damage", "named", "message"),
    [
        pytest.param(lambda _: None, ("x", "a"), "cluster 'c'", id="cluster"),
        pytest.param(lambda _: None, ("c", "x"), "replica 'a'", id="replica"),
        pytest.param(_lose_middle, ("c", "a"), "segment 3 after 1", id="gap"),
        pytest.param(_lose_log, ("c", "a"), "no log segment", id="no log"),
        pytest.param(_lose_identity, ("c", "a"), "no identity", id="identity"),
        pytest.param(_cut_out_vote, ("c", "a"), "damaged record 1", id="cut"),
        pytest.param(_foreign_file, ("c", "a"), "photos", id="foreign"),
    ],
)
def test_wrong_folder_is_refused_and_left_alone(
    written: pathlib.Path,
    damage: Callable[[pathlib.Path], None],
    named: tuple[str, str],
    message: str,
) -> None:
    damage(written)
    before = {p.name: p.read_bytes() for p in written.iterdir()}
    with pytest.raises(REFUSALS, match=message):
        reopen(written, cluster=named[0], replica=named[1])
    before.setdefault("lock", b"")
    assert {p.name: p.read_bytes() for p in written.iterdir()} == before


def test_second_process_is_refused(written: pathlib.Path) -> None:
    log = reopen(written)
    with pytest.raises(data_folder.FolderRefused, match="another process"):
        reopen(written)
    log.close()


@pytest.mark.parametrize("call", ["write", "fdatasync"])
def test_full_disk_stops_every_later_sync(
    written: pathlib.Path, monkeypatch: pytest.MonkeyPatch, call: str
) -> None:
    log = reopen(written)

    def refuse(*_: object) -> int:
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patched:
        patched.setattr(os, call, refuse)
        log.append((raft_messages.LogEntry(13, 1, b"lost"),))
        with pytest.raises(durable.StorageFailed, match="free space"):
            log.sync()
    # What a failed sync left on the disk is unknown until a restart.
    with pytest.raises(durable.StorageFailed):
        log.sync()
    log.close()
    log = reopen(written)
    assert log.recovered.entries[:12] == ENTRIES
    log.close()
