"""Tests of how requests and parts become suspect, blocked and sound again."""

import pytest

from wisteriawall.policy import suspects as lib

DEAD = frozenset(["dead"])
REQUEST = lib.request_trait("00ff")


def make() -> lib.Suspects:
    """Return a record without any crash."""
    return lib.Suspects()


def blocked_names(suspects: lib.Suspects, now_ms: int) -> dict[str, int]:
    """Return the blocked sets, and the time to the next trial of each."""
    return suspects.report(now_ms).remaining_ms_by_block


def crash(
    suspects: lib.Suspects,
    runner: str,
    now_ms: int,
    *,
    begun: tuple[str, ...] = (),
    waiting: tuple[str, ...] = (),
) -> list[lib.Traits]:
    """Cut off a request with the parts `begun`, and one with `waiting`."""
    blocked = suspects.note_loss(
        runner, f"w{now_ms}", waiting, has_begun=False, now_ms=now_ms
    )
    if begun:
        blocked += suspects.note_loss(
            runner, f"b{now_ms}", begun, has_begun=True, now_ms=now_ms
        )
    return blocked


@pytest.mark.parametrize(
    ("times_ms", "expected"),
    [
        pytest.param([0], [], id="one crash"),
        pytest.param([0, 100], [], id="two crashes at one moment"),
        pytest.param([0, 600], [DEAD], id="two crashes"),
        pytest.param([0, 50, 90], [], id="three crashes at one moment"),
        pytest.param([0, 300, 600], [DEAD], id="three crashes in a row"),
        pytest.param([0, 61_000], [], id="two crashes long apart"),
    ],
)
def test_part_is_blocked_after(
    times_ms: list[int], expected: list[lib.Traits]
) -> None:
    suspects = make()
    blocked: list[lib.Traits] = []
    for number, now_ms in enumerate(times_ms):
        blocked = crash(suspects, f"r{number}", now_ms, begun=("dead",))
    assert blocked == expected
    last_ms = times_ms[-1]
    assert bool(suspects.blocked_ms(["dead"], last_ms)) is bool(expected)


def test_same_runner_may_crash_more_than_once() -> None:
    suspects = make()
    crash(suspects, "r", 0, begun=("dead",))
    assert crash(suspects, "r", 4_000, begun=("dead",)) == [DEAD]


def test_other_parts_of_the_crashing_requests_are_not_blocked() -> None:
    suspects = make()
    for number in range(6):
        now_ms = 1_000 * number
        suspects.note_answer(["shared"], now_ms)
        crash(
            suspects,
            f"r{number}",
            now_ms + 500,
            begun=("shared", "dead"),
            waiting=("shared", "other"),
        )
    assert set(blocked_names(suspects, 6_000)) == {"dead"}


def test_parts_with_the_same_crashes_are_blocked_together() -> None:
    """One request that is sent again crashes with all of its parts."""
    suspects = make()
    for number in range(2):
        crash(suspects, f"r{number}", 1_000 * number, begun=("new", "dead"))
    assert suspects.blocked_ms(["first", "new", "dead"], 1_000)
    assert not suspects.blocked_ms(["first", "new"], 1_000)
    assert not suspects.blocked_ms(["first", "dead"], 1_000)
    assert crash(suspects, "r2", 2_000, begun=("first", "dead")) == [DEAD]
    assert not suspects.blocked_ms(["first", "new"], 2_000)


def test_answer_on_one_part_leaves_the_others_blocked() -> None:
    suspects = make()
    for number in range(2):
        crash(suspects, f"r{number}", 1_000 * number, begun=("new", "dead"))
    suspects.note_answer(["first", "new"], 1_100)
    assert suspects.blocked_ms(["first", "dead"], 1_100)


def test_part_of_complete_answers_needs_more_crashes() -> None:
    suspects = make()
    suspects.note_answer(["sound"], 0)
    blocked = [
        crash(suspects, f"r{number}", 1_000 * number, begun=("sound",))
        for number in range(5)
    ]
    assert blocked == [[], [], [], [], [frozenset(["sound"])]]


