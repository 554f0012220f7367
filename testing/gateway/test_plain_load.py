"""Tests of plain services under load, replayed in virtual time."""

import random

from support import plain_replay


def arrivals(count: int, every_ms: float) -> list[tuple[float, str]]:
    """Return requests at random times."""
    rng = random.Random(2)
    at_ms = 0.0
    requests = []
    for _ in range(count):
        at_ms += rng.expovariate(1 / every_ms)
        requests.append((at_ms, "short"))
    return requests


def test_burst_waits_at_runners_while_they_finish_it_in_time() -> None:
    """Requests were refused from twice the slots on, long before that."""
    burst = [(1_000.0 + n / 10, "short") for n in range(70)]
    warm_up = arrivals(60, 15)
    player = plain_replay.Replay(
        plain_replay.gateways(24), {"short": 90}, event_delay_ms=1
    ).play([*warm_up, *burst])
    assert not player.refusals
    assert player.in_time() >= 0.96 * len(player.took_ms_by_key)


def test_full_runners_are_not_sent_more_and_callers_come_back_later() -> None:
    burst = [(1_000.0 + 2 * n, "short") for n in range(250)]
    player = plain_replay.Replay(plain_replay.gateways(24), {"short": 90}).play(
        [*arrivals(60, 15), *burst]
    )
    assert player.refusals
    assert player.sheds <= 0.2 * len(player.refusals)
    retry_ms = [refusal.retry_after_ms for refusal in player.refusals]
    assert all(refusal.status == 503 for refusal in player.refusals)
    assert min(retry_ms) >= 100
    assert max(retry_ms) >= 1.5 * min(retry_ms)


def test_slow_runner_gets_less_work_and_is_not_left_out() -> None:
    player = plain_replay.Replay(
        plain_replay.gateways(24), {"short": 90}, {"u0": 2.5}
    ).play(arrivals(2_000, 7.5))
    assert player.in_time() >= 1_998
    assert 50 <= player.sent_by_id["u0"] <= 0.25 * 2_000
