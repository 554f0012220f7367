"""Tests of the retry budget and the concurrency limit."""

import hypothesis
from hypothesis import strategies as st

from wisteriawall.policy import concurrency
from wisteriawall.policy import retries


@hypothesis.given(st.lists(st.booleans(), max_size=400))
def test_retries_stay_within_the_budget(events):
    budget = retries.RetryBudget()
    request_count = retry_count = 0
    for is_request in events:
        if is_request:
            request_count += 1
            budget.add_request()
        else:
            retry_count += budget.take_retry()
    assert retry_count <= request_count * 0.1 + retries.INITIAL_RETRIES


def test_failing_fleet_gets_less_than_1_1_attempts_per_request():
    budget = retries.RetryBudget()
    attempts = 0
    for _ in range(1_000):
        budget.add_request()
        attempts += 1
        while budget.take_retry():
            attempts += 1
    assert attempts < 1_100


def test_concurrency_limit_falls_when_slow_and_rises_when_fast():
    limit = concurrency.ConcurrencyLimit(limit=20.0)
    for now_ms in range(0, 5_000, 100):
        limit.observe(
            measured_ms=900, expected_ms=100, in_flight=20, now_ms=now_ms
        )
    slow_limit = limit.limit
    assert slow_limit < 10.0
    for now_ms in range(5_000, 10_000, 10):
        limit.observe(
            measured_ms=100, expected_ms=100, in_flight=256, now_ms=now_ms
        )
    assert limit.limit > slow_limit + 5


@hypothesis.given(st.lists(st.floats(0.1, 1e5), max_size=100))
def test_concurrency_limit_stays_between_minimum_and_maximum(measured):
    limit = concurrency.ConcurrencyLimit()
    for index, measured_ms in enumerate(measured):
        limit.observe(
            measured_ms=measured_ms,
            expected_ms=100,
            in_flight=300,
            now_ms=index * 1_000,
        )
        assert limit.minimum <= limit.limit <= limit.maximum
        assert limit.allows(int(limit.minimum) - 1)
