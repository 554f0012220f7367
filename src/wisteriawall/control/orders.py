"""Decide orders: what each engine should become, and when it may change."""

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
    "Step",
    "Wanted",
    "complete",
    "find_obstacle",
    "issue",
    "next_step",
    "wanted_engine",
]

RETRY_BASE_MS = 1_000
RETRY_MAX_MS = 60_000
FETCHING = (fleet.Action.LOAD, fleet.Action.LOAD_ADAPTER)


@final
class _Work(enum.Flag):
    """Phases of a request that a role can take."""

    NONE = 0
    PREFILL = 1
    DECODE = 2
    BOTH = PREFILL | DECODE


WORK_BY_ROLE = {
    fleet.Role.PREFILL: _Work.PREFILL,
    fleet.Role.DECODE: _Work.DECODE,
    fleet.Role.MIXED: _Work.BOTH,
}


@final
class Wanted(msgspec.Struct, frozen=True):
    """What the configuration wants of an engine; `role` None is any."""

    model: str
    adapters: tuple[str, ...]
    role: fleet.Role | None


@final
class Step(msgspec.Struct, frozen=True):
    """The next order that brings an engine closer to what is wanted."""

    action: fleet.Action
    argument: str


def wanted_engine(config: document.Document, name: str) -> Wanted:
    """Return what `config` wants of the engine of runner `name`."""
    runner = config.runners[name]
    service = config.services[runner.service]
    if service.kind is not document.ServiceKind.MODEL:
        return Wanted("", (), None)
    model = runner.model or service.models[0]
    role = None
    if runner.role is not document.AutoRole.AUTO:
        role = fleet.Role(runner.role.value)
    return Wanted(
        f"{model}@{service.version}", tuple(sorted(service.adapters)), role
    )


def next_step(ledger: state.Ledger, name: str) -> Step | None:
    """Return the next order due for a runner, None when it is as wanted."""
    runner = ledger.runner_by_name[name]
    wanted = wanted_engine(ledger.config, name)
    if not wanted.model:
        return None
    if runner.model != wanted.model:
        return Step(fleet.Action.LOAD, wanted.model)
    for adapter in runner.adapters:
        if adapter not in wanted.adapters:
            return Step(fleet.Action.UNLOAD_ADAPTER, adapter)
    for adapter in wanted.adapters:
        if adapter not in runner.adapters:
            return Step(fleet.Action.LOAD_ADAPTER, adapter)
    if wanted.role is not None and wanted.role is not runner.role:
        return Step(fleet.Action.SET_ROLE, wanted.role.value)
    return None


