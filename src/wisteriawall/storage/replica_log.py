"""Durable log, hard state and snapshots of one replica, in its data folder.

Records go to numbered segment files. They are buffered in memory until
`sync` writes them all, so that a batch of events costs one disk sync.
"""

import os
import pathlib
from typing import final

import msgspec

from wisteriawall.storage import data_folder
from wisteriawall.storage import durable_files
from wisteriawall.storage import records
from wisteriawall.storage import recovery
from wisteriawall.storage import snapshot_file
from wisteriawall.wire import raft_messages

__all__ = ["ReplicaLog"]

SEGMENT_BYTES = 4 * 1024 * 1024
SEGMENT_GLOB = "log-*.segment"

_SEGMENT_DECODER = msgspec.msgpack.Decoder(recovery.SegmentRecord)


@final
class ReplicaLog:
    """Durable state of one replica; used by one thread.

    After a failed write every further one fails too, because it is unknown
    what the disk holds until the files are read again at a restart.
    `recovered` is the state found in the folder.

    Args:
        folder: Data folder, locked by this process; closed by `close`.
        segment_bytes: File size from which a new segment is started.

    Raises:
        records.LogDamaged: The folder holds damaged files.
        durable_files.StorageFailed: A write to the folder failed.
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
        self._failure: durable_files.StorageFailed | None = None
        self._unsynced_records: list[bytes] = []
        self._next_sequence = 0
        self._batch = 0
        self._written_bytes = 0
        self._descriptor = -1
        snapshot = snapshot_file.load(folder.path)
        self.recovered = recovery.RecoveredState(
            snapshot=snapshot
            or raft_messages.Snapshot(0, 0, folder.identity.founders, b"")
        )
        self._segment_number = self._recover()
        self._term = self.recovered.term
        self._voted_for = self.recovered.voted_for
        self._newest_index_by_segment = self.recovered.newest_index_by_segment
        if self._segment_number == 0:
            with durable_files.storage_errors(folder.path):
                self._start_segment(1)
        if folder.is_new:
            folder.write_identity()
        if self.recovered.needs_reset:
            self.reset(self.recovered.snapshot.index)
            self.sync()

    @property
    def path(self) -> pathlib.Path:
        """Path of the segment file that is written to."""
        return self._segment_path(self._segment_number)

    def save_hard_state(self, *, term: int, voted_for: str) -> None:
        """Record the term and vote; durable after `sync`."""
        self._term, self._voted_for = term, voted_for
        self._buffer_record(recovery.HardStateRecord(term, voted_for))

    def append(self, entries: tuple[raft_messages.LogEntry, ...]) -> None:
        """Record log entries; durable after `sync`."""
        for entry in entries:
            self._buffer_record(recovery.EntryRecord(entry))
            self._newest_index_by_segment[self._segment_number] = entry.index

    def truncate(self, index: int) -> None:
        """Delete the entries from `index` on; durable after `sync`."""
        self._buffer_record(recovery.TruncateRecord(index))

    def reset(self, index: int) -> None:
        """Delete every entry; the next is `index` + 1. Durable after `sync`."""
        self._buffer_record(recovery.ResetRecord(index))

    def sync(self) -> None:
        """Make every record so far durable.

        Raises:
            durable_files.StorageFailed: This write or an earlier one failed.
        """
        if self._failure is not None:
            raise self._failure
        try:
            data = b"".join(self._unsynced_records)
            self._unsynced_records.clear()
            durable_files.write_all(self._descriptor, data)
            os.fdatasync(self._descriptor)
            self._written_bytes += len(data)
            if self._written_bytes >= self._segment_bytes:
                self._start_segment(self._segment_number + 1)
        except OSError as error:
            self._failure = durable_files.StorageFailed(self.path, error)
            raise self._failure from error

    def save_snapshot(
        self, snapshot: raft_messages.Snapshot, *, first_kept_index: int
    ) -> None:
        """Make a snapshot durable, then remove segments that it replaces.

        Args:
            snapshot: Snapshot to store.
            first_kept_index: Index of the first entry to keep. A segment with
                only older entries is removed.

        Raises:
            durable_files.StorageFailed: This write or an earlier one failed.
        """
        self.sync()
        try:
            self.replace_segments(
                snapshot, self.release_before(first_kept_index)
            )
        except durable_files.StorageFailed as failure:
            self._failure = failure
            raise

    def release_before(self, first_kept_index: int) -> list[pathlib.Path]:
        """Return the oldest segments that hold no entry to keep.

        They may be removed in this order, by `replace_segments`, once a
        snapshot replaces them.
        """
        released = []
        for number in sorted(self._newest_index_by_segment):
            newest_index = self._newest_index_by_segment[number]
            if (
                number == self._segment_number
                or newest_index >= first_kept_index
            ):
                break
            released.append(self._segment_path(number))
            del self._newest_index_by_segment[number]
        return released

    def replace_segments(
        self, snapshot: raft_messages.Snapshot, segments: list[pathlib.Path]
    ) -> None:
        """Make a snapshot durable, then remove segments that it replaces.

        Each removal is durable before the next one. Otherwise a loss of power
        could undo only the first ones, and leave a gap in the segments.

        Another thread may call this while the log is written, but no two save
        snapshots at a time.

        Raises:
            durable_files.StorageFailed: A write to the folder failed.
        """
        snapshot_file.save(self._folder.path, snapshot)
        for segment in segments:
            durable_files.remove_file(segment)

    def close(self) -> None:
        """Close the segment file and release the folder's lock."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
        self._folder.close()

    def _buffer_record(self, record: recovery.Record) -> None:
        if not self._unsynced_records:
            self._batch = self._next_sequence
        payload = self._encoder.encode(
            msgspec.structs.replace(record, batch=self._batch)
        )
        self._unsynced_records.append(
            records.frame(sequence=self._next_sequence, payload=payload)
        )
        self._next_sequence += 1

    def _segment_path(self, number: int) -> pathlib.Path:
        return self._folder.path / f"log-{number:016d}.segment"

    def _start_segment(self, number: int) -> None:
        """Close the current segment and create the next one durably."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
        self._segment_number, self._next_sequence = number, 0
        self._descriptor = os.open(
            self.path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600
        )
        self._newest_index_by_segment[number] = 0
        self._buffer_record(
            recovery.SegmentRecord(
                self._folder.identity.folder_id,
                number,
                self._term,
                self._voted_for,
            )
        )
        data = self._unsynced_records.pop()
        durable_files.write_all(self._descriptor, data)
        os.fsync(self._descriptor)
        durable_files.sync_folder(self._folder.path)
        self._written_bytes = len(data)

    def _recover(self) -> int:
        """Read every segment; return the number of the one to append to.

        0 means that there is none yet.
        """
        paths = sorted(self._folder.path.glob(SEGMENT_GLOB))
        if self._folder.is_new:
            # Without an identity, the folder can hold only a first segment that
            # a crash during the first start left.
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
        recovery.align_with_snapshot(self.recovered, self._folder.path)
        return number

    def _recover_segment(
        self, path: pathlib.Path, previous_number: int, is_newest: bool
    ) -> int:
        """Read one segment; return the number of the one to append to."""
        data = path.read_bytes()
        payloads, valid_bytes = records.scan(
            data,
            path=path,
            is_newest=is_newest,
            first_of_batch=recovery.first_of_batch,
        )
        if not payloads:
            return self._remove_incomplete_segment(path, previous_number)
        segment = self._check_segment(path, payloads[0], previous_number)
        recovery.replay(self.recovered, payloads, path=path, segment=segment)
        if is_newest:
            self._next_sequence, self._written_bytes = (
                len(payloads),
                valid_bytes,
            )
            self._descriptor = os.open(path, os.O_WRONLY | os.O_APPEND)
            os.ftruncate(self._descriptor, valid_bytes)
            os.fsync(self._descriptor)
        return segment.number

    def _remove_incomplete_segment(
        self, path: pathlib.Path, previous_number: int
    ) -> int:
        """Remove the newest segment if its first record is incomplete.

        A crash during the start of a segment leaves such a file.

        Returns:
            Number of the segment before it, which is appended to instead; 0 if
            there is none.
        """
        if not previous_number and path != self._segment_path(1):
            raise records.LogDamaged(
                path, "no intact record", "an intact first record"
            )
        # If it came back after a loss of power, the segment before it would no
        # longer be the newest, which is the only one that may end torn.
        durable_files.remove_file(path)
        if not previous_number:
            return 0
        previous_path = self._segment_path(previous_number)
        payloads, valid_bytes = records.scan(
            previous_path.read_bytes(),
            path=previous_path,
            is_newest=False,
            first_of_batch=recovery.first_of_batch,
        )
        self._next_sequence, self._written_bytes = len(payloads), valid_bytes
        self._descriptor = os.open(previous_path, os.O_WRONLY | os.O_APPEND)
        return previous_number

    def _check_segment(
        self, path: pathlib.Path, payload: bytes, previous_number: int
    ) -> recovery.SegmentRecord:
        """Return a segment's first record; check its number and folder id."""
        record = records.decode(_SEGMENT_DECODER, payload, path)
        identity = self._folder.identity
        is_consecutive = (
            not previous_number or record.number == previous_number + 1
        )
        if not is_consecutive or path != self._segment_path(record.number):
            raise records.LogDamaged(
                path,
                f"segment {record.number} after {previous_number}",
                f"segment {previous_number + 1}",
            )
        if record.folder_id != identity.folder_id:
            raise records.LogDamaged(
                path,
                f"written with folder id {record.folder_id}",
                identity.folder_id,
            )
        return record
