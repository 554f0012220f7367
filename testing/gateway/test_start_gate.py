"""Tests of the wait of requests that arrive before the routing table."""

import threading
import time

import pytest

from wisteriawall.gateway import start_gate

WAIT_S = 10.0
HOUR_MS = 3_600_000


@pytest.mark.parametrize(
    ("remaining_ms", "wait_ms"),
    [
        pytest.param(-50, 0, id="deadline passed"),
        pytest.param(0, 0, id="nothing left"),
        pytest.param(300, 100, id="close deadline"),
        pytest.param(2_400, 800, id="a third"),
        pytest.param(HOUR_MS, 1_200, id="no deadline"),
    ],
)
def test_wait_is_a_share_of_the_remaining_time(
    remaining_ms: int, wait_ms: int
) -> None:
    """A fixed wait refused some callers too early and others too late."""
    assert start_gate.longest_wait_ms(remaining_ms) == wait_ms


def test_close_deadline_ends_the_wait() -> None:
    gate = start_gate.StartGate(max_waiting=1)
    started = time.monotonic()
    gate.wait(60)
    assert time.monotonic() - started < start_gate.MAX_WAIT_MS / 1_000


def test_waiting_threads_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Waiting requests must not occupy every thread that serves callers."""
    monkeypatch.setattr(start_gate, "MAX_WAIT_MS", HOUR_MS)
    gate = start_gate.StartGate(max_waiting=2)
    waiting = [
        threading.Thread(target=gate.wait, args=(HOUR_MS,), daemon=True)
        for _ in range(2)
    ]
    for thread in waiting:
        thread.start()
    deadline = time.monotonic() + WAIT_S
    while gate._places._value:
        assert time.monotonic() < deadline
        time.sleep(0.01)
    gate.wait(HOUR_MS)  # Returns, as both places are taken.
    assert all(thread.is_alive() for thread in waiting)
    gate.open()
    for thread in waiting:
        thread.join(WAIT_S)
        assert not thread.is_alive()
    gate.wait(HOUR_MS)
