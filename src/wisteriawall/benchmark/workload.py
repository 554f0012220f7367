"""Requests, the kinds they are drawn from, traces and deployments."""

import dataclasses
from typing import final

from wisteriawall.policy import admission_queue
from wisteriawall.policy import speeds

__all__ = ["Deployment", "Request", "RequestKind", "Trace", "min_engine_ms"]


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RequestKind:
    """A kind of request; token counts are means.

    The first `shared_prefix_tokens` of a prompt are one of `prefix_count`
    texts that requests of this kind share. `deadline_ms` counts from arrival.
    """

    name: str
    prompt_tokens: int
    output_tokens: int
    deadline_ms: int
    shared_prefix_tokens: int = 0
    prefix_count: int = 1
    priority: admission_queue.Priority = admission_queue.Priority.INTERACTIVE


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Request:
    """One request; times are ms from the start of the trace.

    `prefix_hashes` has one hash for each full KV cache piece of the prompt;
    `entry_index` is the entry that receives the request.
    """

    request_id: str
    arrival_ms: float
    deadline_ms: float
    kind: str
    account: str
    priority: admission_queue.Priority
    prompt_tokens: int
    output_tokens: int
    shared_prefix_tokens: int
    prefix_hashes: tuple[int, ...]
    entry_index: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Deployment:
    """Sizes of a simulated deployment that runs one service.

    `payback_s` and `min_engines` are settings of the role planner.
    """

    name: str
    runner_count: int
    payback_s: float
    min_engines: int
    entry_count: int = 3
    zone_count: int = 3


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Trace:
    """Requests in order of arrival, and faults to simulate.

    `report_lag_ms` delays the load reports; one engine is withdrawn without
    draining at `withdrawn_at_ms`, if set.
    """

    name: str
    requests: tuple[Request, ...]
    duration_ms: float
    report_lag_ms: float = 200.0
    withdrawn_at_ms: float | None = None


def min_engine_ms(
    *, prompt_tokens: int, output_tokens: int, cached_tokens: int = 0
) -> float:
    """Return the least engine time of a request, in full batches."""
    speeds_by_role = speeds.SPEED_BY_ROLE.values()
    uncached_tokens = max(1, prompt_tokens - cached_tokens)
    prefill_ms = uncached_tokens * min(
        speed.step_ms_per_prompt_token for speed in speeds_by_role
    )
    return prefill_ms + min(
        speed.decode_work_ms(output_tokens) for speed in speeds_by_role
    )
