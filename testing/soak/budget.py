"""Repeats of a service beyond the retry budget, in any window.

"In some `budget_window_s`, a service gets more arrivals beyond the first of
each request than `budget_ratio` x the requests for it + `retry_budget_slack`,
summed over all machines."
"""

import collections
from collections.abc import Iterator
from collections.abc import Mapping
import itertools

from soak import records
from soak import runners

__all__ = ["RATIO", "SLACK", "WINDOW_S", "find"]

# As the smallest deployments have them.
RATIO = 0.2
SLACK = 58
WINDOW_S = 10.0


def find(
    seen: records.Records,
    arrivals_by_key: Mapping[records.CallKey, list[records.Arrival]],
) -> Iterator[tuple[records.Arrival, str]]:
    """Yield, for each service over its budget, a repeat and what was seen."""
    kinds_by_service: dict[str, set[records.Kind]] = collections.defaultdict(
        set
    )
    repeats_by_service: dict[str, list[records.Arrival]] = (
        collections.defaultdict(list)
    )
    for call in seen.calls:
        arrivals = arrivals_by_key.get(call.key, [])
        for arrival in arrivals:
            kinds_by_service[arrival.service].add(call.kind)
        for arrival in _repeats(arrivals):
            repeats_by_service[arrival.service].append(arrival)
    for service, repeats in repeats_by_service.items():
        requests_s = [
            call.started_s
            for call in seen.calls
            if call.kind in kinds_by_service[service]
        ]
        repeats.sort(key=lambda arrival: arrival.at_s)
        for arrival in repeats:
            text = _excess(arrival.at_s, repeats, requests_s)
            if text:
                yield arrival, f"{text} for service {service}"
                break


def _repeats(arrivals: list[records.Arrival]) -> Iterator[records.Arrival]:
    """Yield a request's arrivals after the first.

    "The first call that only has the prompt read isn't extra."
    """
    ordered = sorted(arrivals, key=lambda arrival: arrival.at_s)
    first_prefill = next(
        (
            arrival
            for arrival in ordered
            if arrival.header_by_name.get(runners.STAGE) == "prefill"
            and arrival.ending is not records.RunEnding.REJECTED
        ),
        None,
    )
    counted = (arrival for arrival in ordered if arrival is not first_prefill)
    yield from itertools.islice(counted, 1, None)


def _excess(
    start_s: float,
    repeats: list[records.Arrival],
    requests_s: list[float],
) -> str:
    """Return what is over the budget in the window, empty if nothing is.

    The requests are those of the window, the one before or the one half a
    window before, whichever has most.
    """
    count = sum(
        start_s <= arrival.at_s < start_s + WINDOW_S for arrival in repeats
    )
    requests = max(
        sum(
            start_s - earlier_s <= at_s < start_s - earlier_s + WINDOW_S
            for at_s in requests_s
        )
        for earlier_s in (0.0, WINDOW_S / 2, WINDOW_S)
    )
    allowed = RATIO * requests + SLACK
    if count <= allowed:
        return ""
    return (
        f"{count} repeats within {WINDOW_S:.0f} s from {start_s:.3f}, where"
        f" {requests} requests allow {allowed:.0f},"
    )
