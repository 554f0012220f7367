"""Tests of the calls of duties, and of usage from callers to the platform."""

from collections import Counter
from collections.abc import Iterator
import contextlib
import json
import pathlib
import time

import msgspec
import pytest
from support import duty_platform
from support import platform_site as sites
import urllib3

from wisteriawall.control import duty_sender
from wisteriawall.control import events
from wisteriawall.control import state
from wisteriawall.platform import duties as lib
from wisteriawall.platform import settings as settings_lib

REPORT = state.UsageWindow(5, {"b": 2, "a": 1})
MAX_CALL_S = 1.9
TENANTS = [
    {"name": "acme", "api_keys": ["key-a"]},
    {"name": "beta", "api_keys": ["key-b"]},
]
PUBLIC_ROUTE = sites.route("/open/", "read_only", "shop", public=True)


def may_act() -> None:
    """Allow a call."""


@pytest.fixture
def platform() -> Iterator[duty_platform.DutyPlatform]:
    """Yield a stand-in of the platform's duty calls."""
    server = duty_platform.DutyPlatform()
    yield server
    server.close()


@pytest.fixture
def usage_site(
    tmp_path: pathlib.Path, platform: duty_platform.DutyPlatform
) -> Iterator[sites.Site]:
    """Yield a site that reports usage to the stand-in."""
    running = sites.Site(tmp_path, duty_address=platform.address)
    yield running
    running.close()


def test_call_has_the_names_of_the_protocol(
    platform: duty_platform.DutyPlatform,
) -> None:
    client = lib.DutyClient(address=platform.address, holder="vm-1")
    client.send_usage(REPORT, 9, may_act)
    call = platform.calls[0]
    assert (call.path, call.holder, call.token) == ("/usage", "vm-1", 9)
    assert call.body == b'{"window_id":5,"counts":{"a":1,"b":2}}'


@pytest.mark.parametrize(
    "behavior",
    ["429 Too Many Requests", "500 Error", "huge", "empty", "silent", "lost"],
)
def test_failed_call_ends_in_time_and_repeats_the_same_bytes(
    platform: duty_platform.DutyPlatform, behavior: str
) -> None:
    platform.behaviors = [behavior]
    client = lib.DutyClient(address=platform.address, holder="vm-1")
    started_s = time.monotonic()
    with pytest.raises(duty_sender.DutyFailed):
        client.send_usage(REPORT, 9, may_act)
    assert time.monotonic() - started_s < MAX_CALL_S
    client.send_usage(REPORT, 9, may_act)
    assert platform.calls[0].body == platform.calls[1].body


def test_call_is_not_sent_if_the_right_to_act_ends_while_connecting(
    platform: duty_platform.DutyPlatform,
) -> None:
    def check() -> None:
        sites.wait_until(lambda: bool(platform.accepted), "the connection")
        raise duty_sender.DutyFailed("the lease has run out")

    client = lib.DutyClient(address=platform.address, holder="vm-1")
    with pytest.raises(duty_sender.DutyFailed):
        client.send_usage(REPORT, 9, check)
    client.send_usage(REPORT, 10, may_act)
    assert [call.token for call in platform.calls] == [10]


def test_platform_that_takes_no_connection_is_a_failed_call() -> None:
    client = lib.DutyClient(address="127.0.0.1:1", holder="vm-1")
    with pytest.raises(duty_sender.DutyFailed):
        client.send_usage(REPORT, 9, may_act)


@pytest.mark.parametrize(
    ("more", "window_ms"),
    [
        pytest.param({}, 0, id="no-duty"),
        pytest.param({"duties": ["usage_reporting"]}, 5_000, id="duty"),
        pytest.param({"duties": ["autoscaling", "x"]}, 0, id="other-duty"),
    ],
)
def test_usage_is_counted_only_with_the_duty(
    more: dict[str, object], window_ms: int
) -> None:
    settings = msgspec.convert(
        {
            "node_name": "vm-1",
            "ip_address": "10.0.0.1",
            "zone": "z",
            "seeds": [],
            "internal_ports": (1, 9),
            "cloud_api": {"address": "10.0.0.2:80", **more},
        },
        settings_lib.Settings,
    )
    assert settings.usage_window_ms == window_ms
    assert (lib.usage_settings(settings) is not None) == bool(window_ms)


def test_each_run_is_counted_once_and_reported(
    usage_site: sites.Site, platform: duty_platform.DutyPlatform
) -> None:
    """Failed answers count, rejections and requests without account don't."""
    platform.behaviors = ["429 Too Many Requests", "lost", "500 Error"]
    site = usage_site
    runner = site.add_runner("i-1", "shop")
    engine = site.add_runner("i-2", "model")
    engine.behavior = "stream"
    routes = [*sites.document(1)["routes"], PUBLIC_ROUTE]
    site.start_serving(routes=routes, tenants=TENANTS)
    began_window = time.time_ns() // 1_000_000 // sites.USAGE_WINDOW_MS
    for number in range(6):
        site.call("/read/", attempt=f"r{number}", Authorization="Token key-a")
    for number in range(3):
        site.call("/talk/", attempt=f"s{number}", Authorization="Token key-b")
    site.call("/open/", attempt="without")
    site.call("/read/", attempt="unknown", Authorization="Token key-c")
    runner.behavior = "fail"
    site.call("/pay/", attempt="failed", Authorization="Token key-a")
    runner.behavior = "reject"
    site.call("/pay/", attempt="rejected", Authorization="Token key-a")
    ended_window = time.time_ns() // 1_000_000 // sites.USAGE_WINDOW_MS

    def sums() -> Counter[str]:
        body_by_window = {
            body["window_id"]: body["counts"]
            for call in platform.taken
            for body in [json.loads(call.body)]
        }
        return sum(map(Counter, body_by_window.values()), Counter())

    def windows() -> set[int]:
        return {json.loads(call.body)["window_id"] for call in platform.taken}

    sites.wait_until(
        lambda: set(range(began_window, ended_window + 1)) <= windows(),
        "the reports",
    )
    assert sums() == {"acme": 7, "beta": 3}
    assert not list(
        duty_platform.find_violations(platform.calls, lease_ms=sites.LEASE_MS)
    )
    expected = {"duty-acquired", "usage-failed", "usage-sent"}
    sites.wait_until(
        lambda: expected <= {name for name, _ in site.duty_decisions},
        "the decisions",
    )

    def status() -> events.UsageStatus | None:
        reply = site.control.call(events.StatusRequest())
        return reply.usage if isinstance(reply, events.StatusReply) else None

    sites.wait_until(
        lambda: (
            (usage := status()) is not None
            and (usage.holder, usage.result) == ("vm-1", "accepted")
        ),
        "the status",
    )


def test_last_counts_are_reported_at_a_planned_stop(
    usage_site: sites.Site, platform: duty_platform.DutyPlatform
) -> None:
    """Requests after the last poll of a gateway that stopped were lost."""
    site = usage_site
    site.add_runner("i-1", "shop")
    site.start_serving(tenants=TENANTS)
    stopping = site.add_gateway("g2")
    sites.wait_until(lambda: stopping.is_ready, "the second gateway")
    called = 0
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        for called in range(1, 21):
            site.call(
                "/read/",
                attempt=f"a{called}",
                gateway=stopping.address,
                Authorization="Token key-a",
            )
    assert called == 20
    stopping.stop()
    assert stopping._gateway.usage.version == 20
    sites.wait_until(
        lambda: (
            sum(
                json.loads(body)["counts"].get("acme", 0)
                for body in {call.body for call in platform.taken}
            )
            == 20
        ),
        "the reports",
    )
