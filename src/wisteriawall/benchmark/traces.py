"""Seeded request traces of the two benchmark deployments."""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import itertools
import random
from typing import final

import xxhash

from wisteriawall.benchmark import workload
from wisteriawall.policy import admission_queue
from wisteriawall.policy import speeds

__all__ = ["OBIECTIV", "RITRATTINI", "SWINGING_TRACES", "TRACE_NAMES", "build"]

RITRATTINI = workload.Deployment(
    name="ritrattini", runner_count=5, payback_s=10.0, min_engines=4
)
OBIECTIV = workload.Deployment(
    name="obiectiv", runner_count=9, payback_s=60.0, min_engines=7
)
TRACE_NAMES = (
    "steady",
    "swing",
    "long-shift",
    "monday-backlog",
    "deadline-night",
    "prefix-heavy",
    "withdrawn",
    "lag-100ms",
    "lag-2s",
    "lag-10s",
    "overload-2x",
)
SWINGING_TRACES = ("swing", "deadline-night", "lag-100ms", "lag-2s", "lag-10s")
ACCOUNT_COUNT = 12
LENGTH_SIGMA = 0.4
MAX_PROMPT_TOKENS = 32_000
MAX_OUTPUT_TOKENS = 4_000
_LOAD_BY_NAME = {
    "steady": 0.65,
    "withdrawn": 0.8,
    "load-80": 0.8,
    "load-90": 0.9,
    "load-100": 1.0,
    "overload-2x": 2.0,
}

_BRIEF = workload.RequestKind(
    name="brief",
    prompt_tokens=4_000,
    output_tokens=400,
    deadline_ms=20_000,
    shared_prefix_tokens=3_000,
    prefix_count=6,
)
_NOTES = workload.RequestKind(
    name="notes", prompt_tokens=6_000, output_tokens=60, deadline_ms=4_000
)
_CAPTION = workload.RequestKind(
    name="caption", prompt_tokens=300, output_tokens=40, deadline_ms=3_000
)
_WEEKEND = workload.RequestKind(
    name="weekend",
    prompt_tokens=4_000,
    output_tokens=400,
    deadline_ms=120_000,
    shared_prefix_tokens=3_000,
    prefix_count=6,
    priority=admission_queue.Priority.BACKLOG,
)
_CRITIQUE = workload.RequestKind(
    name="critique",
    prompt_tokens=1_500,
    output_tokens=900,
    deadline_ms=44_000,
    shared_prefix_tokens=1_000,
    prefix_count=3,
)
_CATALOGUE = workload.RequestKind(
    name="catalogue", prompt_tokens=8_000, output_tokens=120, deadline_ms=7_000
)
_STANDINGS = workload.RequestKind(
    name="standings", prompt_tokens=800, output_tokens=60, deadline_ms=4_000
)
_LONG_GUIDE = workload.RequestKind(
    name="long-guide",
    prompt_tokens=12_000,
    output_tokens=150,
    deadline_ms=8_000,
    shared_prefix_tokens=11_000,
    prefix_count=24,
)


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Segment:
    """A segment of a trace with constant load.

    Attributes:
        duration_share: Share of the trace's duration.
        load: Least engine time of the offered requests, divided by the
            engine time of the deployment.
        work_shares: Share of that engine time, not of the number of requests,
            for each kind.
    """

    duration_share: float
    load: float
    work_shares: tuple[tuple[workload.RequestKind, float], ...]


def build(
    deployment: workload.Deployment, name: str, *, seed: int, seconds: int
) -> workload.Trace:
    """Return the named trace, `seconds` long.

    Raises:
        ValueError: No trace has this name.
    """
    segments = tuple(_segments(deployment, name))
    rng = random.Random(f"{deployment.name}|{name}|{seed}")
    drawn = sorted(
        _draw_requests(deployment, segments, seconds * 1_000.0, rng),
        key=lambda request: request.arrival_ms,
    )
    lag_ms_by_name = {"lag-100ms": 100.0, "lag-2s": 2_000.0, "lag-10s": 1e4}
    return workload.Trace(
        name=name,
        requests=tuple(drawn),
        duration_ms=seconds * 1_000.0,
        report_lag_ms=lag_ms_by_name.get(name, 200.0),
        withdrawn_at_ms=seconds * 400.0 if name == "withdrawn" else None,
    )


