"""This gateway's share of the retry budget, and what it denies."""

from collections.abc import Generator
from collections.abc import Iterator

from wisteriawall.gateway import events
from wisteriawall.gateway import protocol
from wisteriawall.gateway import state as state_lib
from wisteriawall.policy import gateway_count
from wisteriawall.policy import retry_window
from wisteriawall.wire import gateway_messages

__all__ = [
    "apply_gateway_count",
    "new_window",
    "note_send",
    "report",
    "take_retry",
]

# Smallest number of gateways among which the slack is divided. While a fleet
# starts for the first time, control has not heard of most of them.
MIN_GATEWAYS = 8
# Part of the slack that is in use. The rest is for gateways that start again
# and don't know which retries they made before.
USED_PART = 0.5
# Retries that were made at the end of a lease are in the same window as those
# of gateways that count with it no more. Polls that wait or are lost, clocks of
# different speed and retries that are sent late need some time more.
LEASE_MARGIN_MS = 5_000
# While a fleet restarts, the count changes with each gateway.
SHARE_LOG_INTERVAL_MS = 1_000


def new_window(
    budget: retry_window.RetryBudgetSettings, *, started_ms: int | None
) -> retry_window.RetryWindow:
    """Return the window of a gateway that control has told nothing yet.

    Args:
        budget: Limits on retries, shared by all gateways.
        started_ms: When this gateway started again; None if an earlier process
            can't have used its share.
    """
    held_ms = budget.window_ms + LEASE_MARGIN_MS
    return retry_window.RetryWindow(
        window_ms=budget.window_ms,
        ratio=budget.ratio,
        slack=budget.slack * USED_PART,
        gateways=MIN_GATEWAYS,
        lease_ms=max(0, gateway_count.COUNT_KEPT_MS - held_ms),
        started_ms=started_ms,
    )


def report(
    gateway: state_lib.Gateway, now_ms: int
) -> gateway_messages.GatewayCount:
    """Return the largest number of gateways known here, to tell control."""
    count = gateway.retries.find_count(now_ms)
    if count is None:
        return gateway_messages.GatewayCount()
    return gateway_messages.GatewayCount(
        count.gateways, max(0, now_ms - count.heard_ms)
    )


def apply_gateway_count(
    gateway: state_lib.Gateway, event: events.ControlUpdate
) -> Iterator[events.LogDecision]:
    """Adopt the number of gateways; log a change, at most once a second.

    What control said counts from when it was asked.
    """
    retries, now_ms = gateway.retries, event.now_ms
    contact_ms = now_ms - event.took_ms
    told = max(event.gateway_count, event.gateways_heard)
    retries.note_count(gateway_count.Count(gateways=told, heard_ms=contact_ms))
    most = event.most_gateways
    if most.gateways and most.age_ms >= 0:
        retries.note_count(
            gateway_count.Count(
                gateways=most.gateways, heard_ms=contact_ms - most.age_ms
            )
        )
    retries.note_contact(contact_ms)
    gateways = retries.gateways(now_ms)
    last_contact_ms = gateway.budget_contact_ms
    gateway.budget_contact_ms = contact_ms
    logged = gateway.budget_logged
    if logged is not None and (
        gateways == logged.gateways
        or now_ms - logged.at_ms < SHARE_LOG_INTERVAL_MS
    ):
        return
    gateway.budget_logged = state_lib.LoggedShare(
        gateways=gateways, at_ms=now_ms
    )
    yield events.LogDecision(
        decision="retry-share",
        request_id="",
        inputs={
            "gateways": gateways,
            "told": told,
            "slack": round(retries.slack(now_ms), 2),
            "former": logged.gateways if logged else 0,
            "former_ms": now_ms - logged.at_ms if logged else -1,
            "silence_ms": _age_ms(last_contact_ms, now_ms),
        },
    )


def take_retry(
    gateway: state_lib.Gateway, request: state_lib.Request, now_ms: int
) -> Generator[events.LogDecision, None, bool]:
    """Count a retry of a request; return False if the budget denies it.

    The rule counts arrivals at runners, without the first one and the first
    prefill that a runner accepts. So a retry takes two if it begins with a
    prefill after the first one, unless sends before it reached no runner. If
    the budget has too few for that, the request goes on without a prefill.
    """
    service = request.service.name
    count = request.arrivals - request.counted_retries
    if _take(gateway, request, count, now_ms):
        request.may_prefill = True
        return True
    if request.has_prefilled:
        count -= 1
        request.may_prefill = False
        if _take(gateway, request, count, now_ms):
            return True
    excess = gateway.retries.find_excess(service, now_ms, count=count)
    assert excess is not None
    yield events.LogDecision(
        decision="retry-denied",
        request_id=request.request_id,
        inputs={
            "service": service,
            "wanted": count,
            "made": excess.made,
            "allowed": round(excess.allowed, 2),
            "slack": round(excess.slack, 2),
            "interval_ms": now_ms - excess.start_ms,
            "gateways": gateway.retries.gateways(now_ms),
            "contact_age_ms": _age_ms(gateway.budget_contact_ms, now_ms),
        },
    )
    return False


def _take(
    gateway: state_lib.Gateway,
    request: state_lib.Request,
    count: int,
    now_ms: int,
) -> bool:
    if count > 0:
        service = request.service.name
        if not gateway.retries.take_retry(service, now_ms, count=count):
            return False
        request.counted_retries += count
    return True


def note_send(
    gateway: state_lib.Gateway, request: state_lib.Request, send: protocol.Send
) -> None:
    """Count a send; return what a retry without a prefill took in excess."""
    request.arrivals += 1
    if send.phase is not protocol.Phase.WHOLE or not request.has_prefilled:
        return
    # Neither the first arrival nor the prefill is a retry.
    unused = request.counted_retries - max(0, request.arrivals - 2)
    if unused > 0:
        gateway.retries.return_retries(request.service.name, unused)
        request.counted_retries -= unused


def _age_ms(at_ms: int | None, now_ms: int) -> int:
    return -1 if at_ms is None else now_ms - at_ms
