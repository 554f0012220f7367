"""Orders that change engines: which are due, when they may start, results.

An order asks one engine to load a model or adapter or to change its role.
Each runner has at most one pending order.
"""

from collections.abc import Iterator
import enum
from typing import final

import msgspec

from wisteriawall.config import document
from wisteriawall.control import commands
from wisteriawall.control import outcomes
from wisteriawall.control import state
from wisteriawall.wire import fleet

__all__ = [
    "DesiredEngine",
    "EngineChange",
    "desired_engine",
    "find_blocking_reason",
    "issue_order",
    "next_engine_change",
    "record_result",
]

RETRY_BASE_DELAY_MS = 1_000
RETRY_MAX_DELAY_MS = 60_000
# Actions that download from the weight store.
FETCH_ACTIONS = (fleet.OrderAction.LOAD, fleet.OrderAction.LOAD_ADAPTER)


@final
class _ServedPhases(enum.Flag):
    """Phases of requests that an engine with a given role serves."""

    NONE = 0
    PREFILL = 1
    DECODE = 2
    BOTH = PREFILL | DECODE


SERVED_PHASES_BY_ROLE = {
    fleet.Role.PREFILL: _ServedPhases.PREFILL,
    fleet.Role.DECODE: _ServedPhases.DECODE,
    fleet.Role.MIXED: _ServedPhases.BOTH,
}


@final
class DesiredEngine(msgspec.Struct, frozen=True):
    """State that the configuration demands of an engine.

    `model` is `model@version`, empty for a service without models. `adapters`
    are sorted. `role` is None when any role will do.
    """

    model: str
    adapters: tuple[str, ...]
    role: fleet.Role | None


@final
class EngineChange(msgspec.Struct, frozen=True):
    """One order that brings an engine closer to its configured state.

    `argument` is the model, adapter or role; see `fleet.OrderAction`.
    """

    action: fleet.OrderAction
    argument: str


def desired_engine(config: document.Document, name: str) -> DesiredEngine:
    """Return the state that `config` demands of the engine of runner `name`."""
    runner = config.runners[name]
    service = config.services[runner.service]
    if service.kind is not document.ServiceKind.MODEL:
        return DesiredEngine("", (), None)
    model = runner.model or service.models[0]
    role = None
    if runner.role is not document.ConfiguredRole.AUTO:
        role = fleet.Role(runner.role.value)
    return DesiredEngine(
        f"{model}@{service.version}", tuple(sorted(service.adapters)), role
    )


def next_engine_change(ledger: state.Ledger, name: str) -> EngineChange | None:
    """Return the next order due for a runner, None when it needs none.

    The model comes first, then adapters to unload, adapters to load, and last
    the role.
    """
    runner = ledger.runner_by_name[name]
    desired = desired_engine(ledger.config, name)
    if not desired.model:
        return None
    if runner.model != desired.model:
        return EngineChange(fleet.OrderAction.LOAD, desired.model)
    for adapter in runner.adapters:
        if adapter not in desired.adapters:
            return EngineChange(fleet.OrderAction.UNLOAD_ADAPTER, adapter)
    for adapter in desired.adapters:
        if adapter not in runner.adapters:
            return EngineChange(fleet.OrderAction.LOAD_ADAPTER, adapter)
    if desired.role is not None and desired.role is not runner.role:
        return EngineChange(fleet.OrderAction.SET_ROLE, desired.role.value)
    return None


def find_blocking_reason(
    ledger: state.Ledger,
    name: str,
    action: fleet.OrderAction,
    *,
    at_ms: int,
    planned: bool = False,
) -> str:
    """Return why an order may not start now, an empty string if it may.

    Args:
        ledger: Agreed state.
        name: Runner to change.
        action: What to ask of its engine.
        at_ms: Unix time of the decision.
        planned: Whether the role planner proposes the order. Such an order is
            optional and must leave prefill and decode covered.
    """
    runner = ledger.runner_by_name.get(name)
    if runner is None:
        return "no such runner"
    if runner.pending is not None:
        return "another order is pending"
    if runner.presence is not state.Presence.LIVE or runner.unclear:
        return f"the runner is {runner.phase}"
    if at_ms < runner.retry_at_ms:
        return "the last order failed, waiting to try again"
    return (
        _zone_blocking_reason(ledger, name)
        or _coverage_blocking_reason(ledger, name, planned)
        or _fetch_blocking_reason(ledger, action, at_ms)
    )


def _other_runners(
    ledger: state.Ledger, name: str
) -> Iterator[tuple[str, state.RunnerState]]:
    """Yield the other runners of the service of runner `name`."""
    service = ledger.config.runners[name].service
    for other, runner in ledger.config.runners.items():
        if other != name and runner.service == service:
            yield other, ledger.runner_by_name[other]


def _zone_blocking_reason(ledger: state.Ledger, name: str) -> str:
    """Return which runner of the service is changing in this zone, if any."""
    zone = ledger.config.runners[name].zone
    for other, runner in _other_runners(ledger, name):
        same_zone = ledger.config.runners[other].zone == zone
        if same_zone and runner.pending is not None:
            return f"runner {other} is changing in the same availability zone"
    return ""


