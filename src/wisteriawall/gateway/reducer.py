"""State transitions of a gateway: events in, effects out, without I/O.

Every decision about a request is made here; `shell` and `run` carry out the
effects.
"""

from collections.abc import Generator
from collections.abc import Iterator
import zlib

from wisteriawall.config import route_table
from wisteriawall.gateway import control_update
from wisteriawall.gateway import diagnostics
from wisteriawall.gateway import engine_contents
from wisteriawall.gateway import events
from wisteriawall.gateway import final_answers
from wisteriawall.gateway import limits
from wisteriawall.gateway import loads
from wisteriawall.gateway import placing
from wisteriawall.gateway import protocol
from wisteriawall.gateway import refusals
from wisteriawall.gateway import retry_budget
from wisteriawall.gateway import state as state_lib
from wisteriawall.gateway import stream_origins
from wisteriawall.gateway import suspects
from wisteriawall.gateway import table_proof
from wisteriawall.gateway import usage_events as usage
from wisteriawall.policy import placement as placement_lib
from wisteriawall.policy import runner_notices
from wisteriawall.web import connection_pool
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import gateway_messages

__all__ = ["reduce"]

# Smaller differences between callers' deadlines don't show an earlier attempt.
MIN_EARLIER_WAIT_MS = 200


def reduce(
    gateway: state_lib.Gateway, event: events.Event
) -> Iterator[events.Effect]:
    """Apply one event to the state and yield its effects.

    The state changes while the generator runs, so it must be exhausted. The
    effects are carried out in the order in which they are yielded.
    """
    match event:
        case events.Arrived():
            yield from _handle_arrival(gateway, event)
        case events.PrefillDone() | events.AnswerStarted():
            yield from _handle_progress(gateway, event)
        case events.StreamBegan() | events.OriginFound():
            yield from _handle_origin(gateway, event)
        case events.PhaseFailed():
            yield from _handle_failure(gateway, event)
        case events.RunnerNoticed() | events.RunBegan():
            yield from _handle_answer_head(gateway, event)
        case (
            events.ForeignAnswer()
            | events.UnexpectedError()
            | events.StopTimedOut()
        ):
            yield from diagnostics.log(gateway, event)
        case events.StopBegan(answers_end_ms=answers_end_ms):
            gateway.answers_end_ms = answers_end_ms
        case events.Ended():
            yield from _handle_end(gateway, event)
        case (
            events.PeerLoadReceived()
            | events.ControlUpdate()
            | events.TableAnnounced()
            | events.TableFetched()
            | events.EngineAsked()
            | events.EngineAnswered()
            | events.ContentsTold()
            | events.PeersSettled()
        ):
            yield from _handle_news(gateway, event)


def _no_route(gateway: state_lib.Gateway, now_ms: int) -> refusal_lib.Refusal:
    """Return the refusal of a request without a route in the table in use.

    404 is final, and a newer table may have the route.
    """
    assert gateway.route_index is not None
    if table_proof.is_outdated(gateway, gateway.route_index.table):
        return refusals.OUTDATED_TABLE
    if not table_proof.is_confirmed(
        gateway, gateway.table_confirmed_ms, now_ms
    ):
        return refusals.ROUTES_UNPROVED
    return refusals.NO_ROUTE


def _handle_arrival(
    gateway: state_lib.Gateway, event: events.Arrived
) -> Iterator[events.Effect]:
    if event.too_late:
        yield final_answers.refused_entry(
            event.request_id,
            refusals.STOPPING,
            "stopping",
            unread_ms=event.unread_ms,
        )
        yield events.Refuse(refusal=refusals.STOPPING)
        return
    if gateway.route_index is None:
        yield events.Refuse(refusal=refusals.NO_TABLE)
        return
    route = gateway.route_index.find(event.host, event.path)
    if route is None:
        yield events.LogDecision(
            decision="no-route",
            request_id=event.request_id,
            inputs={
                "host": event.host,
                "table": gateway.table_number,
                "newest_table": gateway.newest_table,
                "table_age_ms": event.now_ms - gateway.table_confirmed_ms,
            },
        )
        yield events.Refuse(refusal=_no_route(gateway, event.now_ms))
        return
    request = state_lib.Request(
        request_key=event.request_key,
        request_id=event.request_id,
        head=event.head,
        route=route,
        service=_pick_service(gateway.route_index, route, event.request_id),
        arrived_ms=event.now_ms - event.unread_ms,
        fingerprint=event.fingerprint,
    )
    if event.head.prompt is not None:
        # The last part belongs to this request, or to its session.
        request.shared_parts = tuple(
            part for part, _ in event.head.prompt.parts[:-1]
        )
    if event.head.prompt is not None and request.service.engine is not None:
        request.prompt = _build_prompt(
            event.request_id,
            event.head.prompt,
            priority_class=placing.priority_class(request),
        )
    request.earlier_wait_ms = _earlier_wait_ms(gateway, request)
    gateway.request_by_key[event.request_key] = request
    gateway.retries.add_request(request.service.name, event.now_ms)
    if stream_origins.is_take_up(request):
        yield from stream_origins.prove(gateway, request, event.now_ms)
        if request.origin is None:
            return  # It was refused, or control is asked.
    yield from placing.place(gateway, request, event.now_ms)


