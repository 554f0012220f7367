"""Decides which polls of control are logged, with the replicas they asked."""

from collections.abc import Sequence
import dataclasses
from typing import final

from wisteriawall.gateway import events
from wisteriawall.wire import control_client

__all__ = ["Poll", "PollLog"]

# In calm the leader answers within milliseconds, and polls begin every 350 ms.
SLOW_POLL_MS = 500
LATE_POLL_MS = 1_000
# While control is unreachable, a poll ends every few hundred milliseconds.
LOG_INTERVAL_MS = 1_000
MAX_STEPS = 12


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Poll:
    """A poll that has ended.

    `replica` gave the answer; it is empty if there was none. `began_ms` and
    `ended_ms` are monotonic times, and `table_age_ms` is the age of the proof
    that the table is the newest, after the answer.
    """

    replica: str
    steps: Sequence[control_client.Step]
    began_ms: int
    ended_ms: int
    table: int
    table_age_ms: int


@final
class PollLog:
    """Selects polls that failed, took long or began late, or found a leader.

    At most one line in `LOG_INTERVAL_MS` tells of failed and slow polls; a
    change of the replica that answers is always logged.
    """

    def __init__(self) -> None:
        self._replica = ""
        self._began_ms: int | None = None
        self._logged_ms: int | None = None
        self._unlogged = 0

    def note(self, poll: Poll) -> events.LogDecision | None:
        """Return the line about a poll, None if it needs none now."""
        began_ms, self._began_ms = self._began_ms, poll.began_ms
        since_last_ms = poll.began_ms - (
            poll.began_ms if began_ms is None else began_ms
        )
        is_new_replica = poll.replica not in ("", self._replica)
        if poll.replica:
            self._replica = poll.replica
        is_unusual = (
            not poll.replica
            or poll.ended_ms - poll.began_ms >= SLOW_POLL_MS
            or since_last_ms >= LATE_POLL_MS
        )
        was_logged_lately = (
            self._logged_ms is not None
            and poll.ended_ms - self._logged_ms < LOG_INTERVAL_MS
        )
        if not is_new_replica and (not is_unusual or was_logged_lately):
            self._unlogged += is_unusual
            return None
        if is_unusual:
            self._logged_ms = poll.ended_ms
        unlogged, self._unlogged = self._unlogged, 0
        return events.LogDecision(
            decision="control-polled",
            request_id="",
            inputs={
                "replica": poll.replica,
                "ms": poll.ended_ms - poll.began_ms,
                "since_last_ms": since_last_ms,
                "table": poll.table,
                "table_age_ms": poll.table_age_ms,
                "asked": [_describe(step) for step in poll.steps[-MAX_STEPS:]],
                "more_asked": max(0, len(poll.steps) - MAX_STEPS),
                "unlogged": unlogged,
            },
        )


def _describe(step: control_client.Step) -> dict[str, object]:
    described: dict[str, object] = {
        "replica": step.replica,
        "outcome": step.outcome.value,
        "asked_ms": step.asked_ms,
        "ms": step.took_ms,
    }
    if step.redirect:
        described["redirect"] = step.redirect
    return described
