"""Prometheus metrics of a process, served over HTTP."""

from typing import final

import prometheus_client

from wisteriawall.web import memory_budget
from wisteriawall.web import server as server_lib

__all__ = ["PrometheusMetrics"]

# From short answers of a few milliseconds to streams of several seconds.
BUCKET_BOUNDS_MS = (
    5,
    10,
    25,
    50,
    100,
    200,
    400,
    600,
    1_000,
    2_000,
    4_000,
    8_000,
)
SERVER_THREADS = 2


@final
class PrometheusMetrics:
    """Metrics of one process, served at `http://ADDRESS/metrics`.

    Args:
        address: HOST:PORT to listen on; port 0 chooses a free port. The
            attribute `address` has the chosen one.
        memory: Budget of the process's connections; None for one of its own.
    """

    def __init__(
        self,
        *,
        address: str,
        memory: memory_budget.MemoryBudget | None = None,
    ) -> None:
        registry = prometheus_client.CollectorRegistry()
        self._registry = registry
        self._counters = prometheus_client.Counter(
            "wisteriawall_events", "Events by name", ["name"], registry=registry
        )
        self._gauges = prometheus_client.Gauge(
            "wisteriawall_value", "Values by name", ["name"], registry=registry
        )
        self._histograms = prometheus_client.Histogram(
            "wisteriawall_duration_ms",
            "Durations by name, in milliseconds",
            ["name"],
            registry=registry,
            buckets=BUCKET_BOUNDS_MS,
        )
        self._server = server_lib.HttpServer(
            address=address,
            app=self._serve,
            threads=SERVER_THREADS,
            budget=memory,
            drops_body=True,
        )
        self.address = self._server.address

    def start(self) -> None:
        """Start the HTTP server."""
        self._server.start()

    def count(self, name: str, value: int = 1) -> None:
        """Add `value` to the counter `name`."""
        self._counters.labels(name).inc(value)

    def set_gauge(self, name: str, value: float) -> None:
        """Set the gauge `name` to `value`."""
        self._gauges.labels(name).set(value)

    def record_duration_ms(self, name: str, value: float) -> None:
        """Add `value`, in milliseconds, to the histogram `name`."""
        self._histograms.labels(name).observe(value)

    def close(self) -> None:
        """Stop the HTTP server."""
        self._server.stop()

    def _serve(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        server_lib.read_body(environ)
        return server_lib.send_response(
            start_response,
            status=200,
            body=prometheus_client.generate_latest(self._registry),
            content_type=prometheus_client.CONTENT_TYPE_LATEST,
        )
