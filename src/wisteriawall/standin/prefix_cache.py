"""Prefix cache of a stand-in engine, with late and lost change events."""

from collections import OrderedDict
from collections import deque
import threading
from typing import final

from wisteriawall.agent import engine_messages
from wisteriawall.standin import faults as faults_lib
from wisteriawall.wire import load_messages

__all__ = ["PrefixCache"]

MAX_EVENTS = 1_024


@final
class PrefixCache:
    """Prefix hashes of cached prompt pieces, evicted least recently used first.

    Every addition and removal is a numbered event, which readers see after a
    delay. The newest `MAX_EVENTS` events are kept.

    Args:
        pieces: Capacity of the cache in pieces.
        delay_s: Seconds after which an event can be read.
        faults: Injected faults, of which `gap_every` applies here.
    """

    def __init__(
        self, *, pieces: int, delay_s: float, faults: faults_lib.Faults
    ) -> None:
        self._capacity_pieces = pieces
        self._delay_s = delay_s
        self._faults = faults
        self._lock = threading.Lock()
        self._cached_prefixes: OrderedDict[int, None] = OrderedDict()
        self._next_number = 1
        self._events: deque[tuple[float, int, load_messages.CacheChange]] = (
            deque(maxlen=MAX_EVENTS)
        )

    def __len__(self) -> int:
        """Return the number of cached pieces."""
        return len(self._cached_prefixes)

    def cached_pieces(self, prefix_hashes: tuple[int, ...]) -> int:
        """Return how many leading pieces are cached; mark them as used."""
        with self._lock:
            for count, prefix_hash in enumerate(prefix_hashes):
                if prefix_hash not in self._cached_prefixes:
                    return count
                self._cached_prefixes.move_to_end(prefix_hash)
        return len(prefix_hashes)

    def store(self, prefix_hashes: tuple[int, ...], *, now_s: float) -> None:
        """Add pieces and evict the least recently used above the capacity."""
        with self._lock:
            for prefix_hash in prefix_hashes:
                if prefix_hash not in self._cached_prefixes:
                    self._record_event(prefix_hash, True, now_s)
                self._cached_prefixes[prefix_hash] = None
                self._cached_prefixes.move_to_end(prefix_hash)
            while len(self._cached_prefixes) > self._capacity_pieces:
                evicted, _ = self._cached_prefixes.popitem(last=False)
                self._record_event(evicted, False, now_s)

    def clear(self, *, now_s: float) -> None:
        """Remove every piece, as a change of the model does."""
        with self._lock:
            for prefix_hash in self._cached_prefixes:
                self._record_event(prefix_hash, False, now_s)
            self._cached_prefixes.clear()

    def page(
        self, *, from_number: int | None, now_s: float
    ) -> engine_messages.CacheChangePage:
        """Return the readable events from a number on.

        If `from_number` is None, return the complete current content instead.
        """
        with self._lock:
            if from_number is None:
                changes = [
                    load_messages.CacheChange(prefix_hash, True)
                    for prefix_hash in self._cached_prefixes
                ]
                return engine_messages.CacheChangePage(
                    1, self._next_number, True, changes
                )
            readable = [
                (number, change)
                for at_s, number, change in self._events
                if number >= from_number and at_s + self._delay_s <= now_s
            ]
        return _page(from_number, readable)

    def _record_event(
        self, prefix_hash: int, stored: bool, now_s: float
    ) -> None:
        number = self._next_number
        self._next_number += 1
        gap_every = self._faults.gap_every
        if not gap_every or number % gap_every:
            change = load_messages.CacheChange(prefix_hash, stored)
            self._events.append((now_s, number, change))


def _page(
    from_number: int, readable: list[tuple[int, load_messages.CacheChange]]
) -> engine_messages.CacheChangePage:
    """Return the events up to the first gap in their numbers.

    If the gap lies before the first event, the page's `first` is greater than
    `from_number`.
    """
    if not readable:
        return engine_messages.CacheChangePage(
            from_number, from_number, False, []
        )
    first = readable[0][0]
    changes = [
        change
        for offset, (number, change) in enumerate(readable)
        if number == first + offset
    ]
    next_number = first + len(changes)
    return engine_messages.CacheChangePage(first, next_number, False, changes)
