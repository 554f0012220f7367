"""Orders at the agent: one at a time, drained before, inspected when unclear.

An engine is inspected before every execution. So an order that an earlier
incarnation of this agent began is seen before another one is given, and one
whose answer was lost is finished or repeated under the same order id.
"""

from collections.abc import Iterator

from wisteriawall.agent import events
from wisteriawall.agent import state
from wisteriawall.wire import control_messages
from wisteriawall.wire import fleet

__all__ = ["MAX_ATTEMPTS", "answered", "inspected", "start", "take"]

MAX_ATTEMPTS = 3
INSPECT_AGAIN_MS = 100

_Phase = fleet.OrderPhase


def take(
    agent: state.Agent, grant: control_messages.Grant
) -> Iterator[events.Effect]:
    """Accept the granted order unless it is fenced off, old or second."""
    if agent.floor is None:
        return
    agent.floor = max(agent.floor, grant.floor)
    _drop_superseded(agent)
    order = grant.order
    if order is None or agent.stopping or agent.pending is not None:
        return
    if order.fence < agent.floor:
        return
    if order.fence.order_id <= agent.finished_order_id:
        return
    agent.floor = order.fence
    agent.pending = state.PendingOrder(order=order)
    yield from start(agent)


def _drop_superseded(agent: state.Agent) -> None:
    """Forget an order that was not begun once a newer one is known."""
    pending = agent.pending
    if pending is None or agent.floor is None:
        return
    if pending.phase is _Phase.DRAINING and pending.order.fence < agent.floor:
        agent.pending = None


def start(agent: state.Agent) -> Iterator[events.Effect]:
    """Inspect the engine once nothing runs that the order would cut."""
    pending = agent.pending
    if pending is None or pending.phase is not _Phase.DRAINING:
        return
    if agent.running or agent.stopping:
        return
    pending.phase = _Phase.INSPECTING
    yield events.Inspect(pending.order.fence.order_id, 0)


def answered(
    agent: state.Agent, event: events.OrderAnswered
) -> Iterator[events.Effect]:
    """Finish an order that is known done; inspect the engine otherwise."""
    pending = _matching(agent, event.order_id, _Phase.EXECUTING)
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


def inspected(
    agent: state.Agent, event: events.Inspected
) -> Iterator[events.Effect]:
    """Decide about the order from the engine's own account of itself."""
    pending = _matching(
        agent, event.order_id, _Phase.INSPECTING, _Phase.UNCLEAR
    )
    if pending is None:
        return
    account = event.account
    if account is None or not account.is_settled:
        pending.phase = _Phase.UNCLEAR
        yield events.Inspect(event.order_id, INSPECT_AGAIN_MS)
    elif account.done_order_id == event.order_id:
        yield _finish(agent, pending, True, "done", account.role)
    elif pending.refusal:
        yield _finish(agent, pending, False, pending.refusal, account.role)
    elif agent.stopping:
        # The next incarnation is granted the order again.
        agent.pending = None
    elif _may_execute(agent, pending):
        pending.attempts += 1
        pending.phase = _Phase.EXECUTING
        yield events.Execute(pending.order)
    else:
        detail = f"not done after {pending.attempts} attempts"
        yield _finish(agent, pending, False, detail, account.role)


def _may_execute(agent: state.Agent, pending: state.PendingOrder) -> bool:
    is_newest = agent.floor is None or pending.order.fence >= agent.floor
    return is_newest and pending.attempts < MAX_ATTEMPTS


def _matching(
    agent: state.Agent, order_id: int, *phases: fleet.OrderPhase
) -> state.PendingOrder | None:
    pending = agent.pending
    if pending is None or pending.order.fence.order_id != order_id:
        return None
    return pending if pending.phase in phases else None


def _finish(
    agent: state.Agent,
    pending: state.PendingOrder,
    succeeded: bool,
    detail: str,
    role: fleet.Role,
) -> events.Report:
    order_id = pending.order.fence.order_id
    agent.pending = None
    agent.finished_order_id = order_id
    agent.report = events.Report(order_id, succeeded, detail, role)
    return agent.report
