"""Gateways that share a retry budget in virtual time, and their control.

The first try of each request fails, so that gateways make all the retries that
their shares allow.
"""

import bisect
from collections import defaultdict
from collections.abc import Mapping
import dataclasses
import itertools
import random

from support import instant_disk
from wisteriawall.control import gateway_updates
from wisteriawall.control import raft as raft_lib
from wisteriawall.control import raft_log
from wisteriawall.control import state as control_state
from wisteriawall.gateway import events
from wisteriawall.gateway import reducer
from wisteriawall.gateway import retry_budget
from wisteriawall.gateway import state as state_lib
from wisteriawall.policy import retry_window
from wisteriawall.wire import gateway_messages
from wisteriawall.wire import raft_messages

__all__ = [
    "DAY_MS",
    "Day",
    "Event",
    "Freeze",
    "Kill",
    "LeaderChange",
    "Replace",
    "Silence",
    "repeats_until",
    "worst_window",
]

SERVICE = "failing"
WINDOW_MS = 10_000
RATIO = 0.2
POLL_MS = 350
TICK_MS = 50
DAY_MS = 80_000
# The clock of control is ahead, as its leader is elected before the day.
ELECTION_MS = 3_000
# Every window that begins at a multiple of this is judged.
STEP_MS = 250


@dataclasses.dataclass(frozen=True, kw_only=True)
class Silence:
    """The gateways from `first` to before `end` don't reach control."""

    first: int = 0
    end: int
    from_ms: int
    to_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Freeze:
    """Gateways stop, and at `to_ms` go on with their state."""

    first: int = 0
    end: int
    from_ms: int
    to_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kill:
    """Gateways end and start again after `down_ms`, with empty windows."""

    first: int = 0
    end: int
    at_ms: int
    down_ms: int = 500


@dataclasses.dataclass(frozen=True, kw_only=True)
class Replace:
    """Gateways end; others with new names start in their place."""

    first: int = 0
    end: int
    at_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaderChange:
    """A leader that has heard of no gateway yet answers."""

    at_ms: int


Event = Silence | Freeze | Kill | Replace | LeaderChange


@dataclasses.dataclass(frozen=True, kw_only=True)
class Day:
    """A fleet and what happens to it.

    `requests_per_s` are the requests for the failing service from each time on.
    With `is_first_start`, the fleet starts for the first time at 0.
    """

    gateways: int
    requests_per_s: Mapping[int, float]
    events: tuple[Event, ...] = ()
    slack: float = 58
    is_first_start: bool = False


class _Gateway:
    """A gateway; it serves once control has answered it."""

    def __init__(self, name: str, now_ms: int, day: Day) -> None:
        self.name = name
        self.has_polled = False
        # Only those of a fleet that starts for the first time start at 0.
        is_restart = now_ms > 0 or not day.is_first_start
        self.state = state_lib.Gateway(
            name=name,
            zone="z",
            random=random.Random(name),
            tuning=state_lib.Tuning(),
            retries=retry_budget.new_window(
                retry_window.RetryBudgetSettings(
                    window_ms=WINDOW_MS, ratio=RATIO, slack=day.slack
                ),
                started_ms=now_ms if is_restart else None,
            ),
        )

    def poll(self, control: "_Control", now_ms: int) -> None:
        """Tell control of this gateway, and apply its answer."""
        reply = control.follow(
            gateway_messages.FollowRequest(
                self.name,
                1,
                f"{self.name}:1",
                0,
                (0, 0),
                most_gateways=retry_budget.report(self.state, now_ms),
            ),
            now_ms,
        )
        assert reply.peers is not None
        update = events.ControlUpdate(
            table=None,
            upstreams=None,
            gateway_count=len(reply.peers) + 1,
            gateways_heard=reply.gateways_heard,
            most_gateways=reply.most_gateways,
            now_ms=now_ms,
        )
        for _ in reducer.reduce(self.state, update):
            pass
        self.has_polled = True


class _Control:
    """The only replica of a cluster, and what it knows of gateways."""

    def __init__(self) -> None:
        member = raft_messages.Member("c", identity="c-1")
        snapshot = raft_messages.Snapshot(0, 0, (member,), b"")
        self._raft = raft_lib.Raft(
            replica="c",
            identity="c-1",
            incarnation=1,
            random=random.Random(1),
            term=1,
            log=raft_log.RaftLog(snapshot=snapshot, entries=[]),
        )
        for now_ms in range(-ELECTION_MS, 0, TICK_MS):
            self.tick(now_ms)
        self._updates = gateway_updates.GatewayUpdates()

    def tick(self, now_ms: int) -> None:
        at_ms = now_ms + ELECTION_MS
        effects = raft_lib.tick(self._raft, at_ms)
        for _ in instant_disk.settle(self._raft, effects, at_ms):
            pass

    def change_leader(self) -> None:
        self._updates = gateway_updates.GatewayUpdates()

    def follow(
        self, request: gateway_messages.FollowRequest, now_ms: int
    ) -> gateway_messages.Followed:
        reply = gateway_updates.follow(
            self._updates,
            self._raft,
            control_state.Ledger(),
            request,
            now_ms + ELECTION_MS,
        )
        assert isinstance(reply, gateway_messages.Followed)
        return reply


