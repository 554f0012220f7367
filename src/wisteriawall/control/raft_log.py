"""In-memory log of one replica: the newest snapshot and recent entries."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools
from typing import final

from wisteriawall.wire import raft_messages

__all__ = ["EMPTY_SNAPSHOT", "RaftLog"]

EMPTY_SNAPSHOT = raft_messages.Snapshot(0, 0, (), b"")
ENTRY_OVERHEAD_BYTES = 64


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class RaftLog:
    """The newest snapshot and the entries after `start_index`.

    `entries[i]` has the index `start_index + 1 + i`. Some entries that the
    snapshot covers are kept, so that a follower slightly behind can catch up
    without it.

    Attributes:
        start_index: Index before the first entry, at most the snapshot's.
        start_term: Term of the entry at `start_index`.
        members: Newest membership in the log, committed or not.
        members_index: Index of the entry or snapshot that set it.
    """

    snapshot: raft_messages.Snapshot = EMPTY_SNAPSHOT
    start_index: int = 0
    start_term: int = 0
    entries: list[raft_messages.LogEntry] = dataclasses.field(
        default_factory=list
    )
    members: tuple[raft_messages.Member, ...] = ()
    members_index: int = 0

    def __post_init__(self) -> None:
        """Start after the snapshot if there are no entries; set the members."""
        if not self.entries and not self.start_index:
            self.start_index = self.snapshot.index
            self.start_term = self.snapshot.term
        self._update_members()

    @property
    def last_index(self) -> int:
        """Return the index of the newest entry, 0 if there is none."""
        return self.start_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Return the term of the newest entry, 0 if there is none."""
        return self.term_at(self.last_index)

    def term_at(self, index: int) -> int:
        """Return the term of the entry at `index`, -1 if it is unknown."""
        if index == self.start_index:
            return self.start_term
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.start_index < index <= self.last_index:
            return self.entries[index - self.start_index - 1].term
        return -1

    def entry(self, index: int) -> raft_messages.LogEntry:
        """Return the entry at `index`, which must be in the log."""
        return self.entries[index - self.start_index - 1]

    def entries_after(
        self, *, after: int, max_entries: int, max_bytes: int
    ) -> list[raft_messages.LogEntry]:
        """Return entries that follow the index `after`, up to both limits.

        An entry larger than `max_bytes` is returned alone.
        """
        first = after - self.start_index
        candidates = self.entries[first : first + max_entries]
        sizes = itertools.accumulate(map(_size_bytes, candidates))
        fitting = sum(1 for size in sizes if size <= max_bytes)
        return candidates[: max(1, fitting)]

    def size_bytes(self, *, after: int, before: int) -> int:
        """Return the size of the kept entries between two indexes."""
        first = max(0, after - self.start_index)
        return sum(
            map(
                _size_bytes, self.entries[first : before - self.start_index - 1]
            )
        )

    def append(self, entries: Iterable[raft_messages.LogEntry]) -> None:
        """Append entries whose indexes continue the log."""
        for entry in entries:
            self.entries.append(entry)
            if entry.members is not None:
                self.members = entry.members
                self.members_index = entry.index

    def truncate(self, index: int) -> None:
        """Remove the entry at `index` and every later one."""
        del self.entries[index - self.start_index - 1 :]
        self._update_members()

    def members_at(self, index: int) -> tuple[raft_messages.Member, ...]:
        """Return the membership at `index`, which must follow the snapshot."""
        members = self.snapshot.members
        for entry in self._membership_entries():
            if entry.index <= index and entry.members is not None:
                members = entry.members
        return members

    def compact(
        self, snapshot: raft_messages.Snapshot, *, keep_from: int
    ) -> None:
        """Store a snapshot of applied entries and drop old entries.

        Entries from the index `keep_from` on are kept.
        """
        start = max(self.start_index, keep_from - 1)
        self.start_term, dropped_count = (
            self.term_at(start),
            start - self.start_index,
        )
        del self.entries[:dropped_count]
        self.start_index = start
        self.snapshot = snapshot

    def reset(self, snapshot: raft_messages.Snapshot) -> None:
        """Replace the whole log with a snapshot from the leader."""
        self.entries.clear()
        self.snapshot = snapshot
        self.start_index, self.start_term = snapshot.index, snapshot.term
        self._update_members()

    def _membership_entries(self) -> Iterator[raft_messages.LogEntry]:
        """Yield the entries after the snapshot that change the membership."""
        return (
            entry
            for entry in self.entries
            if entry.members is not None and entry.index > self.snapshot.index
        )

    def _update_members(self) -> None:
        self.members = self.snapshot.members
        self.members_index = self.snapshot.index
        for entry in self._membership_entries():
            self.members = entry.members or ()
            self.members_index = entry.index


def _size_bytes(entry: raft_messages.LogEntry) -> int:
    return len(entry.command) + ENTRY_OVERHEAD_BYTES
