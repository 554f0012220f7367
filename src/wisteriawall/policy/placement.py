"""Engine choice for a prompt, by the forecast time to its first token.

The forecast covers three load patterns:

- Bursts of long prompts. Prefill is the bottleneck of the engines, so an
  engine's load is the prefill time of its pending prompts and not a count of
  requests. Queued prompts count in full.
- Cold start, and popular subjects. Prompts about one subject share parts. A
  part that an engine has cached, or will have cached by an earlier request,
  needs no second prefill there. Requests with the same parts are therefore
  mostly sent to the same engine.
- Several gateways. Each broadcasts the requests that it sends, so that all of
  them forecast from the same load. What others sent in the last few tens of
  milliseconds is not known yet. Prompts of different subjects therefore prefer
  different engines among those of similar cost, and prompts of one subject the
  same engine.
"""

from collections import OrderedDict
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
from typing import TypeAlias
from typing import final
import zlib

from wisteriawall.policy import engine_speeds

__all__ = [
    "Candidate",
    "EngineLoad",
    "EnginePair",
    "Options",
    "Placement",
    "PrefillSpeeds",
    "Progress",
    "Prompt",
    "SingleEngine",
    "cheapest",
    "enumerate_placements",
]

# Share of an engine's KV cache that is assumed to hold reusable parts.
MAX_CACHED_SHARE = 0.85
# Share of the KV cache that requests may use before the next one waits.
MAX_RUNNING_SHARE = 0.9
# A prompt that finds the KV cache full waits until a long answer ends.
KV_CACHE_WAIT_MS = 1_000.0
# Speeds change slowly; computing them for every placement takes too long.
SLOWDOWN_INTERVAL_MS = 250
# No request is in progress for longer: the longest deadline is 8 to 9 s.
MAX_REQUEST_MS = 10_000
MAX_CRC32 = 0xFFFF_FFFF


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class PrefillSpeeds:
    """Nominal prefill speeds of engines, before any correction by measurement.

    Prefill engines and decode engines have separate values, because a decode
    engine prefills in smaller chunks between the tokens of its answers.

    Attributes:
        prefill_engine_tokens_per_ms: Prefill rate of a prefill engine.
        decode_engine_tokens_per_ms: Prefill rate of a decode engine.
        prefill_engine_ms_per_mega_pair: Attention cost at a prefill engine,
            for each million pairs of a new token and a token before it.
        decode_engine_ms_per_mega_pair: The same cost at a decode engine.
        first_decode_ms: Time from the end of the prefill to the first token.
        transfer_overhead_ms: Time from the end of the prefill at one engine to
            the start at the other, without the transfer itself.
        running_answer_delay_ms: Delay that each running answer causes.
    """

    prefill_engine_tokens_per_ms: float = 36.0
    decode_engine_tokens_per_ms: float = 14.5
    prefill_engine_ms_per_mega_pair: float = 0.37
    decode_engine_ms_per_mega_pair: float = 0.74
    first_decode_ms: float = 18.0
    transfer_overhead_ms: float = 25.0
    running_answer_delay_ms: float = 2.0


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Options:
    """Weights of the placement decision.

    Attributes:
        speeds: Nominal prefill speeds of the engines.
        pair_cost_ms: Cost of a pair of engines, which is chosen only if it
            saves more time than this.
        occupancy_weight: Cost of each millisecond of prefill, because the
            prompts that arrive later wait for it.
        cross_zone_cost_ms: Cost of an engine in another availability zone.
        spread_ms: Largest cost that is added to spread subjects over engines.
    """

    speeds: PrefillSpeeds = PrefillSpeeds()
    pair_cost_ms: float = 30.0
    occupancy_weight: float = 1.5
    cross_zone_cost_ms: float = 2.0
    spread_ms: float = 20.0


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Prompt:
    """Prompt to place.

    Attributes:
        request_id: Identifier of the request.
        parts: Identifier and token count of each prompt part, in order.
            Prompts that begin with the same parts share their KV cache.
        output_tokens: Expected length of the answer.
        priority_class: Priority class; lower values are served first.
        tokens: Number of tokens in the whole prompt, computed once because the
            forecast for each engine uses it.
    """

    request_id: str
    parts: tuple[tuple[str, int], ...]
    output_tokens: int
    priority_class: int
    tokens: int = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Count the tokens."""
        tokens = sum(tokens for _, tokens in self.parts)
        object.__setattr__(self, "tokens", tokens)

    @property
    def subject(self) -> str:
        """Identifier of the last part that other prompts may share.

        The last part of all belongs to this prompt alone.
        """
        parts = self.parts[:-1] or self.parts
        return parts[-1][0] if parts else self.request_id


@final
@dataclasses.dataclass(slots=True)
class _SentPrompt:
    """Prompt that was sent to an engine and has not ended.

    Attributes:
        prefill_ms: Nominal prefill time.
        priority_class: Priority class; lower values are served first.
        tokens: Tokens of the whole prompt.
        sent_ms: When it was sent.
        part_ids: Identifiers of the prompt's parts.
    """

    prefill_ms: float
    priority_class: int
    tokens: int
    sent_ms: int
    part_ids: tuple[str, ...] = ()


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Progress:
    """A request in progress at an engine, as one gateway tells another.

    `prefill_ms` is nominal, and `has_begun` says that its prefill is complete.
    """

    request_id: str
    prefill_ms: float
    priority_class: int
    tokens: int
    sent_ms: int
    has_begun: bool


@final
class EngineLoad:
    """Requests in progress at one engine, and its presumed KV cache content.

    An engine prefills one prompt at a time, the lowest `priority_class` first.

    Attributes:
        is_prefill_engine: True for an engine that only prefills and transfers
            its KV cache to another.
        slowdown: Expected prefill time divided by the nominal one: 2.0 means
            half the speed.
        uncertainty: Standard error of `slowdown`, as a share of it.
        speed: Learned speed, from which `slowdown` is computed.
    """

    __slots__ = (
        "_active_id",
        "_active_since_ms",
        "_cached_tokens",
        "_cached_tokens_by_part",
        "_kv_cache_tokens",
        "_pending_by_id",
        "_running_by_id",
        "_service_revision",
        "_slowdown_ms",
        "is_prefill_engine",
        "slowdown",
        "speed",
        "uncertainty",
    )

    def __init__(
        self,
        *,
        kv_cache_tokens: int,
        is_prefill_engine: bool,
        service_speed: engine_speeds.ServiceSpeed | None = None,
    ) -> None:
        self.set_stage(
            is_prefill_engine=is_prefill_engine,
            service_speed=service_speed
            or engine_speeds.ServiceSpeed(
                prior_overhead_ms=PrefillSpeeds().first_decode_ms
            ),
        )
        self._kv_cache_tokens = kv_cache_tokens
        self._pending_by_id: OrderedDict[str, _SentPrompt] = OrderedDict()
        self._running_by_id: OrderedDict[str, _SentPrompt] = OrderedDict()
        self._cached_tokens_by_part: OrderedDict[str, int] = OrderedDict()
        self._cached_tokens = 0
        self._active_since_ms = 0
        self._active_id = ""

    def set_stage(
        self,
        *,
        is_prefill_engine: bool,
        service_speed: engine_speeds.ServiceSpeed,
    ) -> None:
        """Begin a stage, with the speed of the service's engines in it."""
        self.is_prefill_engine = is_prefill_engine
        self.speed = engine_speeds.EngineSpeed(service_speed)
        self._update_slowdown(0)

    def set_kv_cache_tokens(self, tokens: int) -> None:
        """Replace the capacity of the engine's KV cache."""
        self._kv_cache_tokens = tokens

    @property
    def in_flight(self) -> int:
        """Number of requests that were sent and have not ended."""
        return len(self._pending_by_id) + len(self._running_by_id)

    @property
    def pending_prefills(self) -> int:
        """Number of prompts whose first token has not arrived."""
        return len(self._pending_by_id)

    @property
    def pending_work_ms(self) -> float:
        """Nominal work of the requests in `pending_prefills`."""
        return sum(sent.prefill_ms for sent in self._pending_by_id.values())

    def uncached_tokens(self, parts: Iterable[tuple[str, int]]) -> int:
        """Return the tokens that the engine would have to prefill.

        A part is reused only if every part before it is cached too.
        """
        uncached = 0
        for part, tokens in parts:
            if uncached or part not in self._cached_tokens_by_part:
                uncached += tokens
        return uncached

    def wait_ms(self, *, now_ms: int, priority_class: int) -> float:
        """Return the time until the prefill of a new prompt starts.

        The engine finishes its active prefill first, then the prompts of the
        same or a more urgent `priority_class`.
        """
        total = 0.0
        for request_id, sent in self._pending_by_id.items():
            if request_id == self._active_id:
                elapsed_ms = now_ms - self._active_since_ms
                total += max(0.0, sent.prefill_ms * self.slowdown - elapsed_ms)
            elif sent.priority_class <= priority_class:
                total += sent.prefill_ms * self.slowdown
        return total

    def prefill_ms(
        self, speeds: PrefillSpeeds, *, uncached_tokens: int, tokens: int
    ) -> float:
        """Return the nominal prefill time of a prompt's uncached end.

        Args:
            speeds: Nominal speeds.
            uncached_tokens: Tokens to prefill, at the end of the prompt.
            tokens: Tokens of the whole prompt.
        """
        mega_pairs = uncached_tokens * (tokens - uncached_tokens / 2) / 1e6
        if self.is_prefill_engine:
            rate = speeds.prefill_engine_tokens_per_ms
            pairs_ms = mega_pairs * speeds.prefill_engine_ms_per_mega_pair
        else:
            rate = speeds.decode_engine_tokens_per_ms
            pairs_ms = mega_pairs * speeds.decode_engine_ms_per_mega_pair
        return uncached_tokens / rate + pairs_ms

    def must_wait_for_kv_cache(self, tokens: int) -> bool:
        """Return whether a prompt would wait until the KV cache has space."""
        used = tokens
        for sent in self._pending_by_id.values():
            used += sent.tokens
        for sent in self._running_by_id.values():
            used += sent.tokens
        return used > MAX_RUNNING_SHARE * self._kv_cache_tokens

    def request_sent(
        self,
        request_id: str,
        parts: tuple[tuple[str, int], ...],
        *,
        prefill_ms: float,
        priority_class: int,
        now_ms: int,
    ) -> None:
        """Record a prompt that some gateway sent to the engine."""
        tokens = sum(tokens for _, tokens in parts)
        self._pending_by_id[request_id] = _SentPrompt(
            prefill_ms,
            priority_class,
            tokens,
            now_ms,
            tuple(part for part, _ in parts),
        )
        self._select_active(now_ms)
        self._cache_parts(parts)

    def first_token_received(self, request_id: str, *, now_ms: int) -> None:
        """Record the first token of a request: its prefill is complete."""
        sent = self._pending_by_id.pop(request_id, None)
        if sent is not None:
            self._running_by_id[request_id] = sent
            self._finish_prefill(sent, now_ms)

    def request_ended(self, request_id: str, *, now_ms: int) -> None:
        """Record the end or failure of a request."""
        self._running_by_id.pop(request_id, None)
        sent = self._pending_by_id.pop(request_id, None)
        if sent is not None:
            self._finish_prefill(sent, now_ms)

    def has_request(self, request_id: str) -> bool:
        """Return whether a request is known to be in progress."""
        return (
            request_id in self._pending_by_id
            or request_id in self._running_by_id
        )

    @property
    def requests_in_progress(self) -> list[Progress]:
        """Requests that were sent and have not ended, the newest first."""
        progress = [
            Progress(
                request_id=request_id,
                prefill_ms=sent.prefill_ms,
                priority_class=sent.priority_class,
                tokens=sent.tokens,
                sent_ms=sent.sent_ms,
                has_begun=has_begun,
            )
            for by_id, has_begun in (
                (self._pending_by_id, False),
                (self._running_by_id, True),
            )
            for request_id, sent in by_id.items()
        ]
        return sorted(progress, key=lambda p: p.sent_ms, reverse=True)

    def restore_request(self, progress: Progress, *, now_ms: int) -> None:
        """Record a request in progress that another gateway knows of.

        It must be older than those restored before it.
        """
        if self.has_request(progress.request_id):
            return
        by_id = (
            self._running_by_id if progress.has_begun else self._pending_by_id
        )
        by_id[progress.request_id] = _SentPrompt(
            progress.prefill_ms,
            progress.priority_class,
            progress.tokens,
            progress.sent_ms,
        )
        # Requests expire in this order.
        by_id.move_to_end(progress.request_id, last=False)
        self._select_active(now_ms)

    @property
    def cached_parts(self) -> list[tuple[str, int]]:
        """Parts presumed to be cached, the most recently used first."""
        return list(reversed(self._cached_tokens_by_part.items()))

    @property
    def settled_parts(self) -> frozenset[str]:
        """Cached parts, without those that a pending prompt brings."""
        pending = {
            part
            for sent in self._pending_by_id.values()
            for part in sent.part_ids
        }
        return frozenset(self._cached_tokens_by_part.keys() - pending)

    def restore_parts(
        self,
        parts: Iterable[tuple[str, int]],
        *,
        absent: Collection[str] = (),
    ) -> int:
        """Record parts that the engine holds; return how many were not known.

        They count as less recently used than the parts that are known.

        Args:
            parts: Identifier and token count, the most valuable first.
            absent: Parts that the engine does not hold, as far as no pending
                prompt brings them.
        """
        for part in self.settled_parts.intersection(absent):
            self._cached_tokens -= self._cached_tokens_by_part.pop(part)
        known_before = len(self._cached_tokens_by_part)
        for part, tokens in parts:
            if part not in self._cached_tokens_by_part:
                self._cached_tokens_by_part[part] = tokens
                self._cached_tokens_by_part.move_to_end(part, last=False)
                self._cached_tokens += tokens
        restored = len(self._cached_tokens_by_part) - known_before
        self._evict_parts()
        return restored

    def drop_expired(self, now_ms: int) -> None:
        """Drop requests that can't be in progress any more.

        Their end is not received if their gateway was killed or its datagram
        was lost.
        """
        for by_id in (self._pending_by_id, self._running_by_id):
            while by_id:
                request_id, oldest = next(iter(by_id.items()))
                if now_ms - oldest.sent_ms < MAX_REQUEST_MS:
                    break
                del by_id[request_id]
        self._select_active(now_ms)
        # The service's first measurements count at once.
        if (
            self._service_revision != self.speed.service.revision
            or now_ms - self._slowdown_ms >= SLOWDOWN_INTERVAL_MS
        ):
            self._update_slowdown(now_ms)

    def measure_prefill(self, request_id: str, *, now_ms: int) -> float | None:
        """Return the measured time of a prefill divided by the nominal one.

        Called when the gateway that sent the prompt sees its prefill end. The
        prefill began when the prompt was sent to an idle engine, or when the
        one before it ended. Returns None if neither is known, or if the
        prefill is too short to measure.
        """
        sent = self._pending_by_id.get(request_id)
        if (
            sent is None
            or request_id != self._active_id
            or sent.prefill_ms < engine_speeds.MIN_NOMINAL_MS
        ):
            return None
        elapsed_ms: float = now_ms - self._active_since_ms
        if self._active_since_ms == sent.sent_ms:
            # Both ends of a prefill after another one are reported late by the
            # same time, which therefore counts only here.
            service = self.speed.service
            overhead_ms = elapsed_ms - sent.prefill_ms * self.speed.typical
            elapsed_ms -= service.overhead_ms
            service.add_overhead(overhead_ms)
        return max(0.0, elapsed_ms) / sent.prefill_ms

    def add_measurement(
        self, request_id: str, ratio: float, *, now_ms: int
    ) -> None:
        """Learn from a prefill that this or another gateway measured.

        Args:
            request_id: The request, whose prefill ends now.
            ratio: Measured prefill time divided by the nominal one.
            now_ms: Monotonic clock.
        """
        sent = self._pending_by_id.get(request_id)
        nominal_ms = sent.prefill_ms if sent else 0.0
        self.speed.add(
            ratio,
            nominal_ms=max(engine_speeds.MIN_NOMINAL_MS, nominal_ms),
            now_ms=now_ms,
        )

    def _update_slowdown(self, now_ms: int) -> None:
        self._slowdown_ms = now_ms
        self._service_revision = self.speed.service.revision
        self.speed.update(now_ms)
        self.slowdown = self.speed.slowdown
        self.uncertainty = self.speed.uncertainty

    def _select_active(self, now_ms: int) -> None:
        """Select the most urgent pending prompt if none is active."""
        if not self._pending_by_id:
            return
        active = self._pending_by_id.get(self._active_id)
        # A prompt that is decoded after a prefill elsewhere needs none here.
        if active is not None and active.prefill_ms > 0:
            return
        self._active_id = min(
            self._pending_by_id,
            key=lambda name: (
                self._pending_by_id[name].prefill_ms <= 0,
                self._pending_by_id[name].priority_class,
            ),
        )
        self._active_since_ms = now_ms

    def _finish_prefill(self, sent: _SentPrompt, now_ms: int) -> None:
        """Start the next prefill now that a prompt has been completed.

        A prompt that is only decoded here doesn't delay the active prefill.
        """
        if sent.prefill_ms > 0:
            self._active_since_ms = now_ms
        self._select_active(now_ms)

    def _cache_parts(self, parts: Iterable[tuple[str, int]]) -> None:
        for part, tokens in parts:
            previous = self._cached_tokens_by_part.pop(part, 0)
            self._cached_tokens_by_part[part] = tokens
            self._cached_tokens += tokens - previous
        self._evict_parts()

    def _evict_parts(self) -> None:
        while self._cached_tokens > MAX_CACHED_SHARE * self._kv_cache_tokens:
            _, tokens = self._cached_tokens_by_part.popitem(last=False)
            self._cached_tokens -= tokens


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Candidate:
    """Engine that may serve the prompt."""

    upstream_id: str
    load: EngineLoad
    same_zone: bool


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class SingleEngine:
    """Placement on one engine for both prefill and decode.

    Attributes:
        upstream_id: The engine.
        uncached_tokens: Tokens that it has to prefill.
        wait_ms: Forecast time until the prefill starts.
        first_token_ms: Forecast time to the first token, `wait_ms` included.
        cost_ms: `first_token_ms` plus the penalties of `Options`.
    """

    upstream_id: str
    uncached_tokens: int
    wait_ms: float
    first_token_ms: float
    cost_ms: float

    @property
    def prefill_upstream_id(self) -> str:
        """Identifier of the engine that does the prefill."""
        return self.upstream_id


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class EnginePair:
    """Placement on a prefill engine, with a KV transfer to a second engine.

    `prefill_id` does the prefill and `upstream_id` the decode. The other fields
    are those of `SingleEngine`.
    """

    prefill_id: str
    upstream_id: str
    uncached_tokens: int
    wait_ms: float
    first_token_ms: float
    cost_ms: float

    @property
    def prefill_upstream_id(self) -> str:
        """Identifier of the engine that does the prefill."""
        return self.prefill_id


