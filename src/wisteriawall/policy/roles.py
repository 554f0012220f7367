"""Role planner of the control leader: which engines prefill, decode or do both.

Demand is measured in tokens per second and converted to engines by their
nominal speed. A role change is proposed if the engine-seconds that it saves
over the expected duration of the demand exceed its cost. Each service can set
a minimum saving.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import final

from wisteriawall.policy import speeds
from wisteriawall.wire import fleet

__all__ = [
    "EngineDemand",
    "PlannerState",
    "RoleChange",
    "RoleCounts",
    "Runner",
    "Service",
    "add_demand",
    "plan",
    "unserved_engines",
]

# Time constants of the two moving averages of demand.
FAST_SMOOTHING_S = 5.0
SLOW_SMOOTHING_S = 20.0
MAX_HORIZON_S = 300.0
# Shortest time between two changes of a runner, of an availability zone, and of
# a service.
MIN_RUNNER_INTERVAL_MS = 30_000
MIN_ZONE_INTERVAL_MS = 15_000
MIN_SERVICE_INTERVAL_MS = 5_000
MAX_CHANGES_PER_PLAN = 2
DEMAND_HEADROOM = 1.0
# Speed of a mixed engine relative to a dedicated one.
MIXED_PREFILL_EFFICIENCY = 0.7
MIXED_DECODE_EFFICIENCY = 1.0
# Weight of the saving by a change to a dedicated role. Of two similar changes
# the one to the mixed role wins.
DEDICATED_ROLE_WEIGHT = 0.9
MIXED_ROLE_HORIZON_S = 60.0
DRAIN_S_PER_STREAM = 0.2
# Iterations of the bisection for the share of demand that is served.
BISECTION_STEPS = 16


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Runner:
    """State of a runner at the control leader.

    Attributes:
        runner: Name of the runner.
        zone: Availability zone.
        role: Current role of its engine.
        phase: Phase of the runner; it serves requests only while live.
        is_state_known: Whether the state of the engine is known. It isn't, for
            example, after an order without a result. The engine then counts as
            not serving.
        streams: Requests in progress, which must end before a change.
        target_role: Role that an order in progress sets, None without one.
    """

    runner: str
    zone: str
    role: fleet.Role
    phase: fleet.RunnerPhase
    is_state_known: bool = True
    streams: int = 0
    target_role: fleet.Role | None = None


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Service:
    """Runners of one service, and the limits on changes to their roles.

    Attributes:
        service: Name of the service.
        runners: All its runners.
        min_engines: Engines that must keep serving during a change.
        payback_s: Engine-seconds that a change must save at least.
        change_cost_s: Engine-seconds that a change costs.
        speed_by_role: Nominal speed of an engine in each role.
    """

    service: str
    runners: Sequence[Runner]
    min_engines: int = 1
    payback_s: float = 10.0
    change_cost_s: float = 5.0
    speed_by_role: Mapping[fleet.Role, speeds.EngineSpeed] = dataclasses.field(
        default_factory=lambda: speeds.SPEED_BY_ROLE
    )


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RoleChange:
    """Proposed order to drain a runner and then set its role.

    `cause` is the reason in words, for the audit log.
    """

    service: str
    runner: str
    role: fleet.Role
    cause: str


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RoleCounts:
    """Number of engines in each role."""

    prefill: int
    decode: int
    mixed: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class EngineDemand:
    """Number of dedicated engines that the demand of each phase occupies."""

    prefill: float
    decode: float


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _ChangeOption:
    """Possible role change of a runner.

    `saved_engines` is by how much it reduces `unserved_engines`.
    """

    saved_engines: float
    runner: Runner
    role: fleet.Role

    @property
    def sort_key(self) -> tuple[float, int, str]:
        """Sort key: highest weighted saving, then fewest streams."""
        is_mixed = self.role is fleet.Role.MIXED
        weighted_saving = self.saved_engines * (
            1.0 if is_mixed else DEDICATED_ROLE_WEIGHT
        )
        return (
            round(weighted_saving, 6),
            -self.runner.streams,
            self.runner.runner,
        )


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class _SmoothedDemand:
    """Moving averages of one service's demand, in tokens per second.

    Attributes:
        window_start_ms: When the averages were last updated.
        prefill_tokens: Prompt tokens that arrived since then.
        decode_tokens: Expected answer tokens that arrived since then.
        fast_prefill: Prefill demand over `FAST_SMOOTHING_S`.
        fast_decode: Decode demand over `FAST_SMOOTHING_S`.
        slow_prefill: Prefill demand over `SLOW_SMOOTHING_S`.
        slow_decode: Decode demand over `SLOW_SMOOTHING_S`.
        last_change_ms: When the last change of the service was proposed.
        shortage_since_ms: Since when some change would save engines, None if
            no change would.
    """

    window_start_ms: int
    prefill_tokens: int = 0
    decode_tokens: int = 0
    fast_prefill: float = 0.0
    fast_decode: float = 0.0
    slow_prefill: float = 0.0
    slow_decode: float = 0.0
    last_change_ms: int = -MIN_SERVICE_INTERVAL_MS
    shortage_since_ms: int | None = None


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class PlannerState:
    """State of the planner; a new leader starts with an empty one.

    The last change of a runner or zone counts from when it was proposed.
    """

    demand_by_service: dict[str, _SmoothedDemand] = dataclasses.field(
        default_factory=dict
    )
    changed_ms_by_runner: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    changed_ms_by_zone: dict[str, int] = dataclasses.field(default_factory=dict)


def add_demand(
    planner: PlannerState, demand: fleet.ServiceDemand, *, now_ms: int
) -> None:
    """Add an entry's report of the demand that arrived since its last one."""
    smoothed = planner.demand_by_service.setdefault(
        demand.service, _SmoothedDemand(window_start_ms=now_ms)
    )
    smoothed.prefill_tokens += demand.prefill_tokens
    smoothed.decode_tokens += demand.decode_tokens


