"""Data of the ledger: what the replicated log has decided so far."""

from collections import OrderedDict
from collections.abc import Iterator
import dataclasses
import enum
from typing import TypeAlias
from typing import final

import msgspec

from wisteriawall.config import document
from wisteriawall.config import route_table
from wisteriawall.control import outcomes
from wisteriawall.wire import control_messages
from wisteriawall.wire import fleet

__all__ = [
    "AuditKind",
    "AuditRecord",
    "Claim",
    "ClaimKey",
    "ConfigVersion",
    "KeptPatch",
    "Ledger",
    "Presence",
    "PublishedTable",
    "RunnerState",
    "view_of",
]

ClaimKey: TypeAlias = tuple[str, str, str]


@final
class AuditKind(enum.StrEnum):
    """Kind of change that the audit trail records."""

    PATCH = "patch"
    ORDER = "order"
    ORDER_RESULT = "order-result"
    MEMBERSHIP = "membership"
    DRAIN = "drain"
    LEADERSHIP = "leadership"
    REPLICA = "replica"
    TABLE = "table"


@final
class AuditRecord(msgspec.Struct, frozen=True):
    """One line of the audit trail; `at_ms` is Unix time.

    `index` is the log index of the change, `actor` who made it.
    """

    index: int
    at_ms: int
    kind: AuditKind
    actor: str
    subject: str
    cause: str
    result: str


@final
class ConfigVersion(msgspec.Struct, frozen=True):
    """How one configuration number came about.

    `change` is the accepted merge patch, `undo` the one that reverses it.
    """

    number: int
    operator: str
    patch_id: str
    at_ms: int
    change: bytes
    undo: bytes


@final
class PublishedTable(msgspec.Struct, frozen=True):
    """The routing table in force and the text that its operator sent.

    `digest` tells a repeated publication from another table under the same
    number.
    """

    table: route_table.RouteTable
    source: bytes
    digest: bytes


@final
class KeptPatch(msgspec.Struct, frozen=True):
    """First outcome of a patch id, and the digest of what was asked."""

    digest: bytes
    outcome: outcomes.PatchOutcome


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Claim:
    """A non-repeatable request and what became of it."""

    claim_id: int
    digest: str
    request_id: str
    entry: str
    incarnation: int
    at_ms: int
    verdict: control_messages.ClaimVerdict
    answer: fleet.KeptAnswer | None = None


@final
class Presence(enum.StrEnum):
    """What membership says of a runner's VM and agent."""

    LIVE = "live"
    LEAVING = "leaving"
    LOST = "lost"


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class RunnerState:
    """Agreed state of one runner.

    `changed_version` is the fleet version at which it last changed. After
    `failures` failed orders in a row no order starts before `retry_at_ms`.
    """

    role: fleet.Role = fleet.Role.MIXED
    model: str = ""
    adapters: tuple[str, ...] = ()
    presence: Presence = Presence.LIVE
    incarnation: int = 0
    drained: bool = False
    unclear: bool = False
    pending: fleet.Order | None = None
    floor: fleet.Fence = fleet.FENCE_ZERO
    failures: int = 0
    retry_at_ms: int = 0
    changed_version: int = 0

    @property
    def phase(self) -> fleet.RunnerPhase:
        """Return membership, drain order and pending order as one phase."""
        if self.presence is Presence.LOST or self.unclear:
            return fleet.RunnerPhase.LOST
        if self.presence is Presence.LEAVING:
            return fleet.RunnerPhase.LEAVING
        if self.drained:
            return fleet.RunnerPhase.DRAINING
        if self.pending is not None:
            return fleet.RunnerPhase.CHANGING
        return fleet.RunnerPhase.LIVE


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Ledger:
    """Everything the log has decided so far.

    `retired_by_name` keeps the orders and floors of runners that the
    configuration no longer names, so that a name that returns stays fenced.
    """

    config: document.Document = dataclasses.field(
        default_factory=document.empty
    )
    history: list[ConfigVersion] = dataclasses.field(default_factory=list)
    fleet_version: int = 0
    removal_version: int = 0
    runner_by_name: dict[str, RunnerState] = dataclasses.field(
        default_factory=dict
    )
    retired_by_name: OrderedDict[str, RunnerState] = dataclasses.field(
        default_factory=OrderedDict
    )
    fetch_at_ms: int = 0
    patch_by_id: OrderedDict[str, KeptPatch] = dataclasses.field(
        default_factory=OrderedDict
    )
    claim_by_key: OrderedDict[ClaimKey, Claim] = dataclasses.field(
        default_factory=OrderedDict
    )
    key_by_claim_id: dict[int, ClaimKey] = dataclasses.field(
        default_factory=dict
    )
    running_claim_ids: set[int] = dataclasses.field(default_factory=set)
    kept_answer_bytes: int = 0
    published: PublishedTable | None = None
    audit: list[AuditRecord] = dataclasses.field(default_factory=list)

    def fleet_view(self, held_version: int = 0) -> fleet.FleetView:
        """Return what changed after `held_version`, or all of it."""
        known = self.removal_version <= held_version <= self.fleet_version
        base = held_version if known else 0
        runners = [
            view_of(name, self.runner_by_name[name])
            for name in self._changed_after(base)
        ]
        return fleet.FleetView(
            self.fleet_version, sorted(runners, key=_name), base
        )

    def touch(self, name: str) -> None:
        """Note that a runner changed at a new fleet version."""
        self.fleet_version += 1
        runner = self.runner_by_name.pop(name, None)
        if runner is None:
            return
        runner.changed_version = self.fleet_version
        # Last changed comes last, so that partial views read only the tail.
        self.runner_by_name[name] = runner

    def _changed_after(self, version: int) -> Iterator[str]:
        for name, runner in reversed(self.runner_by_name.items()):
            if runner.changed_version <= version:
                return
            yield name


def view_of(name: str, state: RunnerState) -> fleet.RunnerView:
    """Return what entries and agents are told of a runner."""
    return fleet.RunnerView(
        name, state.phase, state.role, state.model, list(state.adapters)
    )


def _name(view: fleet.RunnerView) -> str:
    return view.runner
