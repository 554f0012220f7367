"""Promises judged from what callers, runners and operators saw.

The names are those of the users' rules; a message quotes the rule.
"""

import collections
from collections.abc import Iterator
import dataclasses
import signal
from typing import final

from support import duty_platform

from soak import accounts
from soak import acks
from soak import budget
from soak import core_history
from soak import fleet
from soak import limits
from soak import lost
from soak import moves
from soak import readings
from soak import records
from soak import runners
from soak import wire

RULES = (
    "MIXED",
    "TWICE",
    "BUDGET",
    "REFUSED",
    "UNASKED",
    "LOST",
    "ORDER",
    "CONFIG",
    "DENIED",
    "ROUTE",
    "STOP",
    "LIMIT",
    "DUTY",
    "KEY",
    "ACKS",
)
# A signal before the program handles it ends it with one of these codes. It
# ignores SIGHUP from its first instruction on.
STARTUP_S = 10.0
INTERPRETER_STARTUP_S = 2.0
# Longest time until the end of such a process is seen.
DEATH_S = 1.0
TERMINATED_CODE = -signal.SIGTERM
HUNG_UP_CODE = -signal.SIGHUP
MIN_FAILURE_STATUS = 400
MS_PER_S = 1_000
# Bounds of the settings, by default.
LEASE_MS = 3_000
THAW_MS = 300
# Of each route of the soak.
MAX_ATTEMPTS = 2
# "More than three requests": so many may run on more runners.
MAX_OVER_BUDGET = 3
NOT_RUN_STATUSES = (408, 421, 429, 503)
PROMPT_HEADERS = (
    "X-Wisteriawall-Model",
    "X-Wisteriawall-Token-Counts",
    "X-Wisteriawall-Prompt-Prefix",
)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A broken promise, with what was seen of it."""

    rule: str
    attempt: str
    text: str
    lines: tuple[str, ...] = ()
    # What runners sent before their answers to this request.
    preceded_by: str = ""
    # Time in which the replicas' logs tell more.
    span: tuple[float, float] | None = None


@final
class _Evidence:
    """Records by attempt."""

    def __init__(self, seen: records.Records) -> None:
        self.seen = seen
        self._call_by_attempt = {call.attempt: call for call in seen.calls}
        self._call_by_key = {call.key: call for call in seen.calls}
        self.arrivals_by_key: dict[records.CallKey, list[records.Arrival]] = (
            collections.defaultdict(list)
        )
        for arrival in seen.arrivals:
            self.arrivals_by_key[self.key(arrival)].append(arrival)

    def call(self, arrival: records.Arrival) -> records.Call | None:
        """Return the call that an arrival belongs to, if there is one.

        An arrival whose target was changed belongs to the call with its id.
        """
        return self._call_by_key.get(
            (arrival.attempt, arrival.target)
        ) or self._call_by_attempt.get(arrival.attempt)

    def key(self, arrival: records.Arrival) -> records.CallKey:
        """Return the key of an arrival's call, or else its own."""
        call = self.call(arrival)
        return (arrival.attempt, arrival.target) if call is None else call.key

    def finding(self, rule: str, key: records.CallKey, text: str) -> Finding:
        """Return a finding with all that was seen of a call."""
        call = self._call_by_key.get(key)
        lines = [] if call is None else [_describe_call(call)]
        lines += map(_describe_arrival, self.arrivals_by_key[key])
        if call is not None:
            lines += [
                f"  {i.name}: {i.change} at {i.at_s:.3f}, code {i.code}"
                for i in self.seen.incidents
                if i.name == call.gateway
                and call.started_s - 10 <= i.at_s <= call.ended_s + 10
            ]
        before = {a.preceded_by for a in self.arrivals_by_key[key]}
        return Finding(
            rule, key[0], text, tuple(lines), ", ".join(sorted(before - {""}))
        )


def _describe_call(call: records.Call) -> str:
    return (
        f"  caller: {call.kind} at {call.gateway},"
        f" connection {call.connection} use {call.use},"
        f" started {call.started_s:.3f}, sent {call.sent_s:.3f},"
        f" first byte {call.first_byte_s:.3f}, ended {call.ended_s:.3f}:"
        f" {call.ending}, status {call.status},"
        f" {len(call.answer)} bytes, {call.error}"
    )


