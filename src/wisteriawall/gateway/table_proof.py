"""Tells whether a final refusal by the routing table is known to be right.

A caller doesn't come back after 404 or 401. A gateway that control has not
confirmed for as long as a change may take can't tell whether a newer table has
the route or the key.
"""

from wisteriawall.config import route_table
from wisteriawall.gateway import state as state_lib

__all__ = ["HURRY_PART", "is_confirmed", "is_outdated"]

# Part of the time that a change may take after which polls come more often.
HURRY_PART = 0.5


def is_outdated(
    gateway: state_lib.Gateway, table: route_table.RouteTable
) -> bool:
    """Return whether control named a newer table than this one."""
    return gateway.newest_table > table.number


def is_confirmed(
    gateway: state_lib.Gateway, confirmed_ms: int, now_ms: int
) -> bool:
    """Return whether changes since the last proof are not in force yet.

    Args:
        gateway: State of the gateway.
        confirmed_ms: When the table in use was the newest for certain.
        now_ms: Monotonic time.
    """
    return now_ms - confirmed_ms <= gateway.tuning.config_ms
