"""Counts of the requests that runners ran, by client account and window.

A gateway counts each request that it forwards, and repeats a count with each
poll of control until it is committed there. Counts are cumulative, so that a
repeated report changes nothing.
"""

import dataclasses
from typing import final

from wisteriawall.wire import gateway_messages

__all__ = ["UsageCounts"]

# Counts by window and account: about 100 bytes each.
MAX_COUNTS = 10_000
# Windows for which counts are kept while control can't be reached.
MAX_WINDOWS = 24
# Fixed windows whose counts are kept, so that control can tell what came late.
KEPT_FIXED_WINDOWS = 2


@final
@dataclasses.dataclass(slots=True)
class _Count:
    """A number of requests; it last changed at `version`."""

    requests: int = 0
    version: int = 0


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class UsageCounts:
    """Counts of one gateway.

    Nothing is counted if `window_ms`, the length of a window, is 0. `version`
    rises with each change, `committed` is the version that control committed,
    and `lost` the number of requests that were dropped before that.
    """

    window_ms: int = 0
    version: int = 0
    committed: int = 0
    next_window: int = 0
    lost: int = 0
    windows: dict[int, dict[str, _Count]] = dataclasses.field(
        default_factory=dict
    )

    @property
    def is_committed(self) -> bool:
        """Return whether control has committed everything."""
        return self.committed >= self.version

    def add(self, account: str, began_wall_ms: int) -> bool:
        """Count a request that began to run at this Unix time.

        Returns:
            Whether it was counted; False without an account, or if there are
            too many counts.
        """
        if not self.window_ms or not account:
            return False
        window = began_wall_ms // self.window_ms
        counts = self.windows.setdefault(window, {})
        if account not in counts and self._size >= MAX_COUNTS:
            self.lost += 1
            return False
        self.version += 1
        count = counts.setdefault(account, _Count())
        count.requests += 1
        count.version = self.version
        while len(self.windows) > MAX_WINDOWS:
            # A window far from the others is one before a step of the clock.
            farthest = max(self.windows, key=lambda w: abs(w - window))
            self._drop(farthest)
        return True

    def report(
        self, wall_ms: int, *, open_ms: int = 0
    ) -> gateway_messages.UsageReport | None:
        """Return the report for control, None if nothing is counted.

        Args:
            wall_ms: Unix time.
            open_ms: Time since the start of the oldest request that may still
                be counted in an earlier window.
        """
        if not self.window_ms:
            return None
        changed = {
            window: {
                account: count.requests
                for account, count in counts.items()
                if count.version > self.committed
            }
            for window, counts in self.windows.items()
        }
        return gateway_messages.UsageReport(
            self.version,
            wall_ms,
            {window: counts for window, counts in changed.items() if counts},
            open_ms,
        )

    def accept(self, receipt: gateway_messages.UsageReceipt) -> None:
        """Forget what no report will name again.

        Counts that were committed are kept until their window is fixed, as
        later reports of the window include them.
        """
        if receipt.version <= self.version:
            self.committed = max(self.committed, receipt.version)
        self.next_window = max(self.next_window, receipt.next_window)
        for window, counts in list(self.windows.items()):
            is_committed = all(
                count.version <= self.committed for count in counts.values()
            )
            is_old = window < self.next_window - KEPT_FIXED_WINDOWS
            if is_old and is_committed:
                del self.windows[window]

    @property
    def _size(self) -> int:
        return sum(map(len, self.windows.values()))

    def _drop(self, window: int) -> None:
        counts = self.windows.pop(window)
        self.lost += sum(
            count.requests
            for count in counts.values()
            if count.version > self.committed
        )
