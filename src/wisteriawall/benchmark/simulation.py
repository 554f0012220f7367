"""Discrete-event simulation of one policy on one trace."""

from collections.abc import Callable
import heapq
import itertools
import math
import random
from typing import final

from wisteriawall.benchmark import engine as engine_lib
from wisteriawall.benchmark import entry as entry_lib
from wisteriawall.benchmark import results
from wisteriawall.benchmark import role_controller as role_controller_lib
from wisteriawall.benchmark import variants
from wisteriawall.benchmark import workload
from wisteriawall.policy import admission_queue
from wisteriawall.policy import roles
from wisteriawall.policy import speeds
from wisteriawall.wire import fleet
from wisteriawall.wire import load_messages

__all__ = ["run"]

REPORT_INTERVAL_MS = 100.0
QUEUE_CHECK_INTERVAL_MS = 100.0
PLAN_INTERVAL_MS = 1_000.0
# Exceeds the longest deadline, 120 s.
GRACE_AFTER_TRACE_MS = 130_000.0
CACHE_EVENT_LOSS_PROBABILITY = 0.01
FAILURE_DETECTION_MS = 50.0


def run(
    trace: workload.Trace,
    deployment: workload.Deployment,
    variant: variants.Variant,
    *,
    seed: int,
) -> results.RunResult:
    """Simulate one run; the same arguments give the same result."""
    simulation = _Simulation(trace, deployment, variant, seed)
    return simulation.run()


