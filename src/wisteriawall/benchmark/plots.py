"""Plots of a benchmark's report, if the plotting library is installed."""

from collections.abc import Sequence
import pathlib

from wisteriawall.benchmark import suite

__all__ = ["write"]


def write(report: suite.Report, folder: pathlib.Path) -> list[str]:
    """Write one plot for each deployment; return their file names.

    Raises:
        ImportError: matplotlib is not installed.
    """
    from matplotlib import figure

    names = []
    for deployment in dict.fromkeys(row.deployment for row in report.rows):
        rows = [r for r in report.rows if r.deployment == deployment]
        compared = [r for r in rows if r.group in ("ours", "baseline")]
        traces = [
            t
            for t in dict.fromkeys(r.trace for r in compared)
            if any(r.trace == t and r.group == "baseline" for r in compared)
        ]
        drawn = figure.Figure(figsize=(12, 6), layout="constrained")
        axes = drawn.subplots()
        policies = list(dict.fromkeys(r.policy for r in compared))
        width = 0.8 / len(policies)
        for index, policy in enumerate(policies):
            heights = [_goodput(compared, t, policy) for t in traces]
            places = [i + index * width for i in range(len(traces))]
            axes.bar(places, heights, width, label=policy)
        axes.set_xticks([i + 0.4 for i in range(len(traces))], traces)
        axes.tick_params(axis="x", rotation=30)
        axes.set_ylabel("goodput over offered")
        axes.set_title(f"{deployment}: goodput by trace and policy")
        axes.legend(fontsize="small")
        name = f"goodput-{deployment}.png"
        drawn.savefig(folder / name)
        names.append(name)
    return names


def _goodput(rows: Sequence[suite.Row], trace: str, policy: str) -> float:
    return next(
        (
            row.figures.goodput
            for row in rows
            if row.trace == trace and row.policy == policy
        ),
        0.0,
    )
