"""Tests of metrics over UDP."""

from collections.abc import Callable
import socket

import pytest

from wisteriawall.observability import metrics


@pytest.mark.parametrize(
    ("send", "datagram"),
    [
        pytest.param(
            lambda m: m.count("ok", 2), b"agent.r_1.ok:2|c", id="count"
        ),
        pytest.param(
            lambda m: m.gauge("running", 3),
            b"agent.r_1.running:3|g",
            id="gauge",
        ),
        pytest.param(
            lambda m: m.time_ms("first", 4),
            b"agent.r_1.first:4.000000|ms",
            id="timer",
        ),
    ],
)
def test_collector_receives_one_datagram(
    send: Callable[[metrics.Metrics], None], datagram: bytes
) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as collector:
        collector.bind(("127.0.0.1", 0))
        collector.settimeout(5.0)
        address = f"127.0.0.1:{collector.getsockname()[1]}"
        sent = metrics.make(address=address, part="agent.r.1")
        send(sent)
        assert collector.recv(512) == b"wisteriawall." + datagram
        sent.close()


@pytest.mark.parametrize(
    "address", ["", "127.0.0.1:9"], ids=["disabled", "missing"]
)
def test_missing_collector_raises_nothing(address: str) -> None:
    sent = metrics.make(address=address, part="entry.e1")
    for _ in range(3):
        sent.count("requests")
    sent.close()
