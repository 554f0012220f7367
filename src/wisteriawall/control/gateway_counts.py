"""How many gateways share the retry budget, as the leader counts them."""

import dataclasses
from typing import final

from wisteriawall.policy import gateway_count
from wisteriawall.wire import gateway_messages

__all__ = ["GatewayCounts", "note"]

# Gateways of larger deployments get no share of the slack.
MAX_GATEWAYS = 100_000


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class GatewayCounts:
    """When the leader heard each gateway, oldest first, and the counts known.

    A gateway that is silent may still use its share of the retry slack, so that
    it counts for longer than it is listed. `largest` is what the gateways know:
    a new leader has not heard all of them yet.
    """

    heard_ms_by_name: dict[str, int] = dataclasses.field(default_factory=dict)
    largest: gateway_count.LargestCount = dataclasses.field(
        default_factory=gateway_count.LargestCount
    )


def note(
    counts: GatewayCounts,
    request: gateway_messages.FollowRequest,
    now_ms: int,
) -> tuple[int, gateway_messages.GatewayCount]:
    """Record a poll; return the gateways heard, and the largest count known."""
    heard_ms_by_name = counts.heard_ms_by_name
    heard_ms_by_name.pop(request.gateway, None)
    heard_ms_by_name[request.gateway] = now_ms
    kept_ms = now_ms - gateway_count.COUNT_KEPT_MS
    while (oldest := next(iter(heard_ms_by_name))) != request.gateway and (
        heard_ms_by_name[oldest] < kept_ms
    ):
        del heard_ms_by_name[oldest]
    known = request.most_gateways
    if 0 < known.gateways <= MAX_GATEWAYS and (
        0 <= known.age_ms <= gateway_count.COUNT_KEPT_MS
    ):
        counts.largest.note(
            gateway_count.Count(
                gateways=known.gateways, heard_ms=now_ms - known.age_ms
            )
        )
    largest = counts.largest.find(now_ms)
    return len(heard_ms_by_name), (
        gateway_messages.GatewayCount()
        if largest is None
        else gateway_messages.GatewayCount(
            largest.gateways, now_ms - largest.heard_ms
        )
    )
