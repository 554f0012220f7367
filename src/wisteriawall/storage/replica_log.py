"""Durable log, hard state and snapshots of one replica, in its data folder.

Records go to numbered segment files. Writes are collected and reach the disk
together in `sync`, so that one sync serves a whole batch of events.
"""

import os
import pathlib
from typing import final

import msgspec

from wisteriawall.storage import data_folder
from wisteriawall.storage import durable
from wisteriawall.storage import records
from wisteriawall.storage import recovery
from wisteriawall.storage import snapshot_file
from wisteriawall.wire import raft_messages

__all__ = ["ReplicaLog"]

SEGMENT_BYTES = 4 * 1024 * 1024
PATTERN = "log-*.segment"

_SEGMENT_DECODER = msgspec.msgpack.Decoder(recovery.SegmentRecord)


@final
class ReplicaLog:
    """Durable state of one replica; written by one thread.

    After a failed write every further one fails too: what the disk then
    holds is only known after a restart.

    Args:
        folder: The data folder, taken for this replica and process.
        segment_bytes: Size from which a new segment file is begun.

    Raises:
        records.LogDamaged: The folder holds damaged files.
    """

    def __init__(
        self,
        folder: data_folder.DataFolder,
        *,
        segment_bytes: int = SEGMENT_BYTES,
    ) -> None:
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._encoder = msgspec.msgpack.Encoder()
        self._failure: durable.StorageFailed | None = None
        self._pending: list[bytes] = []
        self._sequence = 0
        self._size = 0
        self._descriptor = -1
        snapshot = snapshot_file.load(folder.path)
        self.recovered = recovery.Recovered(
            snapshot=snapshot
            or raft_messages.Snapshot(0, 0, folder.identity.founders, b"")
        )
        self._number = self._recover()
        self._term = self.recovered.term
        self._voted_for = self.recovered.voted_for
        self._newest_by_segment = self.recovered.newest_by_segment
        try:
            if self._number == 0:
                self._begin_segment(1)
        except OSError as error:
            raise durable.StorageFailed(folder.path, error) from error
        if folder.is_new:
            folder.claim()
        if self.recovered.needs_reset:
            self.reset(self.recovered.snapshot.index)
            self.sync()

    @property
    def path(self) -> pathlib.Path:
        """Return the segment that is written now."""
        return self._segment_path(self._number)

    def save_hard_state(self, *, term: int, voted_for: str) -> None:
        """Record the term and vote; durable after `sync`."""
        self._term, self._voted_for = term, voted_for
        self._write(recovery.HardStateRecord(term, voted_for))

    def append(self, entries: tuple[raft_messages.LogEntry, ...]) -> None:
        """Record log entries; durable after `sync`."""
        for entry in entries:
            self._write(recovery.EntryRecord(entry))
            self._newest_by_segment[self._number] = entry.index

    def truncate(self, index: int) -> None:
        """Void the entries from `index` on; durable after `sync`."""
        self._write(recovery.TruncateRecord(index))

    def reset(self, index: int) -> None:
        """Void every entry: the next follows `index`; durable after `sync`."""
        self._write(recovery.ResetRecord(index))

    def sync(self) -> None:
        """Make every record so far durable.

        Raises:
            durable.StorageFailed: The disk refused, now or earlier.
        """
        if self._failure is not None:
            raise self._failure
        try:
            data = b"".join(self._pending)
            self._pending.clear()
            durable.write_all(self._descriptor, data)
            os.fdatasync(self._descriptor)
            self._size += len(data)
            if self._size >= self._segment_bytes:
                self._begin_segment(self._number + 1)
        except OSError as error:
            self._failure = durable.StorageFailed(self.path, error)
            raise self._failure from error

    def save_snapshot(
        self, snapshot: raft_messages.Snapshot, *, keep_from: int
    ) -> None:
        """Make a snapshot durable, then remove segments before `keep_from`.

        Raises:
            durable.StorageFailed: The disk refused, now or earlier.
        """
        self.sync()
        try:
            snapshot_file.save(self._folder.path, snapshot)
        except durable.StorageFailed as failure:
            self._failure = failure
            raise
        self._remove_before(keep_from)

    def close(self) -> None:
        """Release the files and the folder."""
        os.close(self._descriptor)
        self._folder.close()

    def _write(self, record: recovery.Record) -> None:
        payload = self._encoder.encode(record)
        self._pending.append(
            records.frame(sequence=self._sequence, payload=payload)
        )
        self._sequence += 1

    def _segment_path(self, number: int) -> pathlib.Path:
        return self._folder.path / f"log-{number:016d}.segment"

    def _begin_segment(self, number: int) -> None:
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
        self._number, self._sequence = number, 0
        self._descriptor = os.open(
            self.path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600
        )
        self._newest_by_segment[number] = 0
        self._write(
            recovery.SegmentRecord(
                self._folder.identity.folder_id,
                number,
                self._term,
                self._voted_for,
            )
        )
        data = self._pending.pop()
        durable.write_all(self._descriptor, data)
        os.fsync(self._descriptor)
        durable.sync_folder(self._folder.path)
        self._size = len(data)

    def _remove_before(self, keep_from: int) -> None:
        """Remove the oldest segments whose entries are all before it."""
        for number in sorted(self._newest_by_segment):
            newest = self._newest_by_segment[number]
            if number == self._number or newest >= keep_from:
                return
            self._segment_path(number).unlink()
            del self._newest_by_segment[number]

    def _recover(self) -> int:
        """Read every segment; return the number of the one to go on with."""
        paths = sorted(self._folder.path.glob(PATTERN))
        if self._folder.is_new:
            # Only what an unfinished first start left can be here.
            for path in paths:
                path.unlink()
            return 0
        if not paths:
            raise records.LogDamaged(
                self._folder.path, "no log segment", "at least one"
            )
        number = 0
        for path in paths:
            number = self._recover_segment(path, number, path == paths[-1])
        recovery.fit_to_snapshot(self.recovered, self._folder.path)
        return number

    def _recover_segment(
        self, path: pathlib.Path, previous: int, is_newest: bool
    ) -> int:
        data = path.read_bytes()
        payloads, valid_bytes = records.scan(
            data, path=path, is_newest=is_newest
        )
        if not payloads:
            return self._drop_unfinished(path, previous)
        segment = self._check_segment(path, payloads[0], previous)
        recovery.replay(self.recovered, payloads, path=path, segment=segment)
        if is_newest:
            self._sequence, self._size = len(payloads), valid_bytes
            self._descriptor = os.open(path, os.O_WRONLY | os.O_APPEND)
            os.ftruncate(self._descriptor, valid_bytes)
            os.fsync(self._descriptor)
        return segment.number

    def _drop_unfinished(self, path: pathlib.Path, previous: int) -> int:
        """Remove a segment whose beginning was cut short by a crash."""
        if not previous and path != self._segment_path(1):
            raise records.LogDamaged(path, "no intact record", "a segment")
        path.unlink()
        if not previous:
            return 0
        last = self._segment_path(previous)
        payloads, size = records.scan(
            last.read_bytes(), path=last, is_newest=False
        )
        self._sequence, self._size = len(payloads), size
        self._descriptor = os.open(last, os.O_WRONLY | os.O_APPEND)
        return previous

    def _check_segment(
        self, path: pathlib.Path, payload: bytes, previous: int
    ) -> recovery.SegmentRecord:
        record = records.decode(_SEGMENT_DECODER, payload, path)
        identity = self._folder.identity
        follows = not previous or record.number == previous + 1
        if not follows or path != self._segment_path(record.number):
            raise records.LogDamaged(
                path,
                f"segment {record.number} after {previous}",
                f"segment {previous + 1}",
            )
        if record.folder_id != identity.folder_id:
            raise records.LogDamaged(
                path,
                f"written in data folder {record.folder_id}",
                identity.folder_id,
            )
        return record
