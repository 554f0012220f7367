"""Tests of the estimate of callers' earlier waits."""

import random

import pytest

from wisteriawall.policy import earlier_wait


@pytest.mark.parametrize(
    "spread_ms",
    [
        pytest.param(0, id="equal-deadlines"),
        pytest.param(1_200, id="spread-deadlines"),
    ],
)
def test_returns_are_told_from_first_attempts(spread_ms: int) -> None:
    """One request in ten is a return after 1.5 to 2 s."""
    rng = random.Random(4)
    estimate = earlier_wait.EarlierWait()
    taken_for_return = {False: 0, True: 0}
    total = {False: 0, True: 0}
    for number in range(2_000):
        remaining_ms = 8_000 + rng.randint(0, spread_ms)
        is_return = rng.random() < 0.1
        if is_return:
            remaining_ms -= rng.randint(1_500, 2_000)
        waited_ms = estimate.add(remaining_ms)
        if number < earlier_wait.SAMPLES:
            continue
        total[is_return] += 1
        taken_for_return[is_return] += waited_ms > 0
    assert taken_for_return[False] <= 0.1 * total[False]
    assert taken_for_return[True] >= 0.7 * total[True]


def test_the_wait_is_the_difference_to_the_starting_time() -> None:
    estimate = earlier_wait.EarlierWait()
    assert [estimate.add(8_000) for _ in range(8)] == [0] * 8
    assert estimate.add(6_500) == 1_500
    assert estimate.add(7_801) == 0
