"""Seeded traces of both deployments at today's sizes."""

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

__all__ = ["OBIECTIV", "RITRATTINI", "SWINGING", "TRACE_NAMES", "build"]

RITRATTINI = workload.Deployment(
    name="ritrattini", runners=5, payback_s=10.0, min_engines=4
)
OBIECTIV = workload.Deployment(
    name="obiectiv", runners=9, payback_s=60.0, min_engines=7
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
SWINGING = ("swing", "deadline-night", "lag-100ms", "lag-2s", "lag-10s")
ACCOUNTS = 12
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

_BRIEF = workload.Kind(
    name="brief",
    prompt_tokens=4_000,
    output_tokens=400,
    deadline_ms=20_000,
    shared_tokens=3_000,
    prefixes=6,
)
_NOTES = workload.Kind(
    name="notes", prompt_tokens=6_000, output_tokens=60, deadline_ms=4_000
)
_CAPTION = workload.Kind(
    name="caption", prompt_tokens=300, output_tokens=40, deadline_ms=3_000
)
_WEEKEND = workload.Kind(
    name="weekend",
    prompt_tokens=4_000,
    output_tokens=400,
    deadline_ms=120_000,
    shared_tokens=3_000,
    prefixes=6,
    priority=admission_queue.Priority.BACKLOG,
)
_CRITIQUE = workload.Kind(
    name="critique",
    prompt_tokens=1_500,
    output_tokens=900,
    deadline_ms=44_000,
    shared_tokens=1_000,
    prefixes=3,
)
_CATALOGUE = workload.Kind(
    name="catalogue", prompt_tokens=8_000, output_tokens=120, deadline_ms=7_000
)
_STANDINGS = workload.Kind(
    name="standings", prompt_tokens=800, output_tokens=60, deadline_ms=4_000
)
_LONG_GUIDE = workload.Kind(
    name="long-guide",
    prompt_tokens=12_000,
    output_tokens=150,
    deadline_ms=8_000,
    shared_tokens=11_000,
    prefixes=24,
)


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Phase:
    """A stretch of a trace.

    `load` is the offered least work over the fleet's engine time;
    `share_by_kind` divides that work, not the number of requests.
    """

    share: float
    load: float
    share_by_kind: tuple[tuple[workload.Kind, float], ...]


def build(
    deployment: workload.Deployment, name: str, *, seed: int, seconds: int
) -> workload.Trace:
    """Return the named trace.

    Raises:
        ValueError: The name is not one of `TRACE_NAMES`.
    """
    phases = tuple(_phases(deployment, name))
    rng = random.Random(f"{deployment.name}|{name}|{seed}")
    drawn = sorted(
        _draw(deployment, phases, seconds * 1_000.0, rng),
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


def _phases(deployment: workload.Deployment, name: str) -> Iterator[_Phase]:
    if deployment is RITRATTINI:
        long_prompt, long_output, short = _NOTES, _BRIEF, _CAPTION
    else:
        long_prompt, long_output, short = _CATALOGUE, _CRITIQUE, _STANDINGS
    usual = ((long_output, 0.6), (long_prompt, 0.2), (short, 0.2))
    match name:
        case "swing" | "lag-100ms" | "lag-2s" | "lag-10s":
            reading = ((long_prompt, 0.8), (long_output, 0.1), (short, 0.1))
            writing = ((long_output, 0.9), (short, 0.1))
            for _ in range(2):
                yield _Phase(share=0.25, load=0.85, share_by_kind=reading)
                yield _Phase(share=0.25, load=0.85, share_by_kind=writing)
        case "long-shift":
            reading = ((long_prompt, 0.8), (long_output, 0.1), (short, 0.1))
            yield _Phase(share=0.1, load=0.65, share_by_kind=usual)
            yield _Phase(share=0.9, load=0.85, share_by_kind=reading)
        case "monday-backlog":
            monday = ((_WEEKEND, 0.6), (long_output, 0.3), (short, 0.1))
            yield _Phase(share=0.2, load=0.5, share_by_kind=usual)
            yield _Phase(share=0.3, load=1.6, share_by_kind=monday)
            yield _Phase(share=0.5, load=0.6, share_by_kind=usual)
        case "deadline-night":
            entrants = ((long_prompt, 0.6), (short, 0.4))
            jurors = ((long_output, 0.9), (short, 0.1))
            yield _Phase(share=0.25, load=0.6, share_by_kind=usual)
            yield _Phase(share=0.25, load=1.2, share_by_kind=entrants)
            yield _Phase(share=0.25, load=0.9, share_by_kind=jurors)
            yield _Phase(share=0.25, load=1.1, share_by_kind=entrants)
        case "prefix-heavy":
            guided = ((_LONG_GUIDE, 0.8), (short, 0.2))
            yield _Phase(share=1.0, load=0.8, share_by_kind=guided)
        case _ if name in _LOAD_BY_NAME:
            load = _LOAD_BY_NAME[name]
            yield _Phase(share=1.0, load=load, share_by_kind=usual)
        case _:
            raise ValueError(f"trace {name!r}: expected one of {TRACE_NAMES}")


def _draw(
    deployment: workload.Deployment,
    phases: Sequence[_Phase],
    duration_ms: float,
    rng: random.Random,
) -> Iterator[workload.Request]:
    numbers = itertools.count()
    start_ms = 0.0
    for phase in phases:
        end_ms = start_ms + phase.share * duration_ms
        for kind, share in phase.share_by_kind:
            work_ms = workload.least_work_ms(
                prompt_tokens=kind.prompt_tokens,
                output_tokens=kind.output_tokens,
                hit_tokens=kind.shared_tokens,
            )
            per_ms = phase.load * share * deployment.runners / work_ms
            at_ms = start_ms + rng.expovariate(per_ms)
            while at_ms < end_ms:
                yield _request(next(numbers), kind, at_ms, deployment, rng)
                at_ms += rng.expovariate(per_ms)
        start_ms = end_ms


def _request(
    number: int,
    kind: workload.Kind,
    at_ms: float,
    deployment: workload.Deployment,
    rng: random.Random,
) -> workload.Request:
    """Draw a request; a quarter of all come from one busy account."""
    busy = rng.random() < 0.25
    account = 0 if busy else 1 + rng.randrange(ACCOUNTS - 1)
    own = kind.prompt_tokens - kind.shared_tokens
    prompt = kind.shared_tokens + _length(own, MAX_PROMPT_TOKENS, rng)
    output = _length(kind.output_tokens, MAX_OUTPUT_TOKENS, rng)
    text = rng.randrange(kind.prefixes)
    return workload.Request(
        request_id=f"r{number}",
        arrival_ms=at_ms,
        deadline_ms=at_ms + kind.deadline_ms,
        kind=kind.name,
        account=f"account-{account}",
        priority=kind.priority,
        prompt_tokens=prompt,
        output_tokens=output,
        shared_tokens=kind.shared_tokens,
        prefixes=tuple(_prefixes(number, kind, text, prompt)),
        entry=rng.randrange(deployment.entries),
    )


def _prefixes(
    number: int, kind: workload.Kind, text: int, prompt: int
) -> Iterator[int]:
    shared = kind.shared_tokens // speeds.PIECE_TOKENS
    for piece in range(prompt // speeds.PIECE_TOKENS):
        owner = f"{kind.name}-{text}" if piece < shared else f"own-{number}"
        yield xxhash.xxh64_intdigest(f"{owner}/{piece}".encode())


def _length(mean: int, most: int, rng: random.Random) -> int:
    """Draw a log-normal length with the given mean."""
    drawn = rng.lognormvariate(-(LENGTH_SIGMA**2) / 2, LENGTH_SIGMA)
    return max(1, min(most, round(mean * drawn)))
