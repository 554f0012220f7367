"""Tests of the simulated engine against its documented timing model."""

import math

import pytest

from wisteriawall.benchmark import engine as engine_lib
from wisteriawall.benchmark import workload
from wisteriawall.policy import admission_queue
from wisteriawall.policy import speeds
from wisteriawall.wire import fleet


def _job(number, *, prompt=512, output=10, prefix_hashes=(), stages=None):
    request = workload.Request(
        request_id=f"r{number}",
        arrival_ms=0,
        deadline_ms=10**6,
        kind="brief",
        account="shop",
        priority=admission_queue.Priority.INTERACTIVE,
        prompt_tokens=prompt,
        output_tokens=output,
        shared_prefix_tokens=0,
        prefix_hashes=tuple(prefix_hashes),
        entry_index=0,
    )
    return engine_lib.Job(
        request=request,
        stages=stages or engine_lib.Stages.PREFILL_AND_DECODE,
        remaining_prompt_tokens=prompt,
        remaining_output_tokens=output,
        sort_key=number,
        attempt=1,
    )


def _engine(role=fleet.Role.MIXED):
    return engine_lib.Engine(runner="runner", zone="zone", role=role)


def _run(engine):
    """Run until idle; return the finish time of each request in ms."""
    finished_ms_by_id = {}
    while engine.step_end_ms < math.inf:
        now_ms = engine.step_end_ms
        for event in engine.end_step():
            if event.kind is engine_lib.JobEventKind.FINISHED:
                finished_ms_by_id[event.job.request.request_id] = now_ms
    return finished_ms_by_id


def test_run_time_is_one_prefill_step_plus_decode_steps():
    engine = _engine()
    engine.submit(_job(1), 0.0)
    speed = speeds.DEFAULT
    expected = speed.step_ms + 512 * speed.step_ms_per_prompt_token
    expected += 9 * speed.decode_step_ms(1)
    assert _run(engine)["r1"] == pytest.approx(expected)
    assert engine.is_empty
    assert engine.free_pieces == speed.kv_pieces


def test_prefill_slows_decoding_streams_on_the_same_engine():
    alone, shared = _engine(), _engine()
    for engine in (alone, shared):
        engine.submit(_job(1, output=50), 0.0)
        engine.end_step()
    shared.submit(_job(2, prompt=5_120, output=1), 100.0)
    assert _run(shared)["r1"] > 1.5 * _run(alone)["r1"]


def test_a_cached_prefix_is_not_prefilled_again():
    engine = _engine()
    engine.submit(_job(1, prompt=3_000, output=1, prefix_hashes=(7, 8, 9)), 0.0)
    first_ms = _run(engine)["r1"]
    engine.submit(
        _job(2, prompt=3_000, output=1, prefix_hashes=(7, 8)), first_ms
    )
    assert _run(engine)["r2"] - first_ms < 0.6 * first_ms


def test_a_crash_drops_and_returns_every_job():
    engine = _engine()
    for number in range(60):
        engine.submit(_job(number), 0.0)
    engine.end_step()
    assert len(engine.crash()) == 60
    assert engine.is_empty
