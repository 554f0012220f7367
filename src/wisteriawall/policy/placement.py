"""Choose the engine for a prompt by the forecast of its first token.

Load patterns answered:

- Bursts of long prompts. Reading prompts is what engines have least time for,
  so an engine's load is the time that its unread prompts still take, and not
  a count of requests. Prompts that wait for another are counted in full.
- Cold start and skewed subjects. Prompts share parts. A part that an engine
  has read, or is about to read for an earlier request, costs nothing again, so
  the requests of a subject gather where the subject was read first.
- Several gateways at once. Each tells the others of what it sends, and the
  same forecast is made from that.
"""

from collections import OrderedDict
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
from typing import TypeAlias
from typing import final

__all__ = [
    "Candidate",
    "Direct",
    "EngineLoad",
    "HandOver",
    "Options",
    "Placement",
    "Prompt",
    "Speeds",
    "best",
    "forecasts",
]

# Share of an engine's memory that holds parts no running request needs.
CACHE_SHARE = 0.85
# Weight of one observation in the learnt pace of an engine.
PACE_GAIN = 0.1
MIN_PACE = 0.7
MAX_PACE = 6.0
# Shorter expectations say more of the network than of the engine.
MIN_OBSERVED_MS = 30.0
# A prompt that is overdue by this factor was lost or its engine stands still.
OVERDUE = 4.0


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Speeds:
    """How fast engines read prompts, before anything is learnt of them.

    A decode engine reads at half speed between the tokens of its answers.
    `first_ms` is the time from the end of reading to the first token, and
    `hand_over_ms` that from one engine's last read token to the other's start
    beside the transfer itself.
    """

    prefill_tokens_per_ms: float = 50.0
    decode_tokens_per_ms: float = 25.0
    first_ms: float = 25.0
    hand_over_ms: float = 15.0


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Options:
    """What a placement may use, and what it costs beside time.

    `hand_over_cost_ms` is the time that a hand-over must save.
    """

    speeds: Speeds = Speeds()
    hand_over_cost_ms: float = 30.0
    other_zone_cost_ms: float = 2.0


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Prompt:
    """What placement knows of a request; `parts` are ids and tokens."""

    request_id: str
    parts: tuple[tuple[str, int], ...]
    output_tokens: int
    rank: int

    @property
    def tokens(self) -> int:
        """Return the tokens of the whole prompt."""
        return sum(tokens for _, tokens in self.parts)


@final
@dataclasses.dataclass(slots=True)
class _Read:
    """A prompt that was sent and whose first token has not come."""

    unread_tokens: int
    rank: int


@final
class EngineLoad:
    """What was sent to one engine, and what it is taken to remember."""

    __slots__ = (
        "_head_since_ms",
        "_memory_tokens",
        "_parts_tokens",
        "_read_by_id",
        "_running_ids",
        "_tokens_by_part",
        "is_reader",
        "pace",
    )

    def __init__(self, *, memory_tokens: int, is_reader: bool) -> None:
        self.is_reader = is_reader
        self.pace = 1.0
        self._memory_tokens = memory_tokens
        self._read_by_id: OrderedDict[str, _Read] = OrderedDict()
        self._running_ids: set[str] = set()
        self._tokens_by_part: OrderedDict[str, int] = OrderedDict()
        self._parts_tokens = 0
        self._head_since_ms = 0

    @property
    def in_flight(self) -> int:
        """Return how many requests the engine has."""
        return len(self._read_by_id) + len(self._running_ids)

    @property
    def waiting(self) -> int:
        """Return how many prompts are not read yet."""
        return len(self._read_by_id)

    def unread(self, parts: Iterable[tuple[str, int]]) -> int:
        """Return the tokens that the engine would have to read anew.

        A part counts as read only if every part before it does too.
        """
        missing = 0
        for part, tokens in parts:
            if missing or part not in self._tokens_by_part:
                missing += tokens
        return missing

    def wait_ms(self, speeds: Speeds, *, now_ms: int, rank: int) -> float:
        """Return how long a prompt of `rank` waits before it is read."""
        total = 0.0
        per_token = self.ms_per_token(speeds)
        for number, read in enumerate(self._read_by_id.values()):
            if number == 0:
                took_ms = now_ms - self._head_since_ms
                head_ms = read.unread_tokens * per_token
                total += max(0.0, head_ms - took_ms)
            elif read.rank <= rank:
                total += read.unread_tokens * per_token
        return total

    def ms_per_token(self, speeds: Speeds) -> float:
        """Return the expected time to read one token."""
        rate = speeds.decode_tokens_per_ms
        if self.is_reader:
            rate = speeds.prefill_tokens_per_ms
        return self.pace / rate

    def send(
        self,
        request_id: str,
        parts: tuple[tuple[str, int], ...],
        *,
        unread_tokens: int,
        rank: int,
        now_ms: int,
    ) -> None:
        """Note a prompt that was sent."""
        if not self._read_by_id:
            self._head_since_ms = now_ms
        self._read_by_id[request_id] = _Read(unread_tokens, rank)
        self._remember(parts)

    def began(self, request_id: str, *, now_ms: int) -> None:
        """Note the first token: the prompt was read."""
        if self._read_by_id.pop(request_id, None) is not None:
            self._running_ids.add(request_id)
            self._head_since_ms = now_ms

    def ended(self, request_id: str, *, now_ms: int) -> None:
        """Note that the engine has the request no more."""
        self._running_ids.discard(request_id)
        if self._read_by_id.pop(request_id, None) is not None:
            self._head_since_ms = now_ms

    def observe(self, *, expected_ms: float, took_ms: float) -> None:
        """Learn the engine's pace from one first token."""
        if expected_ms < MIN_OBSERVED_MS:
            return
        seen = self.pace * took_ms / expected_ms
        pace = self.pace + PACE_GAIN * (seen - self.pace)
        self.pace = min(MAX_PACE, max(MIN_PACE, pace))

    def forget(self) -> None:
        """Note that the engine lost its memory."""
        self._tokens_by_part.clear()
        self._parts_tokens = 0

    def _remember(self, parts: Iterable[tuple[str, int]]) -> None:
        for part, tokens in parts:
            held = self._tokens_by_part.pop(part, 0)
            self._tokens_by_part[part] = tokens
            self._parts_tokens += tokens - held
        while self._parts_tokens > CACHE_SHARE * self._memory_tokens:
            _, tokens = self._tokens_by_part.popitem(last=False)
            self._parts_tokens -= tokens


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Candidate:
    """An engine that may take the prompt."""

    upstream_id: str
    load: EngineLoad
    same_zone: bool


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Direct:
    """One engine reads and answers.

    `wait_ms` is the part of `first_token_ms` before its reading begins;
    `cost_ms` adds what the choice costs beside time.
    """

    upstream_id: str
    unread_tokens: int
    wait_ms: float
    first_token_ms: float
    cost_ms: float


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class HandOver:
    """One engine reads, another takes its memory and answers."""

    reader_id: str
    upstream_id: str
    unread_tokens: int
    wait_ms: float
    first_token_ms: float
    cost_ms: float


