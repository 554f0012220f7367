"""Engine fake in virtual time: batch steps, KV pieces, cache and roles.

A step takes `step_ms`, plus `step_ms_per_stream` for each decoding stream and
`step_ms_per_prompt_token` for each prompt token in its chunk. It yields one
token for each stream. So prompt work in a step slows the streams beside it, and
nothing else does.
"""

import dataclasses
import enum
import heapq
import itertools
import math
from typing import final

from wisteriawall.benchmark import workload
from wisteriawall.policy import speeds
from wisteriawall.wire import fleet
from wisteriawall.wire import load_messages

__all__ = ["Engine", "Job", "Outcome", "OutcomeKind", "Part"]

CACHE_PIECES = 64


@final
class Part(enum.Enum):
    """What an engine does of a request."""

    WHOLE = enum.auto()
    PREFILL = enum.auto()
    DECODE = enum.auto()


@final
class OutcomeKind(enum.Enum):
    """What a step brought about for one job."""

    FIRST_TOKEN = enum.auto()
    PREFILLED = enum.auto()
    FINISHED = enum.auto()


@final
@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """One attempt's part at an engine; `order` sorts those that wait."""

    request: workload.Request
    part: Part
    prompt_left: int
    output_left: int
    order: float
    attempt: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Outcome:
    """Progress of one job at the end of a step."""

    kind: OutcomeKind
    job: Job


