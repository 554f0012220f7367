"""Events that a control replica's reducer handles, and effects it yields.

`now_ms` is monotonic clock time and `wall_ms` is Unix time, both in
milliseconds; the shell that delivers the event reads them.
"""

from typing import final

import msgspec

from wisteriawall.config import document
from wisteriawall.config import route_table
from wisteriawall.control import membership
from wisteriawall.control import outcomes
from wisteriawall.control import raft
from wisteriawall.control import state
from wisteriawall.wire import control_messages
from wisteriawall.wire import fleet
from wisteriawall.wire import gateway_messages
from wisteriawall.wire import peer_messages
from wisteriawall.wire import raft_messages

__all__ = [
    "AddReplicaRequest",
    "Answer",
    "AuditReply",
    "AuditRequest",
    "BatchEnded",
    "CallReceived",
    "ConfigReply",
    "ConfigRequest",
    "DrainReply",
    "DrainRequest",
    "DueUsageReply",
    "DueUsageRequest",
    "Effect",
    "Event",
    "HistoryReply",
    "HistoryRequest",
    "LogSynced",
    "NotKept",
    "Note",
    "PatchReply",
    "PatchRequest",
    "PeerMessageReceived",
    "ProcessStatus",
    "PublishReply",
    "PublishRequest",
    "RemoveReplicaRequest",
    "ReplicasReply",
    "Reply",
    "Request",
    "RunnerStatus",
    "SendLivenessSummary",
    "SettleUsageRequest",
    "StatusReply",
    "StatusRequest",
    "TableReply",
    "TableRequest",
    "Ticked",
    "Unavailable",
    "UpstreamsRead",
    "UsageSettled",
    "UsageStatus",
    "VmListRead",
]


@final
class PatchRequest(msgspec.Struct, frozen=True, tag="patch"):
    """Apply an operator's JSON merge patch to the configuration.

    The patch is accepted only while `base_number` is the current number. A
    request that is sent again with the same `patch_id` gets the same outcome.
    """

    patch_id: str
    operator: str
    base_number: int
    change: bytes


@final
class PatchReply(msgspec.Struct, frozen=True, tag="patched"):
    """Outcome of a patch.

    For an accepted patch, `holding` of the `processes` live entries and agents
    had received its number when the reply was made.
    """

    outcome: outcomes.PatchOutcome
    holding: int
    processes: int


@final
class ConfigRequest(msgspec.Struct, frozen=True, tag="config"):
    """Read the configuration `number`, or the newest when it is None."""

    number: int | None = None


@final
class ConfigReply(msgspec.Struct, frozen=True, tag="config-is"):
    """The configuration that was asked for."""

    document: document.Document


@final
class PublishRequest(msgspec.Struct, frozen=True, tag="publish"):
    """Publish a whole routing table; `source` is the text that was sent."""

    operator: str
    table: route_table.RouteTable
    source: bytes


@final
class PublishReply(msgspec.Struct, frozen=True, tag="published"):
    """Outcome of publishing a routing table."""

    outcome: outcomes.TableInForce | outcomes.TableConflict


@final
class TableRequest(msgspec.Struct, frozen=True, tag="table"):
    """Read the newest routing table."""


@final
class TableReply(msgspec.Struct, frozen=True, tag="table-is"):
    """Number and text of the newest table, 0 and empty before the first."""

    number: int
    source: bytes


@final
class HistoryRequest(msgspec.Struct, frozen=True, tag="history"):
    """Read the newest patches that the configuration history holds."""

    limit: int


@final
class HistoryReply(msgspec.Struct, frozen=True, tag="history-is"):
    """Configuration versions, newest first."""

    versions: list[state.ConfigVersion]


@final
class NotKept(msgspec.Struct, frozen=True, tag="not-kept"):
    """The item asked for is not stored; `reason` says which are."""

    reason: str


@final
class DrainRequest(msgspec.Struct, frozen=True, tag="drain"):
    """Stop sending new requests to a runner, or with `undo` resume that.

    All copies of a request have the same `drain_id`, which is empty for
    clients that send none.
    """

    operator: str
    runner: str
    undo: bool
    drain_id: str = ""


