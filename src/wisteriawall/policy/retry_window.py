"""Retry budget of each service over a sliding window, in each gateway.

A gateway counts only its own requests and retries. The retries that are always
allowed are divided evenly among the gateways of the deployment.
"""

import collections
import dataclasses
from typing import final

__all__ = ["RetryBudgetSettings", "RetryWindow"]


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RetryBudgetSettings:
    """Retry budget of the whole deployment.

    Attributes:
        window_ms: Length of the sliding window.
        ratio: Retries allowed for each request in the window.
        slack: Retries that are always allowed in a window.
    """

    window_ms: int
    ratio: float
    slack: float


@final
class RetryWindow:
    """Limits retries to a share of the requests in a sliding window.

    Requests and retries are counted for each service, as the budget of one
    service must not be used up for another one.

    Args:
        window_ms: Length of the window.
        ratio: Retries allowed for each request in the window.
        slack: Retries that all gateways together may always make in a window.
        gateways: Initial number of gateways that the slack is divided among.
        started_ms: When this gateway started again. The slack is earned over
            the first window, as an earlier process may have used it just
            before. With None it is available at once.
    """

    __slots__ = (
        "_gateways",
        "_ratio",
        "_requests_by_service",
        "_retries_by_service",
        "_slack",
        "_started_ms",
        "_window_ms",
    )

    def __init__(
        self,
        *,
        window_ms: int,
        ratio: float,
        slack: float,
        gateways: int = 1,
        started_ms: int | None = None,
    ) -> None:
        self._gateways = gateways
        self._window_ms = window_ms
        self._ratio = ratio
        self._slack = slack
        self._started_ms = started_ms
        self._requests_by_service: dict[str, collections.deque[int]] = (
            collections.defaultdict(collections.deque)
        )
        self._retries_by_service: dict[str, collections.deque[int]] = (
            collections.defaultdict(collections.deque)
        )

    def add_request(self, service: str, now_ms: int) -> None:
        """Count a request of a caller, not its retries."""
        self._requests_by_service[service].append(now_ms)
        self._drop_expired(service, now_ms)

    def set_gateways(self, gateways: int) -> None:
        """Set the number of gateways that the slack is divided among."""
        self._gateways = gateways

    def take_retry(self, service: str, now_ms: int) -> bool:
        """Count one retry; return False if the budget does not allow it."""
        self._drop_expired(service, now_ms)
        requests = self._requests_by_service[service]
        retries = self._retries_by_service[service]
        max_retries = self._ratio * len(requests) + self._earned_slack(now_ms)
        if len(retries) + 1 > max_retries:
            return False
        retries.append(now_ms)
        return True

    def _earned_slack(self, now_ms: int) -> float:
        share = self._slack / self._gateways
        if self._started_ms is None:
            return share
        return share * min(1.0, (now_ms - self._started_ms) / self._window_ms)

    def _drop_expired(self, service: str, now_ms: int) -> None:
        for times in (
            self._requests_by_service[service],
            self._retries_by_service[service],
        ):
            while times and now_ms - times[0] > self._window_ms:
                times.popleft()