def _describe_arrival(arrival: records.Arrival) -> str:
    headers = arrival.header_by_name
    return (
        f"  runner {arrival.runner} ({arrival.service} {arrival.stage}):"
        f" {arrival.at_s:.3f} to {arrival.ended_s:.3f}, passed on at"
        f" {arrival.passed_s}, run"
        f" {arrival.has_run}, {arrival.ending}, status {arrival.status},"
        f" {arrival.misbehavior or 'sound'},"
        f" after {arrival.preceded_by or 'nothing'},"
        f" stage {headers.get(runners.STAGE, '-')},"
        f" handle {headers.get(runners.KV_SOURCE, '-')},"
        f" after event {headers.get(runners.LAST_EVENT_ID, '-')}"
    )


def judge(seen: records.Records) -> list[Finding]:
    """Return every broken promise."""
    evidence = _Evidence(seen)
    checks = (
        _check_answers,
        _check_handles,
        _check_runs,
        _check_budget,
        _check_repeats,
        _check_requests,
        _check_lost,
        _check_streams,
        _check_versions,
        _check_configurations,
        _check_stops,
        _check_limits,
        _check_duties,
        _check_keys,
        _check_acks,
    )
    return [finding for check in checks for finding in check(evidence)]


def held_calls(seen: records.Records) -> list[records.Call]:
    """Return requests that may be lost, depending on the gateway's log."""
    return list(lost.find_held(seen, _Evidence(seen).arrivals_by_key))


def describe_moves(seen: records.Records) -> str:
    """Return how much could be judged of the services of routes."""
    return moves.describe(seen, _Evidence(seen).arrivals_by_key)


def is_failure(surplus: bytes) -> bool:
    """Return whether bytes without a request are an answer that is a failure.

    The rule is about "a success on a connection with no request waiting".
    """
    match = wire.STATUS_LINE.match(surplus)
    return match is not None and int(match[1]) >= MIN_FAILURE_STATUS


def _check_duties(evidence: _Evidence) -> Iterator[Finding]:
    """Check the order of duty calls.

    Calls right after a process went on from a pause, or a link of it healed,
    don't count.
    """
    taken = [call for call, is_taken in evidence.seen.duty_calls if is_taken]
    thaws = [
        (incident.name, incident.at_s * MS_PER_S)
        for incident in evidence.seen.incidents
        if incident.change is records.Change.THAW
    ] + [
        (name, incident.until_s * MS_PER_S)
        for incident in evidence.seen.incidents
        if incident.change is records.Change.CUT
        for name in (incident.name, incident.other)
    ]
    counted = [
        call
        for call in taken
        if not any(
            name == call.holder and 0 <= call.at_ms - thaw_ms <= THAW_MS
            for name, thaw_ms in thaws
        )
    ]
    for text in duty_platform.find_violations(counted, lease_ms=LEASE_MS):
        yield Finding("DUTY", "", text)


def _check_acks(evidence: _Evidence) -> Iterator[Finding]:
    for wait, text, tries in acks.find(evidence.seen):
        name = f"version {wait.publication.version}"
        # What came shortly before tells why it began to wait.
        span = wait.from_s - core_history.CONTACT_S, wait.until_s
        yield Finding("ACKS", name, text, tries, span=span)


def _check_keys(evidence: _Evidence) -> Iterator[Finding]:
    for call, text in accounts.find_refused(evidence.seen):
        yield evidence.finding("KEY", call.key, text)
    for arrival in evidence.seen.arrivals:
        call_of_it = evidence.call(arrival)
        if call_of_it is None:
            continue
        for text in accounts.arrival_faults(evidence.seen, call_of_it, arrival):
            yield evidence.finding("KEY", evidence.key(arrival), text)


def _check_answers(evidence: _Evidence) -> Iterator[Finding]:
    for call in evidence.seen.calls:
        arrivals = evidence.arrivals_by_key[call.key]
        for text in _answer_faults(call, arrivals):
            yield evidence.finding("MIXED", call.key, text)