@final
class DrainReply(msgspec.Struct, frozen=True, tag="drained"):
    """Whether a drain was recorded: `refusal` is empty, or says why not."""

    runner: str
    refusal: str = ""


@final
class AddReplicaRequest(msgspec.Struct, frozen=True, tag="replica-add"):
    """Add a replica; it can vote once its log has caught up.

    The answer comes when the addition is committed. A replica whose disk was
    replaced is added under a new name. Adding a member again has no effect.
    """

    operator: str
    replica: str
    peer_address: str
    rpc_address: str
    admin_address: str


@final
class RemoveReplicaRequest(msgspec.Struct, frozen=True, tag="replica-remove"):
    """Remove a replica; removing it again has no effect."""

    operator: str
    replica: str


@final
class ReplicasReply(msgspec.Struct, frozen=True, tag="replicas"):
    """The members, and why a change was refused, empty if it was not."""

    members: list[raft_messages.Member]
    refusal: str = ""


@final
class StatusRequest(msgspec.Struct, frozen=True, tag="status"):
    """Read the state of replicas, processes and runners.

    Only the leader receives the heartbeats of every process. With `whole`,
    another replica that knows a leader answers `NotLeader`.
    """

    whole: bool = False


@final
class ProcessStatus(msgspec.Struct, frozen=True):
    """An entry or agent that holds a configuration lease.

    `seen_ms` is the time since its last renewal.
    """

    name: str
    kind: control_messages.ProcessKind
    incarnation: int
    config_number: int
    seen_ms: int


@final
class RunnerStatus(msgspec.Struct, frozen=True):
    """Agreed state of a runner as operators see it.

    `pending` is the action and argument of the pending order, or empty.
    """

    name: str
    service: str
    zone: str
    phase: fleet.RunnerPhase
    role: fleet.Role
    pending: str
    model: str = ""


@final
class UsageStatus(msgspec.Struct, frozen=True):
    """State of the usage reports.

    `next_window` is the first that is not fixed, and `unsent` the number of
    reports that wait for the platform. The other fields are about the last
    report that was accepted or dropped.
    """

    next_window: int
    unsent: int
    window: int
    result: str
    holder: str
    token: int


@final
class StatusReply(msgspec.Struct, frozen=True, tag="status-is"):
    """State of the cluster as `replica` sees it.

    `usage` is None if no usage was ever counted.
    """

    replica: str
    role: str
    leader: str
    term: int
    commit_index: int
    config_number: int
    fleet_version: int
    processes: list[ProcessStatus]
    runners: list[RunnerStatus]
    members: list[raft_messages.Member] = msgspec.field(default_factory=list)
    usage: UsageStatus | None = None


@final
class DueUsageRequest(msgspec.Struct, frozen=True, tag="due-usage"):
    """Ask the leader for the usage report that it has to send.

    The call with the report of the window `failed` failed last, so that others
    go before it; -1 if none did.
    """

    failed: int = -1


@final
class DueUsageReply(msgspec.Struct, frozen=True, tag="due-usage-is"):
    """The usage report that is to be sent next, None if there is none.

    `token` is the leader's fencing token. The report is overdue by
    `overdue_ms`, negative before it is due, `late_ms` after the window's end.
    """

    token: int
    report: state.UsageWindow | None
    overdue_ms: int
    late_ms: int


@final
class SettleUsageRequest(msgspec.Struct, frozen=True, tag="settle-usage"):
    """Commit what became of a usage report.

    `holder` and `token` are those of the last call, and `result` is `accepted`
    or `dropped`.
    """

    window: int
    result: str
    holder: str
    token: int


@final
class UsageSettled(msgspec.Struct, frozen=True, tag="usage-is-settled"):
    """The result of a usage report is committed."""

    window: int


@final
class Note(msgspec.Struct, frozen=True, tag="note"):
    """Write a decision and the values behind it to the decision log."""

    decision: str
    inputs: dict[str, object]