def plan(
    planner: PlannerState, services: Sequence[Service], *, now_ms: int
) -> Iterator[RoleChange]:
    """Yield the role changes to order now, at most `MAX_CHANGES_PER_PLAN`.

    Each yielded change is recorded in the planner as made at `now_ms`.
    """
    changes = 0
    for service in services:
        demand = planner.demand_by_service.get(service.service)
        if demand is None:
            continue
        _smooth(demand, now_ms)
        for change in _plan_service(planner, service, demand, now_ms):
            yield change
            changes += 1
            if changes >= MAX_CHANGES_PER_PLAN:
                return


def _smooth(demand: _SmoothedDemand, now_ms: int) -> None:
    elapsed_s = (now_ms - demand.window_start_ms) / 1_000
    if elapsed_s <= 0:
        return
    prefill = demand.prefill_tokens / elapsed_s
    decode = demand.decode_tokens / elapsed_s
    fast_weight = min(1.0, elapsed_s / FAST_SMOOTHING_S)
    slow_weight = min(1.0, elapsed_s / SLOW_SMOOTHING_S)
    demand.fast_prefill += fast_weight * (prefill - demand.fast_prefill)
    demand.fast_decode += fast_weight * (decode - demand.fast_decode)
    demand.slow_prefill += slow_weight * (prefill - demand.slow_prefill)
    demand.slow_decode += slow_weight * (decode - demand.slow_decode)
    demand.window_start_ms = now_ms
    demand.prefill_tokens = demand.decode_tokens = 0


def _plan_service(
    planner: PlannerState,
    service: Service,
    demand: _SmoothedDemand,
    now_ms: int,
) -> Iterator[RoleChange]:
    """Yield the change that saves the most, if it is worth its cost."""
    serving = [r for r in service.runners if _is_serving(r)]
    if len(serving) - 1 < max(1, service.min_engines):
        return
    if now_ms - demand.last_change_ms < MIN_SERVICE_INTERVAL_MS:
        return
    eligible = [r for r in serving if _may_change(planner, r, now_ms)]
    counts = _role_counts(service.runners)
    options = _change_options(
        eligible, counts, _engine_demands(service, demand)
    )
    best = max(options, key=lambda option: option.sort_key, default=None)
    if best is None:
        return
    horizon_s = _horizon_s(demand, best, now_ms)
    saved_s, required_s = (
        best.saved_engines * horizon_s,
        _required_s(service, best.runner),
    )
    if saved_s <= required_s:
        return
    demand.last_change_ms = now_ms
    planner.changed_ms_by_runner[best.runner.runner] = now_ms
    planner.changed_ms_by_zone[best.runner.zone] = now_ms
    yield RoleChange(
        service=service.service,
        runner=best.runner.runner,
        role=best.role,
        cause=(
            f"saves {saved_s:.0f} engine-seconds in {horizon_s:.0f} s, "
            f"must save {required_s:.0f}"
        ),
    )


def _horizon_s(
    demand: _SmoothedDemand, best: _ChangeOption, now_ms: int
) -> float:
    """Return for how long the best change is expected to save engines.

    A shortage is expected to last as long again as it has lasted, so that
    brief swings of demand cause no change. A change back to the mixed role
    has a fixed horizon instead.
    """
    if best.saved_engines <= 0:
        demand.shortage_since_ms = None
        return 0.0
    if demand.shortage_since_ms is None:
        demand.shortage_since_ms = now_ms
    if best.role is fleet.Role.MIXED:
        return MIXED_ROLE_HORIZON_S
    shortage_s = (now_ms - demand.shortage_since_ms) / 1_000
    return min(MAX_HORIZON_S, shortage_s)


