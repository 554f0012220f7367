"""Bar charts of a benchmark report; matplotlib is optional."""

from collections.abc import Sequence
import pathlib

from wisteriawall.benchmark import suite

__all__ = ["write_charts"]


def write_charts(report: suite.Report, folder: pathlib.Path) -> list[str]:
    """Write one PNG for each deployment to `folder`; return the file names.

    Raises:
        ImportError: matplotlib is not installed.
    """
    from matplotlib import figure

    names = []
    for deployment in dict.fromkeys(row.deployment for row in report.rows):
        rows = [row for row in report.rows if row.deployment == deployment]
        compared = [row for row in rows if row.group in ("ours", "baseline")]
        traces = [
            trace
            for trace in dict.fromkeys(row.trace for row in compared)
            if any(
                row.trace == trace and row.group == "baseline"
                for row in compared
            )
        ]
        chart = figure.Figure(figsize=(12, 6), layout="constrained")
        axes = chart.subplots()
        policies = list(dict.fromkeys(row.policy for row in compared))
        width = 0.8 / len(policies)
        for index, policy in enumerate(policies):
            heights = [_goodput(compared, trace, policy) for trace in traces]
            positions = [i + index * width for i in range(len(traces))]
            axes.bar(positions, heights, width, label=policy)
        axes.set_xticks([i + 0.4 for i in range(len(traces))], traces)
        axes.tick_params(axis="x", rotation=30)
        axes.set_ylabel("goodput over offered")
        axes.set_title(f"{deployment}: goodput by trace and policy")
        axes.legend(fontsize="small")
        name = f"goodput-{deployment}.png"
        chart.savefig(folder / name)
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