@final
class _Simulation:
    """Event queue in virtual time, with the engines and entries."""

    def __init__(
        self,
        trace: workload.Trace,
        deployment: workload.Deployment,
        variant: variants.Variant,
        seed: int,
    ) -> None:
        self._trace = trace
        self._variant = variant
        self._rng = random.Random(f"feed|{seed}")
        self._sequence_numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        initial_roles = role_controller_lib.initial_roles(
            variant, deployment.runner_count
        )
        self._engines = [
            engine_lib.Engine(
                runner=f"runner-{index}", zone=f"zone-{index % 3}", role=role
            )
            for index, role in enumerate(initial_roles)
        ]
        self._engine_by_runner = {
            engine.runner: engine for engine in self._engines
        }
        self._entries = [
            entry_lib.Entry(
                zone=f"zone-{index % deployment.zone_count}",
                variant=variant,
                engines=self._engines,
                entry_count=deployment.entry_count,
                seed=f"entry|{index}|{seed}",
            )
            for index in range(deployment.entry_count)
        ]
        self._role_controller = role_controller_lib.RoleController(
            variant=variant, deployment=deployment
        )
        self._result_by_id = {
            request.request_id: results.RequestResult(request=request)
            for request in trace.requests
        }
        self._scheduled_end_ms_by_runner = {
            engine.runner: math.inf for engine in self._engines
        }
        self._sequence_by_runner = {
            engine.runner: 0 for engine in self._engines
        }
        self._target_role_by_runner: dict[str, fleet.Role] = {}
        self._drain_start_ms_by_runner: dict[str, float] = {}
        self._service = deployment.name
        self._role_changes = 0
        self._lost_ms = 0.0
        self._end_ms = trace.duration_ms + GRACE_AFTER_TRACE_MS

    def run(self) -> results.RunResult:
        """Process events until none is left or the time is over."""
        for request in self._trace.requests:
            self._call_at(request.arrival_ms, self._make_arrival(request))
        self._call_at(0.0, self._send_reports)
        self._call_at(0.0, self._check_queues)
        self._call_at(0.0, self._plan_roles)
        if self._trace.withdrawn_at_ms is not None:
            self._call_at(self._trace.withdrawn_at_ms, self._withdraw_engine)
        while self._events:
            now_ms, _, callback = heapq.heappop(self._events)
            if now_ms > self._end_ms:
                break
            callback(now_ms)
        return self._collect_results()

    def _collect_results(self) -> results.RunResult:
        """Return the results, with token counts summed over the engines."""
        tokens_by_gap_ms: dict[float, int] = {}
        for engine in self._engines:
            for gap_ms, tokens in engine.tokens_by_gap_ms.items():
                earlier_tokens = tokens_by_gap_ms.get(gap_ms, 0)
                tokens_by_gap_ms[gap_ms] = earlier_tokens + tokens
        return results.RunResult(
            results=list(self._result_by_id.values()),
            tokens_by_gap_ms=tokens_by_gap_ms,
            role_changes=self._role_changes,
            lost_engine_s=self._lost_ms / 1_000,
        )

    def _call_at(self, at_ms: float, callback: Callable[[float], None]) -> None:
        """Schedule `callback`, which gets the virtual time of its call."""
        heapq.heappush(
            self._events, (at_ms, next(self._sequence_numbers), callback)
        )

    def _make_arrival(
        self, request: workload.Request
    ) -> Callable[[float], None]:
        def handle_arrival(now_ms: float) -> None:
            entry = self._entries[request.entry_index]
            if entry.admit(request, now_ms) is not None:
                self._result_by_id[request.request_id].is_refused = True
                return
            self._dispatch_ready(entry, now_ms)

        return handle_arrival

    def _dispatch_ready(self, entry: entry_lib.Entry, now_ms: float) -> None:
        for effect in entry.dispatch_ready(now_ms):
            match effect:
                case admission_queue.Refused(waiting=waiting):
                    result = self._result_by_id[waiting.request_id]
                    result.is_refused = True
                case entry_lib.Dispatch():
                    self._dispatch(effect, now_ms)

    def _dispatch(self, effect: entry_lib.Dispatch, now_ms: float) -> None:
        request, placement = effect.request, effect.placement
        result = self._result_by_id[request.request_id]
        result.attempts += 1
        result.dispatched_ms = now_ms
        result.decode_runner = placement.decode_runner
        combined = engine_lib.Stages.PREFILL_AND_DECODE
        stages = engine_lib.Stages.PREFILL if placement.is_pair else combined
        self._submit_job(
            placement.prefill_runner, request, stages, result, now_ms
        )

    def _submit_job(
        self,
        runner: str,
        request: workload.Request,
        stages: engine_lib.Stages,
        result: results.RequestResult,
        now_ms: float,
    ) -> None:
        engine = self._engine_by_runner[runner]
        is_decode = stages is engine_lib.Stages.DECODE
        job = engine_lib.Job(
            request=request,
            stages=stages,
            remaining_prompt_tokens=0 if is_decode else request.prompt_tokens,
            remaining_output_tokens=request.output_tokens - is_decode,
            sort_key=self._sort_key(request, now_ms),
            attempt=result.attempts,
        )
        if engine.phase is fleet.RunnerPhase.LOST:
            self._call_at(
                now_ms + FAILURE_DETECTION_MS,
                self._make_loss_handler(runner, job),
            )
            return
        engine.submit(job, now_ms)
        self._schedule_step_end(engine)

    def _sort_key(self, request: workload.Request, now_ms: float) -> float:
        match self._variant.order:
            case variants.QueueOrder.ARRIVAL:
                return now_ms
            case variants.QueueOrder.ELAPSED:
                return request.arrival_ms
            case variants.QueueOrder.DEADLINE:
                return request.deadline_ms

    def _schedule_step_end(self, engine: engine_lib.Engine) -> None:
        step_end_ms = engine.step_end_ms
        if step_end_ms == self._scheduled_end_ms_by_runner[engine.runner]:
            return
        self._scheduled_end_ms_by_runner[engine.runner] = step_end_ms
        if step_end_ms < math.inf:
            self._call_at(
                step_end_ms, lambda now_ms: self._end_step(engine, now_ms)
            )

    def _end_step(self, engine: engine_lib.Engine, now_ms: float) -> None:
        # A submitted job or a crash has changed the end of the step.
        if engine.step_end_ms != now_ms:
            return
        events = engine.end_step()
        self._scheduled_end_ms_by_runner[engine.runner] = math.inf
        self._schedule_step_end(engine)
        for event in events:
            self._handle_job_event(engine, event, now_ms)
        is_draining = engine.phase is fleet.RunnerPhase.DRAINING
        if is_draining and engine.is_empty:
            self._start_role_change(engine, now_ms)

    def _handle_job_event(
        self,
        engine: engine_lib.Engine,
        event: engine_lib.JobEvent,
        now_ms: float,
    ) -> None:
        request = event.job.request
        result = self._result_by_id[request.request_id]
        entry = self._entries[request.entry_index]
        match event.kind:
            case engine_lib.JobEventKind.FIRST_TOKEN:
                result.first_token_ms = min(result.first_token_ms, now_ms)
                entry.record_first_token(request, now_ms)
            case engine_lib.JobEventKind.PREFILLED:
                result.first_token_ms = min(result.first_token_ms, now_ms)
                self._transfer_kv_cache(engine, request, result, now_ms)
            case engine_lib.JobEventKind.FINISHED:
                result.completed_ms = now_ms
                gaps = max(1, request.output_tokens - 1)
                gap_ms = (now_ms - result.first_token_ms) / gaps
                entry.record_finished(
                    request,
                    engine.runner,
                    gap_ms=gap_ms,
                    run_ms=now_ms - result.dispatched_ms,
                )
                self._dispatch_ready(entry, now_ms)

    def _transfer_kv_cache(
        self,
        engine: engine_lib.Engine,
        request: workload.Request,
        result: results.RequestResult,
        now_ms: float,
    ) -> None:
        """Transfer the KV cache of a prefilled prompt to the decode runner.

        Another runner is selected if that one is no longer live.
        """
        entry = self._entries[request.entry_index]
        decoder = self._engine_by_runner[result.decode_runner]
        if decoder.phase is not fleet.RunnerPhase.LIVE:
            decoder = self._replacement_decoder(engine)
        entry.record_decode_start(request, decoder.runner, now_ms)
        result.decode_runner = decoder.runner
        piece_count = speeds.piece_count(request.prompt_tokens)
        at_ms = now_ms + piece_count * decoder.speed.transfer_ms_per_piece
        stages = engine_lib.Stages.DECODE
        self._call_at(
            at_ms,
            lambda later_ms: self._submit_job(
                decoder.runner, request, stages, result, later_ms
            ),
        )
        self._dispatch_ready(entry, now_ms)

    def _replacement_decoder(
        self, engine: engine_lib.Engine
    ) -> engine_lib.Engine:
        """Return the live engine best suited to decode, else `engine`.

        Engines of another role than prefill come first, then those with the
        smallest share of active jobs.
        """
        live = [
            other
            for other in self._engines
            if other.phase is fleet.RunnerPhase.LIVE
        ]
        return min(
            live,
            key=lambda other: (
                other.role is fleet.Role.PREFILL,
                other.active_jobs / other.speed.max_streams,
            ),
            default=engine,
        )

    def _make_loss_handler(
        self, runner: str, job: engine_lib.Job
    ) -> Callable[[float], None]:
        def handle_loss(now_ms: float) -> None:
            request = job.request
            entry = self._entries[request.entry_index]
            entry.record_lost_attempt(request)
            retry = entry.retry(request, runner, now_ms)
            if retry is not None:
                self._dispatch(retry, now_ms)
            self._dispatch_ready(entry, now_ms)

        return handle_loss

    def _withdraw_engine(self, now_ms: float) -> None:
        """Remove one engine without draining; its jobs and cache are lost."""
        engine = self._engines[-1]
        if engine.phase in (
            fleet.RunnerPhase.DRAINING,
            fleet.RunnerPhase.CHANGING,
        ):
            engine = self._engines[0]
        for job in engine.crash():
            handle_loss = self._make_loss_handler(engine.runner, job)
            self._call_at(now_ms + FAILURE_DETECTION_MS, handle_loss)

    def _send_reports(self, now_ms: float) -> None:
        for engine in self._engines:
            if engine.phase is not fleet.RunnerPhase.LOST:
                self._send_report(engine, now_ms)
        if now_ms + REPORT_INTERVAL_MS <= self._end_ms:
            self._call_at(now_ms + REPORT_INTERVAL_MS, self._send_reports)

    def _send_report(self, engine: engine_lib.Engine, now_ms: float) -> None:
        """Deliver load and cache changes to all entries after the lag.

        Every 100th report carries the complete cache, from which an entry
        recovers after lost cache events.
        """
        self._sequence_by_runner[engine.runner] += 1
        sequence = self._sequence_by_runner[engine.runner]
        report = fleet.LoadReport(
            runner=engine.runner,
            incarnation=1,
            sequence=sequence,
            waiting_prefill_tokens=engine.pending_prompt_tokens,
            running_streams=engine.active_jobs + engine.waiting_jobs,
            free_pieces=engine.free_pieces,
        )
        cache_events = load_messages.CacheEvents(
            runner=engine.runner,
            incarnation=1,
            sequence=sequence,
            complete=sequence % 100 == 1,
            changes=self._reported_cache_changes(engine, sequence),
        )
        engine.cache_changes = []

        def deliver(later_ms: float) -> None:
            self._role_controller.load_report_by_runner[report.runner] = report
            for entry in self._entries:
                entry.runner_loads.apply_report(report, now_ms=int(later_ms))
                if self._rng.random() >= CACHE_EVENT_LOSS_PROBABILITY:
                    entry.prefix_index.apply(cache_events)

        self._call_at(now_ms + self._trace.report_lag_ms, deliver)

    @staticmethod
    def _reported_cache_changes(
        engine: engine_lib.Engine, sequence: int
    ) -> list[load_messages.CacheChange]:
        if sequence % 100 != 1:
            return engine.cache_changes
        return [
            load_messages.CacheChange(prefix, True) for prefix in engine.cache
        ]

    def _check_queues(self, now_ms: float) -> None:
        for entry in self._entries:
            self._dispatch_ready(entry, now_ms)
        if now_ms + QUEUE_CHECK_INTERVAL_MS <= self._end_ms:
            self._call_at(now_ms + QUEUE_CHECK_INTERVAL_MS, self._check_queues)

    def _plan_roles(self, now_ms: float) -> None:
        demands = []
        for entry in self._entries:
            demands.append(
                fleet.ServiceDemand(
                    self._service,
                    entry.prefill_demand_tokens,
                    entry.decode_demand_tokens,
                )
            )
            entry.prefill_demand_tokens = entry.decode_demand_tokens = 0
        changes = list(
            self._role_controller.decide_changes(
                self._engines,
                demands,
                now_ms,
                queued_tokens=sum(
                    entry.queued_tokens for entry in self._entries
                ),
                target_by_runner=self._target_role_by_runner,
            )
        )
        for change in changes:
            self._start_draining(change, now_ms)
        if now_ms + PLAN_INTERVAL_MS <= self._trace.duration_ms:
            self._call_at(now_ms + PLAN_INTERVAL_MS, self._plan_roles)

    def _start_draining(self, change: roles.RoleChange, now_ms: float) -> None:
        engine = self._engine_by_runner[change.runner]
        engine.phase = fleet.RunnerPhase.DRAINING
        self._target_role_by_runner[change.runner] = change.role
        self._drain_start_ms_by_runner[change.runner] = now_ms
        self._role_changes += 1
        if engine.is_empty:
            self._start_role_change(engine, now_ms)

    def _start_role_change(
        self, engine: engine_lib.Engine, now_ms: float
    ) -> None:
        engine.phase = fleet.RunnerPhase.CHANGING

        def handle_role_changed(later_ms: float) -> None:
            engine.finish_role_change(
                self._target_role_by_runner.pop(engine.runner)
            )
            drain_start_ms = self._drain_start_ms_by_runner[engine.runner]
            self._lost_ms += later_ms - drain_start_ms
            for entry in self._entries:
                self._dispatch_ready(entry, later_ms)

        self._call_at(
            now_ms + role_controller_lib.ROLE_CHANGE_S * 1_000,
            handle_role_changed,
        )
