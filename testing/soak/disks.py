"""Disks of control replicas that are slow, or stall for some seconds.

A replica's process waits before each of its syncs. Nothing else is changed, so
what was synced is on the disk. A stall is named by a file beside the replica's
data folder, which holds its end as a time of `time.monotonic`.
"""

from collections.abc import Callable
import json
import os
import pathlib
import random
import sys
import time

__all__ = ["NOTE", "environment", "patch", "stall"]

SYNCS_VARIABLE = "SOAK_SLOW_SYNCS_MS"
STALL_VARIABLE = "SOAK_STALL_FILE"
POLL_S = 0.01
MS_PER_S = 1_000
NO_DELAY = (0.0, 0.0)
# The disk of this machine may be slow too: such syncs are noted in the log.
NOTED_MS = 100
NOTE = "real-sync"


def environment(
    syncs_ms: tuple[float, float] | None, stall_path: pathlib.Path
) -> dict[str, str]:
    """Return the variables that tell a replica how slow its disk is."""
    low_ms, high_ms = syncs_ms or NO_DELAY
    return {
        SYNCS_VARIABLE: f"{low_ms},{high_ms}",
        STALL_VARIABLE: str(stall_path),
    }


def stall(path: pathlib.Path, until_s: float) -> None:
    """Have the syncs that begin from now on last until a time at least."""
    written = path.with_suffix(".new")
    written.write_text(str(until_s))
    written.replace(path)


def patch() -> None:
    """Slow the syncs of this process, if its environment says so."""
    if SYNCS_VARIABLE not in os.environ:
        return
    low_ms, high_ms = map(float, os.environ[SYNCS_VARIABLE].split(","))
    stall_path = pathlib.Path(os.environ[STALL_VARIABLE])

    def slowed(sync: Callable[[int], None]) -> Callable[[int], None]:
        def sync_late(descriptor: int) -> None:
            time.sleep(random.uniform(low_ms, high_ms) / MS_PER_S)
            while time.monotonic() < _stalled_until_s(stall_path):
                time.sleep(POLL_S)
            begun_s = time.monotonic()
            sync(descriptor)
            took_ms = round((time.monotonic() - begun_s) * MS_PER_S)
            if took_ms >= NOTED_MS:
                t = round(time.time() * MS_PER_S)
                note = {"t": t, "decision": NOTE, "ms": took_ms}
                print(json.dumps(note), file=sys.stderr, flush=True)

        return sync_late

    os.fsync = slowed(os.fsync)  # type: ignore[assignment]
    os.fdatasync = slowed(os.fdatasync)  # type: ignore[assignment]


def _stalled_until_s(path: pathlib.Path) -> float:
    try:
        return float(path.read_text())
    except FileNotFoundError:
        return 0.0
