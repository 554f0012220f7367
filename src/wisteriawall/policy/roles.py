"""Role planner of the control leader: who prefills, decodes or does both.

Demand is counted in tokens a second and turned into engines through the
engines' speed. A change is proposed when the work it saves over the horizon
is worth more engine-seconds than the change costs, weighed by the service.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
from typing import final

from wisteriawall.policy import speeds
from wisteriawall.wire import fleet

__all__ = [
    "Planner",
    "RoleChange",
    "Runner",
    "Service",
    "Split",
    "observe",
    "plan",
]

FAST_S = 5.0
SLOW_S = 30.0
HORIZON_S = 60.0
COOL_DOWN_MS = 15_000
ZONE_SPACING_MS = 5_000
MAX_CHANGES = 2
HEADROOM = 1.1
MIXED_EFFICIENCY = 0.85


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Runner:
    """A runner as the leader knows it.

    `is_clear` is False while what the engine does is not known: it then
    counts as lost.
    """

    runner: str
    zone: str
    role: fleet.Role
    phase: fleet.RunnerPhase
    is_clear: bool = True


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Service:
    """What the planner must respect of one service.

    `min_engines` is the share that changes must leave in work.
    `payback` is how many engine-seconds a change must earn for each one that
    it costs.
    """

    service: str
    runners: Sequence[Runner]
    min_engines: int = 1
    payback: float = 1.0
    change_s: float = 5.0
    speed: speeds.EngineSpeed = speeds.DEFAULT


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RoleChange:
    """A proposed order: drain, then set the role."""

    service: str
    runner: str
    role: fleet.Role
    cause: str


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Split:
    """Engines by role."""

    prefill: int
    decode: int
    mixed: int


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class _Demand:
    """Smoothed demand in tokens a second, quickly and slowly."""

    since_ms: int
    prefill_tokens: int = 0
    decode_tokens: int = 0
    fast_prefill: float = 0.0
    fast_decode: float = 0.0
    slow_prefill: float = 0.0
    slow_decode: float = 0.0
    changed_ms: int = -COOL_DOWN_MS


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Planner:
    """State of the planner; a new leader starts with an empty one."""

    demand_by_service: dict[str, _Demand] = dataclasses.field(
        default_factory=dict
    )
    changed_ms_by_runner: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    changed_ms_by_zone: dict[str, int] = dataclasses.field(default_factory=dict)


def observe(
    planner: Planner, demand: fleet.ServiceDemand, *, now_ms: int
) -> None:
    """Add an entry's report of the token work that arrived."""
    of_service = planner.demand_by_service.setdefault(
        demand.service, _Demand(since_ms=now_ms)
    )
    of_service.prefill_tokens += demand.prefill_tokens
    of_service.decode_tokens += demand.decode_tokens


def plan(
    planner: Planner, services: Sequence[Service], *, now_ms: int
) -> Iterator[RoleChange]:
    """Yield the role changes to order now, a few at most."""
    changes = 0
    for service in services:
        demand = planner.demand_by_service.get(service.service)
        if demand is None:
            continue
        _smooth(demand, now_ms)
        for change in _plan_service(planner, service, demand, now_ms):
            yield change
            changes += 1
            if changes >= MAX_CHANGES:
                return


def _smooth(demand: _Demand, now_ms: int) -> None:
    elapsed_s = (now_ms - demand.since_ms) / 1_000
    if elapsed_s <= 0:
        return
    prefill = demand.prefill_tokens / elapsed_s
    decode = demand.decode_tokens / elapsed_s
    fast = min(1.0, elapsed_s / FAST_S)
    slow = min(1.0, elapsed_s / SLOW_S)
    demand.fast_prefill += fast * (prefill - demand.fast_prefill)
    demand.fast_decode += fast * (decode - demand.fast_decode)
    demand.slow_prefill += slow * (prefill - demand.slow_prefill)
    demand.slow_decode += slow * (decode - demand.slow_decode)
    demand.since_ms = now_ms
    demand.prefill_tokens = demand.decode_tokens = 0


