"""Summarize decision logs: where requests lost time or were refused.

`python -m tools.breakdown LOG` reads the JSON lines that gateways wrote; a log
collector may have put columns before the JSON. It prints two tables: by route,
how requests ended and how much their first tokens exceeded the forecast; and
by second, how many requests were refused, late or cut off.
"""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import pathlib
import sys
from typing import Any
from typing import final

import msgspec

__all__ = [
    "RequestOutcome",
    "main",
    "read_outcomes",
    "table_by_route",
    "table_by_second",
]

MS_PER_S = 1_000
# A later first token counts as late in the table by second. Target latencies
# of routes are a few hundred ms.
LATE_MS = 600
PERCENTILES = (50, 90)


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class RequestOutcome:
    """What the log says of one request; a missing time is None.

    Attributes:
        first_logged_ms: Time of the request's first line.
        route: Name of its route, empty if the log has none.
        ending: `whole` for a complete answer, `left` for one that was cut
            off, `open` for a request without an end in the log, `no route`,
            or the reason of a refusal.
        first_token_ms: Time to the first token.
        forecast_ms: Forecast of the time to the first token.
        forecast_wait_ms: The part of the forecast spent in the queue.
    """

    first_logged_ms: int
    route: str = ""
    ending: str = "open"
    first_token_ms: int | None = None
    forecast_ms: int | None = None
    forecast_wait_ms: int | None = None


def read_outcomes(lines: Iterable[bytes]) -> Iterator[RequestOutcome]:
    """Yield the outcome of each request, in the order of their first lines.

    Lines that are not JSON, or that concern no request, are skipped.
    """
    outcome_by_id: dict[str, RequestOutcome] = {}
    for line in lines:
        _, brace, rest = line.partition(b"{")
        try:
            entry = msgspec.json.decode(brace + rest)
        except msgspec.DecodeError:
            continue
        if not isinstance(entry, dict) or not entry.get("request"):
            continue
        outcome = outcome_by_id.setdefault(
            entry["request"], RequestOutcome(first_logged_ms=entry["t"])
        )
        _apply_log_entry(outcome, entry)
    yield from outcome_by_id.values()


def _apply_log_entry(outcome: RequestOutcome, entry: dict[str, Any]) -> None:
    outcome.route = entry.get("route", outcome.route)
    match entry["decision"]:
        case "placed":
            outcome.forecast_ms = entry["first_token_ms"]
            outcome.forecast_wait_ms = entry["wait_ms"]
        case "began":
            outcome.first_token_ms = entry["ms"]
        case "refused":
            outcome.ending = entry["reason"]
        case "ended":
            outcome.ending = "whole" if entry["whole"] else "left"
        case "no-route":
            outcome.ending = "no route"


def table_by_route(outcomes: list[RequestOutcome]) -> Iterator[str]:
    """Yield the lines of the table by route, starting with the column heads."""
    outcomes_by_route: dict[str, list[RequestOutcome]] = {}
    for outcome in outcomes:
        outcomes_by_route.setdefault(outcome.route or "-", []).append(outcome)
    yield (
        f"{'route':14}{'asked':>7}{'first p50':>11}{'p90':>7}"
        f"{'beyond forecast p50':>21}{'p90':>7}  endings"
    )
    for route, route_outcomes in sorted(
        outcomes_by_route.items(), key=lambda item: -len(item[1])
    ):
        first_tokens_ms = [
            outcome.first_token_ms
            for outcome in route_outcomes
            if outcome.first_token_ms is not None
        ]
        excess_ms = [
            outcome.first_token_ms - outcome.forecast_ms
            for outcome in route_outcomes
            if outcome.first_token_ms is not None
            and outcome.forecast_ms is not None
        ]
        first_token_p50, first_token_p90 = (
            _percentile(first_tokens_ms, percent) for percent in PERCENTILES
        )
        excess_p50, excess_p90 = (
            _percentile(excess_ms, percent) for percent in PERCENTILES
        )
        endings = Counter(outcome.ending for outcome in route_outcomes)
        listed = ", ".join(
            f"{n} {ending}" for ending, n in endings.most_common()
        )
        yield (
            f"{route:14}{len(route_outcomes):7}{first_token_p50:>11}{first_token_p90:>7}"
            f"{excess_p50:>21}{excess_p90:>7}  {listed}"
        )


def table_by_second(outcomes: list[RequestOutcome]) -> Iterator[str]:
    """Yield the lines of the table by second, starting with the column heads.

    A request counts in the second of its first log line.
    """
    start_s = (
        min((outcome.first_logged_ms for outcome in outcomes), default=0)
        // MS_PER_S
    )
    counter_by_second: dict[int, Counter[str]] = {}
    for outcome in outcomes:
        second = outcome.first_logged_ms // MS_PER_S - start_s
        counter_by_second.setdefault(second, Counter())[
            _loss_column(outcome)
        ] += 1
    columns = ("in time", "waited", "read or handed over", "refused", "cut")
    yield "second " + "".join(f"{name:>21}" for name in columns)
    for second, counter in sorted(counter_by_second.items()):
        yield f"{second:6} " + "".join(
            f"{counter[name]:21}" for name in columns
        )


def _loss_column(outcome: RequestOutcome) -> str:
    """Return the column of a request in the table by second.

    A late request counts as waiting if the forecast wait is over half the
    time to its first token.
    """
    if outcome.ending == "left":
        return "cut"
    if outcome.ending not in {"whole", "open"}:
        return "refused"
    if outcome.first_token_ms is None or outcome.first_token_ms <= LATE_MS:
        return "in time"
    forecast_wait_ms = outcome.forecast_wait_ms or 0
    return (
        "waited"
        if 2 * forecast_wait_ms > outcome.first_token_ms
        else "read or handed over"
    )


def _percentile(values: list[int], percent: int) -> str:
    """Return the percentile as text, `-` for no values."""
    if not values:
        return "-"
    ordered = sorted(values)
    return str(ordered[min(len(ordered) - 1, len(ordered) * percent // 100)])


def main(path: pathlib.Path) -> None:
    """Print both tables for a log file."""
    with path.open("rb") as log:
        outcomes = list(read_outcomes(log))
    for line in (*table_by_route(outcomes), "", *table_by_second(outcomes)):
        print(line)


if __name__ == "__main__":
    main(pathlib.Path(sys.argv[1]))