def worst_window(day: Day, seed: int, *, slack: float) -> float:
    """Play a day; return the largest use of a window's budget.

    The use is the repeats in a window over those that the rule allows with
    this slack.
    """
    fleet = _Fleet(day, seed)
    for now_ms in range(DAY_MS):
        fleet.step(now_ms)
    assert fleet.repeats
    return max(
        _count(fleet.repeats, start_ms)
        / (slack + RATIO * _requests(fleet.requests, start_ms))
        for start_ms in range(0, DAY_MS - WINDOW_MS, STEP_MS)
    )


def repeats_until(day: Day, seed: int, end_ms: int) -> int:
    """Return the number of repeats up to a time."""
    fleet = _Fleet(day, seed)
    for now_ms in range(end_ms):
        fleet.step(now_ms)
    return len(fleet.repeats)


def _requests(times_ms: list[int], start_ms: int) -> int:
    """Return those of the window, the one before or half a window before."""
    return max(
        _count(times_ms, start_ms - earlier_ms)
        for earlier_ms in (0, WINDOW_MS // 2, WINDOW_MS)
    )


def _count(times_ms: list[int], start_ms: int) -> int:
    """Return how many times fall into the window that starts then."""
    end = bisect.bisect_left(times_ms, start_ms + WINDOW_MS)
    return end - bisect.bisect_left(times_ms, start_ms)


class _Fleet:
    """The gateways of a day, and the times of their requests and repeats."""

    def __init__(self, day: Day, seed: int) -> None:
        self.requests: list[int] = []
        self.repeats: list[int] = []
        self._day = day
        self._rng = random.Random(seed)
        self._control = _Control()
        self._names = (f"g{number:03}" for number in itertools.count())
        self._gateways = [
            _Gateway(next(self._names), 0, day) for _ in range(day.gateways)
        ]
        self._polls_by_ms: defaultdict[int, list[int]] = defaultdict(list)
        for number in range(day.gateways):
            self._polls_by_ms[number * POLL_MS // day.gateways].append(number)
        self._up_from_ms = [0] * day.gateways
        self._rate = 0.0

    def step(self, now_ms: int) -> None:
        """Play one millisecond."""
        if now_ms % TICK_MS == 0:
            self._control.tick(now_ms)
        for event in self._day.events:
            self._start_event(event, now_ms)
        # A gateway that is thawed serves what waited before it polls.
        self._rate = self._day.requests_per_s.get(now_ms, self._rate)
        if self._rng.random() < self._rate / 1_000:
            self._ask(now_ms)
        for number in self._polls_by_ms.pop(now_ms, ()):
            self._poll(number, now_ms)

    def _start_event(self, event: Event, now_ms: int) -> None:
        match event:
            case LeaderChange(at_ms=at_ms) if at_ms == now_ms:
                self._control.change_leader()
            case Kill(at_ms=at_ms) if at_ms == now_ms:
                for number in range(event.first, event.end):
                    start_ms = now_ms + event.down_ms
                    self._up_from_ms[number] = start_ms
                    self._gateways[number] = _Gateway(
                        self._gateways[number].name, start_ms, self._day
                    )
            case Replace(at_ms=at_ms) if at_ms == now_ms:
                for number in range(event.first, event.end):
                    self._gateways[number] = _Gateway(
                        next(self._names), now_ms, self._day
                    )

    def _ask(self, now_ms: int) -> None:
        self.requests.append(now_ms)
        serving = [
            gateway
            for number, gateway in enumerate(self._gateways)
            if gateway.has_polled
            and self._up_from_ms[number] <= now_ms
            and not self._is_in(Freeze, number, now_ms)
        ]
        if not serving:
            return
        retries = self._rng.choice(serving).state.retries
        retries.add_request(SERVICE, now_ms)
        if retries.take_retry(SERVICE, now_ms):
            self.repeats.append(now_ms)

    def _poll(self, number: int, now_ms: int) -> None:
        self._polls_by_ms[now_ms + POLL_MS].append(number)
        if self._up_from_ms[number] <= now_ms and not (
            self._is_in(Freeze, number, now_ms)
            or self._is_in(Silence, number, now_ms)
        ):
            self._gateways[number].poll(self._control, now_ms)

    def _is_in(
        self, kind: type[Freeze | Silence], number: int, now_ms: int
    ) -> bool:
        """Return whether something of a kind lasts at a gateway."""
        return any(
            isinstance(event, kind)
            and event.from_ms <= now_ms < event.to_ms
            and event.first <= number < event.end
            for event in self._day.events
        )
