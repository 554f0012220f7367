"""Number of load events that gateways send each other, as the leader hears."""

from typing import final

__all__ = ["LoadEventCounts"]


@final
class LoadEventCounts:
    """Sums up what gateways report of the events that they sent."""

    __slots__ = (
        "_reported_by_gateway",
        "_term",
        "_total",
        "_total_by_gateway",
    )

    def __init__(self) -> None:
        self._term = 0
        self._total = 0
        self._total_by_gateway: dict[str, int] = {}
        # Incarnation and count of the last report.
        self._reported_by_gateway: dict[str, tuple[int, int]] = {}

    def note(
        self, gateway: str, incarnation: int, sent: int, *, term: int
    ) -> int:
        """Record a gateway's count; return the events that others sent.

        The count of a gateway starts again at 0 when it does, and the other one
        with each term of the leader. Returns -1 if the gateway does not count.
        """
        if sent < 0:
            return -1
        if term != self._term:
            self._term, self._total = term, 0
            self._total_by_gateway.clear()
            self._reported_by_gateway.clear()
        known = self._reported_by_gateway.get(gateway)
        # What was sent before the first report here is not counted.
        previous = sent if known is None else known[1]
        if known is not None and known[0] != incarnation:
            previous = 0
        added = max(0, sent - previous)
        self._reported_by_gateway[gateway] = (incarnation, sent)
        self._total += added
        own = self._total_by_gateway.get(gateway, 0) + added
        self._total_by_gateway[gateway] = own
        return self._total - own

    def remove(self, gateway: str) -> None:
        """Forget a gateway that is gone; its events stay counted."""
        self._reported_by_gateway.pop(gateway, None)
