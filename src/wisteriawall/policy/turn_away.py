"""Admission control: accept a prompt by its forecast, or reject it at once.

This protects the engines from bursts that exceed their prefill capacity.
Without a limit they would prefill prompts whose callers have disconnected, and
no request would meet its target latency. A rejected caller is told when the
queue is expected to be short enough for a retry.

A request that can't meet its target is accepted as long as it can be served
before its caller times out. It gets a lower priority than all requests that
can meet theirs, so that it doesn't delay them. Thus prompts of any length are
served, and few retries are rejected again.
"""

import dataclasses
from typing import TypeAlias
from typing import final

from wisteriawall.policy import placement as placement_lib

__all__ = ["Accept", "Bounds", "Decision", "TurnAway", "decide", "patience_ms"]

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
class Bounds:
    """Largest forecasts that are accepted, as shares of other times.

    Attributes:
        in_time: Largest time to the first token of a request that counts as in
            time, as a share of the target latency.
        late_share: Largest time to the first token of any other request, as a
            share of the time that its caller still waits for the first event.
        late_wait_share: Largest queueing time of such a request, as a share of
            the target latency.
        retry_wait_share: The same as `late_wait_share` for a request that was
            rejected before.
    """

    in_time: float = 0.95
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
class TurnAway:
    """Reject the request; its caller may retry after `retry_ms`."""

    reason: str
    retry_ms: float


Decision: TypeAlias = Accept | TurnAway


def patience_ms(*, goal_ms: float, pause_ms: float) -> float:
    """Return how long a caller waits for the first event of a stream.

    Args:
        goal_ms: Target latency of the route.
        pause_ms: Target gap between the events of a stream.
    """
    return max(
        MIN_CLIENT_TIMEOUT_MS,
        TARGET_LATENCIES_PER_CLIENT_TIMEOUT * goal_ms,
        TARGET_GAPS_PER_CLIENT_TIMEOUT * pause_ms,
    )


def decide(
    in_turn: placement_lib.Placement,
    behind: placement_lib.Placement,
    *,
    goal_ms: float,
    waited_ms: float,
    left_ms: float,
    returned: bool,
    spread: float,
    bounds: Bounds,
) -> Decision:
    """Accept one of two placements, or reject the request.

    Args:
        in_turn: Best placement in the priority class of the route.
        behind: Best placement in the priority class of late requests, which is
            behind all others.
        goal_ms: Target latency to the first token.
        waited_ms: How long the caller has waited, rejected attempts included.
        left_ms: Time that the caller still waits for the first event.
        returned: Whether the caller was rejected before.
        spread: Random number from 0 to 1 that selects the retry jitter.
        bounds: Largest forecasts that are accepted.
    """
    if waited_ms + in_turn.first_token_ms <= bounds.in_time * goal_ms:
        return Accept(placement=in_turn, in_time=True)
    meets_timeout = behind.first_token_ms <= bounds.late_share * left_ms
    max_wait_share = (
        bounds.retry_wait_share if returned else bounds.late_wait_share
    )
    if meets_timeout and behind.wait_ms <= max_wait_share * goal_ms:
        return Accept(placement=behind, in_time=False)
    retry_ms = (
        max(MIN_RETRY_AFTER_MS, behind.wait_ms) + spread * RETRY_JITTER_MS
    )
    return TurnAway(reason="the queue is too long", retry_ms=retry_ms)
