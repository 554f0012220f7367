"""What runners and failed attempts say about sending to a runner.

Three load patterns are covered:

- Planned replacement. A runner that leaves says so in its answers, often before
  the list of runners does. It gets no further requests of a gateway that saw
  this, for as long as that runner is listed.
- Overload of a runner. One that rejects a request with a retry time gets
  nothing until that time has passed.
- Crashes. The list shows a crashed runner for seconds. A runner that can't be
  reached, or that fails several requests in a row, is avoided for a time that
  doubles with each further failure. Gateways tell each other, so that not each
  of them loses a request first. A single broken answer does not count: answers
  are lost on their way too, and avoiding their runners would remove capacity.
"""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import enum
from typing import final

__all__ = ["RunnerNotices", "Source"]

# Consecutive failures of requests that reached the runner.
FAILURES_TO_AVOID = 2
FIRST_AVOIDANCE_MS = 700
MAX_AVOIDANCE_MS = 6_000
MAX_DOUBLINGS = 8
# With more runners avoided, the failures have another cause than the runners.
MAX_AVOIDED_SHARE = 0.5
# Retry times that runners ask for are limited to this.
MAX_PAUSE_MS = 60_000
# How long another gateway's notice counts without one of the own runner's
# answers; the list of runners shows a planned stop well before.
TOLD_LEAVING_MS = 10_000
# A runner that stays listed as ready gets requests again after this time, so
# that a wrong notice does not remove it for good.
SEEN_LEAVING_MS = 600_000


@final
class Source(enum.Enum):
    """Where a notice comes from; the values appear in the decision log."""

    ANSWER = "answer"
    GATEWAY = "gateway"


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class _Notice:
    """Notices about one runner; times are on the monotonic clock.

    `failures` counts failures and `avoidances` the times of avoidance, both
    without a success in between.
    """

    leaving_until_ms: int = 0
    paused_until_ms: int = 0
    failures: int = 0
    avoidances: int = 0
    avoided_until_ms: int = 0


@final
class RunnerNotices:
    """Notices by the start id of the runner.

    They are kept while a runner is missing from the list, since its entry can
    be unreadable for a time.
    """

    __slots__ = ("_notice_by_id",)

    def __init__(self) -> None:
        self._notice_by_id: dict[str, _Notice] = {}

    def note_leaving(self, runner: str, source: Source, now_ms: int) -> bool:
        """Record that a runner leaves; return whether this is new."""
        notice = self._notice_by_id.setdefault(runner, _Notice())
        is_new = notice.leaving_until_ms <= now_ms
        duration_ms = (
            SEEN_LEAVING_MS if source is Source.ANSWER else TOLD_LEAVING_MS
        )
        notice.leaving_until_ms = max(
            notice.leaving_until_ms, now_ms + duration_ms
        )
        return is_new

    def note_pause(self, runner: str, pause_ms: int, now_ms: int) -> int:
        """Record that a runner asks for no requests; return for how long."""
        accepted_ms = min(MAX_PAUSE_MS, max(0, pause_ms))
        notice = self._notice_by_id.setdefault(runner, _Notice())
        notice.paused_until_ms = max(
            notice.paused_until_ms, now_ms + accepted_ms
        )
        return accepted_ms

    def note_failure(
        self, runner: str, now_ms: int, *, unreachable: bool
    ) -> int:
        """Record a failed attempt; return the time of a new avoidance or 0.

        Args:
            runner: The runner.
            now_ms: Time of the failure.
            unreachable: Whether no connection to the runner could be opened.
        """
        notice = self._notice_by_id.setdefault(runner, _Notice())
        notice.failures += 1
        if not unreachable and notice.failures < FAILURES_TO_AVOID:
            return 0
        return self.avoid(runner, now_ms)

    def avoid(self, runner: str, now_ms: int) -> int:
        """Avoid a runner; return the time of a new avoidance or 0.

        Failures while it is avoided are of requests that were sent before, and
        don't make the time longer.
        """
        notice = self._notice_by_id.setdefault(runner, _Notice())
        if now_ms < notice.avoided_until_ms:
            return 0
        avoidance_ms = min(
            MAX_AVOIDANCE_MS, FIRST_AVOIDANCE_MS << notice.avoidances
        )
        notice.avoidances = min(notice.avoidances + 1, MAX_DOUBLINGS)
        notice.avoided_until_ms = now_ms + avoidance_ms
        return avoidance_ms

    def note_success(self, runner: str, now_ms: int) -> None:
        """Record an answer; it counts only after the time of avoidance."""
        notice = self._notice_by_id.get(runner)
        if notice is not None and now_ms >= notice.avoided_until_ms:
            notice.failures = notice.avoidances = 0

    def may_send(self, runner: str, now_ms: int) -> bool:
        """Return whether the runner itself accepts requests."""
        notice = self._notice_by_id.get(runner)
        return notice is None or (
            now_ms >= notice.leaving_until_ms
            and now_ms >= notice.paused_until_ms
        )

    def resume_ms(self, runners: Iterable[str], now_ms: int) -> int:
        """Return the time until the first pause of these runners ends.

        Returns 0 if none of them is paused. Runners that leave are ignored.
        """
        pauses_ms = (
            notice.paused_until_ms - now_ms
            for runner in runners
            if (notice := self._notice_by_id.get(runner))
            if now_ms >= notice.leaving_until_ms
            if now_ms < notice.paused_until_ms
        )
        return min(pauses_ms, default=0)

    def without_avoided(self, runners: list[str], now_ms: int) -> set[str]:
        """Return the runners that no recent failure speaks against.

        Returns all of them if more than `MAX_AVOIDED_SHARE` would be left out.
        """
        preferred = {
            runner for runner in runners if not self._is_avoided(runner, now_ms)
        }
        if len(preferred) < (1 - MAX_AVOIDED_SHARE) * len(runners):
            return set(runners)
        return preferred

    def drop_expired(self, listed: Collection[str], now_ms: int) -> None:
        """Forget runners that are not listed and whose notices have expired."""
        for runner, notice in list(self._notice_by_id.items()):
            last_ms = max(
                notice.leaving_until_ms,
                notice.paused_until_ms,
                notice.avoided_until_ms,
            )
            if runner not in listed and now_ms >= last_ms:
                del self._notice_by_id[runner]

    def _is_avoided(self, runner: str, now_ms: int) -> bool:
        notice = self._notice_by_id.get(runner)
        return notice is not None and now_ms < notice.avoided_until_ms
