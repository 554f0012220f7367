"""Learnt output lengths."""

import hypothesis
from hypothesis import strategies as st
import pytest

from wisteriawall.policy import estimates

ANSWERS = st.lists(
    st.tuples(st.sampled_from("abcdef"), st.integers(1, 4_000)), max_size=60
)


@pytest.mark.parametrize(
    ("answers", "max_tokens", "low", "high"),
    [
        pytest.param([], 4_000, 256, 256, id="nothing learnt"),
        pytest.param([], 10, 10, 10, id="never over max_tokens"),
        pytest.param([50] * 40, 4_000, 50, 50, id="account's own mean"),
        pytest.param([50] * 40 + [500] * 64, 4_000, 250, 500, id="follows"),
    ],
)
def test_estimate(answers, max_tokens, low, high):
    learnt = estimates.Estimates()
    for tokens in answers:
        learnt.observe("briefs", "shop", tokens)
    assert low <= learnt.estimate("briefs", "shop", max_tokens) <= high


def test_account_differs_from_its_service():
    learnt = estimates.Estimates()
    for _ in range(64):
        learnt.observe("briefs", "long", 1_000)
        learnt.observe("briefs", "short", 10)
    long = learnt.estimate("briefs", "long", 4_000)
    assert long > 5 * learnt.estimate("briefs", "short", 4_000)


@hypothesis.given(ANSWERS)
def test_memory_is_bounded_and_estimates_stay_in_range(answers):
    learnt = estimates.Estimates(max_accounts=3)
    for account, tokens in answers:
        learnt.observe("briefs", account, tokens)
        assert len(learnt.mean_by_account) <= 3
        assert 1 <= learnt.estimate("briefs", account, 2_000) <= 2_000
