"""Tests of a gateway that knows of a newer routing table than its own."""

import random

import pytest

from wisteriawall.config import route_table
from wisteriawall.gateway import events
from wisteriawall.gateway import protocol
from wisteriawall.gateway import reducer
from wisteriawall.gateway import state as state_lib
from wisteriawall.policy import retry_window
from wisteriawall.web import refusal as refusal_lib


def _update(
    number: int, now_ms: int = 0, *, age_ms: int = 0
) -> events.ControlUpdate:
    return events.ControlUpdate(
        table=route_table.RouteTable(number=number, routes=[], services=[]),
        upstreams=None,
        gateway_count=1,
        now_ms=now_ms,
        newest_table=number,
        confirmed_ms=now_ms - age_ms,
    )


@pytest.mark.parametrize(
    ("earlier", "status"),
    [
        pytest.param([_update(1)], 404, id="newest"),
        pytest.param(
            [_update(1), events.TableAnnounced(number=4)], 503, id="announced"
        ),
        pytest.param(
            [_update(1), events.TableAnnounced(number=4), _update(4)],
            404,
            id="fetched",
        ),
        # An answer of an earlier poll says less.
        pytest.param(
            [
                _update(1),
                events.TableAnnounced(number=4),
                events.TableAnnounced(number=1),
            ],
            503,
            id="earlier-answer",
        ),
    ],
)
def test_route_of_a_table_not_fetched_yet_is_not_denied(
    earlier: list[events.Event], status: int
) -> None:
    assert _status([*earlier, _arrived(1)]) == status


CONFIG_MS = 700


@pytest.mark.parametrize(
    ("earlier", "now_ms", "status"),
    [
        pytest.param([_update(1)], CONFIG_MS, 404, id="confirmed"),
        pytest.param([_update(1)], CONFIG_MS + 1, 503, id="unproved"),
        pytest.param(
            [_update(1), _update(1, CONFIG_MS)],
            2 * CONFIG_MS,
            404,
            id="confirmed-again",
        ),
        # Control may have answered before a pause of the gateway.
        pytest.param(
            [_update(1), _update(1, CONFIG_MS, age_ms=1)],
            2 * CONFIG_MS,
            503,
            id="old-answer",
        ),
    ],
)
def test_route_is_not_denied_by_a_table_that_may_be_outdated(
    earlier: list[events.Event], now_ms: int, status: int
) -> None:
    """404 was answered though the route was there, while polls waited."""
    assert _status([*earlier, _arrived(now_ms)]) == status


def _arrived(now_ms: int) -> events.Arrived:
    head = protocol.RequestHead(attempt_id="r", remaining_ms=999, prompt=None)
    return events.Arrived(
        request_key=1,
        request_id="r",
        host="h",
        path="/new/x",
        head=head,
        now_ms=now_ms,
    )


def _status(submitted: list[events.Event]) -> int:
    gateway = state_lib.Gateway(
        name="g",
        zone="z",
        random=random.Random(1),
        tuning=state_lib.Tuning(config_ms=CONFIG_MS),
        retries=retry_window.RetryWindow(window_ms=10_000, ratio=0.5, slack=50),
    )
    effects = [
        effect
        for event in submitted
        for effect in reducer.reduce(gateway, event)
    ]
    refusal = effects[-1]
    assert isinstance(refusal, events.Refuse)
    assert refusal.refusal.run is refusal_lib.RunState.NOT_RUN
    assert (refusal.refusal.retry_after_ms > 0) is (
        refusal.refusal.status == 503
    )
    return refusal.refusal.status
