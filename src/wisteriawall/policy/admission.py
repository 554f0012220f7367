"""Admission control: accept a prompt by its forecast, or reject it at once.

This protects the engines from bursts that exceed their prefill capacity.
Without a limit they would prefill prompts whose callers have disconnected, and
no request would meet its target latency. A rejection states when the queue is
expected to be short enough for a retry.

A request that can't meet its target is accepted as long as it can be served
before its caller times out. It gets a lower priority than all requests that
can meet theirs, so that it doesn't delay them. Thus prompts of any length are
served, and few retries are rejected again. The forecast of a long prompt at
engines that are mostly idle is taken without a reserve.
"""

import dataclasses
from typing import TypeAlias
from typing import final

from wisteriawall.policy import fair_share
from wisteriawall.policy import placement as placement_lib

__all__ = [
    "Accept",
    "AdmissionBounds",
    "Decision",
    "Reject",
    "client_timeout_ms",
    "decide",
]

# Bursts last seconds: an earlier retry would find the queue unchanged.
MIN_RETRY_AFTER_MS = 900.0
# Retries are spread over this time, so that they don't form another burst.
RETRY_JITTER_MS = 1_200.0
# A caller disconnects when a stream has had no event for the longest of these
# times: the minimum, or a multiple of the route's target latency or target gap
# between events. They are specified by the users' protocol.
MIN_CLIENT_TIMEOUT_MS = 2_000.0
TARGET_LATENCIES_PER_CLIENT_TIMEOUT = 4.0
TARGET_GAPS_PER_CLIENT_TIMEOUT = 8.0


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AdmissionBounds:
    """Largest forecasts that are accepted, as shares of other times.

    Attributes:
        in_time_share: Largest time to the first token of a request that counts
            as in time, as a share of the target latency.
        late_share: Largest time to the first token of any other request, as a
            share of the time that its caller still waits for the first event.
        late_wait_share: Largest queueing time of such a request, as a share of
            the target latency.
        retry_wait_share: The same as `late_wait_share` for a request that was
            rejected before.
    """

    in_time_share: float = 0.95
    late_share: float = 0.8
    late_wait_share: float = 0.3
    retry_wait_share: float = 1.0


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Accept:
    """Accept the request with this placement.

    `in_time` is true if the first token is expected within the target latency.
    """

    placement: placement_lib.Placement
    in_time: bool


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Reject:
    """Reject the request; its caller may retry after `retry_ms`."""

    reason: str
    retry_ms: float


Decision: TypeAlias = Accept | Reject


def client_timeout_ms(
    *, target_latency_ms: float, target_gap_ms: float
) -> float:
    """Return how long a caller waits for the first event of a stream.

    Args:
        target_latency_ms: Target latency of the route.
        target_gap_ms: Target gap between the events of a stream.
    """
    return max(
        MIN_CLIENT_TIMEOUT_MS,
        TARGET_LATENCIES_PER_CLIENT_TIMEOUT * target_latency_ms,
        TARGET_GAPS_PER_CLIENT_TIMEOUT * target_gap_ms,
    )


def decide(
    on_time: placement_lib.Placement,
    late: placement_lib.Placement,
    *,
    target_latency_ms: float,
    waited_ms: float,
    remaining_ms: float,
    is_retry: bool,
    jitter: float,
    bounds: AdmissionBounds,
    has_begun: bool = False,
    is_idle: bool = False,
    standing: fair_share.Standing = fair_share.Standing.NEUTRAL,
) -> Decision:
    """Accept one of two placements, or reject the request.

    Args:
        on_time: Best placement in the priority class of the route.
        late: Best placement in the priority class of late requests, which is
            behind all others.
        target_latency_ms: Target latency to the first token.
        waited_ms: How long the caller has waited, rejected attempts included.
        remaining_ms: Time that the caller still waits for the first event.
        is_retry: Whether the caller was rejected before.
        jitter: Random number from 0 to 1 that selects the retry jitter.
        bounds: Largest forecasts that are accepted.
        has_begun: Whether the caller has events of the stream already. It then
            goes on while the caller waits for the next one.
        is_idle: Whether half of the slots of the late placement's engines are
            free and nothing waits there. A refusal would only leave them idle,
            so a late request is accepted up to the caller's time-out.
        standing: Work of the request's account compared with its share. An
            account with less may wait as long as a retry, and one with more
            doesn't wait.
    """
    accepted_ms = bounds.late_share * remaining_ms
    if has_begun and on_time.first_token_ms <= accepted_ms:
        return Accept(placement=on_time, in_time=True)
    if (
        waited_ms + on_time.first_token_ms
        <= bounds.in_time_share * target_latency_ms
    ):
        return Accept(placement=on_time, in_time=True)
    meets_timeout = late.first_token_ms <= (
        remaining_ms if is_idle else accepted_ms
    )
    max_wait_share = (
        bounds.retry_wait_share
        if is_retry or standing is fair_share.Standing.UNDER
        else bounds.late_wait_share
    )
    if standing is fair_share.Standing.OVER:
        max_wait_share = 0.0
    if meets_timeout and late.wait_ms <= max_wait_share * target_latency_ms:
        return Accept(placement=late, in_time=False)
    retry_ms = max(MIN_RETRY_AFTER_MS, late.wait_ms) + jitter * RETRY_JITTER_MS
    return Reject(reason="the queue is too long", retry_ms=retry_ms)
