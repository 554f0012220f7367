"""Tests of the limits that runners name."""

import itertools
import random

import pytest

from wisteriawall.policy import runner_limits

RUNNER = "u/1"
ANSWER = runner_limits.Source.ANSWER
GATEWAY = runner_limits.Source.GATEWAY
LEARNT, CHANGED, REPEATED, ENDED = runner_limits.ChangeKind


def _limits(per_s: float = 1.0, *, seed: int = 1) -> runner_limits.RunnerLimits:
    """Return limits with one runner, learnt at 0."""
    limits = runner_limits.RunnerLimits(random.Random(seed))
    limits.note_contact(1, 0)
    limits.note_answer(RUNNER, per_s, sent_ms=0, source=ANSWER, now_ms=0)
    return limits


def _sent_until(limits: runner_limits.RunnerLimits, end_ms: int) -> list[int]:
    """Send whenever it is allowed; return the times."""
    times_ms = []
    for now_ms in range(0, end_ms, 10):
        limits.note_contact(1, now_ms)
        if limits.may_send(RUNNER, f"r{now_ms}", now_ms):
            limits.note_sent(RUNNER, f"r{now_ms}", now_ms, is_own=True)
            times_ms.append(now_ms)
    return times_ms


def test_unlimited_runner_takes_requests_at_any_time() -> None:
    limits = runner_limits.RunnerLimits(random.Random(1))
    assert all(limits.may_send(RUNNER, "r", now_ms) for now_ms in range(9))
    assert not limits.is_limited(RUNNER)


def test_limit_is_kept_and_used() -> None:
    assert len(_sent_until(_limits(2.0), 10_000)) in (19, 20)


@pytest.mark.parametrize(
    ("answers", "kinds", "is_limited"),
    [
        pytest.param(
            [(1, 1.0), (2, 2.0)], [REPEATED, CHANGED], True, id="raised"
        ),
        pytest.param(
            [(5, 1.0), (4, 2.0)], [REPEATED, None], True, id="late-raise"
        ),
        pytest.param(
            [(5, 1.0), (4, 0.5)], [REPEATED, CHANGED], True, id="late-cut"
        ),
        pytest.param(
            [(5, 1.0), (6, None)], [REPEATED, ENDED], False, id="ended"
        ),
        pytest.param(
            [(5, 1.0), (4, None)], [REPEATED, None], True, id="late-end"
        ),
        pytest.param(
            [(5, None), (4, 1.0)], [ENDED, None], False, id="late-limit"
        ),
        pytest.param(
            [(5, None), (6, 1.0)], [ENDED, LEARNT], True, id="named-again"
        ),
        pytest.param(
            [(5, None), (6, None)], [ENDED, None], False, id="ended-twice"
        ),
    ],
)
def test_answers_that_overtake_each_other(
    answers: list[tuple[int, float | None]],
    kinds: list[runner_limits.ChangeKind | None],
    is_limited: bool,
) -> None:
    limits = _limits(1.0)
    changes = [
        limits.note_answer(
            RUNNER,
            per_s,
            sent_ms=sent_s * 1_000,
            source=ANSWER,
            now_ms=10_000 * (number + 1),
        )
        for number, (sent_s, per_s) in enumerate(answers)
    ]
    assert [change and change.kind for change in changes] == kinds
    assert limits.is_limited(RUNNER) is is_limited


def test_repeated_value_is_told_to_others_once_a_second() -> None:
    limits = _limits(1.0)
    told = [
        limits.note_answer(
            RUNNER, 1.0, sent_ms=now_ms, source=ANSWER, now_ms=now_ms
        )
        for now_ms in range(100, 3_000, 100)
    ]
    assert sum(change is not None for change in told) == 2


def test_value_heard_from_another_gateway_is_not_told_again() -> None:
    limits = _limits(1.0)
    change = limits.note_answer(
        RUNNER, 1.0, sent_ms=5_000, source=GATEWAY, now_ms=5_000
    )
    assert change is None


