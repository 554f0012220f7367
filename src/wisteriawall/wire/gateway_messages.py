"""Messages of gateways, and of replicas that join the cluster.

Gateways poll control replicas for the routing table and the list of upstreams.
They send each other the load that they put on upstreams.
"""

import enum
from typing import final

import msgspec

from wisteriawall.config import route_table

__all__ = [
    "NO_LIMIT_PER_S",
    "ContentsReply",
    "ContentsRequest",
    "EngineContents",
    "FindStreamRequest",
    "FollowRequest",
    "Followed",
    "GatewayCount",
    "GatewayPeer",
    "JoinReply",
    "JoinRequest",
    "KnownSuspects",
    "LoadEvent",
    "LoadEventBatch",
    "LoadEventKind",
    "RecordStreamsRequest",
    "RequestInProgress",
    "RunnerLimit",
    "Stage",
    "StreamFound",
    "StreamOrigin",
    "StreamsRecorded",
    "SuspectReport",
    "TableNotKept",
    "TablePart",
    "TablePartRequest",
    "Upstream",
    "UpstreamList",
    "UsageReceipt",
    "UsageReport",
    "table_part",
    "with_age",
]

# Small, so that heartbeats and requests wait little behind a part.
TABLE_PART_BYTES = 16 * 1024
# Requests a second in the event that a limit has ended.
NO_LIMIT_PER_S = -1.0


@final
class Stage(enum.StrEnum):
    """Serving phase that an engine performs; plain upstreams have none."""

    NONE = ""
    PREFILL = "prefill"
    DECODE = "decode"


@final
class Upstream(msgspec.Struct, frozen=True, kw_only=True):
    """One runner of the platform's list.

    `upstream_id` changes with most starts of the runner, and `born_ms` is when
    it started. An address may later belong to a runner of another service.
    `leaving` says that the runner is draining. `version` is that of its
    software, empty if the list doesn't name it.
    """

    upstream_id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool = False
    stage: Stage = Stage.NONE
    weights_version: int = 0
    born_ms: int = 0
    version: str = ""

    @property
    def start_id(self) -> str:
        """Return an id that differs between the starts of one runner."""
        return f"{self.upstream_id}/{self.born_ms}"


@final
class UpstreamList(msgspec.Struct, frozen=True):
    """All usable runners when the leader last read the platform's list.

    `reader_term` is the term of that leader. `sequence` rises whenever the list
    changes, and starts again at 1 in each term.
    """

    reader_term: int
    sequence: int
    upstreams: list[Upstream]

    @property
    def version(self) -> tuple[int, int]:
        """Return a pair that is greater for the newer of two lists."""
        return self.reader_term, self.sequence


@final
class GatewayPeer(msgspec.Struct, frozen=True, array_like=True):
    """A gateway and the UDP address at which it receives load events.

    `table_address` is the RPC address at which it serves routing tables and
    what it knows of engines; it is empty if the leader is of an older version.
    """

    name: str
    address: str
    table_address: str = ""


@final
class RunnerLimit(msgspec.Struct, frozen=True, array_like=True):
    """Limit of a runner, as named in the answer to a request of `age_ms` ago.

    `per_s` is `NO_LIMIT_PER_S` if the answer named none any more.
    """

    per_s: float
    age_ms: int


