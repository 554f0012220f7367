"""Events that change a gateway's state, and the effects that result.

`now_ms` is the time of the event in milliseconds on the monotonic clock.
`request_id` is the attempt id that the caller sent. `request_key` is the number
of a request in its process: the caller may send a request again, with the same
id, before the end of the first is noticed.
"""

from collections.abc import Mapping
import dataclasses
from typing import TypeAlias
from typing import final

from wisteriawall.config import route_table
from wisteriawall.gateway import protocol
from wisteriawall.web import connection_pool
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import gateway_messages

__all__ = [
    "AnswerProgress",
    "AnswerStarted",
    "Arrived",
    "BroadcastLoad",
    "ControlUpdate",
    "DeliverErrorAnswer",
    "Effect",
    "Ended",
    "Event",
    "FindOrigin",
    "ForeignAnswer",
    "KeepOrigin",
    "LogDecision",
    "OriginFound",
    "PeerLoadReceived",
    "PhaseFailed",
    "PrefillDone",
    "Refuse",
    "RunBegan",
    "RunnerNoticed",
    "StopBegan",
    "StopTimedOut",
    "StreamBegan",
    "TableAnnounced",
    "TableFetched",
    "UnexpectedError",
]


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Arrived:
    """A caller's request was received; `head` holds its parsed headers.

    `unread_ms` is how long it waited before that: for a thread to read it, and
    for the routing table after the start of the gateway. `too_late` tells that
    the process ends too soon for a new request. `fingerprint` is equal for
    requests that a caller repeats.
    """

    request_key: int
    request_id: str
    host: str
    path: str
    head: protocol.RequestHead
    now_ms: int
    unread_ms: int = 0
    too_late: bool = False
    fingerprint: str = ""


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class PrefillDone:
    """An engine finished the prefill phase.

    The engine keeps the KV cache under the KV transfer handle
    `transfer_handle`.
    """

    request_key: int
    transfer_handle: str
    now_ms: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AnswerStarted:
    """The first part of a runner's answer arrived."""

    request_key: int
    now_ms: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RunBegan:
    """An answer shows that a runner began to run the request.

    `began_wall_ms` is the Unix time at which it began: that of the first token
    of a stream, and of the sending of another request.
    """

    request_key: int
    began_wall_ms: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class StreamBegan:
    """The first complete event of a resumable stream arrived."""

    request_key: int
    now_ms: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class OriginFound:
    """Control answered what it knows of the stream that a request takes up.

    `found` is None if control gave no answer.
    """

    request_key: int
    found: gateway_messages.StreamFound | None
    now_ms: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class PhaseFailed:
    """The phase in progress failed without a complete answer.

    After the answer has started, only a resumable request can continue on
    another runner.

    Attributes:
        request_key: The request.
        run: Whether the request may have run.
        reason: Description for the log and the caller.
        now_ms: Time of the failure.
        unreachable: No connection could be made, so nothing was sent.
        answered: The runner answered with an error that may be passed on.
        status: HTTP status for the caller; 0 selects the default.
        runner_failed: Whether the failure speaks against the runner.
        cut_off: The runner ended the connection.
        peer_state: Whether the runner took a new connection right after it cut
            the request off; UNKNOWN if none was tried.
        can_go_on: Whether another answer can continue what the caller has got
            of this one; the route has to allow it too.
        is_final: The gateway stops, so that nothing more is tried.
    """

    request_key: int
    run: refusal_lib.RunState
    reason: str
    now_ms: int
    unreachable: bool = False
    answered: bool = False
    status: int = 0
    runner_failed: bool = True
    cut_off: bool = False
    peer_state: connection_pool.PeerState = connection_pool.PeerState.UNKNOWN
    can_go_on: bool = True
    is_final: bool = False


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RunnerNoticed:
    """What a runner's answer says about sending to it.

    Attributes:
        request_id: The request that was answered.
        upstream: The runner.
        leaving: Whether it is about to stop.
        pause_ms: How long it wants no requests, None if it doesn't say.
        now_ms: Time of the answer.
        limit: The limit that it names, None if it names none.
        sent_ms: Time at which the request was sent.
    """

    request_id: str
    upstream: gateway_messages.Upstream
    leaving: bool
    pause_ms: int | None
    now_ms: int
    limit: protocol.NamedLimit | None = None
    sent_ms: int = 0


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ForeignAnswer:
    """A runner's answer does not carry the id of the request.

    Attributes:
        request_key: The request that was sent last on the connection.
        request_id: Its id.
        answer_id: Id in the answer; empty if it carries none.
        status: HTTP status of the answer.
        not_run: Whether the answer says that its request was not run.
        connection_requests: Number of requests sent on the connection so far.
    """

    request_key: int
    request_id: str
    answer_id: str
    status: int
    not_run: bool
    connection_requests: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class UnexpectedError:
    """The thread of a request raised an exception that nothing handles."""

    request_id: str
    error: str
    trace: str


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class StopBegan:
    """The gateway stops; answers have to be complete at `answers_end_ms`."""

    answers_end_ms: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AnswerProgress:
    """How far the answer to a request has come.

    Attributes:
        waits_for: Whom the thread of the request deals with: the runner, the
            caller, or control.
        is_whole: Whether the runner's answer was read to its end.
        quiet_ms: How long ago bytes of the runner last arrived at this host;
            None without a connection.
        unread_bytes: Bytes of the runner that the thread has not read.
        unsent_bytes: Bytes of the answer that the caller's host lacks.
    """

    waits_for: str
    is_whole: bool
    quiet_ms: int | None
    unread_bytes: int
    unsent_bytes: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class StopTimedOut:
    """The time for finishing requests before the process ends is over."""

    now_ms: int
    progress_by_key: Mapping[int, AnswerProgress]


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Ended:
    """The request is over.

    `is_complete` tells whether the caller received the complete answer, and
    `is_success` whether that was no error.
    """

    request_key: int
    is_complete: bool
    now_ms: int
    is_success: bool = False


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class PeerLoadReceived:
    """Another gateway broadcast changes of the load it puts on runners."""

    load_events: tuple[gateway_messages.LoadEvent, ...]
    now_ms: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ControlUpdate:
    """A control replica sent changes.

    `table` is None if it is unchanged or has to be fetched, and `upstreams` if
    it is unchanged. `gateway_count` is the number of gateways of the
    deployment. `newest_table` is the number of the table that was the newest at
    `confirmed_ms`, monotonic time, and `took_ms` the duration of the call.
    `blocked_ms_by_parts` are the sets of traits that are blocked, `suspects` is
    what else control knows of requests under which runners crash, and
    `limit_by_runner` are the limits that others know.
    Of `mixed_services`, several software versions may have begun streams.
    `load_events_of_others` is how many load events the other gateways sent, -1
    if that isn't known. `usage` is what is committed of this gateway's usage.
    """

    table: route_table.RouteTable | None
    upstreams: gateway_messages.UpstreamList | None
    gateway_count: int
    now_ms: int
    newest_table: int = 0
    confirmed_ms: int = 0
    took_ms: int = 0
    blocked_ms_by_parts: Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )
    limit_by_runner: Mapping[str, gateway_messages.RunnerLimit] = (
        dataclasses.field(default_factory=dict)
    )
    suspects: gateway_messages.KnownSuspects = dataclasses.field(
        default_factory=gateway_messages.KnownSuspects
    )
    mixed_services: tuple[str, ...] = ()
    load_events_of_others: int = -1
    usage: gateway_messages.UsageReceipt = dataclasses.field(
        default_factory=gateway_messages.UsageReceipt
    )
    gateways_heard: int = 0
    most_gateways: gateway_messages.GatewayCount = dataclasses.field(
        default_factory=gateway_messages.GatewayCount
    )


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class TableAnnounced:
    """Control named the table `number` as the newest, before it was fetched.

    `source` is where this gateway was told to fetch it, empty if nowhere yet.
    """

    number: int
    now_ms: int = 0
    source: str = ""


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class TableFetched:
    """A table that control named was fetched from `source`.

    The other attributes are as in `ControlUpdate`, and `took_ms` is the time
    from the call of control until the table was here.
    """

    table: route_table.RouteTable
    newest_table: int
    confirmed_ms: int
    took_ms: int
    source: str


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class EngineAsked:
    """An engine is about to be asked what it holds."""

    upstream: gateway_messages.Upstream


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class EngineAnswered:
    """An engine answered what it holds.

    `held` is None if it gave no valid answer, and `reason` says why.
    """

    upstream: gateway_messages.Upstream
    held: protocol.HeldParts | None
    reason: str
    took_ms: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ContentsTold:
    """Another gateway told what engines hold.

    `source` names it, or the way by which this arrived.
    """

    contents: tuple[gateway_messages.EngineContents, ...]
    source: str
    now_ms: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class PeersSettled:
    """After its start, this gateway has the list of all other gateways."""

    now_ms: int


