"""Learnt output lengths by service and client account.

Only finished answers teach, so that an estimate never looks ahead.
"""

import dataclasses
from typing import final

__all__ = ["DEFAULT_TOKENS", "Estimates", "Mean", "RunTimes"]

DEFAULT_TOKENS = 256
MAX_ACCOUNTS = 4_096
MAX_SERVICES = 256
MEMORY_ANSWERS = 64
TRUST_ANSWERS = 8
RUN_SMOOTHING = 0.05
MIN_RUN_RATIO = 0.5
MAX_RUN_RATIO = 8.0


@final
@dataclasses.dataclass(slots=True)
class Mean:
    """Moving mean of output tokens; `answers` stops at the memory's size."""

    tokens: float
    answers: int = 0

    def add(self, tokens: int) -> None:
        """Take in one answer."""
        self.answers = min(self.answers + 1, MEMORY_ANSWERS)
        self.tokens += (tokens - self.tokens) / self.answers


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Estimates:
    """Output lengths learnt so far.

    Each account's mean is drawn towards its service's mean while it has few
    answers. Accounts and services unseen for longest are forgotten first.
    """

    max_accounts: int = MAX_ACCOUNTS
    mean_by_service: dict[str, Mean] = dataclasses.field(default_factory=dict)
    mean_by_account: dict[tuple[str, str], Mean] = dataclasses.field(
        default_factory=dict
    )

    def observe(self, service: str, account: str, output_tokens: int) -> None:
        """Learn from one finished answer."""
        of_service = self._renew_service(service)
        of_service.add(output_tokens)
        key = (service, account)
        of_account = self.mean_by_account.pop(key, None)
        if of_account is None:
            of_account = Mean(of_service.tokens)
            if len(self.mean_by_account) >= self.max_accounts:
                del self.mean_by_account[next(iter(self.mean_by_account))]
        of_account.add(output_tokens)
        self.mean_by_account[key] = of_account

    def estimate(self, service: str, account: str, max_tokens: int) -> int:
        """Return the output tokens to expect, from 1 to `max_tokens`."""
        of_service = self.mean_by_service.get(service)
        tokens = of_service.tokens if of_service else float(DEFAULT_TOKENS)
        of_account = self.mean_by_account.get((service, account))
        if of_account is not None:
            trust = of_account.answers / (of_account.answers + TRUST_ANSWERS)
            tokens += trust * (of_account.tokens - tokens)
        return max(1, min(max_tokens, round(tokens)))

    def _renew_service(self, service: str) -> Mean:
        mean = self.mean_by_service.pop(service, None)
        if mean is None:
            mean = Mean(float(DEFAULT_TOKENS))
            if len(self.mean_by_service) >= MAX_SERVICES:
                del self.mean_by_service[next(iter(self.mean_by_service))]
        self.mean_by_service[service] = mean
        return mean


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class RunTimes:
    """How much longer answers took of late than the engines' speed says."""

    ratio_by_service: dict[str, float] = dataclasses.field(default_factory=dict)

    def observe(
        self, service: str, *, measured_ms: float, expected_ms: float
    ) -> None:
        """Learn from the run time of one whole answer."""
        ratio = measured_ms / max(1.0, expected_ms)
        ratio = max(MIN_RUN_RATIO, min(MAX_RUN_RATIO, ratio))
        before = self.ratio_by_service.pop(service, 1.0)
        if len(self.ratio_by_service) >= MAX_SERVICES:
            del self.ratio_by_service[next(iter(self.ratio_by_service))]
        self.ratio_by_service[service] = before + RUN_SMOOTHING * (
            ratio - before
        )

    def run_ms(self, service: str, expected_ms: float) -> float:
        """Return the run time to expect now."""
        return expected_ms * self.ratio_by_service.get(service, 1.0)
