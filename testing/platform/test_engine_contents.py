"""Tests of the call that lists what an engine holds."""

from collections.abc import Iterator
import contextlib
import json
import pathlib

import pytest
from support import platform_site as sites

from wisteriawall.control import gateway_updates
from wisteriawall.gateway import cache_learner
from wisteriawall.gateway import cache_learning
from wisteriawall.platform import engine_contents


@pytest.mark.parametrize(
    ("entry", "parts", "malformed"),
    [
        pytest.param(["", "0aF3", 350, "m"], (("0aF3", 350),), 0, id="valid"),
        pytest.param(["", "a", 1, "m", 7], (("a", 1),), 0, id="longer"),
        pytest.param(["", "a", 1], (), 1, id="short"),
        pytest.param(["", "own", 1, "m"], (), 1, id="no-hexadecimal"),
        pytest.param(["", "a" * 65, 1, "m"], (), 1, id="long-id"),
        pytest.param(["", "a", 0, "m"], (), 1, id="no-tokens"),
        pytest.param(["", "a", True, "m"], (), 1, id="flag"),
        pytest.param(["", "a", 2**70, "m"], (), 1, id="over-64-bits"),
        pytest.param({"part": "a"}, (), 1, id="object"),
        pytest.param(None, (), 1, id="null"),
    ],
)
def test_entries_are_checked(
    entry: object, parts: tuple[tuple[str, int], ...], malformed: int
) -> None:
    listing = {"epoch": 3, "next": 9, "held": [entry]}
    held = engine_contents.parse(200, json.dumps(listing).encode())
    assert held is not None
    assert (held.parts, held.malformed) == (parts, malformed)


@pytest.mark.parametrize(
    ("status", "body"),
    [
        pytest.param(421, b"", id="another-runner"),
        pytest.param(200, b"", id="empty"),
        pytest.param(200, b"[" * 100_000, id="deep"),
        pytest.param(200, b'{"held": 3}', id="no-list"),
        pytest.param(200, b'{"held": ["\xff"]}', id="no-text"),
    ],
)
def test_invalid_answers_are_ignored(status: int, body: bytes) -> None:
    assert engine_contents.parse(status, body) is None


def knows_contents(site: sites.Site) -> bool:
    """Return whether each gateway knows what the stand-in engines hold."""
    loads = [
        gateway._gateway.load_by_id.get(engine.name)
        for gateway in site.gateways
        for engine in site.runners
        if engine.held
    ]
    return all(
        load and not load.uncached_tokens([("0a", 3_000)]) for load in loads
    )


@pytest.fixture(autouse=True)
def _patient(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let no call fail because the machine is busy."""
    monkeypatch.setattr(cache_learner, "PEER_TIMEOUT_MS", 5_000)
    monkeypatch.setattr(cache_learner, "ENGINE_TIMEOUT_S", 5.0)
    monkeypatch.setattr(gateway_updates, "GATEWAY_TIMEOUT_MS", 60_000)


@pytest.fixture(name="site")
def _site(tmp_path: pathlib.Path) -> Iterator[sites.Site]:
    """Yield a platform with four engines and a plain runner."""
    running = sites.Site(tmp_path)
    try:
        for number in range(4):
            engine = running.add_runner(f"i-{number}", "model")
            engine.held = [["", "0a", 3_000, "m"], "odd", ["", "zz", 1, "m"]]
        running.add_runner("i-9", "shop")
        yield running
    finally:
        running.close()


def test_gateways_that_start_together_learn_what_engines_hold(
    site: sites.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each engine is asked once, and every gateway knows what it holds."""
    # Both gateways count as started together also if the machine is busy.
    monkeypatch.setattr(cache_learning, "LONG_UP_MS", 60_000)
    with contextlib.ExitStack() as stack:
        stack.callback(site.add_gateway("g2").stop)
        site.start_serving()
        sites.wait_until(lambda: knows_contents(site), "the contents")
        assert [r.contents_calls for r in site.runners] == [1] * 4 + [0]


def test_gateway_that_restarts_alone_asks_another_gateway(
    site: sites.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(cache_learning, "LONG_UP_MS", 0)
    site.start_serving()
    sites.wait_until(lambda: knows_contents(site), "the engines' answers")
    with contextlib.ExitStack() as stack:
        stack.callback(site.add_gateway("g2").stop)
        sites.wait_until(lambda: knows_contents(site), "the other's answer")
        assert [r.contents_calls for r in site.runners] == [1] * 4 + [0]