Placement: TypeAlias = Direct | HandOver


def best(placements: Iterable[Placement]) -> Placement | None:
    """Return the placement that costs least, None if there is none."""
    return min(placements, key=_cost, default=None)


def forecasts(
    prompt: Prompt,
    candidates: list[Candidate],
    *,
    transfer_ms_per_token: float,
    now_ms: int,
    options: Options,
) -> Iterator[Placement]:
    """Yield every way to serve the prompt, with its forecast."""
    answering = [c for c in candidates if not c.load.is_reader]
    for candidate in answering:
        yield _direct(prompt, candidate, now_ms, options)
    if not answering:
        return
    calmest = min(
        answering,
        key=lambda c: (_wait(c, prompt, now_ms, options), not c.same_zone),
    )
    for reader in candidates:
        if reader.load.is_reader:
            yield _hand_over(
                prompt,
                reader,
                calmest,
                transfer_ms=prompt.tokens * transfer_ms_per_token,
                now_ms=now_ms,
                options=options,
            )


def _cost(placement: Placement) -> float:
    return placement.cost_ms


def _wait(
    candidate: Candidate, prompt: Prompt, now_ms: int, options: Options
) -> float:
    return candidate.load.wait_ms(
        options.speeds, now_ms=now_ms, rank=prompt.rank
    )


def _zone_cost(candidate: Candidate, options: Options) -> float:
    return 0.0 if candidate.same_zone else options.other_zone_cost_ms


def _direct(
    prompt: Prompt, candidate: Candidate, now_ms: int, options: Options
) -> Direct:
    wait_ms = _wait(candidate, prompt, now_ms, options)
    unread = candidate.load.unread(prompt.parts)
    read_ms = unread * candidate.load.ms_per_token(options.speeds)
    first_ms = wait_ms + read_ms + options.speeds.first_ms
    return Direct(
        upstream_id=candidate.upstream_id,
        unread_tokens=unread,
        wait_ms=wait_ms,
        first_token_ms=first_ms,
        cost_ms=first_ms + _zone_cost(candidate, options),
    )


def _hand_over(
    prompt: Prompt,
    reader: Candidate,
    answerer: Candidate,
    *,
    transfer_ms: float,
    now_ms: int,
    options: Options,
) -> HandOver:
    wait_ms = _wait(reader, prompt, now_ms, options)
    unread = reader.load.unread(prompt.parts)
    read_ms = unread * reader.load.ms_per_token(options.speeds)
    first_ms = (
        wait_ms
        + read_ms
        + options.speeds.hand_over_ms
        + transfer_ms
        + options.speeds.first_ms
    )
    return HandOver(
        reader_id=reader.upstream_id,
        upstream_id=answerer.upstream_id,
        unread_tokens=unread,
        wait_ms=wait_ms,
        first_token_ms=first_ms,
        cost_ms=first_ms
        + options.hand_over_cost_ms
        + _zone_cost(reader, options)
        + _zone_cost(answerer, options),
    )
