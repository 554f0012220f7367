"""Counters, gauges and timers sent to a statsd collector over UDP.

Metrics are off unless a collector's address is set. A missing collector
costs one datagram that the kernel drops; no call blocks or raises.
"""

from typing import Protocol
from typing import final

import statsd

__all__ = ["PREFIX", "Metrics", "NoMetrics", "StatsdMetrics", "make"]

PREFIX = "wisteriawall"


class Metrics(Protocol):
    """What a program counts and times; names are dotted, as `requests.ok`."""

    def count(self, name: str, value: int = 1) -> None:
        """Add `value` to a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    def time_ms(self, name: str, value: float) -> None:
        """Record one duration in milliseconds."""

    def close(self) -> None:
        """Release the socket."""


@final
class NoMetrics:
    """Metrics that go nowhere."""

    __slots__ = ()

    def count(self, name: str, value: int = 1) -> None:
        """Drop a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Drop a gauge."""

    def time_ms(self, name: str, value: float) -> None:
        """Drop a duration."""

    def close(self) -> None:
        """Do nothing."""


@final
class StatsdMetrics:
    """Metrics sent to a collector, one datagram each.

    Args:
        address: Host and port of the collector.
        part: Program and name, which follow the prefix in every metric.
    """

    __slots__ = ("_client",)

    def __init__(self, *, address: str, part: str) -> None:
        host, _, port = address.rpartition(":")
        self._client = statsd.StatsClient(
            host=host, port=int(port), prefix=f"{PREFIX}.{part}"
        )

    def count(self, name: str, value: int = 1) -> None:
        """Add `value` to a counter."""
        self._client.incr(name, value)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._client.gauge(name, value)

    def time_ms(self, name: str, value: float) -> None:
        """Record one duration in milliseconds."""
        self._client.timing(name, value)

    def close(self) -> None:
        """Release the socket."""
        self._client.close()


def make(*, address: str, part: str) -> Metrics:
    """Return metrics for `part`, as `agent.r1`; no address sends none."""
    if not address:
        return NoMetrics()
    # Dots separate levels, so a name's own dots would misplace its metrics.
    program, _, name = part.partition(".")
    part = f"{program}.{name.replace('.', '_')}" if name else program
    return StatsdMetrics(address=address, part=part)
