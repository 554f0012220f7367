"""State of one entry, as its reducer keeps it."""

import dataclasses
import enum
import random
from typing import final

from wisteriawall.config import document
from wisteriawall.entry import events
from wisteriawall.policy import estimates as estimates_lib
from wisteriawall.policy import health
from wisteriawall.policy import load_view
from wisteriawall.policy import prefix_index
from wisteriawall.policy import retries
from wisteriawall.wire import fleet

__all__ = ["Entry", "InFlight", "Phase"]


@final
class Phase(enum.Enum):
    """What a request waits for."""

    CLAIM = enum.auto()
    ANSWER = enum.auto()


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class InFlight:
    """A request between arrival and its last effect.

    `may_have_run` is set once an attempt failed without proof that the
    engine took no work; from then on the request is never called not run.
    """

    arrived: events.Arrived
    phase: Phase
    claim_id: int = 0
    attempt: int = 0
    runner: str = ""
    sent_ms: int = 0
    started: bool = False
    may_have_run: bool = False
    caller_gone: bool = False
    failed_runners: set[str] = dataclasses.field(default_factory=set)


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Entry:
    """State of one entry.

    `chosen_by_service` are the live runners that it uses, `leaving` those
    whose agents said since that they leave. Demand is prefill and decode
    tokens that arrived since control was last told.
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
    in_flight_by_id: dict[str, InFlight] = dataclasses.field(
        default_factory=dict
    )
    chosen_by_service: dict[str, list[fleet.RunnerView]] = dataclasses.field(
        default_factory=dict
    )
    leaving: set[str] = dataclasses.field(default_factory=set)
    load: load_view.LoadView = dataclasses.field(
        default_factory=load_view.LoadView
    )
    prefixes: prefix_index.PrefixIndex = dataclasses.field(
        default_factory=prefix_index.PrefixIndex
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
