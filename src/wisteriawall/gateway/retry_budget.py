"""This gateway's share of the retry budget, and what it denies."""

from collections.abc import Generator
from collections.abc import Iterator

from wisteriawall.gateway import events
from wisteriawall.gateway import state as state_lib

__all__ = ["MIN_BUDGET_GATEWAYS", "apply_gateway_count", "take_retry"]

# Lower bound on the number of gateways among which the retry budget is divided.
# Gateways that lost their connection to control are missing from its count, and
# a gateway that restarts starts with an empty retry window.
MIN_BUDGET_GATEWAYS = 8
# While a fleet restarts, the count changes with each gateway.
SHARE_LOG_INTERVAL_MS = 1_000


def apply_gateway_count(
    gateway: state_lib.Gateway, event: events.ControlUpdate
) -> Iterator[events.LogDecision]:
    """Adopt the number of gateways; log a change, at most once a second."""
    gateway.retries.set_gateways(max(MIN_BUDGET_GATEWAYS, event.gateway_count))
    last_contact_ms = gateway.budget_contact_ms
    gateway.budget_contact_ms = event.now_ms - event.took_ms
    logged = gateway.budget_logged
    if logged is not None and (
        gateway.retries.gateways == logged.gateways
        or event.now_ms - logged.at_ms < SHARE_LOG_INTERVAL_MS
    ):
        return
    gateway.budget_logged = state_lib.LoggedShare(
        gateways=gateway.retries.gateways, at_ms=event.now_ms
    )
    yield events.LogDecision(
        decision="retry-share",
        request_id="",
        inputs={
            "gateways": gateway.retries.gateways,
            "told": event.gateway_count,
            "slack": round(gateway.retries.slack(event.now_ms), 2),
            "former": logged.gateways if logged else 0,
            "former_ms": event.now_ms - logged.at_ms if logged else -1,
            "silence_ms": _age_ms(last_contact_ms, event.now_ms),
        },
    )


def take_retry(
    gateway: state_lib.Gateway, request: state_lib.Request, now_ms: int
) -> Generator[events.LogDecision, None, bool]:
    """Count one retry of a request; return False if the budget denies it."""
    service = request.service.name
    if gateway.retries.take_retry(service, now_ms):
        return True
    excess = gateway.retries.find_excess(service, now_ms)
    assert excess is not None
    yield events.LogDecision(
        decision="retry-denied",
        request_id=request.request_id,
        inputs={
            "service": service,
            "made": excess.made,
            "allowed": round(excess.allowed, 2),
            "slack": round(excess.slack, 2),
            "interval_ms": now_ms - excess.start_ms,
            "gateways": gateway.retries.gateways,
            "contact_age_ms": _age_ms(gateway.budget_contact_ms, now_ms),
        },
    )
    return False


def _age_ms(at_ms: int | None, now_ms: int) -> int:
    return -1 if at_ms is None else now_ms - at_ms
