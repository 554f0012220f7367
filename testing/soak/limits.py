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
    named_by_runner: dict[str, list[records.Arrival]] = collections.defaultdict(
        list
    )
    for arrival in seen.arrivals:
        named_by_runner[arrival.runner].append(arrival)
    for runner, arrivals in named_by_runner.items():
        named = [a for a in arrivals if a.named_limit is not None]
        if not named:
            continue
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
