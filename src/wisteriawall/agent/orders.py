"""Execution of orders at the agent, one order at a time.

An order is executed after the running attempts have ended. The engine's state
is inspected before every execution, for two reasons: an order begun by an
earlier incarnation of this agent is found before another one is sent, and an
order whose answer was lost is completed or repeated under the same order id.
"""

from collections.abc import Iterator

from wisteriawall.agent import events
from wisteriawall.agent import state
from wisteriawall.wire import control_messages
from wisteriawall.wire import fleet

__all__ = [
    "MAX_EXECUTIONS",
    "accept",
    "inspect_when_idle",
    "on_answer",
    "on_inspection",
]

MAX_EXECUTIONS = 3
REINSPECT_DELAY_MS = 100

_Phase = fleet.OrderPhase


def accept(
    agent: state.AgentState, grant: control_messages.Grant
) -> Iterator[events.Effect]:
    """Accept the order in a grant, if there is one and it may be executed.

    It is ignored if its fencing number is too low, if it is finished, while
    another order is pending, or during a planned stop.
    """
    if agent.min_fence is None:
        return
    agent.min_fence = max(agent.min_fence, grant.floor)
    _drop_superseded(agent)
    order = grant.order
    if order is None or agent.stopping or agent.pending is not None:
        return
    if order.fence < agent.min_fence:
        return
    if order.fence.order_id <= agent.finished_order_id:
        return
    agent.min_fence = order.fence
    agent.pending = state.PendingOrder(order=order)
    yield from inspect_when_idle(agent)


def _drop_superseded(agent: state.AgentState) -> None:
    """Drop the pending order if it was not begun and a newer one exists."""
    pending = agent.pending
    if pending is None or agent.min_fence is None:
        return
    if (
        pending.phase is _Phase.DRAINING
        and pending.order.fence < agent.min_fence
    ):
        agent.pending = None


def inspect_when_idle(agent: state.AgentState) -> Iterator[events.Effect]:
    """Inspect the engine for a pending order once no attempt is running."""
    pending = agent.pending
    if pending is None or pending.phase is not _Phase.DRAINING:
        return
    if agent.running_attempts or agent.stopping:
        return
    pending.phase = _Phase.INSPECTING
    yield events.Inspect(pending.order.fence.order_id, 0)


def on_answer(
    agent: state.AgentState, event: events.OrderAnswered
) -> Iterator[events.Effect]:
    """Finish an order if the engine reported it done, else inspect it."""
    pending = _find_pending(agent, event.order_id, _Phase.EXECUTING)
    if pending is None:
        return
    match event.outcome:
        case events.Outcome.DONE:
            yield _finish(agent, pending, True, "done", event.role)
            return
        case events.Outcome.REFUSED:
            pending.refusal = event.detail or "refused"
        case events.Outcome.UNCLEAR:
            pending.phase = _Phase.UNCLEAR
    if pending.phase is _Phase.EXECUTING:
        pending.phase = _Phase.INSPECTING
    yield events.Inspect(event.order_id, 0)


def on_inspection(
    agent: state.AgentState, event: events.Inspected
) -> Iterator[events.Effect]:
    """Finish, execute or inspect again, depending on the engine's state."""
    pending = _find_pending(
        agent, event.order_id, _Phase.INSPECTING, _Phase.UNCLEAR
    )
    if pending is None:
        return
    engine_state = event.account
    if engine_state is None or not engine_state.is_settled:
        pending.phase = _Phase.UNCLEAR
        yield events.Inspect(event.order_id, REINSPECT_DELAY_MS)
    elif engine_state.done_order_id == event.order_id:
        yield _finish(agent, pending, True, "done", engine_state.role)
    elif pending.refusal:
        yield _finish(agent, pending, False, pending.refusal, engine_state.role)
    elif agent.stopping:
        # The next incarnation of the agent is granted this order again.
        agent.pending = None
    elif _may_execute(agent, pending):
        pending.executions += 1
        pending.phase = _Phase.EXECUTING
        yield events.Execute(pending.order)
    else:
        detail = f"not done after {pending.executions} attempts"
        yield _finish(agent, pending, False, detail, engine_state.role)


def _may_execute(agent: state.AgentState, pending: state.PendingOrder) -> bool:
    is_newest = (
        agent.min_fence is None or pending.order.fence >= agent.min_fence
    )
    return is_newest and pending.executions < MAX_EXECUTIONS


def _find_pending(
    agent: state.AgentState, order_id: int, *phases: fleet.OrderPhase
) -> state.PendingOrder | None:
    pending = agent.pending
    if pending is None or pending.order.fence.order_id != order_id:
        return None
    return pending if pending.phase in phases else None


def _finish(
    agent: state.AgentState,
    pending: state.PendingOrder,
    succeeded: bool,
    detail: str,
    role: fleet.Role,
) -> events.Report:
    order_id = pending.order.fence.order_id
    agent.pending = None
    agent.finished_order_id = order_id
    agent.unconfirmed_report = events.Report(order_id, succeeded, detail, role)
    return agent.unconfirmed_report