Event: TypeAlias = (
    Arrived
    | PrefillDone
    | AnswerStarted
    | RunBegan
    | StreamBegan
    | OriginFound
    | PhaseFailed
    | RunnerNoticed
    | ForeignAnswer
    | UnexpectedError
    | StopBegan
    | StopTimedOut
    | Ended
    | PeerLoadReceived
    | ControlUpdate
    | TableAnnounced
    | TableFetched
    | EngineAsked
    | EngineAnswered
    | ContentsTold
    | PeersSettled
)


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Refuse:
    """Answer the caller with a refusal, which ends the request."""

    refusal: refusal_lib.Refusal


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class DeliverErrorAnswer:
    """Pass the runner's error answer on: the request is not retried."""


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class FindOrigin:
    """Ask control which version began a stream; `OriginFound` follows.

    `attempt_id` is empty if the caller did not name it.
    """

    attempt_id: str
    service: str


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class KeepOrigin:
    """Let control keep which version began a stream."""

    attempt_id: str
    origin: gateway_messages.StreamOrigin


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class BroadcastLoad:
    """Broadcast a load event to the other gateways."""

    load_event: gateway_messages.LoadEvent


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class LogDecision:
    """Write a decision and the values behind it to the decision log."""

    decision: str
    request_id: str
    inputs: dict[str, object]


Effect: TypeAlias = (
    protocol.Send
    | Refuse
    | DeliverErrorAnswer
    | FindOrigin
    | KeepOrigin
    | BroadcastLoad
    | LogDecision
)
