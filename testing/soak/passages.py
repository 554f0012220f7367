"""When the proxy passed the end of a runner's answer on to the gateway.

The proxy may be seconds late; a runner's clock only tells when it gave its
answer to the proxy.
"""

import collections
import threading
import time
from typing import final

from soak import records


@final
class Passage:
    """What a runner sent on one connection, as far as it was passed on."""

    def __init__(self) -> None:
        """Start without a byte."""
        self._lock = threading.Lock()
        self._passed_bytes = 0
        self._passed_s = 0.0
        self._is_closed = False
        self._waiting: collections.deque[tuple[float, records.Arrival]] = (
            collections.deque()
        )

    def pass_on(self, size: int) -> None:
        """Note that `size` more bytes were passed on."""
        with self._lock:
            self._passed_bytes += size
            self._passed_s = time.monotonic()
            self._settle()

    def close(self) -> None:
        """Note that nothing more is passed on, as the gateway has closed."""
        with self._lock:
            if not self._is_closed:
                self._is_closed = True
                self._passed_s = time.monotonic()
                self._settle()

    def expect(self, arrival: records.Arrival, end_bytes: float) -> None:
        """Have the moment recorded at which so many bytes were passed on.

        An answer that the runner didn't complete has no end.
        """
        with self._lock:
            arrival.passed_s = float("inf")
            self._waiting.append((end_bytes, arrival))
            self._settle()

    def _settle(self) -> None:
        while self._waiting and (
            self._is_closed or self._waiting[0][0] <= self._passed_bytes
        ):
            end_bytes, arrival = self._waiting.popleft()
            arrival.passed_s = self._passed_s
            arrival.is_passed = end_bytes <= self._passed_bytes


@final
class Passages:
    """The passages of all connections, by the ports at the runner's end."""

    def __init__(self) -> None:
        """Start without connections."""
        self._by_ports: dict[tuple[int, int], Passage] = {}

    def add(self, proxy_port: int, runner_port: int) -> Passage:
        """Return the passage of a new connection from the proxy to a runner."""
        passage = self._by_ports[proxy_port, runner_port] = Passage()
        return passage

    def get(self, proxy_port: int, runner_port: int) -> Passage | None:
        """Return the passage of a connection, None without a proxy."""
        return self._by_ports.get((proxy_port, runner_port))
