"""Wait of requests that arrive before the gateway knows what it serves.

After a loss of power all gateways start at once, and requests arrive before the
routing table and the list of runners. Callers retry once only, so a request
waits for both. A caller whose deadline is close is refused while it can still
reach another gateway.
"""

import threading
from typing import final

__all__ = ["StartGate", "longest_wait_ms"]

MS_PER_S = 1_000
# Two thirds of the remaining time are left for a retry, or for the answer.
WAIT_SHARE = 1 / 3
# Gateways had table and runners 0.9 to 1.2 s after they started: the first
# leader is elected only when the lease of the previous one has expired.
MAX_WAIT_MS = 1_200


def longest_wait_ms(remaining_ms: int) -> int:
    """Return how long a request may wait.

    Args:
        remaining_ms: Time that its caller still waits.
    """
    return min(MAX_WAIT_MS, max(0, int(remaining_ms * WAIT_SHARE)))


@final
class StartGate:
    """Holds requests back until the gateway can serve.

    Args:
        max_waiting: Requests that may wait at once, as each occupies a thread.
            Further ones are not held back.
    """

    def __init__(self, *, max_waiting: int) -> None:
        self._opened = threading.Event()
        self._places = threading.Semaphore(max_waiting)

    def open(self) -> None:
        """Let all requests pass, now and later."""
        self._opened.set()

    def wait(self, remaining_ms: int) -> None:
        """Block until the gate opens, for at most the request's longest wait.

        Args:
            remaining_ms: Time that the request's caller still waits.
        """
        if self._opened.is_set() or not self._places.acquire(blocking=False):
            return
        try:
            self._opened.wait(longest_wait_ms(remaining_ms) / MS_PER_S)
        finally:
            self._places.release()
