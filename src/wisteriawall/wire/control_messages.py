"""Requests of entries and agents to control replicas, and their answers."""

import enum
from typing import final

import msgspec

from wisteriawall.config import document
from wisteriawall.wire import fleet
from wisteriawall.wire import site_messages

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
    "Renew",
    "SettleReply",
    "SettleRequest",
]


@final
class ProcessKind(enum.StrEnum):
    """Kind of a process that holds a configuration lease."""

    ENTRY = "entry"
    AGENT = "agent"


@final
class Renew(msgspec.Struct, frozen=True, array_like=True, tag="renew"):
    """Renew a configuration lease and report liveness.

    `config_number` and `fleet_version` are the newest the sender holds; the
    answer omits what has not changed. `runner` is set by agents. `leaving`
    says that a planned stop began; `engine` is the agent's newest inspection
    of its engine, None before the first.
    """

    process: str
    incarnation: int
    kind: ProcessKind
    config_number: int
    fleet_version: int
    runner: str
    demand: list[fleet.ServiceDemand]
    leaving: bool = False
    engine: fleet.EngineView | None = None


@final
class Grant(msgspec.Struct, frozen=True, array_like=True, tag="grant"):
    """Grant a configuration lease.

    `age_ms` bounds how long before this answer the state was confirmed
    current. `config` and `fleet_view` are None when the sender already holds
    the newest. `config_changes`, when not empty, are the accepted merge
    patches since the sender's number and stand for the document; see
    `wisteriawall.config.grants`. Agents get no document, and of the fleet only
    their own runner. `order` is the pending order of the agent's runner.
    `floor` is the newest fencing position known for the runner.
    """

    age_ms: int
    config_number: int
    config: document.Document | None
    fleet_version: int
    fleet_view: fleet.FleetView | None
    order: fleet.Order | None
    floor: fleet.Fence
    leader: str
    config_changes: list[bytes] = []


@final
class ClaimRequest(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """Claim the only run of a non-repeatable request."""

    account: str
    service: str
    key: str
    digest: str
    request_id: str
    entry: str
    incarnation: int


@final
class ClaimVerdict(enum.StrEnum):
    """What the log decided about a claim."""

    GRANTED = "granted"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"


@final
class ClaimReply(msgspec.Struct, frozen=True, array_like=True, tag="claimed"):
    """Answer a claim; `answer` is the kept answer of a finished run."""

    verdict: ClaimVerdict
    claim_id: int
    answer: fleet.KeptAnswer | None


@final
class SettleRequest(msgspec.Struct, frozen=True, array_like=True, tag="settle"):
    """Record the outcome of a claimed run.

    `released` returns a claim that was proved not run.
    """

    claim_id: int
    request_id: str
    released: bool
    answer: fleet.KeptAnswer | None


@final
class SettleReply(msgspec.Struct, frozen=True, array_like=True, tag="settled"):
    """Confirm that an outcome is committed."""

    claim_id: int


@final
class OrderReport(
    msgspec.Struct, frozen=True, array_like=True, tag="order-report"
):
    """Report the result of an order; `engine` is its state after it."""

    order_id: int
    runner: str
    incarnation: int
    succeeded: bool
    detail: str
    role: fleet.Role
    engine: fleet.EngineView | None = None


@final
class OrderReportReply(
    msgspec.Struct, frozen=True, array_like=True, tag="order-reported"
):
    """Confirm that an order report is committed."""

    order_id: int


@final
class NotLeader(msgspec.Struct, frozen=True, array_like=True, tag="not-leader"):
    """Refuse a request that only the leader can answer.

    `rpc_address` is where to call the leader; both are empty while it is
    unknown.
    """

    leader: str
    rpc_address: str = ""


ControlRequest = (
    Renew
    | ClaimRequest
    | SettleRequest
    | OrderReport
    | site_messages.Follow
    | site_messages.JoinReplicas
)
ControlReply = (
    Grant
    | ClaimReply
    | SettleReply
    | OrderReportReply
    | NotLeader
    | site_messages.Followed
    | site_messages.JoinReply
)