@final
class Engine:
    """One engine; the caller calls `end_step` at `ends_ms`."""

    def __init__(self, *, runner: str, zone: str, role: fleet.Role) -> None:
        self.runner = runner
        self.zone = zone
        self.role = role
        self.phase = fleet.RunnerPhase.LIVE
        self.ends_ms = math.inf
        self.tokens_by_gap_ms: dict[float, int] = {}
        self.cache: dict[int, None] = {}
        self.changes: list[load_messages.CacheChange] = []
        self._numbers = itertools.count()
        self._waiting: list[tuple[float, int, Job]] = []
        self._prefilling: list[Job] = []
        self._running: list[tuple[int, int, Job]] = []
        self._chunk: list[tuple[Job, int]] = []
        self._steps_done = 0
        self._began_ms = 0.0
        self._step_ms = 0.0
        self._steps = 0
        self._used_pieces = 0

    @property
    def speed(self) -> speeds.EngineSpeed:
        """Return the speed in the present role."""
        return speeds.SPEED_BY_ROLE[self.role]

    @property
    def is_empty(self) -> bool:
        """Tell whether no job is here."""
        return not (self._waiting or self._prefilling or self._running)

    @property
    def streams(self) -> int:
        """Return the jobs here that are not waiting."""
        return len(self._prefilling) + len(self._running)

    @property
    def waiting(self) -> int:
        """Return the jobs that wait."""
        return len(self._waiting)

    @property
    def waiting_tokens(self) -> int:
        """Return the prompt tokens still to take in."""
        queued = sum(entry[2].prompt_left for entry in self._waiting)
        return queued + sum(job.prompt_left for job in self._prefilling)

    @property
    def free_pieces(self) -> int:
        """Return the KV pieces that no job holds."""
        return self.speed.kv_pieces - self._used_pieces

    def submit(self, job: Job, now_ms: float) -> None:
        """Take in a job; a run of decode steps stops at its next step."""
        entry = (job.order, next(self._numbers), job)
        heapq.heappush(self._waiting, entry)
        if self.ends_ms == math.inf:
            self._begin_step(now_ms)
        elif self._steps > 1:
            passed = math.ceil((now_ms - self._began_ms) / self._step_ms)
            self._steps = max(1, min(self._steps, passed))
            self.ends_ms = self._began_ms + self._steps * self._step_ms

    def end_step(self) -> list[Outcome]:
        """End the step that is due and begin the next."""
        now_ms = self.ends_ms
        self._steps_done += self._steps
        if self._running:
            made = len(self._running) * self._steps
            gap_ms = self._step_ms
            before = self.tokens_by_gap_ms.get(gap_ms, 0)
            self.tokens_by_gap_ms[gap_ms] = before + made
        outcomes = self._finish_running()
        for job, tokens in self._chunk:
            job.prompt_left -= tokens
            if job.prompt_left == 0:
                outcomes.extend(self._finish_prompt(job))
        self._begin_step(now_ms)
        return outcomes

    def crash(self) -> list[Job]:
        """Lose every job and the cache; return the jobs."""
        jobs = [entry[2] for entry in self._waiting + self._running]
        jobs.extend(self._prefilling)
        for kept in (self._waiting, self._running, self._prefilling):
            kept.clear()
        self.cache.clear()
        self._chunk = []
        self._used_pieces = 0
        self.ends_ms = math.inf
        self.phase = fleet.RunnerPhase.LOST
        return jobs

    def set_role(self, role: fleet.Role) -> None:
        """Come back from a role change; the cache is lost."""
        self.role = role
        self.phase = fleet.RunnerPhase.LIVE
        gone = (load_messages.CacheChange(p, False) for p in self.cache)
        self.changes.extend(gone)
        self.cache.clear()

    def _begin_step(self, now_ms: float) -> None:
        budget = self.speed.chunk_tokens
        self._chunk = []
        for job in self._prefilling:
            budget -= self._add_to_chunk(job, budget)
        while self._waiting and budget > 0 and self._has_room():
            job = heapq.heappop(self._waiting)[2]
            self._used_pieces += _held_pieces(job)
            if job.part is Part.DECODE:
                self._run(job)
                continue
            hit = self._hit_tokens(job.request)
            job.prompt_left = max(1, job.prompt_left - hit)
            self._prefilling.append(job)
            budget -= self._add_to_chunk(job, budget)
        if not self._chunk and not self._running:
            self.ends_ms = math.inf
            return
        tokens = self.speed.chunk_tokens - budget
        self._steps = 1
        if not self._chunk:
            self._steps = self._running[0][0] - self._steps_done
        self._step_ms = (
            self.speed.step_ms
            + self.speed.step_ms_per_stream * len(self._running)
            + self.speed.step_ms_per_prompt_token * tokens
        )
        self._began_ms = now_ms
        self.ends_ms = now_ms + self._steps * self._step_ms

    def _add_to_chunk(self, job: Job, budget: int) -> int:
        tokens = min(budget, job.prompt_left)
        if tokens > 0:
            self._chunk.append((job, tokens))
        return tokens

    def _has_room(self) -> bool:
        needed = _held_pieces(self._waiting[0][2])
        return self.streams < self.speed.max_streams and (
            needed <= self.free_pieces or self.streams == 0
        )

    def _run(self, job: Job) -> None:
        ends = self._steps_done + job.output_left
        heapq.heappush(self._running, (ends, next(self._numbers), job))

    def _finish_running(self) -> list[Outcome]:
        ended = []
        while self._running and self._running[0][0] <= self._steps_done:
            job = heapq.heappop(self._running)[2]
            self._used_pieces -= _held_pieces(job)
            ended.append(Outcome(kind=OutcomeKind.FINISHED, job=job))
        return ended

    def _finish_prompt(self, job: Job) -> list[Outcome]:
        """Yield the first token, then run the job on or hand it over."""
        self._prefilling.remove(job)
        self._store(job.request)
        job.output_left -= 1
        if job.part is Part.WHOLE and job.output_left > 0:
            self._run(job)
            return [Outcome(kind=OutcomeKind.FIRST_TOKEN, job=job)]
        self._used_pieces -= _held_pieces(job)
        if job.output_left > 0:
            return [Outcome(kind=OutcomeKind.PREFILLED, job=job)]
        first = Outcome(kind=OutcomeKind.FIRST_TOKEN, job=job)
        return [first, Outcome(kind=OutcomeKind.FINISHED, job=job)]

    def _hit_tokens(self, request: workload.Request) -> int:
        pieces = itertools.takewhile(self.cache.__contains__, request.prefixes)
        return sum(1 for _ in pieces) * speeds.PIECE_TOKENS

    def _store(self, request: workload.Request) -> None:
        for prefix in reversed(request.prefixes):
            if self.cache.pop(prefix, 0) == 0:
                change = load_messages.CacheChange(prefix, True)
                self.changes.append(change)
            self.cache[prefix] = None
        while len(self.cache) > CACHE_PIECES:
            oldest = next(iter(self.cache))
            del self.cache[oldest]
            self.changes.append(load_messages.CacheChange(oldest, False))


def _held_pieces(job: Job) -> int:
    output = 0 if job.part is Part.PREFILL else job.request.output_tokens
    return speeds.piece_count(job.request.prompt_tokens + output)
