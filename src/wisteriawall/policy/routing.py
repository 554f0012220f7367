"""Choice of the runner, or pair of runners, for one attempt.

The cost of a candidate is the estimated time to the complete answer, plus the
delay that the attempt causes to other answers of the runner. Because of this
delay, prompts concentrate on some runners and streams on others, even if all
runners have the mixed role.

Load reports are stale and several entries choose at the same time. If all
chose the cheapest runner, they would overload it, so the choice is random among
the candidates with a cost near the lowest.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import random
from typing import final

from wisteriawall.policy import speeds
from wisteriawall.wire import fleet

__all__ = [
    "DEFAULT_WORK",
    "Candidate",
    "EstimatedWork",
    "Placement",
    "choose_best_of_two",
    "choose_least_loaded",
    "choose_placement",
    "choose_random",
    "choose_runner",
]

# Candidates within this share above the lowest cost are equally good.
NEAR_BEST_MARGIN = 0.05
CROSS_ZONE_MS = 2.0
ADAPTER_LOAD_MS = 2_000.0
# A pair must save this share of the cost of a single runner.
MIN_PAIR_SAVING_SHARE = 0.1


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class EstimatedWork:
    """Estimated prompt and answer length of one request, in tokens."""

    prompt_tokens: int
    output_tokens: int


DEFAULT_WORK = EstimatedWork(prompt_tokens=256, output_tokens=256)


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Candidate:
    """Runner that may be chosen for an attempt, and its estimated load.

    Attributes:
        runner: Name of the runner.
        waiting_tokens: Prompt tokens that wait for prefill.
        streams: Requests in progress.
        same_zone: Whether it is in the availability zone of the entry.
        role: Role of its engine.
        cached_tokens: Tokens of the prompt's prefix that are probably cached.
        adapter_loaded: Whether the adapter of the request is loaded.
        draining: Whether it accepts no new attempts.
        can_prefill: Whether it can prefill another prompt; it may still decode.
        can_decode: Whether its decode batch has a free slot.
        token_gap_ms: Recently measured time between tokens, 0 if unknown.
        free_pieces: Free KV cache pieces, None if unknown.
    """

    runner: str
    waiting_tokens: int
    streams: int
    same_zone: bool
    role: fleet.Role = fleet.Role.MIXED
    cached_tokens: int = 0
    adapter_loaded: bool = True
    draining: bool = False
    can_prefill: bool = True
    can_decode: bool = True
    token_gap_ms: float = 0.0
    free_pieces: int | None = None

    @property
    def speed(self) -> speeds.EngineSpeed:
        """Nominal speed of an engine in this role."""
        return speeds.SPEED_BY_ROLE[self.role]


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Placement:
    """Runners of one attempt, by name; the same one may do both phases."""

    prefill_runner: str
    decode_runner: str
    cost_ms: float

    @property
    def is_pair(self) -> bool:
        """Whether the KV cache is transferred from one runner to another."""
        return self.prefill_runner != self.decode_runner


def choose_runner(
    candidates: Iterable[Candidate],
    *,
    avoid: frozenset[str],
    work: EstimatedWork = DEFAULT_WORK,
    rng: random.Random | None = None,
) -> str | None:
    """Return the runner for both phases of a request, None without any.

    Args:
        candidates: Runners of the service; draining ones are skipped.
        avoid: Runners that failed this request; chosen only without others.
        work: Estimated tokens of the request.
        rng: Chooses among the candidates of nearly the lowest cost; without it
            the cheapest is chosen.
    """
    usable = _usable(candidates, avoid)
    best = _choose_single(usable, work, rng)
    return best[1].runner if best else None


def choose_placement(
    candidates: Iterable[Candidate],
    *,
    work: EstimatedWork,
    avoid: frozenset[str],
    rng: random.Random | None,
) -> Placement | None:
    """Return the cheaper of a single runner and a prefill-decode pair.

    A pair is chosen if it saves at least `MIN_PAIR_SAVING_SHARE` of the cost,
    KV transfer included, or if no runner of the mixed role can prefill. The
    result is None if no runner at all can prefill.
    """
    usable = _usable(candidates, avoid)
    pair = _choose_pair(usable, work, rng)
    mixed = [c for c in usable if c.role is fleet.Role.MIXED]
    single = _choose_single(usable if pair is None else mixed, work, rng)
    if single is None:
        return pair
    if pair and pair.cost_ms < single[0] * (1 - MIN_PAIR_SAVING_SHARE):
        return pair
    runner = single[1].runner
    return Placement(
        prefill_runner=runner, decode_runner=runner, cost_ms=single[0]
    )


def choose_random(
    candidates: Iterable[Candidate],
    *,
    avoid: frozenset[str],
    rng: random.Random,
) -> str | None:
    """Return a random runner, as a baseline for benchmarks."""
    usable = _usable(candidates, avoid)
    return rng.choice(usable).runner if usable else None


def choose_best_of_two(
    candidates: Iterable[Candidate],
    *,
    avoid: frozenset[str],
    rng: random.Random,
) -> str | None:
    """Return the less loaded of two random runners, as a baseline."""
    usable = _usable(candidates, avoid)
    if not usable:
        return None
    two = rng.sample(usable, min(2, len(usable)))
    return min(two, key=_load_key).runner


def choose_least_loaded(
    candidates: Iterable[Candidate], *, avoid: frozenset[str]
) -> str | None:
    """Return the runner with the fewest streams, as a baseline."""
    best = min(_usable(candidates, avoid), key=_load_key, default=None)
    return best.runner if best else None


def _load_key(candidate: Candidate) -> tuple[int, int]:
    return candidate.streams, candidate.waiting_tokens


def _usable(
    candidates: Iterable[Candidate], avoid: frozenset[str]
) -> list[Candidate]:
    """Return the runners not draining, without `avoid` if others remain."""
    accepting = [c for c in candidates if not c.draining]
    if not avoid:
        return accepting
    return [c for c in accepting if c.runner not in avoid] or accepting


def _pick_near_best(
    cost_candidates: Sequence[tuple[float, Candidate]],
    rng: random.Random | None,
) -> tuple[float, Candidate] | None:
    if not cost_candidates:
        return None
    best = min(cost_candidates, key=lambda pair: pair[0])
    if rng is None:
        return best
    limit_ms = best[0] * (1 + NEAR_BEST_MARGIN)
    near_best = [pair for pair in cost_candidates if pair[0] <= limit_ms]
    return near_best[0] if len(near_best) == 1 else rng.choice(near_best)


def _choose_single(
    usable: Sequence[Candidate], work: EstimatedWork, rng: random.Random | None
) -> tuple[float, Candidate] | None:
    return _pick_near_best(
        [(_total_ms(c, work), c) for c in _prefill_candidates(usable)], rng
    )


def _prefill_candidates(usable: Sequence[Candidate]) -> list[Candidate]:
    """Return the runners that can prefill.

    Those in the decode role are considered only if there are no others.
    """
    in_role = [c for c in usable if c.role is not fleet.Role.DECODE]
    return [c for c in in_role or usable if c.can_prefill]


def _decode_candidates(usable: Sequence[Candidate]) -> list[Candidate]:
    """Return the runners that can decode.

    Those in the prefill role are considered only if there are no others.
    """
    in_role = [c for c in usable if c.role is not fleet.Role.PREFILL]
    return [c for c in in_role or usable if c.can_decode]


def _choose_pair(
    usable: Sequence[Candidate], work: EstimatedWork, rng: random.Random | None
) -> Placement | None:
    prefill = _pick_near_best(
        [(_prefill_ms(c, work), c) for c in _prefill_candidates(usable)], rng
    )
    if prefill is None:
        return None
    decode = _pick_near_best(
        [
            (_decode_ms(c, work), c)
            for c in _decode_candidates(usable)
            if c is not prefill[1]
        ],
        rng,
    )
    if decode is None:
        return None
    pieces = speeds.piece_count(work.prompt_tokens)
    transfer_ms = pieces * decode[1].speed.transfer_ms_per_piece
    return Placement(
        prefill_runner=prefill[1].runner,
        decode_runner=decode[1].runner,
        cost_ms=prefill[0] + transfer_ms + decode[0],
    )


def _total_ms(candidate: Candidate, work: EstimatedWork) -> float:
    return _prefill_ms(candidate, work) + _decode_ms(candidate, work)


def _prefill_ms(candidate: Candidate, work: EstimatedWork) -> float:
    speed = candidate.speed
    own_tokens = max(1, work.prompt_tokens - candidate.cached_tokens)
    tokens = candidate.waiting_tokens + own_tokens
    steps = -(-tokens // speed.chunk_tokens)
    cost_ms = tokens * speed.step_ms_per_prompt_token
    cost_ms += steps * speed.decode_step_ms(candidate.streams)
    cost_ms += own_tokens * speed.step_ms_per_prompt_token * candidate.streams
    return cost_ms + _fixed_ms(candidate)


def _decode_ms(candidate: Candidate, work: EstimatedWork) -> float:
    speed = candidate.speed
    streams = candidate.streams + 1
    step_ms = max(candidate.token_gap_ms, speed.decode_step_ms(streams))
    delay_of_others_ms = speed.step_ms_per_stream * candidate.streams
    cost_ms = work.output_tokens * (step_ms + delay_of_others_ms)
    cost_ms += candidate.waiting_tokens * speed.step_ms_per_prompt_token
    excess = streams - speed.max_streams
    if excess > 0:
        cost_ms += cost_ms * excess / speed.max_streams
    return cost_ms + _fixed_ms(candidate)


def _fixed_ms(candidate: Candidate) -> float:
    """Return the cost that doesn't depend on the candidate's load."""
    cost_ms = 0.0 if candidate.same_zone else CROSS_ZONE_MS
    if not candidate.adapter_loaded:
        cost_ms += ADAPTER_LOAD_MS
    return cost_ms
