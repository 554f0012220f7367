"""Fleets whose gateways lose contact with control keep the retry budget.

The rule counts the repeats of all gateways, in touch with control or not.
"""

from collections.abc import Iterator

import pytest
from support import budget_fleet as fleet

SLACK = 58
# Gateways that start again don't know the retries that they made before. What
# is reserved for them is used by nothing else.
RESERVED_PART = 0.5


def cut_rounds(
    gateways: int, groups: int, interval_ms: int, *, leaders: bool
) -> Iterator[fleet.Event]:
    """Yield cuts that leave another group in touch with control each time.

    With `leaders`, another leader is elected at each cut.
    """
    bounds = [number * gateways // groups for number in range(groups + 1)]
    for step, at_ms in enumerate(range(20_000, 50_000, interval_ms)):
        first, end = bounds[step % groups], bounds[step % groups + 1]
        to_ms = at_ms + interval_ms
        yield fleet.Silence(end=first, from_ms=at_ms, to_ms=to_ms)
        yield fleet.Silence(first=end, end=gateways, from_ms=at_ms, to_ms=to_ms)
        if leaders:
            yield fleet.LeaderChange(at_ms=at_ms)


def kills(first: int, end: int) -> Iterator[fleet.Event]:
    """Yield kills in series."""
    for at_ms in range(20_000, 50_000, 2_500):
        yield fleet.Kill(first=first, end=end, at_ms=at_ms)


def leader_changes(interval_ms: int) -> Iterator[fleet.Event]:
    """Yield elections in series."""
    for at_ms in range(20_000, 50_000, interval_ms):
        yield fleet.LeaderChange(at_ms=at_ms)


def day(
    gateways: int, *events: fleet.Event, per_s: float = 20, **more: bool
) -> fleet.Day:
    """Return a day with a steady load."""
    return fleet.Day(
        gateways=gateways,
        requests_per_s={0: per_s},
        events=events,
        slack=SLACK,
        **more,
    )


@pytest.mark.parametrize("gateways", [21, 33, 60])
@pytest.mark.parametrize("share", [0.5, 0.7])
@pytest.mark.parametrize("length_ms", [8_000, 20_000])
@pytest.mark.parametrize("per_s", [20, 100])
def test_gateways_in_touch_take_the_shares_of_those_that_are_not(
    gateways: int, share: float, length_ms: int, per_s: float
) -> None:
    """Control forgot a silent gateway, which went on to use its share."""
    silence = fleet.Silence(
        end=int(share * gateways), from_ms=20_000, to_ms=20_000 + length_ms
    )
    assert (
        fleet.worst_window(
            day(gateways, silence, per_s=per_s),
            seed=0,
            slack=SLACK * RESERVED_PART,
        )
        <= 1
    )


@pytest.mark.parametrize(
    "fleet_day",
    [
        pytest.param(day(33), id="calm"),
        pytest.param(
            day(21, *cut_rounds(21, 3, 5_000, leaders=False)),
            id="cut-in-turn",
        ),
        pytest.param(
            day(33, *cut_rounds(33, 4, 2_500, leaders=True)),
            id="cut-in-turn-with-elections",
        ),
        pytest.param(
            day(60, *cut_rounds(60, 4, 2_500, leaders=True), per_s=40),
            id="many-cut-in-turn-with-elections",
        ),
        pytest.param(
            day(
                33,
                fleet.Freeze(end=23, from_ms=20_000, to_ms=35_000),
                fleet.Silence(end=23, from_ms=35_000, to_ms=45_000),
            ),
            id="frozen-and-thawed-without-contact",
        ),
        pytest.param(
            day(33, *leader_changes(2_300), per_s=100), id="elections"
        ),
        pytest.param(
            day(33, fleet.Silence(end=23, from_ms=12_000, to_ms=75_000)),
            id="back-after-the-lease",
        ),
        pytest.param(
            day(33, fleet.Silence(end=33, from_ms=12_000, to_ms=55_000)),
            id="all-back-after-the-lease",
        ),
    ],
)
def test_loss_of_contact_uses_what_is_reserved_for_restarts(
    fleet_day: fleet.Day,
) -> None:
    """Shares of gateways that knew different numbers added up to more."""
    worst = fleet.worst_window(fleet_day, seed=0, slack=SLACK * RESERVED_PART)
    assert worst <= 1


@pytest.mark.parametrize(
    "fleet_day",
    [
        pytest.param(
            day(33, *cut_rounds(33, 4, 2_500, leaders=True), *kills(0, 33)),
            id="cut-in-turn-and-all-killed",
        ),
        pytest.param(
            day(
                33,
                fleet.Silence(end=23, from_ms=20_000, to_ms=50_000),
                *kills(0, 33),
            ),
            id="part-cut-and-all-killed",
        ),
        pytest.param(
            day(
                33,
                fleet.Silence(end=23, from_ms=20_000, to_ms=50_000),
                *leader_changes(4_000),
                *kills(23, 33),
                per_s=40,
            ),
            id="others-killed-with-elections",
        ),
        pytest.param(
            day(
                21,
                fleet.Silence(end=14, from_ms=20_000, to_ms=50_000),
                fleet.Replace(first=14, end=21, at_ms=26_000),
                per_s=40,
            ),
            id="others-replaced",
        ),
        pytest.param(
            day(
                33,
                *cut_rounds(33, 3, 2_500, leaders=True),
                fleet.Freeze(first=5, end=12, from_ms=31_000, to_ms=37_000),
                fleet.Kill(first=12, end=20, at_ms=33_000),
                fleet.Replace(first=20, end=28, at_ms=36_000),
            ),
            id="mix",
        ),
        pytest.param(day(33, is_first_start=True, per_s=200), id="first-start"),
    ],
)
def test_restarts_without_contact_break_the_rule(fleet_day: fleet.Day) -> None:
    """Shares of other numbers came on top of those after restarts."""
    assert fleet.worst_window(fleet_day, seed=0, slack=SLACK) <= 1


def test_first_start_has_no_slack() -> None:
    """A rejected payment got 503 in the first seconds of a deployment."""
    first = day(21, is_first_start=True, per_s=40)
    assert fleet.repeats_until(first, seed=0, end_ms=1_000) >= SLACK // 4
