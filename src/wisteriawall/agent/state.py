"""State of the agent in front of one upstream."""

import dataclasses
from typing import final

from wisteriawall.agent import events
from wisteriawall.wire import fleet

__all__ = ["AgentState", "PendingOrder"]


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class PendingOrder:
    """An order that the agent has accepted and not finished.

    Attributes:
        order: The order.
        phase: What is being done about it.
        executions: How often it was sent to the engine.
        refusal: The engine's message if it refused the order, else "".
    """

    order: fleet.Order
    phase: fleet.OrderPhase = fleet.OrderPhase.DRAINING
    executions: int = 0
    refusal: str = ""


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class AgentState:
    """State of one agent, changed only by its reducer.

    Times are in milliseconds of the monotonic clock.

    Attributes:
        runner: Name of the runner.
        incarnation: Number that increases with every start of the agent.
        config_number: Newest configuration number received.
        previous_config_number: The number before it.
        superseded_ms: When `config_number` replaced the previous number.
            Entries may use the previous one until their leases run out.
        lease_until_ms: When the lease ends.
        draining: Whether control has stopped new work to the runner.
        stopping: Whether a planned stop has begun.
        min_fence: Minimum accepted fencing number; None until a majority of
            control replicas has reported theirs; no order is accepted before.
        pending: The order in progress.
        unconfirmed_report: Result of an order that control has not confirmed.
        finished_order_id: Newest order that has finished, 0 without one.
        running_attempts: Request id and number of the running attempts.
        admitted_claim_ids: Claims that were admitted and may have run.
        newest_forgotten_claim_id: Claims up to this id are no longer
            remembered, and are refused.
    """

    runner: str
    incarnation: int
    config_number: int = 0
    previous_config_number: int = 0
    superseded_ms: int = 0
    lease_until_ms: int = -1
    draining: bool = False
    stopping: bool = False
    min_fence: fleet.FencingNumber | None = None
    pending: PendingOrder | None = None
    unconfirmed_report: events.Report | None = None
    finished_order_id: int = 0
    running_attempts: set[tuple[str, int]] = dataclasses.field(
        default_factory=set
    )
    admitted_claim_ids: set[int] = dataclasses.field(default_factory=set)
    newest_forgotten_claim_id: int = 0

    @property
    def order_phase(self) -> fleet.OrderPhase:
        """Return what is being done about an order."""
        if self.pending is None:
            return fleet.OrderPhase.NONE
        return self.pending.phase
