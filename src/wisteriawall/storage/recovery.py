"""Reading of a replica's segments back into a log and hard state."""

import dataclasses
import pathlib
from typing import assert_never
from typing import final

import msgspec

from wisteriawall.storage import records
from wisteriawall.wire import raft_messages

__all__ = [
    "EntryRecord",
    "HardStateRecord",
    "Record",
    "Recovered",
    "ResetRecord",
    "SegmentRecord",
    "TruncateRecord",
    "fit_to_snapshot",
    "replay",
]


@final
class SegmentRecord(msgspec.Struct, frozen=True, tag="segment"):
    """First record of a segment; repeats the hard state of older ones."""

    folder_id: str
    number: int
    term: int
    voted_for: str


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


@final
class ResetRecord(msgspec.Struct, frozen=True, tag="reset"):
    """Every entry is void; the next one follows `index`."""

    index: int


Record = (
    SegmentRecord | HardStateRecord | EntryRecord | TruncateRecord | ResetRecord
)

_DECODER: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Recovered:
    """State read back from a data folder.

    `start_index` and `start_term` are of the entry before the first of
    `entries`. `needs_reset` tells that the snapshot replaced the entries but
    a crash came before the log said so.
    """

    term: int = 0
    voted_for: str = ""
    snapshot: raft_messages.Snapshot
    start_index: int = 0
    start_term: int = 0
    entries: list[raft_messages.LogEntry] = dataclasses.field(
        default_factory=list
    )
    newest_by_segment: dict[int, int] = dataclasses.field(default_factory=dict)
    needs_reset: bool = False


def replay(
    recovered: Recovered,
    payloads: list[bytes],
    *,
    path: pathlib.Path,
    segment: SegmentRecord,
) -> None:
    """Add the records of the next segment to `recovered`.

    Raises:
        records.LogDamaged: An entry does not follow the one before it.
    """
    newest = 0
    for payload in payloads:
        match records.decode(_DECODER, payload, path):
            case SegmentRecord(_, _, term, voted_for) | HardStateRecord(
                term, voted_for
            ):
                recovered.term = term
                recovered.voted_for = voted_for
            case EntryRecord(entry):
                _add(recovered, entry, path)
                newest = max(newest, entry.index)
            case TruncateRecord(index):
                first = recovered.entries[0].index if recovered.entries else 0
                del recovered.entries[max(0, index - first) :]
            case ResetRecord():
                recovered.entries.clear()
            case unreachable:
                assert_never(unreachable)
    recovered.newest_by_segment[segment.number] = newest


def fit_to_snapshot(recovered: Recovered, folder: pathlib.Path) -> None:
    """Set where the log starts, and drop entries that the snapshot voids.

    Raises:
        records.LogDamaged: Entries are missing after the snapshot.
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
    held = last >= snapshot.index
    if held and entries[snapshot.index - first].term == snapshot.term:
        recovered.start_index = first
        recovered.start_term = entries.pop(0).term
        return
    entries.clear()
    recovered.needs_reset = True


def _add(
    recovered: Recovered, entry: raft_messages.LogEntry, path: pathlib.Path
) -> None:
    if recovered.entries:
        expected = recovered.entries[-1].index + 1
        if entry.index != expected:
            raise records.LogDamaged(
                path, f"entry {entry.index}", f"entry {expected}"
            )
    recovered.entries.append(entry)
