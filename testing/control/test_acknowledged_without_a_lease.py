"""Tests of changes that a leader commits while it can't prove that it leads."""

from support import control_fleet

from wisteriawall.config import route_table
from wisteriawall.control import events

# There and back it is longer than a lease, and shorter than an election.
SLOW_MS = 300
REQUEST = events.PublishRequest(
    "op", route_table.RouteTable(number=1, routes=[], services=[]), b"1"
)


def test_no_change_is_acknowledged_that_gateways_can_not_get() -> None:
    """Gateways were redirected by the leader that had acknowledged it."""
    fleet = control_fleet.ControlFleet("abc", tolerated_losses=1, seed=1)
    leading = fleet.await_leader(5_000)
    fleet.extra_delay_ms = SLOW_MS
    reply = fleet.call(leading, REQUEST, limit_ms=3_000)
    assert isinstance(reply, events.Unavailable)
    fleet.extra_delay_ms = 0
    fleet.publish(1, limit_ms=2_000)


def test_change_is_acknowledged_when_the_lease_is_proved_again() -> None:
    fleet = control_fleet.ControlFleet("abc", tolerated_losses=1, seed=1)
    leading = fleet.await_leader(5_000)
    fleet.extra_delay_ms = SLOW_MS
    assert fleet.call(leading, REQUEST, limit_ms=2 * SLOW_MS + 100) is None
    fleet.extra_delay_ms = 0
    fleet.run(200)
    [reply] = fleet.replies
    assert isinstance(reply, events.PublishReply)
    assert fleet.holds_lease(leading)
