"""Retry budget of a service: retries are limited to a share of its requests."""

import dataclasses
from typing import final

__all__ = ["RetryBudget"]

RETRY_SHARE = 0.08
INITIAL_RETRIES = 3.0
MAX_RETRIES = 50.0


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class RetryBudget:
    """Token bucket that requests fill and retries empty.

    The attempts never exceed `1 + share` times the requests plus the initial
    balance, which allows retries of a service with few requests.

    Attributes:
        share: Retries added by each request.
        balance: Retries available now.
        maximum: Highest balance.
    """

    share: float = RETRY_SHARE
    balance: float = INITIAL_RETRIES
    maximum: float = MAX_RETRIES

    def add_request(self) -> None:
        """Count one new request; retries are not counted here."""
        self.balance = min(self.maximum, self.balance + self.share)

    def take_retry(self) -> bool:
        """Use one retry; return False if less than one is available."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
