"""HTML page of a benchmark report."""

from collections.abc import Iterator
from collections.abc import Sequence
import html

from wisteriawall.benchmark import suite

__all__ = ["render"]

_STYLE = (
    "body{font-family:sans-serif;margin:2em}"
    "table{border-collapse:collapse;margin-bottom:2em}"
    "td,th{border:1px solid #999;padding:.2em .6em;text-align:right}"
    "td:first-child,th:first-child{text-align:left}"
    ".missed{background:#fdd}.ours{font-weight:bold}"
)
_COLUMNS = (
    "policy",
    "goodput",
    "refused",
    "late",
    "first token p95, ms",
    "between tokens p95, ms",
    "role changes",
    "engine-seconds lost",
    "fairness",
    "amplification",
)


def render(report: suite.Report, *, plots: Sequence[str]) -> str:
    """Return the HTML text; `plots` are image files in the same folder."""
    return "\n".join(_lines(report, plots))


def _lines(report: suite.Report, plots: Sequence[str]) -> Iterator[str]:
    yield '<!doctype html><html lang="en"><head><meta charset="utf-8">'
    yield "<title>wisteriawall bench</title>"
    yield f"<style>{_STYLE}</style></head><body>"
    yield "<h1>Policies on seeded traces in virtual time</h1>"
    yield f"<p>Seed {report.seed}, {report.seconds} s a trace.</p>"
    yield from _goal_table(report.goals)
    for plot in plots:
        name = html.escape(plot)
        yield f'<p><img src="{name}" alt="{name}"></p>'
    deployment_traces = dict.fromkeys(
        (row.deployment, row.trace) for row in report.rows
    )
    for deployment, trace in deployment_traces:
        rows = [
            row
            for row in report.rows
            if (row.deployment, row.trace) == (deployment, trace)
        ]
        yield from _trace_table(deployment, trace, rows)
    yield "</body></html>"


def _goal_table(goals: Sequence[suite.Goal]) -> Iterator[str]:
    yield "<h2>Goals</h2><table>"
    yield _cells("th", ("goal", "wanted", "measured", "met"))
    for goal in goals:
        verdict = "yes" if goal.met else "missed"
        cells = _cells("td", (goal.name, goal.wanted, goal.measured, verdict))
        yield cells if goal.met else cells.replace("<tr", '<tr class="missed"')
    yield "</table>"


def _trace_table(
    deployment: str, trace: str, rows: Sequence[suite.Row]
) -> Iterator[str]:
    bound = f"{rows[0].bound:.3f}"
    yield f"<h2>{deployment}: {trace} (bound {bound})</h2><table>"
    yield _cells("th", _COLUMNS)
    for row in rows:
        figures = row.figures
        cells = _cells(
            "td",
            (
                f"{row.policy} ({row.group})",
                f"{figures.goodput:.3f}",
                str(figures.refused),
                str(figures.late),
                f"{figures.first_token_p95_ms:.0f}",
                f"{figures.between_tokens_p95_ms:.1f}",
                str(figures.role_changes),
                f"{figures.lost_engine_s:.0f}",
                f"{figures.fairness:.3f}",
                f"{figures.amplification:.3f}",
            ),
        )
        is_ours = row.group == "ours"
        yield cells.replace("<tr", '<tr class="ours"') if is_ours else cells
    yield "</table>"


def _cells(tag: str, values: Sequence[str]) -> str:
    cells = "".join(f"<{tag}>{html.escape(value)}</{tag}>" for value in values)
    return f"<tr>{cells}</tr>"
