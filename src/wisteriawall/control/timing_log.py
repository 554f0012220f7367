"""Decides which delays of a replica's threads and leases are logged.

A change that is acknowledged late has one of these causes: a slow disk, a state
thread that gets no processor time, or a majority that answers late.
"""

from collections.abc import Iterator
from typing import final

from wisteriawall.control import events
from wisteriawall.control import raft as raft_lib

__all__ = ["TimingLog"]

SLOW_SYNC_MS = 100
LATE_TICK_MS = 200


@final
class TimingLog:
    """Notes syncs and ticks that are late, and changes of the leader's lease.

    Each change of the lease gives one note, and so does each sync and each tick
    over its limit, so that there are a few a second at most.
    """

    __slots__ = ("_changed_ms", "_held_term")

    def __init__(self) -> None:
        # Term in which this replica holds the lease, 0 without one.
        self._held_term = 0
        self._changed_ms = 0

    def note_lease(
        self, raft: raft_lib.Raft, now_ms: int
    ) -> Iterator[events.Note]:
        """Yield a note if the replica gained or lost the leader's lease."""
        held_term = raft.term if raft.holds_lease(now_ms) else 0
        if held_term == self._held_term:
            return
        decision = "lease-held" if held_term else "lease-lost"
        yield events.Note(
            decision,
            {
                "term": held_term or self._held_term,
                "role": raft.role.value,
                "leader": raft.leader,
                "ms": now_ms - self._changed_ms if self._changed_ms else 0,
                "acknowledged_ms_by_peer": {
                    name: now_ms - progress.acknowledged_ms
                    for name, progress in raft.progress_by_peer.items()
                    if progress.acknowledged_ms >= 0
                },
            },
        )
        self._held_term, self._changed_ms = held_term, now_ms

    def note_sync(self, *, took_ms: int, writes: int) -> Iterator[events.Note]:
        """Yield a note if a sync of the log was slow.

        Args:
            took_ms: Time from the first write of the batch to its sync.
            writes: Number of records, snapshots included.
        """
        if took_ms >= SLOW_SYNC_MS:
            yield events.Note("slow-sync", {"ms": took_ms, "writes": writes})

    def note_tick(self, late_ms: int) -> Iterator[events.Note]:
        """Yield a note if the state thread's tick was late."""
        if late_ms >= LATE_TICK_MS:
            yield events.Note("late-tick", {"ms": late_ms})
