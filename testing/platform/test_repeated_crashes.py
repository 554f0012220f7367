"""Tests with a request that crashes every runner that begins to run it."""

import time
from typing import Any

import pytest
from support import crashing_runner
from support import platform_site as sites

DEADLY = "/read/deadly"
# Crashes after which three retries are allowed.
SPENT_CRASHES = 3
ALLOWED_RETRIES = 3
REQUESTS = 30
PAUSE_S = 0.15


class CrashingRunner(crashing_runner.CrashingRunner):
    """Crashes when it begins to run the deadly request.

    Each start has another id in the list.
    """

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
        self.crash()
        self.name = f"{self.name.partition('+')[0]}+{self.crashes}"
        return False


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
    crashing = [CrashingRunner(f"i-{number}", "shop") for number in range(3)]
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
