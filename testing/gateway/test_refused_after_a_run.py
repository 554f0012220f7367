"""Tests of the refusals of requests that an earlier runner may have run."""

import pytest
from support import crashing_fleet

from wisteriawall.gateway import events
from wisteriawall.gateway import protocol
from wisteriawall.gateway import reducer
from wisteriawall.web import refusal as refusal_lib


@pytest.mark.parametrize(
    ("first", "unreachable", "expected"),
    [
        pytest.param(refusal_lib.RunState.UNKNOWN, False, 502, id="ran"),
        pytest.param(refusal_lib.RunState.NOT_RUN, False, 503, id="rejected"),
        pytest.param(refusal_lib.RunState.NOT_RUN, True, 503, id="unreachable"),
    ],
)
def test_refusal_says_not_run_only_if_no_runner_may_have_run(
    first: refusal_lib.RunState, unreachable: bool, expected: int
) -> None:
    """A read that ended with its runner was answered 503, as not run."""
    fleet = crashing_fleet.CrashingFleet(gateways=1, runners=2)
    fleet.play(1)
    gateway = fleet.gateway("g000")
    arrived = events.Arrived(
        request_key=1,
        request_id="q",
        host="h",
        path="/",
        head=protocol.RequestHead(
            attempt_id="q", remaining_ms=5_000, prompt=None
        ),
        now_ms=10,
        fingerprint="f",
    )
    list(reducer.reduce(gateway, arrived))
    effects: list[events.Effect] = []
    for number, run in enumerate((first, refusal_lib.RunState.NOT_RUN)):
        failed = events.PhaseFailed(
            request_key=1,
            run=run,
            reason="test",
            now_ms=20 + number,
            unreachable=unreachable,
        )
        effects = list(reducer.reduce(gateway, failed))
    refusals = [e.refusal for e in effects if isinstance(e, events.Refuse)]
    assert [r.status for r in refusals] == [expected]
    is_not_run = refusals[0].run is refusal_lib.RunState.NOT_RUN
    assert is_not_run is (expected == 503)
