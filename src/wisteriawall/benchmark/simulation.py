"""One run of a policy on a trace in virtual time."""

from collections.abc import Callable
import heapq
import itertools
import math
import random
from typing import final

from wisteriawall.benchmark import answers
from wisteriawall.benchmark import controls as controls_lib
from wisteriawall.benchmark import engine as engine_lib
from wisteriawall.benchmark import front as front_lib
from wisteriawall.benchmark import variants
from wisteriawall.benchmark import workload
from wisteriawall.policy import admission_queue
from wisteriawall.policy import roles
from wisteriawall.policy import speeds
from wisteriawall.wire import fleet
from wisteriawall.wire import load_messages

__all__ = ["run"]

REPORT_EVERY_MS = 100.0
TICK_MS = 100.0
PLAN_EVERY_MS = 1_000.0
TAIL_MS = 130_000.0
FEED_LOSS = 0.01
LOST_AFTER_MS = 50.0


def run(
    trace: workload.Trace,
    deployment: workload.Deployment,
    variant: variants.Variant,
    *,
    seed: int,
) -> answers.Run:
    """Run one policy on one trace; the same arguments give the same run."""
    simulation = _Simulation(trace, deployment, variant, seed)
    return simulation.run()


@final
class _Simulation:
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
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        first = controls_lib.first_roles(variant, deployment.runners)
        self._engines = [
            engine_lib.Engine(
                runner=f"runner-{i}", zone=f"zone-{i % 3}", role=role
            )
            for i, role in enumerate(first)
        ]
        self._engine_by_runner = {e.runner: e for e in self._engines}
        self._fronts = [
            front_lib.Front(
                zone=f"zone-{i % deployment.zones}",
                variant=variant,
                engines=self._engines,
                entries=deployment.entries,
                seed=f"entry|{i}|{seed}",
            )
            for i in range(deployment.entries)
        ]
        self._controls = controls_lib.Controls(
            variant=variant, deployment=deployment
        )
        self._answer_by_id = {
            r.request_id: answers.Answer(request=r) for r in trace.requests
        }
        self._due_by_runner = {e.runner: math.inf for e in self._engines}
        self._sequence_by_runner = {e.runner: 0 for e in self._engines}
        self._role_by_runner: dict[str, fleet.Role] = {}
        self._left_ms_by_runner: dict[str, float] = {}
        self._service = deployment.name
        self._role_changes = 0
        self._lost_ms = 0.0
        self._end_ms = trace.duration_ms + TAIL_MS

    def run(self) -> answers.Run:
        for request in self._trace.requests:
            self._at(request.arrival_ms, self._arrival(request))
        self._at(0.0, self._report)
        self._at(0.0, self._tick)
        self._at(0.0, self._plan)
        if self._trace.withdrawn_at_ms is not None:
            self._at(self._trace.withdrawn_at_ms, self._withdraw)
        while self._events:
            now_ms, _, act = heapq.heappop(self._events)
            if now_ms > self._end_ms:
                break
            act(now_ms)
        return self._result()

    def _result(self) -> answers.Run:
        tokens_by_gap_ms: dict[float, int] = {}
        for engine in self._engines:
            for gap_ms, tokens in engine.tokens_by_gap_ms.items():
                before = tokens_by_gap_ms.get(gap_ms, 0)
                tokens_by_gap_ms[gap_ms] = before + tokens
        return answers.Run(
            answers=list(self._answer_by_id.values()),
            tokens_by_gap_ms=tokens_by_gap_ms,
            role_changes=self._role_changes,
            lost_engine_s=self._lost_ms / 1_000,
        )

    def _at(self, at_ms: float, act: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._numbers), act))

    def _arrival(self, request: workload.Request) -> Callable[[float], None]:
        def arrive(now_ms: float) -> None:
            front = self._fronts[request.entry]
            if front.offer(request, now_ms) is not None:
                self._answer_by_id[request.request_id].is_refused = True
                return
            self._pump(front, now_ms)

        return arrive

    def _pump(self, front: front_lib.Front, now_ms: float) -> None:
        for effect in front.pump(now_ms):
            match effect:
                case admission_queue.Refused(waiting=waiting):
                    answer = self._answer_by_id[waiting.request_id]
                    answer.is_refused = True
                case front_lib.Dispatch():
                    self._dispatch(effect, now_ms)

    def _dispatch(self, effect: front_lib.Dispatch, now_ms: float) -> None:
        request, placement = effect.request, effect.placement
        answer = self._answer_by_id[request.request_id]
        answer.attempts += 1
        answer.sent_ms = now_ms
        answer.decode_runner = placement.decode_runner
        whole = engine_lib.Part.WHOLE
        part = engine_lib.Part.PREFILL if placement.is_pair else whole
        self._submit(placement.prefill_runner, request, part, answer, now_ms)

    def _submit(
        self,
        runner: str,
        request: workload.Request,
        part: engine_lib.Part,
        answer: answers.Answer,
        now_ms: float,
    ) -> None:
        engine = self._engine_by_runner[runner]
        is_decode = part is engine_lib.Part.DECODE
        job = engine_lib.Job(
            request=request,
            part=part,
            prompt_left=0 if is_decode else request.prompt_tokens,
            output_left=request.output_tokens - is_decode,
            order=self._order(request, now_ms),
            attempt=answer.attempts,
        )
        if engine.phase is fleet.RunnerPhase.LOST:
            self._at(now_ms + LOST_AFTER_MS, self._loss(runner, job))
            return
        engine.submit(job, now_ms)
        self._schedule(engine)

    def _order(self, request: workload.Request, now_ms: float) -> float:
        match self._variant.order:
            case variants.Order.ARRIVAL:
                return now_ms
            case variants.Order.ELAPSED:
                return request.arrival_ms
            case variants.Order.DEADLINE:
                return request.deadline_ms

    def _schedule(self, engine: engine_lib.Engine) -> None:
        ends_ms = engine.ends_ms
        if ends_ms == self._due_by_runner[engine.runner]:
            return
        self._due_by_runner[engine.runner] = ends_ms
        if ends_ms < math.inf:
            self._at(ends_ms, lambda now_ms: self._step(engine, now_ms))

    def _step(self, engine: engine_lib.Engine, now_ms: float) -> None:
        if engine.ends_ms != now_ms:
            return
        outcomes = engine.end_step()
        self._due_by_runner[engine.runner] = math.inf
        self._schedule(engine)
        for outcome in outcomes:
            self._on_outcome(engine, outcome, now_ms)
        is_draining = engine.phase is fleet.RunnerPhase.DRAINING
        if is_draining and engine.is_empty:
            self._change(engine, now_ms)

    def _on_outcome(
        self,
        engine: engine_lib.Engine,
        outcome: engine_lib.Outcome,
        now_ms: float,
    ) -> None:
        request = outcome.job.request
        answer = self._answer_by_id[request.request_id]
        front = self._fronts[request.entry]
        match outcome.kind:
            case engine_lib.OutcomeKind.FIRST_TOKEN:
                answer.first_ms = min(answer.first_ms, now_ms)
                front.started(request, now_ms)
            case engine_lib.OutcomeKind.PREFILLED:
                answer.first_ms = min(answer.first_ms, now_ms)
                self._hand_over(engine, request, answer, now_ms)
            case engine_lib.OutcomeKind.FINISHED:
                answer.ended_ms = now_ms
                gaps = max(1, request.output_tokens - 1)
                gap_ms = (now_ms - answer.first_ms) / gaps
                front.finished(
                    request,
                    engine.runner,
                    gap_ms=gap_ms,
                    run_ms=now_ms - answer.sent_ms,
                )
                self._pump(front, now_ms)

    def _hand_over(
        self,
        engine: engine_lib.Engine,
        request: workload.Request,
        answer: answers.Answer,
        now_ms: float,
    ) -> None:
        """Move the KV pieces to the runner that decodes."""
        front = self._fronts[request.entry]
        decoder = self._engine_by_runner[answer.decode_runner]
        if decoder.phase is not fleet.RunnerPhase.LIVE:
            decoder = self._other_decoder(engine)
        front.decoding(request, decoder.runner, now_ms)
        answer.decode_runner = decoder.runner
        moved = speeds.piece_count(request.prompt_tokens)
        at_ms = now_ms + moved * decoder.speed.transfer_ms_per_piece
        part = engine_lib.Part.DECODE
        self._at(
            at_ms,
            lambda then_ms: self._submit(
                decoder.runner, request, part, answer, then_ms
            ),
        )
        self._pump(front, now_ms)

    def _other_decoder(self, engine: engine_lib.Engine) -> engine_lib.Engine:
        """Return the live engine best fit to decode, else the same one."""
        live = [e for e in self._engines if e.phase is fleet.RunnerPhase.LIVE]
        return min(
            live,
            key=lambda e: (
                e.role is fleet.Role.PREFILL,
                e.streams / e.speed.max_streams,
            ),
            default=engine,
        )

    def _loss(
        self, runner: str, job: engine_lib.Job
    ) -> Callable[[float], None]:
        def lose(now_ms: float) -> None:
            request = job.request
            front = self._fronts[request.entry]
            front.failed(request)
            again = front.retry(request, runner, now_ms)
            if again is not None:
                self._dispatch(again, now_ms)
            self._pump(front, now_ms)

        return lose

    def _withdraw(self, now_ms: float) -> None:
        """Take one engine away at once, with all that it holds."""
        engine = self._engines[-1]
        if engine.phase in (
            fleet.RunnerPhase.DRAINING,
            fleet.RunnerPhase.CHANGING,
        ):
            engine = self._engines[0]
        for job in engine.crash():
            lose = self._loss(engine.runner, job)
            self._at(now_ms + LOST_AFTER_MS, lose)

    def _report(self, now_ms: float) -> None:
        for engine in self._engines:
            if engine.phase is not fleet.RunnerPhase.LOST:
                self._send_report(engine, now_ms)
        if now_ms + REPORT_EVERY_MS <= self._end_ms:
            self._at(now_ms + REPORT_EVERY_MS, self._report)

    def _send_report(self, engine: engine_lib.Engine, now_ms: float) -> None:
        self._sequence_by_runner[engine.runner] += 1
        sequence = self._sequence_by_runner[engine.runner]
        report = fleet.LoadReport(
            runner=engine.runner,
            incarnation=1,
            sequence=sequence,
            waiting_prefill_tokens=engine.waiting_tokens,
            running_streams=engine.streams + engine.waiting,
            free_pieces=engine.free_pieces,
        )
        cache = load_messages.CacheEvents(
            runner=engine.runner,
            incarnation=1,
            sequence=sequence,
            complete=sequence % 100 == 1,
            changes=self._cache_changes(engine, sequence),
        )
        engine.changes = []

        def deliver(then_ms: float) -> None:
            self._controls.report_by_runner[report.runner] = report
            for front in self._fronts:
                front.view.apply_report(report, now_ms=int(then_ms))
                if self._rng.random() >= FEED_LOSS:
                    front.index.apply(cache)

        self._at(now_ms + self._trace.report_lag_ms, deliver)

    @staticmethod
    def _cache_changes(
        engine: engine_lib.Engine, sequence: int
    ) -> list[load_messages.CacheChange]:
        if sequence % 100 != 1:
            return engine.changes
        return [load_messages.CacheChange(p, True) for p in engine.cache]

    def _tick(self, now_ms: float) -> None:
        for front in self._fronts:
            self._pump(front, now_ms)
        if now_ms + TICK_MS <= self._end_ms:
            self._at(now_ms + TICK_MS, self._tick)

    def _plan(self, now_ms: float) -> None:
        demands = []
        for front in self._fronts:
            demands.append(
                fleet.ServiceDemand(
                    self._service, front.demand_prefill, front.demand_decode
                )
            )
            front.demand_prefill = front.demand_decode = 0
        changes = list(
            self._controls.tick(
                self._engines,
                demands,
                now_ms,
                queued_tokens=sum(f.queued_tokens for f in self._fronts),
                target_by_runner=self._role_by_runner,
            )
        )
        for change in changes:
            self._drain(change, now_ms)
        if now_ms + PLAN_EVERY_MS <= self._trace.duration_ms:
            self._at(now_ms + PLAN_EVERY_MS, self._plan)

    def _drain(self, change: roles.RoleChange, now_ms: float) -> None:
        engine = self._engine_by_runner[change.runner]
        engine.phase = fleet.RunnerPhase.DRAINING
        self._role_by_runner[change.runner] = change.role
        self._left_ms_by_runner[change.runner] = now_ms
        self._role_changes += 1
        if engine.is_empty:
            self._change(engine, now_ms)

    def _change(self, engine: engine_lib.Engine, now_ms: float) -> None:
        engine.phase = fleet.RunnerPhase.CHANGING

        def done(then_ms: float) -> None:
            engine.set_role(self._role_by_runner.pop(engine.runner))
            left_ms = self._left_ms_by_runner[engine.runner]
            self._lost_ms += then_ms - left_ms
            for front in self._fronts:
                self._pump(front, then_ms)

        self._at(now_ms + controls_lib.CHANGE_S * 1_000, done)
