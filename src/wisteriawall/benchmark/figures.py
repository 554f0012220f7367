"""Figures of a run, and the upper bound on goodput of any policy."""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Sequence
from typing import final

import msgspec

from wisteriawall.benchmark import results as results_lib
from wisteriawall.benchmark import workload

__all__ = ["Figures", "goodput_bound", "jain_index", "measure", "percentile"]

BOUND_WINDOW_COUNT = 30


@final
class Figures(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one policy on one trace.

    Attributes:
        offered: Requests in the trace.
        goodput: Share of the offered requests that were answered completely
            within their deadline ("good").
        good_per_s: Good answers a second of the trace.
        refused: Requests that were refused.
        late: Requests neither good nor refused.
        first_token_p95_ms: 95th percentile of arrival to first token.
        between_tokens_p95_ms: 95th percentile of the gap between tokens.
        role_changes: Role changes that were started.
        lost_engine_s: Engine time spent on draining and role changes.
        fairness: Jain's index, over accounts, of the share of offered tokens
            that belongs to good answers.
        amplification: Attempts for each request that was dispatched at least
            once.
    """

    offered: int
    goodput: float
    good_per_s: float
    refused: int
    late: int
    first_token_p95_ms: float
    between_tokens_p95_ms: float
    role_changes: int
    lost_engine_s: float
    fairness: float
    amplification: float


def measure(run: results_lib.RunResult, *, duration_ms: float) -> Figures:
    """Return the figures of a run of a trace of `duration_ms`."""
    good = [result for result in run.results if result.met_deadline]
    dispatched = [result for result in run.results if result.attempts]
    waits_ms = [
        result.first_token_ms - result.request.arrival_ms
        for result in dispatched
        if result.first_token_ms - result.request.arrival_ms < float("inf")
    ]
    refused = sum(result.is_refused for result in run.results)
    attempts = sum(result.attempts for result in dispatched)
    return Figures(
        offered=len(run.results),
        goodput=len(good) / max(1, len(run.results)),
        good_per_s=len(good) / duration_ms * 1_000,
        refused=refused,
        late=len(run.results) - len(good) - refused,
        first_token_p95_ms=percentile(Counter(waits_ms), 0.95),
        between_tokens_p95_ms=percentile(run.tokens_by_gap_ms, 0.95),
        role_changes=run.role_changes,
        lost_engine_s=run.lost_engine_s,
        fairness=jain_index(_good_share_by_account(run.results).values()),
        amplification=attempts / max(1, len(dispatched)),
    )


def percentile(count_by_value: dict[float, int], share: float) -> float:
    """Return the least value that `share` of all values do not exceed."""
    remaining_count = share * sum(count_by_value.values())
    value = 0.0
    for value in sorted(count_by_value):
        remaining_count -= count_by_value[value]
        if remaining_count <= 0:
            break
    return value


def jain_index(values: Iterable[float]) -> float:
    """Return Jain's fairness index: 1 for equal values or none, else less."""
    listed = list(values)
    squares = sum(value * value for value in listed)
    return sum(listed) ** 2 / (len(listed) * squares) if squares else 1.0


def goodput_bound(
    trace: workload.Trace, deployment: workload.Deployment
) -> float:
    """Return an upper bound on the goodput of any policy.

    The bound assumes that all requests are known in advance and that the fleet
    is one machine with full batches, no role changes, no KV cache transfers
    and no cache misses of shared prefixes. Requests that both arrive and have
    their deadline within a window share that window's engine time; at least
    as many of them miss their deadline as do not fit when the cheapest run
    first. The bound counts these misses over the disjoint windows in which
    their sum is largest.
    """
    edges_ms = _window_edges_ms(trace)
    lost_by_window: dict[tuple[int, int], int] = {}
    sorted_requests = sorted(
        (_min_engine_ms(request), request.arrival_ms, request.deadline_ms)
        for request in trace.requests
    )
    for first, start_ms in enumerate(edges_ms):
        for last in range(first + 1, len(edges_ms)):
            end_ms = edges_ms[last]
            engine_times_ms = [
                engine_ms
                for engine_ms, arrival_ms, deadline_ms in sorted_requests
                if arrival_ms >= start_ms and deadline_ms <= end_ms
            ]
            capacity_ms = (end_ms - start_ms) * deployment.runner_count
            if trace.withdrawn_at_ms is not None:
                withdrawn_ms = max(start_ms, trace.withdrawn_at_ms)
                capacity_ms -= max(0.0, end_ms - withdrawn_ms)
            lost_by_window[first, last] = _unfit_count(
                engine_times_ms, capacity_ms
            )
    max_lost_until = [0] * len(edges_ms)
    for last in range(1, len(edges_ms)):
        max_lost_until[last] = max(
            max_lost_until[first] + lost_by_window[first, last]
            for first in range(last)
        )
    return 1 - max_lost_until[-1] / max(1, len(trace.requests))


def _window_edges_ms(trace: workload.Trace) -> list[float]:
    end_ms = max(
        (request.deadline_ms for request in trace.requests), default=1.0
    )
    return [
        end_ms * i / BOUND_WINDOW_COUNT for i in range(BOUND_WINDOW_COUNT + 1)
    ]


def _unfit_count(engine_times_ms: Sequence[float], capacity_ms: float) -> int:
    """Return how many requests exceed the capacity.

    `engine_times_ms` is in ascending order.
    """
    for index, engine_ms in enumerate(engine_times_ms):
        capacity_ms -= engine_ms
        if capacity_ms < 0:
            return len(engine_times_ms) - index - 1
    return 0


def _min_engine_ms(request: workload.Request) -> float:
    """Return the least engine time, with the shared prefix cached."""
    return workload.min_engine_ms(
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.output_tokens,
        cached_tokens=request.shared_prefix_tokens,
    )


def _good_share_by_account(
    results: Sequence[results_lib.RequestResult],
) -> dict[str, float]:
    """Return the share of offered tokens that good answers have."""
    offered: Counter[str] = Counter()
    good: Counter[str] = Counter()
    for result in results:
        request = result.request
        tokens = request.prompt_tokens + request.output_tokens
        offered[request.account] += tokens
        if result.met_deadline:
            good[request.account] += tokens
    return {name: good[name] / offered[name] for name in offered}
