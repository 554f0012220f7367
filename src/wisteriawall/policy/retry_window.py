"""Retry budget of each service over a sliding window, in each gateway.

A gateway counts only its own requests and retries. The retries that are always
allowed, the slack, are divided evenly among the gateways of the deployment. A
gateway's share is a lease, which contact with control renews: control may count
no longer with a gateway that it has not heard for long.
"""

import bisect
import collections
import dataclasses
from typing import final

from wisteriawall.policy import gateway_count

__all__ = ["Excess", "RetryBudgetSettings", "RetryWindow"]

# Windows that are checked at each retry begin at this many times.
CHECKED_WINDOWS = 20


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
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Excess:
    """Why a retry is denied: `made` of `allowed` retries since `start_ms`.

    The share of the slack of this gateway, `slack`, is a part of `allowed`.
    """

    start_ms: int
    made: int
    allowed: float
    slack: float


@final
class RetryWindow:
    """Limits retries to a share of the requests in any window.

    Requests and retries are counted for each service, as the budget of one
    service must not be used up for another one. The requests of a window are
    the mean of those in it so far and those in the window half a length before
    it, which any number of gateways may add up: the budget allows for the
    larger one of both sums.

    Args:
        window_ms: Length of the window.
        ratio: Retries allowed for each request in the window.
        slack: Retries that all gateways together may always make in a window.
        gateways: Smallest number of gateways that the slack is divided among.
        lease_ms: Time without contact after which no slack is left; there is
            none before the first contact. None if contact is not needed.
        started_ms: When this gateway started again. The slack is earned over
            the first window, as an earlier process may have used it just
            before. With None it is available at once.
    """

    __slots__ = (
        "_contact_ms",
        "_counts",
        "_earned_from_ms",
        "_latest_ms",
        "_lease_ms",
        "_min_gateways",
        "_ratio",
        "_requests_by_service",
        "_retries_by_service",
        "_slack",
        "_window_ms",
    )

    def __init__(
        self,
        *,
        window_ms: int,
        ratio: float,
        slack: float,
        gateways: int = 1,
        lease_ms: int | None = None,
        started_ms: int | None = None,
    ) -> None:
        self._min_gateways = gateways
        self._counts = gateway_count.LargestCount()
        self._lease_ms = lease_ms
        self._contact_ms: int | None = None
        self._window_ms = window_ms
        self._ratio = ratio
        self._slack = slack
        self._earned_from_ms = started_ms
        self._latest_ms = 0
        # Times, oldest first.
        self._requests_by_service: dict[str, list[int]] = (
            collections.defaultdict(list)
        )
        self._retries_by_service: dict[str, list[int]] = (
            collections.defaultdict(list)
        )

    def add_request(self, service: str, now_ms: int) -> None:
        """Count a request of a caller, not its retries."""
        now_ms = self._advance(now_ms)
        requests = self._requests_by_service[service]
        requests.append(now_ms)
        # Half of them at a time, as removing from the start moves the rest.
        if now_ms - requests[len(requests) // 2] > 2 * self._window_ms:
            del requests[: len(requests) // 2]

    def find_count(self, now_ms: int) -> gateway_count.Count | None:
        """Return the largest number of gateways that is known."""
        return self._counts.find(now_ms)

    def gateways(self, now_ms: int) -> int:
        """Return the number of gateways that the slack is divided among."""
        count = self._counts.find(now_ms)
        return max(self._min_gateways, count.gateways if count else 0)

    def note_count(self, count: gateway_count.Count) -> None:
        """Record a number of gateways; it holds until it is old."""
        self._counts.note(count)

    def note_contact(self, contact_ms: int) -> None:
        """Renew the share of the slack by contact with control at a time.

        After the end of the last lease, other gateways may have used the whole
        slack just before, so that it is earned over a window again.
        """
        if self._has_lease_ended(contact_ms) and self._contact_ms is not None:
            self._earned_from_ms = contact_ms
        self._contact_ms = max(contact_ms, self._contact_ms or contact_ms)

    def take_retry(self, service: str, now_ms: int, *, count: int = 1) -> bool:
        """Count retries; return False if the budget does not allow them all."""
        now_ms = self._advance(now_ms)
        retries = self._retries_by_service[service]
        del retries[: bisect.bisect_left(retries, now_ms - self._window_ms)]
        if self.find_excess(service, now_ms, count=count) is not None:
            return False
        retries.extend([now_ms] * count)
        return True

    def return_retries(self, service: str, count: int) -> None:
        """Take back the last retries that were counted and are not made."""
        if count > 0:
            del self._retries_by_service[service][-count:]

    def find_excess(
        self, service: str, now_ms: int, *, count: int = 1
    ) -> Excess | None:
        """Return why the budget does not allow retries, None if it does."""
        now_ms = self._advance(now_ms)
        retries = self._retries_by_service[service]
        requests = self._requests_by_service[service]
        slack = self.slack(now_ms)
        for number in range(CHECKED_WINDOWS + 1):
            start_ms = now_ms - number * self._window_ms // CHECKED_WINDOWS
            made = len(retries) - bisect.bisect_left(retries, start_ms)
            allowed = self._ratio * self._mean_requests(requests, start_ms)
            allowed += slack
            if made + count > allowed:
                return Excess(
                    start_ms=start_ms, made=made, allowed=allowed, slack=slack
                )
        return None

    def slack(self, now_ms: int) -> float:
        """Return this gateway's share of the slack."""
        if self._has_lease_ended(now_ms):
            return 0.0
        share = self._slack / self.gateways(now_ms)
        if self._earned_from_ms is None:
            return share
        earned_ms = max(0, now_ms - self._earned_from_ms)
        return share * min(1.0, earned_ms / self._window_ms)

    def _advance(self, now_ms: int) -> int:
        """Return the time, or the latest one if that is later.

        Threads take the time before they wait for each other, or are frozen.
        What they send is sent after that.
        """
        self._latest_ms = max(self._latest_ms, now_ms)
        return self._latest_ms

    def _has_lease_ended(self, now_ms: int) -> bool:
        if self._lease_ms is None:
            return False
        return (
            self._contact_ms is None
            or now_ms - self._contact_ms > self._lease_ms
        )

    def _mean_requests(self, requests: list[int], start_ms: int) -> float:
        """Return the requests of the window that begins at `start_ms`."""
        half_ms = self._window_ms // 2
        in_window = len(requests) - bisect.bisect_left(requests, start_ms)
        before = bisect.bisect_left(
            requests, start_ms + half_ms
        ) - bisect.bisect_left(requests, start_ms - half_ms)
        return (in_window + before) / 2
