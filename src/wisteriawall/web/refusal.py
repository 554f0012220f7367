"""Refusals that callers and processes receive instead of an answer."""

import enum
import math
from typing import final

import msgspec

__all__ = ["Code", "Refusal", "RunState", "to_json"]


@final
class RunState(enum.StrEnum):
    """Whether a refused request was run; NOT_RUN is said only when proved."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


@final
class Code(enum.StrEnum):
    """Machine-readable reason of a refusal."""

    ANSWER_NOT_KEPT = "answer_not_kept"
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    CANCELLED = "cancelled"
    CLAIM_MISMATCH = "idempotency_key_reused"
    CLAIM_RUNNING = "already_running"
    DEADLINE = "deadline"
    DRAINING = "draining"
    FENCED = "fenced"
    INVALID = "invalid"
    INTERNAL = "internal"
    KEY_REQUIRED = "idempotency_key_required"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    NO_LEASE = "no_configuration_lease"
    NO_RUNNER = "no_runner"
    NOT_FOUND = "not_found"
    OVERLOADED = "overloaded"
    REQUEST_TIMEOUT = "request_timeout"
    STALE_CONFIG = "stale_configuration"
    UNAUTHENTICATED = "unauthenticated"
    UNAVAILABLE = "unavailable"
    UNKNOWN_OUTCOME = "unknown_outcome"
    UPSTREAM_FAILED = "upstream_failed"


@final
class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """A refusal; `retry_after_ms` is 0 where waiting does not help.

    `allow` lists the methods of the resource where the method was wrong.
    """

    status: int
    code: Code
    message: str
    run: RunState = RunState.NOT_RUN
    retry_after_ms: int = 0
    allow: str = ""

    @property
    def retry_after_s(self) -> int:
        """Return whole seconds for the `Retry-After` header."""
        return math.ceil(self.retry_after_ms / 1000)


@final
class _Body(msgspec.Struct, frozen=True):
    error: "_Error"
    run: RunState


@final
class _Error(msgspec.Struct, frozen=True):
    code: Code
    message: str


def to_json(refusal: Refusal) -> bytes:
    """Return the JSON body of a refusal."""
    error = _Error(refusal.code, refusal.message)
    return msgspec.json.encode(_Body(error, refusal.run))
