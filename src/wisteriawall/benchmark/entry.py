"""Simulated entry, which combines the modules of the policy package."""

from collections.abc import Iterator
import dataclasses
import random
from typing import final

from wisteriawall.benchmark import engine as engine_lib
from wisteriawall.benchmark import variants
from wisteriawall.benchmark import workload
from wisteriawall.policy import admission_queue
from wisteriawall.policy import concurrency
from wisteriawall.policy import estimates
from wisteriawall.policy import load_view
from wisteriawall.policy import prefix_index
from wisteriawall.policy import retries
from wisteriawall.policy import routing
from wisteriawall.policy import speeds
from wisteriawall.wire import fleet

__all__ = ["Dispatch", "Entry"]

TOKEN_GAP_SMOOTHING = 0.1
MAX_OUTPUT_TOKENS = 4_000


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Dispatch:
    """Effect: send a request to one runner, or to a prefill and decode pair."""

    request: workload.Request
    placement: routing.Placement


@final
class Entry:
    """One entry: queues requests, selects runners and records results."""

    def __init__(
        self,
        *,
        zone: str,
        variant: variants.Variant,
        engines: list[engine_lib.Engine],
        entry_count: int,
        seed: str,
    ) -> None:
        self.zone = zone
        self.runner_loads = load_view.LoadView()
        self.prefix_index = prefix_index.PrefixIndex()
        self.retry_budget = retries.RetryBudget()
        self.queue = admission_queue.AdmissionQueue()
        self.output_lengths = estimates.OutputLengthEstimates()
        self.run_time_estimates = estimates.RunTimeEstimates()
        self.prefill_demand_tokens = 0
        self.decode_demand_tokens = 0
        self._variant = variant
        self._engines = engines
        self._rng = random.Random(seed)
        self._request_by_id: dict[str, workload.Request] = {}
        self._limit_by_runner = {
            engine.runner: concurrency.ConcurrencyLimit(
                limit=speeds.DEFAULT.max_streams / entry_count
            )
            for engine in engines
        }
        self._token_gap_ms_by_runner: dict[str, float] = {}
        # Runner, dispatch time and expected time to first token, both in ms.
        self._dispatch_by_id: dict[str, tuple[str, float, float]] = {}

    @property
    def queued_tokens(self) -> int:
        """Estimated prompt and output tokens of the queued requests."""
        return sum(
            queued.tokens for queued in self.queue.waiting_by_id.values()
        )

    def admit(
        self, request: workload.Request, now_ms: float
    ) -> admission_queue.Refused | None:
        """Queue a request; return its refusal if it can't meet its deadline."""
        self.retry_budget.add_request()
        work = self._estimate_work(request)
        self.prefill_demand_tokens += (
            work.prompt_tokens - self._max_cached_tokens(request)
        )
        self.decode_demand_tokens += work.output_tokens
        self._request_by_id[request.request_id] = request
        if self._variant.admission is variants.Admission.NONE:
            deadline_ms, run_ms = 10**9, 0
        else:
            deadline_ms = int(request.deadline_ms)
            run_ms = round(
                self.run_time_estimates.run_ms(
                    request.kind, _nominal_run_ms(work)
                )
            )
        refused = admission_queue.enqueue(
            self.queue,
            admission_queue.QueuedRequest(
                request_id=request.request_id,
                account=request.account,
                tokens=work.prompt_tokens + work.output_tokens,
                run_ms=run_ms,
                deadline_ms=deadline_ms,
                arrival_ms=int(request.arrival_ms),
                priority=request.priority,
            ),
            now_ms=int(now_ms),
            rng=self._rng,
        )
        if refused is not None:
            del self._request_by_id[request.request_id]
        return refused

    def dispatch_ready(
        self, now_ms: float
    ) -> Iterator[admission_queue.Refused | Dispatch]:
        """Yield refusals of expired requests, then dispatches while possible.

        Raises:
            RuntimeError: A runner had free capacity, but none was selected.
        """
        for refused in admission_queue.refuse_expired(
            self.queue, now_ms=int(now_ms), rng=self._rng
        ):
            self._request_by_id.pop(refused.waiting.request_id, None)
            yield refused
        while self.queue.waiting_by_id:
            engines = [
                engine
                for engine in self._engines
                if engine.phase is fleet.RunnerPhase.LIVE
            ]
            if not self._has_free_runners(engines):
                return
            queued = admission_queue.dequeue(self.queue, now_ms=int(now_ms))
            if queued is None:
                return
            request = self._request_by_id[queued.request_id]
            placement = self.select_runners(request, engines)
            if placement is None:
                raise RuntimeError(
                    "a runner had free capacity, but none was selected"
                )
            yield self._dispatch(request, placement, now_ms)

    def retry(
        self, request: workload.Request, failed: str, now_ms: float
    ) -> Dispatch | None:
        """Dispatch a failed request to another runner than `failed`.

        Returns None when no runner fits or the retry budget is spent.
        """
        self._request_by_id.setdefault(request.request_id, request)
        engines = [
            engine
            for engine in self._engines
            if engine.phase is fleet.RunnerPhase.LIVE
            and engine.runner != failed
        ]
        placement = self.select_runners(request, engines)
        if placement is None or not self.retry_budget.take_retry():
            return None
        return self._dispatch(request, placement, now_ms)

    def select_runners(
        self, request: workload.Request, engines: list[engine_lib.Engine]
    ) -> routing.Placement | None:
        """Select the runners of one attempt; None when none fits."""
        candidates = [self._candidate(engine, request) for engine in engines]
        if self._variant.routing is variants.Routing.COST:
            return routing.choose_placement(
                candidates,
                work=self._estimate_work(request),
                avoid=frozenset(),
                rng=self._rng,
            )
        return self._select_by_baseline(candidates)

    def record_decode_start(
        self, request: workload.Request, runner: str, now_ms: float
    ) -> None:
        """Record a first token, and that `runner` now decodes the request."""
        self.record_first_token(request, now_ms)
        self.runner_loads.dispatched(
            request.request_id,
            runner=runner,
            prefill_tokens=0,
            now_ms=int(now_ms),
        )
        self.runner_loads.started(request.request_id)

    def record_first_token(
        self, request: workload.Request, now_ms: float
    ) -> None:
        """Record a first token and update the limit of its runner."""
        self.runner_loads.started(request.request_id)
        dispatch = self._dispatch_by_id.pop(request.request_id, None)
        if dispatch is None:
            return
        runner, dispatched_ms, expected_ms = dispatch
        self._limit_by_runner[runner].observe(
            measured_ms=now_ms - dispatched_ms,
            expected_ms=expected_ms,
            in_flight=self.runner_loads.own_streams(runner),
            now_ms=int(now_ms),
        )

    def record_finished(
        self,
        request: workload.Request,
        runner: str,
        *,
        gap_ms: float,
        run_ms: float,
    ) -> None:
        """Record a complete answer; correct its charge to the actual tokens.

        Args:
            request: The request.
            runner: The runner that decoded.
            gap_ms: Mean gap between its tokens.
            run_ms: Time from the last dispatch to the end.
        """
        self.run_time_estimates.observe(
            request.kind,
            measured_ms=run_ms,
            expected_ms=_nominal_run_ms(
                routing.EstimatedWork(
                    prompt_tokens=request.prompt_tokens,
                    output_tokens=request.output_tokens,
                )
            ),
        )
        smoothed_gap_ms = self._token_gap_ms_by_runner.get(runner, gap_ms)
        self._token_gap_ms_by_runner[runner] = (
            smoothed_gap_ms + TOKEN_GAP_SMOOTHING * (gap_ms - smoothed_gap_ms)
        )
        self.runner_loads.finished(request.request_id)
        self._request_by_id.pop(request.request_id, None)
        self.output_lengths.observe(
            request.kind, request.account, request.output_tokens
        )
        admission_queue.correct_charge(
            self.queue,
            request.request_id,
            actual_tokens=request.prompt_tokens + request.output_tokens,
        )

    def record_lost_attempt(self, request: workload.Request) -> None:
        """Record an attempt that was lost with its runner."""
        self.runner_loads.finished(request.request_id)
        self._dispatch_by_id.pop(request.request_id, None)

    def _dispatch(
        self,
        request: workload.Request,
        placement: routing.Placement,
        now_ms: float,
    ) -> Dispatch:
        runner = placement.prefill_runner
        cached_pieces = self.prefix_index.cached_pieces(
            runner, request.prefix_hashes
        )
        tokens = request.prompt_tokens - cached_pieces * speeds.PIECE_TOKENS
        self.runner_loads.dispatched(
            request.request_id,
            runner=runner,
            prefill_tokens=max(1, tokens),
            now_ms=int(now_ms),
        )
        prefill_ms = speeds.DEFAULT.prefill_work_ms(max(1, tokens))
        expected_ms = prefill_ms + 4 * speeds.DEFAULT.decode_step_ms(48)
        self._dispatch_by_id[request.request_id] = (runner, now_ms, expected_ms)
        self.prefix_index.assume_cached(runner, request.prefix_hashes)
        return Dispatch(request=request, placement=placement)

    def _has_free_runners(self, engines: list[engine_lib.Engine]) -> bool:
        """Return whether one runner can prefill and one can decode now."""
        prefill_capable = [
            engine for engine in engines if engine.role is not fleet.Role.DECODE
        ]
        decode_capable = [
            engine
            for engine in engines
            if engine.role is not fleet.Role.PREFILL
        ]
        return any(
            self._can_prefill(engine) for engine in prefill_capable or engines
        ) and any(
            self._can_decode(engine) for engine in decode_capable or engines
        )

    def _can_decode(self, engine: engine_lib.Engine) -> bool:
        if self._variant.admission is variants.Admission.NONE:
            return True
        return (
            self.runner_loads.streams(engine.runner) < engine.speed.max_streams
        )

    def _can_prefill(self, engine: engine_lib.Engine) -> bool:
        if self._variant.admission is variants.Admission.NONE:
            return True
        limit = self._limit_by_runner[engine.runner]
        return limit.allows(self.runner_loads.own_streams(engine.runner))

    def _candidate(
        self, engine: engine_lib.Engine, request: workload.Request
    ) -> routing.Candidate:
        cached_pieces = self.prefix_index.cached_pieces(
            engine.runner, request.prefix_hashes
        )
        return routing.Candidate(
            runner=engine.runner,
            waiting_tokens=self.runner_loads.waiting_tokens(engine.runner),
            streams=self.runner_loads.streams(engine.runner),
            same_zone=engine.zone == self.zone,
            role=engine.role,
            cached_tokens=cached_pieces * speeds.PIECE_TOKENS,
            can_prefill=self._can_prefill(engine),
            can_decode=self._can_decode(engine),
            token_gap_ms=self._token_gap_ms_by_runner.get(engine.runner, 0.0),
            free_pieces=self.runner_loads.free_pieces(engine.runner),
        )

    def _select_by_baseline(
        self, candidates: list[routing.Candidate]
    ) -> routing.Placement | None:
        """Select runners by the baseline's rule among those of fitting role."""
        mixed = fleet.Role.MIXED
        prefill_capable = [
            candidate
            for candidate in candidates
            if candidate.role is not fleet.Role.DECODE
        ]
        decode_capable = [
            candidate
            for candidate in candidates
            if candidate.role is not fleet.Role.PREFILL
        ]
        available = [
            candidate
            for candidate in prefill_capable or candidates
            if candidate.can_prefill
        ]
        prefill_runner = self._choose_by_baseline(available)
        if prefill_runner is None:
            return None
        role_by_runner = {
            candidate.runner: candidate.role for candidate in candidates
        }
        decode_runner = prefill_runner
        if role_by_runner[prefill_runner] is not mixed:
            available = [
                candidate
                for candidate in decode_capable or candidates
                if candidate.can_decode
            ]
            decode_runner = (
                self._choose_by_baseline(available or decode_capable)
                or prefill_runner
            )
        return routing.Placement(
            prefill_runner=prefill_runner,
            decode_runner=decode_runner,
            cost_ms=0.0,
        )

    def _choose_by_baseline(
        self, candidates: list[routing.Candidate]
    ) -> str | None:
        no_runners: frozenset[str] = frozenset()
        match self._variant.routing:
            case variants.Routing.RANDOM:
                return routing.choose_random(
                    candidates, avoid=no_runners, rng=self._rng
                )
            case variants.Routing.BEST_OF_TWO:
                return routing.choose_best_of_two(
                    candidates, avoid=no_runners, rng=self._rng
                )
            case _:
                return routing.choose_least_loaded(candidates, avoid=no_runners)

    def _max_cached_tokens(self, request: workload.Request) -> int:
        """Return the most prompt tokens that any runner has cached."""
        cached_piece_counts = (
            self.prefix_index.cached_pieces(
                engine.runner, request.prefix_hashes
            )
            for engine in self._engines
        )
        return max(cached_piece_counts, default=0) * speeds.PIECE_TOKENS

    def _estimate_work(
        self, request: workload.Request
    ) -> routing.EstimatedWork:
        return routing.EstimatedWork(
            prompt_tokens=request.prompt_tokens,
            output_tokens=self.output_lengths.estimate(
                request.kind, request.account, MAX_OUTPUT_TOKENS
            ),
        )


def _nominal_run_ms(work: routing.EstimatedWork) -> float:
    """Return the nominal run time on an engine with half its streams."""
    speed = speeds.DEFAULT
    prefill_ms = speed.prefill_work_ms(work.prompt_tokens)
    streams = speed.max_streams // 2
    return prefill_ms + work.output_tokens * speed.decode_step_ms(streams)