def test_waiting_requests_are_suspect_if_none_had_begun() -> None:
    suspects = make()
    crash(suspects, "r1", 0, waiting=("dead",))
    suspects.note_unreachable("r1", 100)
    crash(suspects, "r2", 1_000, waiting=("dead",))
    assert not suspects.blocked_ms(["dead"], 1_000)
    assert suspects.note_unreachable("r2", 1_100) == [DEAD]


def test_crash_of_all_runners_at_once_blocks_no_part() -> None:
    """The part of all prompts of a route was blocked for a minute."""
    suspects = make()
    suspects.note_answer(["first"], 0)
    for number in range(20):
        crash(
            suspects,
            f"r{number}",
            1_000 + 10 * number,
            begun=("first", f"new{number}"),
            waiting=("first",),
        )
    assert not blocked_names(suspects, 1_200)


def test_lost_answer_without_a_crash_is_no_evidence() -> None:
    suspects = make()
    for number in range(9):
        suspects.note_loss(
            "r", f"a{number}", ["part"], has_begun=True, now_ms=1_000 * number
        )
    assert not blocked_names(suspects, 9_000)


def blocked_at(now_ms: int) -> lib.Suspects:
    """Return a record in which `dead` is blocked since `now_ms`."""
    suspects = make()
    crash(suspects, "r1", now_ms - 600, begun=("dead",))
    crash(suspects, "r2", now_ms, begun=("dead",))
    return suspects


def apply_known(
    suspects: lib.Suspects,
    remaining_ms_by_block: dict[str, int],
    now_ms: int,
    *,
    cleared: tuple[str, ...] = (),
    trials: dict[str, int] | None = None,
) -> list[str]:
    """Apply an answer of control; return the blocks with a new trial."""
    return suspects.apply_known(
        remaining_ms_by_block,
        cleared=cleared,
        trial_by_block=trials or {},
        now_ms=now_ms,
    )


def test_block_does_not_end_by_itself() -> None:
    """Each end let requests through that crashed further runners."""
    suspects = blocked_at(1_000)
    assert suspects.blocked_ms(["dead"], 1_000) == lib.FIRST_BLOCK_MS
    for days in (1, 30):
        assert suspects.blocked_ms(["dead"], days * 86_400_000)


def test_one_request_is_let_through_for_each_trial_of_control() -> None:
    suspects = blocked_at(1_000)
    suspects.note_refused(["dead"])
    assert suspects.report(1_000).wanted == ["dead"]
    assert suspects.report(1_000).wanted == []
    assert apply_known(suspects, {}, 62_000, trials={"dead": 1}) == ["dead"]
    assert not suspects.blocked_ms(["dead"], 62_000)
    assert suspects.note_sent(["dead"])
    assert suspects.blocked_ms(["dead"], 62_000)
    assert not suspects.note_sent(["dead"])
    # Control names the trial in each answer.
    assert apply_known(suspects, {}, 62_400, trials={"dead": 1}) == []
    assert suspects.blocked_ms(["dead"], 62_400)
    assert apply_known(suspects, {}, 63_000, trials={"dead": 2}) == ["dead"]
    assert not suspects.blocked_ms(["dead"], 63_000)


@pytest.mark.parametrize("is_own", [True, False])
def test_complete_answer_ends_a_block(is_own: bool) -> None:
    suspects = blocked_at(1_000)
    suspects.note_answer(["dead"], 1_100, is_own=is_own)
    assert not suspects.blocked_ms(["dead"], 1_100)
    # Nor does an older word of another gateway block it again.
    apply_known(suspects, {"dead": 50_000}, 1_200)
    assert not suspects.blocked_ms(["dead"], 1_200)
    assert suspects.report(1_200).cleared == ["dead"]
    apply_known(suspects, {}, 1_300, cleared=("dead",))
    assert suspects.report(1_300).cleared == []


