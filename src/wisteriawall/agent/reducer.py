"""The agent's reducer: admission, fencing and one order at a time."""

from collections.abc import Iterator
import dataclasses
from typing import final

from wisteriawall.agent import events
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import control_messages
from wisteriawall.wire import fleet

__all__ = ["LEASE_MS", "Agent", "reduce"]

LEASE_MS = 2_000
RETRY_SOON_MS = 500


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Agent:
    """State of the agent in front of one upstream.

    `superseded_ms` is when a configuration number newer than the one before
    it became known here; entries may act on the older one until their lease
    has run out.
    """

    runner: str
    incarnation: int
    config_number: int = 0
    previous_number: int = 0
    superseded_ms: int = 0
    lease_until_ms: int = -1
    draining: bool = False
    stopping: bool = False
    floor: fleet.Fence | None = None
    order: fleet.Order | None = None
    executing: bool = False
    report: events.Report | None = None
    finished_order_id: int = 0
    running: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    admitted_claims: set[int] = dataclasses.field(default_factory=set)


def reduce(agent: Agent, event: events.Event) -> Iterator[events.Effect]:
    """Yield the effects of one event, in the order to carry them out."""
    match event:
        case events.Arrived():
            yield _admission(agent, event)
        case events.Ended(request_id, attempt, _):
            agent.running.discard((request_id, attempt))
            yield from _start_order(agent)
        case events.Granted(grant, asked_ms, now_ms):
            _take_lease(agent, grant, asked_ms, now_ms)
            yield from _take_order(agent, grant)
        case events.FloorLearned(floor, _):
            agent.floor = max(floor, agent.floor or floor)
        case events.OrderFinished():
            yield from _finish_order(agent, event)
        case events.OrderReported(order_id, _):
            if agent.report and agent.report.order_id == order_id:
                agent.report = None
        case events.Stopping():
            agent.stopping = True


def _admission(
    agent: Agent, event: events.Arrived
) -> events.Admit | events.Reject:
    refusal = _find_refusal(agent, event)
    if refusal is not None:
        return events.Reject(event.request_id, refusal)
    agent.running.add((event.request_id, event.attempt))
    if event.claim_id:
        agent.admitted_claims.add(event.claim_id)
    return events.Admit(event.request_id)


def _find_refusal(
    agent: Agent, event: events.Arrived
) -> refusal_lib.Refusal | None:
    code = refusal_lib.Code
    if agent.stopping or agent.draining or agent.order is not None:
        return _refusal(code.DRAINING, "this upstream takes no new work")
    if event.now_ms >= agent.lease_until_ms:
        return _refusal(code.NO_LEASE, "the configuration lease has run out")
    if _is_stale(agent, event):
        return _refusal(
            code.STALE_CONFIG,
            f"configuration {event.config_number}, "
            f"expected {agent.config_number}",
        )
    if event.claim_id and event.claim_id in agent.admitted_claims:
        return refusal_lib.Refusal(
            status=409,
            code=code.UNKNOWN_OUTCOME,
            message="this claim was admitted before",
            run=refusal_lib.RunState.UNKNOWN,
        )
    return None


def _refusal(code: refusal_lib.Code, message: str) -> refusal_lib.Refusal:
    return refusal_lib.Refusal(
        status=503, code=code, message=message, retry_after_ms=RETRY_SOON_MS
    )


def _is_stale(agent: Agent, event: events.Arrived) -> bool:
    """Tell whether no entry may still act on the request's number."""
    if event.config_number >= agent.config_number:
        return False
    if event.config_number < agent.previous_number:
        return True
    return event.now_ms >= agent.superseded_ms + LEASE_MS


def _take_lease(
    agent: Agent, grant: control_messages.Grant, asked_ms: int, now_ms: int
) -> None:
    if grant.config_number < agent.config_number:
        return
    if grant.config_number > agent.config_number:
        agent.previous_number = agent.config_number
        agent.config_number = grant.config_number
        agent.superseded_ms = now_ms
    until_ms = asked_ms - grant.age_ms + LEASE_MS
    agent.lease_until_ms = max(agent.lease_until_ms, until_ms)
    if grant.fleet_view is not None:
        _follow_phase(agent, grant.fleet_view)


def _follow_phase(agent: Agent, view: fleet.FleetView) -> None:
    phases = [r.phase for r in view.runners if r.runner == agent.runner]
    taking = (fleet.RunnerPhase.LIVE, fleet.RunnerPhase.CHANGING)
    agent.draining = bool(phases) and phases[0] not in taking


def _take_order(
    agent: Agent, grant: control_messages.Grant
) -> Iterator[events.Effect]:
    order = grant.order
    if order is None or agent.floor is None or agent.order is not None:
        return
    if order.fence < agent.floor:
        return
    if order.fence.order_id <= agent.finished_order_id:
        return
    agent.floor = order.fence
    agent.order = order
    yield from _start_order(agent)


def _start_order(agent: Agent) -> Iterator[events.Effect]:
    """Execute the accepted order once nothing runs that it would cut."""
    if agent.order is None or agent.executing or agent.running:
        return
    agent.executing = True
    yield events.Execute(agent.order)


def _finish_order(
    agent: Agent, event: events.OrderFinished
) -> Iterator[events.Effect]:
    if agent.order is None or agent.order.fence.order_id != event.order_id:
        return
    agent.order = None
    agent.executing = False
    agent.finished_order_id = event.order_id
    agent.report = events.Report(
        event.order_id, event.succeeded, event.detail, event.role
    )
    yield agent.report
