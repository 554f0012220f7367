"""Rebuild a replica's log, term and vote from the records of its segments."""

import dataclasses
import pathlib
from typing import assert_never
from typing import final

import msgspec

from wisteriawall.storage import records
from wisteriawall.wire import raft_messages

__all__ = [
    "NO_BATCH",
    "EntryRecord",
    "HardStateRecord",
    "Record",
    "RecoveredState",
    "ResetRecord",
    "SegmentRecord",
    "TruncateRecord",
    "align_with_snapshot",
    "first_of_batch",
    "replay",
]


# Batch of a record from before batches were recorded.
NO_BATCH = -1


# In every record `batch` is the sequence of the first record that was written
# and synced together with it.
@final
class SegmentRecord(msgspec.Struct, frozen=True, tag="segment"):
    """First record of a segment file.

    It repeats the term and vote, so that older segments can be removed.
    """

    folder_id: str
    number: int
    term: int
    voted_for: str
    batch: int = msgspec.field(default=NO_BATCH, name="b")


@final
class HardStateRecord(msgspec.Struct, frozen=True, tag="hard"):
    """Current term, and the replica voted for in it (empty: none)."""

    term: int
    voted_for: str
    batch: int = msgspec.field(default=NO_BATCH, name="b")


@final
class EntryRecord(msgspec.Struct, frozen=True, tag="entry"):
    """One entry of the replicated log."""

    entry: raft_messages.LogEntry
    batch: int = msgspec.field(default=NO_BATCH, name="b")


@final
class TruncateRecord(msgspec.Struct, frozen=True, tag="cut"):
    """Deletes the entries before this record that have `index` or higher."""

    index: int
    batch: int = msgspec.field(default=NO_BATCH, name="b")


@final
class ResetRecord(msgspec.Struct, frozen=True, tag="reset"):
    """Deletes every entry before this record; the next one has `index` + 1."""

    index: int
    batch: int = msgspec.field(default=NO_BATCH, name="b")


Record = (
    SegmentRecord | HardStateRecord | EntryRecord | TruncateRecord | ResetRecord
)


@final
class _BatchRecord(msgspec.Struct, frozen=True):
    """The field that all records have."""

    batch: int = msgspec.field(default=NO_BATCH, name="b")


_BATCH_DECODER = msgspec.msgpack.Decoder(_BatchRecord)
_DECODER: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class RecoveredState:
    """Durable state of a replica, read from its data folder at the start.

    `start_index` and `start_term` belong to the entry just before the first
    of `entries`. `newest_index_by_segment` has the highest entry index in each
    segment, 0 for none. `needs_reset` is set if the snapshot replaces all
    entries and a crash prevented the `ResetRecord`, which is still to be
    written.
    """

    term: int = 0
    voted_for: str = ""
    snapshot: raft_messages.Snapshot
    start_index: int = 0
    start_term: int = 0
    entries: list[raft_messages.LogEntry] = dataclasses.field(
        default_factory=list
    )
    newest_index_by_segment: dict[int, int] = dataclasses.field(
        default_factory=dict
    )
    needs_reset: bool = False


def first_of_batch(payload: bytes) -> int:
    """Return the batch of a record, `NO_BATCH` if it has none."""
    try:
        return _BATCH_DECODER.decode(payload).batch
    except msgspec.DecodeError:
        return NO_BATCH


def replay(
    recovered: RecoveredState,
    payloads: list[bytes],
    *,
    path: pathlib.Path,
    segment: SegmentRecord,
) -> None:
    """Apply the records of the next segment to `recovered`.

    Raises:
        records.LogDamaged: An entry does not follow the one before it.
    """
    newest_index = 0
    for payload in payloads:
        match records.decode(_DECODER, payload, path):
            case SegmentRecord(_, _, term, voted_for) | HardStateRecord(
                term, voted_for
            ):
                recovered.term = term
                recovered.voted_for = voted_for
            case EntryRecord(entry):
                _append_entry(recovered, entry, path)
                newest_index = max(newest_index, entry.index)
            case TruncateRecord(index):
                first = recovered.entries[0].index if recovered.entries else 0
                del recovered.entries[max(0, index - first) :]
            case ResetRecord():
                recovered.entries.clear()
            case unreachable:
                assert_never(unreachable)
    recovered.newest_index_by_segment[segment.number] = newest_index


def align_with_snapshot(
    recovered: RecoveredState, folder: pathlib.Path
) -> None:
    """Set where the log starts, and drop entries that the snapshot replaces.

    Entries after the snapshot are kept only if the log holds the snapshot's
    last entry with the same term, or starts right after it. Otherwise they
    may conflict with the snapshot.

    Raises:
        records.LogDamaged: Entries between the snapshot and the log are
            missing.
    """
    snapshot = recovered.snapshot
    entries = recovered.entries
    recovered.start_index = snapshot.index
    recovered.start_term = snapshot.term
    if not entries:
        return
    first, last = entries[0].index, entries[-1].index
    if first > snapshot.index + 1:
        raise records.LogDamaged(
            folder,
            f"log starts at entry {first}",
            f"entry {snapshot.index + 1}, which follows the snapshot",
        )
    if first == snapshot.index + 1:
        return
    holds_snapshot_entry = last >= snapshot.index
    if (
        holds_snapshot_entry
        and entries[snapshot.index - first].term == snapshot.term
    ):
        recovered.start_index = first
        recovered.start_term = entries.pop(0).term
        return
    entries.clear()
    recovered.needs_reset = True


def _append_entry(
    recovered: RecoveredState, entry: raft_messages.LogEntry, path: pathlib.Path
) -> None:
    if recovered.entries:
        expected_index = recovered.entries[-1].index + 1
        if entry.index != expected_index:
            raise records.LogDamaged(
                path, f"entry {entry.index}", f"entry {expected_index}"
            )
    recovered.entries.append(entry)
