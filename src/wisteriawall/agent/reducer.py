"""The agent's reducer: admission, leases and one order at a time."""

from collections.abc import Iterator

from wisteriawall.agent import admission
from wisteriawall.agent import events
from wisteriawall.agent import orders
from wisteriawall.agent import state
from wisteriawall.wire import control_messages
from wisteriawall.wire import fleet

__all__ = ["reduce"]


def reduce(agent: state.Agent, event: events.Event) -> Iterator[events.Effect]:
    """Yield the effects of one event, in the order to carry them out."""
    match event:
        case events.Arrived():
            yield admission.admit(agent, event)
        case events.Ended():
            admission.end(agent, event)
            yield from orders.start(agent)
        case events.Granted(grant, asked_ms, now_ms):
            _take_lease(agent, grant, asked_ms, now_ms)
            yield from orders.take(agent, grant)
        case events.FloorLearned(floor, _):
            agent.floor = max(floor, agent.floor or floor)
        case events.OrderAnswered():
            yield from orders.answered(agent, event)
        case events.Inspected():
            yield from orders.inspected(agent, event)
        case events.OrderReported(order_id, _):
            if agent.report and agent.report.order_id == order_id:
                agent.report = None
        case events.Stopping():
            agent.stopping = True


def _take_lease(
    agent: state.Agent,
    grant: control_messages.Grant,
    asked_ms: int,
    now_ms: int,
) -> None:
    if grant.config_number < agent.config_number:
        return
    if grant.config_number > agent.config_number:
        agent.previous_number = agent.config_number
        agent.config_number = grant.config_number
        agent.superseded_ms = now_ms
    until_ms = asked_ms - grant.age_ms + admission.LEASE_MS
    agent.lease_until_ms = max(agent.lease_until_ms, until_ms)
    if grant.fleet_view is not None:
        _follow_phase(agent, grant.fleet_view)


def _follow_phase(agent: state.Agent, view: fleet.FleetView) -> None:
    phases = [r.phase for r in view.runners if r.runner == agent.runner]
    if view.base and not phases:
        return
    taking = (fleet.RunnerPhase.LIVE, fleet.RunnerPhase.CHANGING)
    agent.draining = bool(phases) and phases[0] not in taking
