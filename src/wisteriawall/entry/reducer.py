"""The entry's reducer: admission, routing, claims and retries."""

from collections import Counter
from collections.abc import Iterator
import dataclasses
from typing import final

from wisteriawall.config import delta
from wisteriawall.config import document
from wisteriawall.entry import events
from wisteriawall.policy import routing
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import control_messages
from wisteriawall.wire import fleet

__all__ = ["LEASE_MS", "Entry", "InFlight", "reduce"]

LEASE_MS = 2_000
MAX_ATTEMPTS = 3
RETRY_SOON_MS = 1_000


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class InFlight:
    """A request between arrival and its last effect."""

    arrived: events.Arrived
    claim_id: int = 0
    attempt: int = 0
    runner: str = ""
    failed_runners: set[str] = dataclasses.field(default_factory=set)


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Entry:
    """State of one entry."""

    zone: str
    config: document.Document = dataclasses.field(
        default_factory=document.empty
    )
    fleet_view: fleet.FleetView = dataclasses.field(
        default_factory=lambda: fleet.FleetView(0, [])
    )
    lease_until_ms: int = -1
    stopping: bool = False
    in_flight_by_id: dict[str, InFlight] = dataclasses.field(
        default_factory=dict
    )
    report_by_runner: dict[str, fleet.LoadReport] = dataclasses.field(
        default_factory=dict
    )
    dispatched_by_runner: Counter[str] = dataclasses.field(
        default_factory=Counter
    )


def reduce(entry: Entry, event: events.Event) -> Iterator[events.Effect]:
    """Yield the effects of one event, in the order to carry them out."""
    match event:
        case events.Arrived():
            yield from _on_arrival(entry, event)
        case events.ClaimDecided(request_id, reply, now_ms):
            yield from _on_claim(entry, request_id, reply, now_ms)
        case events.ClaimFailed(request_id, _):
            yield from _end(entry, request_id, _CONTROL_LOST)
        case events.AttemptFailed():
            yield from _on_failure(entry, event)
        case events.Finished(request_id, answer, _):
            yield from _on_finish(entry, request_id, answer)
        case events.CallerGone(request_id, _):
            yield from _on_finish(entry, request_id, None)
        case events.Granted(grant, asked_ms):
            _take_lease(entry, grant, asked_ms)
        case events.LoadReported(report, _):
            entry.report_by_runner[report.runner] = report
        case events.Stopping():
            entry.stopping = True


_CONTROL_LOST = refusal_lib.Refusal(
    status=503,
    code=refusal_lib.Code.UNAVAILABLE,
    message="no control replica could record the claim",
    retry_after_ms=RETRY_SOON_MS,
)
_NO_LEASE = refusal_lib.Refusal(
    status=503,
    code=refusal_lib.Code.NO_LEASE,
    message="the configuration lease has run out",
    retry_after_ms=RETRY_SOON_MS,
)
_STOPPING = refusal_lib.Refusal(
    status=503,
    code=refusal_lib.Code.DRAINING,
    message="this entry is stopping",
    retry_after_ms=RETRY_SOON_MS,
)
_MISMATCH = refusal_lib.Refusal(
    status=422,
    code=refusal_lib.Code.CLAIM_MISMATCH,
    message="the idempotency key was used with another body",
)
_RUNNING = refusal_lib.Refusal(
    status=409,
    code=refusal_lib.Code.CLAIM_RUNNING,
    message="a request with this idempotency key is running",
    run=refusal_lib.RunState.UNKNOWN,
    retry_after_ms=RETRY_SOON_MS,
)
_UNKNOWN = refusal_lib.Refusal(
    status=409,
    code=refusal_lib.Code.UNKNOWN_OUTCOME,
    message="the first run of this idempotency key was lost in the middle",
    run=refusal_lib.RunState.UNKNOWN,
)


def _on_arrival(entry: Entry, event: events.Arrived) -> Iterator[events.Effect]:
    if entry.stopping:
        yield events.Refuse(event.request_id, _STOPPING)
        return
    if event.now_ms >= entry.lease_until_ms:
        yield events.Refuse(event.request_id, _NO_LEASE)
        return
    entry.in_flight_by_id[event.request_id] = InFlight(arrived=event)
    if event.key:
        yield events.AskClaim(
            event.request_id,
            event.account,
            event.service,
            event.key,
            event.digest,
        )
        return
    yield from _dispatch(entry, event.request_id, event.now_ms)


def _on_claim(
    entry: Entry,
    request_id: str,
    reply: control_messages.ClaimReply,
    now_ms: int,
) -> Iterator[events.Effect]:
    in_flight = entry.in_flight_by_id.get(request_id)
    if in_flight is None:
        return
    verdict = control_messages.ClaimVerdict
    match reply.verdict:
        case verdict.GRANTED:
            in_flight.claim_id = reply.claim_id
            yield from _dispatch(entry, request_id, now_ms)
        case verdict.FINISHED if reply.answer is not None:
            del entry.in_flight_by_id[request_id]
            yield events.Replay(request_id, reply.answer)
        case verdict.MISMATCH:
            yield from _end(entry, request_id, _MISMATCH)
        case verdict.RUNNING:
            yield from _end(entry, request_id, _RUNNING)
        case _:
            yield from _end(entry, request_id, _UNKNOWN)


