"""Concurrency limit of one runner, adapting to measured latency."""

import dataclasses
from typing import final

__all__ = ["ConcurrencyLimit"]

MIN_LIMIT = 2.0
MAX_LIMIT = 256.0
SLOW_RATIO = 2.0
BACK_OFF = 0.85
BACK_OFF_EVERY_MS = 500


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class ConcurrencyLimit:
    """Additive increase, multiplicative decrease.

    Latency is compared with what the work should take on an engine that no
    one waits for, so that long prompts do not look like congestion.
    """

    limit: float = 16.0
    minimum: float = MIN_LIMIT
    maximum: float = MAX_LIMIT
    backed_off_ms: int = -BACK_OFF_EVERY_MS

    def allows(self, in_flight: int) -> bool:
        """Tell whether one more attempt may be sent."""
        return in_flight < int(self.limit)

    def observe(
        self,
        *,
        measured_ms: float,
        expected_ms: float,
        in_flight: int,
        now_ms: int,
    ) -> None:
        """Adapt to one measured time to the first token.

        Args:
            measured_ms: Time from dispatch to the first token.
            expected_ms: Time that the work takes without waiting.
            in_flight: Attempts at the runner when it was measured.
            now_ms: Now.
        """
        if measured_ms > SLOW_RATIO * expected_ms:
            self._back_off(now_ms)
        elif in_flight * 2 >= self.limit:
            self.limit = min(self.maximum, self.limit + 1.0 / self.limit)

    def failed(self, *, now_ms: int) -> None:
        """Adapt to an attempt refused for lack of room."""
        self._back_off(now_ms)

    def _back_off(self, now_ms: int) -> None:
        if now_ms - self.backed_off_ms < BACK_OFF_EVERY_MS:
            return
        self.backed_off_ms = now_ms
        self.limit = max(self.minimum, self.limit * BACK_OFF)