def test_reserved_request_takes_one_token() -> None:
    limits = _limits(1.0)
    for now_ms in (500, 1_000, 1_500):
        limits.note_contact(1, now_ms)
    for _ in range(2):
        limits.reserve(RUNNER, "r1", 1_500, is_own=True)
    assert limits.may_send(RUNNER, "r1", 1_500)
    assert not limits.may_send(RUNNER, "r2", 1_500)
    limits.note_sent(RUNNER, "r1", 1_500, is_own=True)
    for now_ms in (2_000, 2_500):
        limits.note_contact(1, now_ms)
    assert limits.may_send(RUNNER, "r2", 2_500)


def test_isolated_gateway_uses_its_share_of_the_limit() -> None:
    limits = _limits(1.0)
    limits.note_contact(10, 0)
    sent_ms = []
    for now_ms in range(0, 100_900, 100):
        if limits.may_send(RUNNER, "r", now_ms):
            limits.note_sent(RUNNER, "r", now_ms, is_own=True)
            sent_ms.append(now_ms)
    # After 0.9 s without contact it saves 0.1 a second, and one at most.
    assert len(sent_ms) == 10
    gaps_ms = [later - at for at, later in itertools.pairwise(sent_ms)]
    assert all(9_900 <= gap_ms <= 10_100 for gap_ms in gaps_ms)


def test_gateways_that_are_isolated_at_once_use_their_shares_in_turn() -> None:
    """All of them used it in the same seconds."""
    first_ms = []
    for number in range(50):
        limits = _limits(1.0, seed=number)
        limits.note_contact(50, 0)
        first_ms.append(
            next(
                now_ms
                for now_ms in range(900, 60_000, 100)
                if limits.may_send(RUNNER, "r", now_ms)
            )
        )
    most = max(
        sum(at_ms <= other_ms < at_ms + 4_000 for other_ms in first_ms)
        for at_ms in first_ms
    )
    assert most <= 1.5 * 4 + 5


def test_requests_beyond_the_limit_are_made_up_for() -> None:
    limits = _limits(1.0)
    limits.note_contact(1, 1_000)
    for number in range(100):
        limits.note_sent(RUNNER, f"r{number}", 1_000, is_own=False)
    wait_ms = limits.resume_ms(RUNNER, "r", 1_000)
    assert 4_000 <= wait_ms <= 5_100


def test_limit_that_no_answer_names_for_long_ends() -> None:
    limits = _limits(1.0)
    assert list(limits.expire(60_000)) == []
    ((runner, change),) = limits.expire(61_000)
    assert (runner, change.kind, change.age_ms) == (RUNNER, ENDED, 61_000)
    assert not limits.is_limited(RUNNER)


@pytest.mark.parametrize(
    ("per_s", "age_ms", "kind"),
    [
        pytest.param(2.0, 0, CHANGED, id="newer"),
        pytest.param(2.0, 4_500, None, id="hardly-newer"),
        pytest.param(0.5, 9_000, None, id="older"),
        pytest.param(1.0, 0, None, id="same"),
        pytest.param(None, 0, ENDED, id="ended"),
    ],
)
def test_value_that_control_has_heard_counts_if_it_is_newer(
    per_s: float | None, age_ms: int, kind: runner_limits.ChangeKind | None
) -> None:
    limits = _limits(1.0)
    limits.note_answer(RUNNER, 1.0, sent_ms=5_000, source=ANSWER, now_ms=5_000)
    change = limits.note_known(RUNNER, per_s, age_ms=age_ms, now_ms=10_000)
    assert (change and change.kind) == kind


def test_gateway_that_starts_keeps_to_the_limits_that_control_knows() -> None:
    limits = runner_limits.RunnerLimits(random.Random(1))
    limits.note_contact(1, 90_000)
    ((runner, per_s, age_ms),) = _limits(1.0).known(4_000)
    assert limits.note_known(runner, per_s, age_ms=age_ms, now_ms=90_000)
    assert not limits.may_send(RUNNER, "r", 90_000)
    assert limits.note_known("u/2", 1.0, age_ms=60_001, now_ms=90_000) is None
    assert limits.may_send("u/2", "r", 90_000)


def test_limit_belongs_to_one_start_of_a_runner() -> None:
    limits = _limits(1.0)
    assert limits.is_limited(RUNNER)
    assert not limits.is_limited("u/2")
    limits.drop_unlisted({"u/2"}, 61_000)
    assert not limits.is_limited(RUNNER)
