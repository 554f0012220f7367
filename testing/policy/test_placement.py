"""Tests of the forecast and choice of an engine."""

import pytest

from wisteriawall.policy import placement

OPTIONS = placement.Options()
SHARED = ("s", 13_000)


def load(
    *, reader: bool = False, memory: int = 500_000
) -> placement.EngineLoad:
    """Return the load of an idle engine that remembers nothing."""
    return placement.EngineLoad(memory_tokens=memory, is_reader=reader)


def send(
    engine: placement.EngineLoad, name: str, read_ms: float, rank: int = 3
) -> None:
    """Send a prompt of its own part at time 0."""
    engine.send(name, ((name, 1_000),), read_ms=read_ms, rank=rank, now_ms=0)


@pytest.mark.parametrize(
    ("held", "asked", "unread"),
    [
        pytest.param((), (("a", 5), ("b", 7)), 12, id="nothing-held"),
        pytest.param((("a", 5),), (("a", 5), ("b", 7)), 7, id="first-part"),
        pytest.param((("b", 7),), (("a", 5), ("b", 7)), 12, id="later-part"),
        pytest.param((("a", 5), ("b", 7)), (("a", 5), ("b", 7)), 0, id="all"),
    ],
)
def test_unread_counts_from_the_first_missing_part(
    held: tuple[tuple[str, int], ...],
    asked: tuple[tuple[str, int], ...],
    unread: int,
) -> None:
    engine = load()
    engine.send("r", held, read_ms=1, rank=3, now_ms=0)
    assert engine.uncached_tokens(asked) == unread


def test_least_recent_parts_are_forgotten_first() -> None:
    engine = load(memory=1_000)
    for name in ("a", "b", "c"):
        engine.send(name, ((name, 400),), read_ms=1, rank=3, now_ms=0)
    assert engine.uncached_tokens((("a", 400),)) == 400
    assert engine.uncached_tokens((("c", 400),)) == 0


@pytest.mark.parametrize(
    ("rank", "now_ms", "wait_ms"),
    [
        pytest.param(3, 0, 100, id="urgent-waits-for-the-one-in-progress"),
        pytest.param(5, 0, 300, id="equal-waits-for-all"),
        pytest.param(5, 60, 240, id="progress-counts"),
        pytest.param(5, 900, 200, id="overdue-counts-nothing"),
    ],
)
def test_wait(rank: int, now_ms: int, wait_ms: float) -> None:
    engine = load()
    send(engine, "first", 100, rank=5)
    send(engine, "second", 200, rank=5)
    assert engine.wait_ms(now_ms=now_ms, rank=rank) == wait_ms


def test_next_prompt_begins_when_the_one_in_progress_ends() -> None:
    engine = load()
    send(engine, "first", 100, rank=5)
    send(engine, "late", 200, rank=8)
    send(engine, "urgent", 50, rank=3)
    engine.began("first", now_ms=100)
    assert engine.wait_ms(now_ms=100, rank=3) == 50
    engine.ended("urgent", now_ms=130)
    assert engine.wait_ms(now_ms=130, rank=3) == 200


def test_pace_follows_what_is_observed_within_bounds() -> None:
    engine = load()
    for _ in range(500):
        engine.observe(expected_ms=100 * engine.pace, took_ms=300)
    assert engine.pace == pytest.approx(3, rel=0.05)
    engine.observe(expected_ms=10, took_ms=10_000)
    assert engine.pace == pytest.approx(3, rel=0.05)


def choose(
    prompt: placement.Prompt,
    *candidates: placement.Candidate,
    now_ms: int = 0,
) -> placement.Placement:
    """Return the best placement on these engines."""
    best = placement.best(
        placement.forecasts(
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
        pytest.param(500, placement.Direct, id="short-directly"),
        pytest.param(13_000, placement.HandOver, id="long-read-apart"),
    ],
)
def test_long_prompts_are_read_apart(tokens: int, expected: type) -> None:
    prompt = placement.Prompt(
        request_id="r", parts=(("x", tokens),), output_tokens=20, rank=3
    )
    best = choose(
        prompt,
        placement.Candidate(
            upstream_id="p", load=load(reader=True), same_zone=True
        ),
        placement.Candidate(upstream_id="d", load=load(), same_zone=True),
    )
    assert isinstance(best, expected)


def test_subject_goes_where_it_was_read() -> None:
    knows, idle = load(), load()
    knows.send("r", (SHARED,), read_ms=900, rank=3, now_ms=0)
    knows.began("r", now_ms=900)
    prompt = placement.Prompt(
        request_id="q", parts=(SHARED, ("own", 800)), output_tokens=9, rank=3
    )
    best = choose(
        prompt,
        placement.Candidate(upstream_id="idle", load=idle, same_zone=True),
        placement.Candidate(upstream_id="knows", load=knows, same_zone=False),
        now_ms=1_000,
    )
    assert (best.upstream_id, best.unread_tokens) == ("knows", 800)


def test_prompt_without_room_in_memory_goes_elsewhere() -> None:
    full, free = load(memory=10_000), load(memory=10_000)
    full.send("r", (("x", 8_500),), read_ms=0, rank=3, now_ms=0)
    full.began("r", now_ms=0)
    prompt = placement.Prompt(
        request_id="q", parts=(("y", 900),), output_tokens=9, rank=3
    )
    best = choose(
        prompt,
        placement.Candidate(upstream_id="full", load=full, same_zone=True),
        placement.Candidate(upstream_id="free", load=free, same_zone=False),
    )
    assert best.upstream_id == "free"


def test_requests_whose_end_was_never_told_expire() -> None:
    engine = load()
    send(engine, "reading", 500)
    send(engine, "running", 100)
    engine.began("running", now_ms=100)
    engine.expire(placement.MAX_REQUEST_MS - 1)
    assert engine.in_flight == 2
    engine.expire(placement.MAX_REQUEST_MS)
    assert engine.in_flight == 0
    assert engine.wait_ms(now_ms=placement.MAX_REQUEST_MS, rank=9) == 0
