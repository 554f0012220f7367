"""Log of the entries of the list of runners that name no usable runner."""

from collections.abc import Callable
import logging
from typing import final

from wisteriawall import clock
from wisteriawall.observability import metrics as metrics_lib

__all__ = ["RejectedEntries"]

_LOG = logging.getLogger("control")

# Such an entry mostly comes with every read of the list.
LOG_INTERVAL_MS = 60_000
MAX_LOGGED_LENGTH = 40


@final
class RejectedEntries:
    """Counts rejected entries, and logs each kind of fault once a minute.

    Args:
        metrics: Has a counter for each kind of fault.
        now_ms: Returns the monotonic time.
    """

    __slots__ = (
        "_count_by_fault",
        "_logged_ms_by_fault",
        "_metrics",
        "_now_ms",
    )

    def __init__(
        self,
        *,
        metrics: metrics_lib.Metrics | None = None,
        now_ms: Callable[[], int] = clock.monotonic_ms,
    ) -> None:
        self._metrics = metrics or metrics_lib.NullMetrics()
        self._now_ms = now_ms
        self._count_by_fault: dict[str, int] = {}
        self._logged_ms_by_fault: dict[str, int] = {}

    def note(self, fault: str, identifier: str) -> None:
        """Record an entry.

        Args:
            fault: Kind of the fault; there must be few.
            identifier: Identifier of the runner, empty if it can't be read.
        """
        self._metrics.count(f"rejected-entry.{fault}")
        count = self._count_by_fault.get(fault, 0) + 1
        self._count_by_fault[fault] = count
        now_ms = self._now_ms()
        logged_ms = self._logged_ms_by_fault.get(fault)
        if logged_ms is not None and now_ms - logged_ms < LOG_INTERVAL_MS:
            return
        self._logged_ms_by_fault[fault] = now_ms
        self._count_by_fault[fault] = 0
        _LOG.warning(
            "control: the list of runners has an entry that is not used, fault:"
            " %s, identifier: %r, entries since the last such line: %d",
            fault,
            identifier[:MAX_LOGGED_LENGTH],
            count,
        )
