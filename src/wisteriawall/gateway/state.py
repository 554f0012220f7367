"""State of one gateway: tables, runners, and requests in progress."""

import dataclasses
import random
from typing import final

from wisteriawall.config import route_table
from wisteriawall.gateway import calls
from wisteriawall.policy import placement as placement_lib
from wisteriawall.policy import retry_window
from wisteriawall.policy import turn_away
from wisteriawall.wire import site_messages

__all__ = ["Gateway", "Request", "Tuning"]


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Tuning:
    """Settings of a gateway's decisions."""

    options: placement_lib.Options = dataclasses.field(
        default_factory=placement_lib.Options
    )
    bounds: turn_away.Bounds = dataclasses.field(
        default_factory=turn_away.Bounds
    )


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """A caller's request in progress.

    `sent` is the leg in progress; `placement` how a prompt is served.
    `arrivals` counts what reached runners beside the first READ leg, and
    `tried_ids` names them. `waited_before_ms` is how long the caller waited
    before this request, as its deadline tells.
    """

    key: str
    call: calls.Call
    route: route_table.Route
    service: route_table.RoutedService
    arrived_ms: int
    prompt: placement_lib.Prompt | None = None
    placement: placement_lib.Placement | None = None
    sent: calls.Send | None = None
    sent_ms: int = 0
    arrivals: int = 0
    tried_ids: set[str] = dataclasses.field(default_factory=set)
    began: bool = False
    waited_before_ms: int = 0

    @property
    def until_ms(self) -> int:
        """Return when the caller or the route's time-out gives up."""
        return self.arrived_ms + min(
            self.call.deadline_ms, self.route.timeout_ms
        )


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Gateway:
    """Everything that a gateway decides from."""

    name: str
    zone: str
    random: random.Random
    tuning: Tuning
    retries: retry_window.RetryWindow
    index: route_table.RouteIndex | None = None
    list_position: tuple[int, int] = (0, 0)
    upstream_by_id: dict[str, site_messages.Upstream] = dataclasses.field(
        default_factory=dict
    )
    load_by_id: dict[str, placement_lib.EngineLoad] = dataclasses.field(
        default_factory=dict
    )
    longest_deadline_by_route: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    request_by_key: dict[str, Request] = dataclasses.field(default_factory=dict)

    @property
    def table_number(self) -> int:
        """Return the number of the table in force, 0 before the first."""
        return self.index.table.number if self.index else 0
