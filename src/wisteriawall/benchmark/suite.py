"""Runs every policy on every trace and checks the stated goals."""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
from typing import final

import msgspec

from wisteriawall.benchmark import figures as figures_lib
from wisteriawall.benchmark import simulation
from wisteriawall.benchmark import traces
from wisteriawall.benchmark import variants
from wisteriawall.benchmark import workload

__all__ = ["Goal", "Report", "Row", "run"]

MIN_SWING_GAIN = 1.3
OBIECTIV_GAIN_SHARE = 0.95
MIN_STEADY_RATIO = 0.98
MIN_BOUND_RATIO = 0.9
MIN_OVERLOAD_RATIO = 0.9
MAX_AMPLIFICATION = 1.1
FULL_SECONDS = 300
QUICK_SECONDS = 80
QUICK_TRACES = ("steady", "swing", "withdrawn", "overload-2x")
CAPACITY_TRACES = ("load-80", "load-90", "load-100")


@final
class Row(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one policy on one trace.

    `group` is `ours`, `baseline`, `ablation` or `no limits`; `bound` is the
    upper bound on the goodput of any policy.
    """

    deployment: str
    trace: str
    policy: str
    group: str
    bound: float
    figures: figures_lib.Figures


@final
class Goal(msgspec.Struct, frozen=True, kw_only=True):
    """A stated goal, as text, with its measured value."""

    name: str
    wanted: str
    measured: str
    met: bool


@final
class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Rows and goals of a benchmark; the same seed gives the same report."""

    seed: int
    seconds: int
    rows: list[Row]
    goals: list[Goal]


def run(*, quick: bool, seed: int) -> Report:
    """Run all policies on all traces of both deployments.

    With `quick`, the traces are fewer and shorter, and only our policy and the
    baselines run.
    """
    seconds = QUICK_SECONDS if quick else FULL_SECONDS
    names = QUICK_TRACES if quick else traces.TRACE_NAMES
    rows = [
        row
        for deployment in (traces.RITRATTINI, traces.OBIECTIV)
        for name in (*names, *CAPACITY_TRACES)
        for row in _trace_rows(
            deployment, name, seed=seed, seconds=seconds, quick=quick
        )
    ]
    return Report(
        seed=seed, seconds=seconds, rows=rows, goals=list(_goals(rows))
    )


def _trace_rows(
    deployment: workload.Deployment,
    name: str,
    *,
    seed: int,
    seconds: int,
    quick: bool,
) -> Iterator[Row]:
    trace = traces.build(deployment, name, seed=seed, seconds=seconds)
    bound = figures_lib.goodput_bound(trace, deployment)
    for group, variant in _variants_for_trace(name, quick=quick):
        run_result = simulation.run(trace, deployment, variant, seed=seed)
        yield Row(
            deployment=deployment.name,
            trace=name,
            policy=variant.name,
            group=group,
            bound=bound,
            figures=figures_lib.measure(
                run_result, duration_ms=trace.duration_ms
            ),
        )


def _variants_for_trace(
    trace: str, *, quick: bool
) -> Iterator[tuple[str, variants.Variant]]:
    yield "ours", variants.OURS
    if trace in CAPACITY_TRACES:
        return
    for group, group_variants in (
        ("baseline", variants.BASELINES),
        ("ablation", variants.ABLATIONS),
        ("no limits", variants.NO_LIMITS),
    ):
        for variant in (
            group_variants if group == "baseline" or not quick else ()
        ):
            yield group, variant


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Comparison:
    """Our policy's row and the baselines' on the same trace."""

    deployment: str
    trace: str
    ours: Row
    baselines: Sequence[Row]

    @property
    def best(self) -> Row:
        """Baseline with the highest goodput."""
        return max(self.baselines, key=lambda row: row.figures.goodput)

    @property
    def reactive(self) -> Row:
        """Baseline that changes roles by load thresholds."""
        return next(row for row in self.baselines if "reactive" in row.policy)


def _goals(rows: Sequence[Row]) -> Iterator[Goal]:
    for deployment in (traces.RITRATTINI, traces.OBIECTIV):
        deployment_rows = [
            row for row in rows if row.deployment == deployment.name
        ]
        for comparison in _compare_with_baselines(deployment_rows):
            yield from _trace_goals(comparison)
        yield _overload_goal(deployment.name, deployment_rows)
    yield _amplification_goal(rows)


def _compare_with_baselines(rows: Sequence[Row]) -> Iterator[_Comparison]:
    for ours in rows:
        baselines = [
            row
            for row in rows
            if row.trace == ours.trace and row.group == "baseline"
        ]
        if ours.group == "ours" and baselines:
            yield _Comparison(
                deployment=ours.deployment,
                trace=ours.trace,
                ours=ours,
                baselines=baselines,
            )


def _trace_goals(comparison: _Comparison) -> Iterator[Goal]:
    if comparison.trace in traces.SWINGING_TRACES:
        yield _swing_goal(comparison)
    if comparison.trace == "steady":
        yield _ratio_goal(comparison, "best baseline", MIN_STEADY_RATIO)
    if comparison.trace not in ("overload-2x", *CAPACITY_TRACES):
        yield _bound_goal(comparison)


def _swing_goal(comparison: _Comparison) -> Goal:
    """Return the goal on goodput gain and role changes.

    Ritrattini may change roles as often as the reactive baseline does, and
    obiectiv half as often, with a slightly lower gain.
    """
    ours, best = comparison.ours.figures, comparison.best.figures
    reactive = comparison.reactive.figures
    gain = ours.goodput / max(best.goodput, 1e-9)
    if comparison.deployment == traces.RITRATTINI.name:
        wanted, max_changes = MIN_SWING_GAIN, reactive.role_changes
    else:
        wanted = OBIECTIV_GAIN_SHARE * MIN_SWING_GAIN
        max_changes = reactive.role_changes // 2
    return Goal(
        name=f"{comparison.deployment} {comparison.trace}: gain",
        wanted=(
            f"{wanted:.3f}x the best baseline, {max_changes} changes at most"
        ),
        measured=(
            f"{gain:.3f}x ({ours.goodput:.3f} over {best.goodput:.3f}, "
            f"{comparison.best.policy}), {ours.role_changes} changes"
        ),
        met=gain >= wanted and ours.role_changes <= max_changes,
    )


def _ratio_goal(comparison: _Comparison, name: str, wanted: float) -> Goal:
    ours, best = comparison.ours.figures, comparison.best.figures
    ratio = ours.goodput / max(best.goodput, 1e-9)
    return Goal(
        name=f"{comparison.deployment} {comparison.trace}: against {name}",
        wanted=f"{wanted:.2f}x",
        measured=f"{ratio:.3f}x ({ours.goodput:.3f}, {best.goodput:.3f})",
        met=ratio >= wanted,
    )


def _bound_goal(comparison: _Comparison) -> Goal:
    ours, bound = comparison.ours.figures.goodput, comparison.ours.bound
    return Goal(
        name=f"{comparison.deployment} {comparison.trace}: against the bound",
        wanted=f"{MIN_BOUND_RATIO:.2f}x",
        measured=f"{ours / bound:.3f}x ({ours:.3f} of {bound:.3f})",
        met=ours >= MIN_BOUND_RATIO * bound,
    )


def _overload_goal(deployment: str, rows: Sequence[Row]) -> Goal:
    """Compare the good answers a second at load 2 with the capacity.

    Capacity is the most good answers a second on any of `CAPACITY_TRACES`.
    """
    ours_by_trace = {
        row.trace: row.figures for row in rows if row.group == "ours"
    }
    capacity = max(ours_by_trace[name].good_per_s for name in CAPACITY_TRACES)
    overload = ours_by_trace["overload-2x"].good_per_s
    return Goal(
        name=f"{deployment}: goodput at twice the capacity",
        wanted=f"{MIN_OVERLOAD_RATIO:.2f}x capacity",
        measured=(
            f"{overload / capacity:.3f}x ({overload:.1f} of "
            f"{capacity:.1f} good answers a second)"
        ),
        met=overload >= MIN_OVERLOAD_RATIO * capacity,
    )


def _amplification_goal(rows: Sequence[Row]) -> Goal:
    worst = max(
        row.figures.amplification for row in rows if row.group == "ours"
    )
    return Goal(
        name="retry amplification on every trace",
        wanted=f"under {MAX_AMPLIFICATION}x",
        measured=f"{worst:.3f}x",
        met=worst < MAX_AMPLIFICATION,
    )
