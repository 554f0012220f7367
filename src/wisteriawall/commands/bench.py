"""`wisteriawall bench`: compare policies in a simulation.

The simulation runs seeded request traces in virtual time.
"""

import pathlib
from typing import Annotated

import msgspec
import typer

from wisteriawall.benchmark import html_report
from wisteriawall.benchmark import plots
from wisteriawall.benchmark import suite

__all__ = ["bench"]

ReportFolder = Annotated[
    pathlib.Path,
    typer.Option(
        envvar="WISTERIAWALL_BENCH_REPORT",
        help="Folder that report.json, index.html and plots are written to.",
    ),
]
Quick = Annotated[
    bool, typer.Option("--quick", help="Run fewer and shorter traces.")
]
Seed = Annotated[
    int,
    typer.Option(
        envvar="WISTERIAWALL_BENCH_SEED", help="Seed of the request traces."
    ),
]


def bench(report: ReportFolder, quick: Quick = False, seed: Seed = 1) -> None:
    """Compare policies with baselines in a simulation; write a report."""
    report.mkdir(parents=True, exist_ok=True)
    result = suite.run(quick=quick, seed=seed)
    encoded = msgspec.json.format(msgspec.json.encode(result))
    (report / "report.json").write_bytes(encoded)
    try:
        plot_names = plots.write_charts(result, report)
    except ImportError:
        plot_names = []
        typer.echo(
            "no plots: matplotlib is not installed; "
            "report.json and index.html are complete",
            err=True,
        )
    html = html_report.render(result, plots=plot_names)
    (report / "index.html").write_text(html, encoding="utf-8")
    for goal in result.goals:
        verdict = "met" if goal.met else "MISSED"
        typer.echo(
            f"{verdict}: {goal.name}: {goal.measured}; goal {goal.wanted}"
        )
