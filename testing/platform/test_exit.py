"""Tests of what a stopped gateway leaves behind, with control on loopback."""

import threading
import time

import pynng
import pytest
from support import platform_site

from wisteriawall.control import events
from wisteriawall.wire import transport

CALL_TIMEOUT_MS = 10_000
NNG_DELAY_S = 0.3


@pytest.fixture
def _long_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let calls to control wait longer than a stop takes."""
    defaults = transport.RpcClient.__init__.__kwdefaults__
    monkeypatch.setitem(defaults, "timeout_ms", CALL_TIMEOUT_MS)


@pytest.mark.usefixtures("_long_calls")
def test_stopped_gateway_has_no_thread_that_uses_nng(
    site: platform_site.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The interpreter freed NNG's memory under the thread that polls."""
    asked = threading.Event()
    answer = threading.Event()
    close_context = pynng.Context.close

    def call(
        _: events.Request, *, timeout_s: float | None = None
    ) -> events.Reply:
        del timeout_s
        asked.set()
        answer.wait(platform_site.WAIT_S)
        return events.Unavailable("")

    def close_slowly(context: pynng.Context) -> None:
        time.sleep(NNG_DELAY_S)
        close_context(context)

    monkeypatch.setattr(site.control, "call", call)
    assert asked.wait(platform_site.WAIT_S)
    with monkeypatch.context() as patches:
        patches.setattr(pynng.Context, "close", close_slowly)
        site.gateway.stop()
        names = [thread.name for thread in threading.enumerate()]
    site.stopped = True
    answer.set()
    assert "poll-control" not in names