@final
class AuditRequest(msgspec.Struct, frozen=True, tag="audit"):
    """Read audit records after a log index, oldest first.

    An empty `kind` selects all kinds; `subject` is a prefix of the subjects
    to select.
    """

    after_index: int
    limit: int
    kind: str = ""
    subject: str = ""


@final
class AuditReply(msgspec.Struct, frozen=True, tag="audit-is"):
    """Audit records in log order."""

    records: list[state.AuditRecord]


@final
class Unavailable(msgspec.Struct, frozen=True, tag="unavailable"):
    """The replica could not answer; the outcome of a write is not known.

    The sender may retry with the same id.
    """

    reason: str


Request = (
    control_messages.RenewRequest
    | control_messages.ClaimRequest
    | control_messages.SettleRequest
    | control_messages.OrderReport
    | gateway_messages.FollowRequest
    | gateway_messages.TablePartRequest
    | gateway_messages.JoinRequest
    | gateway_messages.RecordStreamsRequest
    | gateway_messages.FindStreamRequest
    | PatchRequest
    | PublishRequest
    | TableRequest
    | ConfigRequest
    | HistoryRequest
    | DrainRequest
    | AddReplicaRequest
    | RemoveReplicaRequest
    | StatusRequest
    | AuditRequest
    | DueUsageRequest
    | SettleUsageRequest
)
Reply = (
    control_messages.ControlReply
    | PatchReply
    | PublishReply
    | TableReply
    | ConfigReply
    | HistoryReply
    | NotKept
    | DrainReply
    | StatusReply
    | ReplicasReply
    | AuditReply
    | DueUsageReply
    | UsageSettled
    | Unavailable
)


@final
class Ticked(msgspec.Struct, frozen=True, tag="tick"):
    """The timer fired; the shell sends this at a short, fixed interval."""

    now_ms: int
    wall_ms: int


@final
class PeerMessageReceived(msgspec.Struct, frozen=True, tag="peer"):
    """A message from another replica arrived."""

    message: peer_messages.PeerMessage
    now_ms: int
    wall_ms: int


@final
class CallReceived(msgspec.Struct, frozen=True, tag="call"):
    """A request arrived; exactly one `Answer` with its id follows."""

    call_id: int
    request: Request
    now_ms: int
    wall_ms: int


@final
class VmListRead(msgspec.Struct, frozen=True, tag="vm-list"):
    """The platform's list of VMs was read; it may be out of date."""

    vm_by_name: dict[str, membership.VmState]
    now_ms: int


@final
class UpstreamsRead(msgspec.Struct, frozen=True, tag="upstreams"):
    """This replica, as leader, read the platform's list of runners."""

    upstreams: list[gateway_messages.Upstream]
    now_ms: int
    wall_ms: int = 0


@final
class BatchEnded(msgspec.Struct, frozen=True, tag="batch"):
    """A batch of events ended.

    The log entries that the batch appended are now sent to the peers together.
    """

    now_ms: int


@final
class LogSynced(msgspec.Struct, frozen=True, tag="synced"):
    """Writes of the log are durable, up to the one with this number."""

    number: int
    now_ms: int


Event = (
    Ticked
    | LogSynced
    | PeerMessageReceived
    | CallReceived
    | VmListRead
    | UpstreamsRead
    | BatchEnded
)


@final
class SendLivenessSummary(msgspec.Struct, frozen=True, tag="send-liveness"):
    """Send a liveness summary to the leader, without retry if it is lost."""

    peer: str
    message: peer_messages.LivenessSummary


@final
class Answer(msgspec.Struct, frozen=True, tag="answer"):
    """Send the reply to the call with this id."""

    call_id: int
    reply: Reply


Effect = (
    raft.SaveHardState
    | raft.AppendLog
    | raft.TruncateLog
    | raft.SaveSnapshot
    | raft.ResetLog
    | raft.SendPeer
    | SendLivenessSummary
    | Answer
    | Note
)
