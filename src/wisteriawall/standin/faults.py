"""Faults that tests and trials inject into a stand-in engine."""

import enum
from typing import final

import msgspec

__all__ = ["Faults", "OrderCrashPoint"]


@final
class OrderCrashPoint(enum.StrEnum):
    """Whether an order during which the engine crashes takes effect.

    `NONE` means no crash, `AFTER_EFFECT` a crash after the order took effect,
    and `BEFORE_EFFECT` a crash before that.
    """

    NONE = "none"
    AFTER_EFFECT = "done"
    BEFORE_EFFECT = "not-done"


@final
class Faults(msgspec.Struct, kw_only=True):
    """Faults to inject; those with `next` in their name apply once.

    Attributes:
        cut_after_tokens: Break each stream after this many tokens; 0 for never.
        crash_next: Crash of the engine during the next order.
        stall_next_s: Seconds that the next order hangs before it begins.
        gap_every: Lose each cache event whose number is a multiple of this; 0
            loses none.
    """

    cut_after_tokens: int = 0
    crash_next: OrderCrashPoint = OrderCrashPoint.NONE
    stall_next_s: float = 0.0
    gap_every: int = 0
