"""Retry budget of a service: retries are a share of its requests."""

import dataclasses
from typing import final

__all__ = ["RetryBudget"]

RETRY_SHARE = 0.08
RESERVE_RETRIES = 3.0
MAX_RETRIES = 50.0


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class RetryBudget:
    """Token bucket that requests fill and retries empty.

    Attempts stay under `1 + share` times the requests, plus the reserve,
    which lets a service with few requests retry at all.
    """

    share: float = RETRY_SHARE
    balance: float = RESERVE_RETRIES
    maximum: float = MAX_RETRIES

    def add_request(self) -> None:
        """Count one new request, not its retries."""
        self.balance = min(self.maximum, self.balance + self.share)

    def take_retry(self) -> bool:
        """Spend one retry; False if the budget is empty."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
