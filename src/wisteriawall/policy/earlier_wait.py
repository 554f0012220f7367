"""How long a caller waited in earlier attempts, from the time it has left.

A caller that was rejected comes back as a new request, and only its shorter
remaining time shows how long it has waited. On some deployments all callers of
a route start with the same time, on others these times differ by a second. The
time with which callers start is therefore taken as a low quantile of the recent
remaining times, so that few first attempts count as returns.

Load pattern: bursts in which a part of the callers returns after rejections.
If most requests were taken for returns, they would be served after all others.
"""

from collections import deque
from typing import final

__all__ = ["EarlierWait"]

SAMPLES = 64
# With fewer samples, the longest remaining time is taken.
MIN_SAMPLES = 8
# Position of the starting time in the sorted samples. At most a quarter of the
# requests in a burst are returns.
QUANTILE = 0.25
# Smaller differences don't show an earlier attempt.
MIN_WAIT_MS = 200


@final
class EarlierWait:
    """Estimate for the callers of one route."""

    __slots__ = ("_remaining_ms",)

    def __init__(self) -> None:
        self._remaining_ms: deque[int] = deque(maxlen=SAMPLES)

    def add(self, remaining_ms: int) -> int:
        """Record a request's remaining time; return its caller's earlier wait.

        Returns 0 below `MIN_WAIT_MS`.
        """
        self._remaining_ms.append(remaining_ms)
        samples = sorted(self._remaining_ms)
        if len(samples) < MIN_SAMPLES:
            start_ms = samples[-1]
        else:
            start_ms = samples[int(QUANTILE * len(samples))]
        waited_ms = start_ms - remaining_ms
        return waited_ms if waited_ms >= MIN_WAIT_MS else 0
