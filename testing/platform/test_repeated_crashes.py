"""Tests with a request that crashes every runner that begins to run it."""

import contextlib
import socket
import threading
import time
from typing import Any

import pytest
from support import platform_site as sites

DEADLY = "/read/deadly"
RESTART_S = 0.6
# Crashes after which three retries are allowed.
SPENT_CRASHES = 3
ALLOWED_RETRIES = 3
REQUESTS = 30
PAUSE_S = 0.15


class CrashingRunner(sites.StandInRunner):
    """Crashes when it begins to run the deadly request, and starts again.

    `crashes` counts these, and `generation` is part of its id in the list.
    """

    def __init__(self, name: str) -> None:
        """Listen on a free port."""
        self.crashes = 0
        super().__init__(name, "shop")

    def _run(
        self,
        connection: Any,
        headers_by_name: dict[str, str],
        head: str,
        body: bytes,
    ) -> bool:
        _, target, _, _ = self.received[-1]
        if target != DEADLY or body != b"hi":
            return super()._run(connection, headers_by_name, head, body)
        self.crashes += 1
        self._crash()
        return False

    def _crash(self) -> None:
        host, _, port = self.address.rpartition(":")
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for accepted in self.accepted:
            with contextlib.suppress(OSError):
                accepted.shutdown(socket.SHUT_RDWR)
        self.name = f"{self.name.partition('+')[0]}+{self.crashes}"

        def restart() -> None:
            self._listener = socket.create_server((host, int(port)))
            self._accept()

        threading.Timer(RESTART_S, restart).start()


def ask(site: sites.Site, attempt: str, gateway: str, target: str) -> int:
    """Return the status of a request."""
    return site.call(
        target, attempt=attempt, gateway=gateway, method="POST", body=b"hi"
    ).status


@pytest.mark.parametrize("gateways", [1, 3])
def test_request_that_crashes_runners_is_blocked(
    site: sites.Site, gateways: int
) -> None:
    """It crashed all runners of a service each time that it came."""
    crashing = [CrashingRunner(f"i-{number}") for number in range(3)]
    site.runners += crashing
    site.start_serving()
    for number in range(1, gateways):
        site.add_gateway(f"g{number + 1}")
    sites.wait_until(
        lambda: all(gateway.is_ready for gateway in site.gateways),
        "ready gateways",
    )
    addresses = [gateway.address for gateway in site.gateways]
    try:
        check_crashes(site, addresses, crashing)
    finally:
        for gateway in site.gateways[1:]:
            gateway.stop()


def check_crashes(
    site: sites.Site, addresses: list[str], crashing: list[CrashingRunner]
) -> None:
    """Send the deadly request again and again, then sound ones."""
    assert ask(site, "first", addresses[0], "/read/sound") == 200
    for number in range(REQUESTS):
        ask(site, f"d{number}", addresses[number % len(addresses)], DEADLY)
        time.sleep(PAUSE_S)
    crashes = sum(runner.crashes for runner in crashing)
    assert crashes <= SPENT_CRASHES + ALLOWED_RETRIES
    assert ask(site, "again", addresses[-1], DEADLY) == 503
    sites.wait_until(
        lambda: ask(site, "sound", addresses[0], "/read/sound") == 200,
        "an answer to a sound request",
    )
