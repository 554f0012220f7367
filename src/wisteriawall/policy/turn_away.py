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

# Bursts last seconds, so a caller that comes back sooner finds the queue as it
# was. Callers spread over this time do not make a burst of their own.
MIN_RETRY_MS = 900.0
RETRY_SPREAD_MS = 1_200.0
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
    first event, and only while the queue is `late_wait` of the goal at most, or
    `returned_wait` for a caller that was turned away before.
    """

    in_time: float = 0.95
    late: float = 0.8
    late_wait: float = 0.3
    returned_wait: float = 1.0


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
    returned: bool,
    spread: float,
    bounds: Bounds,
) -> Decision:
    """Accept one of two placements, if it is worth it.

    Args:
        in_turn: The best with the urgency of the request's route.
        behind: The best behind everything that is more urgent.
        goal_ms: Time to the first token that earns full worth.
        waited_ms: How long the caller has been waiting.
        left_ms: Time that the caller still waits for the first event.
        returned: Whether the caller was turned away before.
        spread: Random number from 0 to 1, to spread callers that come back.
        bounds: Shares that the forecasts may take.
    """
    if waited_ms + in_turn.first_token_ms <= bounds.in_time * goal_ms:
        return Accept(placement=in_turn, in_time=True)
    fits = behind.first_token_ms <= bounds.late * left_ms
    allowed = bounds.returned_wait if returned else bounds.late_wait
    if fits and behind.wait_ms <= allowed * goal_ms:
        return Accept(placement=behind, in_time=False)
    retry_ms = max(MIN_RETRY_MS, behind.wait_ms) + spread * RETRY_SPREAD_MS
    return TurnAway(reason="the queue is too long", retry_ms=retry_ms)
