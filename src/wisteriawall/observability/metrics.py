"""Counters, gauges and timers sent to a statsd collector over UDP.

Without a collector's address no metrics are sent. If the collector does not
run, the kernel drops the datagrams; no call blocks or raises.
"""

from typing import Protocol
from typing import final

import statsd

__all__ = ["PREFIX", "Metrics", "NullMetrics", "StatsdMetrics", "make_metrics"]

PREFIX = "wisteriawall"


class Metrics(Protocol):
    """Metrics of a program; names have dots, for example `requests.ok`."""

    def count(self, name: str, value: int = 1) -> None:
        """Add `value` to the counter `name`."""

    def set_gauge(self, name: str, value: float) -> None:
        """Set the gauge `name` to `value`."""

    def record_duration_ms(self, name: str, value: float) -> None:
        """Record one duration of `value` milliseconds."""

    def close(self) -> None:
        """Release the socket."""


@final
class NullMetrics:
    """Metrics that are discarded, when there is no collector."""

    __slots__ = ()

    def count(self, name: str, value: int = 1) -> None:
        """Discard the value."""

    def set_gauge(self, name: str, value: float) -> None:
        """Discard the value."""

    def record_duration_ms(self, name: str, value: float) -> None:
        """Discard the value."""

    def close(self) -> None:
        """Do nothing."""


@final
class StatsdMetrics:
    """Metrics sent to a statsd collector, one datagram per call.

    Args:
        address: HOST:PORT of the collector.
        process_name: Program and its name, such as `agent.r1`; they follow the
            prefix in the name of every metric.
    """

    __slots__ = ("_client",)

    def __init__(self, *, address: str, process_name: str) -> None:
        host, _, port = address.rpartition(":")
        self._client = statsd.StatsClient(
            host=host, port=int(port), prefix=f"{PREFIX}.{process_name}"
        )

    def count(self, name: str, value: int = 1) -> None:
        """Add `value` to the counter `name`."""
        self._client.incr(name, value)

    def set_gauge(self, name: str, value: float) -> None:
        """Set the gauge `name` to `value`."""
        self._client.gauge(name, value)

    def record_duration_ms(self, name: str, value: float) -> None:
        """Record one duration of `value` milliseconds."""
        self._client.timing(name, value)

    def close(self) -> None:
        """Release the socket."""
        self._client.close()


def make_metrics(*, address: str, process_name: str) -> Metrics:
    """Return the metrics of a process; an empty address discards them.

    Args:
        address: HOST:PORT of the statsd collector, or empty.
        process_name: Program and its name, such as `agent.r1`.
    """
    if not address:
        return NullMetrics()
    # Dots separate levels of a metric's name: one in the process name would
    # add a level.
    program, _, name = process_name.partition(".")
    process_name = f"{program}.{name.replace('.', '_')}" if name else program
    return StatsdMetrics(address=address, process_name=process_name)