def _answer_faults(
    call: records.Call, arrivals: list[records.Arrival]
) -> Iterator[str]:
    if call.surplus and not is_failure(call.surplus):
        yield (
            "a success on a connection with no request waiting, or bytes"
            f" that are no answer: {call.surplus[:80]!r}"
        )
    if call.ending is records.Ending.MALFORMED and not any(
        lost.is_unsound(arrival) for arrival in arrivals
    ):
        yield f"bytes that are no answer in the protocol: {call.error}"
    if not call.status:
        return
    named = call.answer_header_by_name.get(records.ATTEMPT_ID, call.attempt)
    if named != call.attempt:
        yield f"an answer that belongs to another request, {named}"
    seal = call.answer_header_by_name.get(records.SEAL, "")
    answered = [a for a in arrivals if seal and a.seal == seal]
    if not answered:
        if seal or 200 <= call.status < 300:
            yield f"status {call.status} with the seal {seal!r}, of no run"
        return
    yield from _run_faults(call, answered[0])


def _run_faults(call: records.Call, arrival: records.Arrival) -> Iterator[str]:
    if arrival.header_by_name.get(runners.STAGE) == "prefill":
        yield "the answer to a prefill, which is not for the caller"
    if arrival.status != call.status:
        yield f"the runner answered {arrival.status}, not {call.status}"
    if call.kind is records.Kind.RESUMABLE:
        return
    if not arrival.answer.startswith(call.answer):
        yield f"not the runner's body: {call.answer[:80]!r}"
    if call.ending is records.Ending.COMPLETE and (
        arrival.answer != call.answer
        or arrival.ending is not records.RunEnding.ANSWERED
    ):
        yield (
            "an answer that ends early must not look complete:"
            f" {len(call.answer)} of {len(arrival.answer)} bytes"
        )


def _check_handles(evidence: _Evidence) -> Iterator[Finding]:
    for arrival in evidence.seen.arrivals:
        source = arrival.header_by_name.get(runners.KV_SOURCE)
        if source is None:
            continue
        handle = source.rpartition("/")[2]
        owner = evidence.seen.attempt_by_handle.get(handle)
        if owner is None:
            yield evidence.finding(
                "UNASKED",
                evidence.key(arrival),
                f"a KV cache source that no runner gave: {source}",
            )
        elif owner != arrival.attempt:
            yield evidence.finding(
                "MIXED",
                evidence.key(arrival),
                "a request goes on from the handle of another request:"
                f" {handle} of {owner}",
            )


def _check_runs(evidence: _Evidence) -> Iterator[Finding]:
    for call in evidence.seen.calls:
        if call.kind.is_idempotent:
            continue
        arrivals = evidence.arrivals_by_key[call.key]
        runs = sum(arrival.has_run for arrival in arrivals)
        if runs > 1:
            yield evidence.finding(
                "TWICE",
                call.key,
                f"a request that isn't idempotent runs {runs} times",
            )
        if runs and call.status in NOT_RUN_STATUSES:
            yield evidence.finding(
                "REFUSED",
                call.key,
                "a request that isn't idempotent is answered"
                f" {call.status} and has run, or runs later",
            )


def _check_budget(evidence: _Evidence) -> Iterator[Finding]:
    # "Runners that ended or were cut off meanwhile don't count."
    gone = {
        incident.name
        for incident in evidence.seen.incidents
        if incident.change
        in (records.Change.DISTURBED, records.Change.RUNNER_ENDED)
    }
    runners_by_key = {
        key: {
            arrival.runner
            for arrival in arrivals
            if arrival.has_run and arrival.place not in gone
        }
        for key, arrivals in evidence.arrivals_by_key.items()
    }
    over = {
        key: used
        for key, used in runners_by_key.items()
        if len(used) > MAX_ATTEMPTS
    }
    if len(over) <= MAX_OVER_BUDGET:
        return
    for key, used in over.items():
        yield evidence.finding(
            "BUDGET",
            key,
            f"runs on more runners than its route allows: {sorted(used)}",
        )


def _check_repeats(evidence: _Evidence) -> Iterator[Finding]:
    for arrival, text in budget.find(evidence.seen, evidence.arrivals_by_key):
        yield evidence.finding("BUDGET", evidence.key(arrival), text)


