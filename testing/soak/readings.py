"""Configurations that were read back or obeyed too late, or lost."""

from collections.abc import Iterator
import re

from soak import records

CONFIG_S = 2.0
BACK_S = 0.25
CONTACT_S = 3.0
NOT_FOUND_STATUS = 404
# Refusals with 401 are judged by the rule KEY, each of them.
DENIED_STATUSES = (400, 403, 404, 405, 411, 413, 431)
MAX_DENIED = 5
PREFIX = re.compile(r"/[^/]*/")
DISRUPTIONS = (
    records.Change.START,
    records.Change.END,
    records.Change.TERM,
    records.Change.KILL,
    records.Change.FREEZE,
    records.Change.THAW,
)


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
    seen: records.Records, ran_attempts: set[str]
) -> Iterator[tuple[records.Call, str]]:
    """Yield each probe that only an older version allows."""
    for call in seen.calls:
        allowed = _allowed(seen, call)
        if allowed is None:
            continue
        is_denied = (
            call.status == NOT_FOUND_STATUS
            and records.SEAL not in call.answer_header_by_name
        )
        if is_denied and allowed:
            yield call, "refused with 404 though the route is there"
        if call.attempt in ran_attempts and not allowed:
            yield call, "run with a dropped route"


def _allowed(seen: records.Records, call: records.Call) -> bool | None:
    """Return whether a probe's route was there; None if that is open.

    It is open where versions that may be in force differ, and at gateways that
    are not in touch.
    """
    match = PREFIX.match(call.target)
    if call.kind is not records.Kind.PROBE or match is None:
        return None
    oldest = max(
        (
            p.version
            for p in seen.publications
            if p.acknowledged_s and p.acknowledged_s + CONFIG_S < call.started_s
        ),
        default=0,
    )
    if not oldest or not _is_in_touch(seen, call):
        return None
    in_force = {
        match[0] in p.prefixes
        for p in seen.publications
        if p.version >= oldest and p.sent_s < call.ended_s
    }
    return in_force.pop() if len(in_force) == 1 else None


def _is_in_touch(seen: records.Records, call: records.Call) -> bool:
    """Return whether nothing disturbed the gateway or any replica."""
    return not any(
        incident.change in DISRUPTIONS
        and (incident.name == call.gateway or incident.name.startswith("c"))
        and call.started_s - CONTACT_S <= incident.at_s <= call.ended_s
        for incident in seen.incidents
    )


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
