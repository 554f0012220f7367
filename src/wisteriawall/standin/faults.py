"""Faults that tests and trials ask of a stand-in engine."""

import enum
from typing import final

import msgspec

__all__ = ["Crash", "Faults"]


@final
class Crash(enum.StrEnum):
    """Whether an order that crashes in the middle took effect."""

    NONE = "none"
    DONE = "done"
    NOT_DONE = "not-done"


@final
class Faults(msgspec.Struct, kw_only=True):
    """Faults in force; those named `next` happen once.

    `cut_after_tokens` breaks each stream after so many tokens, 0 never.
    `gap_every` loses every so many-th cache event, 0 none. `stall_next_s`
    makes the next order hang for so long before it begins.
    """

    cut_after_tokens: int = 0
    crash_next: Crash = Crash.NONE
    stall_next_s: float = 0.0
    gap_every: int = 0
