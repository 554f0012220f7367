"""Tests of the choice of runners."""

import random

import hypothesis
from hypothesis import strategies as st
import pytest

from wisteriawall.policy import routing
from wisteriawall.wire import fleet

WORK = routing.EstimatedWork(prompt_tokens=4_000, output_tokens=400)
NO_RUNNERS: frozenset[str] = frozenset()


def _candidate(runner, **fields):
    defaults = {"waiting_tokens": 0, "streams": 0, "same_zone": True}
    return routing.Candidate(runner=runner, **(defaults | fields))


@pytest.mark.parametrize(
    ("better", "worse"),
    [
        pytest.param({}, {"waiting_tokens": 9_000}, id="less prompt work"),
        pytest.param({}, {"streams": 40}, id="fewer streams"),
        pytest.param({"cached_tokens": 3_000}, {}, id="cached prefix"),
        pytest.param({}, {"adapter_loaded": False}, id="adapter loaded"),
        pytest.param({}, {"draining": True}, id="not draining"),
        pytest.param({}, {"can_prefill": False}, id="can prefill"),
        pytest.param({}, {"role": fleet.Role.DECODE}, id="role that prefills"),
        pytest.param(
            {}, {"token_gap_ms": 90.0}, id="measured time between tokens"
        ),
        pytest.param(
            {"cached_tokens": 3_000},
            {"waiting_tokens": 100},
            id="cached prefix over a little load",
        ),
        pytest.param(
            {},
            {"cached_tokens": 3_000, "waiting_tokens": 50_000},
            id="load over cached prefix",
        ),
    ],
)
def test_choose_prefers_the_better_candidate(better, worse):
    rng = random.Random(1)
    candidates_in_order = [
        _candidate("worse", **worse),
        _candidate("better", **better),
    ]
    for candidates in (candidates_in_order, candidates_in_order[::-1]):
        chosen = routing.choose_runner(
            candidates, work=WORK, avoid=NO_RUNNERS, rng=rng
        )
        assert chosen == "better"


def test_choice_among_equal_runners_is_random():
    rng = random.Random(1)
    candidates = [_candidate(name) for name in "abcd"]
    chosen = {
        routing.choose_runner(candidates, work=WORK, avoid=NO_RUNNERS, rng=rng)
        for _ in range(100)
    }
    assert chosen == set("abcd")


def test_same_zone_decides_between_equal_runners():
    candidates = [_candidate("far", same_zone=False), _candidate("near")]
    assert routing.choose_runner(candidates, avoid=NO_RUNNERS) == "near"


def test_pair_is_chosen_over_a_loaded_mixed_runner():
    candidates = [
        _candidate("prefill", role=fleet.Role.PREFILL),
        _candidate("decode", role=fleet.Role.DECODE, streams=20),
        _candidate("mixed", streams=40, waiting_tokens=8_000),
    ]
    placed = routing.choose_placement(
        candidates, work=WORK, avoid=NO_RUNNERS, rng=random.Random(1)
    )
    assert placed is not None
    assert (placed.prefill_runner, placed.decode_runner) == (
        "prefill",
        "decode",
    )


def test_idle_mixed_runner_is_chosen_without_transfer():
    candidates = [_candidate("a"), _candidate("b")]
    placed = routing.choose_placement(
        candidates, work=WORK, avoid=NO_RUNNERS, rng=random.Random(1)
    )
    assert placed is not None
    assert not placed.is_pair


CANDIDATES = st.lists(
    st.builds(
        _candidate,
        st.sampled_from("abcdefgh"),
        waiting_tokens=st.integers(0, 50_000),
        streams=st.integers(0, 80),
        role=st.sampled_from(fleet.Role),
        draining=st.booleans(),
        can_prefill=st.booleans(),
        can_decode=st.booleans(),
    ),
    max_size=8,
    unique_by=lambda c: c.runner,
)


@hypothesis.given(CANDIDATES, st.sets(st.sampled_from("abcdefgh")))
def test_placement_uses_only_available_runners(candidates, avoid):
    candidate_by_runner = {c.runner: c for c in candidates}
    placed = routing.choose_placement(
        candidates, work=WORK, avoid=frozenset(avoid), rng=random.Random(1)
    )
    if placed is None:
        return
    first, second = (
        candidate_by_runner[placed.prefill_runner],
        candidate_by_runner[placed.decode_runner],
    )
    assert first.can_prefill
    assert not first.draining
    assert not second.draining
    assert second.can_decode or not placed.is_pair
    others = {c.runner for c in candidates if not c.draining} - avoid
    assert not others or {placed.prefill_runner, placed.decode_runner} <= others
