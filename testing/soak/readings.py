"""Configurations that were read back or obeyed too late, or lost."""

import bisect
import collections
from collections.abc import Iterator
from collections.abc import Mapping
import re

from soak import core_history
from soak import records

CONFIG_S = 2.0
BACK_S = 0.25
# An unstable core stretches the bound by so much, `max_stretch_ms`.
STRETCH_S = 5.0
NOT_FOUND_STATUS = 404
# Refusals with 401 are judged by the rule KEY, each of them.
DENIED_STATUSES = (400, 403, 404, 405, 411, 413, 431)
MAX_DENIED = 5
PREFIX = re.compile(r"/[^/]*/")


def find_stale(seen: records.Records) -> Iterator[tuple[str, str]]:
    """Yield the version and the fault of each stale or changed read."""
    content_by_version = {p.version: p.content for p in seen.publications}
    ordered = sorted(seen.readings, key=lambda reading: reading.sent_s)
    for reading in ordered:
        newest = _newest_known(seen, ordered, reading)
        if reading.version < newest:
            yield (
                f"version {reading.version}",
                "a read of the configuration is answered with an older"
                f" version than {newest}, by {reading.replica}, sent"
                f" {reading.sent_s:.3f}",
            )
        if content_by_version.get(reading.version) != reading.content:
            yield (
                f"version {reading.version}",
                "read back, it isn't what was sent under its number",
            )
    if seen.publications and not any(r.is_final for r in ordered):
        yield "at the end", "the configuration doesn't come"


def _newest_known(
    seen: records.Records,
    readings: list[records.Reading],
    reading: records.Reading,
) -> int:
    """Return the version that a read must have at least."""
    acknowledged = (
        p.version
        for p in seen.publications
        if p.acknowledged_s
        and (reading.is_final or p.acknowledged_s + CONFIG_S < reading.sent_s)
    )
    earlier = (
        r.version
        for r in readings
        if r.ended_s + (BACK_S if r.replica == reading.replica else CONFIG_S)
        < reading.sent_s
    )
    return max((*acknowledged, *earlier), default=0)


def find_disobeyed(
    seen: records.Records, ran_keys: set[records.CallKey]
) -> Iterator[tuple[records.Call, str]]:
    """Yield each probe that only an older version allows."""
    history = core_history.CoreHistory(seen)
    for call in seen.calls:
        allowed = _allowed(seen, call, history)
        if allowed is None:
            continue
        if _is_denied(call) and allowed:
            yield call, "refused with 404 though the route is there"
        if call.key in ran_keys and not allowed:
            yield call, "run with a dropped route"


def _is_denied(call: records.Call) -> bool:
    return (
        call.status == NOT_FOUND_STATUS
        and records.SEAL not in call.answer_header_by_name
    )


def count_judged(seen: records.Records) -> collections.Counter[str]:
    """Return how many probes there were, and by which bound they are judged."""
    history = core_history.CoreHistory(seen)
    return collections.Counter(
        "none" if bound_s is None else f"{bound_s:.0f} s"
        for call in seen.calls
        if call.kind is records.Kind.PROBE
        for bound_s in [config_bound_s(call, history)]
    )


def _allowed(
    seen: records.Records,
    call: records.Call,
    history: core_history.CoreHistory,
) -> bool | None:
    """Return whether a probe's route was there; None if that is open.

    It is open where versions that may be in force differ, and at gateways for
    which there is no bound.
    """
    match = PREFIX.match(call.target)
    if call.kind is not records.Kind.PROBE or match is None:
        return None
    bound_s = config_bound_s(call, history)
    if bound_s is None:
        return None
    oldest = max(
        (
            p.version
            for p in seen.publications
            if p.acknowledged_s and p.acknowledged_s + bound_s < call.started_s
        ),
        default=0,
    )
    if not oldest:
        return None
    in_force = {
        match[0] in p.prefixes
        for p in seen.publications
        if p.version >= oldest and p.sent_s < call.ended_s
    }
    return in_force.pop() if len(in_force) == 1 else None


