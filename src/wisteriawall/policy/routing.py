"""Choice of the runner, or pair of runners, for one attempt.

Each candidate's cost is the time until the answer is whole, estimated from
corrected load, and the time by which it delays the answers beside it. So
prompts gather on some runners and streams on others, without orders. Reports
are stale and several entries choose at once, so that the choice falls at
random among those whose cost is near the best.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import random
from typing import final

from wisteriawall.policy import speeds
from wisteriawall.wire import fleet

__all__ = [
    "UNKNOWN_WORK",
    "Candidate",
    "Placement",
    "Work",
    "choose",
    "choose_least_loaded",
    "choose_of_two",
    "choose_pair",
    "choose_random",
]

NEAR_BEST_SHARE = 0.05
OTHER_ZONE_MS = 2.0
ADAPTER_LOAD_MS = 2_000.0
PAIR_GAIN_SHARE = 0.1


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Work:
    """Estimated work of one request, in tokens."""

    prompt_tokens: int
    output_tokens: int


UNKNOWN_WORK = Work(prompt_tokens=256, output_tokens=256)


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Candidate:
    """A runner that may take an attempt.

    `waiting_tokens` is the prompt work ahead of a new attempt and `streams`
    the answers in progress, both corrected with own dispatches.
    `hit_tokens` is the prompt prefix that its cache is believed to hold.
    Without `has_room` it takes no new prompt, but may decode for another.
    Without `can_decode` its batch is full. `pace_ms` is the time between
    tokens lately measured, 0 if unknown.
    """

    runner: str
    waiting_tokens: int
    streams: int
    same_zone: bool
    role: fleet.Role = fleet.Role.MIXED
    hit_tokens: int = 0
    adapter_loaded: bool = True
    draining: bool = False
    has_room: bool = True
    can_decode: bool = True
    pace_ms: float = 0.0
    free_pieces: int | None = None

    @property
    def speed(self) -> speeds.EngineSpeed:
        """Return the speed of an engine in this role."""
        return speeds.SPEED_BY_ROLE[self.role]


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Placement:
    """Where an attempt runs; one runner does both parts if they agree."""

    prefill: str
    decode: str
    cost_ms: float

    @property
    def is_pair(self) -> bool:
        """Tell whether the KV pieces move between two runners."""
        return self.prefill != self.decode


def choose(
    candidates: Iterable[Candidate],
    *,
    avoid: frozenset[str],
    work: Work = UNKNOWN_WORK,
    rng: random.Random | None = None,
) -> str | None:
    """Return the runner to run a whole request, None without any.

    Args:
        candidates: Runners known to the entry; draining ones are skipped.
        work: Estimated tokens of the request.
        avoid: Runners that already failed this request; they come last.
        rng: Source of the choice among near-equal runners; without it the
            cheapest is taken.
    """
    usable = _usable(candidates, avoid)
    best = _choose_whole(usable, work, rng)
    return best[1].runner if best else None


def choose_pair(
    candidates: Iterable[Candidate],
    *,
    work: Work,
    avoid: frozenset[str],
    rng: random.Random | None,
) -> Placement | None:
    """Return the cheaper of one runner and a prefill-decode pair.

    A pair is taken when it saves a share of the cost after the transfer of
    the KV pieces, or when no runner of a mixed role has room. None if no
    runner that may prefill has room.
    """
    usable = _usable(candidates, avoid)
    pair = _choose_two_parts(usable, work, rng)
    both = [c for c in usable if c.role is fleet.Role.MIXED]
    single = _choose_whole(usable if pair is None else both, work, rng)
    if single is None:
        return pair
    if pair and pair.cost_ms < single[0] * (1 - PAIR_GAIN_SHARE):
        return pair
    runner = single[1].runner
    return Placement(prefill=runner, decode=runner, cost_ms=single[0])


def choose_random(
    candidates: Iterable[Candidate],
    *,
    avoid: frozenset[str],
    rng: random.Random,
) -> str | None:
    """Return any runner: a baseline."""
    usable = _usable(candidates, avoid)
    return rng.choice(usable).runner if usable else None


def choose_of_two(
    candidates: Iterable[Candidate],
    *,
    avoid: frozenset[str],
    rng: random.Random,
) -> str | None:
    """Return the less loaded of two random runners: a baseline."""
    usable = _usable(candidates, avoid)
    if not usable:
        return None
    two = rng.sample(usable, min(2, len(usable)))
    return min(two, key=_load_of).runner


def choose_least_loaded(
    candidates: Iterable[Candidate], *, avoid: frozenset[str]
) -> str | None:
    """Return the runner with the least load: a baseline."""
    best = min(_usable(candidates, avoid), key=_load_of, default=None)
    return best.runner if best else None


def _load_of(candidate: Candidate) -> tuple[int, int]:
    return candidate.streams, candidate.waiting_tokens


def _usable(
    candidates: Iterable[Candidate], avoid: frozenset[str]
) -> list[Candidate]:
    """Leave out draining runners, and failed ones while others are left."""
    open_ones = [c for c in candidates if not c.draining]
    if not avoid:
        return open_ones
    return [c for c in open_ones if c.runner not in avoid] or open_ones


def _pick_near_best(
    scored: Sequence[tuple[float, Candidate]], rng: random.Random | None
) -> tuple[float, Candidate] | None:
    if not scored:
        return None
    best = min(scored, key=lambda pair: pair[0])
    if rng is None:
        return best
    limit_ms = best[0] * (1 + NEAR_BEST_SHARE)
    near = [pair for pair in scored if pair[0] <= limit_ms]
    return near[0] if len(near) == 1 else rng.choice(near)


def _choose_whole(
    usable: Sequence[Candidate], work: Work, rng: random.Random | None
) -> tuple[float, Candidate] | None:
    return _pick_near_best(
        [(_whole_ms(c, work), c) for c in _prefillers(usable)], rng
    )


def _prefillers(usable: Sequence[Candidate]) -> list[Candidate]:
    """Return runners with room whose role reads prompts, if any live."""
    fitting = [c for c in usable if c.role is not fleet.Role.DECODE]
    return [c for c in fitting or usable if c.has_room]


def _decoders(usable: Sequence[Candidate]) -> list[Candidate]:
    """Return runners with room whose role writes answers, if any live."""
    fitting = [c for c in usable if c.role is not fleet.Role.PREFILL]
    return [c for c in fitting or usable if c.can_decode]


def _choose_two_parts(
    usable: Sequence[Candidate], work: Work, rng: random.Random | None
) -> Placement | None:
    first = _pick_near_best(
        [(_prefill_ms(c, work), c) for c in _prefillers(usable)], rng
    )
    if first is None:
        return None
    second = _pick_near_best(
        [
            (_decode_ms(c, work), c)
            for c in _decoders(usable)
            if c is not first[1]
        ],
        rng,
    )
    if second is None:
        return None
    moved = speeds.pieces(work.prompt_tokens)
    transfer_ms = moved * second[1].speed.transfer_piece_ms
    return Placement(
        prefill=first[1].runner,
        decode=second[1].runner,
        cost_ms=first[0] + transfer_ms + second[0],
    )


def _whole_ms(candidate: Candidate, work: Work) -> float:
    return _prefill_ms(candidate, work) + _decode_ms(candidate, work)


def _prefill_ms(candidate: Candidate, work: Work) -> float:
    speed = candidate.speed
    own_tokens = max(1, work.prompt_tokens - candidate.hit_tokens)
    tokens = candidate.waiting_tokens + own_tokens
    steps = -(-tokens // speed.chunk_tokens)
    cost_ms = tokens * speed.prefill_ms
    cost_ms += steps * speed.decode_step_ms(candidate.streams)
    cost_ms += own_tokens * speed.prefill_ms * candidate.streams
    return cost_ms + _reach_ms(candidate)


def _decode_ms(candidate: Candidate, work: Work) -> float:
    speed = candidate.speed
    streams = candidate.streams + 1
    step_ms = max(candidate.pace_ms, speed.decode_step_ms(streams))
    slowed_ms = speed.stream_ms * candidate.streams
    cost_ms = work.output_tokens * (step_ms + slowed_ms)
    cost_ms += candidate.waiting_tokens * speed.prefill_ms
    excess = streams - speed.max_streams
    if excess > 0:
        cost_ms += cost_ms * excess / speed.max_streams
    return cost_ms + _reach_ms(candidate)


def _reach_ms(candidate: Candidate) -> float:
    cost_ms = 0.0 if candidate.same_zone else OTHER_ZONE_MS
    if not candidate.adapter_loaded:
        cost_ms += ADAPTER_LOAD_MS
    return cost_ms
