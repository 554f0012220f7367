"""Simulated engine in virtual time: batch steps, KV cache and roles.

A step takes `step_ms`, plus `step_ms_per_stream` for each decoding stream and
`step_ms_per_prompt_token` for each prompt token in its chunk. It yields one
token for each decoding stream. Prefill in a step therefore slows the streams
that decode in the same step; nothing else slows them.
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

__all__ = ["Engine", "Job", "JobEvent", "JobEventKind", "Stages"]

MAX_CACHED_PIECES = 64


@final
class Stages(enum.Enum):
    """Stages of a request that one engine executes."""

    PREFILL_AND_DECODE = enum.auto()
    PREFILL = enum.auto()
    DECODE = enum.auto()


@final
class JobEventKind(enum.Enum):
    """Progress that a job made in a step."""

    FIRST_TOKEN = enum.auto()
    PREFILLED = enum.auto()
    FINISHED = enum.auto()


@final
@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """One attempt of a request at one engine.

    Waiting jobs start in ascending order of `sort_key`.
    """

    request: workload.Request
    stages: Stages
    remaining_prompt_tokens: int
    remaining_output_tokens: int
    sort_key: float
    attempt: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class JobEvent:
    """An event of one job, reported at the end of a step."""

    kind: JobEventKind
    job: Job


@final
class Engine:
    """One engine.

    The caller calls `end_step` when virtual time reaches `step_end_ms`, which
    is infinite while the engine is idle. Steps that only decode are planned
    together, up to the next finished stream, and end as one.
    """

    def __init__(self, *, runner: str, zone: str, role: fleet.Role) -> None:
        self.runner = runner
        self.zone = zone
        self.role = role
        self.phase = fleet.RunnerPhase.LIVE
        self.step_end_ms = math.inf
        self.tokens_by_gap_ms: dict[float, int] = {}
        self.cache: dict[int, None] = {}
        self.cache_changes: list[load_messages.CacheChange] = []
        # Sequence numbers order queue items with equal keys.
        self._sequence_numbers = itertools.count()
        self._waiting: list[tuple[float, int, Job]] = []
        self._prefilling: list[Job] = []
        self._decoding: list[tuple[int, int, Job]] = []
        self._prefill_chunk: list[tuple[Job, int]] = []
        self._completed_steps = 0
        self._steps_start_ms = 0.0
        self._step_duration_ms = 0.0
        self._planned_steps = 0
        self._allocated_pieces = 0

    @property
    def speed(self) -> speeds.EngineSpeed:
        """Nominal speed in the current role."""
        return speeds.SPEED_BY_ROLE[self.role]

    @property
    def is_empty(self) -> bool:
        """Whether no job waits or runs."""
        return not (self._waiting or self._prefilling or self._decoding)

    @property
    def active_jobs(self) -> int:
        """Number of jobs that prefill or decode."""
        return len(self._prefilling) + len(self._decoding)

    @property
    def waiting_jobs(self) -> int:
        """Number of jobs that have not started."""
        return len(self._waiting)

    @property
    def pending_prompt_tokens(self) -> int:
        """Prompt tokens not yet prefilled, over all jobs."""
        waiting = sum(
            queued_job[2].remaining_prompt_tokens
            for queued_job in self._waiting
        )
        return waiting + sum(
            job.remaining_prompt_tokens for job in self._prefilling
        )

    @property
    def free_pieces(self) -> int:
        """KV cache pieces that are not allocated to a job."""
        return self.speed.kv_pieces - self._allocated_pieces

    def submit(self, job: Job, now_ms: float) -> None:
        """Queue a job; a run of decode-only steps ends at its next step."""
        queued_job = (job.sort_key, next(self._sequence_numbers), job)
        heapq.heappush(self._waiting, queued_job)
        if self.step_end_ms == math.inf:
            self._start_step(now_ms)
        elif self._planned_steps > 1:
            started_steps = math.ceil(
                (now_ms - self._steps_start_ms) / self._step_duration_ms
            )
            self._planned_steps = max(
                1, min(self._planned_steps, started_steps)
            )
            self.step_end_ms = (
                self._steps_start_ms
                + self._planned_steps * self._step_duration_ms
            )

    def end_step(self) -> list[JobEvent]:
        """End the step at `step_end_ms`, start the next; return job events."""
        now_ms = self.step_end_ms
        self._completed_steps += self._planned_steps
        if self._decoding:
            produced_tokens = len(self._decoding) * self._planned_steps
            gap_ms = self._step_duration_ms
            earlier_tokens = self.tokens_by_gap_ms.get(gap_ms, 0)
            self.tokens_by_gap_ms[gap_ms] = earlier_tokens + produced_tokens
        events = self._finish_decodes()
        for job, tokens in self._prefill_chunk:
            job.remaining_prompt_tokens -= tokens
            if job.remaining_prompt_tokens == 0:
                events.extend(self._finish_prefill(job))
        self._start_step(now_ms)
        return events

    def crash(self) -> list[Job]:
        """Drop all jobs and the cache; return the dropped jobs."""
        jobs = [queued_job[2] for queued_job in self._waiting + self._decoding]
        jobs.extend(self._prefilling)
        for jobs_of_stage in (self._waiting, self._decoding, self._prefilling):
            jobs_of_stage.clear()
        self.cache.clear()
        self._prefill_chunk = []
        self._allocated_pieces = 0
        self.step_end_ms = math.inf
        self.phase = fleet.RunnerPhase.LOST
        return jobs

    def finish_role_change(self, role: fleet.Role) -> None:
        """Finish a role change: go live in the new role with an empty cache."""
        self.role = role
        self.phase = fleet.RunnerPhase.LIVE
        evictions = (
            load_messages.CacheChange(prefix, False) for prefix in self.cache
        )
        self.cache_changes.extend(evictions)
        self.cache.clear()

    def _start_step(self, now_ms: float) -> None:
        budget = self.speed.chunk_tokens
        self._prefill_chunk = []
        for job in self._prefilling:
            budget -= self._add_to_prefill_chunk(job, budget)
        while self._waiting and budget > 0 and self._can_start_next():
            job = heapq.heappop(self._waiting)[2]
            self._allocated_pieces += _required_pieces(job)
            if job.stages is Stages.DECODE:
                self._start_decode(job)
                continue
            cached_tokens = self._cached_prompt_tokens(job.request)
            job.remaining_prompt_tokens = max(
                1, job.remaining_prompt_tokens - cached_tokens
            )
            self._prefilling.append(job)
            budget -= self._add_to_prefill_chunk(job, budget)
        if not self._prefill_chunk and not self._decoding:
            self.step_end_ms = math.inf
            return
        tokens = self.speed.chunk_tokens - budget
        self._planned_steps = 1
        if not self._prefill_chunk:
            self._planned_steps = self._decoding[0][0] - self._completed_steps
        self._step_duration_ms = (
            self.speed.step_ms
            + self.speed.step_ms_per_stream * len(self._decoding)
            + self.speed.step_ms_per_prompt_token * tokens
        )
        self._steps_start_ms = now_ms
        self.step_end_ms = now_ms + self._planned_steps * self._step_duration_ms

    def _add_to_prefill_chunk(self, job: Job, budget: int) -> int:
        """Add up to `budget` prompt tokens; return how many were added."""
        tokens = min(budget, job.remaining_prompt_tokens)
        if tokens > 0:
            self._prefill_chunk.append((job, tokens))
        return tokens

    def _can_start_next(self) -> bool:
        """Return whether the next waiting job fits; an idle engine fits any."""
        required = _required_pieces(self._waiting[0][2])
        return self.active_jobs < self.speed.max_streams and (
            required <= self.free_pieces or self.active_jobs == 0
        )

    def _start_decode(self, job: Job) -> None:
        last_step = self._completed_steps + job.remaining_output_tokens
        heapq.heappush(
            self._decoding, (last_step, next(self._sequence_numbers), job)
        )

    def _finish_decodes(self) -> list[JobEvent]:
        finished = []
        while self._decoding and self._decoding[0][0] <= self._completed_steps:
            job = heapq.heappop(self._decoding)[2]
            self._allocated_pieces -= _required_pieces(job)
            finished.append(JobEvent(kind=JobEventKind.FINISHED, job=job))
        return finished

    def _finish_prefill(self, job: Job) -> list[JobEvent]:
        """Report the first token; start decoding if this engine decodes too."""
        self._prefilling.remove(job)
        self._cache_prefixes(job.request)
        job.remaining_output_tokens -= 1
        if (
            job.stages is Stages.PREFILL_AND_DECODE
            and job.remaining_output_tokens > 0
        ):
            self._start_decode(job)
            return [JobEvent(kind=JobEventKind.FIRST_TOKEN, job=job)]
        self._allocated_pieces -= _required_pieces(job)
        if job.remaining_output_tokens > 0:
            return [JobEvent(kind=JobEventKind.PREFILLED, job=job)]
        first_token = JobEvent(kind=JobEventKind.FIRST_TOKEN, job=job)
        return [first_token, JobEvent(kind=JobEventKind.FINISHED, job=job)]

    def _cached_prompt_tokens(self, request: workload.Request) -> int:
        cached_pieces = itertools.takewhile(
            self.cache.__contains__, request.prefix_hashes
        )
        return sum(1 for _ in cached_pieces) * speeds.PIECE_TOKENS

    def _cache_prefixes(self, request: workload.Request) -> None:
        """Cache a prompt and evict the least recently cached pieces."""
        for prefix in reversed(request.prefix_hashes):
            if self.cache.pop(prefix, 0) == 0:
                change = load_messages.CacheChange(prefix, True)
                self.cache_changes.append(change)
            self.cache[prefix] = None
        while len(self.cache) > MAX_CACHED_PIECES:
            oldest = next(iter(self.cache))
            del self.cache[oldest]
            self.cache_changes.append(load_messages.CacheChange(oldest, False))


def _required_pieces(job: Job) -> int:
    """Return the KV cache pieces that a job allocates until it ends."""
    output_tokens = (
        0 if job.stages is Stages.PREFILL else job.request.output_tokens
    )
    return speeds.piece_count(job.request.prompt_tokens + output_tokens)
