"""The entry's reducer: admission, routing, claims and retries.

A pure function of state and event: it does no input or output itself, but
yields effects that the shell carries out.
"""

from collections.abc import Iterator

from wisteriawall.config import grants
from wisteriawall.entry import dispatching
from wisteriawall.entry import events
from wisteriawall.entry import refusals
from wisteriawall.entry import state
from wisteriawall.entry import subset
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import control_messages
from wisteriawall.wire import fleet

__all__ = ["LEASE_MS", "reduce"]

LEASE_MS = 2_000
# Attempts of one request, over all runners.
MAX_ATTEMPTS = 4
# Doubled for each further attempt.
FIRST_RETRY_DELAY_MS = 100
CLAIM_TIMEOUT_MS = 1_000


def reduce(
    entry: state.EntryState, event: events.Event
) -> Iterator[events.Effect]:
    """Apply one event to `entry` and yield the effects that follow.

    The effects have to be carried out in the order in which they are yielded.
    """
    match event:
        case events.RequestArrived():
            yield from _on_arrival(entry, event)
        case events.ClaimDecided(request_id, reply, now_ms):
            yield from _on_claim_reply(entry, request_id, reply, now_ms)
        case events.ClaimFailed(request_id, now_ms):
            yield from _on_claim_failure(entry, request_id, now_ms)
        case events.AttemptFailed():
            yield from _on_attempt_failure(entry, event)
        case events.AttemptFinished():
            yield from _on_finish(entry, event)
        case events.CallerDisconnected(request_id, _):
            yield from _on_caller_disconnected(entry, request_id)
        case _:
            _apply_update(entry, event)


_Update = (
    events.LeaseGranted
    | events.LoadReportReceived
    | events.CacheChanged
    | events.FirstTokenReceived
    | events.Stopping
)


def _apply_update(entry: state.EntryState, event: _Update) -> None:
    """Apply an event that updates the state and has no effects."""
    match event:
        case events.LeaseGranted(grant, asked_ms):
            _apply_grant(entry, grant, asked_ms)
        case events.LoadReportReceived(report, now_ms):
            _apply_load_report(entry, report, now_ms)
        case events.CacheChanged(changes):
            entry.prefix_index.apply(changes)
        case events.FirstTokenReceived(request_id, attempt, _):
            in_flight = _find_attempt(entry, request_id, attempt)
            if in_flight is not None:
                in_flight.first_token_received = True
                dispatching.record_first_token(entry, in_flight)
        case events.Stopping():
            entry.stopping = True


def _on_arrival(
    entry: state.EntryState, event: events.RequestArrived
) -> Iterator[events.Effect]:
    if event.request_id in entry.in_flight_by_id:
        return
    if entry.stopping:
        yield events.Refuse(event.request_id, refusals.STOPPING)
        return
    if event.now_ms >= entry.lease_until_ms:
        yield events.Refuse(event.request_id, refusals.NO_LEASE)
        return
    in_flight = state.InFlightRequest(
        arrived=event,
        phase=state.RequestPhase.AWAITING_CLAIM
        if event.key
        else state.RequestPhase.AWAITING_ANSWER,
    )
    entry.in_flight_by_id[event.request_id] = in_flight
    dispatching.record_arrival(entry, event)
    if event.key:
        yield _claim_request(in_flight)
    else:
        yield from _dispatch(entry, in_flight, event.now_ms)


def _claim_request(in_flight: state.InFlightRequest) -> events.RequestClaim:
    arrived = in_flight.arrived
    return events.RequestClaim(
        arrived.request_id,
        arrived.account,
        arrived.service,
        arrived.key,
        arrived.digest,
    )


