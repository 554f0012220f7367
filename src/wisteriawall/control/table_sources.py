"""Where each gateway fetches a change of the routing table.

The leader sends a change to a few gateways. The others fetch it from gateways
that already have it, so that what a change costs a VM does not grow with the
number of gateways.
"""

import collections
import dataclasses
from typing import final

__all__ = ["TableSources"]

# Fetches at a time. Each has one part of a change on the way.
LEADER_FETCHES = 4
GATEWAY_FETCHES = 2
# A fetch takes less, or has failed.
FETCH_TIMEOUT_MS = 1_500
# Gateways poll the leader more often.
HOLDER_TIMEOUT_MS = 1_000
LEADER = ""


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class _Fetch:
    """A fetch from `source`, the name of a gateway or `LEADER`."""

    source: str
    started_ms: int


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class _Holder:
    """A gateway that serves the newest table at `address`."""

    address: str
    seen_ms: int
    assigned: int = 0


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class TableSources:
    """Fetches in progress of the table `number`, and who has it already."""

    number: int = 0
    holder_by_name: dict[str, _Holder] = dataclasses.field(default_factory=dict)
    fetch_by_gateway: dict[str, _Fetch] = dataclasses.field(
        default_factory=dict
    )

    def record_holder(
        self, gateway: str, *, address: str, number: int, now_ms: int
    ) -> None:
        """Record that a gateway has the table `number` and serves it."""
        self._set_number(number)
        self.fetch_by_gateway.pop(gateway, None)
        holder = self.holder_by_name.get(gateway)
        if holder is None or holder.address != address:
            holder = _Holder(address=address, seen_ms=now_ms)
            self.holder_by_name[gateway] = holder
        holder.seen_ms = now_ms

    def remove(self, gateway: str) -> None:
        """Forget a gateway that stops or is lost."""
        self.holder_by_name.pop(gateway, None)
        self.fetch_by_gateway.pop(gateway, None)

    def assign(
        self, gateway: str, *, number: int, has_failed: bool, now_ms: int
    ) -> str | None:
        """Return the address where a gateway fetches the table `number`.

        The address is empty for the leader itself. None means that all sources
        are busy, and that the gateway should ask again. After a fetch that
        failed, the gateway fetches from the leader.
        """
        self._set_number(number)
        self._drop_expired(now_ms)
        current = self.fetch_by_gateway.get(gateway)
        if current is not None and not has_failed:
            return self._address(current.source)
        self.fetch_by_gateway.pop(gateway, None)
        source = self._choose(gateway, has_failed=has_failed, now_ms=now_ms)
        if source is None:
            return None
        self.fetch_by_gateway[gateway] = _Fetch(
            source=source, started_ms=now_ms
        )
        if source != LEADER:
            self.holder_by_name[source].assigned += 1
        return self._address(source)

    def _choose(
        self, gateway: str, *, has_failed: bool, now_ms: int
    ) -> str | None:
        holders = [
            name
            for name, holder in self.holder_by_name.items()
            if name != gateway and now_ms - holder.seen_ms <= HOLDER_TIMEOUT_MS
        ]
        count_by_source = collections.Counter(
            fetch.source for fetch in self.fetch_by_gateway.values()
        )
        if has_failed or not holders:
            is_free = count_by_source[LEADER] < LEADER_FETCHES
            return LEADER if is_free else None
        return min(
            (
                name
                for name in holders
                if count_by_source[name] < GATEWAY_FETCHES
            ),
            key=lambda name: (self.holder_by_name[name].assigned, name),
            default=None,
        )

    def _address(self, source: str) -> str:
        return self.holder_by_name[source].address if source != LEADER else ""

    def _set_number(self, number: int) -> None:
        """Start again for a new table."""
        if number != self.number:
            self.number = number
            self.holder_by_name.clear()
            self.fetch_by_gateway.clear()

    def _drop_expired(self, now_ms: int) -> None:
        for name, fetch in list(self.fetch_by_gateway.items()):
            if (
                now_ms - fetch.started_ms > FETCH_TIMEOUT_MS
                or fetch.source not in (LEADER, *self.holder_by_name)
            ):
                del self.fetch_by_gateway[name]
