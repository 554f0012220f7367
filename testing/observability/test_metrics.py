"""Tests of `wisteriawall.observability.metrics`, with a collector on UDP."""

from collections.abc import Callable
import socket

import pytest

from wisteriawall.observability import metrics


@pytest.mark.parametrize(
    ("send", "datagram"),
    [
        pytest.param(
            lambda sender: sender.count("ok", 2),
            b"agent.r_1.ok:2|c",
            id="count",
        ),
        pytest.param(
            lambda sender: sender.set_gauge("running", 3),
            b"agent.r_1.running:3|g",
            id="gauge",
        ),
        pytest.param(
            lambda sender: sender.record_duration_ms("first", 4),
            b"agent.r_1.first:4.000000|ms",
            id="timer",
        ),
    ],
)
def test_collector_receives_one_datagram_per_call(
    send: Callable[[metrics.Metrics], None], datagram: bytes
) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as collector:
        collector.bind(("127.0.0.1", 0))
        collector.settimeout(5.0)
        address = f"127.0.0.1:{collector.getsockname()[1]}"
        sender = metrics.make_metrics(address=address, process_name="agent.r.1")
        send(sender)
        assert collector.recv(512) == b"wisteriawall." + datagram
        sender.close()


@pytest.mark.parametrize(
    "address", ["", "127.0.0.1:9"], ids=["no-address", "nothing-listens"]
)
def test_sending_without_a_collector_raises_nothing(address: str) -> None:
    sender = metrics.make_metrics(address=address, process_name="entry.e1")
    for _ in range(3):
        sender.count("requests")
    sender.close()
