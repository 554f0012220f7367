"""Counters and histograms, served as text for a collector that asks."""

from typing import final

import prometheus_client

from wisteriawall.web import server as server_lib

__all__ = ["Exposition"]

# From a plain answer's milliseconds to a long stream's seconds.
BUCKETS_MS = (5, 10, 25, 50, 100, 200, 400, 600, 1_000, 2_000, 4_000, 8_000)
SERVER_THREADS = 2


@final
class Exposition:
    """Metrics of one process at `http://ADDRESS/metrics`.

    Args:
        address: Host and port to serve; port 0 takes a free one.
    """

    def __init__(self, *, address: str) -> None:
        registry = prometheus_client.CollectorRegistry()
        self._registry = registry
        self._counts = prometheus_client.Counter(
            "wisteriawall_events", "Events by name", ["name"], registry=registry
        )
        self._values = prometheus_client.Gauge(
            "wisteriawall_value", "Values by name", ["name"], registry=registry
        )
        self._durations = prometheus_client.Histogram(
            "wisteriawall_duration_ms",
            "Durations by name, in milliseconds",
            ["name"],
            registry=registry,
            buckets=BUCKETS_MS,
        )
        self._http = server_lib.HttpServer(
            address=address, app=self._serve, threads=SERVER_THREADS
        )
        self.address = self._http.address

    def start(self) -> None:
        """Start serving."""
        self._http.start()

    def count(self, name: str, value: int = 1) -> None:
        """Add `value` to a counter."""
        self._counts.labels(name).inc(value)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._values.labels(name).set(value)

    def time_ms(self, name: str, value: float) -> None:
        """Record one duration in milliseconds."""
        self._durations.labels(name).observe(value)

    def close(self) -> None:
        """Stop serving."""
        self._http.stop()

    def _serve(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        server_lib.read_body(environ)
        return server_lib.respond(
            start_response,
            status=200,
            body=prometheus_client.generate_latest(self._registry),
            content_type=prometheus_client.CONTENT_TYPE_LATEST,
        )
