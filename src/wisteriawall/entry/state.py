"""State of one entry, as its reducer keeps it."""

from collections import Counter
import dataclasses
import enum
from typing import final

from wisteriawall.config import document
from wisteriawall.entry import events
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
    may_have_run: bool = False
    caller_gone: bool = False
    failed_runners: set[str] = dataclasses.field(default_factory=set)


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Entry:
    """State of one entry."""

    zone: str
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
    report_by_runner: dict[str, fleet.LoadReport] = dataclasses.field(
        default_factory=dict
    )
    dispatched_by_runner: Counter[str] = dataclasses.field(
        default_factory=Counter
    )