def _handle_origin(
    gateway: state_lib.Gateway, event: events.StreamBegan | events.OriginFound
) -> Iterator[events.Effect]:
    if isinstance(event, events.StreamBegan):
        yield from stream_origins.begin(gateway, event)
        return
    request = gateway.request_by_key.get(event.request_key)
    if request is None:
        return
    yield from stream_origins.prove_by_control(gateway, request, event)
    if request.origin is not None:
        yield from placing.place(gateway, request, event.now_ms)


def _earlier_wait_ms(
    gateway: state_lib.Gateway, request: state_lib.Request
) -> int:
    """Return how long the caller waited in attempts before this request.

    All callers of a route start with the same total deadline, so the longest
    remaining time seen on the route is taken as that total. A caller that
    retries has less of it left, and the difference is its earlier wait. Returns
    0 below `MIN_EARLIER_WAIT_MS`.
    """
    name, remaining_ms = request.route.name, request.head.remaining_ms
    longest_remaining_ms = max(
        gateway.longest_remaining_ms_by_route.get(name, 0), remaining_ms
    )
    gateway.longest_remaining_ms_by_route[name] = longest_remaining_ms
    waited_ms = longest_remaining_ms - remaining_ms
    return waited_ms if waited_ms >= MIN_EARLIER_WAIT_MS else 0


def _pick_service(
    index: route_table.RouteIndex, route: route_table.Route, request_id: str
) -> route_table.RoutedService:
    """Return the service that answers a request.

    A hash of the request's id selects one of the route's services, in
    proportion to their weights.
    """
    total = sum(share.weight for share in route.shares)
    position = zlib.crc32(request_id.encode()) % total
    for share in route.shares:
        position -= share.weight
        if position < 0:
            return index.service_by_name[share.service]
    raise AssertionError("no share covers the position drawn by weight")


def _build_prompt(
    request_id: str, prompt: protocol.PromptTokens, *, priority_class: int
) -> placement_lib.Prompt:
    parts = prompt.parts
    counted = sum(tokens for _, tokens in parts)
    if prompt.input_tokens > counted:
        parts = (*parts, (f"own-{request_id}", prompt.input_tokens - counted))
    return placement_lib.Prompt(
        request_id=request_id,
        parts=parts,
        output_tokens=prompt.output_tokens,
        priority_class=priority_class,
    )


def _handle_progress(
    gateway: state_lib.Gateway,
    event: events.PrefillDone | events.AnswerStarted,
) -> Iterator[events.Effect]:
    if isinstance(event, events.PrefillDone):
        yield from _handle_prefill_done(gateway, event)
    else:
        yield from _handle_answer_start(gateway, event)


def _handle_prefill_done(
    gateway: state_lib.Gateway, event: events.PrefillDone
) -> Iterator[events.Effect]:
    """Send the request to an engine that fetches the KV cache and decodes.

    The engine chosen at placement is used while it is listed and not draining,
    otherwise the decode engine with the shortest wait.
    """
    request = gateway.request_by_key.get(event.request_key)
    if request is None or request.current_send is None:
        return
    request.has_prefilled = True
    placement = request.placement
    assert isinstance(placement, placement_lib.EnginePair)
    prefiller = request.current_send.upstream
    prefill_permille = loads.measure_prefill(gateway, request, event.now_ms)
    yield _phase_progress(request, "prompt-read", event.now_ms)
    yield from loads.report_step(
        gateway,
        request,
        gateway_messages.LoadEventKind.ENDED,
        event.now_ms,
        prefill_permille=prefill_permille,
    )
    if suspects.is_blocked(gateway, request, event.now_ms):
        yield from final_answers.refuse_blocked(gateway, request, event.now_ms)
        return
    decoder = gateway.upstream_by_id.get(placement.upstream_id)
    if decoder is None or not placing.may_send(
        gateway, request, decoder, event.now_ms
    ):
        decoder = placing.least_loaded_decoder(gateway, request, event.now_ms)
    if decoder is None:
        yield from final_answers.refuse_without_runner(
            gateway, request, event.now_ms
        )
        return
    send = protocol.Send(
        upstream=decoder,
        phase=protocol.Phase.DECODE,
        attempt=request.attempts + 1,
        priority_class=request.current_send.priority_class,
        kv_source=f"{prefiller.address}/{event.transfer_handle}",
    )
    yield from placing.dispatch(
        gateway, request, send, event.now_ms, uncached_tokens=0
    )