def _check_requests(evidence: _Evidence) -> Iterator[Finding]:
    for arrival in evidence.seen.arrivals:
        call = evidence.call(arrival)
        if call is None:
            yield evidence.finding(
                "UNASKED", evidence.key(arrival), "an id that no client sent"
            )
            continue
        if not call.sent_s:
            yield evidence.finding(
                "UNASKED", call.key, "a request that was not sent completely"
            )
        changed = [
            name
            for name, sent, received in (
                ("method", call.method, arrival.method),
                ("target", call.target, arrival.target),
                ("body", call.body, arrival.body),
                *(
                    (
                        name,
                        call.header_by_name.get(name),
                        arrival.header_by_name.get(name.lower()),
                    )
                    for name in PROMPT_HEADERS
                ),
            )
            if sent != received
        ]
        if changed:
            yield evidence.finding(
                "UNASKED",
                evidence.key(arrival),
                f"changed: {', '.join(changed)}",
            )


def _check_lost(evidence: _Evidence) -> Iterator[Finding]:
    for call, text in lost.find(
        evidence.seen, evidence.arrivals_by_key, grace_s=fleet.GRACE_S
    ):
        yield evidence.finding("LOST", call.key, text)


def _check_streams(evidence: _Evidence) -> Iterator[Finding]:
    for call in evidence.seen.calls:
        if not call.kind.is_stream or call.status != 200:
            continue
        arrivals = evidence.arrivals_by_key[call.key]
        for text in _stream_faults(call, arrivals):
            yield evidence.finding("ORDER", call.key, text)


def _check_versions(evidence: _Evidence) -> Iterator[Finding]:
    """A stream may hold events of one software version, over all its calls."""
    version_by_run = {
        event[2]: arrival.version
        for arrival in evidence.seen.arrivals
        for event in runners.EVENT.finditer(arrival.answer)
    }
    # A caller may send an attempt id again for another target.
    versions_by_stream: dict[records.CallKey, set[str]] = (
        collections.defaultdict(set)
    )
    for call in evidence.seen.calls:
        if call.kind is not records.Kind.RESUMABLE or call.status != 200:
            continue
        stream = call.resumes or call.attempt, call.target
        versions = versions_by_stream[stream]
        versions |= {
            version_by_run.get(event[2], "")
            for event in runners.EVENT.finditer(call.answer)
        }
        if len(versions) > 1:
            text = f"events of several versions: {sorted(versions)}"
            yield evidence.finding("ORDER", call.key, text)


def _stream_faults(
    call: records.Call, arrivals: list[records.Arrival]
) -> Iterator[str]:
    events = list(runners.EVENT.finditer(call.answer))
    is_complete = call.ending is records.Ending.COMPLETE
    whole = b"".join(event[0] for event in events)
    rest = call.answer[len(whole) :]
    if not call.answer.startswith(whole) or (is_complete and rest):
        yield f"pieces that are no events: {call.answer[-80:]!r}"
        return
    start = int(call.header_by_name.get("Last-Event-Id", "0"))
    numbers = [int(event[1]) for event in events]
    if numbers != list(range(start + 1, start + 1 + len(numbers))):
        yield f"a piece is missing or comes twice: {numbers}"
    last = max((arrival.last_event for arrival in arrivals), default=0)
    # A stream that is taken up after its last event has no further ones.
    if is_complete and (numbers or [start])[-1] != last:
        yield f"ends as complete before its last piece, {last}: {numbers}"
    runs = list(dict.fromkeys(event[2] for event in events))
    if len(runs) > 1 and call.kind is not records.Kind.RESUMABLE:
        yield f"pieces of two runs are joined: {runs}"
    for event in events:
        if not any(event[0] in arrival.answer for arrival in arrivals):
            yield f"a piece of no run of this request: {event[0]!r}"
            return


