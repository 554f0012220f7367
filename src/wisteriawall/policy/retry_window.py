"""Retry budget over a sliding window, enforced by each gateway on its own.

A gateway counts only its own requests and retries. The retries that are always
allowed are divided evenly among the gateways of the deployment.
"""

from collections import deque
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

    Args:
        window_ms: Length of the window.
        ratio: Retries allowed for each request in the window.
        slack: Retries that all gateways together may always make in a window.
        gateways: Initial number of gateways that the slack is divided among.
    """

    __slots__ = (
        "_gateways",
        "_ratio",
        "_requests",
        "_retries",
        "_slack",
        "_window_ms",
    )

    def __init__(
        self, *, window_ms: int, ratio: float, slack: float, gateways: int = 1
    ) -> None:
        self._gateways = gateways
        self._window_ms = window_ms
        self._ratio = ratio
        self._slack = slack
        self._requests: deque[int] = deque()
        self._retries: deque[int] = deque()

    def add_request(self, now_ms: int) -> None:
        """Count a request of a caller, not its retries."""
        self._requests.append(now_ms)
        self._drop_expired(now_ms)

    def set_gateways(self, gateways: int) -> None:
        """Set the number of gateways that the slack is divided among."""
        self._gateways = gateways

    def take_retry(self, now_ms: int) -> bool:
        """Count one retry; return False if the budget does not allow it."""
        self._drop_expired(now_ms)
        slack = self._slack / self._gateways
        max_retries = self._ratio * len(self._requests) + slack
        if len(self._retries) + 1 > max_retries:
            return False
        self._retries.append(now_ms)
        return True

    def _drop_expired(self, now_ms: int) -> None:
        for times in (self._requests, self._retries):
            while times and now_ms - times[0] > self._window_ms:
                times.popleft()
