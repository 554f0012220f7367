"""Decide whether a forecast is worth an engine's time, or is refused at once.

Load pattern answered: a burst beyond what the engines can read. Without a
limit each engine reads prompts whose callers have left, and nobody is served
in time. A refused caller hears when the queue will be short enough.

What can't be in time is not refused as long as it can be served while its
caller still waits: it goes behind everything that can be in time, and costs
those nothing. So no size of request goes unserved, and few callers come back
in vain.
"""

import dataclasses
from typing import TypeAlias
from typing import final

from wisteriawall.policy import placement as placement_lib

__all__ = ["Accept", "Bounds", "Decision", "TurnAway", "decide", "patience_ms"]

# A caller that comes back sooner finds the queue as it was.
MIN_RETRY_MS = 300.0
# Share of the goal by which a caller may return before the queue is empty.
RETRY_LEAD = 0.25
# Callers leave a stream after the longest of these without an event; the
# users' protocol page gives them.
MIN_PATIENCE_MS = 2_000.0
GOALS_OF_PATIENCE = 4.0
PAUSES_OF_PATIENCE = 8.0


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Bounds:
    """Shares of a request's goal that its forecast may take.

    `in_time` bounds a forecast that counts as in time, as a share of the goal.
    `late` bounds any other, as a share of the time that a caller waits for the
    first event.
    """

    in_time: float = 0.95
    late: float = 0.8
    late_wait: float = 0.3


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Accept:
    """Send the request where the placement says.

    `in_time` tells whether its first token is expected within the goal.
    """

    placement: placement_lib.Placement
    in_time: bool


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class TurnAway:
    """Refuse the request; it may come back after `retry_ms`."""

    reason: str
    retry_ms: float


Decision: TypeAlias = Accept | TurnAway


def patience_ms(*, goal_ms: float, pause_ms: float) -> float:
    """Return how long a caller waits for the first event of a stream."""
    return max(
        MIN_PATIENCE_MS,
        GOALS_OF_PATIENCE * goal_ms,
        PAUSES_OF_PATIENCE * pause_ms,
    )


def decide(
    in_turn: placement_lib.Placement,
    behind: placement_lib.Placement,
    *,
    goal_ms: float,
    waited_ms: float,
    left_ms: float,
    bounds: Bounds,
) -> Decision:
    """Accept one of two placements, if it is worth it.

    Args:
        in_turn: The best with the urgency of the request's route.
        behind: The best behind everything that is more urgent.
        goal_ms: Time to the first token that earns full worth.
        waited_ms: How long the request has been waiting here.
        left_ms: Time that the caller still waits for the first event.
        bounds: Shares that the forecasts may take.
    """
    if waited_ms + in_turn.first_token_ms <= bounds.in_time * goal_ms:
        return Accept(placement=in_turn, in_time=True)
    fits = behind.first_token_ms <= bounds.late * left_ms
    if fits and behind.wait_ms <= bounds.late_wait * goal_ms:
        return Accept(placement=behind, in_time=False)
    retry_ms = max(MIN_RETRY_MS, behind.wait_ms - RETRY_LEAD * goal_ms)
    return TurnAway(reason="the queue is too long", retry_ms=retry_ms)
