"""`wisteriawall bench`: policies on seeded traces in virtual time."""

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
        help="Folder for report.json, index.html and the plots.",
    ),
]
Quick = Annotated[
    bool, typer.Option("--quick", help="Run fewer and shorter traces.")
]
Seed = Annotated[
    int,
    typer.Option(envvar="WISTERIAWALL_BENCH_SEED", help="Seed of the traces."),
]


def bench(report: ReportFolder, quick: Quick = False, seed: Seed = 1) -> None:
    """Measure policies against baselines and write a report."""
    report.mkdir(parents=True, exist_ok=True)
    measured = suite.run(quick=quick, seed=seed)
    encoded = msgspec.json.format(msgspec.json.encode(measured))
    (report / "report.json").write_bytes(encoded)
    try:
        names = plots.write_charts(measured, report)
    except ImportError:
        names = []
        typer.echo(
            "no plots: matplotlib is not installed; "
            "report.json and index.html are whole",
            err=True,
        )
    text = html_report.render(measured, plots=names)
    (report / "index.html").write_text(text, encoding="utf-8")
    for goal in measured.goals:
        word = "met" if goal.met else "MISSED"
        typer.echo(f"{word}: {goal.name}: {goal.measured}; goal {goal.wanted}")