Placement: TypeAlias = SingleEngine | EnginePair


def cheapest(placements: Iterable[Placement]) -> Placement | None:
    """Return the placement with the lowest cost, None without any."""
    return min(placements, key=_cost, default=None)


def enumerate_placements(
    prompt: Prompt,
    candidates: list[Candidate],
    *,
    transfer_ms_per_token: float,
    now_ms: int,
    options: Options,
) -> Iterator[Placement]:
    """Yield the possible placements of a prompt with their forecasts.

    These are each decode engine alone, and each prefill engine paired with the
    least busy decode engine. Without a decode engine nothing is yielded.

    Args:
        prompt: The prompt to place.
        candidates: Engines that may serve it.
        transfer_ms_per_token: KV transfer time of one prompt token.
        now_ms: Monotonic clock.
        options: Weights of the decision.
    """
    decode_engines = [c for c in candidates if not c.load.is_prefill_engine]
    for candidate in decode_engines:
        yield _forecast_single(prompt, candidate, now_ms, options)
    if not decode_engines:
        return
    least_busy = min(
        decode_engines,
        key=lambda c: (
            _wait_ms(c, prompt, now_ms, options)
            + c.load.in_flight * options.speeds.running_answer_delay_ms
            + _zone_penalty_ms(c, options)
        ),
    )
    for prefill_engine in candidates:
        if prefill_engine.load.is_prefill_engine:
            yield _forecast_pair(
                prompt,
                prefill_engine,
                least_busy,
                transfer_ms=prompt.tokens * transfer_ms_per_token,
                now_ms=now_ms,
                options=options,
            )


