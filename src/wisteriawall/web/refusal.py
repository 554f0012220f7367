"""Refusals: the error responses to callers and between processes."""

import enum
import math
from typing import final

import msgspec

__all__ = ["Code", "Refusal", "RunState", "encode_json"]


@final
class RunState(enum.StrEnum):
    """Whether a refused request was run.

    NOT_RUN is sent only when the request certainly did not run, so that it is
    safe to repeat.
    """

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
    """The content of an error response.

    Attributes:
        status: HTTP status code.
        code: Machine-readable reason.
        message: Reason for a person to read.
        run: Whether the request was run.
        retry_after_ms: When to retry; 0 if waiting does not help.
        allow: Value of the `Allow` header for a wrong method; empty sends
            none.
    """

    status: int
    code: Code
    message: str
    run: RunState = RunState.NOT_RUN
    retry_after_ms: int = 0
    allow: str = ""

    @property
    def retry_after_s(self) -> int:
        """Return `retry_after_ms` in seconds, rounded up."""
        return math.ceil(self.retry_after_ms / 1000)


@final
class _ErrorBody(msgspec.Struct, frozen=True):
    error: "_ErrorDetail"
    run: RunState


@final
class _ErrorDetail(msgspec.Struct, frozen=True):
    code: Code
    message: str


def encode_json(refusal: Refusal) -> bytes:
    """Return the JSON body of a refusal."""
    error = _ErrorDetail(refusal.code, refusal.message)
    return msgspec.json.encode(_ErrorBody(error, refusal.run))
