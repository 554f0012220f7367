"""Counters, gauges and timers sent to a statsd collector over UDP.

Without a collector's address no metrics are sent. If the collector does not
run, the kernel drops the datagrams; no call blocks or raises.
"""

from typing import Protocol
from typing import final

import statsd

__all__ = ["PREFIX", "Metrics", "NoMetrics", "StatsdMetrics", "make"]

PREFIX = "wisteriawall"


class Metrics(Protocol):
    """Metrics of a program; names have dots, for example `requests.ok`."""

    def count(self, name: str, value: int = 1) -> None:
        """Add `value` to the counter `name`."""

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge `name` to `value`."""

    def time_ms(self, name: str, value: float) -> None:
        """Record one duration of `value` milliseconds."""

    def close(self) -> None:
        """Release the socket."""


@final
class NoMetrics:
    """Metrics that are discarded, when there is no collector."""

    __slots__ = ()

    def count(self, name: str, value: int = 1) -> None:
        """Discard the value."""

    def gauge(self, name: str, value: float) -> None:
        """Discard the value."""

    def time_ms(self, name: str, value: float) -> None:
        """Discard the value."""

    def close(self) -> None:
        """Do nothing."""


@final
class StatsdMetrics:
    """Metrics sent to a statsd collector, one datagram per call.

    Args:
        address: HOST:PORT of the collector.
        part: Program and process name, such as `agent.r1`; they follow the
            prefix in the name of every metric.
    """

    __slots__ = ("_client",)

    def __init__(self, *, address: str, part: str) -> None:
        host, _, port = address.rpartition(":")
        self._client = statsd.StatsClient(
            host=host, port=int(port), prefix=f"{PREFIX}.{part}"
        )

    def count(self, name: str, value: int = 1) -> None:
        """Add `value` to the counter `name`."""
        self._client.incr(name, value)

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge `name` to `value`."""
        self._client.gauge(name, value)

    def time_ms(self, name: str, value: float) -> None:
        """Record one duration of `value` milliseconds."""
        self._client.timing(name, value)

    def close(self) -> None:
        """Release the socket."""
        self._client.close()


def make(*, address: str, part: str) -> Metrics:
    """Return the metrics of a process; an empty address discards them.

    Args:
        address: HOST:PORT of the statsd collector, or empty.
        part: Program and process name, such as `agent.r1`.
    """
    if not address:
        return NoMetrics()
    # Dots separate levels of a metric's name: one in the process name would
    # add a level.
    program, _, name = part.partition(".")
    part = f"{program}.{name.replace('.', '_')}" if name else program
    return StatsdMetrics(address=address, part=part)
