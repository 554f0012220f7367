"""Benchmark runs: reproducible, whole, and able to fail."""

import msgspec
import pytest

from wisteriawall.benchmark import figures
from wisteriawall.benchmark import page
from wisteriawall.benchmark import simulation
from wisteriawall.benchmark import suite
from wisteriawall.benchmark import traces
from wisteriawall.benchmark import variants

SECONDS = 20


def _trace(name, deployment=traces.RITRATTINI):
    return traces.build(deployment, name, seed=3, seconds=SECONDS)


@pytest.mark.parametrize("name", traces.TRACE_NAMES)
def test_every_request_has_one_outcome(name):
    trace = _trace(name)
    run = simulation.run(trace, traces.RITRATTINI, variants.OURS, seed=3)
    assert len(run.answers) == len(trace.requests)
    for answer in run.answers:
        whole = answer.ended_ms < float("inf")
        lost = answer.attempts and not whole and name == "withdrawn"
        assert whole or answer.is_refused or lost
        assert not (answer.is_refused and answer.attempts), "refused, not run"


@pytest.mark.parametrize(
    "variant", [variants.OURS, variants.BASELINES[0]], ids=lambda v: v.name
)
def test_the_same_seed_gives_the_same_figures(variant):
    trace = _trace("swing")
    first, second = (
        figures.measure(
            simulation.run(trace, traces.RITRATTINI, variant, seed=3),
            duration_ms=trace.duration_ms,
        )
        for _ in range(2)
    )
    assert first == second


@pytest.mark.parametrize("name", ["steady", "overload-2x"])
def test_no_policy_passes_the_bound(name):
    deployment = traces.RITRATTINI
    trace = traces.build(deployment, name, seed=3, seconds=80)
    bound = figures.bound_goodput(trace, deployment)
    for variant in (variants.OURS, variants.BASELINES[1]):
        run = simulation.run(trace, deployment, variant, seed=3)
        measured = figures.measure(run, duration_ms=trace.duration_ms)
        assert measured.goodput <= bound
    assert (bound < 1) == (name == "overload-2x")


@pytest.mark.parametrize(
    ("values", "index"),
    [
        pytest.param([1, 1, 1, 1], 1.0, id="equal"),
        pytest.param([1, 0, 0, 0], 0.25, id="one takes all"),
        pytest.param([], 1.0, id="nobody"),
    ],
)
def test_jain_index(values, index):
    assert figures.jain_index(values) == pytest.approx(index)


def test_the_page_marks_missed_goals():
    goal = suite.Goal(name="a <goal>", wanted="1", measured="0", met=False)
    report = suite.Report(seed=1, seconds=1, rows=[], goals=[goal])
    text = page.render(report, plots=["plot.png"])
    assert 'class="missed"' in text
    assert "a &lt;goal&gt;" in text
    encoded = msgspec.json.encode(report)
    assert msgspec.json.decode(encoded, type=suite.Report) == report