@final
class SuspectReport(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway knows of requests under which runners crash.

    Sets of traits are named by their traits with commas in between: ids of
    prompt parts, and `request/` with the fingerprint of a whole request.
    A complete answer cleared those in `cleared`. The gateway refused requests
    of those in `wanted` since its last report. `losses` are the latest events
    CUT_OFF.
    """

    cleared: list[str] = []
    wanted: list[str] = []
    losses: "list[LoadEvent]" = []


@final
class KnownSuspects(msgspec.Struct, frozen=True, array_like=True):
    """What control knows of requests under which runners crash.

    `cleared` are sets of traits that are no longer blocked, `trial_by_block`
    numbers the trials that the gateway was granted, and `losses` are events
    CUT_OFF of other gateways.
    """

    cleared: list[str] = []
    trial_by_block: dict[str, int] = {}
    losses: "list[LoadEvent]" = []


@final
class UsageReport(msgspec.Struct, frozen=True, array_like=True):
    """Requests that runners ran for a gateway, by window and account.

    The counts are cumulative, and only those that changed after the version of
    the last `UsageReceipt` are named. `version` rises with each change.
    `wall_ms` is the Unix time at the gateway. Requests that began more than
    `open_ms` before it are all counted.
    """

    version: int
    wall_ms: int
    count_by_account_by_window: dict[int, dict[str, int]] = {}
    open_ms: int = 0


@final
class UsageReceipt(msgspec.Struct, frozen=True, array_like=True):
    """What control has committed of a gateway's usage.

    Every change up to `version` is committed. `next_window` is the first window
    whose report is not fixed yet.
    """

    version: int = 0
    next_window: int = 0


@final
class GatewayCount(msgspec.Struct, frozen=True, array_like=True):
    """Number of gateways that control heard `age_ms` ago; 0 if not known."""

    gateways: int = 0
    age_ms: int = 0


@final
class FollowRequest(msgspec.Struct, frozen=True, array_like=True, tag="follow"):
    """Request of a gateway for updates; it is also a heartbeat.

    `address` is the UDP address at which the gateway receives load events.
    `table_number` and `list_version` identify the newest routing table and the
    newest upstream list that it has, 0 and (0, 0) when it has none. `stopping`
    says that a planned stop has begun. `peers_version` identifies the list of
    gateways that it has, 0 when it has none. `table_address` is the RPC address
    at which the gateway serves its routing tables; it is empty at a gateway of
    an older version, which gets the whole table with the answer.
    `table_fetch_failed` says that the last fetch of a table failed.
    `blocked_ms_by_parts` are the sets of prompt parts that the gateway blocks,
    as ids with commas in between. `limit_by_runner` are the limits that it
    knows, by the start id of the runner. `suspects` is the rest of what it
    knows of requests under which runners crash, None at a gateway of an older
    version: its blocks are not committed, as older replicas may not know how.
    `load_events_sent` counts the load events that it has broadcast, -1 at a
    gateway of an older version. `usage` is None at a gateway that counts no
    usage, or of an older version, as `suspects` is. `most_gateways` is the
    largest number of gateways that it was told lately.
    """

    gateway: str
    incarnation: int
    address: str
    table_number: int
    list_version: tuple[int, int]
    stopping: bool = False
    peers_version: int = 0
    table_address: str = ""
    table_fetch_failed: bool = False
    blocked_ms_by_parts: dict[str, int] = {}
    limit_by_runner: dict[str, RunnerLimit] = {}
    suspects: SuspectReport | None = None
    load_events_sent: int = -1
    usage: UsageReport | None = None
    most_gateways: GatewayCount = GatewayCount()


@final
class Followed(msgspec.Struct, frozen=True, array_like=True, tag="followed"):
    """Answer with the updates that the gateway does not have yet.

    The state in the answer was confirmed current at most `age_ms` before it
    was sent. `table` and `upstreams` are None when the gateway already has the
    newest. A gateway that lacks the table `table_number` fetches it, or an
    older one that it lacks too, `table_source_number`, at `table_source`; if
    that is empty, the gateway asks again soon. `peers` are
    the other live gateways, None if the gateway already has the list
    `peers_version`. `rpc_address_by_replica` lists every control replica.
    `blocked_ms_by_parts` are the sets of parts that any gateway blocks, and
    `limit_by_runner` the newest limits that any gateway knows. `suspects` is
    the rest of what control knows of requests under which runners crash. Of
    `mixed_services`, several software versions may have begun streams.
    `load_events_of_others` is how many load events the other gateways sent
    since the leader began to count, -1 if the gateway does not count its own.
    `usage` says what is committed of the usage that the gateway reported.
    `gateways_heard` is the number of gateways that share the retry budget, as
    far as the leader has heard them, 0 at an older version, and `most_gateways`
    the largest one that gateways know.
    """

    age_ms: int
    table_number: int
    table: route_table.RouteTable | None
    upstreams: UpstreamList | None
    peers: list[GatewayPeer] | None
    rpc_address_by_replica: dict[str, str]
    peers_version: int = 0
    table_source: str = ""
    table_source_number: int = 0
    blocked_ms_by_parts: dict[str, int] = {}
    limit_by_runner: dict[str, RunnerLimit] = {}
    suspects: KnownSuspects = KnownSuspects()
    mixed_services: list[str] = []
    load_events_of_others: int = -1
    usage: UsageReceipt = UsageReceipt()
    gateways_heard: int = 0
    most_gateways: GatewayCount = GatewayCount()


@final
class TablePartRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="table-part"
):
    """Request for a part of the encoded change from one table to another.

    A `base_number` of 0 stands for an empty table. `offset` is the position of
    the part's first byte.
    """

    base_number: int
    number: int
    offset: int


@final
class TablePart(
    msgspec.Struct, frozen=True, array_like=True, tag="table-part-is"
):
    """Part of an encoded change, which has `total_bytes`.

    `base_number` is 0 if the sender does not have the base that was requested.
    """

    base_number: int
    total_bytes: int
    data: bytes


@final
class TableNotKept(
    msgspec.Struct, frozen=True, array_like=True, tag="table-not-kept"
):
    """Answer that the sender can't make the change that was requested."""


def table_part(
    request: TablePartRequest, encoded: bytes | None
) -> TablePart | TableNotKept:
    """Return the requested part of an encoded change, None if there is none."""
    if encoded is None:
        return TableNotKept()
    offset = max(0, request.offset)
    return TablePart(
        request.base_number,
        len(encoded),
        encoded[offset : offset + TABLE_PART_BYTES],
    )


@final
class JoinRequest(msgspec.Struct, frozen=True, array_like=True, tag="join"):
    """Request to the leader to add this replica to the cluster.

    The replica is added without a vote until it has caught up. If an earlier
    replica has the same peer address, its data folder was lost, and it is
    removed before the new one gets its vote.
    """

    replica: str
    peer_address: str
    rpc_address: str
    admin_address: str


@final
class JoinReply(msgspec.Struct, frozen=True, array_like=True, tag="joining"):
    """Answer whether the replica is a member now; if not, `reason` says why.

    `peer_address_by_replica` lists the members, because the log of a joining
    replica does not contain them yet.
    """

    joined: bool
    reason: str
    peer_address_by_replica: dict[str, str]


@final
class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """Service and software version that wrote the first event of a stream.

    `fingerprint` is that of the request.
    """

    service: str
    version: str
    fingerprint: str


@final
class RecordStreamsRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="record-streams"
):
    """Request to keep the origins of streams, by attempt id."""

    origin_by_attempt: dict[str, StreamOrigin]


