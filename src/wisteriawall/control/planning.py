"""Turns the role planner's proposals into orders that the leader issues."""

from collections.abc import Iterator

from wisteriawall.config import document
from wisteriawall.control import commands
from wisteriawall.control import orders
from wisteriawall.control import state
from wisteriawall.policy import roles
from wisteriawall.wire import fleet

__all__ = ["due_orders"]


def due_orders(
    planner: roles.PlannerState,
    ledger: state.Ledger,
    *,
    term: int,
    now_ms: int,
    wall_ms: int,
) -> Iterator[commands.IssueOrder]:
    """Yield role changes of runners whose configured role is `auto`.

    Every runner counts as capacity. A runner with a fixed role, or with
    another order due, is marked as just changed at each call: the planner's
    cool-down then keeps it from proposing a change of it.

    Args:
        planner: Planner state; its times of change are updated.
        ledger: Agreed state.
        term: Leader's term.
        now_ms: Monotonic clock.
        wall_ms: Unix time, which the commands carry.
    """
    for name in ledger.runner_by_name:
        if not _is_plannable(ledger, name):
            planner.changed_ms_by_runner[name] = now_ms
    services = list(_planner_services(ledger))
    for change in roles.plan(planner, services, now_ms=now_ms):
        blocking_reason = orders.find_blocking_reason(
            ledger,
            change.runner,
            fleet.OrderAction.SET_ROLE,
            at_ms=wall_ms,
            planned=True,
        )
        if blocking_reason:
            continue
        yield commands.IssueOrder(
            change.runner,
            fleet.OrderAction.SET_ROLE,
            change.role.value,
            f"planner: {change.cause}",
            wall_ms,
            term,
            planned=True,
        )


def _is_plannable(ledger: state.Ledger, name: str) -> bool:
    """Return whether the planner may change the runner's role."""
    configured = ledger.config.runners[name]
    is_auto = configured.role is document.ConfiguredRole.AUTO
    return is_auto and orders.next_engine_change(ledger, name) is None


def _pending_role(runner: state.RunnerState) -> fleet.Role | None:
    """Return the role that a pending order sets, None without such an order."""
    pending = runner.pending
    if pending is None or pending.action is not fleet.OrderAction.SET_ROLE:
        return None
    return fleet.Role(pending.argument)


def _planner_services(ledger: state.Ledger) -> Iterator[roles.Service]:
    """Yield the model services and their runners in the planner's form."""
    runners_by_service: dict[str, list[roles.Runner]] = {}
    for name in sorted(ledger.runner_by_name):
        configured = ledger.config.runners[name]
        runner = ledger.runner_by_name[name]
        runners_by_service.setdefault(configured.service, []).append(
            roles.Runner(
                runner=name,
                zone=configured.zone,
                role=runner.role,
                phase=runner.phase,
                is_state_known=not runner.unclear,
                target_role=_pending_role(runner),
            )
        )
    for name, service in sorted(ledger.config.services.items()):
        if service.kind is document.ServiceKind.MODEL:
            yield roles.Service(
                service=name,
                runners=runners_by_service.get(name, []),
                payback_s=service.payback_s,
            )
