"""Tests of the Prometheus metrics served over HTTP."""

import urllib3

from wisteriawall.observability import prometheus


def test_counters_and_histograms_are_served_as_text() -> None:
    exposed_metrics = prometheus.PrometheusMetrics(address="127.0.0.1:0")
    exposed_metrics.start()
    try:
        exposed_metrics.count("refused.503", 2)
        exposed_metrics.set_gauge("in_progress", 3)
        exposed_metrics.record_duration_ms("first-token", 150)
        response = urllib3.PoolManager().request(
            "GET", f"http://{exposed_metrics.address}/metrics"
        )
    finally:
        exposed_metrics.close()
    lines = response.data.decode().splitlines()
    assert 'wisteriawall_events_total{name="refused.503"} 2.0' in lines
    assert 'wisteriawall_value{name="in_progress"} 3.0' in lines
    bucket = 'wisteriawall_duration_ms_bucket{le="200.0",name="first-token"}'
    assert f"{bucket} 1.0" in lines
