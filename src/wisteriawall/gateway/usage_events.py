"""Counting of a gateway's requests as usage of client accounts."""

from collections.abc import Iterator

from wisteriawall.config import route_table
from wisteriawall.gateway import events
from wisteriawall.gateway import state as state_lib
from wisteriawall.wire import gateway_messages

__all__ = ["accept_receipt", "note_run", "report"]


def note_run(
    gateway: state_lib.Gateway, event: events.RunBegan
) -> Iterator[events.LogDecision]:
    """Count an attempt that a runner began to run, once."""
    request = gateway.request_by_key.get(event.request_key)
    if request is None or request.counted_attempt == request.attempts:
        return
    request.counted_attempt = request.attempts
    lost = gateway.usage.lost
    gateway.usage.add(request.account, event.began_wall_ms)
    if gateway.usage.lost > lost:
        yield events.LogDecision(
            decision="usage-lost",
            request_id=request.request_id,
            inputs={
                "account": request.account,
                "lost": gateway.usage.lost - lost,
                "lost_in_all": gateway.usage.lost,
            },
        )


def report(
    gateway: state_lib.Gateway, now_ms: int, wall_ms: int
) -> gateway_messages.UsageReport | None:
    """Return the usage to report to control, None if none is counted."""
    open_ms = max(
        (
            now_ms - request.sent_ms
            for request in gateway.request_by_key.values()
            if _is_open(request)
        ),
        default=0,
    )
    return gateway.usage.report(wall_ms, open_ms=open_ms)


def accept_receipt(
    gateway: state_lib.Gateway, event: events.ControlUpdate
) -> Iterator[events.Effect]:
    """Note what control has committed."""
    gateway.usage.accept(event.usage)
    yield from ()


def _is_open(request: state_lib.Request) -> bool:
    """Return whether a request will be counted at the time of its sending."""
    return (
        request.account != ""
        and request.current_send is not None
        and request.route.kind is not route_table.RequestKind.STREAM
        and request.counted_attempt != request.attempts
    )