def config_bound_s(
    call: records.Call, history: core_history.CoreHistory
) -> float | None:
    """Return how old an acknowledgement is that binds, None if none does.

    "An unstable core stretches the bound of configuration by `max_stretch_ms`
    at most, for a machine that meets (1) and (3), as long as more than half of
    the core has run all the while, connected and not slowed."
    """
    span = call.started_s - core_history.CONTACT_S, call.ended_s
    if not history.is_calm(call.gateway, *span):
        return None
    if not history.has_paths(call.gateway, *span):
        return None
    if history.is_stable(*span):
        return CONFIG_S
    stretched_s = CONFIG_S + STRETCH_S
    if history.has_run(call.started_s - stretched_s, call.ended_s):
        return stretched_s
    return None


def find_regressed(
    seen: records.Records,
    arrivals_by_key: Mapping[records.CallKey, list[records.Arrival]],
) -> Iterator[tuple[records.Call, str]]:
    """Yield each probe for which a gateway went back to an older version.

    "In one incarnation of its processes, a request sent more than `back_ms`
    after a runner saw the effect of a version is handled as only an older
    version allows", by any machine, in touch or not.
    """
    history = core_history.CoreHistory(seen)
    calls_by_run: dict[tuple[str, float], list[records.Call]] = (
        collections.defaultdict(list)
    )
    for call in seen.calls:
        if call.kind is records.Kind.PROBE and PREFIX.match(call.target):
            for started_s, ended_s in history.runs_of(call.gateway):
                if started_s <= call.started_s and call.ended_s <= ended_s:
                    calls_by_run[call.gateway, started_s].append(call)
    for calls in calls_by_run.values():
        yield from _find_regressed_in_run(seen, calls, arrivals_by_key)


def _find_regressed_in_run(
    seen: records.Records,
    calls: list[records.Call],
    arrivals_by_key: Mapping[records.CallKey, list[records.Arrival]],
) -> Iterator[tuple[records.Call, str]]:
    effects = sorted(
        (
            (min(a.at_s for a in runs), call)
            for call in calls
            if (
                runs := [
                    a for a in arrivals_by_key.get(call.key, ()) if a.has_run
                ]
            )
        ),
        key=lambda effect: effect[0],
    )
    seen_s = [at_s for at_s, _ in effects]
    # Oldest version that each effect allows, and those before it.
    oldest: list[int] = []

    def known(call: records.Call) -> int:
        count = bisect.bisect_left(seen_s, call.started_s - BACK_S)
        return oldest[count - 1] if count else 0

    for at_s, call in effects:
        versions = (
            version
            for version, has_route in _versions(seen, call, at_s)
            if has_route and version >= known(call)
        )
        oldest.append(max(min(versions, default=0), *oldest[-1:], 0))
    ran_keys = {call.key for _, call in effects}
    for call in calls:
        version = known(call)
        if not version:
            continue
        possible = {
            has_route
            for number, has_route in _versions(seen, call, call.ended_s)
            if number >= version
        }
        if call.key in ran_keys and True not in possible:
            yield (
                call,
                "run with a dropped route, though a runner had seen the effect"
                f" of version {version} or a later one from this process",
            )
        elif _is_denied(call) and False not in possible:
            yield (
                call,
                "refused with 404 though the route is there, and a runner had"
                f" seen the effect of version {version} or a later one from"
                " this process",
            )


def _versions(
    seen: records.Records, call: records.Call, until_s: float
) -> Iterator[tuple[int, bool]]:
    """Yield the versions sent so far, and whether they have a probe's route."""
    match = PREFIX.match(call.target)
    assert match is not None
    for publication in seen.publications:
        if publication.sent_s < until_s:
            yield publication.version, match[0] in publication.prefixes


def find_denied(seen: records.Records) -> Iterator[tuple[records.Call, str]]:
    """Yield refusals of what every configuration allows, if there are many."""
    denied = [
        call
        for call in seen.calls
        if call.status in DENIED_STATUSES
        and records.SEAL not in call.answer_header_by_name
        and call.kind is not records.Kind.PROBE
    ]
    if len(denied) > MAX_DENIED:
        for call in denied:
            yield call, f"ended with {call.status} though it is proper"
