"""Tests of `wisteriawall.policy.hearing`, with the counts of control."""

import pytest

from wisteriawall.control import load_events
from wisteriawall.policy import hearing as lib


@pytest.mark.parametrize(
    ("heard", "expected"),
    [
        pytest.param(0, False, id="none"),
        pytest.param(9, False, id="few"),
        pytest.param(14, True, id="most"),
        pytest.param(20, True, id="all"),
    ],
)
def test_gateway_that_gets_few_load_events_can_tell(
    heard: int, expected: bool
) -> None:
    hearing = lib.Hearing()
    hearing.note(sent=100, heard=0)
    assert hearing.note(sent=120, heard=heard) is not expected
    assert hearing.hears is expected


def test_few_events_tell_nothing() -> None:
    hearing = lib.Hearing()
    hearing.note(sent=0, heard=0)
    assert not hearing.note(sent=lib.MIN_EVENTS - 1, heard=0)
    assert hearing.hears


def test_gateway_can_tell_when_load_events_are_back() -> None:
    hearing = lib.Hearing()
    for sent, heard in ((0, 0), (50, 0), (100, 50)):
        hearing.note(sent=sent, heard=heard)
    assert hearing.hears


def test_new_leader_counts_from_the_start() -> None:
    hearing = lib.Hearing()
    hearing.note(sent=500, heard=500)
    assert not hearing.note(sent=30, heard=530)
    hearing.note(sent=60, heard=530)
    assert not hearing.hears


def test_control_counts_what_the_other_gateways_sent() -> None:
    counts = load_events.LoadEventCounts()

    def note(gateway: str, incarnation: int, sent: int, term: int = 1) -> int:
        return counts.note(gateway, incarnation, sent, term=term)

    # What they sent before the first report to this leader is not counted.
    assert note("a", 1, 100) == 0
    assert note("b", 1, 7) == 0
    assert note("a", 1, 110) == 0
    assert note("b", 1, 9) == 10
    assert note("a", 2, 3) == 2
    assert note("b", 1, 9) == 13
    assert note("old", 1, -1) == -1
    # In a later term of this leader others have counted meanwhile.
    assert note("a", 2, 900, term=4) == 0
    assert note("b", 1, 30, term=4) == 0
    assert note("a", 2, 905, term=4) == 0
    assert note("b", 1, 30, term=4) == 5