def _segments(deployment: workload.Deployment, name: str) -> Iterator[_Segment]:
    """Yield the load and the mix of request kinds over the named trace."""
    if deployment is RITRATTINI:
        long_prompt, long_output, short = _NOTES, _BRIEF, _CAPTION
    else:
        long_prompt, long_output, short = _CATALOGUE, _CRITIQUE, _STANDINGS
    usual_mix = ((long_output, 0.6), (long_prompt, 0.2), (short, 0.2))
    match name:
        case "swing" | "lag-100ms" | "lag-2s" | "lag-10s":
            prefill_mix = ((long_prompt, 0.8), (long_output, 0.1), (short, 0.1))
            decode_mix = ((long_output, 0.9), (short, 0.1))
            for _ in range(2):
                yield _Segment(
                    duration_share=0.25, load=0.85, work_shares=prefill_mix
                )
                yield _Segment(
                    duration_share=0.25, load=0.85, work_shares=decode_mix
                )
        case "long-shift":
            prefill_mix = ((long_prompt, 0.8), (long_output, 0.1), (short, 0.1))
            yield _Segment(duration_share=0.1, load=0.65, work_shares=usual_mix)
            yield _Segment(
                duration_share=0.9, load=0.85, work_shares=prefill_mix
            )
        case "monday-backlog":
            backlog_mix = ((_WEEKEND, 0.6), (long_output, 0.3), (short, 0.1))
            yield _Segment(duration_share=0.2, load=0.5, work_shares=usual_mix)
            yield _Segment(
                duration_share=0.3, load=1.6, work_shares=backlog_mix
            )
            yield _Segment(duration_share=0.5, load=0.6, work_shares=usual_mix)
        case "deadline-night":
            submission_mix = ((long_prompt, 0.6), (short, 0.4))
            review_mix = ((long_output, 0.9), (short, 0.1))
            yield _Segment(duration_share=0.25, load=0.6, work_shares=usual_mix)
            yield _Segment(
                duration_share=0.25, load=1.2, work_shares=submission_mix
            )
            yield _Segment(
                duration_share=0.25, load=0.9, work_shares=review_mix
            )
            yield _Segment(
                duration_share=0.25, load=1.1, work_shares=submission_mix
            )
        case "prefix-heavy":
            shared_prefix_mix = ((_LONG_GUIDE, 0.8), (short, 0.2))
            yield _Segment(
                duration_share=1.0, load=0.8, work_shares=shared_prefix_mix
            )
        case _ if name in _LOAD_BY_NAME:
            load = _LOAD_BY_NAME[name]
            yield _Segment(duration_share=1.0, load=load, work_shares=usual_mix)
        case _:
            raise ValueError(f"trace {name!r}: expected one of {TRACE_NAMES}")


def _draw_requests(
    deployment: workload.Deployment,
    segments: Sequence[_Segment],
    duration_ms: float,
    rng: random.Random,
) -> Iterator[workload.Request]:
    """Yield Poisson arrivals of each kind, segment by segment, not sorted."""
    request_numbers = itertools.count()
    start_ms = 0.0
    for segment in segments:
        end_ms = start_ms + segment.duration_share * duration_ms
        for kind, share in segment.work_shares:
            engine_ms = workload.min_engine_ms(
                prompt_tokens=kind.prompt_tokens,
                output_tokens=kind.output_tokens,
                cached_tokens=kind.shared_prefix_tokens,
            )
            arrivals_per_ms = (
                segment.load * share * deployment.runner_count / engine_ms
            )
            arrival_ms = start_ms + rng.expovariate(arrivals_per_ms)
            while arrival_ms < end_ms:
                yield _draw_request(
                    next(request_numbers), kind, arrival_ms, deployment, rng
                )
                arrival_ms += rng.expovariate(arrivals_per_ms)
        start_ms = end_ms


def _draw_request(
    number: int,
    kind: workload.RequestKind,
    arrival_ms: float,
    deployment: workload.Deployment,
    rng: random.Random,
) -> workload.Request:
    """Draw one request; a quarter of them belong to `account-0`."""
    is_busy_account = rng.random() < 0.25
    account = 0 if is_busy_account else 1 + rng.randrange(ACCOUNT_COUNT - 1)
    own_tokens = kind.prompt_tokens - kind.shared_prefix_tokens
    prompt_tokens = kind.shared_prefix_tokens + _draw_length(
        own_tokens, MAX_PROMPT_TOKENS, rng
    )
    output_tokens = _draw_length(kind.output_tokens, MAX_OUTPUT_TOKENS, rng)
    prefix_number = rng.randrange(kind.prefix_count)
    return workload.Request(
        request_id=f"r{number}",
        arrival_ms=arrival_ms,
        deadline_ms=arrival_ms + kind.deadline_ms,
        kind=kind.name,
        account=f"account-{account}",
        priority=kind.priority,
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        shared_prefix_tokens=kind.shared_prefix_tokens,
        prefix_hashes=tuple(
            _prefix_hashes(number, kind, prefix_number, prompt_tokens)
        ),
        entry_index=rng.randrange(deployment.entry_count),
    )


def _prefix_hashes(
    number: int,
    kind: workload.RequestKind,
    prefix_number: int,
    prompt_tokens: int,
) -> Iterator[int]:
    """Yield a hash for each full piece; shared pieces have equal hashes."""
    shared_pieces = kind.shared_prefix_tokens // speeds.PIECE_TOKENS
    for piece in range(prompt_tokens // speeds.PIECE_TOKENS):
        owner = (
            f"{kind.name}-{prefix_number}"
            if piece < shared_pieces
            else f"own-{number}"
        )
        yield xxhash.xxh64_intdigest(f"{owner}/{piece}".encode())


def _draw_length(mean: int, longest: int, rng: random.Random) -> int:
    """Draw a log-normal length with the given mean, from 1 to `longest`."""
    drawn = rng.lognormvariate(-(LENGTH_SIGMA**2) / 2, LENGTH_SIGMA)
    return max(1, min(longest, round(mean * drawn)))
