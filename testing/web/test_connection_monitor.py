"""Tests of the detection of callers that disconnect."""

from collections.abc import Iterator
import os
import socket
import threading

import pytest
from support import http_harness

from wisteriawall.web import connection_monitor


class HeldEpoll:
    """Epoll object that hands out its events only when `release` is set."""

    def __init__(self, epoll: "connection_monitor.select.epoll") -> None:
        """Wrap `epoll`."""
        self._epoll = epoll
        self.polled = threading.Event()
        self.release = threading.Event()
        self.register = epoll.register
        self.unregister = epoll.unregister
        self.close = epoll.close

    def poll(self, timeout: float) -> list[tuple[int, int]]:
        """Return the events that are due, once that is released."""
        events = self._epoll.poll(timeout)
        if events:
            self.polled.set()
            assert self.release.wait(http_harness.WAIT_S)
        return events


@pytest.fixture
def monitor() -> Iterator[connection_monitor.ConnectionMonitor]:
    """Return a running monitor."""
    running = connection_monitor.ConnectionMonitor()
    running.start()
    yield running
    running.stop()


def test_disconnect_is_reported_once(
    monitor: connection_monitor.ConnectionMonitor,
) -> None:
    served, caller = socket.socketpair()
    reported = threading.Semaphore(0)
    with served, caller:
        monitor.on_disconnect(served, reported.release)
        caller.close()
        assert reported.acquire(timeout=http_harness.WAIT_S)
        assert not reported.acquire(timeout=0.6)
        monitor.stop_monitoring(served)
        assert monitor.registration_count == 0


def test_disconnect_is_not_taken_for_one_of_the_next_connection() -> None:
    """The next connection can get the same descriptor at once."""
    monitor = connection_monitor.ConnectionMonitor()
    held = HeldEpoll(monitor._epoll)
    monitor._epoll = held  # type: ignore[assignment]
    monitor.start()
    served, caller = socket.socketpair()
    next_served, next_caller = socket.socketpair()
    reported = threading.Event()
    monitor.on_disconnect(served, lambda: None)
    caller.close()
    assert held.polled.wait(http_harness.WAIT_S)
    monitor.stop_monitoring(served)
    descriptor = served.detach()
    os.dup2(next_served.fileno(), descriptor)
    with next_served, next_caller, socket.socket(fileno=descriptor) as reused:
        monitor.on_disconnect(reused, reported.set)
        held.release.set()
        assert not reported.wait(0.6)
        next_caller.close()
        assert reported.wait(http_harness.WAIT_S)
    monitor.stop()