@final
class StreamsRecorded(
    msgspec.Struct, frozen=True, array_like=True, tag="streams-recorded"
):
    """Confirmation that origins of streams are committed."""


@final
class FindStreamRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="find-stream"
):
    """Question for the origin of a stream of `service`.

    `attempt_id` is empty if the caller did not name it.
    """

    attempt_id: str
    service: str


@final
class StreamFound(
    msgspec.Struct, frozen=True, array_like=True, tag="stream-found"
):
    """What control knows of a stream.

    `is_kept` says that its attempt id is known; `origin` is None nevertheless
    if streams of different origins had it. The stream was reported `age_ms`
    ago. `versions` are all versions of the service that may have begun a
    stream.
    """

    is_kept: bool
    origin: StreamOrigin | None
    age_ms: int
    versions: list[str]


@final
class LoadEventKind(enum.StrEnum):
    """What happened to a request at a runner.

    SENT: It was sent to the runner.
    ANSWER_STARTED: The response began.
    ENDED: The runner no longer works on it.
    FAILED: The runner seems to be down; the sender avoids it.
    LEAVING: The runner announced that it is about to stop.
    CUT_OFF: The runner ended the connection before the answer was complete.
    COMPLETED: An answer on these parts was complete.
    RESERVED: It will be sent to the runner after a prefill elsewhere.
    LIMITED: The runner named the limit `per_s`.
    STREAM_BEGAN: The first event of its stream arrived, written by `origin`.
    """

    SENT = "s"
    ANSWER_STARTED = "b"
    ENDED = "e"
    FAILED = "f"
    LEAVING = "l"
    CUT_OFF = "x"
    COMPLETED = "c"
    RESERVED = "v"
    LIMITED = "r"
    STREAM_BEGAN = "o"