def _change_options(
    runners: Sequence[Runner],
    counts: RoleCounts,
    demands: Sequence[EngineDemand],
) -> Iterator[_ChangeOption]:
    """Yield each change after which both phases still have a runner.

    The saving by a dedicated role is the lower one of the fast and the slow
    average of demand, so that a short burst causes no change to a dedicated
    role. For a change to the mixed role only the fast average counts, because
    a wrong dedicated role costs the most.

    Args:
        runners: Runners that may change.
        counts: Current roles.
        demands: Demand by the fast and by the slow average.
    """
    for runner in runners:
        for role in fleet.Role:
            after = _counts_after(counts, runner.role, role)
            if role is runner.role or not _serves_both_phases(after):
                continue
            saved_by_average = [
                unserved_engines(counts, demand)
                - unserved_engines(after, demand)
                for demand in demands
            ]
            is_mixed = role is fleet.Role.MIXED
            saved_engines = (
                saved_by_average[0] if is_mixed else min(saved_by_average)
            )
            yield _ChangeOption(
                saved_engines=saved_engines, runner=runner, role=role
            )


def unserved_engines(counts: RoleCounts, demand: EngineDemand) -> float:
    """Return how many engines' worth of demand is not served.

    Every answer needs both phases, so the same share of both demands is
    served. Mixed engines serve what exceeds the dedicated ones, at a lower
    efficiency because prefill and decode slow each other down in a batch.
    """
    if _can_serve(counts, demand, 1.0):
        return 0.0
    low, high = 0.0, 1.0
    for _ in range(BISECTION_STEPS):
        share = (low + high) / 2
        if _can_serve(counts, demand, share):
            low = share
        else:
            high = share
    return (1.0 - low) * (demand.prefill + demand.decode)


def _can_serve(counts: RoleCounts, demand: EngineDemand, share: float) -> bool:
    """Return whether engines in these roles serve `share` of both demands."""
    excess_prefill = max(0.0, share * demand.prefill - counts.prefill)
    excess_decode = max(0.0, share * demand.decode - counts.decode)
    mixed = excess_prefill / MIXED_PREFILL_EFFICIENCY
    mixed += excess_decode / MIXED_DECODE_EFFICIENCY
    return mixed <= counts.mixed


def _engine_demands(
    service: Service, demand: _SmoothedDemand
) -> tuple[EngineDemand, EngineDemand]:
    """Return the engines that demand occupies by the fast and slow average."""
    return (
        _engine_demand(service, demand.fast_prefill, demand.fast_decode),
        _engine_demand(service, demand.slow_prefill, demand.slow_decode),
    )


def _engine_demand(
    service: Service, prefill: float, decode: float
) -> EngineDemand:
    prefill_speed = service.speed_by_role[fleet.Role.PREFILL]
    decode_speed = service.speed_by_role[fleet.Role.DECODE]
    engines_per_ms = DEMAND_HEADROOM / 1_000
    return EngineDemand(
        prefill=prefill_speed.prefill_work_ms(1) * prefill * engines_per_ms,
        decode=decode_speed.decode_work_ms(1) * decode * engines_per_ms,
    )


def _required_s(service: Service, runner: Runner) -> float:
    """Return the engine-seconds that a change of this runner must save."""
    cost_s = service.change_cost_s + runner.streams * DRAIN_S_PER_STREAM
    return max(cost_s, service.payback_s)


def _is_serving(runner: Runner) -> bool:
    return runner.is_state_known and runner.phase is fleet.RunnerPhase.LIVE


def _is_serving_or_changing(runner: Runner) -> bool:
    return _is_serving(runner) or (
        runner.is_state_known and runner.target_role is not None
    )


def _may_change(planner: PlannerState, runner: Runner, now_ms: int) -> bool:
    runner_changed_ms = planner.changed_ms_by_runner.get(
        runner.runner, -MIN_RUNNER_INTERVAL_MS
    )
    zone_changed_ms = planner.changed_ms_by_zone.get(
        runner.zone, -MIN_ZONE_INTERVAL_MS
    )
    return (
        now_ms - runner_changed_ms >= MIN_RUNNER_INTERVAL_MS
        and now_ms - zone_changed_ms >= MIN_ZONE_INTERVAL_MS
    )


def _role_counts(runners: Sequence[Runner]) -> RoleCounts:
    """Count serving runners by role and changing ones by their next role."""
    roles = [
        r.target_role or r.role for r in runners if _is_serving_or_changing(r)
    ]
    return RoleCounts(
        prefill=roles.count(fleet.Role.PREFILL),
        decode=roles.count(fleet.Role.DECODE),
        mixed=roles.count(fleet.Role.MIXED),
    )


def _counts_after(
    counts: RoleCounts, old: fleet.Role, new: fleet.Role
) -> RoleCounts:
    count_by_role = {
        fleet.Role.PREFILL: counts.prefill,
        fleet.Role.DECODE: counts.decode,
        fleet.Role.MIXED: counts.mixed,
    }
    count_by_role[old] -= 1
    count_by_role[new] += 1
    return RoleCounts(
        prefill=count_by_role[fleet.Role.PREFILL],
        decode=count_by_role[fleet.Role.DECODE],
        mixed=count_by_role[fleet.Role.MIXED],
    )


def _serves_both_phases(counts: RoleCounts) -> bool:
    return counts.mixed > 0 or (counts.prefill > 0 and counts.decode > 0)
