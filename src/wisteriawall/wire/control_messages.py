"""Requests to control replicas, and their answers."""

import enum
from typing import final

import msgspec

from wisteriawall.config import document
from wisteriawall.wire import fleet
from wisteriawall.wire import gateway_messages

__all__ = [
    "ClaimReply",
    "ClaimRequest",
    "ClaimVerdict",
    "ControlReply",
    "ControlRequest",
    "Grant",
    "NotLeader",
    "OrderReport",
    "OrderReportReply",
    "ProcessKind",
    "RenewRequest",
    "SettleReply",
    "SettleRequest",
]


@final
class ProcessKind(enum.StrEnum):
    """Kind of a process that holds a configuration lease."""

    ENTRY = "entry"
    AGENT = "agent"


@final
class RenewRequest(msgspec.Struct, frozen=True, array_like=True, tag="renew"):
    """Request to renew a configuration lease; it is also a heartbeat.

    `config_number` and `fleet_version` are the newest that the sender has, so
    that the answer can omit what has not changed. `runner` is empty unless an
    agent sends the request. `demand` counts the tokens that arrived at an
    entry since its last renewal. `stopping` says that a planned stop has begun.
    `engine` is the engine state that the agent last read, None before it has
    read one.
    """

    process: str
    incarnation: int
    kind: ProcessKind
    config_number: int
    fleet_version: int
    runner: str
    demand: list[fleet.ServiceDemand]
    stopping: bool = False
    engine: fleet.EngineStatus | None = None


@final
class Grant(msgspec.Struct, frozen=True, array_like=True, tag="grant"):
    """Answer that grants a configuration lease.

    The state in the answer was confirmed current at most `age_ms` before it
    was sent. `config` and `fleet_view` are None when the sender already has
    the newest. `config_changes`, when not empty, are sent in place of `config`:
    the merge patches accepted since the sender's configuration number; see
    `wisteriawall.config.grants`. Agents get no configuration, and only their
    own runner in `fleet_view`. `order` is the pending order of the agent's
    runner, and `min_fencing_number` the lowest that its agent may accept.
    """

    age_ms: int
    config_number: int
    config: document.Document | None
    fleet_version: int
    fleet_view: fleet.FleetView | None
    order: fleet.Order | None
    min_fencing_number: fleet.FencingNumber
    leader: str
    config_changes: list[bytes] = []


@final
class ClaimRequest(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """Request for the right to run a non-repeatable request, given only once.

    A claim is identified by account, service and idempotency `key`. `digest`
    covers the request, so that a key that is used for another request is
    detected. `entry` and `incarnation` identify the entry that would run it.
    """

    account: str
    service: str
    key: str
    digest: str
    request_id: str
    entry: str
    incarnation: int


@final
class ClaimVerdict(enum.StrEnum):
    """Decision of the replicated log about a claim.

    GRANTED: The sender may run the request.
    RUNNING: Another attempt runs it now.
    FINISHED: It ran, and its answer is stored.
    UNKNOWN: It may have run, and the outcome is not known.
    MISMATCH: The key was used for another request.
    """

    GRANTED = "granted"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"


@final
class ClaimReply(msgspec.Struct, frozen=True, array_like=True, tag="claimed"):
    """Answer to a claim.

    `answer` is the stored response if the verdict is FINISHED.
    """

    verdict: ClaimVerdict
    claim_id: int
    answer: fleet.StoredAnswer | None


@final
class SettleRequest(msgspec.Struct, frozen=True, array_like=True, tag="settle"):
    """Request to record the outcome of a claimed run.

    `answer` is the response to store, None if the outcome is unknown.
    `released` gives the claim up: the request provably did not run.
    """

    claim_id: int
    request_id: str
    released: bool
    answer: fleet.StoredAnswer | None


@final
class SettleReply(msgspec.Struct, frozen=True, array_like=True, tag="settled"):
    """Confirmation that the outcome of a run is committed."""

    claim_id: int


@final
class OrderReport(
    msgspec.Struct, frozen=True, array_like=True, tag="order-report"
):
    """Request to record the result of an order.

    `detail` says why the order failed, or `done`. `role` and `engine` describe
    the engine after the order; `engine` is None if its state was never read.
    """

    order_id: int
    runner: str
    incarnation: int
    succeeded: bool
    detail: str
    role: fleet.Role
    engine: fleet.EngineStatus | None = None


@final
class OrderReportReply(
    msgspec.Struct, frozen=True, array_like=True, tag="order-reported"
):
    """Confirmation that the result of an order is committed."""

    order_id: int


@final
class NotLeader(msgspec.Struct, frozen=True, array_like=True, tag="not-leader"):
    """Answer of a replica to a request that only the leader can answer.

    `leader` and `rpc_address` name the leader and its RPC address. Both are
    empty while no leader is known.
    """

    leader: str
    rpc_address: str = ""


ControlRequest = (
    RenewRequest
    | ClaimRequest
    | SettleRequest
    | OrderReport
    | gateway_messages.FollowRequest
    | gateway_messages.TablePartRequest
    | gateway_messages.JoinRequest
    | gateway_messages.RecordStreamsRequest
    | gateway_messages.FindStreamRequest
)
ControlReply = (
    Grant
    | ClaimReply
    | SettleReply
    | OrderReportReply
    | NotLeader
    | gateway_messages.Followed
    | gateway_messages.TablePart
    | gateway_messages.TableNotKept
    | gateway_messages.JoinReply
    | gateway_messages.StreamsRecorded
    | gateway_messages.StreamFound
)
