"""Append-only file that holds one replica's log and hard state.

Each record is a length, a checksum and a payload. A torn last record is cut
off on open; damage before it stops the replica, because silently dropping
acknowledged entries would break agreement.
"""

import dataclasses
import os
import pathlib
import struct
from typing import final

import msgspec
import xxhash

from wisteriawall import errors
from wisteriawall.wire import raft_messages

__all__ = ["LogDamaged", "Recovered", "ReplicaLog"]

HEADER = struct.Struct("<IQ")
FILE_NAME = "replica.log"
MAX_RECORD_BYTES = 64 * 1024 * 1024


@final
class LogDamaged(errors.WisteriawallError):
    """The log is damaged before its end; the data folder is left as it is."""


@final
class HardStateRecord(msgspec.Struct, frozen=True, tag="hard"):
    """Term and vote."""

    term: int
    voted_for: str


@final
class EntryRecord(msgspec.Struct, frozen=True, tag="entry"):
    """One log entry."""

    entry: raft_messages.LogEntry


@final
class TruncateRecord(msgspec.Struct, frozen=True, tag="cut"):
    """Every entry from `index` on is void."""

    index: int


Record = HardStateRecord | EntryRecord | TruncateRecord


@final
@dataclasses.dataclass(slots=True)
class Recovered:
    """State read back from a data folder."""

    term: int = 0
    voted_for: str = ""
    entries: list[raft_messages.LogEntry] = dataclasses.field(
        default_factory=list
    )


@final
class ReplicaLog:
    """Durable log of one replica; written by one thread."""

    def __init__(self, folder: pathlib.Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._path = folder / FILE_NAME
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Record)
        self.recovered = Recovered()
        valid_bytes = self._recover()
        self._file = self._path.open("ab")
        self._file.truncate(valid_bytes)
        self.sync()

    def save_hard_state(self, *, term: int, voted_for: str) -> None:
        """Append the term and vote; durable after `sync`."""
        self._write(HardStateRecord(term, voted_for))

    def append(self, entries: tuple[raft_messages.LogEntry, ...]) -> None:
        """Append log entries; durable after `sync`."""
        for entry in entries:
            self._write(EntryRecord(entry))

    def truncate(self, index: int) -> None:
        """Void the entries from `index` on; durable after `sync`."""
        self._write(TruncateRecord(index))

    def sync(self) -> None:
        """Make every written record durable."""
        self._file.flush()
        os.fdatasync(self._file.fileno())

    def close(self) -> None:
        """Release the file."""
        self._file.close()

    def _write(self, record: Record) -> None:
        payload = self._encoder.encode(record)
        digest = xxhash.xxh3_64_intdigest(payload)
        self._file.write(HEADER.pack(len(payload), digest))
        self._file.write(payload)

    def _recover(self) -> int:
        if not self._path.exists():
            return 0
        data = self._path.read_bytes()
        offset = 0
        while offset < len(data):
            end = self._read_record(data, offset)
            if end is None:
                break
            offset = end
        return offset

    def _read_record(self, data: bytes, offset: int) -> int | None:
        start = offset + HEADER.size
        if start > len(data):
            return None
        length: int
        digest: int
        length, digest = HEADER.unpack_from(data, offset)
        end = start + length
        if end > len(data) or length > MAX_RECORD_BYTES:
            return None
        payload = data[start:end]
        if xxhash.xxh3_64_intdigest(payload) != digest:
            if end == len(data):
                return None
            raise LogDamaged(
                f"{self._path}: checksum mismatch at byte {offset}, expected "
                "an intact record; restore this replica under a new id"
            )
        self._replay(self._decoder.decode(payload))
        return end

    def _replay(self, record: Record) -> None:
        match record:
            case HardStateRecord(term, voted_for):
                self.recovered.term = term
                self.recovered.voted_for = voted_for
            case EntryRecord(entry):
                self.recovered.entries.append(entry)
            case TruncateRecord(index):
                del self.recovered.entries[index - 1 :]
