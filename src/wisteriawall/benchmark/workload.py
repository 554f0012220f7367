"""Requests of a trace and the kinds they are drawn from."""

import dataclasses
from typing import final

from wisteriawall.policy import admission_queue
from wisteriawall.policy import speeds

__all__ = ["Deployment", "Kind", "Request", "Trace", "least_work_ms"]


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Kind:
    """A kind of request; token counts are means.

    The first `shared_tokens` of the prompt are one of `prefixes` texts that
    many requests share.
    """

    name: str
    prompt_tokens: int
    output_tokens: int
    deadline_ms: int
    shared_tokens: int = 0
    prefixes: int = 1
    priority: admission_queue.Priority = admission_queue.Priority.INTERACTIVE


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Request:
    """One request; `prefixes` hashes its whole prompt pieces."""

    request_id: str
    arrival_ms: float
    deadline_ms: float
    kind: str
    account: str
    priority: admission_queue.Priority
    prompt_tokens: int
    output_tokens: int
    shared_tokens: int
    prefixes: tuple[int, ...]
    entry: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Deployment:
    """A fleet of one service."""

    name: str
    runners: int
    payback_s: float
    min_engines: int
    entries: int = 3
    zones: int = 3


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Trace:
    """Requests in order of arrival, and what happens to the fleet."""

    name: str
    requests: tuple[Request, ...]
    duration_ms: float
    report_lag_ms: float = 200.0
    withdrawn_at_ms: float | None = None


def least_work_ms(
    *, prompt_tokens: int, output_tokens: int, hit_tokens: int = 0
) -> float:
    """Return the least engine time of a request in the fullest batches."""
    full = speeds.SPEED_BY_ROLE.values()
    fresh = max(1, prompt_tokens - hit_tokens)
    prefill_ms = fresh * min(s.step_ms_per_prompt_token for s in full)
    return prefill_ms + min(s.decode_work_ms(output_tokens) for s in full)
