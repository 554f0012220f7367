"""The entry's reducer: admission, routing, claims and retries."""

from collections.abc import Iterator

from wisteriawall.config import grants
from wisteriawall.entry import events
from wisteriawall.entry import placing
from wisteriawall.entry import refusals
from wisteriawall.entry import state
from wisteriawall.entry import subset
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import control_messages
from wisteriawall.wire import fleet

__all__ = ["LEASE_MS", "reduce"]

LEASE_MS = 2_000
MAX_ATTEMPTS = 4
RETRY_DELAY_MS = 100
CLAIM_WAIT_MS = 1_000


def reduce(entry: state.Entry, event: events.Event) -> Iterator[events.Effect]:
    """Yield the effects of one event, in the order to carry them out."""
    match event:
        case events.Arrived():
            yield from _on_arrival(entry, event)
        case events.ClaimDecided(request_id, reply, now_ms):
            yield from _on_claim(entry, request_id, reply, now_ms)
        case events.ClaimFailed(request_id, now_ms):
            yield from _on_claim_failure(entry, request_id, now_ms)
        case events.AttemptFailed():
            yield from _on_failure(entry, event)
        case events.Finished():
            yield from _on_finish(entry, event)
        case events.CallerGone(request_id, _):
            yield from _on_caller_gone(entry, request_id)
        case _:
            _observe(entry, event)


_Observation = (
    events.Granted
    | events.LoadReported
    | events.CacheChanged
    | events.Started
    | events.Stopping
)


def _observe(entry: state.Entry, event: _Observation) -> None:
    """Take note of an event that ends or moves no request by itself."""
    match event:
        case events.Granted(grant, asked_ms):
            _take_lease(entry, grant, asked_ms)
        case events.LoadReported(report, now_ms):
            _take_report(entry, report, now_ms)
        case events.CacheChanged(changes):
            entry.prefixes.apply(changes)
        case events.Started(request_id, attempt, _):
            in_flight = _find_attempt(entry, request_id, attempt)
            if in_flight is not None:
                in_flight.started = True
                placing.started(entry, in_flight)
        case events.Stopping():
            entry.stopping = True


def _on_arrival(
    entry: state.Entry, event: events.Arrived
) -> Iterator[events.Effect]:
    if event.request_id in entry.in_flight_by_id:
        return
    if entry.stopping:
        yield events.Refuse(event.request_id, refusals.STOPPING)
        return
    if event.now_ms >= entry.lease_until_ms:
        yield events.Refuse(event.request_id, refusals.NO_LEASE)
        return
    in_flight = state.InFlight(
        arrived=event,
        phase=state.Phase.CLAIM if event.key else state.Phase.ANSWER,
    )
    entry.in_flight_by_id[event.request_id] = in_flight
    placing.admitted(entry, event)
    if event.key:
        yield _ask_claim(in_flight)
    else:
        yield from _dispatch(entry, in_flight, event.now_ms)


def _ask_claim(in_flight: state.InFlight) -> events.AskClaim:
    arrived = in_flight.arrived
    return events.AskClaim(
        arrived.request_id,
        arrived.account,
        arrived.service,
        arrived.key,
        arrived.digest,
    )


def _on_claim(
    entry: state.Entry,
    request_id: str,
    reply: control_messages.ClaimReply,
    now_ms: int,
) -> Iterator[events.Effect]:
    in_flight = entry.in_flight_by_id.get(request_id)
    if in_flight is None or in_flight.phase is not state.Phase.CLAIM:
        return
    verdict = control_messages.ClaimVerdict
    match reply.verdict:
        case verdict.GRANTED:
            in_flight.claim_id = reply.claim_id
            in_flight.phase = state.Phase.ANSWER
            yield from _use_claim(entry, in_flight, now_ms)
        case verdict.FINISHED if reply.answer is not None:
            del entry.in_flight_by_id[request_id]
            yield events.Replay(request_id, reply.answer)
        case verdict.MISMATCH:
            yield from _end(entry, request_id, refusals.MISMATCH)
        case verdict.RUNNING:
            yield from _end(entry, request_id, refusals.CLAIM_RUNNING)
        case _:
            yield from _end(entry, request_id, refusals.UNKNOWN)


def _use_claim(
    entry: state.Entry, in_flight: state.InFlight, now_ms: int
) -> Iterator[events.Effect]:
    """Run a claimed request, or return the claim of a caller that left."""
    if not in_flight.caller_gone:
        yield from _dispatch(entry, in_flight, now_ms)
        return
    request_id = in_flight.arrived.request_id
    del entry.in_flight_by_id[request_id]
    yield events.Settle(request_id, in_flight.claim_id, True, None)
    yield events.Cancel(request_id)


def _on_claim_failure(
    entry: state.Entry, request_id: str, now_ms: int
) -> Iterator[events.Effect]:
    in_flight = entry.in_flight_by_id.get(request_id)
    if in_flight is None or in_flight.phase is not state.Phase.CLAIM:
        return
    ask = _ask_claim(in_flight)
    has_lease = now_ms < entry.lease_until_ms
    if has_lease and now_ms - in_flight.arrived.now_ms < CLAIM_WAIT_MS:
        # A claim that the log did record is granted again to the same id.
        yield ask
        return
    yield events.ReturnClaim(request_id, ask)
    yield from _end(entry, request_id, refusals.CONTROL_LOST)


