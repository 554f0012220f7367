"""State of one entry, changed only by its reducer."""

import dataclasses
import enum
import random
from typing import final

from wisteriawall.config import document
from wisteriawall.entry import events
from wisteriawall.policy import estimates as estimates_lib
from wisteriawall.policy import health
from wisteriawall.policy import load_view
from wisteriawall.policy import prefix_index as prefix_index_lib
from wisteriawall.policy import retries
from wisteriawall.wire import fleet

__all__ = ["EntryState", "InFlightRequest", "RequestPhase"]


@final
class RequestPhase(enum.Enum):
    """What a request waits for."""

    AWAITING_CLAIM = enum.auto()
    AWAITING_ANSWER = enum.auto()


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class InFlightRequest:
    """A request between its arrival and its end.

    Attributes:
        arrived: The request as it arrived.
        phase: What the request waits for.
        claim_id: Id of the granted claim, 0 without one.
        attempt: Number of the last attempt, 0 before the first.
        runner: Runner of the attempt in progress, "" between attempts.
        sent_ms: When the last attempt was dispatched, by the monotonic clock.
        first_token_received: Whether any attempt has produced a token.
        may_have_run: Whether an attempt failed without proof that the engine
            did not run it. Such a request is never reported as not run.
        caller_disconnected: Whether the caller of a claimed request has
            disconnected.
        failed_runners: Runners that failed an attempt of this request.
    """

    arrived: events.RequestArrived
    phase: RequestPhase
    claim_id: int = 0
    attempt: int = 0
    runner: str = ""
    sent_ms: int = 0
    first_token_received: bool = False
    may_have_run: bool = False
    caller_disconnected: bool = False
    failed_runners: set[str] = dataclasses.field(default_factory=set)


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class EntryState:
    """State of one entry.

    Attributes:
        zone: Availability zone of this entry.
        name: Name of this entry.
        config: Newest configuration received.
        fleet_view: Newest state of the runners received from control.
        lease_until_ms: When the lease ends, by the monotonic clock.
        stopping: Whether a planned stop has begun.
        in_flight_by_id: Requests in progress, by request id.
        subset_by_service: Live runners that this entry uses.
        draining_runners: Runners whose agents reported that they are
            stopping, which the fleet view may not show yet.
        load: Load of the runners.
        prefix_index: Contents of the runners' prefix caches.
        estimates: Estimated answer lengths.
        health_by_service: Health of each service's runners.
        budget_by_service: Retry budget of each service.
        demand_by_service: Prefill and decode tokens of the requests that
            arrived since the last report to control.
        rng: Random source of the runner choice.
    """

    zone: str
    name: str = "entry"
    config: document.Document = dataclasses.field(
        default_factory=document.empty
    )
    fleet_view: fleet.FleetView = dataclasses.field(
        default_factory=lambda: fleet.FleetView(0, [])
    )
    lease_until_ms: int = -1
    stopping: bool = False
    in_flight_by_id: dict[str, InFlightRequest] = dataclasses.field(
        default_factory=dict
    )
    subset_by_service: dict[str, list[fleet.RunnerView]] = dataclasses.field(
        default_factory=dict
    )
    draining_runners: set[str] = dataclasses.field(default_factory=set)
    load: load_view.LoadView = dataclasses.field(
        default_factory=load_view.LoadView
    )
    prefix_index: prefix_index_lib.PrefixIndex = dataclasses.field(
        default_factory=prefix_index_lib.PrefixIndex
    )
    estimates: estimates_lib.OutputLengthEstimates = dataclasses.field(
        default_factory=estimates_lib.OutputLengthEstimates
    )
    health_by_service: dict[str, health.Health] = dataclasses.field(
        default_factory=dict
    )
    budget_by_service: dict[str, retries.RetryBudget] = dataclasses.field(
        default_factory=dict
    )
    demand_by_service: dict[str, tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )
    rng: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(0)
    )
