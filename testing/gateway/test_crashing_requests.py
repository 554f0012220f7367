"""Tests of requests under which runners crash, with many gateways."""

import pytest
from support import crashing_fleet

from wisteriawall.config import route_table
from wisteriawall.control import suspect_blocks

CONTACT_MS = 3_000
SPENT_CRASHES = 3
ALLOWED_RETRIES = 3
DEADLY = "dead"
SOUND = "poll"
HOUR_MS = 3_600_000


def late_retries(fleet: crashing_fleet.CrashingFleet) -> int:
    """Return the retries that count: 3 s after the third crash, and later."""
    arrivals_ms = sorted(fleet.arrivals_ms[DEADLY])
    if len(arrivals_ms) <= SPENT_CRASHES:
        return 0
    third_ms = arrivals_ms[SPENT_CRASHES - 1] + crashing_fleet.RUN_MS
    return sum(at_ms > third_ms + CONTACT_MS for at_ms in arrivals_ms)


def play_storm(fleet: crashing_fleet.CrashingFleet, until_ms: int) -> None:
    """Repeat a deadly request among sound ones, half of them one poll."""
    fleet.deadly.add(DEADLY)
    for number, at_ms in enumerate(range(1_000, until_ms, 50)):
        fleet.ask(at_ms, SOUND if number % 2 else f"own{number}")
        if number % 8 == 0 and at_ms >= 5_000:
            fleet.ask(at_ms, DEADLY)
    fleet.play(until_ms)


@pytest.mark.parametrize(
    "kind",
    [
        route_table.RequestKind.READ_ONLY,
        route_table.RequestKind.AT_MOST_ONCE,
    ],
    ids=lambda kind: kind.value,
)
@pytest.mark.parametrize("gateways", [1, 7, 26, 100])
def test_request_that_crashes_runners_is_blocked_everywhere(
    gateways: int, kind: route_table.RequestKind
) -> None:
    fleet = crashing_fleet.CrashingFleet(gateways=gateways, kind=kind)
    play_storm(fleet, 40_000)
    assert fleet.crashes[DEADLY] <= SPENT_CRASHES
    assert late_retries(fleet) == 0
    assert fleet.refused[DEADLY] > 50
    assert fleet.answers[SOUND] > 250


@pytest.mark.parametrize(("deaf", "lost"), [(13, 0.0), (26, 0.0), (0, 0.3)])
def test_gateways_without_load_events_hear_of_crashes_from_control(
    deaf: int, lost: float
) -> None:
    fleet = crashing_fleet.CrashingFleet(
        gateways=26, deaf=deaf, lost_events=lost
    )
    play_storm(fleet, 40_000)
    assert fleet.crashes[DEADLY] <= SPENT_CRASHES + 1
    assert late_retries(fleet) == 0


def test_copies_that_arrive_at_once_are_blocked_together() -> None:
    fleet = crashing_fleet.CrashingFleet(gateways=7)
    fleet.deadly.add(DEADLY)
    for name in fleet.names[:3]:
        fleet.ask(2_000, DEADLY, name)
    for at_ms in range(6_000, 20_000, 200):
        fleet.ask(at_ms, DEADLY)
    fleet.play(20_000)
    assert fleet.crashes[DEADLY] <= SPENT_CRASHES
    assert late_retries(fleet) == 0


@pytest.mark.parametrize("restarts", [False, True])
def test_trials_of_a_blocked_request_are_bounded_over_hours(
    restarts: bool,
) -> None:
    """Each of them crashes a runner, and blocks used to end by themselves."""
    fleet = crashing_fleet.CrashingFleet(gateways=7, poll_ms=5_000)
    fleet.deadly.add(DEADLY)
    for at_ms in range(10_000, 6 * HOUR_MS, 7_000):
        fleet.ask(at_ms, DEADLY)
    if restarts:
        for at_ms in range(20_000, 6 * HOUR_MS, HOUR_MS // 4):
            fleet.at(at_ms, lambda _: fleet.restart_gateways())
            fleet.at(at_ms + 50, lambda _: fleet.restart_control())
    fleet.play(6 * HOUR_MS)
    trials = len(suspect_blocks.TRIAL_AFTER_MS)
    assert fleet.crashes[DEADLY] <= 2 + trials
    assert late_retries(fleet) <= ALLOWED_RETRIES
    assert fleet.crashes[DEADLY] > 2 or restarts


def test_complete_answer_to_a_trial_ends_the_block_everywhere() -> None:
    fleet = crashing_fleet.CrashingFleet(gateways=7)
    fleet.deadly.add(DEADLY)
    for at_ms in range(2_000, 120_000, 100):
        fleet.ask(at_ms, DEADLY)
    fleet.at(30_000, lambda _: fleet.deadly.clear())
    fleet.play(60_000)
    assert fleet.crashes[DEADLY] == 2
    assert not fleet.answers[DEADLY]
    fleet.play(100_000)
    refused = fleet.refused[DEADLY]
    fleet.play(120_000)
    assert fleet.refused[DEADLY] == refused
    assert fleet.answers[DEADLY] > 200


def test_repeated_sound_request_outlives_crashes_that_cut_it_off() -> None:
    """A poll is in many crashes by chance, and is answered in between."""
    fleet = crashing_fleet.CrashingFleet(gateways=7)
    for number in range(4):
        fleet.deadly.add(f"{DEADLY}{number}")
        fleet.ask(5_000 + 6_000 * number, f"{DEADLY}{number}")
    for at_ms in range(1_000, 40_000, 30):
        fleet.ask(at_ms, SOUND)
    fleet.play(41_000)
    assert sum(fleet.crashes.values()) == 8
    answered = fleet.answers[SOUND]
    for at_ms in range(41_000, 43_000, 30):
        fleet.ask(at_ms, SOUND)
    fleet.play(44_000)
    assert fleet.answers[SOUND] > answered + 60
