"""Tests of a gateway's share of the retry budget."""

import hypothesis
from hypothesis import strategies
import pytest

from wisteriawall.policy import retry_window

WINDOW_MS = 1_000
RATIO = 0.2
SLACK = 2


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 300), strategies.booleans()),
        max_size=200,
    )
)
def test_retries_in_any_window_stay_within_the_budget(
    steps: list[tuple[int, bool]],
) -> None:
    window = retry_window.RetryWindow(
        window_ms=WINDOW_MS, ratio=RATIO, slack=SLACK
    )
    now_ms = 0
    request_times: list[int] = []
    retry_times: list[int] = []
    for elapsed_ms, is_request in steps:
        now_ms += elapsed_ms
        if is_request:
            window.add_request(now_ms)
            request_times.append(now_ms)
        elif window.take_retry(now_ms):
            retry_times.append(now_ms)
            recent_retries = [
                time_ms
                for time_ms in retry_times
                if now_ms - time_ms <= WINDOW_MS
            ]
            recent_requests = [
                time_ms
                for time_ms in request_times
                if now_ms - time_ms <= WINDOW_MS
            ]
            assert len(recent_retries) <= RATIO * len(recent_requests) + SLACK


@pytest.mark.parametrize(
    ("gateways", "allowed"),
    [
        pytest.param(8, 11, id="few-gateways"),
        pytest.param(26, 3, id="many-gateways"),
    ],
)
def test_slack_is_divided_among_the_current_gateways(
    gateways: int, allowed: int
) -> None:
    window = retry_window.RetryWindow(
        window_ms=WINDOW_MS, ratio=RATIO, slack=88, gateways=4
    )
    window.set_gateways(gateways)
    retry_count = sum(window.take_retry(now_ms) for now_ms in range(100))
    assert retry_count == allowed
