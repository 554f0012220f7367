"""Tests of the output length estimates."""

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
        pytest.param([], 4_000, 256, 256, id="no answers"),
        pytest.param([], 10, 10, 10, id="limited by max_tokens"),
        pytest.param([50] * 40, 4_000, 50, 50, id="mean of the account"),
        pytest.param(
            [50] * 40 + [500] * 64, 4_000, 250, 500, id="follows recent answers"
        ),
    ],
)
def test_estimate(answers, max_tokens, low, high):
    output_lengths = estimates.OutputLengthEstimates()
    for tokens in answers:
        output_lengths.observe("briefs", "shop", tokens)
    assert low <= output_lengths.estimate("briefs", "shop", max_tokens) <= high


def test_account_with_many_answers_gets_its_own_estimate():
    output_lengths = estimates.OutputLengthEstimates()
    for _ in range(64):
        output_lengths.observe("briefs", "long", 1_000)
        output_lengths.observe("briefs", "short", 10)
    long = output_lengths.estimate("briefs", "long", 4_000)
    assert long > 5 * output_lengths.estimate("briefs", "short", 4_000)


@hypothesis.given(ANSWERS)
def test_account_count_is_bounded_and_estimates_stay_in_range(answers):
    output_lengths = estimates.OutputLengthEstimates(max_accounts=3)
    for account, tokens in answers:
        output_lengths.observe("briefs", account, tokens)
        assert len(output_lengths.mean_by_account) <= 3
        assert 1 <= output_lengths.estimate("briefs", account, 2_000) <= 2_000