def _check_configurations(evidence: _Evidence) -> Iterator[Finding]:
    for version, text in readings.find_stale(evidence.seen):
        yield Finding("CONFIG", version, text)
    ran = {
        key
        for key, arrivals in evidence.arrivals_by_key.items()
        if any(arrival.has_run for arrival in arrivals)
    }
    for call, text in readings.find_disobeyed(evidence.seen, ran):
        yield evidence.finding("CONFIG", call.key, text)
    for call, text in readings.find_regressed(
        evidence.seen, evidence.arrivals_by_key
    ):
        yield evidence.finding("CONFIG", call.key, text)
    for call, text in (
        *moves.find_disobeyed(evidence.seen, evidence.arrivals_by_key),
        *moves.find_regressed(evidence.seen, evidence.arrivals_by_key),
    ):
        yield evidence.finding("CONFIG", call.key, text)
    for call, text in moves.find_unrouted(
        evidence.seen, evidence.arrivals_by_key
    ):
        yield evidence.finding("ROUTE", call.key, text)
    for call, text in readings.find_denied(evidence.seen):
        yield evidence.finding("DENIED", call.key, text)


def _check_limits(evidence: _Evidence) -> Iterator[Finding]:
    gateway_by_key = {call.key: call.gateway for call in evidence.seen.calls}
    for arrival, text in limits.find(evidence.seen, gateway_by_key):
        yield evidence.finding("LIMIT", evidence.key(arrival), text)


def _check_stops(evidence: _Evidence) -> Iterator[Finding]:
    by_pid: dict[int, list[records.Incident]] = collections.defaultdict(list)
    for incident in evidence.seen.incidents:
        if incident.pid:
            by_pid[incident.pid].append(incident)
    for pid, incidents in by_pid.items():
        text = _stop_fault(incidents)
        if text:
            lines = tuple(
                f"  {i.name}: {i.change} at {i.at_s:.3f}, code {i.code}"
                for i in incidents
            )
            yield Finding("STOP", f"pid {pid}", text, lines)


def _stop_fault(incidents: list[records.Incident]) -> str:
    """Return what is wrong with the end of a process, empty if nothing is."""
    changes = {incident.change for incident in incidents}
    ends = [i for i in incidents if i.change is records.Change.END]
    if not ends:
        return "is still running at the end"
    if records.Change.KILL in changes or _was_starting(incidents, ends[0]):
        return ""
    terms = [i for i in incidents if i.change is records.Change.TERM]
    if not terms:
        return f"ended by itself, with code {ends[0].code}"
    if records.Change.GRACE_KILL in changes:
        frozen = any(
            i.change in (records.Change.FREEZE, records.Change.THAW)
            and i.at_s > terms[0].at_s
            for i in incidents
        )
        return "" if frozen else "still ran at the end of the grace period"
    code = ends[0].code
    return f"ended with code {code} after SIGTERM" if code else ""


def _was_starting(
    incidents: list[records.Incident], end: records.Incident
) -> bool:
    """Return whether a signal came before the program could handle it."""
    started_s = min(incident.at_s for incident in incidents)
    startup_s_by_code = {
        TERMINATED_CODE: (records.Change.TERM, STARTUP_S),
        HUNG_UP_CODE: (records.Change.HUP, INTERPRETER_STARTUP_S),
    }
    if end.code not in startup_s_by_code:
        return False
    change, startup_s = startup_s_by_code[end.code]
    first_s = min(
        (i.at_s for i in incidents if i.change is change), default=end.at_s
    )
    acted_s = _thawed_s(incidents, first_s)
    ran_s = first_s - started_s - _frozen_s(incidents, first_s)
    return ran_s < startup_s and end.at_s < acted_s + DEATH_S


def _frozen_s(incidents: list[records.Incident], until_s: float) -> float:
    """Return for how long a process was frozen before a time."""
    frozen_s, since_s = 0.0, None
    for incident in sorted(incidents, key=lambda i: i.at_s):
        at_s = min(incident.at_s, until_s)
        if incident.change is records.Change.FREEZE:
            since_s = at_s
        elif incident.change is records.Change.THAW and since_s is not None:
            frozen_s, since_s = frozen_s + at_s - since_s, None
    return frozen_s if since_s is None else frozen_s + until_s - since_s


def _thawed_s(incidents: list[records.Incident], signal_s: float) -> float:
    """Return when a signal reaches a process: at its thaw if it is frozen."""
    frozen = False
    for incident in sorted(incidents, key=lambda i: i.at_s):
        if incident.change is records.Change.FREEZE:
            frozen = incident.at_s < signal_s
        elif incident.change is records.Change.THAW:
            if frozen and incident.at_s > signal_s:
                return incident.at_s
            frozen = False
    return signal_s