def find_obstacle(
    ledger: state.Ledger,
    name: str,
    action: fleet.Action,
    *,
    at_ms: int,
    planned: bool = False,
) -> str:
    """Return why an order may not start now, empty when it may.

    Args:
        ledger: Agreed state.
        name: Runner to change.
        action: What to ask of its engine.
        at_ms: Unix time of the decision.
        planned: The role planner asks, which can wait for better times.
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
        _spacing_obstacle(ledger, name)
        or _coverage_obstacle(ledger, name, planned)
        or _fetch_obstacle(ledger, action, at_ms)
    )


def _others(
    ledger: state.Ledger, name: str
) -> Iterator[tuple[str, state.RunnerState]]:
    """Yield the other runners of the service of runner `name`."""
    service = ledger.config.runners[name].service
    for other, runner in ledger.config.runners.items():
        if other != name and runner.service == service:
            yield other, ledger.runner_by_name[other]


def _spacing_obstacle(ledger: state.Ledger, name: str) -> str:
    zone = ledger.config.runners[name].zone
    for other, runner in _others(ledger, name):
        same_zone = ledger.config.runners[other].zone == zone
        if same_zone and runner.pending is not None:
            return f"runner {other} is changing in the same availability zone"
    return ""


def _coverage_obstacle(ledger: state.Ledger, name: str, planned: bool) -> str:
    """Keep prefill and decode covered while the runner is away.

    A change that the configuration demands may go below that when nothing
    else of the service is changing, for waiting would not help; another live
    runner must be there even then, unless the service has only this one.
    """
    others = [runner for _, runner in _others(ledger, name)]
    live = [r for r in others if r.phase is fleet.RunnerPhase.LIVE]
    work = _Work.NONE
    for runner in live:
        work |= WORK_BY_ROLE[runner.role]
    if work is _Work.BOTH or not others:
        return ""
    if ledger.runner_by_name[name].phase is not fleet.RunnerPhase.LIVE:
        return ""
    changing = any(runner.pending is not None for runner in others)
    if planned or changing or not live:
        return "too few live runners would be left in the service"
    return ""


def _fetch_obstacle(
    ledger: state.Ledger, action: fleet.Action, at_ms: int
) -> str:
    if action not in FETCHING:
        return ""
    store = ledger.config.weight_store
    states = [*ledger.runner_by_name.values(), *ledger.retired_by_name.values()]
    fetching = sum(
        r.pending is not None and r.pending.action in FETCHING for r in states
    )
    if fetching >= store.fetches_at_once:
        return f"{fetching} weight fetches are running"
    if at_ms < ledger.fetch_at_ms + store.fetch_interval_ms:
        return "the weight store's interval has not passed"
    return ""


def issue(
    ledger: state.Ledger, fence: fleet.Fence, command: commands.IssueOrder
) -> outcomes.OrderIssued | outcomes.OrderRefused:
    """Make an order its runner's pending one, unless something is against it.

    The order must be applied in the term in which it was decided; one that a
    deposed leader decided is refused.
    """
    if command.term != fence.term:
        return outcomes.OrderRefused("decided in another term")
    obstacle = find_obstacle(
        ledger,
        command.runner,
        command.action,
        at_ms=command.at_ms,
        planned=command.planned,
    )
    if obstacle:
        return outcomes.OrderRefused(obstacle)
    runner = ledger.runner_by_name[command.runner]
    order = fleet.Order(fence, command.runner, command.action, command.argument)
    runner.pending = order
    runner.floor = fence
    if command.action in FETCHING:
        ledger.fetch_at_ms = command.at_ms
    ledger.touch(command.runner)
    return outcomes.OrderIssued(order)


def complete(
    ledger: state.Ledger, command: commands.CompleteOrder
) -> outcomes.Recorded | outcomes.Dropped:
    """Record an order's result; an unclear engine keeps its order pending."""
    runner = ledger.runner_by_name.get(
        command.runner
    ) or ledger.retired_by_name.get(command.runner)
    if runner is None or runner.pending is None:
        return outcomes.Dropped("no order is pending")
    if runner.pending.fence.order_id != command.order_id:
        return outcomes.Dropped("another order is pending")
    engine = command.engine or _inferred(runner, command)
    runner.unclear = engine.unclear
    ledger.touch(command.runner)
    if engine.unclear:
        return outcomes.Recorded()
    runner.role = engine.role
    runner.model = engine.model
    runner.adapters = tuple(sorted(engine.adapters))
    # The finished order falls below the floor, so no agent can repeat it.
    runner.floor = fleet.Fence(
        runner.pending.fence.term, runner.pending.fence.order_id + 1
    )
    runner.pending = None
    _note_result(runner, command)
    return outcomes.Recorded()


def _note_result(
    runner: state.RunnerState, command: commands.CompleteOrder
) -> None:
    if command.succeeded:
        runner.failures = 0
        return
    runner.failures += 1
    delay_ms = min(RETRY_BASE_MS << min(runner.failures, 10), RETRY_MAX_MS)
    runner.retry_at_ms = command.at_ms + delay_ms


def _inferred(
    runner: state.RunnerState, command: commands.CompleteOrder
) -> fleet.EngineView:
    """Return the engine's state from the result alone."""
    model, adapters = runner.model, set(runner.adapters)
    order = runner.pending
    if order is not None and command.succeeded:
        match order.action:
            case fleet.Action.LOAD:
                model = order.argument
            case fleet.Action.UNLOAD:
                model = ""
            case fleet.Action.LOAD_ADAPTER:
                adapters.add(order.argument)
            case fleet.Action.UNLOAD_ADAPTER:
                adapters.discard(order.argument)
            case fleet.Action.SET_ROLE:
                pass
    return fleet.EngineView(command.role, model, sorted(adapters))
