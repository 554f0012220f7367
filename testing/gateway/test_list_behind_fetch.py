"""Test of an answer of control that names a table to fetch."""

import contextlib
import io
import threading

import pytest
from support import platform_site

from wisteriawall.demo import cluster
from wisteriawall.gateway import shell as gateway_shell
from wisteriawall.gateway import state as gateway_state
from wisteriawall.gateway import table_relay
from wisteriawall.observability import decisions
from wisteriawall.observability import metrics
from wisteriawall.platform import headers
from wisteriawall.policy import retry_window
from wisteriawall.wire import envelope
from wisteriawall.wire import gateway_messages
from wisteriawall.wire import transport

RUNNER = gateway_messages.Upstream(
    upstream_id="i-1",
    service="s",
    address="127.0.0.1:1",
    zone="z",
    slots=6,
)


def _start_gateway(control_address: str) -> gateway_shell.GatewayShell:
    gateway = gateway_shell.GatewayShell(
        identity=gateway_shell.Identity(
            name="g",
            zone="z",
            incarnation=1,
            listen_address="127.0.0.1:0",
            ready_address="127.0.0.1:0",
            load_address="127.0.0.1:0",
            table_address="127.0.0.1:0",
        ),
        control_address_by_replica={"c1": control_address},
        key=platform_site.KEY,
        dialect=headers.PlatformDialect(),
        budget=retry_window.RetryBudgetSettings(
            window_ms=10_000, ratio=0.2, slack=60
        ),
        tuning=gateway_state.Tuning(),
        metrics=metrics.NullMetrics(),
        log=decisions.DecisionLog(process="g", stream=io.BytesIO()),
        grace_ms=platform_site.GRACE_MS,
        unready_ms=1,
    )
    gateway.start()
    return gateway


def test_list_of_runners_waits_for_a_table_whose_source_is_gone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Requests went on to runners that left, until the fetch had timed out."""
    monkeypatch.setattr(
        table_relay, "PART_TIMEOUT_MS", round(1_000 * platform_site.WAIT_S)
    )
    codec: envelope.Codec[object] = envelope.Codec(
        message_type=object,
        key=platform_site.KEY,
        sender=envelope.Sender("c1", 1),
    )
    is_fetching, released = threading.Event(), threading.Event()

    def withhold(_: bytes) -> None:
        is_fetching.set()
        released.wait()

    source_address, control_address = (
        cluster.unused_loopback_address() for _ in range(2)
    )
    reply = gateway_messages.Followed(
        0,
        3,
        None,
        gateway_messages.UpstreamList(1, 1, [RUNNER]),
        [],
        {},
        table_source=source_address,
        table_source_number=3,
    )
    source = transport.RpcServer(address=source_address, handler=withhold)
    control = transport.RpcServer(
        address=control_address, handler=lambda _: codec.encode(reply)
    )
    with contextlib.ExitStack() as stack:
        for server in (source, control):
            stack.callback(server.close)
            server.start()
        gateway = _start_gateway(control_address)
        stack.callback(gateway.stop)
        stack.callback(released.set)
        assert is_fetching.wait(platform_site.WAIT_S)
        assert list(gateway.upstream_by_id) == ["i-1"]
