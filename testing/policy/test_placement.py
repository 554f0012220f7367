"""Tests of the forecast for a prompt and the choice of an engine."""

import pytest

from wisteriawall.policy import placement

OPTIONS = placement.Options()
SHARED_PART = ("s", 13_000)


def idle_load(
    *, is_prefill_engine: bool = False, kv_cache_tokens: int = 500_000
) -> placement.EngineLoad:
    """Return the load of an idle engine with an empty KV cache."""
    return placement.EngineLoad(
        kv_cache_tokens=kv_cache_tokens, is_prefill_engine=is_prefill_engine
    )


def send_prompt(
    engine: placement.EngineLoad,
    name: str,
    prefill_ms: float,
    priority_class: int = 3,
) -> None:
    """Record a prompt sent at time 0 that shares no part with another."""
    engine.request_sent(
        name,
        ((name, 1_000),),
        prefill_ms=prefill_ms,
        priority_class=priority_class,
        now_ms=0,
    )


@pytest.mark.parametrize(
    ("cached", "parts", "expected"),
    [
        pytest.param((), (("a", 5), ("b", 7)), 12, id="nothing-cached"),
        pytest.param(
            (("a", 5),), (("a", 5), ("b", 7)), 7, id="first-part-cached"
        ),
        pytest.param(
            (("b", 7),), (("a", 5), ("b", 7)), 12, id="only-later-part-cached"
        ),
        pytest.param(
            (("a", 5), ("b", 7)), (("a", 5), ("b", 7)), 0, id="all-cached"
        ),
    ],
)
def test_tokens_from_the_first_uncached_part_on_are_uncached(
    cached: tuple[tuple[str, int], ...],
    parts: tuple[tuple[str, int], ...],
    expected: int,
) -> None:
    engine = idle_load()
    engine.request_sent("r", cached, prefill_ms=1, priority_class=3, now_ms=0)
    assert engine.uncached_tokens(parts) == expected


def test_least_recently_sent_parts_are_evicted_first() -> None:
    engine = idle_load(kv_cache_tokens=1_000)
    for name in ("a", "b", "c"):
        engine.request_sent(
            name, ((name, 400),), prefill_ms=1, priority_class=3, now_ms=0
        )
    assert engine.uncached_tokens((("a", 400),)) == 400
    assert engine.uncached_tokens((("c", 400),)) == 0


@pytest.mark.parametrize(
    ("priority_class", "now_ms", "wait_ms"),
    [
        pytest.param(3, 0, 100, id="more-urgent-waits-for-the-active-prefill"),
        pytest.param(5, 0, 300, id="equal-class-waits-for-all"),
        pytest.param(5, 60, 240, id="elapsed-time-is-subtracted"),
        pytest.param(5, 900, 200, id="overdue-prefill-counts-zero"),
    ],
)
def test_wait_depends_on_priority_class_and_progress(
    priority_class: int, now_ms: int, wait_ms: float
) -> None:
    engine = idle_load()
    send_prompt(engine, "first", 100, priority_class=5)
    send_prompt(engine, "second", 200, priority_class=5)
    assert (
        engine.wait_ms(now_ms=now_ms, priority_class=priority_class) == wait_ms
    )


def test_next_prefill_starts_at_the_end_of_the_active_one() -> None:
    engine = idle_load()
    send_prompt(engine, "first", 100, priority_class=5)
    send_prompt(engine, "late", 200, priority_class=8)
    send_prompt(engine, "urgent", 50, priority_class=3)
    engine.first_token_received("first", now_ms=100)
    assert engine.wait_ms(now_ms=100, priority_class=3) == 50
    engine.request_ended("urgent", now_ms=130)
    assert engine.wait_ms(now_ms=130, priority_class=3) == 200


def test_slowdown_follows_measurements_of_long_prefills() -> None:
    engine = idle_load()
    for number in range(500):
        name, sent_ms = f"r{number}", 1_000 * number
        engine.request_sent(
            name, ((name, 9),), prefill_ms=100, priority_class=3, now_ms=sent_ms
        )
        end_ms = sent_ms + 318
        ratio = engine.measure_prefill(name, now_ms=end_ms)
        assert ratio is not None
        engine.add_measurement(name, ratio, now_ms=end_ms)
        engine.request_ended(name, now_ms=end_ms)
        engine.drop_expired(end_ms)
    assert engine.slowdown == pytest.approx(3, rel=0.05)
    send_prompt(engine, "short", 10)
    assert engine.measure_prefill("short", now_ms=10_000) is None