def _on_claim_reply(
    entry: state.EntryState,
    request_id: str,
    reply: control_messages.ClaimReply,
    now_ms: int,
) -> Iterator[events.Effect]:
    in_flight = entry.in_flight_by_id.get(request_id)
    if (
        in_flight is None
        or in_flight.phase is not state.RequestPhase.AWAITING_CLAIM
    ):
        return
    verdict = control_messages.ClaimVerdict
    match reply.verdict:
        case verdict.GRANTED:
            in_flight.claim_id = reply.claim_id
            in_flight.phase = state.RequestPhase.AWAITING_ANSWER
            yield from _run_claimed_request(entry, in_flight, now_ms)
        case verdict.FINISHED if reply.answer is not None:
            del entry.in_flight_by_id[request_id]
            yield events.Replay(request_id, reply.answer)
        case verdict.MISMATCH:
            yield from _end_with_refusal(
                entry, request_id, refusals.CLAIM_MISMATCH
            )
        case verdict.RUNNING:
            yield from _end_with_refusal(
                entry, request_id, refusals.CLAIM_RUNNING
            )
        case _:
            yield from _end_with_refusal(
                entry, request_id, refusals.OUTCOME_UNKNOWN
            )


def _run_claimed_request(
    entry: state.EntryState, in_flight: state.InFlightRequest, now_ms: int
) -> Iterator[events.Effect]:
    """Dispatch a claimed request.

    If its caller has disconnected, releases the claim instead.
    """
    if not in_flight.caller_disconnected:
        yield from _dispatch(entry, in_flight, now_ms)
        return
    request_id = in_flight.arrived.request_id
    del entry.in_flight_by_id[request_id]
    yield events.Settle(request_id, in_flight.claim_id, True, None)
    yield events.Cancel(request_id)


def _on_claim_failure(
    entry: state.EntryState, request_id: str, now_ms: int
) -> Iterator[events.Effect]:
    in_flight = entry.in_flight_by_id.get(request_id)
    if (
        in_flight is None
        or in_flight.phase is not state.RequestPhase.AWAITING_CLAIM
    ):
        return
    claim_request = _claim_request(in_flight)
    has_lease = now_ms < entry.lease_until_ms
    if has_lease and now_ms - in_flight.arrived.now_ms < CLAIM_TIMEOUT_MS:
        # Safe to ask twice: if the first claim was recorded, it is granted
        # again to the same request id.
        yield claim_request
        return
    yield events.ReleaseClaim(request_id, claim_request)
    yield from _end_with_refusal(
        entry, request_id, refusals.CONTROL_UNAVAILABLE
    )


def _dispatch(
    entry: state.EntryState, in_flight: state.InFlightRequest, now_ms: int
) -> Iterator[events.Effect]:
    if now_ms >= entry.lease_until_ms:
        yield from _refuse_and_settle(entry, in_flight, refusals.NO_LEASE)
        return
    service = in_flight.arrived.service
    runner = dispatching.choose_runner(entry, in_flight, now_ms=now_ms)
    if runner is None:
        yield from _refuse_and_settle(
            entry, in_flight, refusals.no_runner(service)
        )
        return
    in_flight.attempt += 1
    in_flight.runner = runner
    in_flight.sent_ms = now_ms
    dispatching.record_dispatch(entry, in_flight, now_ms=now_ms)
    yield events.Dispatch(
        in_flight.arrived.request_id,
        in_flight.attempt,
        runner,
        entry.config.runners[runner].address,
        entry.config.number,
        in_flight.claim_id,
        _retry_delay_ms(in_flight),
    )


def _retry_delay_ms(in_flight: state.InFlightRequest) -> int:
    """Return the delay of an attempt, in milliseconds.

    Only an attempt on a runner that has failed this request is delayed.
    """
    if in_flight.runner not in in_flight.failed_runners:
        return 0
    return FIRST_RETRY_DELAY_MS << (in_flight.attempt - 2)


def _on_attempt_failure(
    entry: state.EntryState, event: events.AttemptFailed
) -> Iterator[events.Effect]:
    in_flight = _find_attempt(entry, event.request_id, event.attempt)
    if in_flight is None:
        return
    dispatching.record_failure(entry, in_flight, event)
    in_flight.failed_runners.add(in_flight.runner)
    in_flight.runner = ""
    if event.run is not refusal_lib.RunState.NOT_RUN:
        in_flight.may_have_run = True
    is_repeatable = not in_flight.arrived.key
    may_retry = is_repeatable or not in_flight.may_have_run
    if (
        may_retry
        and in_flight.attempt < MAX_ATTEMPTS
        and dispatching.has_retry_budget(entry, in_flight, event)
    ):
        yield from _dispatch(entry, in_flight, event.now_ms)
        return
    refusal = refusals.upstream_failed(event.message, run=event.run)
    yield from _refuse_and_settle(entry, in_flight, refusal)


