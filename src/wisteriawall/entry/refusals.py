"""Refusals that the entry's reducer gives."""

from wisteriawall.web import refusal as refusal_lib

__all__ = [
    "CLAIM_RUNNING",
    "CONTROL_LOST",
    "FULL",
    "MISMATCH",
    "NO_LEASE",
    "PROBE_METHOD",
    "RETRY_SOON_MS",
    "STOPPING",
    "UNKNOWN",
    "failed",
    "no_runner",
]

RETRY_SOON_MS = 1_000

CONTROL_LOST = refusal_lib.Refusal(
    status=503,
    code=refusal_lib.Code.UNAVAILABLE,
    message="no control replica could record the claim",
    retry_after_ms=RETRY_SOON_MS,
)
NO_LEASE = refusal_lib.Refusal(
    status=503,
    code=refusal_lib.Code.NO_LEASE,
    message="the configuration lease has run out",
    retry_after_ms=RETRY_SOON_MS,
)
STOPPING = refusal_lib.Refusal(
    status=503,
    code=refusal_lib.Code.DRAINING,
    message="this entry is stopping",
    retry_after_ms=RETRY_SOON_MS,
)
FULL = refusal_lib.Refusal(
    status=503,
    code=refusal_lib.Code.OVERLOADED,
    message="this entry serves as many requests as it may",
    retry_after_ms=RETRY_SOON_MS,
)
PROBE_METHOD = refusal_lib.Refusal(
    status=405,
    code=refusal_lib.Code.METHOD_NOT_ALLOWED,
    message="expected GET",
    allow="GET, HEAD",
)
MISMATCH = refusal_lib.Refusal(
    status=422,
    code=refusal_lib.Code.CLAIM_MISMATCH,
    message="the idempotency key was used with another body",
)
CLAIM_RUNNING = refusal_lib.Refusal(
    status=409,
    code=refusal_lib.Code.CLAIM_RUNNING,
    message="a request with this idempotency key is running",
    run=refusal_lib.RunState.UNKNOWN,
    retry_after_ms=RETRY_SOON_MS,
)
UNKNOWN = refusal_lib.Refusal(
    status=409,
    code=refusal_lib.Code.UNKNOWN_OUTCOME,
    message="the first run of this idempotency key was lost in the middle",
    run=refusal_lib.RunState.UNKNOWN,
)


def no_runner(service: str) -> refusal_lib.Refusal:
    """Return the refusal for a service whose runners take no work now."""
    return refusal_lib.Refusal(
        status=503,
        code=refusal_lib.Code.NO_RUNNER,
        message=f"no runner of {service} takes new work",
        retry_after_ms=RETRY_SOON_MS,
    )


def failed(message: str, *, run: refusal_lib.RunState) -> refusal_lib.Refusal:
    """Return the refusal after the last attempt failed."""
    not_run = run is refusal_lib.RunState.NOT_RUN
    return refusal_lib.Refusal(
        status=502,
        code=refusal_lib.Code.UPSTREAM_FAILED,
        message=message,
        run=run,
        retry_after_ms=RETRY_SOON_MS if not_run else 0,
    )
