"""Estimates of output lengths and run times, from completed answers.

Only completed answers count, because the length of an answer in progress is
not known yet.
"""

import dataclasses
from typing import final

__all__ = [
    "DEFAULT_TOKENS",
    "MovingMean",
    "OutputLengthEstimates",
    "RunTimeEstimates",
]

DEFAULT_TOKENS = 256
MAX_ACCOUNTS = 4_096
MAX_SERVICES = 256
# From this many answers on, the mean is an exponential moving average.
MEAN_WINDOW_ANSWERS = 64
# The service's mean counts as much as this many answers of the account.
PRIOR_WEIGHT_ANSWERS = 8
RUN_TIME_SMOOTHING = 0.05
MIN_RUN_RATIO = 0.5
MAX_RUN_RATIO = 8.0


@final
@dataclasses.dataclass(slots=True)
class MovingMean:
    """Moving mean of output tokens.

    `answers` is the number of answers, at most `MEAN_WINDOW_ANSWERS`.
    """

    tokens: float
    answers: int = 0

    def add(self, tokens: int) -> None:
        """Add the output tokens of one answer."""
        self.answers = min(self.answers + 1, MEAN_WINDOW_ANSWERS)
        self.tokens += (tokens - self.tokens) / self.answers


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class OutputLengthEstimates:
    """Estimated output lengths by service and client account.

    The estimate of an account with few answers is close to the mean of its
    service. At the size limits the least recently observed account or service
    is dropped.
    """

    max_accounts: int = MAX_ACCOUNTS
    mean_by_service: dict[str, MovingMean] = dataclasses.field(
        default_factory=dict
    )
    mean_by_account: dict[tuple[str, str], MovingMean] = dataclasses.field(
        default_factory=dict
    )

    def observe(self, service: str, account: str, output_tokens: int) -> None:
        """Add the output tokens of one completed answer."""
        service_mean = self._move_service_to_end(service)
        service_mean.add(output_tokens)
        key = (service, account)
        account_mean = self.mean_by_account.pop(key, None)
        if account_mean is None:
            account_mean = MovingMean(service_mean.tokens)
            if len(self.mean_by_account) >= self.max_accounts:
                del self.mean_by_account[next(iter(self.mean_by_account))]
        account_mean.add(output_tokens)
        self.mean_by_account[key] = account_mean

    def estimate(self, service: str, account: str, max_tokens: int) -> int:
        """Return the expected output tokens, from 1 to `max_tokens`."""
        service_mean = self.mean_by_service.get(service)
        tokens = service_mean.tokens if service_mean else float(DEFAULT_TOKENS)
        account_mean = self.mean_by_account.get((service, account))
        if account_mean is not None:
            account_weight = account_mean.answers / (
                account_mean.answers + PRIOR_WEIGHT_ANSWERS
            )
            tokens += account_weight * (account_mean.tokens - tokens)
        return max(1, min(max_tokens, round(tokens)))

    def _move_service_to_end(self, service: str) -> MovingMean:
        mean = self.mean_by_service.pop(service, None)
        if mean is None:
            mean = MovingMean(float(DEFAULT_TOKENS))
            if len(self.mean_by_service) >= MAX_SERVICES:
                del self.mean_by_service[next(iter(self.mean_by_service))]
        self.mean_by_service[service] = mean
        return mean


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class RunTimeEstimates:
    """Recent run times of answers relative to the nominal engine speed."""

    ratio_by_service: dict[str, float] = dataclasses.field(default_factory=dict)

    def observe(
        self, service: str, *, measured_ms: float, expected_ms: float
    ) -> None:
        """Add the run time of one completed answer.

        Args:
            service: The service.
            measured_ms: Measured run time.
            expected_ms: Run time at the nominal engine speed.
        """
        ratio = measured_ms / max(1.0, expected_ms)
        ratio = max(MIN_RUN_RATIO, min(MAX_RUN_RATIO, ratio))
        previous = self.ratio_by_service.pop(service, 1.0)
        if len(self.ratio_by_service) >= MAX_SERVICES:
            del self.ratio_by_service[next(iter(self.ratio_by_service))]
        self.ratio_by_service[service] = previous + RUN_TIME_SMOOTHING * (
            ratio - previous
        )

    def run_ms(self, service: str, expected_ms: float) -> float:
        """Correct a run time at the nominal speed by the recent ratio."""
        return expected_ms * self.ratio_by_service.get(service, 1.0)