def _dispatch(
    entry: Entry, request_id: str, now_ms: int
) -> Iterator[events.Effect]:
    in_flight = entry.in_flight_by_id[request_id]
    runner = None
    if now_ms < entry.lease_until_ms:
        runner = routing.choose(
            _candidates(entry, in_flight.arrived.service),
            avoid=frozenset(in_flight.failed_runners),
        )
    if runner is None:
        yield from _give_up(entry, request_id, _no_runner(in_flight))
        return
    in_flight.attempt += 1
    in_flight.runner = runner
    entry.dispatched_by_runner[runner] += 1
    yield events.Dispatch(
        request_id,
        in_flight.attempt,
        runner,
        entry.config.runners[runner].address,
        entry.config.number,
        in_flight.claim_id,
    )


def _candidates(entry: Entry, service: str) -> Iterator[routing.Candidate]:
    for view in entry.fleet_view.runners:
        runner = entry.config.runners.get(view.runner)
        if runner is None or runner.service != service:
            continue
        if view.phase is not fleet.RunnerPhase.LIVE:
            continue
        report = entry.report_by_runner.get(view.runner)
        yield routing.Candidate(
            runner=view.runner,
            waiting_tokens=report.waiting_prefill_tokens if report else 0,
            streams=entry.dispatched_by_runner[view.runner],
            same_zone=runner.zone == entry.zone,
        )


def _no_runner(in_flight: InFlight) -> refusal_lib.Refusal:
    return refusal_lib.Refusal(
        status=503,
        code=refusal_lib.Code.NO_RUNNER,
        message=f"no runner of {in_flight.arrived.service} takes new work",
        retry_after_ms=RETRY_SOON_MS,
    )


def _on_failure(
    entry: Entry, event: events.AttemptFailed
) -> Iterator[events.Effect]:
    in_flight = entry.in_flight_by_id.get(event.request_id)
    if in_flight is None or in_flight.attempt != event.attempt:
        return
    _release_runner(entry, in_flight)
    in_flight.failed_runners.add(in_flight.runner)
    not_run = event.run is refusal_lib.RunState.NOT_RUN
    repeatable = not in_flight.arrived.key
    if (not_run or repeatable) and in_flight.attempt < MAX_ATTEMPTS:
        yield from _dispatch(entry, event.request_id, event.now_ms)
        return
    refusal = refusal_lib.Refusal(
        status=502,
        code=refusal_lib.Code.UPSTREAM_FAILED,
        message=event.message,
        run=event.run,
        retry_after_ms=RETRY_SOON_MS if not_run else 0,
    )
    yield from _give_up(entry, event.request_id, refusal)


def _give_up(
    entry: Entry, request_id: str, refusal: refusal_lib.Refusal
) -> Iterator[events.Effect]:
    """Settle the claim, if any, and refuse."""
    in_flight = entry.in_flight_by_id[request_id]
    if in_flight.claim_id:
        released = refusal.run is refusal_lib.RunState.NOT_RUN
        yield events.Settle(request_id, in_flight.claim_id, released, None)
    yield from _end(entry, request_id, refusal)


def _end(
    entry: Entry, request_id: str, refusal: refusal_lib.Refusal
) -> Iterator[events.Effect]:
    if entry.in_flight_by_id.pop(request_id, None) is not None:
        yield events.Refuse(request_id, refusal)


def _on_finish(
    entry: Entry, request_id: str, answer: fleet.KeptAnswer | None
) -> Iterator[events.Effect]:
    in_flight = entry.in_flight_by_id.pop(request_id, None)
    if in_flight is None:
        return
    _release_runner(entry, in_flight)
    if in_flight.claim_id:
        yield events.Settle(request_id, in_flight.claim_id, False, answer)


def _release_runner(entry: Entry, in_flight: InFlight) -> None:
    if not in_flight.runner:
        return
    entry.dispatched_by_runner[in_flight.runner] -= 1


def _take_lease(
    entry: Entry, grant: control_messages.Grant, asked_ms: int
) -> None:
    if grant.config_number < entry.config.number:
        return
    entry.config = delta.received(entry.config, grant)
    if grant.config_number != entry.config.number:
        return
    if grant.fleet_view is not None:
        entry.fleet_view = fleet.merge_view(entry.fleet_view, grant.fleet_view)
    until_ms = asked_ms - grant.age_ms + LEASE_MS
    entry.lease_until_ms = max(entry.lease_until_ms, until_ms)
