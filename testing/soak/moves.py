"""Routes that changed their service: requests run by the old one."""

import bisect
import collections
from collections.abc import Iterator
from collections.abc import Mapping
from typing import final

from soak import core_history
from soak import readings
from soak import records

__all__ = ["describe", "find_disobeyed", "find_regressed", "find_unrouted"]

ArrivalsByKey = Mapping[records.CallKey, list[records.Arrival]]
Run = tuple[records.Call, records.Arrival]


@final
class _Tables:
    """The services of each route, by version."""

    def __init__(self, seen: records.Records) -> None:
        self._tables: list[
            tuple[records.Publication, Mapping[str, set[str]]]
        ] = []
        for publication in seen.publications:
            services_by_prefix = collections.defaultdict(set)
            for prefix, service in publication.services:
                services_by_prefix[prefix].add(service)
            if services_by_prefix:
                self._tables.append((publication, services_by_prefix))

    def allowing(
        self, call: records.Call, arrival: records.Arrival
    ) -> set[int]:
        """Return the versions sent before a run that allow its service."""
        prefix = _prefix(call)
        return {
            publication.version
            for publication, services_by_prefix in self._tables
            if publication.sent_s < arrival.at_s
            and arrival.service in services_by_prefix.get(prefix, ())
        }

    def is_known(self, call: records.Call, arrival: records.Arrival) -> bool:
        """Return whether the services of some version sent so far are known."""
        return bool(_prefix(call)) and any(
            publication.sent_s < arrival.at_s for publication, _ in self._tables
        )

    def age_s(self, call: records.Call, newest: int) -> float:
        """Return for how long a table had been overtaken.

        It is the time from the first acknowledgement of a version after
        `newest` that has the route to the start of a call, 0 if there is none.
        """
        prefix = _prefix(call)
        ages_s = (
            call.started_s - publication.acknowledged_s
            for publication, services_by_prefix in self._tables
            if publication.version > newest
            and publication.acknowledged_s
            and prefix in services_by_prefix
        )
        return max(0.0, *ages_s, 0.0)

    def is_telling(
        self, call: records.Call, arrival: records.Arrival, bound_s: float
    ) -> bool:
        """Return whether a run by another service would be a finding."""
        prefix = _prefix(call)
        oldest = max(
            (
                publication.version
                for publication, _ in self._tables
                if publication.acknowledged_s
                and publication.acknowledged_s + bound_s < call.started_s
            ),
            default=0,
        )
        older, in_force = set[str](), set[str]()
        for publication, services_by_prefix in self._tables:
            if publication.version < oldest:
                older |= services_by_prefix.get(prefix, set())
            elif publication.sent_s < arrival.at_s:
                in_force |= services_by_prefix.get(prefix, set())
        return bool(oldest and in_force and older - in_force)


def find_unrouted(
    seen: records.Records, arrivals_by_key: ArrivalsByKey
) -> Iterator[tuple[records.Call, str]]:
    """Yield each request run by a service that no version ever allowed."""
    tables = _Tables(seen)
    for call, arrival in _runs(seen.calls, arrivals_by_key):
        if tables.is_known(call, arrival) and not tables.allowing(
            call, arrival
        ):
            yield (
                call,
                f"run by {arrival.service}, to which no configuration ever"
                " sent allows it to go",
            )


def find_disobeyed(
    seen: records.Records, arrivals_by_key: ArrivalsByKey
) -> Iterator[tuple[records.Call, str]]:
    """Yield each probe that was run as only an older version allows."""
    tables = _Tables(seen)
    history = core_history.CoreHistory(seen)
    for call, arrival in _probe_runs(seen.calls, arrivals_by_key):
        newest = max(tables.allowing(call, arrival), default=0)
        age_s = tables.age_s(call, newest)
        if not newest or age_s <= readings.CONFIG_S:
            continue
        bound_s = readings.config_bound_s(call, history)
        if bound_s is not None and age_s > bound_s:
            yield (
                call,
                f"run by the old service {arrival.service}, as only version"
                f" {newest} or older allows: a later one was acknowledged"
                f" {age_s:.3f} s before it was sent, bound {bound_s:.0f} s",
            )


def find_regressed(
    seen: records.Records, arrivals_by_key: ArrivalsByKey
) -> Iterator[tuple[records.Call, str]]:
    """Yield each probe for which a gateway went back to an older service.

    As `readings.find_regressed`, by what runs show of the services.
    """
    tables = _Tables(seen)
    history = core_history.CoreHistory(seen)
    calls_by_process: dict[tuple[str, float], list[records.Call]] = (
        collections.defaultdict(list)
    )
    for call in seen.calls:
        for started_s, ended_s in history.runs_of(call.gateway):
            if started_s <= call.started_s and call.ended_s <= ended_s:
                calls_by_process[call.gateway, started_s].append(call)
    for calls in calls_by_process.values():
        yield from _find_regressed_in_process(calls, arrivals_by_key, tables)


def _find_regressed_in_process(
    calls: list[records.Call], arrivals_by_key: ArrivalsByKey, tables: _Tables
) -> Iterator[tuple[records.Call, str]]:
    effects_s: list[float] = []
    # Oldest version that each effect allows, and those before it.
    oldest: list[int] = []
    for call, arrival in sorted(
        _probe_runs(calls, arrivals_by_key), key=lambda run: run[1].at_s
    ):
        # All effects before the start of a call were before its own run.
        count = bisect.bisect_left(effects_s, call.started_s - readings.BACK_S)
        known = oldest[count - 1] if count else 0
        versions = tables.allowing(call, arrival)
        if versions and max(versions) < known:
            yield (
                call,
                f"run by the old service {arrival.service}, as only version"
                f" {max(versions)} or older allows, though a runner had seen"
                f" the effect of version {known} or a later one from this"
                " process",
            )
        effects_s.append(arrival.at_s)
        possible = (version for version in versions if version >= known)
        oldest.append(max(min(possible, default=0), *oldest[-1:], 0))


def describe(seen: records.Records, arrivals_by_key: ArrivalsByKey) -> str:
    """Return how many runs were judged, and how old their tables were."""
    tables = _Tables(seen)
    history = core_history.CoreHistory(seen)
    counts: collections.Counter[str] = collections.Counter()
    ages_s = [0.0]
    for call, arrival in _probe_runs(seen.calls, arrivals_by_key):
        counts["runs"] += 1
        bound_s = readings.config_bound_s(call, history)
        if bound_s is None:
            continue
        counts["bound"] += 1
        counts["telling"] += tables.is_telling(call, arrival, bound_s)
        if versions := tables.allowing(call, arrival):
            ages_s.append(tables.age_s(call, max(versions)))
    late = sum(age_s > 0 for age_s in ages_s)
    return (
        f"{counts['runs']} runs of probes, {counts['bound']} with a bound,"
        f" {counts['telling']} that could tell an old service; {late} by an"
        f" old service after an acknowledgement, sent {max(ages_s):.3f} s after"
        " it at most"
    )


def _prefix(call: records.Call) -> str:
    match = readings.PREFIX.match(call.target)
    return match[0] if match else ""


def _runs(
    calls: list[records.Call], arrivals_by_key: ArrivalsByKey
) -> Iterator[Run]:
    for call in calls:
        for arrival in arrivals_by_key.get(call.key, ()):
            if arrival.has_run:
                yield call, arrival


def _probe_runs(
    calls: list[records.Call], arrivals_by_key: ArrivalsByKey
) -> Iterator[Run]:
    for call, arrival in _runs(calls, arrivals_by_key):
        if call.kind is records.Kind.PROBE:
            yield call, arrival
