"""Requests at runners that ended lately.

What a gateway knows of requests in progress may arrive elsewhere after the load
events of their ends. The requests would then count as in progress until they
expire.
"""

from collections import OrderedDict
from typing import final

__all__ = ["RecentEnds"]

# All gateways of a large deployment together end fewer in three seconds.
MAX_ENDS = 512


@final
class RecentEnds:
    """The latest ends of requests, by runner and request."""

    __slots__ = ("_ends",)

    def __init__(self) -> None:
        self._ends: OrderedDict[tuple[str, str], None] = OrderedDict()

    def note(self, upstream_id: str, request_id: str) -> None:
        """Record the end of a request; the oldest one may be dropped."""
        self._ends[upstream_id, request_id] = None
        if len(self._ends) > MAX_ENDS:
            self._ends.popitem(last=False)

    def has_ended(self, upstream_id: str, request_id: str) -> bool:
        """Return whether a request is known to have ended."""
        return (upstream_id, request_id) in self._ends
