"""The agent's reducer: admission, leases and orders.

A pure function of state and event: it does no input or output itself, but
yields effects that the shell carries out.
"""

from collections.abc import Iterator

from wisteriawall.agent import admission
from wisteriawall.agent import events
from wisteriawall.agent import orders
from wisteriawall.agent import state
from wisteriawall.wire import control_messages
from wisteriawall.wire import fleet

__all__ = ["reduce"]


def reduce(
    agent: state.AgentState, event: events.Event
) -> Iterator[events.Effect]:
    """Apply one event to `agent` and yield the effects that follow.

    The effects have to be carried out in the order in which they come.
    """
    match event:
        case events.AttemptArrived():
            yield admission.decide(agent, event)
        case events.AttemptEnded():
            admission.end_attempt(agent, event)
            yield from orders.inspect_when_idle(agent)
        case events.LeaseGranted(grant, asked_ms, now_ms):
            _apply_grant(agent, grant, asked_ms, now_ms)
            yield from orders.accept(agent, grant)
        case events.MinFenceReceived(floor, _):
            agent.min_fence = max(floor, agent.min_fence or floor)
        case events.OrderAnswered():
            yield from orders.on_answer(agent, event)
        case events.Inspected():
            yield from orders.on_inspection(agent, event)
        case events.OrderReported(order_id, _):
            if (
                agent.unconfirmed_report
                and agent.unconfirmed_report.order_id == order_id
            ):
                agent.unconfirmed_report = None
        case events.Stopping():
            agent.stopping = True


def _apply_grant(
    agent: state.AgentState,
    grant: control_messages.Grant,
    asked_ms: int,
    now_ms: int,
) -> None:
    if grant.config_number < agent.config_number:
        return
    if grant.config_number > agent.config_number:
        agent.previous_config_number = agent.config_number
        agent.config_number = grant.config_number
        agent.superseded_ms = now_ms
    expires_ms = asked_ms - grant.age_ms + admission.LEASE_MS
    agent.lease_until_ms = max(agent.lease_until_ms, expires_ms)
    if grant.fleet_view is not None:
        _apply_fleet_view(agent, grant.fleet_view)


def _apply_fleet_view(agent: state.AgentState, view: fleet.FleetView) -> None:
    phases = [r.phase for r in view.runners if r.runner == agent.runner]
    if view.base and not phases:
        return
    accepting_phases = (fleet.RunnerPhase.LIVE, fleet.RunnerPhase.CHANGING)
    agent.draining = bool(phases) and phases[0] not in accepting_phases
