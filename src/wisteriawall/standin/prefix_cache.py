"""Stand-in engine's prefix cache, with events that are late and have gaps."""

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
    """Least-recently-used cache of prompt pieces.

    Args:
        pieces: Most pieces held.
        delay_s: Seconds before an event can be read.
        faults: Faults in force.
    """

    def __init__(
        self, *, pieces: int, delay_s: float, faults: faults_lib.Faults
    ) -> None:
        self._pieces = pieces
        self._delay_s = delay_s
        self._faults = faults
        self._lock = threading.Lock()
        self._held: OrderedDict[int, None] = OrderedDict()
        self._next = 1
        self._events: deque[tuple[float, int, load_messages.CacheChange]] = (
            deque(maxlen=MAX_EVENTS)
        )

    def __len__(self) -> int:
        """Return how many pieces are held."""
        return len(self._held)

    def hits(self, hashes: tuple[int, ...]) -> int:
        """Return how many leading pieces are held."""
        with self._lock:
            for count, prefix in enumerate(hashes):
                if prefix not in self._held:
                    return count
                self._held.move_to_end(prefix)
        return len(hashes)

    def store(self, hashes: tuple[int, ...], *, now_s: float) -> None:
        """Hold pieces; the least recently used go."""
        with self._lock:
            for prefix in hashes:
                if prefix not in self._held:
                    self._note(prefix, True, now_s)
                self._held[prefix] = None
                self._held.move_to_end(prefix)
            while len(self._held) > self._pieces:
                gone, _ = self._held.popitem(last=False)
                self._note(gone, False, now_s)

    def clear(self, *, now_s: float) -> None:
        """Drop every piece, as a change of the model does."""
        with self._lock:
            for prefix in self._held:
                self._note(prefix, False, now_s)
            self._held.clear()

    def page(
        self, *, after: int | None, now_s: float
    ) -> engine_messages.CacheChangePage:
        """Return events from number `after`, or the whole cache."""
        with self._lock:
            if after is None:
                changes = [
                    load_messages.CacheChange(prefix, True)
                    for prefix in self._held
                ]
                return engine_messages.CacheChangePage(
                    1, self._next, True, changes
                )
            ready = [
                (number, change)
                for at_s, number, change in self._events
                if number >= after and at_s + self._delay_s <= now_s
            ]
        return _page(after, ready)

    def _note(self, prefix: int, stored: bool, now_s: float) -> None:
        number = self._next
        self._next += 1
        every = self._faults.gap_every
        if not every or number % every:
            change = load_messages.CacheChange(prefix, stored)
            self._events.append((now_s, number, change))


def _page(
    after: int, ready: list[tuple[int, load_messages.CacheChange]]
) -> engine_messages.CacheChangePage:
    """Return the events up to the first gap; a leading gap shows in `first`."""
    if not ready:
        return engine_messages.CacheChangePage(after, after, False, [])
    first = ready[0][0]
    changes = [
        change
        for offset, (number, change) in enumerate(ready)
        if number == first + offset
    ]
    following = first + len(changes)
    return engine_messages.CacheChangePage(first, following, False, changes)
