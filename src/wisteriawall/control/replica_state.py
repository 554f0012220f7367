"""State of one control replica: Raft, ledger and what is in memory only."""

import dataclasses
from typing import final

from wisteriawall.control import events
from wisteriawall.control import gateway_updates as gateway_updates_lib
from wisteriawall.control import liveness
from wisteriawall.control import membership
from wisteriawall.control import outcomes
from wisteriawall.control import publications as publications_lib
from wisteriawall.control import raft as raft_lib
from wisteriawall.control import renewal
from wisteriawall.control import state
from wisteriawall.control import usage as usage_lib
from wisteriawall.policy import roles

__all__ = ["PendingCall", "PendingPatch", "PendingRead", "ReplicaState"]


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class PendingCall:
    """A call to be answered once its log entry, of term `term`, is applied.

    `request` is the write that the entry's command was made for, None for a
    change of the membership.
    """

    call_id: int
    term: int
    request: events.Request | None = None


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class PendingPatch:
    """A call whose patch is committed but not yet received by every process.

    It is answered at `until_ms`, monotonic time, at the latest.
    """

    call_id: int
    outcome: outcomes.ConfigChanged
    until_ms: int


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class PendingRead:
    """A read that waits for a confirmation of the state after `arrived_ms`."""

    call_id: int
    request: (
        events.ConfigRequest
        | events.HistoryRequest
        | events.AuditRequest
        | events.TableRequest
    )
    arrived_ms: int


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class ReplicaState:
    """State of one control replica.

    Attributes:
        vm_by_name: Newest VM list, None before the first one.
        pending_call_by_index: Calls by the index of the log entry that they
            wait for.
        leader_term: Newest term in which this replica became leader, 0 if none.
        leader_since_ms: Monotonic time when that term's leadership began.
        leader_commands_due_ms: Monotonic time when the leader's own commands
            are due.
        planner_due_ms: Monotonic time when the role planner is due.
        last_leader_command_index: Log index of the newest command that the
            leader submitted by itself.
        publications: Calls that wait for a routing table to be in force.
        usage: Usage that gateways reported, beyond the ledger.
        now_ms: Monotonic time of the newest event.
        tolerated_losses: How many replicas may be lost at the same time.
    """

    raft: raft_lib.Raft
    ledger: state.Ledger = dataclasses.field(default_factory=state.Ledger)
    processes: liveness.Processes = dataclasses.field(
        default_factory=liveness.Processes
    )
    vm_by_name: dict[str, membership.VmState] | None = None
    pending_call_by_index: dict[int, PendingCall] = dataclasses.field(
        default_factory=dict
    )
    pending_patches: list[PendingPatch] = dataclasses.field(
        default_factory=list
    )
    publications: publications_lib.Publications = dataclasses.field(
        default_factory=publications_lib.Publications
    )
    pending_reads: list[PendingRead] = dataclasses.field(default_factory=list)
    document_size: renewal.DocumentSizeCache = dataclasses.field(
        default_factory=renewal.DocumentSizeCache
    )
    planner: roles.PlannerState = dataclasses.field(
        default_factory=roles.PlannerState
    )
    gateway_updates: gateway_updates_lib.GatewayUpdates = dataclasses.field(
        default_factory=gateway_updates_lib.GatewayUpdates
    )
    usage: usage_lib.UsageMerger = dataclasses.field(
        default_factory=usage_lib.UsageMerger
    )
    leader_term: int = 0
    leader_since_ms: int = 0
    leader_commands_due_ms: int = 0
    planner_due_ms: int = 0
    last_leader_command_index: int = 0
    now_ms: int = 0
    tolerated_losses: int = 1
