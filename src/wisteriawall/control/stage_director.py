"""Orders of the leader that change the stages of engines."""

from collections import defaultdict
from collections.abc import Callable
import dataclasses
import enum
import logging
import queue
import threading
from typing import Protocol
from typing import final

import msgspec

from wisteriawall import clock
from wisteriawall.policy import stage_split
from wisteriawall.wire import gateway_messages

__all__ = ["OrderResult", "StageDirector", "StageOrder"]

_LOG = logging.getLogger("stages")

# Orders of an earlier leader may still arrive for this long after an election.
# Runners that don't check fencing numbers would carry them out.
NEW_LEADER_WAIT_MS = 6_000
# An engine that has not changed its stage after this time counts as unchanged.
CHANGE_TIMEOUT_MS = 10_000
# No further order goes to an engine for this time after one.
ENGINE_INTERVAL_MS = 30_000


@final
class OrderResult(enum.Enum):
    """Result of an order; the values appear in the log."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    NOT_SENT = "not sent"


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class StageOrder:
    """An order to one engine; `fencing_number` is the term of the leader."""

    upstream: gateway_messages.Upstream
    stage: gateway_messages.Stage
    holder: str
    fencing_number: int


class Leader(Protocol):
    """The members of this replica's shell that the director uses."""

    @property
    def is_leader(self) -> bool:
        """Whether this replica holds the leader's lease now."""

    @property
    def replica(self) -> str:
        """Name of this replica."""

    @property
    def term(self) -> int:
        """Term of this replica."""

    @property
    def decode_load(self) -> float:
        """Share of the decode engines' slots in use, as gateways report it."""

    def accept_upstreams(
        self, upstreams: list[gateway_messages.Upstream]
    ) -> None:
        """Accept a list of runners."""


@final
@dataclasses.dataclass(slots=True, frozen=True)
class _Change:
    """A change that was ordered at `ordered_ms` of an engine's start."""

    stage: gateway_messages.Stage
    born_ms: int
    ordered_ms: int


@final
class StageDirector:
    """Orders stage changes, and passes lists of runners on to the leader.

    While an engine changes, gateways are told that it leaves, because it
    rejects what it has not started.

    Args:
        leader: This replica; orders are given only while it leads.
        send: Sends one order to its engine. It is called in a thread.
        prefill_share: Share of each service's engines that prefill; 0 leaves
            all engines as they are.
    """

    def __init__(
        self,
        *,
        leader: Leader,
        send: Callable[[StageOrder], OrderResult],
        prefill_share: float,
    ) -> None:
        self._leader = leader
        self._send = send
        self._prefill_share = prefill_share
        self._change_by_id: dict[str, _Change] = {}
        self._term = 0
        self._term_since_ms = 0
        self._orders: queue.SimpleQueue[StageOrder | None] = queue.SimpleQueue()
        self._results: queue.SimpleQueue[tuple[str, OrderResult]] = (
            queue.SimpleQueue()
        )
        self._thread = threading.Thread(
            target=self._send_orders, name="stage-orders", daemon=True
        )

    def start(self) -> None:
        """Start the thread that sends orders."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sending orders, without waiting for the one in progress."""
        self._orders.put(None)

    @property
    def is_leader(self) -> bool:
        """Whether this replica holds the leader's lease now."""
        return self._leader.is_leader

    def accept_upstreams(
        self, upstreams: list[gateway_messages.Upstream]
    ) -> None:
        """Order the changes that are due, and pass the list on."""
        now_ms = clock.monotonic_ms()
        self._forget_old_changes(now_ms)
        self._apply_results(now_ms)
        if self._prefill_share and self._may_order(now_ms):
            self._order_changes(upstreams, now_ms)
        self._leader.accept_upstreams(
            [
                msgspec.structs.replace(upstream, leaving=True)
                if self._is_changing(upstream, now_ms)
                else upstream
                for upstream in upstreams
            ]
        )

    def _may_order(self, now_ms: int) -> bool:
        """Return whether orders of earlier leaders have all arrived."""
        term = self._leader.term
        if term != self._term:
            self._term, self._term_since_ms = term, now_ms
        # No leader came before that of the first term.
        return term == 1 or now_ms - self._term_since_ms >= NEW_LEADER_WAIT_MS

    def _order_changes(
        self, upstreams: list[gateway_messages.Upstream], now_ms: int
    ) -> None:
        upstream_by_id = {u.upstream_id: u for u in upstreams}
        engines_by_service: defaultdict[str, list[stage_split.Engine]] = (
            defaultdict(list)
        )
        for upstream in upstreams:
            if (
                upstream.leaving
                or upstream.stage is gateway_messages.Stage.NONE
            ):
                continue
            change = self._change_by_id.get(upstream.upstream_id)
            is_changing = self._is_changing(upstream, now_ms)
            engines_by_service[upstream.service].append(
                stage_split.Engine(
                    upstream_id=upstream.upstream_id,
                    zone=upstream.zone,
                    stage=change.stage
                    if change is not None and is_changing
                    else upstream.stage,
                    is_changing=is_changing,
                    may_change=change is None,
                )
            )
        for engines in engines_by_service.values():
            for planned in stage_split.plan(
                engines,
                prefill_share=self._prefill_share,
                decode_load=self._leader.decode_load,
            ):
                upstream = upstream_by_id[planned.upstream_id]
                self._change_by_id[planned.upstream_id] = _Change(
                    planned.stage, upstream.born_ms, now_ms
                )
                self._orders.put(
                    StageOrder(
                        upstream=upstream,
                        stage=planned.stage,
                        holder=self._leader.replica,
                        fencing_number=self._term,
                    )
                )

    def _is_changing(
        self, upstream: gateway_messages.Upstream, now_ms: int
    ) -> bool:
        change = self._change_by_id.get(upstream.upstream_id)
        return (
            change is not None
            and change.born_ms == upstream.born_ms
            and change.stage is not upstream.stage
            and now_ms - change.ordered_ms < CHANGE_TIMEOUT_MS
        )

    def _apply_results(self, now_ms: int) -> None:
        """Let engines serve again whose orders had no effect."""
        while not self._results.empty():
            upstream_id, result = self._results.get()
            change = self._change_by_id.get(upstream_id)
            match result:
                case OrderResult.NOT_SENT:
                    self._change_by_id.pop(upstream_id, None)
                case OrderResult.REFUSED if change is not None:
                    # It gets no further order for a while.
                    self._change_by_id[upstream_id] = dataclasses.replace(
                        change, ordered_ms=now_ms - CHANGE_TIMEOUT_MS
                    )
                case _:
                    pass

    def _forget_old_changes(self, now_ms: int) -> None:
        self._change_by_id = {
            upstream_id: change
            for upstream_id, change in self._change_by_id.items()
            if now_ms - change.ordered_ms < ENGINE_INTERVAL_MS
        }

    def _send_orders(self) -> None:
        while (order := self._orders.get()) is not None:
            leader = self._leader
            result = OrderResult.NOT_SENT
            if leader.is_leader and leader.term == order.fencing_number:
                result = self._send(order)
            self._results.put((order.upstream.upstream_id, result))
            _LOG.info(
                "stages: order to %s: stage %s, term %d, decode load %.2f: %s",
                order.upstream.upstream_id,
                order.stage.value,
                order.fencing_number,
                leader.decode_load,
                result.value,
            )
