"""Where each gateway fetches a change of the routing table.

The leader sends a change to a few gateways. The others fetch it from gateways
that already have it, so that what a change costs a VM does not grow with the
number of gateways.

While changes follow each other faster than they spread, a gateway may fetch a
table that is newer than its own and no longer the newest. Otherwise each change
would stop the spread of the one before.
"""

import collections
import dataclasses
from typing import final

from wisteriawall.config import table_history

__all__ = ["Source", "TableSources"]

# Fetches at a time. Each has one part of a change on the way.
LEADER_FETCHES = 4
GATEWAY_FETCHES = 2
# A fetch takes less, or has failed.
FETCH_TIMEOUT_MS = 1_500
# Gateways poll the leader more often.
HOLDER_TIMEOUT_MS = 1_000
LEADER = ""


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Source:
    """Where to fetch the table `number`; the leader's address is empty."""

    address: str
    number: int


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class _Fetch:
    """A fetch from the gateway `holder`, or `LEADER`."""

    holder: str
    number: int
    started_ms: int


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class _Holder:
    """A gateway that serves changes between tables at `address`.

    `numbers` are those of the tables that it has had, the newest last.
    """

    address: str
    seen_ms: int
    numbers: list[int]
    assigned: int = 0


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class TableSources:
    """The tables that gateways have, and the fetches in progress.

    `failed_holders_by_gateway` has the sources from which a gateway could not
    fetch since it got its table.
    """

    holder_by_name: dict[str, _Holder] = dataclasses.field(default_factory=dict)
    fetch_by_gateway: dict[str, _Fetch] = dataclasses.field(
        default_factory=dict
    )
    failed_holders_by_gateway: dict[str, set[str]] = dataclasses.field(
        default_factory=dict
    )

    def record_holder(
        self, gateway: str, *, address: str, number: int, now_ms: int
    ) -> None:
        """Record that a gateway has the table `number` and serves it."""
        holder = self.holder_by_name.get(gateway)
        if (
            holder is None
            or holder.address != address
            or number < holder.numbers[-1]
        ):
            # It is new, or has started again.
            holder = _Holder(address=address, seen_ms=now_ms, numbers=[number])
            self.holder_by_name[gateway] = holder
            self.fetch_by_gateway.pop(gateway, None)
        if number > holder.numbers[-1]:
            holder.numbers.append(number)
            del holder.numbers[: -table_history.MAX_TABLES]
            self.fetch_by_gateway.pop(gateway, None)
            self.failed_holders_by_gateway.pop(gateway, None)
        holder.seen_ms = now_ms

    def remove(self, gateway: str) -> None:
        """Forget a gateway that stops or is lost."""
        self.remove_holder(gateway)
        self.failed_holders_by_gateway.pop(gateway, None)

    def remove_holder(self, gateway: str) -> None:
        """Forget the tables of a gateway that has none, as after a start."""
        self.holder_by_name.pop(gateway, None)
        self.fetch_by_gateway.pop(gateway, None)

    def assign(
        self,
        gateway: str,
        *,
        base_number: int,
        newest: int,
        has_failed: bool,
        now_ms: int,
    ) -> Source | None:
        """Return where a gateway that has `base_number` fetches a newer table.

        None means that all sources are busy, and that the gateway should ask
        again. After a fetch that failed, it fetches from the leader, and after
        that from each other source in turn.
        """
        if has_failed:
            self._note_failure(gateway)
        self._drop_expired(now_ms)
        fetch = self.fetch_by_gateway.get(gateway)
        if fetch is None or has_failed:
            self.fetch_by_gateway.pop(gateway, None)
            fetch = self._start_fetch(gateway, base_number, newest, now_ms)
        if fetch is None:
            return None
        self.fetch_by_gateway[gateway] = fetch
        if fetch.holder == LEADER:
            return Source(address="", number=fetch.number)
        address = self.holder_by_name[fetch.holder].address
        return Source(address=address, number=fetch.number)

    def _note_failure(self, gateway: str) -> None:
        failed = self.failed_holders_by_gateway.setdefault(gateway, set())
        fetch = self.fetch_by_gateway.get(gateway)
        if fetch is not None:
            failed.add(fetch.holder)

    def _start_fetch(
        self,
        gateway: str,
        base_number: int,
        newest: int,
        now_ms: int,
    ) -> _Fetch | None:
        """Return a fetch of the newest table that a free source has."""
        holders = {
            name: holder
            for name, holder in self.holder_by_name.items()
            if name != gateway
            and holder.numbers[-1] > base_number
            and (not base_number or base_number in holder.numbers)
            and now_ms - holder.seen_ms <= HOLDER_TIMEOUT_MS
        }
        count_by_holder = collections.Counter(
            fetch.holder for fetch in self.fetch_by_gateway.values()
        )
        failed = self.failed_holders_by_gateway.get(gateway)
        if failed and failed >= {LEADER, *holders}:
            failed.clear()
        if not holders or (failed is not None and LEADER not in failed):
            if count_by_holder[LEADER] >= LEADER_FETCHES:
                return None
            return _Fetch(holder=LEADER, number=newest, started_ms=now_ms)
        free = [
            name
            for name in holders
            if count_by_holder[name] < GATEWAY_FETCHES
            and name not in (failed or ())
        ]
        if not free:
            return None
        chosen = min(
            free,
            key=lambda name: (
                -holders[name].numbers[-1],
                holders[name].assigned,
                name,
            ),
        )
        holders[chosen].assigned += 1
        return _Fetch(
            holder=chosen,
            number=holders[chosen].numbers[-1],
            started_ms=now_ms,
        )

    def _drop_expired(self, now_ms: int) -> None:
        for name, fetch in list(self.fetch_by_gateway.items()):
            if (
                now_ms - fetch.started_ms > FETCH_TIMEOUT_MS
                or fetch.holder not in (LEADER, *self.holder_by_name)
            ):
                del self.fetch_by_gateway[name]
