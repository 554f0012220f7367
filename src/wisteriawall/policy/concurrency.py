"""Concurrency limit of one runner, adapting to measured latency."""

import dataclasses
from typing import final

__all__ = ["ConcurrencyLimit"]

MIN_LIMIT = 2.0
MAX_LIMIT = 256.0
CONGESTED_RATIO = 2.0
DECREASE_FACTOR = 0.85
MIN_DECREASE_INTERVAL_MS = 500


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class ConcurrencyLimit:
    """Additive increase and multiplicative decrease (AIMD) of a limit.

    The time to the first token is compared with the expected time on an idle
    engine, so that long prompts don't count as congestion.

    Attributes:
        limit: Attempts that may be in progress at the same time.
        minimum: Lowest value of `limit`.
        maximum: Highest value of `limit`.
        last_decrease_ms: When the limit was last decreased.
    """

    limit: float = 16.0
    minimum: float = MIN_LIMIT
    maximum: float = MAX_LIMIT
    last_decrease_ms: int = -MIN_DECREASE_INTERVAL_MS

    def allows(self, in_flight: int) -> bool:
        """Return whether one more attempt may be sent."""
        return in_flight < int(self.limit)

    def observe(
        self,
        *,
        measured_ms: float,
        expected_ms: float,
        in_flight: int,
        now_ms: int,
    ) -> None:
        """Adapt the limit to one measured time to the first token.

        It increases only while at least half of it is in use.

        Args:
            measured_ms: Time from dispatch to the first token.
            expected_ms: The same time on an idle engine.
            in_flight: Attempts in progress at the runner.
            now_ms: Monotonic clock.
        """
        if measured_ms > CONGESTED_RATIO * expected_ms:
            self._decrease(now_ms)
        elif in_flight * 2 >= self.limit:
            self.limit = min(self.maximum, self.limit + 1.0 / self.limit)

    def failed(self, *, now_ms: int) -> None:
        """Decrease the limit after a refusal for lack of free capacity."""
        self._decrease(now_ms)

    def _decrease(self, now_ms: int) -> None:
        if now_ms - self.last_decrease_ms < MIN_DECREASE_INTERVAL_MS:
            return
        self.last_decrease_ms = now_ms
        self.limit = max(self.minimum, self.limit * DECREASE_FACTOR)
