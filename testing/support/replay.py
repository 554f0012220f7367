"""Replay of load in virtual time: gateways' reducers before model engines."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import heapq
import itertools
import random
from typing import Any

from wisteriawall.config import route_table
from wisteriawall.gateway import calls
from wisteriawall.gateway import events
from wisteriawall.gateway import reducer
from wisteriawall.gateway import state as state_lib
from wisteriawall.policy import retry_window
from wisteriawall.wire import site_messages

HOST = "app.example"
MEMORY_TOKENS = 500_000
NEWS_MS = 2
PREFILL_TOKENS_PER_MS = 33.0
DECODE_TOKENS_PER_MS = 14.0
DEADLINE_MS = 8_000


def route(name: str, *, goal_ms: int, rank: int) -> route_table.Route:
    """Return a streaming route of the model service."""
    return route_table.Route(
        name=name,
        host=HOST,
        prefix=f"/{name}/",
        kind=route_table.RequestKind.STREAM,
        timeout_ms=DEADLINE_MS,
        goal_ms=goal_ms,
        pause_goal_ms=200,
        rank=rank,
        shares=[route_table.Share("model", 1)],
    )


TABLE = route_table.RouteTable(
    number=1,
    routes=[
        route("brief", goal_ms=600, rank=2),
        route("caption", goal_ms=400, rank=0),
    ],
    services=[
        route_table.RoutedService(
            name="model",
            health_path="/health",
            max_connections=100,
            engine=route_table.EngineTraits(
                slots=64,
                memory_tokens=MEMORY_TOKENS,
                token_bytes=327_680,
                link_bits_per_ms=3.2e9,
            ),
        )
    ],
)


def upstream(name: str, stage: site_messages.Stage) -> site_messages.Upstream:
    """Return an engine of the model service."""
    return site_messages.Upstream(
        upstream_id=name,
        service="model",
        address=f"{name}:1",
        zone="z1",
        slots=64,
        stage=stage,
    )


def gateway(
    upstreams: list[site_messages.Upstream],
    tuning: state_lib.Tuning | None = None,
) -> state_lib.Gateway:
    """Return a gateway that knows the table and these engines."""
    known = state_lib.Gateway(
        name="g1",
        zone="z1",
        random=random.Random(1),
        tuning=tuning or state_lib.Tuning(),
        retries=retry_window.RetryWindow(window_ms=10_000, ratio=0.1, slack=4),
    )
    listed = site_messages.UpstreamList(1, 1, upstreams)
    learned = events.Learned(
        table=TABLE, upstreams=listed, gateways=1, now_ms=0
    )
    list(reducer.reduce(known, learned))
    return known


@dataclasses.dataclass(slots=True, frozen=True)
class Ask:
    """One request of the load; `deadline_ms` is what its caller has left."""

    at_ms: int
    route: str
    parts: tuple[tuple[str, int], ...]
    deadline_ms: int = DEADLINE_MS


@dataclasses.dataclass(slots=True)
class Result:
    """What became of a load; `first_ms_by_key` holds times to first tokens."""

    first_ms_by_key: dict[str, float] = dataclasses.field(default_factory=dict)
    refusals: list[Any] = dataclasses.field(default_factory=list)
    read_tokens: int = 0

    def in_time(self, goal_ms: float, name: str = "") -> int:
        """Return how many requests of a route began within the goal."""
        return sum(
            first_ms <= goal_ms
            for key, first_ms in self.first_ms_by_key.items()
            if key.startswith(name)
        )


class _Engine:
    """Read one prompt at a time, the most urgent first, and remember it."""

    def __init__(self, stage: site_messages.Stage) -> None:
        self.rate = DECODE_TOKENS_PER_MS
        if stage is site_messages.Stage.PREFILL:
            self.rate = PREFILL_TOKENS_PER_MS
        self.waiting: list[tuple[int, int, Any]] = []
        self.busy = False
        self.known: set[str] = set()


class Replay:
    """Play a load against gateways that share engines.

    Args:
        gateways: Each request goes to the next of them in turn.
        told: Whether gateways hear of each other's steps.
    """

    def __init__(
        self, gateways: list[state_lib.Gateway], *, told: bool = True
    ) -> None:
        """Take the engines that the first gateway knows."""
        self._gateways = gateways
        self._told = told
        self._engine_by_id = {
            name: _Engine(known.stage)
            for name, known in gateways[0].upstream_by_id.items()
        }
        self._numbers = itertools.count()
        self._due: list[tuple[float, int, Any]] = []
        self.result = Result()
        self.sent_to: list[str] = []

    def play(self, asks: Iterable[Ask]) -> Result:
        """Return what became of the load."""
        turns = itertools.cycle(self._gateways)
        for number, ask in enumerate(asks):
            self._at(
                ask.at_ms, ("ask", f"{ask.route}-{number}", ask, next(turns))
            )
        while self._due:
            now_ms, _, what = heapq.heappop(self._due)
            self._step(now_ms, what)
        return self.result

    def _at(self, at_ms: float, what: Any) -> None:
        heapq.heappush(self._due, (at_ms, next(self._numbers), what))

    def _step(self, now_ms: float, what: Any) -> None:
        match what:
            case ("ask", key, ask, home):
                self._reduce(home, key, ask, _arrived(key, ask, now_ms), now_ms)
            case ("tell", home, step):
                heard = events.Heard(events=(step,), now_ms=round(now_ms))
                list(reducer.reduce(home, heard))
            case ("read", engine, key, ask, home, send):
                engine.busy = False
                engine.known.update(part for part, _ in ask.parts)
                self._read(now_ms, key, ask, home, send)
                self._next(engine, now_ms)
            case ("end", key, home):
                ended = events.Ended(key=key, whole=True, now_ms=round(now_ms))
                self._carry(home, reducer.reduce(home, ended), now_ms)

    def _read(
        self, now_ms: float, key: str, ask: Ask, home: Any, send: calls.Send
    ) -> None:
        if send.leg is calls.Leg.READ:
            done = events.PromptRead(key=key, handle="h", now_ms=round(now_ms))
            self._reduce(home, key, ask, done, now_ms)
            return
        self.result.first_ms_by_key[key] = now_ms - ask.at_ms
        began = events.Began(key=key, now_ms=round(now_ms))
        self._reduce(home, key, ask, began, now_ms)
        self._at(now_ms + 300, ("end", key, home))

    def _reduce(
        self, home: Any, key: str, ask: Ask, event: Any, now_ms: float
    ) -> None:
        for effect in self._carry(home, reducer.reduce(home, event), now_ms):
            match effect:
                case events.Refuse(refusal=refusal):
                    self.result.refusals.append(refusal)
                case calls.Send() as send:
                    self._send(now_ms, key, ask, home, send)

    def _carry(
        self, home: Any, effects: Iterator[Any], now_ms: float
    ) -> list[Any]:
        rest = []
        for effect in effects:
            if not isinstance(effect, events.Tell):
                rest.append(effect)
            elif self._told:
                for other in self._gateways:
                    if other is not home:
                        told = ("tell", other, effect.event)
                        self._at(now_ms + NEWS_MS, told)
        return rest

    def _send(
        self, now_ms: float, key: str, ask: Ask, home: Any, send: calls.Send
    ) -> None:
        self.sent_to.append(send.upstream.upstream_id)
        engine = self._engine_by_id[send.upstream.upstream_id]
        waiting = (key, ask, home, send)
        heapq.heappush(
            engine.waiting, (send.urgency, next(self._numbers), waiting)
        )
        self._next(engine, now_ms)

    def _next(self, engine: _Engine, now_ms: float) -> None:
        if engine.busy or not engine.waiting:
            return
        _, _, (key, ask, home, send) = heapq.heappop(engine.waiting)
        unread = 0
        if send.leg is not calls.Leg.CONTINUE:
            for part, tokens in ask.parts:
                if unread or part not in engine.known:
                    unread += tokens
        self.result.read_tokens += unread
        engine.busy = True
        done_ms = now_ms + 15 + unread / engine.rate
        self._at(done_ms, ("read", engine, key, ask, home, send))


def _arrived(key: str, ask: Ask, now_ms: float) -> events.Arrived:
    prompt = calls.PromptTokens(
        model="m",
        parts=ask.parts,
        input_tokens=sum(tokens for _, tokens in ask.parts),
        output_tokens=20,
    )
    return events.Arrived(
        key=key,
        host=HOST,
        path=f"/{ask.route}/x",
        call=calls.Call(
            attempt_id=key, deadline_ms=ask.deadline_ms, prompt=prompt
        ),
        now_ms=round(now_ms),
    )