def _find_attempt(
    entry: state.EntryState, request_id: str, attempt: int
) -> state.InFlightRequest | None:
    """Return the request if `attempt` is its attempt in progress.

    Events of earlier attempts may arrive late; for those it returns None.
    """
    in_flight = entry.in_flight_by_id.get(request_id)
    if in_flight is None or not in_flight.runner:
        return None
    return in_flight if in_flight.attempt == attempt else None


def _refuse_and_settle(
    entry: state.EntryState,
    in_flight: state.InFlightRequest,
    refusal: refusal_lib.Refusal,
) -> Iterator[events.Effect]:
    """Refuse a request and settle its claim, if it has one.

    The claim is released, so that a retry may run, only if no attempt can
    have run.
    """
    if in_flight.may_have_run:
        refusal = refusals.upstream_failed(
            refusal.message, run=refusal_lib.RunState.UNKNOWN
        )
    request_id = in_flight.arrived.request_id
    if in_flight.claim_id:
        released = not in_flight.may_have_run
        yield events.Settle(request_id, in_flight.claim_id, released, None)
    yield from _end_with_refusal(entry, request_id, refusal)


def _end_with_refusal(
    entry: state.EntryState, request_id: str, refusal: refusal_lib.Refusal
) -> Iterator[events.Effect]:
    if entry.in_flight_by_id.pop(request_id, None) is not None:
        yield events.Refuse(request_id, refusal)


def _on_finish(
    entry: state.EntryState, event: events.AttemptFinished
) -> Iterator[events.Effect]:
    in_flight = _find_attempt(entry, event.request_id, event.attempt)
    if in_flight is None:
        return
    del entry.in_flight_by_id[event.request_id]
    dispatching.record_answer(
        entry, in_flight, output_tokens=event.output_tokens
    )
    if in_flight.claim_id:
        yield events.Settle(
            event.request_id, in_flight.claim_id, False, event.answer
        )


def _on_caller_disconnected(
    entry: state.EntryState, request_id: str
) -> Iterator[events.Effect]:
    in_flight = entry.in_flight_by_id.get(request_id)
    if in_flight is None:
        return
    if in_flight.arrived.key:
        # A claimed attempt continues, so that its answer is stored for the
        # caller's retry. A claim not dispatched yet is released once granted.
        in_flight.caller_disconnected = True
        return
    del entry.in_flight_by_id[request_id]
    dispatching.record_disconnect(entry, in_flight)
    yield events.Cancel(request_id)


def _apply_load_report(
    entry: state.EntryState, report: fleet.LoadReport, now_ms: int
) -> None:
    if not entry.load.apply_report(report, now_ms=now_ms):
        return
    if report.stopping:
        entry.draining_runners.add(report.runner)
    else:
        entry.draining_runners.discard(report.runner)


def _apply_grant(
    entry: state.EntryState, grant: control_messages.Grant, asked_ms: int
) -> None:
    if grant.config_number < entry.config.number:
        return
    previous_versions = (entry.config.number, entry.fleet_view.version)
    entry.config = grants.apply_grant(entry.config, grant)
    if grant.config_number != entry.config.number:
        return
    if grant.fleet_view is not None:
        entry.fleet_view = fleet.apply_fleet_update(
            entry.fleet_view, grant.fleet_view
        )
    if previous_versions != (entry.config.number, entry.fleet_view.version):
        entry.subset_by_service = subset.select(
            entry.config, entry.fleet_view, entry=entry.name
        )
        dispatching.forget_removed_runners(entry)
    expires_ms = asked_ms - grant.age_ms + LEASE_MS
    entry.lease_until_ms = max(entry.lease_until_ms, expires_ms)
