"""One entry of a benchmark run: the pure policy modules put together."""

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

__all__ = ["Dispatch", "Front"]

PACE_SMOOTHING = 0.1
MAX_TOKENS = 4_000


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Dispatch:
    """A request leaves the entry for one runner or a pair."""

    request: workload.Request
    placement: routing.Placement


@final
class Front:
    """Entry that admits, places and settles requests."""

    def __init__(
        self,
        *,
        zone: str,
        variant: variants.Variant,
        engines: list[engine_lib.Engine],
        entries: int,
        seed: str,
    ) -> None:
        self.zone = zone
        self.view = load_view.LoadView()
        self.index = prefix_index.PrefixIndex()
        self.budget = retries.RetryBudget()
        self.queue = admission_queue.AdmissionQueue()
        self.estimates = estimates.OutputLengthEstimates()
        self.run_times = estimates.RunTimeEstimates()
        self.demand_prefill = 0
        self.demand_decode = 0
        self._variant = variant
        self._engines = engines
        self._rng = random.Random(seed)
        self._request_by_id: dict[str, workload.Request] = {}
        self._limit_by_runner = {
            e.runner: concurrency.ConcurrencyLimit(
                limit=speeds.DEFAULT.max_streams / entries
            )
            for e in engines
        }
        self._pace_ms_by_runner: dict[str, float] = {}
        self._sent_by_id: dict[str, tuple[str, float, float]] = {}

    @property
    def queued_tokens(self) -> int:
        """Return the estimated tokens that wait here."""
        return sum(w.tokens for w in self.queue.waiting_by_id.values())

    def offer(
        self, request: workload.Request, now_ms: float
    ) -> admission_queue.Refused | None:
        """Take in a request; return its refusal if it can't be met."""
        self.budget.add_request()
        work = self._work(request)
        self.demand_prefill += work.prompt_tokens - self._best_hit(request)
        self.demand_decode += work.output_tokens
        self._request_by_id[request.request_id] = request
        if self._variant.admission is variants.Admission.NONE:
            deadline_ms, run_ms = 10**9, 0
        else:
            deadline_ms = int(request.deadline_ms)
            run_ms = round(self.run_times.run_ms(request.kind, _run_ms(work)))
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

    def pump(
        self, now_ms: float
    ) -> Iterator[admission_queue.Refused | Dispatch]:
        """Yield refusals of late requests, then what may be dispatched."""
        for refused in admission_queue.refuse_expired(
            self.queue, now_ms=int(now_ms), rng=self._rng
        ):
            self._request_by_id.pop(refused.waiting.request_id, None)
            yield refused
        while self.queue.waiting_by_id:
            engines = [
                e for e in self._engines if e.phase is fleet.RunnerPhase.LIVE
            ]
            if not self._has_opening(engines):
                return
            waiting = admission_queue.dequeue(self.queue, now_ms=int(now_ms))
            if waiting is None:
                return
            request = self._request_by_id[waiting.request_id]
            placement = self.place(request, engines)
            if placement is None:
                raise RuntimeError("a runner had room, but none was chosen")
            yield self._dispatch(request, placement, now_ms)

    def retry(
        self, request: workload.Request, failed: str, now_ms: float
    ) -> Dispatch | None:
        """Place a failed request again if the retry budget allows it."""
        self._request_by_id.setdefault(request.request_id, request)
        engines = [
            e
            for e in self._engines
            if e.phase is fleet.RunnerPhase.LIVE and e.runner != failed
        ]
        placement = self.place(request, engines)
        if placement is None or not self.budget.take_retry():
            return None
        return self._dispatch(request, placement, now_ms)

    def place(
        self, request: workload.Request, engines: list[engine_lib.Engine]
    ) -> routing.Placement | None:
        """Choose the runners of one attempt."""
        candidates = [self._candidate(e, request) for e in engines]
        if self._variant.routing is variants.Routing.COST:
            return routing.choose_placement(
                candidates,
                work=self._work(request),
                avoid=frozenset(),
                rng=self._rng,
            )
        return self._place_plainly(candidates)

    def decoding(
        self, request: workload.Request, runner: str, now_ms: float
    ) -> None:
        """Record that the decode part went to a second runner."""
        self.started(request, now_ms)
        self.view.dispatched(
            request.request_id,
            runner=runner,
            prefill_tokens=0,
            now_ms=int(now_ms),
        )
        self.view.started(request.request_id)

    def started(self, request: workload.Request, now_ms: float) -> None:
        """Record a first token."""
        self.view.started(request.request_id)
        sent = self._sent_by_id.pop(request.request_id, None)
        if sent is None:
            return
        runner, sent_ms, expected_ms = sent
        self._limit_by_runner[runner].observe(
            measured_ms=now_ms - sent_ms,
            expected_ms=expected_ms,
            in_flight=self.view.own_streams(runner),
            now_ms=int(now_ms),
        )

    def finished(
        self,
        request: workload.Request,
        runner: str,
        *,
        gap_ms: float,
        run_ms: float,
    ) -> None:
        """Record a whole answer and settle its tokens.

        Args:
            request: The request.
            runner: The runner that decoded.
            gap_ms: Mean time between its tokens.
            run_ms: Time from its dispatch to its end.
        """
        self.run_times.observe(
            request.kind,
            measured_ms=run_ms,
            expected_ms=_run_ms(
                routing.EstimatedWork(
                    prompt_tokens=request.prompt_tokens,
                    output_tokens=request.output_tokens,
                )
            ),
        )
        before = self._pace_ms_by_runner.get(runner, gap_ms)
        self._pace_ms_by_runner[runner] = before + PACE_SMOOTHING * (
            gap_ms - before
        )
        self.view.finished(request.request_id)
        self._request_by_id.pop(request.request_id, None)
        self.estimates.observe(
            request.kind, request.account, request.output_tokens
        )
        admission_queue.correct_charge(
            self.queue,
            request.request_id,
            actual_tokens=request.prompt_tokens + request.output_tokens,
        )

    def failed(self, request: workload.Request) -> None:
        """Record an attempt that was lost."""
        self.view.finished(request.request_id)
        self._sent_by_id.pop(request.request_id, None)

    def _dispatch(
        self,
        request: workload.Request,
        placement: routing.Placement,
        now_ms: float,
    ) -> Dispatch:
        runner = placement.prefill_runner
        hit = self.index.cached_pieces(runner, request.prefixes)
        tokens = request.prompt_tokens - hit * speeds.PIECE_TOKENS
        self.view.dispatched(
            request.request_id,
            runner=runner,
            prefill_tokens=max(1, tokens),
            now_ms=int(now_ms),
        )
        alone_ms = speeds.DEFAULT.prefill_work_ms(max(1, tokens))
        expected_ms = alone_ms + 4 * speeds.DEFAULT.decode_step_ms(48)
        self._sent_by_id[request.request_id] = (runner, now_ms, expected_ms)
        self.index.assume_cached(runner, request.prefixes)
        return Dispatch(request=request, placement=placement)

    def _has_opening(self, engines: list[engine_lib.Engine]) -> bool:
        """Tell whether one runner may prefill and one may decode."""
        readers = [e for e in engines if e.role is not fleet.Role.DECODE]
        writers = [e for e in engines if e.role is not fleet.Role.PREFILL]
        return any(self._has_room(e) for e in readers or engines) and any(
            self._can_decode(e) for e in writers or engines
        )

    def _can_decode(self, engine: engine_lib.Engine) -> bool:
        if self._variant.admission is variants.Admission.NONE:
            return True
        return self.view.streams(engine.runner) < engine.speed.max_streams

    def _has_room(self, engine: engine_lib.Engine) -> bool:
        if self._variant.admission is variants.Admission.NONE:
            return True
        limit = self._limit_by_runner[engine.runner]
        return limit.allows(self.view.own_streams(engine.runner))

    def _candidate(
        self, engine: engine_lib.Engine, request: workload.Request
    ) -> routing.Candidate:
        hit = self.index.cached_pieces(engine.runner, request.prefixes)
        return routing.Candidate(
            runner=engine.runner,
            waiting_tokens=self.view.waiting_tokens(engine.runner),
            streams=self.view.streams(engine.runner),
            same_zone=engine.zone == self.zone,
            role=engine.role,
            cached_tokens=hit * speeds.PIECE_TOKENS,
            can_prefill=self._has_room(engine),
            can_decode=self._can_decode(engine),
            token_gap_ms=self._pace_ms_by_runner.get(engine.runner, 0.0),
            free_pieces=self.view.free_pieces(engine.runner),
        )

    def _place_plainly(
        self, candidates: list[routing.Candidate]
    ) -> routing.Placement | None:
        """Choose each part by the baseline's rule among fitting roles."""
        mixed = fleet.Role.MIXED
        readers = [c for c in candidates if c.role is not fleet.Role.DECODE]
        writers = [c for c in candidates if c.role is not fleet.Role.PREFILL]
        fitting = [c for c in readers or candidates if c.can_prefill]
        first = self._choose(fitting)
        if first is None:
            return None
        role_by_runner = {c.runner: c.role for c in candidates}
        second = first
        if role_by_runner[first] is not mixed:
            fitting = [c for c in writers or candidates if c.can_decode]
            second = self._choose(fitting or writers) or first
        return routing.Placement(
            prefill_runner=first, decode_runner=second, cost_ms=0.0
        )

    def _choose(self, candidates: list[routing.Candidate]) -> str | None:
        none: frozenset[str] = frozenset()
        match self._variant.routing:
            case variants.Routing.RANDOM:
                return routing.choose_random(
                    candidates, avoid=none, rng=self._rng
                )
            case variants.Routing.TWO:
                return routing.choose_best_of_two(
                    candidates, avoid=none, rng=self._rng
                )
            case _:
                return routing.choose_least_loaded(candidates, avoid=none)

    def _best_hit(self, request: workload.Request) -> int:
        """Return the prompt tokens that the best runner has cached."""
        hits = (
            self.index.cached_pieces(e.runner, request.prefixes)
            for e in self._engines
        )
        return max(hits, default=0) * speeds.PIECE_TOKENS

    def _work(self, request: workload.Request) -> routing.EstimatedWork:
        return routing.EstimatedWork(
            prompt_tokens=request.prompt_tokens,
            output_tokens=self.estimates.estimate(
                request.kind, request.account, MAX_TOKENS
            ),
        )


def _run_ms(work: routing.EstimatedWork) -> float:
    """Return the time to run a request on an engine half full."""
    speed = speeds.DEFAULT
    prefill_ms = speed.prefill_work_ms(work.prompt_tokens)
    streams = speed.max_streams // 2
    return prefill_ms + work.output_tokens * speed.decode_step_ms(streams)
