"""The largest number of gateways that was known lately.

A gateway that control doesn't hear any more goes on to use the share of the
retry slack that it was told last. The others divide by the largest number of
that time, so that their shares and its own are never more than the whole.
"""

import collections
import dataclasses
from typing import final

__all__ = ["COUNT_KEPT_MS", "Count", "LargestCount"]

# Control counts the gateways that it heard in this time, and all keep the
# largest count for as long. A gateway without contact may use its share for a
# window of the retry budget less, see `gateway.retry_budget`.
COUNT_KEPT_MS = 45_000


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Count:
    """How many gateways control heard, as of `heard_ms`."""

    gateways: int
    heard_ms: int


@final
class LargestCount:
    """The largest of the counts of the last `COUNT_KEPT_MS`."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        # Later ones are smaller; others are never the largest.
        self._counts: collections.deque[Count] = collections.deque()

    def note(self, count: Count) -> None:
        """Record a count; an older one than the last may follow."""
        later = []
        while self._counts and self._counts[-1].heard_ms > count.heard_ms:
            later.append(self._counts.pop())
        if later and later[-1].gateways >= count.gateways:
            self._counts.extend(reversed(later))
            return
        while self._counts and self._counts[-1].gateways <= count.gateways:
            self._counts.pop()
        self._counts.append(count)
        self._counts.extend(reversed(later))

    def find(self, now_ms: int) -> Count | None:
        """Return the largest count, None if there is none that is kept."""
        while (
            self._counts and now_ms - self._counts[0].heard_ms > COUNT_KEPT_MS
        ):
            self._counts.popleft()
        return self._counts[0] if self._counts else None
