"""Replay of request traces in virtual time, without processes or sockets.

The real gateway reducers dispatch the requests to simple models of engines.
"""

from collections.abc import Iterable
from collections.abc import Iterator
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
from wisteriawall.wire import gateway_messages

HOST = "app.example"
KV_CACHE_TOKENS = 500_000
UPDATE_DELAY_MS = 2
PREFILL_TOKENS_PER_MS = 33.0
DECODE_TOKENS_PER_MS = 14.0
DEADLINE_MS = 8_000
STALL_FACTOR = 2.5
FIRST_TOKEN_MS = 15


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
        shares=[route_table.ServiceWeight("model", 1)],
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
            engine=route_table.EngineCapacity(
                slots=64,
                memory_tokens=KV_CACHE_TOKENS,
                token_bytes=327_680,
                link_bits_per_ms=3.2e9,
            ),
        )
    ],
)


def upstream(
    name: str, stage: gateway_messages.Stage
) -> gateway_messages.Upstream:
    """Return an engine of the model service."""
    return gateway_messages.Upstream(
        upstream_id=name,
        service="model",
        address=f"{name}:1",
        zone="z1",
        slots=64,
        stage=stage,
    )


def gateway(
    upstreams: list[gateway_messages.Upstream],
    tuning: state_lib.Tuning | None = None,
) -> state_lib.Gateway:
    """Return a gateway with the routing table and these engines."""
    state = state_lib.Gateway(
        name="g1",
        zone="z1",
        random=random.Random(1),
        tuning=tuning or state_lib.Tuning(),
        retries=retry_window.RetryWindow(window_ms=10_000, ratio=0.1, slack=4),
    )
    upstream_list = gateway_messages.UpstreamList(1, 1, upstreams)
    update = events.ControlUpdate(
        table=TABLE, upstreams=upstream_list, gateway_count=1, now_ms=0
    )
    list(reducer.reduce(state, update))
    return state


@dataclasses.dataclass(slots=True, frozen=True)
class Request:
    """One request of a trace; `deadline_ms` counts from its arrival."""

    at_ms: int
    route: str
    parts: tuple[tuple[str, int], ...]
    deadline_ms: int = DEADLINE_MS


@dataclasses.dataclass(slots=True)
class Result:
    """Outcome of a replayed trace.

    Attributes:
        first_token_ms_by_key: Time to the first token of each served request.
        refusals: Refusals of the other requests.
        prefilled_tokens: Tokens that the engines prefilled.
    """

    first_token_ms_by_key: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    refusals: list[Any] = dataclasses.field(default_factory=list)
    prefilled_tokens: int = 0

    def in_time(self, target_latency_ms: float, name: str = "") -> int:
        """Return how many answers began within the target latency.

        Only requests of the route `name` are counted, all if it is empty.
        """
        return sum(
            first_token_ms <= target_latency_ms
            for key, first_token_ms in self.first_token_ms_by_key.items()
            if key.startswith(name)
        )


class _Engine:
    """Model of an engine with an unlimited KV cache.

    It prefills one prompt at a time, the most urgent first.
    """

    def __init__(
        self, stage: gateway_messages.Stage, speed_factor: float
    ) -> None:
        self.tokens_per_ms = DECODE_TOKENS_PER_MS * speed_factor
        if stage is gateway_messages.Stage.PREFILL:
            self.tokens_per_ms = PREFILL_TOKENS_PER_MS * speed_factor
        self.waiting: list[tuple[int, int, Any]] = []
        self.is_busy = False
        self.cached_parts: set[str] = set()


