"""Tests of the metrics that a collector reads."""

import urllib3

from wisteriawall.observability import exposition


def test_counters_and_histograms_are_served_as_text() -> None:
    served = exposition.Exposition(address="127.0.0.1:0")
    served.start()
    try:
        served.count("refused.503", 2)
        served.gauge("in_progress", 3)
        served.time_ms("first-token", 150)
        text = urllib3.PoolManager().request(
            "GET", f"http://{served.address}/metrics"
        )
    finally:
        served.close()
    lines = text.data.decode().splitlines()
    assert 'wisteriawall_events_total{name="refused.503"} 2.0' in lines
    assert 'wisteriawall_value{name="in_progress"} 3.0' in lines
    bucket = 'wisteriawall_duration_ms_bucket{le="200.0",name="first-token"}'
    assert f"{bucket} 1.0" in lines
