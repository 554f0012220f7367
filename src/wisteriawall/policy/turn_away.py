"""Decide whether a forecast is worth an engine's time, or is refused at once.

Load pattern answered: a burst beyond what the engines can read. Without a
limit each engine reads prompts whose callers have left, and nobody is served
in time. A refused caller hears when the queue will be short enough.

Long prompts are not refused for their own length, only for the queue in front
of them, so that no size of request goes unserved.
"""

import dataclasses
from typing import TypeAlias
from typing import final

from wisteriawall.policy import placement as placement_lib

__all__ = ["Accept", "Bounds", "Decision", "TurnAway", "decide"]

# A caller that comes back sooner finds the queue as it was.
MIN_RETRY_MS = 300.0


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Bounds:
    """Shares of a request's goal that its forecast may take.

    `in_time` bounds the forecast of the first token. A prompt that would miss
    it even on an idle engine may wait `long_wait` of its goal.
    """

    in_time: float = 0.9
    long_wait: float = 0.3


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Accept:
    """Send the request where the placement says."""

    placement: placement_lib.Placement


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class TurnAway:
    """Refuse the request; it may come back after `retry_ms`."""

    reason: str
    retry_ms: float


Decision: TypeAlias = Accept | TurnAway


def decide(
    placement: placement_lib.Placement,
    *,
    goal_ms: float,
    waited_ms: float,
    left_ms: float,
    bounds: Bounds,
) -> Decision:
    """Accept the placement if it is worth it.

    Args:
        placement: The best that was found.
        goal_ms: Time to the first token that earns full worth.
        waited_ms: How long the request has been waiting here.
        left_ms: Time until its deadline.
        bounds: How much of the goal a forecast may take.
    """
    first_ms = waited_ms + placement.first_token_ms
    own_ms = placement.first_token_ms - placement.wait_ms
    if first_ms <= bounds.in_time * goal_ms:
        return Accept(placement=placement)
    if placement.first_token_ms >= left_ms:
        return _turn_away("the deadline would pass", placement, goal_ms)
    is_long = own_ms > bounds.in_time * goal_ms
    if is_long and placement.wait_ms <= bounds.long_wait * goal_ms:
        return Accept(placement=placement)
    return _turn_away("the queue is too long", placement, goal_ms)


def _turn_away(
    reason: str, placement: placement_lib.Placement, goal_ms: float
) -> TurnAway:
    retry_ms = max(MIN_RETRY_MS, placement.wait_ms - 0.25 * goal_ms)
    return TurnAway(reason=reason, retry_ms=retry_ms)
