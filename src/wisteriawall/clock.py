"""Monotonic and wall clocks, in whole milliseconds."""

import time

__all__ = ["PROCESS_STARTED_MS", "monotonic_ms", "wall_ms"]

NS_PER_MS = 1_000_000


def monotonic_ms() -> int:
    """Return a clock that never goes back and includes suspended time.

    CLOCK_MONOTONIC stops while the VM is suspended, so a lease measured by it
    would still look valid after a suspension longer than the lease.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS


def wall_ms() -> int:
    """Return the Unix time; it may jump when the system clock is adjusted."""
    return time.time_ns() // NS_PER_MS


# Value of `monotonic_ms` at the first import of this module: the start of the
# process, apart from the imports before this one.
PROCESS_STARTED_MS = monotonic_ms()
