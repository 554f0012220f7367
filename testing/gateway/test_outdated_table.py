"""Tests of a gateway that knows of a newer routing table than its own."""

import random

import pytest

from wisteriawall.config import route_table
from wisteriawall.gateway import events
from wisteriawall.gateway import protocol
from wisteriawall.gateway import reducer
from wisteriawall.gateway import state as state_lib
from wisteriawall.policy import retry_window


def _update(number: int) -> events.ControlUpdate:
    return events.ControlUpdate(
        table=route_table.RouteTable(number=number, routes=[], services=[]),
        upstreams=None,
        gateway_count=1,
        now_ms=0,
        newest_table=number,
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
    gateway = state_lib.Gateway(
        name="g",
        zone="z",
        random=random.Random(1),
        tuning=state_lib.Tuning(),
        retries=retry_window.RetryWindow(window_ms=10_000, ratio=0.5, slack=50),
    )
    head = protocol.RequestHead(attempt_id="r", remaining_ms=999, prompt=None)
    arrived = events.Arrived(
        request_key=1,
        request_id="r",
        host="h",
        path="/new/x",
        head=head,
        now_ms=1,
    )
    effects = [
        effect
        for event in [*earlier, arrived]
        for effect in reducer.reduce(gateway, event)
    ]
    refusal = effects[-1]
    assert isinstance(refusal, events.Refuse)
    assert refusal.refusal.status == status
