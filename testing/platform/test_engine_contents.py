"""Tests of the call that lists what an engine holds."""

import json
import pathlib

import pytest
from support import platform_site as sites

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


def test_gateways_that_start_together_learn_what_engines_hold(
    tmp_path: pathlib.Path,
) -> None:
    """Each engine is asked once, and every gateway knows what it holds."""
    site = sites.Site(tmp_path)
    try:
        engines = [site.add_runner(f"i-{n}", "model") for n in range(4)]
        plain = site.add_runner("i-9", "shop")
        for engine in engines:
            engine.held = [["", "0a", 3_000, "m"], "odd", ["", "zz", 1, "m"]]
        other = site.add_gateway("g2")
        site.start_serving()

        def knows_all() -> bool:
            loads = [
                gateway._gateway.load_by_id.get(engine.name)
                for gateway in site.gateways
                for engine in engines
            ]
            return all(
                load and not load.uncached_tokens([("0a", 3_000)])
                for load in loads
            )

        sites.wait_until(knows_all, "the contents at both gateways")
        assert [engine.contents_calls for engine in engines] == [1] * 4
        assert plain.contents_calls == 0
        other.stop()
    finally:
        site.close()
