"""Runners that got more requests than the limit that they named."""

import collections
from collections.abc import Iterator

from soak import records

WINDOW_S = 4.0
CONTACT_S = 3.0
# A gateway must keep to a limit from this time after it passed one on.
TOLD_S = 0.5
RATIO = 1.5
SLACK = 5
EXCUSING = (
    records.Change.START,
    records.Change.END,
    records.Change.FREEZE,
    records.Change.THAW,
)


def find(
    seen: records.Records, gateway_by_key: dict[records.CallKey, str]
) -> Iterator[tuple[records.Arrival, str]]:
    """Yield the last arrival of each window with too many requests."""
    for arrivals in _limited_times(seen.arrivals):
        runner = arrivals[0].runner
        named = [a for a in arrivals if a.named_limit is not None]
        most = max(a.named_limit or 0.0 for a in named)
        first_s = min(a.named_s for a in named)
        counted = sorted(
            (
                a
                for a in arrivals
                if a.at_s >= first_s + CONTACT_S
                and _was_told(seen, a, named, gateway_by_key)
            ),
            key=lambda a: a.at_s,
        )
        allowed = RATIO * most * WINDOW_S + SLACK
        for number, start in enumerate(counted):
            window = [
                a for a in counted[number:] if a.at_s < start.at_s + WINDOW_S
            ]
            if len(window) > allowed:
                yield (
                    window[-1],
                    f"{runner} had named a limit of {most:g} a second and got"
                    f" {len(window)} in {WINDOW_S:g} s; allowed {allowed:g}",
                )
                break


def _limited_times(
    arrivals: list[records.Arrival],
) -> Iterator[list[records.Arrival]]:
    """Yield the requests of each time for which a runner named limits.

    It ends with an answer that names none, other than a rejection.
    """
    arrivals_by_runner: dict[str, list[records.Arrival]] = (
        collections.defaultdict(list)
    )
    for arrival in arrivals:
        arrivals_by_runner[arrival.runner].append(arrival)
    for of_runner in arrivals_by_runner.values():
        limited: list[records.Arrival] = []
        for arrival in sorted(of_runner, key=lambda a: a.at_s):
            if arrival.named_limit is not None or (
                limited and not arrival.seal
            ):
                limited.append(arrival)
            elif limited and arrival.at_s > limited[0].named_s:
                yield limited
                limited = []
        if limited:
            yield limited


def _was_told(
    seen: records.Records,
    arrival: records.Arrival,
    named: list[records.Arrival],
    gateway_by_key: dict[records.CallKey, str],
) -> bool:
    """Return whether the gateway of a request had passed the limit on."""
    gateway = gateway_by_key.get((arrival.attempt, arrival.target))
    told_s = min(
        (
            a.named_s
            for a in named
            if gateway_by_key.get((a.attempt, a.target)) == gateway
        ),
        default=arrival.at_s,
    )
    return arrival.at_s > told_s + TOLD_S and not any(
        incident.name == gateway
        and incident.change in EXCUSING
        and told_s <= incident.at_s <= arrival.at_s
        for incident in seen.incidents
    )