def test_blocks_of_other_gateways_are_adopted_and_end_with_them() -> None:
    suspects = make()
    apply_known(suspects, blocked_names(blocked_at(1_000), 1_000), 9_000)
    assert suspects.blocked_ms(["dead"], 9_000) == lib.FIRST_BLOCK_MS
    apply_known(suspects, {}, 9_400, cleared=("dead",))
    assert not suspects.blocked_ms(["dead"], 9_400)


@pytest.mark.parametrize(
    ("crashes", "expected"),
    [
        pytest.param([("r1", 0), ("r2", 70)], True, id="one after the other"),
        pytest.param([("r1", 0), ("r1", 90_000)], True, id="long after"),
        pytest.param([("r1", 0), ("r1", 100)], False, id="same crash"),
    ],
)
def test_request_is_blocked_after_two_crashes(
    crashes: list[tuple[str, int]], expected: bool
) -> None:
    suspects = make()
    for number, (runner, now_ms) in enumerate(crashes):
        suspects.note_loss(
            runner,
            f"a{number}",
            [REQUEST],
            has_begun=False,
            now_ms=now_ms,
            has_crashed=True,
        )
    assert bool(suspects.blocked_ms([REQUEST], 90_000)) is expected


def test_request_that_was_answered_needs_more_crashes() -> None:
    suspects = make()
    suspects.note_answer([REQUEST], 0)
    for number in range(lib.CRASHES_TO_BLOCK_SOUND):
        assert not suspects.blocked_ms([REQUEST], 1_000)
        suspects.note_loss(
            f"r{number}",
            f"a{number}",
            [REQUEST],
            has_begun=False,
            now_ms=1_000 + number,
            has_crashed=True,
        )
    assert suspects.blocked_ms([REQUEST], 1_100)


def test_other_requests_with_the_parts_of_a_blocked_one_are_sent() -> None:
    suspects = make()
    for number in range(2):
        crash(suspects, f"r{number}", 70 * number, begun=("new", REQUEST))
    for number in range(2):
        suspects.note_unreachable(f"r{number}", 100)
    assert suspects.blocked_ms(["new", REQUEST], 200)
    assert not suspects.blocked_ms(["new", lib.request_trait("1")], 200)


def test_loss_that_is_told_twice_counts_once() -> None:
    suspects = make()
    for now_ms in (0, 10):
        for _ in range(2):
            suspects.note_loss(
                "r",
                "a",
                [REQUEST],
                has_begun=False,
                now_ms=now_ms,
                has_crashed=True,
            )
    assert not suspects.blocked_ms([REQUEST], 20)


def test_unrepeated_requests_are_not_told() -> None:
    suspects = make()
    assert suspects.note_answer([REQUEST], 0) == []
    assert suspects.note_answer([REQUEST], 100) == [REQUEST]
    assert suspects.note_answer([REQUEST], 200) == []
    suspects.note_loss("r", "a", [REQUEST], has_begun=False, now_ms=300)
    assert suspects.note_answer([REQUEST], 400) == [REQUEST]


@pytest.mark.parametrize(
    ("later_ms", "expected"), [(500, []), (1_500, ["part"])]
)
def test_gateways_are_told_of_answers_at_an_interval(
    later_ms: int, expected: list[str]
) -> None:
    suspects = make()
    assert suspects.note_answer(["part"], 0) == ["part"]
    assert suspects.note_answer(["part"], later_ms) == expected


def test_answers_cut_off_at_three_runners_block_a_part() -> None:
    """A runner with a single request shows no other sign for a while."""
    suspects = make()
    blocked = [
        suspects.note_loss(
            f"r{number}",
            f"a{number}",
            ["dead"],
            has_begun=True,
            now_ms=400 * number,
        )
        for number in range(3)
    ]
    assert blocked == [[], [], [DEAD]]


def test_memory_is_bounded() -> None:
    suspects = make()
    for number in range(2 * lib.MAX_TRAITS):
        crash(suspects, f"r{number}", number, begun=(f"p{number}",))
    assert len(suspects._record_by_part) == lib.MAX_TRAITS
    assert len(suspects._crash_by_runner) == lib.MAX_CRASHES
