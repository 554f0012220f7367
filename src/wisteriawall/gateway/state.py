"""State of one gateway: routing table, runners and requests in progress."""

import dataclasses
import random
from typing import final

from wisteriawall.config import route_table
from wisteriawall.gateway import protocol
from wisteriawall.gateway import usage as usage_lib
from wisteriawall.policy import admission
from wisteriawall.policy import engine_speeds
from wisteriawall.policy import fair_share as fair_share_lib
from wisteriawall.policy import hearing as hearing_lib
from wisteriawall.policy import placement as placement_lib
from wisteriawall.policy import plain_times as plain_times_lib
from wisteriawall.policy import recent_ends as recent_ends_lib
from wisteriawall.policy import retry_window
from wisteriawall.policy import runner_limits
from wisteriawall.policy import runner_notices
from wisteriawall.policy import stream_origins as stream_origins_lib
from wisteriawall.policy import suspects as suspects_lib
from wisteriawall.wire import gateway_messages

__all__ = ["Gateway", "LoggedShare", "Request", "Tuning"]


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Tuning:
    """Parameters of placement and of the rejection of requests.

    `revoke_ms` is how long after its removal a key may still be in use, None
    if that is not limited. `config_ms` is how long after its acknowledgement a
    change of the routing table must be in force.
    """

    placement_options: placement_lib.Options = dataclasses.field(
        default_factory=placement_lib.Options
    )
    admission_bounds: admission.AdmissionBounds = dataclasses.field(
        default_factory=admission.AdmissionBounds
    )
    revoke_ms: int | None = None
    config_ms: int = 2_000


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """A caller's request in progress.

    `request_key` identifies it, as two requests in progress may have one id.
    `current_send` is the phase in progress, sent at `sent_ms`, and `placement`
    the forecast by which a prompt was placed. `attempts` is limited by the
    route's `max_attempts`; a successful prefill and a send whose runner could
    not be reached are not counted. `tried_upstream_ids` holds every runner to
    which a phase was sent. `answer_started` is set once a runner's answer began
    to arrive. `earlier_wait_ms` is how long the caller waited in attempts
    before this request, derived from its deadline. `shared_parts` are the parts
    of the prompt that other requests may have too, and `began_ms` is when the
    answer to `current_send` began, 0 before. `fingerprint` is equal for
    requests that a caller repeats, and `is_trial` is set if it is sent although
    it is blocked. `may_have_run` is set once a runner may have run the request.
    `origin` is the version that began the stream, None before the first event.
    `account` is the name of the client account, empty without one, and
    `account_rank` its rank, None without one. `counted_attempt` is the last of
    `attempts` that is counted as its usage. `arrivals` are the sends that may
    have reached a runner, of all phases, of which `counted_retries` are in the
    retry budget, and `has_prefilled` is set once a prefill is done.
    `may_prefill` is unset if the retry budget allows no further one. `work_ms`
    is the expected work of a request without a prompt, and `found_free_slot` is
    set if its runner was expected to serve it at once. Times are on the
    monotonic clock.
    """

    request_key: int
    request_id: str
    head: protocol.RequestHead
    route: route_table.Route
    service: route_table.RoutedService
    arrived_ms: int
    prompt: placement_lib.Prompt | None = None
    placement: placement_lib.Placement | None = None
    current_send: protocol.Send | None = None
    sent_ms: int = 0
    attempts: int = 0
    tried_upstream_ids: set[str] = dataclasses.field(default_factory=set)
    answer_started: bool = False
    earlier_wait_ms: int = 0
    shared_parts: tuple[str, ...] = ()
    began_ms: int = 0
    fingerprint: str = ""
    is_trial: bool = False
    may_have_run: bool = False
    origin: stream_origins_lib.Origin | None = None
    account: str = ""
    account_rank: int | None = None
    counted_attempt: int = 0
    arrivals: int = 0
    counted_retries: int = 0
    has_prefilled: bool = False
    may_prefill: bool = True
    work_ms: float = 0.0
    found_free_slot: bool = False

    @property
    def traits(self) -> tuple[str, ...]:
        """Return what this request has in common with others like it."""
        if not self.fingerprint:
            return self.shared_parts
        return (
            *self.shared_parts,
            suspects_lib.request_trait(self.fingerprint),
        )

    @property
    def deadline_at_ms(self) -> int:
        """Return the time of the caller's deadline or the route's timeout."""
        return self.arrived_ms + min(
            self.head.remaining_ms, self.route.timeout_ms
        )


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class LoggedShare:
    """By how many gateways the retry slack was divided when it was logged."""

    gateways: int
    at_ms: int


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Gateway:
    """Everything on which a gateway's decisions depend.

    `retries` is this gateway's part of the shared retry budget,
    `budget_contact_ms` when the newest poll was sent that control answered,
    None before the first, and `budget_logged` what was last logged of it.
    `route_index` is None until the first routing table arrives.
    `upstream_by_id` holds the runners of the newest list, `list_version` the
    version of that list, `load_by_id` the load of each of these runners,
    `notices` what speaks against sending to them, and `limits` how many
    requests they take.
    `newest_table` is the highest number of a table that control named, and
    `table_confirmed_ms` is the newest monotonic time at which the table was
    known to be the newest, 0 before the first one.
    `speeds` are the learned speeds of each service's engines, last logged at
    `speeds_reported_ms`. `plain_times` are the learned times of requests
    without a prompt, and `fair_share` compares the accounts' accepted work.
    `suspects` are requests and parts of prompts under which runners crashed,
    and `lost_requests` the latest ones that a runner cut off here, with the
    time.
    `origins` are the software versions that began streams, and `mixed_services`
    those of which control knows several. `ended_ms_by_start` is when a start of
    a runner seemed to have ended. `hearing` compares `load_events_heard`, the
    number of load events of other gateways, with what these sent.
    `longest_remaining_ms_by_route` holds the longest remaining time that any
    caller of a route had on arrival.
    `table_awaited_ms` is when control first named a newer table than the one in
    use, None if it named none, and `late_table` the number of the last one
    that was awaited for long.
    `usage` counts what client accounts used.
    `answers_end_ms` is when answers have to be complete, None until the gateway
    stops.
    `error_by_part` are the parts of control's answers whose last application
    failed. `settled_parts_by_start` are the parts known of an engine when it
    was asked what it holds, and `recent_ends` are requests of other gateways
    that ended lately.
    """

    name: str
    zone: str
    random: random.Random
    tuning: Tuning
    retries: retry_window.RetryWindow
    budget_contact_ms: int | None = None
    budget_logged: LoggedShare | None = None
    route_index: route_table.RouteIndex | None = None
    newest_table: int = 0
    table_confirmed_ms: int = 0
    list_version: tuple[int, int] = (0, 0)
    upstream_by_id: dict[str, gateway_messages.Upstream] = dataclasses.field(
        default_factory=dict
    )
    load_by_id: dict[str, placement_lib.EngineLoad] = dataclasses.field(
        default_factory=dict
    )
    speeds: engine_speeds.Speeds = dataclasses.field(
        default_factory=lambda: engine_speeds.Speeds(
            prior_overhead_ms=placement_lib.PrefillSpeeds().first_decode_ms
        )
    )
    speeds_reported_ms: int = 0
    fair_share: fair_share_lib.FairShare = dataclasses.field(
        default_factory=fair_share_lib.FairShare
    )
    plain_times: plain_times_lib.PlainTimes = dataclasses.field(
        default_factory=plain_times_lib.PlainTimes
    )
    notices: runner_notices.RunnerNotices = dataclasses.field(
        default_factory=runner_notices.RunnerNotices
    )
    limits: runner_limits.RunnerLimits = dataclasses.field(
        default_factory=lambda: runner_limits.RunnerLimits(random.Random(0))
    )
    suspects: suspects_lib.Suspects = dataclasses.field(
        default_factory=suspects_lib.Suspects
    )
    lost_requests: list[tuple[int, gateway_messages.LoadEvent]] = (
        dataclasses.field(default_factory=list)
    )
    origins: stream_origins_lib.StreamOrigins = dataclasses.field(
        default_factory=stream_origins_lib.StreamOrigins
    )
    mixed_services: set[str] = dataclasses.field(default_factory=set)
    hearing: hearing_lib.Hearing = dataclasses.field(
        default_factory=hearing_lib.Hearing
    )
    load_events_heard: int = 0
    ended_ms_by_start: dict[str, int] = dataclasses.field(default_factory=dict)
    longest_remaining_ms_by_route: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    request_by_key: dict[int, Request] = dataclasses.field(default_factory=dict)
    table_awaited_ms: int | None = None
    answers_end_ms: int | None = None
    late_table: int = 0
    error_by_part: dict[str, str] = dataclasses.field(default_factory=dict)
    usage: usage_lib.UsageCounts = dataclasses.field(
        default_factory=usage_lib.UsageCounts
    )
    settled_parts_by_start: dict[str, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )
    recent_ends: recent_ends_lib.RecentEnds = dataclasses.field(
        default_factory=recent_ends_lib.RecentEnds
    )

    @property
    def table_number(self) -> int:
        """Return the number of the routing table, 0 before the first."""
        return self.route_index.table.number if self.route_index else 0