@final
class LoadEvent(msgspec.Struct, frozen=True, array_like=True):
    """A change in the load of one runner by one request.

    The fields after `request_id` are set only for `LoadEventKind.SENT`. CUT_OFF
    and COMPLETED have the traits of the request as `parts`, without numbers of
    tokens. `has_begun` says of CUT_OFF that the answer had just begun, and
    `has_crashed` that the runner took no connection right after.

    `parts` are the parts of the prompt in order, as id and number of tokens.
    `uncached_tokens` is how many prompt tokens the sender expects not to be in
    the KV cache. In `priority_class`, 0 is the most urgent.

    `per_s` of LIMITED is `NO_LIMIT_PER_S` if the runner has none any more, and
    `age_ms` the time since the request was sent whose answer named it. In
    events that control passes on, `age_ms` is the time since the loss. SENT has
    an `age_ms` if it is repeated for gateways that may have missed it.

    `prefill_permille` is set if the event ends a prefill that the sender
    measured: its duration, in permille of the nominal one. Of a request without
    a prompt, it is the time to its answer, in permille of the expected one,
    which SENT names as `work_ms`. In ENDED, `work_ms` is the measured time.
    """

    kind: LoadEventKind
    upstream_id: str
    request_id: str
    uncached_tokens: int = 0
    parts: tuple[tuple[str, int], ...] = ()
    priority_class: int = 0
    has_begun: bool = False
    per_s: float = NO_LIMIT_PER_S
    age_ms: int = 0
    has_crashed: bool = False
    origin: StreamOrigin | None = None
    prefill_permille: int = 0
    work_ms: int = 0


def with_age(event: LoadEvent, age_ms: int) -> LoadEvent:
    """Return an event that is `age_ms` old, as control passes it on."""
    return msgspec.structs.replace(event, age_ms=age_ms)


@final
class RequestInProgress(msgspec.Struct, frozen=True, array_like=True):
    """A request that was sent to an engine `age_ms` ago and has not ended.

    `prefill_ms` is the nominal prefill time, `tokens` the length of the prompt,
    and `has_begun` says that its first token has arrived.
    """

    request_id: str
    prefill_ms: float
    priority_class: int
    tokens: int
    age_ms: int
    has_begun: bool


@final
class EngineContents(msgspec.Struct, frozen=True, array_like=True):
    """What one start of an engine holds in its KV cache.

    `born_ms` is that of the runner, so that it isn't taken for what a later
    start holds. The engine held `parts`, as id and number of tokens, `age_ms`
    before this was sent. It may hold further ones. `requests` are those that
    the sender knows to be in progress, the newest first.
    """

    upstream_id: str
    born_ms: int
    age_ms: int
    parts: list[tuple[str, int]] = []
    requests: list[RequestInProgress] = []


@final
class ContentsRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="contents"
):
    """Question of a gateway that has started for what another one knows.

    It asks for engines whose ids come behind `after`.
    """

    after: str = ""


@final
class ContentsReply(
    msgspec.Struct, frozen=True, array_like=True, tag="contents-are"
):
    """Answer of a gateway that has been able to serve for `up_ms`.

    `engines` are in the order of their ids, and there are more unless
    `is_last`. A gateway that started lately names none.
    """

    up_ms: int
    engines: list[EngineContents] = []
    is_last: bool = True


@final
class LoadEventBatch(
    msgspec.Struct, frozen=True, array_like=True, tag="load-news"
):
    """Load events of one or more gateways, sent in one datagram.

    With `forward`, the receiver forwards the events to its row of the grid in
    `gateway.load_mesh`. A lost datagram is not sent again. `contents` are sent
    after a start, apart from events; a gateway of an older version ignores
    them.
    """

    events: list[LoadEvent]
    forward: bool = False
    contents: list[EngineContents] = []
