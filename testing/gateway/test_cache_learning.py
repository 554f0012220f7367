"""Tests of whom a started gateway asks what engines hold, in virtual time."""

from collections import Counter

import pytest

from wisteriawall.gateway import cache_learning
from wisteriawall.wire import gateway_messages

GATEWAYS = [f"g{number:02}" for number in range(25)]
ENGINES = [
    gateway_messages.Upstream(
        upstream_id=f"e{number}",
        service="model",
        address=f"10.0.0.{number}:80",
        zone="z1",
        slots=64,
    )
    for number in range(27)
]
STEP_MS = 50
UNTIL_MS = 12_000


def play(
    name: str,
    *,
    names: list[str],
    up_ms: int | None,
    known_ms: int = 0,
    addresses: bool = True,
    told: tuple[str, ...] = (),
) -> tuple[list[cache_learning.Step], int]:
    """Return the steps of a gateway, and when it began to ask.

    Args:
        name: The gateway.
        names: All gateways.
        up_ms: What others answer to how long they have served.
        known_ms: When the last of the others is known.
        addresses: Whether the others' addresses are known.
        told: Engines of which another gateway tells.
    """
    learning = cache_learning.Learning(name)
    for start_id in told:
        learning.note_told(start_id)
    steps: list[cache_learning.Step] = []
    asked_ms = 0
    for now_ms in range(0, UNTIL_MS, STEP_MS):
        known = names if now_ms >= known_ms else names[: len(names) // 2]
        learning.note_peers(
            {n: f"{n}:1" if addresses else "" for n in known if n != name},
            now_ms,
        )
        learning.note_complete(now_ms)
        while True:
            step = learning.next_step(ENGINES, now_ms)
            if isinstance(step, cache_learning.Wait):
                break
            asked_ms = asked_ms or now_ms
            steps.append(step)
            if isinstance(step, cache_learning.AskPeer):
                learning.note_peer(up_ms)
            if isinstance(step, cache_learning.Finish):
                return steps, asked_ms
    raise AssertionError(f"not finished: {steps}")


def asked_engines(steps: list[cache_learning.Step]) -> list[str]:
    """Return the engines that were asked."""
    return [
        step.engine.upstream_id
        for step in steps
        if isinstance(step, cache_learning.AskEngine)
    ]


@pytest.mark.parametrize("known_ms", [0, 300])
def test_gateways_that_start_together_ask_each_engine_once(
    known_ms: int,
) -> None:
    """Each call delays the engine, and every gateway could ask all of them."""
    asked: Counter[str] = Counter()
    for name in GATEWAYS:
        steps, asked_ms = play(
            name, names=GATEWAYS, up_ms=300, known_ms=known_ms
        )
        assert steps[0] == cache_learning.Announce()
        assert asked_ms <= cache_learning.MAX_SETTLE_MS
        assert len(asked_engines(steps)) <= 6
        asked.update(asked_engines(steps))
    assert asked == Counter(engine.upstream_id for engine in ENGINES)


@pytest.mark.parametrize(
    ("up_ms", "addresses"),
    [
        pytest.param(60_000, True, id="the others have run for long"),
        pytest.param(None, True, id="the others don't answer"),
        pytest.param(None, False, id="a leader of an older version"),
    ],
)
def test_gateway_that_restarts_alone_asks_no_engine(
    up_ms: int | None, addresses: bool
) -> None:
    steps, _ = play("g03", names=GATEWAYS, up_ms=up_ms, addresses=addresses)
    assert asked_engines(steps) == []


def test_engines_that_others_told_of_are_not_asked() -> None:
    told = tuple(engine.start_id for engine in ENGINES)
    steps, _ = play("g03", names=GATEWAYS, up_ms=300, told=told)
    assert asked_engines(steps) == []


def test_other_gateway_that_did_not_answer_is_asked_again() -> None:
    """It may be busy with its own start; then nobody would ask any engine."""
    learning = cache_learning.Learning("g1")
    learning.note_peers({"g2": "g2:1"}, 0)
    learning.note_complete(0)
    now_ms = cache_learning.MAX_SETTLE_MS
    answers = [None, None, 700]
    while isinstance(
        step := learning.next_step(ENGINES, now_ms),
        cache_learning.Announce | cache_learning.AskPeer,
    ):
        if isinstance(step, cache_learning.AskPeer):
            learning.note_peer(answers.pop(0))
    assert isinstance(step, cache_learning.AskEngine)
    assert answers == []


def test_only_gateway_asks_every_engine() -> None:
    steps, _ = play("g03", names=["g03"], up_ms=None)
    assert set(asked_engines(steps)) == {e.upstream_id for e in ENGINES}


def test_nothing_is_asked_before_table_and_runners_are_known() -> None:
    learning = cache_learning.Learning("g03")
    step = learning.next_step(ENGINES, UNTIL_MS)
    assert step == cache_learning.Wait()
