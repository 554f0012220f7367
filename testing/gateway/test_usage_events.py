"""Tests of which attempts a gateway counts as usage, and when."""

import random

import pytest
from testing.gateway import test_reducer

from wisteriawall.config import route_table
from wisteriawall.gateway import events
from wisteriawall.gateway import protocol
from wisteriawall.gateway import reducer
from wisteriawall.gateway import state as state_lib
from wisteriawall.gateway import usage
from wisteriawall.gateway import usage_events as lib
from wisteriawall.policy import retry_window
from wisteriawall.wire import gateway_messages

KINDS = list(route_table.RequestKind)
RUNNER = gateway_messages.Upstream(
    upstream_id="u", service="s", address="u:1", zone="z", slots=6
)


def _gateway(kind: route_table.RequestKind) -> state_lib.Gateway:
    """Return a gateway with a request of an account, sent at 1,000 ms."""
    gateway = state_lib.Gateway(
        name="g",
        zone="z",
        random=random.Random(1),
        tuning=state_lib.Tuning(),
        retries=retry_window.RetryWindow(window_ms=10_000, ratio=1.0, slack=9),
        usage=usage.UsageCounts(window_ms=5_000),
    )
    route = next(r for r in test_reducer.TABLE.routes if r.kind is kind)
    gateway.request_by_key[1] = state_lib.Request(
        request_key=1,
        request_id="a",
        head=protocol.RequestHead(
            attempt_id="a", remaining_ms=5_000, prompt=None
        ),
        route=route,
        service=test_reducer.TABLE.services[0],
        arrived_ms=0,
        account="acme",
        attempts=1,
        current_send=protocol.Send(
            upstream=RUNNER,
            phase=protocol.Phase.WHOLE,
            attempt=1,
            priority_class=0,
        ),
        sent_ms=1_000,
    )
    return gateway


def _report(
    gateway: state_lib.Gateway,
) -> tuple[dict[int, dict[str, int]], int]:
    report = lib.report(gateway, 1_700, 11_700)
    assert report is not None
    return report.count_by_account_by_window, report.open_ms


@pytest.mark.parametrize("kind", KINDS)
def test_attempt_counts_once_and_the_next_one_again(
    kind: route_table.RequestKind,
) -> None:
    gateway = _gateway(kind)
    began = events.RunBegan(request_key=1, began_wall_ms=11_000)
    for _ in range(3):
        list(reducer.reduce(gateway, began))
    assert _report(gateway) == ({2: {"acme": 1}}, 0)
    gateway.request_by_key[1].attempts = 2
    list(reducer.reduce(gateway, began))
    assert _report(gateway) == ({2: {"acme": 2}}, 0)


@pytest.mark.parametrize("kind", KINDS)
def test_request_that_may_count_in_its_past_is_reported_as_open(
    kind: route_table.RequestKind,
) -> None:
    """Its window was fixed before the answer showed that it ran."""
    is_stream = kind is route_table.RequestKind.STREAM
    assert _report(_gateway(kind)) == ({}, 0 if is_stream else 700)
