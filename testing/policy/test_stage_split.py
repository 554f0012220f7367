"""Tests of the number of engines that prefill."""

import pytest

from wisteriawall.policy import stage_split
from wisteriawall.wire import gateway_messages

PREFILL = gateway_messages.Stage.PREFILL
DECODE = gateway_messages.Stage.DECODE


def _engines(prefill: int, decode: int) -> list[stage_split.Engine]:
    return [
        stage_split.Engine(
            upstream_id=f"e{number:02}",
            zone=f"z{number % 3}",
            stage=PREFILL if number < prefill else DECODE,
        )
        for number in range(prefill + decode)
    ]


@pytest.mark.parametrize(
    ("prefill", "decode", "decode_load", "ordered"),
    [
        pytest.param(4, 8, 0.0, {PREFILL: 2}, id="too-few-prefill"),
        pytest.param(20, 39, 0.0, {PREFILL: 10}, id="a-quarter-at-a-time"),
        pytest.param(6, 6, 0.0, {}, id="as-wanted"),
        pytest.param(5, 6, 0.0, {}, id="small-deviation"),
        pytest.param(9, 3, 0.0, {DECODE: 3}, id="too-many-prefill"),
        pytest.param(6, 6, 0.7, {DECODE: 3}, id="long-answers"),
        pytest.param(1, 1, 0.0, {}, id="two-engines"),
        pytest.param(0, 2, 0.0, {PREFILL: 1}, id="no-prefill-engine"),
        pytest.param(0, 1, 0.0, {}, id="one-engine"),
    ],
)
def test_changes_towards_the_wanted_share(
    prefill: int,
    decode: int,
    decode_load: float,
    ordered: dict[gateway_messages.Stage, int],
) -> None:
    changes = list(
        stage_split.plan(
            _engines(prefill, decode),
            prefill_share=0.5,
            decode_load=decode_load,
        )
    )
    by_stage = {
        stage: sum(change.stage is stage for change in changes)
        for stage in (PREFILL, DECODE)
    }
    assert {s: n for s, n in by_stage.items() if n} == ordered
    assert len({change.upstream_id for change in changes}) == len(changes)


def test_changes_come_from_the_zones_with_the_most_engines() -> None:
    engines = [
        stage_split.Engine(upstream_id=f"e{n}", zone=zone, stage=DECODE)
        for n, zone in enumerate("aaaabbcc")
    ]
    changes = list(
        stage_split.plan(engines, prefill_share=0.25, decode_load=0.0)
    )
    zone_by_id = {e.upstream_id: e.zone for e in engines}
    assert [zone_by_id[c.upstream_id] for c in changes] == ["a", "a"]