def _plan_service(
    planner: Planner, service: Service, demand: _Demand, now_ms: int
) -> Iterator[RoleChange]:
    """Yield at most one change: the one that earns the most."""
    if now_ms - demand.changed_ms < COOL_DOWN_MS:
        return
    working = [r for r in service.runners if _is_working(r)]
    if len(working) - 1 < max(1, service.min_engines):
        return
    split = _split_of(working)
    prefill_s, decode_s = _engines_needed(service, demand)
    now_lost = lost_engines(split, prefill_s, decode_s)
    best: tuple[float, Runner, fleet.Role] | None = None
    for runner in working:
        if not _may_change(planner, runner, now_ms):
            continue
        for role in fleet.Role:
            after = _after(split, runner.role, role)
            if role is runner.role or not _covers_roles(after):
                continue
            gain = now_lost - lost_engines(after, prefill_s, decode_s)
            if best is None or gain > best[0]:
                best = (gain, runner, role)
    if best is None:
        return
    gain, runner, role = best
    cost_s = service.payback * service.change_s
    if gain * HORIZON_S <= cost_s:
        return
    demand.changed_ms = now_ms
    planner.changed_ms_by_runner[runner.runner] = now_ms
    planner.changed_ms_by_zone[runner.zone] = now_ms
    yield RoleChange(
        service=service.service,
        runner=runner.runner,
        role=role,
        cause=(
            f"saves {gain * HORIZON_S:.1f} engine-seconds in "
            f"{HORIZON_S:.0f} s; prefill needs {prefill_s:.1f} engines, "
            f"decode {decode_s:.1f}"
        ),
    )


def lost_engines(split: Split, prefill: float, decode: float) -> float:
    """Return the engines' worth of demand that a split leaves undone."""
    over_prefill = max(0.0, prefill - split.prefill)
    over_decode = max(0.0, decode - split.decode)
    mixed = split.mixed * MIXED_EFFICIENCY
    return max(0.0, over_prefill + over_decode - mixed)


def _engines_needed(service: Service, demand: _Demand) -> tuple[float, float]:
    """Return the engines that prefill and decode demand need."""
    prefill = min(demand.fast_prefill, demand.slow_prefill)
    decode = min(demand.fast_decode, demand.slow_decode)
    scale = HEADROOM / 1_000
    return (
        service.speed.prefill_work_ms(1) * prefill * scale,
        service.speed.decode_work_ms(1) * decode * scale,
    )


def _is_working(runner: Runner) -> bool:
    return runner.is_clear and runner.phase is fleet.RunnerPhase.LIVE


def _may_change(planner: Planner, runner: Runner, now_ms: int) -> bool:
    of_runner = planner.changed_ms_by_runner.get(runner.runner, -COOL_DOWN_MS)
    of_zone = planner.changed_ms_by_zone.get(runner.zone, -ZONE_SPACING_MS)
    return (
        now_ms - of_runner >= COOL_DOWN_MS
        and now_ms - of_zone >= ZONE_SPACING_MS
    )


def _split_of(runners: Sequence[Runner]) -> Split:
    roles = [r.role for r in runners]
    return Split(
        prefill=roles.count(fleet.Role.PREFILL),
        decode=roles.count(fleet.Role.DECODE),
        mixed=roles.count(fleet.Role.MIXED),
    )


def _after(split: Split, old: fleet.Role, new: fleet.Role) -> Split:
    counts = {
        fleet.Role.PREFILL: split.prefill,
        fleet.Role.DECODE: split.decode,
        fleet.Role.MIXED: split.mixed,
    }
    counts[old] -= 1
    counts[new] += 1
    return Split(
        prefill=counts[fleet.Role.PREFILL],
        decode=counts[fleet.Role.DECODE],
        mixed=counts[fleet.Role.MIXED],
    )


def _covers_roles(split: Split) -> bool:
    return split.mixed > 0 or (split.prefill > 0 and split.decode > 0)