def _handle_answer_start(
    gateway: state_lib.Gateway, event: events.AnswerStarted
) -> Iterator[events.Effect]:
    request = gateway.request_by_key.get(event.request_key)
    if request is None or request.current_send is None:
        return
    request.began_ms = event.now_ms
    if request.answer_started:
        return
    request.answer_started = True
    yield _phase_progress(request, "began", event.now_ms)
    if request.prompt is None:
        # Only a prompt's prefill ends with the start of the answer.
        gateway.notices.note_success(
            request.current_send.upstream.start_id, event.now_ms
        )
        return
    yield from loads.report_step(
        gateway,
        request,
        gateway_messages.LoadEventKind.ANSWER_STARTED,
        event.now_ms,
        prefill_permille=loads.measure_prefill(gateway, request, event.now_ms),
    )


def _phase_progress(
    request: state_lib.Request, decision: str, now_ms: int
) -> events.LogDecision:
    """Return the log entry that compares a phase's progress and forecast."""
    assert request.current_send is not None
    inputs: dict[str, object] = {
        "upstream": request.current_send.upstream.upstream_id,
        "leg": request.current_send.phase.value,
        "leg_ms": now_ms - request.sent_ms,
        "ms": now_ms - request.arrived_ms,
    }
    if request.placement is not None and request.prompt is not None:
        inputs["forecast_ms"] = round(request.placement.first_token_ms)
        inputs["forecast_wait_ms"] = round(request.placement.wait_ms)
        inputs["unread_tokens"] = request.placement.uncached_tokens
        inputs["tokens"] = request.prompt.tokens
    return events.LogDecision(
        decision=decision, request_id=request.request_id, inputs=inputs
    )


def _handle_failure(
    gateway: state_lib.Gateway, event: events.PhaseFailed
) -> Iterator[events.Effect]:
    """Retry on another runner if allowed, otherwise end the request."""
    request = gateway.request_by_key.get(event.request_key)
    if request is None or request.current_send is None:
        return
    send = request.current_send
    yield events.LogDecision(
        decision="leg-failed",
        request_id=request.request_id,
        inputs={
            "upstream": send.upstream.upstream_id,
            "leg": send.phase.value,
            "run": event.run.value,
            "reason": event.reason,
            "fingerprint": request.fingerprint,
            "cut_off": event.cut_off,
            "peer": event.peer_state.value,
        },
    )
    loads.note_shed(gateway, request, event)
    yield from loads.report_step(
        gateway, request, gateway_messages.LoadEventKind.ENDED, event.now_ms
    )
    yield from _note_failure(gateway, request, event)
    if event.cut_off:
        yield from suspects.report_cut_off(gateway, request, event)
    run = event.run
    if event.unreachable:
        request.arrivals -= 1
    if send.phase is protocol.Phase.PREFILL:
        # A prefill alone does not run the request.
        run = refusal_lib.RunState.NOT_RUN
        if not event.unreachable:
            request.attempts += 1
    elif event.unreachable:
        request.attempts -= 1
    if run is not refusal_lib.RunState.NOT_RUN:
        request.may_have_run = True
    may_retry = yield from _may_retry(gateway, request, event, run)
    if may_retry:
        request.current_send = None
        yield from placing.place(gateway, request, event.now_ms)
        return
    if event.answered:
        yield events.DeliverErrorAnswer()
        return
    refusal = refusals.phase_failed(event, run)
    yield from final_answers.refuse(gateway, request, refusal, event.reason)


def _handle_answer_head(
    gateway: state_lib.Gateway, event: events.RunnerNoticed | events.RunBegan
) -> Iterator[events.Effect]:
    """Record what a runner's answer says about sending to it, or of a run."""
    if isinstance(event, events.RunBegan):
        yield from usage.note_run(gateway, event)
        return
    upstream_id, start_id = event.upstream.upstream_id, event.upstream.start_id
    yield from limits.report_answer(gateway, event)
    if event.pause_ms is not None:
        yield events.LogDecision(
            decision="runner-paused",
            request_id=event.request_id,
            inputs={
                "upstream": upstream_id,
                "asked_ms": event.pause_ms,
                "pause_ms": gateway.notices.note_pause(
                    start_id, event.pause_ms, event.now_ms
                ),
            },
        )
    if event.leaving and gateway.notices.note_leaving(
        start_id, runner_notices.Source.ANSWER, event.now_ms
    ):
        yield events.LogDecision(
            decision="runner-leaving",
            request_id=event.request_id,
            inputs={"upstream": upstream_id, "list": gateway.list_version},
        )
        yield events.BroadcastLoad(
            load_event=gateway_messages.LoadEvent(
                gateway_messages.LoadEventKind.LEAVING, upstream_id, ""
            )
        )