def _dispatch(
    entry: state.Entry, in_flight: state.InFlight, now_ms: int
) -> Iterator[events.Effect]:
    if now_ms >= entry.lease_until_ms:
        yield from _give_up(entry, in_flight, refusals.NO_LEASE)
        return
    service = in_flight.arrived.service
    runner = placing.choose(entry, in_flight, now_ms=now_ms)
    if runner is None:
        yield from _give_up(entry, in_flight, refusals.no_runner(service))
        return
    in_flight.attempt += 1
    in_flight.runner = runner
    in_flight.sent_ms = now_ms
    placing.dispatched(entry, in_flight, now_ms=now_ms)
    yield events.Dispatch(
        in_flight.arrived.request_id,
        in_flight.attempt,
        runner,
        entry.config.runners[runner].address,
        entry.config.number,
        in_flight.claim_id,
        _retry_delay_ms(in_flight),
    )


def _retry_delay_ms(in_flight: state.InFlight) -> int:
    """Return the pause before a runner that failed this request gets it."""
    if in_flight.runner not in in_flight.failed_runners:
        return 0
    return RETRY_DELAY_MS << (in_flight.attempt - 2)


def _on_failure(
    entry: state.Entry, event: events.AttemptFailed
) -> Iterator[events.Effect]:
    in_flight = _find_attempt(entry, event.request_id, event.attempt)
    if in_flight is None:
        return
    placing.failed(entry, in_flight, event)
    in_flight.failed_runners.add(in_flight.runner)
    in_flight.runner = ""
    if event.run is not refusal_lib.RunState.NOT_RUN:
        in_flight.may_have_run = True
    repeatable = not in_flight.arrived.key
    may_retry = repeatable or not in_flight.may_have_run
    if (
        may_retry
        and in_flight.attempt < MAX_ATTEMPTS
        and placing.may_retry(entry, in_flight, event)
    ):
        yield from _dispatch(entry, in_flight, event.now_ms)
        return
    refusal = refusals.failed(event.message, run=event.run)
    yield from _give_up(entry, in_flight, refusal)


def _find_attempt(
    entry: state.Entry, request_id: str, attempt: int
) -> state.InFlight | None:
    """Return the request if `attempt` is the one that runs now."""
    in_flight = entry.in_flight_by_id.get(request_id)
    if in_flight is None or not in_flight.runner:
        return None
    return in_flight if in_flight.attempt == attempt else None


def _give_up(
    entry: state.Entry,
    in_flight: state.InFlight,
    refusal: refusal_lib.Refusal,
) -> Iterator[events.Effect]:
    """Settle the claim, if any, and refuse."""
    if in_flight.may_have_run:
        refusal = refusals.failed(
            refusal.message, run=refusal_lib.RunState.UNKNOWN
        )
    request_id = in_flight.arrived.request_id
    if in_flight.claim_id:
        released = not in_flight.may_have_run
        yield events.Settle(request_id, in_flight.claim_id, released, None)
    yield from _end(entry, request_id, refusal)


def _end(
    entry: state.Entry, request_id: str, refusal: refusal_lib.Refusal
) -> Iterator[events.Effect]:
    if entry.in_flight_by_id.pop(request_id, None) is not None:
        yield events.Refuse(request_id, refusal)


def _on_finish(
    entry: state.Entry, event: events.Finished
) -> Iterator[events.Effect]:
    in_flight = _find_attempt(entry, event.request_id, event.attempt)
    if in_flight is None:
        return
    del entry.in_flight_by_id[event.request_id]
    placing.finished(entry, in_flight, output_tokens=event.output_tokens)
    if in_flight.claim_id:
        yield events.Settle(
            event.request_id, in_flight.claim_id, False, event.answer
        )


def _on_caller_gone(
    entry: state.Entry, request_id: str
) -> Iterator[events.Effect]:
    in_flight = entry.in_flight_by_id.get(request_id)
    if in_flight is None:
        return
    if in_flight.arrived.key:
        # A claimed run goes on, so that its answer is kept for the caller's
        # next try; a claim not yet dispatched is returned once granted.
        in_flight.caller_gone = True
        return
    del entry.in_flight_by_id[request_id]
    placing.abandoned(entry, in_flight)
    yield events.Cancel(request_id)


def _take_report(
    entry: state.Entry, report: fleet.LoadReport, now_ms: int
) -> None:
    if not entry.load.apply_report(report, now_ms=now_ms):
        return
    if report.leaving:
        entry.leaving.add(report.runner)
    else:
        entry.leaving.discard(report.runner)


def _take_lease(
    entry: state.Entry, grant: control_messages.Grant, asked_ms: int
) -> None:
    if grant.config_number < entry.config.number:
        return
    held = (entry.config.number, entry.fleet_view.version)
    entry.config = grants.apply_grant(entry.config, grant)
    if grant.config_number != entry.config.number:
        return
    if grant.fleet_view is not None:
        entry.fleet_view = fleet.merge_view(entry.fleet_view, grant.fleet_view)
    if held != (entry.config.number, entry.fleet_view.version):
        entry.chosen_by_service = subset.choose(
            entry.config, entry.fleet_view, entry=entry.name
        )
        placing.forget_gone(entry)
    until_ms = asked_ms - grant.age_ms + LEASE_MS
    entry.lease_until_ms = max(entry.lease_until_ms, until_ms)
