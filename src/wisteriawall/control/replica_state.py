"""State of one control replica beside its log and ledger."""

import dataclasses
from typing import final

from wisteriawall.control import liveness
from wisteriawall.control import membership
from wisteriawall.control import outcomes
from wisteriawall.control import raft as raft_lib
from wisteriawall.control import renewal
from wisteriawall.control import site as site_lib
from wisteriawall.control import state
from wisteriawall.policy import roles

__all__ = ["Control", "PatchWait", "Waiting"]


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Waiting:
    """A call whose answer depends on a log entry."""

    call_id: int
    term: int


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class PatchWait:
    """A committed patch whose answer waits for processes to hold it."""

    call_id: int
    outcome: outcomes.ConfigChanged
    until_ms: int


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Control:
    """State of one control replica.

    `led_term` is the newest term that this replica led, since
    `led_ms`; `lead_index` is its newest log entry of its own accord.
    """

    raft: raft_lib.Raft
    ledger: state.Ledger = dataclasses.field(default_factory=state.Ledger)
    processes: liveness.Processes = dataclasses.field(
        default_factory=liveness.Processes
    )
    vm_by_name: dict[str, membership.VmState] | None = None
    waiting_by_index: dict[int, Waiting] = dataclasses.field(
        default_factory=dict
    )
    patch_waits: list[PatchWait] = dataclasses.field(default_factory=list)
    document_size: renewal.DocumentSize = dataclasses.field(
        default_factory=renewal.DocumentSize
    )
    planner: roles.Planner = dataclasses.field(default_factory=roles.Planner)
    site: site_lib.Site = dataclasses.field(default_factory=site_lib.Site)
    led_term: int = 0
    led_ms: int = 0
    lead_due_ms: int = 0
    plan_due_ms: int = 0
    lead_index: int = 0
    now_ms: int = 0
