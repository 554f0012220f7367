"""Sends datagrams that may wait, at a rate that leaves room for others."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import logging
import threading
from typing import TypeAlias
from typing import final

__all__ = ["PacedSender"]

_LOG = logging.getLogger("gateway")

# Less than half of the smallest link, of 3.75 Mbit/s. What the gateways of the
# largest deployment tell each other about engines takes about a second.
BYTES_PER_S = 200_000
# About 4 MB. Further datagrams are dropped, as on the network.
MAX_QUEUED = 3_000
CLOSE_TIMEOUT_S = 0.2

Address: TypeAlias = tuple[str, int]


@final
class PacedSender:
    """Sends queued datagrams one by one, with pauses.

    Load events don't pass through it, and wait behind one datagram at most.

    Args:
        send: Sends a datagram to an address.
    """

    def __init__(self, send: Callable[[bytes, Address], None]) -> None:
        self._send = send
        self._queue: collections.deque[tuple[bytes, Address]] = (
            collections.deque()
        )
        self._has_queued = threading.Event()
        self._closing = threading.Event()
        self._thread = threading.Thread(
            target=self._send_queued, name="peer-load-paced", daemon=True
        )

    def start(self) -> None:
        """Start the thread that sends."""
        self._thread.start()

    def close(self) -> None:
        """Stop sending; queued datagrams are dropped."""
        self._closing.set()
        self._has_queued.set()
        if self._thread.is_alive():
            self._thread.join(timeout=CLOSE_TIMEOUT_S)

    def queue(self, data: bytes, addresses: Iterable[Address]) -> None:
        """Queue a datagram for each address."""
        for address in addresses:
            if len(self._queue) < MAX_QUEUED:
                self._queue.append((data, address))
        self._has_queued.set()

    def _send_queued(self) -> None:
        while not self._closing.is_set():
            self._has_queued.wait()
            self._has_queued.clear()
            while self._queue and not self._closing.is_set():
                data, address = self._queue.popleft()
                try:
                    self._send(data, address)
                except Exception:
                    # Nothing but this thread would send the next ones.
                    _LOG.exception("gateway: sending a datagram failed")
                self._closing.wait(len(data) / BYTES_PER_S)
