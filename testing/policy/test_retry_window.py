"""Tests of a gateway's share of the retry budget."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies
import pytest

from wisteriawall.policy import gateway_count
from wisteriawall.policy import retry_window

WINDOW_MS = 1_000
RATIO = 0.2
SLACK = 2
SERVICES = ("a", "b")


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 300),
            strategies.booleans(),
            strategies.sampled_from(SERVICES),
        ),
        max_size=200,
    )
)
def test_retries_of_a_service_stay_within_the_budget_in_any_window(
    steps: list[tuple[int, bool, str]],
) -> None:
    window = retry_window.RetryWindow(
        window_ms=WINDOW_MS, ratio=RATIO, slack=SLACK
    )
    now_ms = 0
    request_times: list[tuple[int, str]] = []
    retry_times: list[tuple[int, str]] = []
    for elapsed_ms, is_request, service in steps:
        now_ms += elapsed_ms
        if is_request:
            window.add_request(service, now_ms)
            request_times.append((now_ms, service))
        elif window.take_retry(service, now_ms):
            retry_times.append((now_ms, service))
            start_ms = now_ms - WINDOW_MS
            recent_retries = _count_between(
                retry_times, service, start_ms, now_ms
            )
            requests = max(
                _count_between(
                    request_times,
                    service,
                    start_ms - earlier_ms,
                    now_ms - earlier_ms,
                )
                for earlier_ms in (0, WINDOW_MS // 2, WINDOW_MS)
            )
            assert recent_retries <= RATIO * requests + SLACK


def _count_between(
    times: list[tuple[int, str]], service: str, start_ms: int, end_ms: int
) -> int:
    return sum(
        of_service == service and start_ms <= time_ms <= end_ms
        for time_ms, of_service in times
    )


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
    window.note_count(gateway_count.Count(gateways=gateways, heard_ms=0))
    retry_count = sum(window.take_retry("a", now_ms) for now_ms in range(100))
    assert retry_count == allowed


def test_slack_is_earned_over_the_first_window() -> None:
    window = retry_window.RetryWindow(
        window_ms=WINDOW_MS, ratio=RATIO, slack=10, started_ms=0
    )
    assert not window.take_retry("a", 0)
    retry_count = sum(
        window.take_retry("a", now_ms) for now_ms in range(WINDOW_MS)
    )
    assert retry_count == 9
    assert window.take_retry("a", WINDOW_MS)


def test_event_from_before_a_freeze_makes_the_window_forget() -> None:
    """Threads that were frozen tell the time of before, after newer events."""
    window = retry_window.RetryWindow(
        window_ms=WINDOW_MS, ratio=RATIO, slack=10
    )
    times_ms = [20_000] * 5 + [100] + [20_001] * 20
    assert sum(window.take_retry("a", now_ms) for now_ms in times_ms) == 10


def test_request_from_before_a_freeze_hides_the_others() -> None:
    window = retry_window.RetryWindow(window_ms=WINDOW_MS, ratio=RATIO, slack=0)
    for now_ms in [20_000] * 25 + [100] * 25:
        window.add_request("a", now_ms)
    # The window that begins now counts half of those before it.
    assert sum(window.take_retry("a", 20_001) for _ in range(20)) == 5


LEASE_MS = 3_000


@pytest.mark.parametrize(
    ("contacts_ms", "now_ms", "slack"),
    [
        pytest.param((), 500, 0, id="never"),
        pytest.param((500,), 500, 8, id="first"),
        pytest.param((500,), 500 + LEASE_MS, 8, id="lease"),
        pytest.param((500,), 501 + LEASE_MS, 0, id="lease-ended"),
        pytest.param((2_000, 500), 2_000 + LEASE_MS, 8, id="answers-overtake"),
        pytest.param((500, 3_600), 3_600, 0, id="back"),
        pytest.param((500, 3_600), 3_850, 2, id="back-a-quarter-window-ago"),
        pytest.param((500, 3_600, 4_700), 4_700, 8, id="back-for-long"),
    ],
)
def test_slack_is_used_without_contact(
    contacts_ms: tuple[int, ...], now_ms: int, slack: float
) -> None:
    """Control forgets a silent gateway, and others take its share."""
    window = retry_window.RetryWindow(
        window_ms=WINDOW_MS, ratio=RATIO, slack=8, lease_ms=LEASE_MS
    )
    for contact_ms in contacts_ms:
        window.note_contact(contact_ms)
    assert window.slack(now_ms) == slack


@dataclasses.dataclass(kw_only=True)
class Day:
    """Gateways of a deployment, of which one service fails each first try.

    Attributes:
        requests_per_s: Requests of all services.
        share: Part of them that is for the failing service.
        restarts_ms: When all gateways are killed, to be back at once.
        killed: Number of gateways that are killed.
    """

    gateways: int
    requests_per_s: int
    share: float
    restarts_ms: tuple[int, ...] = ()
    killed: int = 0


BUDGET_WINDOW_MS = 10_000
# Deployment `ritrattini-prod`.
DEPLOYMENT_SLACK = 58
DEPLOYMENT_RATIO = 0.2
DAY_MS = 60_000


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    "day",
    [
        pytest.param(
            Day(gateways=7, requests_per_s=100, share=0.1), id="small-service"
        ),
        pytest.param(
            Day(gateways=33, requests_per_s=1_000, share=0.1),
            id="many-gateways",
        ),
        pytest.param(
            Day(
                gateways=8,
                requests_per_s=20,
                share=1.0,
                restarts_ms=tuple(range(20_000, 40_000, 2_500)),
                killed=8,
            ),
            id="killed-again-and-again",
        ),
        pytest.param(
            Day(
                gateways=26,
                requests_per_s=60,
                share=0.5,
                restarts_ms=tuple(range(20_000, 40_000, 2_000)),
                killed=20,
            ),
            id="most-killed-again-and-again",
        ),
    ],
)
def test_repeats_of_a_fleet_stay_within_the_budget_of_a_service(
    day: Day, seed: int
) -> None:
    """Repeats for one service were paid by the requests for the others.

    A restart also gave the slack once more, to each gateway.
    """
    rng = random.Random(seed)

    def start(started_ms: int) -> retry_window.RetryWindow:
        return retry_window.RetryWindow(
            window_ms=BUDGET_WINDOW_MS,
            ratio=DEPLOYMENT_RATIO,
            slack=DEPLOYMENT_SLACK / 2,
            gateways=day.gateways,
            started_ms=started_ms,
        )

    windows = [start(-DAY_MS) for _ in range(day.gateways)]
    requests: list[int] = []
    repeats: list[int] = []
    for now_ms in range(DAY_MS):
        if now_ms in day.restarts_ms:
            windows[: day.killed] = [start(now_ms) for _ in range(day.killed)]
        if rng.random() >= day.requests_per_s / 1_000:
            continue
        window = rng.choice(windows)
        is_failing = rng.random() < day.share
        service = "failing" if is_failing else "sound"
        window.add_request(service, now_ms)
        if is_failing:
            requests.append(now_ms)
            if window.take_retry(service, now_ms):
                repeats.append(now_ms)
    for start_ms in range(0, DAY_MS - BUDGET_WINDOW_MS, 250):
        assert _count(repeats, start_ms) <= DEPLOYMENT_SLACK + (
            DEPLOYMENT_RATIO
            * max(
                _count(requests, start_ms - earlier_ms)
                for earlier_ms in (0, BUDGET_WINDOW_MS // 2, BUDGET_WINDOW_MS)
            )
        )
    assert repeats


def _count(times_ms: list[int], start_ms: int) -> int:
    """Return how many times fall into the window that starts then."""
    return sum(
        start_ms <= time_ms < start_ms + BUDGET_WINDOW_MS
        for time_ms in times_ms
    )
