"""Replay of plain requests in virtual time, through several gateways.

Runners serve a few requests at once, queue some, and shed the others.
"""

from collections.abc import Mapping
import dataclasses
import heapq
import itertools
import random
from typing import Any

from wisteriawall.config import route_table
from wisteriawall.gateway import events
from wisteriawall.gateway import protocol
from wisteriawall.gateway import reducer
from wisteriawall.gateway import state as state_lib
from wisteriawall.policy import retry_window
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import gateway_messages

HOST = "app.example"
SLOTS = 6
QUEUE = 24
ZONES = ("z1", "z2", "z3")


def _route(name: str, kind: route_table.RequestKind) -> route_table.Route:
    return route_table.Route(
        name=name,
        host=HOST,
        prefix=f"/{name}/",
        kind=kind,
        timeout_ms=4_200,
        goal_ms=430,
        max_attempts=2,
        shares=[route_table.ServiceWeight("plain", 1)],
    )


TABLE = route_table.RouteTable(
    number=1,
    routes=[
        _route("short", route_table.RequestKind.READ_ONLY),
        _route("long", route_table.RequestKind.READ_ONLY),
        _route("once", route_table.RequestKind.AT_MOST_ONCE),
    ],
    services=[
        route_table.RoutedService(
            name="plain", health_path="/", max_connections=9
        )
    ],
)
RUNNERS = [
    gateway_messages.Upstream(
        upstream_id=f"u{number}",
        service="plain",
        address=f"u{number}:1",
        zone=zone,
        slots=SLOTS,
    )
    for number, zone in enumerate(ZONES)
]


def gateways(count: int) -> list[state_lib.Gateway]:
    """Return gateways in all zones, with the table and the runners."""
    return [_gateway(number) for number in range(count)]


def _gateway(number: int) -> state_lib.Gateway:
    gateway = state_lib.Gateway(
        name=f"g{number}",
        zone=ZONES[number % len(ZONES)],
        random=random.Random(number),
        tuning=state_lib.Tuning(),
        retries=retry_window.RetryWindow(window_ms=10_000, ratio=0.1, slack=4),
    )
    update = events.ControlUpdate(
        table=TABLE,
        upstreams=gateway_messages.UpstreamList(1, 1, RUNNERS),
        gateway_count=1,
        now_ms=0,
    )
    list(reducer.reduce(gateway, update))
    return gateway


@dataclasses.dataclass(slots=True)
class _Runner:
    factor: float
    busy: int = 0
    queue: list[Any] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Replay:
    """Outcome of a replay, and its state while it runs.

    Attributes:
        gateways: They receive the requests in turn.
        work_ms_by_route: Mean work of a route's requests, which varies.
        factor_by_id: Time of a runner's answers relative to the others.
        event_delay_ms: Time after which gateways hear of each other.
        took_ms_by_key: Time to the answer of each served request.
        refusals: Refusals by gateways.
        sheds: Number of requests that runners shed.
        sent_by_id: Number of requests sent to each runner.
    """

    gateways: list[state_lib.Gateway]
    work_ms_by_route: Mapping[str, float]
    factor_by_id: Mapping[str, float] = dataclasses.field(default_factory=dict)
    event_delay_ms: int = 10
    took_ms_by_key: dict[int, float] = dataclasses.field(default_factory=dict)
    refusals: list[Any] = dataclasses.field(default_factory=list)
    sheds: int = 0
    sent_by_id: dict[str, int] = dataclasses.field(default_factory=dict)
    _heap: list[Any] = dataclasses.field(default_factory=list)
    _order: Any = dataclasses.field(default_factory=itertools.count)
    _runner_by_id: dict[str, _Runner] = dataclasses.field(default_factory=dict)
    _random: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(5)
    )

    def play(self, arrivals: list[tuple[float, str]]) -> "Replay":
        """Replay requests, given as time and route."""
        for runner in RUNNERS:
            name = runner.upstream_id
            self._runner_by_id[name] = _Runner(self.factor_by_id.get(name, 1.0))
        for key, (at_ms, route) in enumerate(arrivals):
            gateway = self.gateways[key % len(self.gateways)]
            self._schedule(at_ms, ("arrive", key, route, gateway, at_ms))
        while self._heap:
            now_ms, _, action = heapq.heappop(self._heap)
            self._process(now_ms, action)
        return self

    def in_time(self, goal_ms: float = 430) -> int:
        """Return how many answers came within the target latency."""
        return sum(took <= goal_ms for took in self.took_ms_by_key.values())

    def _schedule(self, at_ms: float, action: Any) -> None:
        heapq.heappush(self._heap, (at_ms, next(self._order), action))

    def _process(self, now_ms: float, action: Any) -> None:
        match action:
            case ("arrive", key, route, gateway, _):
                arrived = events.Arrived(
                    request_key=key,
                    request_id=f"r{key}",
                    host=HOST,
                    path=f"/{route}/x",
                    head=protocol.RequestHead(
                        attempt_id=f"r{key}", remaining_ms=4_200, prompt=None
                    ),
                    now_ms=round(now_ms),
                )
                self._reduce(gateway, arrived, now_ms, action)
            case ("hear", gateway, load_event):
                list(
                    reducer.reduce(
                        gateway,
                        events.PeerLoadReceived(
                            load_events=(load_event,), now_ms=round(now_ms)
                        ),
                    )
                )
            case ("done", runner, (_, key, _, gateway, at_ms) as request):
                runner.busy -= 1
                self.took_ms_by_key[key] = now_ms - at_ms
                begun = events.AnswerStarted(
                    request_key=key, now_ms=round(now_ms)
                )
                self._reduce(gateway, begun, now_ms, request)
                ended = events.Ended(
                    request_key=key,
                    is_complete=True,
                    is_success=True,
                    now_ms=round(now_ms),
                )
                self._reduce(gateway, ended, now_ms, request)
                if runner.queue:
                    self._start(runner, runner.queue.pop(0), now_ms)

    def _reduce(
        self, gateway: Any, event: Any, now_ms: float, request: Any
    ) -> None:
        for effect in list(reducer.reduce(gateway, event)):
            match effect:
                case events.BroadcastLoad(load_event=load_event):
                    for other in self.gateways:
                        if other is not gateway:
                            self._schedule(
                                now_ms + self.event_delay_ms,
                                ("hear", other, load_event),
                            )
                case events.Refuse(refusal=refusal):
                    self.refusals.append(refusal)
                case protocol.Send() as send:
                    self._send(send.upstream.upstream_id, request, now_ms)

    def _send(self, name: str, request: Any, now_ms: float) -> None:
        self.sent_by_id[name] = self.sent_by_id.get(name, 0) + 1
        runner = self._runner_by_id[name]
        if runner.busy < SLOTS:
            self._start(runner, request, now_ms)
        elif len(runner.queue) < QUEUE:
            runner.queue.append(request)
        else:
            self.sheds += 1
            _, key, _, gateway, _ = request
            failed = events.PhaseFailed(
                request_key=key,
                run=refusal_lib.RunState.NOT_RUN,
                reason="full",
                now_ms=round(now_ms),
                answered=True,
                status=503,
                runner_failed=False,
            )
            self._reduce(gateway, failed, now_ms, request)

    def _start(self, runner: _Runner, request: Any, now_ms: float) -> None:
        runner.busy += 1
        work_ms = self.work_ms_by_route[request[2]] * runner.factor
        took_ms = work_ms * self._random.uniform(0.7, 1.3)
        self._schedule(now_ms + took_ms, ("done", runner, request))
