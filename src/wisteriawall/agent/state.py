"""State of the agent in front of one upstream."""

import dataclasses
from typing import final

from wisteriawall.agent import events
from wisteriawall.wire import fleet

__all__ = ["Agent", "PendingOrder"]


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class PendingOrder:
    """The one order that this agent has accepted and not finished.

    `refusal` is what the engine said when it refused the order.
    """

    order: fleet.Order
    phase: fleet.OrderPhase = fleet.OrderPhase.DRAINING
    attempts: int = 0
    refusal: str = ""


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Agent:
    """State that the agent's reducer changes.

    `superseded_ms` is when a configuration number newer than the one before
    it became known here; entries may act on the older one until their lease
    has run out. Claims up to `claim_floor` are forgotten and stay refused.
    """

    runner: str
    incarnation: int
    config_number: int = 0
    previous_number: int = 0
    superseded_ms: int = 0
    lease_until_ms: int = -1
    draining: bool = False
    stopping: bool = False
    floor: fleet.Fence | None = None
    pending: PendingOrder | None = None
    report: events.Report | None = None
    finished_order_id: int = 0
    running: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    admitted_claims: set[int] = dataclasses.field(default_factory=set)
    claim_floor: int = 0

    @property
    def order_phase(self) -> fleet.OrderPhase:
        """Return what is being done about an order."""
        if self.pending is None:
            return fleet.OrderPhase.NONE
        return self.pending.phase
