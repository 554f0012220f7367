"""Role planner of the control leader: who prefills, decodes or does both.

Demand is counted in tokens a second and turned into engines through the
engines' speed. A change is proposed when the work it saves over the horizon
is worth more engine-seconds than the change costs, weighed by the service.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import final

from wisteriawall.policy import speeds
from wisteriawall.wire import fleet

__all__ = [
    "Need",
    "Planner",
    "RoleChange",
    "Runner",
    "Service",
    "Split",
    "lost_engines",
    "observe",
    "plan",
]

FAST_S = 5.0
SLOW_S = 20.0
MAX_HORIZON_S = 300.0
RUNNER_COOL_DOWN_MS = 30_000
ZONE_SPACING_MS = 15_000
SERVICE_SPACING_MS = 5_000
MAX_CHANGES = 2
HEADROOM = 1.0
MIXED_PREFILL_SHARE = 0.7
MIXED_DECODE_SHARE = 1.0
BUFFER_GAIN_SHARE = 0.9
MIXED_HORIZON_S = 60.0
STREAM_DRAIN_S = 0.2
SERVED_SHARE_STEPS = 16


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Runner:
    """A runner as the leader knows it.

    `is_clear` is False while what the engine does is not known: it then
    counts as lost. `streams` must end before it can change. `target` is the
    role that an order under way gives it.
    """

    runner: str
    zone: str
    role: fleet.Role
    phase: fleet.RunnerPhase
    is_clear: bool = True
    streams: int = 0
    target: fleet.Role | None = None


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Service:
    """What the planner must respect of one service.

    `min_engines` is the share that changes must leave in work.
    `payback_s` is how many engine-seconds a change must earn back and
    `change_s` how many it takes.
    """

    service: str
    runners: Sequence[Runner]
    min_engines: int = 1
    payback_s: float = 10.0
    change_s: float = 5.0
    speed_by_role: Mapping[fleet.Role, speeds.EngineSpeed] = dataclasses.field(
        default_factory=lambda: speeds.SPEED_BY_ROLE
    )


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
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Need:
    """Engines that prefill and decode demand would keep busy."""

    prefill: float
    decode: float


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Option:
    """A change and the engines that it saves while demand lasts."""

    gain: float
    runner: Runner
    role: fleet.Role

    @property
    def rank(self) -> tuple[float, int, str]:
        """Order options: gain, a mixed engine before others, few streams."""
        is_mixed = self.role is fleet.Role.MIXED
        worth = self.gain * (1.0 if is_mixed else BUFFER_GAIN_SHARE)
        return round(worth, 6), -self.runner.streams, self.runner.runner


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
    changed_ms: int = -SERVICE_SPACING_MS
    short_since_ms: int | None = None


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
    working = [r for r in service.runners if _is_working(r)]
    if len(working) - 1 < max(1, service.min_engines):
        return
    if now_ms - demand.changed_ms < SERVICE_SPACING_MS:
        return
    open_ones = [r for r in working if _may_change(planner, r, now_ms)]
    split = _split_of(service.runners)
    options = _options(open_ones, split, _needs(service, demand))
    best = max(options, key=lambda option: option.rank, default=None)
    if best is None:
        return
    horizon_s = _horizon_s(demand, best, now_ms)
    saved_s, price_s = best.gain * horizon_s, _price_s(service, best.runner)
    if saved_s <= price_s:
        return
    demand.changed_ms = now_ms
    planner.changed_ms_by_runner[best.runner.runner] = now_ms
    planner.changed_ms_by_zone[best.runner.zone] = now_ms
    yield RoleChange(
        service=service.service,
        runner=best.runner.runner,
        role=best.role,
        cause=(
            f"saves {saved_s:.0f} engine-seconds in {horizon_s:.0f} s, "
            f"must save {price_s:.0f}"
        ),
    )


def _horizon_s(demand: _Demand, best: _Option, now_ms: int) -> float:
    """Return how long the best change is expected to go on paying.

    A shift is expected to last as long again as it has lasted, so that a
    brief swing moves no engine. A way back to the mixed role needs no such
    proof.
    """
    if best.gain <= 0:
        demand.short_since_ms = None
        return 0.0
    if demand.short_since_ms is None:
        demand.short_since_ms = now_ms
    if best.role is fleet.Role.MIXED:
        return MIXED_HORIZON_S
    age_s = (now_ms - demand.short_since_ms) / 1_000
    return min(MAX_HORIZON_S, age_s)


def _options(
    runners: Sequence[Runner], split: Split, needs: Sequence[Need]
) -> Iterator[_Option]:
    """Yield each change that leaves every needed role a runner.

    The gain of a dedicated role is the lesser by the quick and the slow
    estimate of demand, so that no burst dedicates an engine. Back to the
    mixed role the quick one counts, as a wrong dedicated role costs most.
    """
    for runner in runners:
        for role in fleet.Role:
            after = _after(split, runner.role, role)
            if role is runner.role or not _covers_roles(after):
                continue
            gains = [
                lost_engines(split, need) - lost_engines(after, need)
                for need in needs
            ]
            is_mixed = role is fleet.Role.MIXED
            gain = gains[0] if is_mixed else min(gains)
            yield _Option(gain=gain, runner=runner, role=role)


def lost_engines(split: Split, need: Need) -> float:
    """Return the engines' worth of demand that a split leaves undone.

    An answer needs both its parts, so that the same share of both demands
    is served. Mixed engines take what dedicated ones can't; a step that does
    both slows both, so that they take it at a share of the speed.
    """
    if _fits(split, need, 1.0):
        return 0.0
    least, most = 0.0, 1.0
    for _ in range(SERVED_SHARE_STEPS):
        share = (least + most) / 2
        if _fits(split, need, share):
            least = share
        else:
            most = share
    return (1.0 - least) * (need.prefill + need.decode)


def _fits(split: Split, need: Need, share: float) -> bool:
    """Tell whether a split carries a share of both demands."""
    over_prefill = max(0.0, share * need.prefill - split.prefill)
    over_decode = max(0.0, share * need.decode - split.decode)
    mixed = over_prefill / MIXED_PREFILL_SHARE
    mixed += over_decode / MIXED_DECODE_SHARE
    return mixed <= split.mixed


def _needs(service: Service, demand: _Demand) -> tuple[Need, Need]:
    """Return the engines that demand needs, by quick and slow estimate."""
    return (
        _need(service, demand.fast_prefill, demand.fast_decode),
        _need(service, demand.slow_prefill, demand.slow_decode),
    )


def _need(service: Service, prefill: float, decode: float) -> Need:
    reading = service.speed_by_role[fleet.Role.PREFILL]
    writing = service.speed_by_role[fleet.Role.DECODE]
    scale = HEADROOM / 1_000
    return Need(
        prefill=reading.prefill_work_ms(1) * prefill * scale,
        decode=writing.decode_work_ms(1) * decode * scale,
    )


def _price_s(service: Service, runner: Runner) -> float:
    """Return the engine-seconds that a change must save."""
    cost_s = service.change_s + runner.streams * STREAM_DRAIN_S
    return max(cost_s, service.payback_s)


def _is_working(runner: Runner) -> bool:
    return runner.is_clear and runner.phase is fleet.RunnerPhase.LIVE


def _will_work(runner: Runner) -> bool:
    return _is_working(runner) or (
        runner.is_clear and runner.target is not None
    )


def _may_change(planner: Planner, runner: Runner, now_ms: int) -> bool:
    of_runner = planner.changed_ms_by_runner.get(
        runner.runner, -RUNNER_COOL_DOWN_MS
    )
    of_zone = planner.changed_ms_by_zone.get(runner.zone, -ZONE_SPACING_MS)
    return (
        now_ms - of_runner >= RUNNER_COOL_DOWN_MS
        and now_ms - of_zone >= ZONE_SPACING_MS
    )


def _split_of(runners: Sequence[Runner]) -> Split:
    """Count working runners by role and changing ones by their next role."""
    roles = [r.target or r.role for r in runners if _will_work(r)]
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
