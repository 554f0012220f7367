"""Tests of simulated runs, of their figures and of the report."""

import msgspec
import pytest

from wisteriawall.benchmark import figures
from wisteriawall.benchmark import html_report
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
    assert len(run.results) == len(trace.requests)
    for result in run.results:
        is_complete = result.completed_ms < float("inf")
        is_lost = result.attempts and not is_complete and name == "withdrawn"
        assert is_complete or result.is_refused or is_lost
        assert not (result.is_refused and result.attempts), (
            "refused after it was dispatched"
        )


@pytest.mark.parametrize(
    "variant",
    [variants.OURS, variants.BASELINES[0]],
    ids=lambda variant: variant.name,
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
def test_no_policy_exceeds_the_goodput_bound(name):
    deployment = traces.RITRATTINI
    trace = traces.build(deployment, name, seed=3, seconds=80)
    bound = figures.goodput_bound(trace, deployment)
    for variant in (variants.OURS, variants.BASELINES[1]):
        run = simulation.run(trace, deployment, variant, seed=3)
        measured = figures.measure(run, duration_ms=trace.duration_ms)
        assert measured.goodput <= bound
    assert (bound < 1) == (name == "overload-2x")


@pytest.mark.parametrize(
    ("values", "index"),
    [
        pytest.param([1, 1, 1, 1], 1.0, id="equal"),
        pytest.param([1, 0, 0, 0], 0.25, id="one has everything"),
        pytest.param([], 1.0, id="no values"),
    ],
)
def test_jain_index(values, index):
    assert figures.jain_index(values) == pytest.approx(index)


def test_the_page_marks_missed_goals_and_escapes_names():
    goal = suite.Goal(name="a <goal>", wanted="1", measured="0", met=False)
    report = suite.Report(seed=1, seconds=1, rows=[], goals=[goal])
    text = html_report.render(report, plots=["plot.png"])
    assert 'class="missed"' in text
    assert "a &lt;goal&gt;" in text
    encoded = msgspec.json.encode(report)
    assert msgspec.json.decode(encoded, type=suite.Report) == report