class Replay:
    """Replays a trace through gateways that share engines.

    Args:
        gateways: Each request goes to the next of them in turn.
        share_load: Whether gateways broadcast load events to each other.
        update_delay_ms: Time that a load event takes.
        speed_factor_by_id: Speed of engines relative to the nominal one.
        stall_share: Share of the prefills that take `STALL_FACTOR` times as
            long.
        overlaps_decoding: Whether engines decode while they prefill. Without
            it, each decoding step occupies the engine.
    """

    def __init__(
        self,
        gateways: list[state_lib.Gateway],
        *,
        share_load: bool = True,
        update_delay_ms: int = UPDATE_DELAY_MS,
        speed_factor_by_id: Mapping[str, float] | None = None,
        stall_share: float = 0.0,
        overlaps_decoding: bool = False,
    ) -> None:
        """Create a model for each engine of the first gateway."""
        self._update_delay_ms = update_delay_ms
        self._gateways = gateways
        self._share_load = share_load
        self._stall_share = stall_share
        self._overlaps_decoding = overlaps_decoding
        self._random = random.Random(7)
        self._engine_by_id = {
            name: _Engine(
                engine.stage, (speed_factor_by_id or {}).get(name, 1.0)
            )
            for name, engine in gateways[0].upstream_by_id.items()
        }
        self._event_numbers = itertools.count()
        self._event_heap: list[tuple[float, int, Any]] = []
        self.result = Result()
        self.dispatched_upstream_ids: list[str] = []

    def play(self, requests: Iterable[Request]) -> Result:
        """Replay the requests, and return their outcome."""
        gateway_cycle = itertools.cycle(self._gateways)
        for number, request in enumerate(requests):
            self._schedule(
                request.at_ms,
                (
                    "arrive",
                    f"{request.route}-{number}",
                    request,
                    next(gateway_cycle),
                ),
            )
        while self._event_heap:
            now_ms, _, action = heapq.heappop(self._event_heap)
            self._process(now_ms, action)
        return self.result

    def _schedule(self, at_ms: float, action: Any) -> None:
        heapq.heappush(
            self._event_heap, (at_ms, next(self._event_numbers), action)
        )

    def _process(self, now_ms: float, action: Any) -> None:
        match action:
            case ("arrive", key, request, gateway):
                self._reduce(
                    gateway,
                    key,
                    request,
                    _arrival(key, request, now_ms),
                    now_ms,
                )
            case ("update", gateway, step):
                update = events.PeerLoadReceived(
                    load_events=(step,), now_ms=round(now_ms)
                )
                list(reducer.reduce(gateway, update))
            case ("prefilled", engine, request, ended):
                engine.is_busy = False
                engine.cached_parts.update(part for part, _ in request.parts)
                if ended is not None:
                    key, gateway, send = ended
                    self._complete_prefill(now_ms, key, request, gateway, send)
                self._start_next(engine, now_ms)
            case ("decoding", key, request, gateway, send):
                self._complete_prefill(now_ms, key, request, gateway, send)
            case ("end", key, gateway):
                ended = events.Ended(
                    request_key=_request_key(key),
                    is_complete=True,
                    now_ms=round(now_ms),
                )
                self._forward_updates(
                    gateway, reducer.reduce(gateway, ended), now_ms
                )

    def _complete_prefill(
        self,
        now_ms: float,
        key: str,
        request: Request,
        gateway: Any,
        send: protocol.Send,
    ) -> None:
        if send.phase is protocol.Phase.PREFILL:
            done = events.PrefillDone(
                request_key=_request_key(key),
                transfer_handle="h",
                now_ms=round(now_ms),
            )
            self._reduce(gateway, key, request, done, now_ms)
            return
        self.result.first_token_ms_by_key[key] = now_ms - request.at_ms
        answer_started = events.AnswerStarted(
            request_key=_request_key(key), now_ms=round(now_ms)
        )
        self._reduce(gateway, key, request, answer_started, now_ms)
        self._schedule(now_ms + 300, ("end", key, gateway))

    def _reduce(
        self,
        gateway: Any,
        key: str,
        request: Request,
        event: Any,
        now_ms: float,
    ) -> None:
        for effect in self._forward_updates(
            gateway, reducer.reduce(gateway, event), now_ms
        ):
            match effect:
                case events.Refuse(refusal=refusal):
                    self.result.refusals.append(refusal)
                case protocol.Send() as send:
                    self._send(now_ms, key, request, gateway, send)

    def _forward_updates(
        self, gateway: Any, effects: Iterator[Any], now_ms: float
    ) -> list[Any]:
        other_effects = []
        for effect in effects:
            if not isinstance(effect, events.BroadcastLoad):
                other_effects.append(effect)
            elif self._share_load:
                for receiver in self._gateways:
                    if receiver is not gateway:
                        action = ("update", receiver, effect.load_event)
                        self._schedule(now_ms + self._update_delay_ms, action)
        return other_effects

    def _send(
        self,
        now_ms: float,
        key: str,
        request: Request,
        gateway: Any,
        send: protocol.Send,
    ) -> None:
        self.dispatched_upstream_ids.append(send.upstream.upstream_id)
        engine = self._engine_by_id[send.upstream.upstream_id]
        if self._overlaps_decoding and send.phase is protocol.Phase.DECODE:
            action = ("decoding", key, request, gateway, send)
            engine.cached_parts.update(part for part, _ in request.parts)
            self._schedule(now_ms + FIRST_TOKEN_MS, action)
            return
        waiting = (key, request, gateway, send)
        heapq.heappush(
            engine.waiting,
            (send.priority_class, next(self._event_numbers), waiting),
        )
        self._start_next(engine, now_ms)

    def _start_next(self, engine: _Engine, now_ms: float) -> None:
        if engine.is_busy or not engine.waiting:
            return
        _, _, (key, request, gateway, send) = heapq.heappop(engine.waiting)
        uncached_tokens = 0
        if send.phase is not protocol.Phase.DECODE:
            for part, tokens in request.parts:
                if uncached_tokens or part not in engine.cached_parts:
                    uncached_tokens += tokens
        self.result.prefilled_tokens += uncached_tokens
        engine.is_busy = True
        prefill_ms = uncached_tokens / engine.tokens_per_ms
        if self._random.random() < self._stall_share:
            prefill_ms *= STALL_FACTOR
        if self._overlaps_decoding:
            self._schedule(
                now_ms + prefill_ms + FIRST_TOKEN_MS,
                ("decoding", key, request, gateway, send),
            )
            done: Any = ("prefilled", engine, request, None)
        else:
            prefill_ms += FIRST_TOKEN_MS
            done = ("prefilled", engine, request, (key, gateway, send))
        self._schedule(now_ms + prefill_ms, done)


def _request_key(key: str) -> int:
    """Return the number at the end of a request's id."""
    return int(key.rpartition("-")[2])


def _arrival(key: str, request: Request, now_ms: float) -> events.Arrived:
    prompt = protocol.PromptTokens(
        model="m",
        parts=request.parts,
        input_tokens=sum(tokens for _, tokens in request.parts),
        output_tokens=20,
    )
    return events.Arrived(
        request_key=_request_key(key),
        request_id=key,
        host=HOST,
        path=f"/{request.route}/x",
        head=protocol.RequestHead(
            attempt_id=key, remaining_ms=request.deadline_ms, prompt=prompt
        ),
        now_ms=round(now_ms),
    )