def _cost(placement: Placement) -> float:
    return placement.cost_ms


def _wait_ms(
    candidate: Candidate, prompt: Prompt, now_ms: int, options: Options
) -> float:
    wait_ms = candidate.load.wait_ms(
        now_ms=now_ms, priority_class=prompt.priority_class
    )
    if candidate.load.must_wait_for_kv_cache(prompt.tokens):
        wait_ms += KV_CACHE_WAIT_MS
    return wait_ms


def _zone_penalty_ms(candidate: Candidate, options: Options) -> float:
    return 0.0 if candidate.same_zone else options.cross_zone_cost_ms


def _spread_penalty_ms(
    prompt: Prompt, candidate: Candidate, options: Options
) -> float:
    """Return a cost that depends only on the subject and the engine."""
    pair = f"{prompt.subject}/{candidate.upstream_id}".encode()
    return options.spread_ms * zlib.crc32(pair) / MAX_CRC32


def _occupancy_penalty_ms(
    nominal_ms: float, candidate: Candidate, options: Options
) -> float:
    """Return a cost for the prompts that arrive later and wait for this one.

    It is the same at all engines of a service: a slow engine is occupied for
    longer, but fewer prompts go there. Otherwise slow engines would be left
    idle while the others have queues.
    """
    service_ratio = candidate.load.speed.service.ratio
    return options.occupancy_weight * nominal_ms * service_ratio


