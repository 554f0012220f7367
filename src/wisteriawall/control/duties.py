"""Singleton duties: calls that only one node at a time may make.

The leader holds all duties, and its term is the fencing token. Nothing checks
tokens on the other side, so a leader acts only once an earlier one must have
stopped, and while no other one can have begun.
"""

from collections.abc import Iterable
import dataclasses
import math
from typing import final

from wisteriawall.control import raft as raft_lib
from wisteriawall.control import state

__all__ = ["DutySettings", "Pacing", "choose_report", "may_act"]

# Pauses after a call that failed.
MIN_RETRY_MS = 250
MAX_RETRY_MS = 1_000
# Part of the platform's rate that is used; its clock may differ.
RATE_SHARE = 0.9
DEFAULT_INTERVAL_MS = 200
MAX_INTERVAL_MS = 10_000
MS_PER_S = 1_000


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class DutySettings:
    """Limits of the deployment on duties.

    A holder must not act within `lease_ms` of another one that it replaced and
    that may replace it. The platform takes `per_s` calls a second, 0 if that
    is not known.
    """

    lease_ms: int
    per_s: float

    @property
    def interval_ms(self) -> int:
        """Return the time from one call to the next."""
        if not math.isfinite(self.per_s) or self.per_s <= 0:
            return DEFAULT_INTERVAL_MS
        interval_ms = MS_PER_S / (self.per_s * RATE_SHARE)
        return math.ceil(min(MAX_INTERVAL_MS, interval_ms))


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Pacing:
    """When the next call may be made, on the monotonic clock."""

    interval_ms: int
    due_ms: int = 0
    failures: int = 0

    def note_call(self, now_ms: int) -> None:
        """Note that a call is made now."""
        self.due_ms = now_ms + self.interval_ms

    def note_failure(self, now_ms: int) -> None:
        """Note that a call failed; pauses double with each further one."""
        pause_ms = min(MAX_RETRY_MS, MIN_RETRY_MS << min(self.failures, 16))
        self.failures += 1
        self.due_ms = max(self.due_ms, now_ms + pause_ms)

    def note_success(self) -> None:
        """Note that a call was accepted."""
        self.failures = 0


def may_act(
    raft: raft_lib.Raft, *, token: int, lease_ms: int, now_ms: int
) -> bool:
    """Return whether this replica may act with a token at this moment.

    An earlier leader has stopped by then, as its lease is shorter than
    `lease_ms`. If it led before another one that acted, more than `lease_ms`
    lie between its two actions.
    """
    return (
        raft.role is raft_lib.RaftRole.LEADER
        and raft.term == token
        and raft.holds_lease(now_ms)
        and now_ms - raft.elected_ms >= lease_ms
    )


def choose_report(
    reports: Iterable[state.UsageWindow],
    *,
    failed: int,
    window_ms: int,
    late_ms: int,
    time_ms: int,
) -> state.UsageWindow | None:
    """Return the report to send next, None if there is none.

    Reports that are still in time go before those that are late anyway, and
    the report of the window `failed` after the others of its kind.
    """
    return min(
        reports,
        key=lambda report: (
            time_ms >= (report.window + 1) * window_ms + late_ms,
            report.window == failed,
            report.window,
        ),
        default=None,
    )
