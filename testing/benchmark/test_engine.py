"""Engine fake against its stated model."""

import math

import pytest

from wisteriawall.benchmark import engine as engine_lib
from wisteriawall.benchmark import workload
from wisteriawall.policy import admission_queue
from wisteriawall.policy import speeds
from wisteriawall.wire import fleet


def _job(number, *, prompt=512, output=10, prefixes=(), part=None):
    request = workload.Request(
        request_id=f"r{number}",
        arrival_ms=0,
        deadline_ms=10**6,
        kind="brief",
        account="shop",
        priority=admission_queue.Priority.INTERACTIVE,
        prompt_tokens=prompt,
        output_tokens=output,
        shared_tokens=0,
        prefixes=tuple(prefixes),
        entry=0,
    )
    return engine_lib.Job(
        request=request,
        part=part or engine_lib.Part.WHOLE,
        prompt_left=prompt,
        output_left=output,
        order=number,
        attempt=1,
    )


def _engine(role=fleet.Role.MIXED):
    return engine_lib.Engine(runner="runner", zone="zone", role=role)


def _run(engine):
    """Run until idle; return when each job finished."""
    ended_by_id = {}
    while engine.ends_ms < math.inf:
        now_ms = engine.ends_ms
        for outcome in engine.end_step():
            if outcome.kind is engine_lib.OutcomeKind.FINISHED:
                ended_by_id[outcome.job.request.request_id] = now_ms
    return ended_by_id


def test_one_answer_takes_its_prompt_step_and_its_decode_steps():
    engine = _engine()
    engine.submit(_job(1), 0.0)
    speed = speeds.DEFAULT
    expected = speed.step_ms + 512 * speed.step_ms_per_prompt_token
    expected += 9 * speed.decode_step_ms(1)
    assert _run(engine)["r1"] == pytest.approx(expected)
    assert engine.is_empty
    assert engine.free_pieces == speed.kv_pieces


def test_prompt_work_slows_the_streams_beside_it():
    alone, beside = _engine(), _engine()
    for engine in (alone, beside):
        engine.submit(_job(1, output=50), 0.0)
        engine.end_step()
    beside.submit(_job(2, prompt=5_120, output=1), 100.0)
    assert _run(beside)["r1"] > 1.5 * _run(alone)["r1"]


def test_a_cached_prefix_saves_its_prefill():
    engine = _engine()
    engine.submit(_job(1, prompt=3_000, output=1, prefixes=(7, 8, 9)), 0.0)
    first_ms = _run(engine)["r1"]
    engine.submit(_job(2, prompt=3_000, output=1, prefixes=(7, 8)), first_ms)
    assert _run(engine)["r2"] - first_ms < 0.6 * first_ms


def test_a_crash_returns_every_job():
    engine = _engine()
    for number in range(60):
        engine.submit(_job(number), 0.0)
    engine.end_step()
    assert len(engine.crash()) == 60
    assert engine.is_empty
