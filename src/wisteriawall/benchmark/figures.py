"""Figures of a run, and the bound that no policy can pass."""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Sequence
from typing import final

import msgspec

from wisteriawall.benchmark import answers as answers_lib
from wisteriawall.benchmark import workload

__all__ = ["Figures", "bound_goodput", "jain_index", "measure", "percentile"]

BOUND_WINDOWS = 30


@final
class Figures(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one policy on one trace.

    `goodput` is answers whole within their deadline over requests offered;
    `fairness` is Jain's index of good tokens over offered tokens by account;
    `amplification` is attempts over requests that were tried.
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


def measure(run: answers_lib.Run, *, duration_ms: float) -> Figures:
    """Return the figures of a run."""
    good = [a for a in run.answers if a.is_good]
    tried = [a for a in run.answers if a.attempts]
    waits = [
        a.first_ms - a.request.arrival_ms
        for a in tried
        if a.first_ms - a.request.arrival_ms < float("inf")
    ]
    refused = sum(a.is_refused for a in run.answers)
    attempts = sum(a.attempts for a in tried)
    return Figures(
        offered=len(run.answers),
        goodput=len(good) / max(1, len(run.answers)),
        good_per_s=len(good) / duration_ms * 1_000,
        refused=refused,
        late=len(run.answers) - len(good) - refused,
        first_token_p95_ms=percentile(Counter(waits), 0.95),
        between_tokens_p95_ms=percentile(run.tokens_by_gap_ms, 0.95),
        role_changes=run.role_changes,
        lost_engine_s=run.lost_engine_s,
        fairness=jain_index(_served_share_by_account(run.answers).values()),
        amplification=attempts / max(1, len(tried)),
    )


def percentile(count_by_value: dict[float, int], share: float) -> float:
    """Return the least value that `share` of the counts do not pass."""
    left = share * sum(count_by_value.values())
    value = 0.0
    for value in sorted(count_by_value):
        left -= count_by_value[value]
        if left <= 0:
            break
    return value


def jain_index(values: Iterable[float]) -> float:
    """Return Jain's fairness index: 1 when all values are equal."""
    listed = list(values)
    squares = sum(v * v for v in listed)
    return sum(listed) ** 2 / (len(listed) * squares) if squares else 1.0


def bound_goodput(
    trace: workload.Trace, deployment: workload.Deployment
) -> float:
    """Return a goodput that no policy can pass, the future being known.

    The fleet is one machine without changes, transfers, gaps in batches or
    cache misses. Of the requests that arrive and fall due within one window,
    the window's engine time holds at most those of the least work; the
    windows that lose the most without overlapping add up.
    """
    edges = _window_edges(trace)
    lost_by_window: dict[tuple[int, int], int] = {}
    costed = sorted(
        (_bound_work_ms(r), r.arrival_ms, r.deadline_ms) for r in trace.requests
    )
    for first, start_ms in enumerate(edges):
        for last in range(first + 1, len(edges)):
            end_ms = edges[last]
            works = [
                work
                for work, arrival_ms, deadline_ms in costed
                if arrival_ms >= start_ms and deadline_ms <= end_ms
            ]
            room_ms = (end_ms - start_ms) * deployment.runners
            if trace.withdrawn_at_ms is not None:
                gone_ms = max(start_ms, trace.withdrawn_at_ms)
                room_ms -= max(0.0, end_ms - gone_ms)
            lost_by_window[first, last] = _lost(works, room_ms)
    most = [0] * len(edges)
    for last in range(1, len(edges)):
        most[last] = max(
            most[first] + lost_by_window[first, last] for first in range(last)
        )
    return 1 - most[-1] / max(1, len(trace.requests))


def _window_edges(trace: workload.Trace) -> list[float]:
    end_ms = max((r.deadline_ms for r in trace.requests), default=1.0)
    return [end_ms * i / BOUND_WINDOWS for i in range(BOUND_WINDOWS + 1)]


def _lost(works: Sequence[float], room_ms: float) -> int:
    """Return how many of the works, in rising order, don't fit."""
    for index, work in enumerate(works):
        room_ms -= work
        if room_ms < 0:
            return len(works) - index - 1
    return 0


def _bound_work_ms(request: workload.Request) -> float:
    """Return the least work, with every prefix seen before cached."""
    return workload.least_work_ms(
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.output_tokens,
        hit_tokens=request.shared_tokens,
    )


def _served_share_by_account(
    answers: Sequence[answers_lib.Answer],
) -> dict[str, float]:
    offered: Counter[str] = Counter()
    good: Counter[str] = Counter()
    for answer in answers:
        request = answer.request
        tokens = request.prompt_tokens + request.output_tokens
        offered[request.account] += tokens
        if answer.is_good:
            good[request.account] += tokens
    return {name: good[name] / offered[name] for name in offered}