def _note_failure(
    gateway: state_lib.Gateway,
    request: state_lib.Request,
    event: events.PhaseFailed,
) -> Iterator[events.Effect]:
    """Avoid a runner that seems to be down, here and at other gateways."""
    assert request.current_send is not None
    if not event.runner_failed:
        return
    upstream = request.current_send.upstream
    upstream_id = upstream.upstream_id
    has_ended = event.peer_state is connection_pool.PeerState.REFUSING
    if event.unreachable or has_ended:
        stream_origins.note_ended(gateway, upstream_id, event.now_ms)
    if event.unreachable:
        yield from suspects.report_unreachable(
            gateway, upstream_id, event.now_ms
        )
    avoidance_ms = gateway.notices.note_failure(
        upstream.start_id,
        event.now_ms,
        unreachable=event.unreachable or has_ended,
    )
    if not avoidance_ms:
        return
    yield events.LogDecision(
        decision="runner-avoided",
        request_id=request.request_id,
        inputs={
            "upstream": upstream_id,
            "avoided_ms": avoidance_ms,
            "reason": event.reason,
        },
    )
    yield events.BroadcastLoad(
        load_event=gateway_messages.LoadEvent(
            gateway_messages.LoadEventKind.FAILED, upstream_id, ""
        )
    )


def _may_retry(
    gateway: state_lib.Gateway,
    request: state_lib.Request,
    event: events.PhaseFailed,
    run: refusal_lib.RunState,
) -> Generator[events.LogDecision, None, bool]:
    if event.is_final or event.now_ms >= request.deadline_at_ms:
        return False
    if request.answer_started and not (
        request.route.resumable and event.can_go_on
    ):
        return False
    # A trial that failed is not repeated either.
    if event.cut_off and gateway.suspects.is_blocked(request.traits):
        return False
    if suspects.is_blocked(gateway, request, event.now_ms):
        return False
    not_run = run is refusal_lib.RunState.NOT_RUN
    if not not_run and not request.route.is_repeatable:
        return False
    if not event.unreachable and (
        request.attempts >= request.route.max_attempts
    ):
        return False
    return (yield from retry_budget.take_retry(gateway, request, event.now_ms))


def _handle_end(
    gateway: state_lib.Gateway, event: events.Ended
) -> Iterator[events.Effect]:
    request = gateway.request_by_key.pop(event.request_key, None)
    if request is None or request.current_send is None:
        return
    yield events.LogDecision(
        decision="ended",
        request_id=request.request_id,
        inputs={
            "upstream": request.current_send.upstream.upstream_id,
            "whole": event.is_complete,
            "version": request.origin.version if request.origin else "",
            "ms": event.now_ms - request.arrived_ms,
        },
    )
    if event.is_success and request.prompt is None:
        yield from loads.report_plain_end(gateway, request, event.now_ms)
    else:
        yield from loads.report_step(
            gateway, request, gateway_messages.LoadEventKind.ENDED, event.now_ms
        )
    if event.is_success:
        yield from suspects.report_complete_answer(
            gateway, request, event.now_ms
        )


def _handle_news(
    gateway: state_lib.Gateway,
    event: events.PeerLoadReceived
    | events.ControlUpdate
    | events.TableAnnounced
    | events.TableFetched
    | events.EngineAsked
    | events.EngineAnswered
    | events.ContentsTold
    | events.PeersSettled,
) -> Iterator[events.Effect]:
    """Apply what other gateways, engines or control tell."""
    match event:
        case events.PeerLoadReceived(load_events=load_events, now_ms=now_ms):
            gateway.load_events_heard += len(load_events)
            loads.apply_steps(gateway, load_events, now_ms)
            yield from limits.apply_events(gateway, load_events, now_ms)
            yield from suspects.apply_events(gateway, load_events, now_ms)
            stream_origins.apply_events(gateway, load_events, now_ms)
        case events.ControlUpdate():
            yield from control_update.apply(gateway, event)
        case events.TableAnnounced():
            yield from control_update.announce_table(gateway, event)
        case events.TableFetched():
            yield from control_update.apply_fetched_table(gateway, event)
        case _:
            yield from engine_contents.apply(gateway, event)
