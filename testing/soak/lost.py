"""Requests that were passed on to a runner and got no complete answer."""

import collections
from collections.abc import Iterator

from soak import records
from soak import runners

# A process is undisturbed when nothing unplanned happened to it for so long.
CONTACT_S = 3.0
CONFIG_S = 2.0
LOST_S = 0.2
AFTER_GRACE_S = 1.0
SENT_EARLY_S = 3.0
WORKING_SHARE_OF_GRACE = 5 / 6
ROUTE_TIMEOUT_S = 12.0
# "At any time ... more than three times": so many a gateway are allowed.
MAX_UNPLANNED = 3
CUT_ENDINGS = (
    records.Ending.RESET,
    records.Ending.CLOSED,
    records.Ending.UNANSWERED,
)
UNPLANNED = (records.Change.KILL, records.Change.FREEZE, records.Change.THAW)


def is_unsound(arrival: records.Arrival) -> bool:
    """Return whether a runner broke off or misbehaved in its answer."""
    return bool(
        arrival.misbehavior or arrival.ending is records.RunEnding.BROKE_OFF
    )


def find(
    seen: records.Records,
    arrivals_by_key: dict[records.CallKey, list[records.Arrival]],
    *,
    grace_s: float,
) -> Iterator[tuple[records.Call, str]]:
    """Yield each lost request with the rule that it breaks."""
    incidents_by_name: dict[str, list[records.Incident]] = (
        collections.defaultdict(list)
    )
    for incident in seen.incidents:
        incidents_by_name[incident.name].append(incident)
    unplanned_by_gateway: dict[str, list[records.Call]] = (
        collections.defaultdict(list)
    )
    for call in seen.calls:
        arrival = _answering(call, arrivals_by_key[call.key])
        if arrival is None or _is_excused(call, arrival, incidents_by_name):
            continue
        incidents = incidents_by_name[call.gateway]
        change = _planned_work(call, incidents, grace_s)
        if change is None:
            unplanned_by_gateway[call.gateway].append(call)
        elif not _was_long(call, arrival, incidents, grace_s):
            yield (
                call,
                f"around planned work ({change}), passed on to a sound"
                " runner, and the connection ends without a complete answer",
            )
    for calls in unplanned_by_gateway.values():
        if len(calls) > MAX_UNPLANNED:
            for call in calls:
                yield (
                    call,
                    "at any time, passed on to a sound runner, and the"
                    " connection is closed without an answer, more than"
                    f" three times ({len(calls)})",
                )


def find_held(
    seen: records.Records,
    arrivals_by_key: dict[records.CallKey, list[records.Arrival]],
) -> Iterator[records.Call]:
    """Yield requests that were cut late and not passed on.

    They are lost if the gateway has read them, which only its log shows.
    """
    for call in seen.calls:
        if (
            call.ending in CUT_ENDINGS
            and call.sent_s
            and call.ended_s > call.sent_s + LOST_S
            and not arrivals_by_key[call.key]
            and not any(
                incident.name == call.gateway
                and incident.change in UNPLANNED
                and call.started_s - CONTACT_S <= incident.at_s <= call.ended_s
                for incident in seen.incidents
            )
        ):
            yield call


def _answering(
    call: records.Call, arrivals: list[records.Arrival]
) -> records.Arrival | None:
    """Return the arrival that answers a request that was cut, if any does.

    Of a stream that is the run that made its last event, or its head: where
    that runner broke off, the gateway may resume the stream but need not.
    Otherwise it is the last run; without a run, the last rejection counts.
    """
    if call.ending not in CUT_ENDINGS or not arrivals:
        return None
    events = runners.EVENT.findall(call.answer)
    seal = call.answer_header_by_name.get(records.SEAL)
    for arrival in arrivals:
        if events and events[-1][1] in arrival.answer:
            return arrival
        if not events and seal and arrival.seal == seal:
            return arrival
    runs = [arrival for arrival in arrivals if arrival.has_run]
    return runs[-1] if runs else arrivals[-1]


def _is_excused(
    call: records.Call,
    arrival: records.Arrival,
    incidents_by_name: dict[str, list[records.Incident]],
) -> bool:
    """Return whether the runner, a deadline or a disruption ended it."""
    if is_unsound(arrival):
        return True
    if call.ended_s - call.started_s >= min(call.deadline_s, ROUTE_TIMEOUT_S):
        return True
    from_s = call.started_s - CONTACT_S
    return any(
        incident.at_s <= call.ended_s
        and max(incident.at_s, incident.until_s) >= from_s
        for name, changes in (
            (call.gateway, UNPLANNED),
            (
                arrival.place,
                (records.Change.DISTURBED, records.Change.RUNNER_ENDED),
            ),
        )
        for incident in incidents_by_name[name]
        if incident.change in changes
    )


def _planned_work(
    call: records.Call, incidents: list[records.Incident], grace_s: float
) -> records.Change | None:
    """Return the planned work beside which a call ended."""
    for incident in incidents:
        since_s = call.ended_s - incident.at_s
        match incident.change:
            case records.Change.TERM if 0 <= since_s <= grace_s + AFTER_GRACE_S:
                return incident.change
            case records.Change.HUP if (
                since_s >= 0 and call.sent_s <= incident.at_s + CONFIG_S
            ):
                return incident.change
    return None


def _was_long(
    call: records.Call,
    arrival: records.Arrival,
    incidents: list[records.Incident],
    grace_s: float,
) -> bool:
    """Return whether the runner worked on into the grace period's end.

    An answer that the proxy had not passed on to the gateway by then is one
    that it still waited for. Nothing counts that came after the call's end.
    """
    # The thread that records the end may be late too.
    worked_until_s = [] if arrival.is_passed else [arrival.ended_s]
    if arrival.passed_s is not None:
        worked_until_s.append(min(arrival.passed_s, call.ended_s))
    return any(
        call.sent_s <= term.at_s + SENT_EARLY_S
        and any(
            term.at_s + grace_s * WORKING_SHARE_OF_GRACE
            <= at_s
            <= term.at_s + grace_s + AFTER_GRACE_S
            for at_s in worked_until_s
        )
        for term in incidents
        if term.change is records.Change.TERM
    )
