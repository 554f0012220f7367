"""Tests of what notices about runners allow."""

import pytest

from wisteriawall.policy import runner_notices

ANSWER = runner_notices.Source.ANSWER
GATEWAY = runner_notices.Source.GATEWAY


@pytest.mark.parametrize(
    ("source", "after_ms", "may_send"),
    [
        pytest.param(ANSWER, 0, False, id="own-answer"),
        pytest.param(ANSWER, 300_000, False, id="own-answer-minutes-later"),
        pytest.param(ANSWER, 600_000, True, id="a-runner-that-never-leaves"),
        pytest.param(GATEWAY, 9_999, False, id="told"),
        pytest.param(GATEWAY, 10_000, True, id="told-but-not-confirmed"),
    ],
)
def test_a_leaving_runner_gets_nothing(
    source: runner_notices.Source, after_ms: int, may_send: bool
) -> None:
    notices = runner_notices.RunnerNotices()
    assert notices.note_leaving("r", source, 1_000)
    assert not notices.note_leaving("r", source, 1_000)
    assert notices.may_send("r", 1_000 + after_ms) is may_send


def test_a_told_notice_does_not_shorten_a_seen_one() -> None:
    notices = runner_notices.RunnerNotices()
    notices.note_leaving("r", ANSWER, 0)
    notices.note_leaving("r", GATEWAY, 0)
    assert not notices.may_send("r", 10_000)


@pytest.mark.parametrize(
    ("pause_ms", "accepted_ms"),
    [
        pytest.param(2_000, 2_000, id="as-asked"),
        pytest.param(0, 0, id="zero"),
        pytest.param(-5_000, 0, id="negative"),
        pytest.param(10**12, 60_000, id="huge"),
    ],
)
def test_a_pause_lasts_as_long_as_asked_within_bounds(
    pause_ms: int, accepted_ms: int
) -> None:
    notices = runner_notices.RunnerNotices()
    assert notices.note_pause("r", pause_ms, 100) == accepted_ms
    assert notices.resume_ms(["r", "other"], 100) == accepted_ms
    assert notices.may_send("r", 100 + accepted_ms)
    assert notices.may_send("r", 100) is (accepted_ms == 0)


def test_a_shorter_pause_does_not_end_a_longer_one() -> None:
    notices = runner_notices.RunnerNotices()
    notices.note_pause("r", 5_000, 0)
    notices.note_pause("r", 100, 0)
    assert not notices.may_send("r", 4_999)


def test_avoidance_doubles_until_an_answer() -> None:
    notices = runner_notices.RunnerNotices()
    first_ms = notices.avoid("r", 0)
    assert notices.avoid("r", 10) == 0
    second_ms = notices.avoid("r", first_ms)
    assert second_ms == 2 * first_ms
    notices.note_success("r", first_ms)
    assert notices.avoid("r", first_ms + second_ms) == 4 * first_ms
    notices.note_success("r", 10**6)
    assert notices.avoid("r", 10**6) == first_ms


@pytest.mark.parametrize(
    ("outcomes", "avoided"),
    [
        pytest.param("u", True, id="unreachable"),
        pytest.param("f", False, id="one-lost-answer"),
        pytest.param("fsfsfs", False, id="answers-in-between"),
        pytest.param("ff", True, id="failures-in-a-row"),
        pytest.param("fsff", True, id="failures-in-a-row-after-an-answer"),
    ],
)
def test_failures_that_make_a_runner_avoided(
    outcomes: str, avoided: bool
) -> None:
    notices = runner_notices.RunnerNotices()
    for outcome in outcomes:
        if outcome == "s":
            notices.note_success("r", 0)
        else:
            notices.note_failure("r", 0, unreachable=outcome == "u")
    expected = {"other"} if avoided else {"r", "other"}
    assert notices.without_avoided(["r", "other"], 0) == expected


def test_avoided_runners_are_used_when_too_few_are_left() -> None:
    notices = runner_notices.RunnerNotices()
    notices.avoid("a", 0)
    assert notices.without_avoided(["a", "b"], 0) == {"b"}
    assert notices.without_avoided(["a"], 0) == {"a"}
    notices.avoid("b", 0)
    assert notices.without_avoided(["a", "b", "c"], 0) == {"a", "b", "c"}


@pytest.mark.parametrize(
    ("listed", "now_ms", "may_send"),
    [
        pytest.param([], 599_999, False, id="not-listed-for-a-while"),
        pytest.param([], 600_000, True, id="expired"),
        pytest.param(["r"], 600_000, True, id="expired-and-listed"),
    ],
)
def test_notices_outlast_a_gap_in_the_list(
    listed: list[str], now_ms: int, may_send: bool
) -> None:
    notices = runner_notices.RunnerNotices()
    notices.note_leaving("r", ANSWER, 0)
    notices.drop_expired(listed, now_ms)
    assert notices.may_send("r", now_ms) is may_send