def _forecast_single(
    prompt: Prompt, candidate: Candidate, now_ms: int, options: Options
) -> SingleEngine:
    wait_ms = _wait_ms(candidate, prompt, now_ms, options)
    uncached_tokens = candidate.load.uncached_tokens(prompt.parts)
    nominal_ms = candidate.load.prefill_ms(
        options.speeds, uncached_tokens=uncached_tokens, tokens=prompt.tokens
    )
    prefill_ms = candidate.load.slowdown * nominal_ms
    first_token_ms = (
        wait_ms + prefill_ms + candidate.load.speed.service.overhead_ms
    )
    return SingleEngine(
        upstream_id=candidate.upstream_id,
        uncached_tokens=uncached_tokens,
        wait_ms=wait_ms,
        first_token_ms=first_token_ms,
        cost_ms=first_token_ms
        + _occupancy_penalty_ms(nominal_ms, candidate, options)
        + _zone_penalty_ms(candidate, options)
        + _spread_penalty_ms(prompt, candidate, options),
    )


def _forecast_pair(
    prompt: Prompt,
    prefill_engine: Candidate,
    decode_engine: Candidate,
    *,
    transfer_ms: float,
    now_ms: int,
    options: Options,
) -> EnginePair:
    wait_ms = _wait_ms(prefill_engine, prompt, now_ms, options)
    uncached_tokens = prefill_engine.load.uncached_tokens(prompt.parts)
    nominal_ms = prefill_engine.load.prefill_ms(
        options.speeds, uncached_tokens=uncached_tokens, tokens=prompt.tokens
    )
    prefill_ms = prefill_engine.load.slowdown * nominal_ms
    transferred_ms = (
        wait_ms + prefill_ms + options.speeds.transfer_overhead_ms + transfer_ms
    )
    # The decode engine finishes its active prefill first.
    decode_wait_ms = _wait_ms(decode_engine, prompt, now_ms, options)
    first_token_ms = (
        max(transferred_ms, decode_wait_ms) + options.speeds.first_decode_ms
    )
    return EnginePair(
        prefill_id=prefill_engine.upstream_id,
        upstream_id=decode_engine.upstream_id,
        uncached_tokens=uncached_tokens,
        wait_ms=wait_ms,
        first_token_ms=first_token_ms,
        cost_ms=first_token_ms
        + options.pair_cost_ms
        + _occupancy_penalty_ms(nominal_ms, prefill_engine, options)
        + _spread_penalty_ms(prompt, prefill_engine, options)
        + _zone_penalty_ms(prefill_engine, options)
        + _zone_penalty_ms(decode_engine, options),
    )