def test_prefill_in_a_queue_is_measured_from_the_end_of_the_one_before() -> (
    None
):
    engine = idle_load()
    send_prompt(engine, "first", 100)
    send_prompt(engine, "second", 200)
    # It needs no prefill here, so that it delays none.
    send_prompt(engine, "decoded", 0, priority_class=1)
    assert engine.measure_prefill("second", now_ms=150) is None
    engine.first_token_received("first", now_ms=150)
    assert engine.measure_prefill("second", now_ms=550) == pytest.approx(2)


def best_placement(
    prompt: placement.Prompt,
    *candidates: placement.Candidate,
    now_ms: int = 0,
) -> placement.Placement:
    """Return the placement of lowest cost among these engines."""
    best = placement.cheapest(
        placement.enumerate_placements(
            prompt,
            list(candidates),
            transfer_ms_per_token=0.0008,
            now_ms=now_ms,
            options=OPTIONS,
        )
    )
    assert best is not None
    return best


@pytest.mark.parametrize(
    ("tokens", "expected"),
    [
        pytest.param(500, placement.SingleEngine, id="short-on-one-engine"),
        pytest.param(13_000, placement.EnginePair, id="long-on-a-pair"),
    ],
)
def test_long_prompts_are_prefilled_on_a_prefill_engine(
    tokens: int, expected: type
) -> None:
    prompt = placement.Prompt(
        request_id="r",
        parts=(("x", tokens),),
        output_tokens=20,
        priority_class=3,
    )
    best = best_placement(
        prompt,
        placement.Candidate(
            upstream_id="p",
            load=idle_load(is_prefill_engine=True),
            same_zone=True,
        ),
        placement.Candidate(upstream_id="d", load=idle_load(), same_zone=True),
    )
    assert isinstance(best, expected)


def test_prompt_is_placed_where_its_first_part_is_cached() -> None:
    cached, idle = idle_load(), idle_load()
    cached.request_sent(
        "r", (SHARED_PART,), prefill_ms=900, priority_class=3, now_ms=0
    )
    cached.first_token_received("r", now_ms=900)
    prompt = placement.Prompt(
        request_id="q",
        parts=(SHARED_PART, ("own", 800)),
        output_tokens=9,
        priority_class=3,
    )
    best = best_placement(
        prompt,
        placement.Candidate(upstream_id="idle", load=idle, same_zone=True),
        placement.Candidate(upstream_id="cached", load=cached, same_zone=False),
        now_ms=1_000,
    )
    assert (best.upstream_id, best.uncached_tokens) == ("cached", 800)


def test_prompt_avoids_an_engine_with_a_full_kv_cache() -> None:
    full, free = (
        idle_load(kv_cache_tokens=10_000),
        idle_load(kv_cache_tokens=10_000),
    )
    full.request_sent(
        "r", (("x", 8_500),), prefill_ms=0, priority_class=3, now_ms=0
    )
    full.first_token_received("r", now_ms=0)
    prompt = placement.Prompt(
        request_id="q", parts=(("y", 900),), output_tokens=9, priority_class=3
    )
    best = best_placement(
        prompt,
        placement.Candidate(upstream_id="full", load=full, same_zone=True),
        placement.Candidate(upstream_id="free", load=free, same_zone=False),
    )
    assert best.upstream_id == "free"


def test_requests_without_a_received_end_expire() -> None:
    engine = idle_load()
    send_prompt(engine, "pending", 500)
    send_prompt(engine, "running", 100)
    engine.first_token_received("running", now_ms=100)
    engine.drop_expired(placement.MAX_REQUEST_MS - 1)
    assert engine.in_flight == 2
    engine.drop_expired(placement.MAX_REQUEST_MS)
    assert engine.in_flight == 0
    assert (
        engine.wait_ms(now_ms=placement.MAX_REQUEST_MS, priority_class=9) == 0
    )
