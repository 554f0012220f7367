"""Timed faults of a soak, drawn from a seed."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import enum
import random
from typing import final

from soak import accounts
from soak import proxy

ROLLING_GAP_S = (0.5, 2.0)
FREEZE_S = (0.5, 4.0)
BURST_GAP_S = (0.02, 0.4)
LEAVE_AFTER_S = (0.5, 5.0)
SERIES_GAP_S = (0.3, 1.5)
MAX_CHANGES = 8
EXTRA_ROUTES = 6
MOVED_ROUTES = 4
MOVE_GAP_S = (0.5, 3.0)
# Share of the soaks without disturbances of the core in which routes move.
MOVING_SHARE = 0.5
ROUTE_BLOCKS = 4
# Names of the replica that leads, and of those on the operators' list, which
# are not known before the soak.
LEADER = "leader"
LISTED = ("core-0", "core-1", "core-2")
CORE_GAP_S = (0.5, 4.0)
REPLACING_GAP_S = (1.0, 4.0)
CUT_S = (1.0, 6.0)
SUCCESSOR_GAP_S = (0.0, 3.0)
# From a change of the operators' list to new seeds in settings files.
SEED_LAG_S = (3.0, 6.0)
STEADY_CHANGE_GAP_S = (0.3, 1.0)
CORE_SERIES_GAP_S = (2.0, 6.0)
STALL_S = (1.0, 5.0)
# Long ones leave time until the core is stable and a change is due.
STALL_GAP_S = (1.0, 10.0)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Terminate:
    """SIGTERM, SIGKILL at the end of the grace period, and a restart."""

    process: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Reload:
    """SIGHUP."""

    process: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Freeze:
    """SIGSTOP, and SIGCONT some seconds later."""

    process: str
    for_s: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Kill:
    """SIGKILL and a restart."""

    process: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ToggleRoute:
    """Add a route to the configuration, or remove it."""

    number: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ToggleBlock:
    """Add many routes to the configuration at once, or remove them."""

    number: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ToggleKey:
    """Remove a key of an account from the configuration, or give it back."""

    key: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SetWeights:
    """Split the requests of the split route between two services."""

    weights: tuple[int, int]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SetTimeout:
    """Set the timeout of the split route."""

    timeout_ms: int


@final
class Release(enum.StrEnum):
    """How runners change their service together with a route."""

    NONE = "none"
    # One of the old service leaves, one of the new service is added.
    ADDED = "added"
    # The same, at the address of the one that left.
    REUSED = "address reused"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class MoveRoute:
    """Have a route change its service, perhaps together with a release."""

    number: int
    release: Release
    leave_after_s: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DrainRunner:
    """List a runner as draining, then leave it out of the list and end it."""

    index: int
    leave_after_s: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RestartRunner:
    """Start a runner again at its address, under a new identifier.

    `version` is that of its software, empty for the same as before.
    """

    index: int
    version: str = ""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AddRunner:
    """Add a runner."""

    service: str
    stage: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LimitRunner:
    """Have a runner name a limit on its requests a second, None for none."""

    index: int
    per_s: float | None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DisturbLink:
    """Disturb the connections between the gateways and a runner."""

    index: int
    what: proxy.Disturbance
    for_s: float


@final
class Removal(enum.StrEnum):
    """How a control replica is removed for good."""

    # SIGTERM, after its successor was started.
    STOPPED = "stopped"
    # SIGKILL, and its successor is started later.
    KILLED = "killed"
    # The same, but its connections don't end.
    SILENT = "silent"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceReplica:
    """Replace a control replica by an empty one at another address.

    `gap_s` passes between the removal and the start, or the other way round.
    """

    process: str
    how: Removal
    gap_s: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LoseDisk:
    """SIGKILL and a restart of a control replica with an empty disk."""

    process: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StallDisk:
    """Have the disk of a control replica stall."""

    process: str
    for_s: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WriteSeeds:
    """Write the newest seeds to all settings files; SIGHUP to some processes.

    Until then, processes that start have outdated ones.
    """

    reloaded: tuple[str, ...]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CutLinks:
    """Cut links silently: of each of `processes` to each of `others`.

    Empty `others` stand for all machines.
    """

    processes: tuple[str, ...]
    others: tuple[str, ...]
    for_s: float


Fault = (
    Terminate
    | Reload
    | Freeze
    | Kill
    | ToggleRoute
    | ToggleBlock
    | ToggleKey
    | SetWeights
    | SetTimeout
    | MoveRoute
    | DrainRunner
    | RestartRunner
    | AddRunner
    | DisturbLink
    | LimitRunner
    | ReplaceReplica
    | LoseDisk
    | StallDisk
    | WriteSeeds
    | CutLinks
)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Timed:
    """A fault and its time, in seconds from the start of the soak."""

    at_s: float
    fault: Fault


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Scope:
    """What a schedule may disturb.

    `large_tables` has tables become large, `limits` has runners name limits,
    `versions` has them start with other versions of their software. `core` has
    replicas be replaced, lose their disks and be cut off. `stalls` has their
    disks stall.
    """

    gateways: tuple[str, ...]
    replicas: tuple[str, ...]
    runners: int
    large_tables: bool = False
    limits: bool = False
    versions: bool = False
    core: bool = False
    stalls: bool = False


Series = Callable[[random.Random, Scope], Iterator[Timed]]


def draw(seed: int, *, duration_s: float, scope: Scope) -> tuple[Timed, ...]:
    """Return the faults of a soak by time; each series starts on its own.

    The same seed and scope give the same schedule.
    """
    chance = random.Random(seed)
    timed: list[Timed] = []
    start_s = chance.uniform(0.5, 1.0)
    # Every soak has the series that belong to planned work.
    queue = list(PLANNED_SERIES)
    every = ALL_SERIES
    if scope.large_tables:
        queue += [_large_changes, _large_changes]
        every = (*ALL_SERIES, _large_changes)
    if scope.versions:
        queue += [_release, _kill_all_gateways, _release]
        every = (*every, _release, _kill_all_gateways)
    if scope.limits:
        every = (*every, _limit_runners)
    chance.shuffle(queue)
    if scope.limits:
        # A limit is judged some seconds after it was named.
        queue.append(_limit_runners)
    while start_s < duration_s:
        series = queue.pop() if queue else chance.choice(every)
        timed += [
            Timed(start_s + fault.at_s, fault.fault)
            for fault in series(chance, scope)
        ]
        start_s += chance.uniform(*SERIES_GAP_S)
    # They have a chance of their own, and begin early: a removed key is judged
    # only some seconds later.
    timed += _key_changes(random.Random(f"{seed}/keys"))
    if scope.core:
        timed = [
            *_core_faults(random.Random(f"{seed}/core"), scope, duration_s),
            *_key_changes(random.Random(f"{seed}/keys")),
        ]
    if scope.stalls:
        timed += _disk_stalls(random.Random(f"{seed}/stalls"), duration_s)
    moves = random.Random(f"{seed}/moves")
    if scope.core or moves.random() < MOVING_SHARE:
        timed += _moves(moves, duration_s)
    in_time = (fault for fault in timed if fault.at_s < duration_s)
    return tuple(sorted(in_time, key=lambda fault: fault.at_s))


def _disk_stalls(chance: random.Random, duration_s: float) -> Iterator[Timed]:
    """Yield stalls of disks, one at a time."""
    at_s = chance.uniform(*STALL_GAP_S)
    while at_s < duration_s:
        fault = StallDisk(
            chance.choice((LEADER, *LISTED)), chance.uniform(*STALL_S)
        )
        yield Timed(at_s, fault)
        at_s += fault.for_s + chance.uniform(*STALL_GAP_S)


def _core_faults(
    chance: random.Random, scope: Scope, duration_s: float
) -> Iterator[Timed]:
    """Yield faults of the core and of links, beside a few others.

    Gateways and runners are disturbed less often than otherwise, so that the
    requests of most gateways are judged.
    """
    at_s = 0.5
    while at_s < duration_s:
        yield Timed(at_s, _draw_change(chance))
        at_s += chance.uniform(*STEADY_CHANGE_GAP_S)
    at_s = chance.uniform(0.5, 1.5)
    # Either many faults overlap, or one replica is replaced after the other:
    # between overlapping ones most disks may not be lost.
    every, gap_s = chance.choice(
        ((CORE_SERIES, CORE_GAP_S), (REPLACING_SERIES, REPLACING_GAP_S))
    )
    while at_s < duration_s:
        for timed in chance.choice(every)(chance, scope):
            yield Timed(at_s + timed.at_s, timed.fault)
        at_s += chance.uniform(*gap_s)
    at_s = chance.uniform(*CORE_SERIES_GAP_S)
    others = dataclasses.replace(scope, replicas=())
    while at_s < duration_s:
        for timed in chance.choice(CALM_SERIES)(chance, others):
            yield Timed(at_s + timed.at_s, timed.fault)
        at_s += chance.uniform(*CORE_SERIES_GAP_S)


def _replace_replica(chance: random.Random, scope: Scope) -> Iterator[Timed]:
    gap_s = chance.uniform(*SUCCESSOR_GAP_S)
    process = chance.choice((LEADER, *LISTED))
    how = chance.choice(list(Removal))
    yield Timed(0.0, ReplaceReplica(process, how, gap_s))
    reloaded = chance.sample(
        scope.gateways, chance.randint(0, len(scope.gateways))
    )
    lag_s = gap_s + chance.uniform(*SEED_LAG_S)
    yield Timed(lag_s, WriteSeeds((*reloaded, *LISTED)))


def _lose_disk(chance: random.Random, scope: Scope) -> Iterator[Timed]:
    del scope  # The replicas are named by their places.
    yield Timed(0.0, LoseDisk(chance.choice((LEADER, *LISTED))))


def _cut_replica(chance: random.Random, scope: Scope) -> Iterator[Timed]:
    del scope  # The replicas are named by their places.
    process = chance.choice((LEADER, *LISTED))
    yield Timed(0.0, CutLinks((process,), (), chance.uniform(*CUT_S)))


def _cut_gateways(chance: random.Random, scope: Scope) -> Iterator[Timed]:
    """Cut some gateways from the leader, a part of the core, or others."""
    most = max(1, len(scope.gateways) // 3)
    some = tuple(chance.sample(scope.gateways, chance.randint(1, most)))
    others = chance.choice(
        (
            (LEADER,),
            tuple(chance.sample(LISTED, chance.randint(1, 2))),
            scope.gateways,
        )
    )
    yield Timed(0.0, CutLinks(some, others, chance.uniform(*CUT_S)))


def _signal_replica(chance: random.Random, scope: Scope) -> Iterator[Timed]:
    del scope  # The replicas are named by their places.
    process = chance.choice((LEADER, *LISTED))
    yield Timed(
        0.0,
        chance.choice(
            (
                Kill(process),
                Terminate(process),
                Freeze(process, chance.uniform(*FREEZE_S)),
            )
        ),
    )


def _restart_gateway(chance: random.Random, scope: Scope) -> Iterator[Timed]:
    gateway = chance.choice(scope.gateways)
    yield Timed(0.0, chance.choice((Kill(gateway), Terminate(gateway))))


def _some_gateways(chance: random.Random, scope: Scope) -> list[str]:
    most = max(1, len(scope.gateways) * 2 // 3)
    return chance.sample(scope.gateways, chance.randint(1, most))


def _rolling_restart(chance: random.Random, scope: Scope) -> Iterator[Timed]:
    at_s = 0.0
    for gateway in _some_gateways(chance, scope):
        yield Timed(at_s, Terminate(gateway))
        at_s += chance.uniform(*ROLLING_GAP_S)


def _double_term(chance: random.Random, scope: Scope) -> Iterator[Timed]:
    gateway = chance.choice(scope.gateways)
    yield Timed(0.0, Terminate(gateway))
    yield Timed(chance.uniform(0.0, 3.0), Terminate(gateway))


def _reload_while_stopping(
    chance: random.Random, scope: Scope
) -> Iterator[Timed]:
    gateway = chance.choice(scope.gateways)
    yield Timed(0.0, Terminate(gateway))
    for _ in range(chance.randint(1, 3)):
        yield Timed(chance.uniform(0.0, 1.0), Reload(gateway))


def _term_after_reload(chance: random.Random, scope: Scope) -> Iterator[Timed]:
    """Send SIGTERM while SIGHUP is being handled."""
    process = chance.choice((*scope.gateways, *scope.replicas))
    yield Timed(0.0, Reload(process))
    yield Timed(chance.uniform(0.0, 0.02), Terminate(process))


def _reloads(chance: random.Random, scope: Scope) -> Iterator[Timed]:
    processes = (*scope.gateways, *scope.replicas)
    for _ in range(chance.randint(2, 6)):
        yield Timed(chance.uniform(0.0, 2.0), Reload(chance.choice(processes)))


def _freeze(chance: random.Random, scope: Scope) -> Iterator[Timed]:
    process = chance.choice((*scope.gateways, *scope.replicas))
    yield Timed(0.0, Freeze(process, chance.uniform(*FREEZE_S)))


def _kill(chance: random.Random, scope: Scope) -> Iterator[Timed]:
    yield Timed(0.0, Kill(chance.choice((*scope.gateways, *scope.replicas))))


def _kill_core(chance: random.Random, scope: Scope) -> Iterator[Timed]:
    for replica in scope.replicas:
        yield Timed(chance.uniform(0.0, 0.05), Kill(replica))


def _restart_replicas(chance: random.Random, scope: Scope) -> Iterator[Timed]:
    at_s = 0.0
    for replica in scope.replicas:
        yield Timed(at_s, Terminate(replica))
        at_s += chance.uniform(*ROLLING_GAP_S)


def _draw_change(chance: random.Random) -> Fault:
    match chance.randrange(4):
        case 0:
            first = chance.randint(0, 100)
            return SetWeights((first, 101 - first))
        case 1:
            return SetTimeout(chance.choice((4_000, 8_000, 12_000)))
        case _:
            return ToggleRoute(chance.randrange(EXTRA_ROUTES))


def _changes(chance: random.Random, scope: Scope) -> Iterator[Timed]:
    del scope  # There is one configuration.
    at_s = 0.0
    for _ in range(chance.randint(2, MAX_CHANGES)):
        yield Timed(at_s, _draw_change(chance))
        at_s += chance.uniform(*BURST_GAP_S)


def _key_changes(chance: random.Random) -> Iterator[Timed]:
    """Remove keys and give them back, some before they are out of use."""
    for key in accounts.CHANGING_KEYS:
        at_s = chance.uniform(0.2, 2.0)
        yield Timed(at_s, ToggleKey(key))
        back_s = at_s + chance.uniform(0.5, 2.5) * accounts.REVOKE_MS / 1_000
        yield Timed(back_s, ToggleKey(key))
        yield Timed(back_s + chance.uniform(0.5, 3.0), ToggleKey(key))


def _moves(chance: random.Random, duration_s: float) -> Iterator[Timed]:
    """Move routes, half of them together with a release."""
    at_s = chance.uniform(*MOVE_GAP_S)
    while at_s < duration_s:
        yield Timed(
            at_s,
            MoveRoute(
                chance.randrange(MOVED_ROUTES),
                chance.choice((Release.NONE, *Release)),
                chance.uniform(*LEAVE_AFTER_S),
            ),
        )
        at_s += chance.uniform(*MOVE_GAP_S)


def _large_changes(chance: random.Random, scope: Scope) -> Iterator[Timed]:
    """Add or remove many routes, with smaller changes right after."""
    yield Timed(0.0, ToggleBlock(chance.randrange(ROUTE_BLOCKS)))
    yield from (
        Timed(change.at_s + chance.uniform(*BURST_GAP_S), change.fault)
        for change in _changes(chance, scope)
    )


def _changes_while_stopping(
    chance: random.Random, scope: Scope
) -> Iterator[Timed]:
    yield from _changes(chance, scope)
    yield from _rolling_restart(chance, scope)


def _drain_runner(chance: random.Random, scope: Scope) -> Iterator[Timed]:
    index = chance.randrange(scope.runners)
    yield Timed(0.0, DrainRunner(index, chance.uniform(*LEAVE_AFTER_S)))


def _restart_runner(chance: random.Random, scope: Scope) -> Iterator[Timed]:
    for _ in range(chance.randint(1, 2)):
        index = chance.randrange(scope.runners)
        yield Timed(chance.uniform(0.0, 1.0), RestartRunner(index))


def _release(chance: random.Random, scope: Scope) -> Iterator[Timed]:
    """Start some runners with one version, while the others keep theirs."""
    version = f"v{chance.randint(1, 2)}"
    at_s = 0.0
    count = chance.randint(1, scope.runners - 1)
    for index in chance.sample(range(scope.runners), count):
        yield Timed(at_s, RestartRunner(index, version))
        at_s += chance.uniform(0.0, 0.5)


def _kill_all_gateways(chance: random.Random, scope: Scope) -> Iterator[Timed]:
    for gateway in scope.gateways:
        yield Timed(chance.uniform(0.0, 0.05), Kill(gateway))


def _add_runner(chance: random.Random, scope: Scope) -> Iterator[Timed]:
    del scope  # Any number can be added.
    service, stage = chance.choice(
        (("shop", ""), ("model", "prefill"), ("model", "decode"))
    )
    yield Timed(0.0, AddRunner(service, stage))


def _limit_runners(chance: random.Random, scope: Scope) -> Iterator[Timed]:
    """Limit some runners, change the values soon, and end one limit."""
    limited = chance.sample(range(scope.runners), scope.runners // 3)
    for index in limited:
        per_s = round(chance.uniform(0.2, 3.0), 2)
        yield Timed(chance.uniform(0.0, 0.5), LimitRunner(index, per_s))
        lower = round(per_s * chance.uniform(0.7, 1.0), 2)
        yield Timed(chance.uniform(1.0, 3.0), LimitRunner(index, lower))
    yield Timed(chance.uniform(8.0, 9.0), LimitRunner(limited[0], None))


def _disturb_link(chance: random.Random, scope: Scope) -> Iterator[Timed]:
    yield Timed(
        0.0,
        DisturbLink(
            chance.randrange(scope.runners),
            chance.choice(list(proxy.Disturbance)),
            chance.uniform(*FREEZE_S),
        ),
    )


CORE_SERIES: tuple[Series, ...] = (
    _replace_replica,
    _replace_replica,
    _lose_disk,
    _cut_replica,
    _cut_gateways,
    _cut_gateways,
    _signal_replica,
)
REPLACING_SERIES: tuple[Series, ...] = (
    _replace_replica,
    _replace_replica,
    _lose_disk,
    _cut_gateways,
)
CALM_SERIES: tuple[Series, ...] = (
    _restart_gateway,
    _reloads,
    _drain_runner,
    _restart_runner,
    _add_runner,
    _disturb_link,
)
PLANNED_SERIES: tuple[Series, ...] = (
    _rolling_restart,
    _double_term,
    _reload_while_stopping,
    _term_after_reload,
    _changes_while_stopping,
)
ALL_SERIES: tuple[Series, ...] = (
    *PLANNED_SERIES,
    _rolling_restart,
    _reloads,
    _freeze,
    _kill,
    _kill_core,
    _restart_replicas,
    _changes,
    _drain_runner,
    _restart_runner,
    _add_runner,
    _disturb_link,
)