def _coverage_blocking_reason(
    ledger: state.Ledger, name: str, planned: bool
) -> str:
    """Return why the other runners could not serve without this one.

    While the runner changes, the other live runners of the service must serve
    both prefill and decode. An order that the configuration demands may start
    even if they don't, provided that no other runner of the service is
    changing, because waiting would not help. Another live runner must be left
    in any case, unless the service has only this runner.
    """
    others = [runner for _, runner in _other_runners(ledger, name)]
    live = [r for r in others if r.phase is fleet.RunnerPhase.LIVE]
    served = _ServedPhases.NONE
    for runner in live:
        served |= SERVED_PHASES_BY_ROLE[runner.role]
    if served is _ServedPhases.BOTH or not others:
        return ""
    if ledger.runner_by_name[name].phase is not fleet.RunnerPhase.LIVE:
        return ""
    changing = any(runner.pending is not None for runner in others)
    if planned or changing or not live:
        return "too few live runners would be left in the service"
    return ""


def _fetch_blocking_reason(
    ledger: state.Ledger, action: fleet.OrderAction, at_ms: int
) -> str:
    """Return why the weight store cannot serve another download now."""
    if action not in FETCH_ACTIONS:
        return ""
    store = ledger.config.weight_store
    states = [*ledger.runner_by_name.values(), *ledger.retired_by_name.values()]
    fetching = sum(
        r.pending is not None and r.pending.action in FETCH_ACTIONS
        for r in states
    )
    if fetching >= store.fetches_at_once:
        return f"{fetching} weight fetches are running"
    if at_ms < ledger.fetch_at_ms + store.fetch_interval_ms:
        return "the weight store's interval has not passed"
    return ""


def issue_order(
    ledger: state.Ledger,
    fence: fleet.FencingNumber,
    command: commands.IssueOrder,
) -> outcomes.OrderIssued | outcomes.OrderRefused:
    """Make an order the pending order of its runner, or refuse it.

    An order that a deposed leader decided is refused: `command.term` must be
    the term of the log entry that holds it.

    Args:
        ledger: Agreed state to update.
        fence: Fencing number of the order: term and index of its log entry.
        command: Order to issue.
    """
    if command.term != fence.term:
        return outcomes.OrderRefused("decided in another term")
    blocking_reason = find_blocking_reason(
        ledger,
        command.runner,
        command.action,
        at_ms=command.at_ms,
        planned=command.planned,
    )
    if blocking_reason:
        return outcomes.OrderRefused(blocking_reason)
    runner = ledger.runner_by_name[command.runner]
    order = fleet.Order(fence, command.runner, command.action, command.argument)
    runner.pending = order
    runner.floor = fence
    if command.action in FETCH_ACTIONS:
        ledger.fetch_at_ms = command.at_ms
    ledger.mark_changed(command.runner)
    return outcomes.OrderIssued(order)


def record_result(
    ledger: state.Ledger, command: commands.RecordOrderResult
) -> outcomes.Recorded | outcomes.Dropped:
    """Record the result of a runner's pending order.

    If the engine's state is unclear, the order stays pending until a later
    report gives a clear state.
    """
    runner = ledger.runner_by_name.get(
        command.runner
    ) or ledger.retired_by_name.get(command.runner)
    if runner is None or runner.pending is None:
        return outcomes.Dropped("no order is pending")
    if runner.pending.fencing_number.order_id != command.order_id:
        return outcomes.Dropped("another order is pending")
    engine = command.engine or _infer_engine(runner, command)
    runner.unclear = engine.state_unknown
    ledger.mark_changed(command.runner)
    if engine.state_unknown:
        return outcomes.Recorded()
    runner.role = engine.role
    runner.model = engine.model
    runner.adapters = tuple(sorted(engine.adapters))
    # Raise the minimum accepted fencing number above the finished order, so
    # that no agent can execute it again.
    runner.floor = fleet.FencingNumber(
        runner.pending.fencing_number.term,
        runner.pending.fencing_number.order_id + 1,
    )
    runner.pending = None
    _update_retry_delay(runner, command)
    return outcomes.Recorded()


def _update_retry_delay(
    runner: state.RunnerState, command: commands.RecordOrderResult
) -> None:
    """Reset or double the delay until the runner's next order may start."""
    if command.succeeded:
        runner.failures = 0
        return
    runner.failures += 1
    delay_ms = min(
        RETRY_BASE_DELAY_MS << min(runner.failures, 10), RETRY_MAX_DELAY_MS
    )
    runner.retry_at_ms = command.at_ms + delay_ms


def _infer_engine(
    runner: state.RunnerState, command: commands.RecordOrderResult
) -> fleet.EngineStatus:
    """Return the engine's state after an order whose report lacks it.

    Before the report the engine was as the ledger records; an order that
    failed changed neither model nor adapters.
    """
    model, adapters = runner.model, set(runner.adapters)
    order = runner.pending
    if order is not None and command.succeeded:
        match order.action:
            case fleet.OrderAction.LOAD:
                model = order.argument
            case fleet.OrderAction.UNLOAD:
                model = ""
            case fleet.OrderAction.LOAD_ADAPTER:
                adapters.add(order.argument)
            case fleet.OrderAction.UNLOAD_ADAPTER:
                adapters.discard(order.argument)
            case fleet.OrderAction.SET_ROLE:
                pass
    return fleet.EngineStatus(command.role, model, sorted(adapters))
