"""Data of the ledger, the state that the replicated log produces.

Snapshots hold the ledger under these field names and enum values, and the
operators' interface sends some of the records.
"""

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
from wisteriawall.wire import gateway_messages

__all__ = [
    "AuditKind",
    "AuditRecord",
    "BlockChange",
    "Claim",
    "ClaimKey",
    "ConfigVersion",
    "KeptDrainOutcome",
    "KeptPatchOutcome",
    "KeptStream",
    "Ledger",
    "Presence",
    "PublishedTable",
    "RunnerState",
    "SuspectBlock",
    "UsageLedger",
    "UsageWindow",
    "runner_view",
]

# Client account, service and idempotency key.
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
    BLOCK = "block"


@final
class KeptStream(msgspec.Struct, frozen=True):
    """Origin of a stream that a gateway reported at `at_ms`, Unix time.

    `origin` is None if streams of different origins had its attempt id.
    """

    origin: gateway_messages.StreamOrigin | None
    at_ms: int


@final
class BlockChange(enum.StrEnum):
    """Change of a block of requests under which runners crash."""

    ADDED = "added"
    TRIAL = "trial"
    REMOVED = "removed"


@final
class SuspectBlock(msgspec.Struct, frozen=True):
    """Block of requests under which runners crash.

    `trials` is how many of them were let through since, the last one at the
    gateway and incarnation `holder`.
    """

    trials: int = 0
    holder: str = ""


@final
class UsageWindow(msgspec.Struct, frozen=True):
    """Fixed usage of one window, by account; it never changes."""

    window: int
    count_by_account: dict[str, int]


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class UsageLedger:
    """Usage as far as it is committed.

    `next_window` is the first window that is not fixed, 0 before the first one.
    `counts` are the counts of gateways by window, gateway and account, also of
    a few windows that are fixed, and `version_by_gateway` is up to where those
    of a gateway are committed. `unsent` are fixed windows that the platform has
    not accepted, oldest first. The other fields are about the last report that
    was accepted or dropped.
    """

    next_window: int = 0
    counts: dict[int, dict[str, dict[str, int]]] = dataclasses.field(
        default_factory=dict
    )
    version_by_gateway: dict[str, int] = dataclasses.field(default_factory=dict)
    unsent: list[UsageWindow] = dataclasses.field(default_factory=list)
    settled_window: int = 0
    result: str = ""
    holder: str = ""
    token: int = 0


@final
class AuditRecord(msgspec.Struct, frozen=True):
    """Record of one change in the audit trail.

    `index` is the log index of the change and `at_ms` its Unix time. `actor`
    is who made it, `subject` what was changed, `cause` why, and `result` the
    outcome in words.
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
    """Patch that created one configuration number.

    `change` is the accepted JSON merge patch and `undo` the one that reverses
    it. `at_ms` is Unix time.
    """

    number: int
    operator: str
    patch_id: str
    at_ms: int
    change: bytes
    undo: bytes


@final
class PublishedTable(msgspec.Struct, frozen=True):
    """Routing table in force, with the text that an operator sent.

    `digest` distinguishes a repeated publication from a different table under
    the same number.
    """

    table: route_table.RouteTable
    source: bytes
    digest: bytes


@final
class KeptPatchOutcome(msgspec.Struct, frozen=True):
    """First outcome of a patch id, and the digest of the patch it was for."""

    digest: bytes
    outcome: outcomes.PatchOutcome


@final
class KeptDrainOutcome(msgspec.Struct, frozen=True):
    """First outcome of a drain id, and the drain that it was for.

    `refusal` is empty for a drain that was recorded.
    """

    runner: str
    drained: bool
    refusal: str


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Claim:
    """Claim on the only run of a non-repeatable request, and its outcome.

    `entry` and `incarnation` name the process that runs the request, and
    `at_ms` is the Unix time of the claim. `answer` is set once the verdict is
    FINISHED.
    """

    claim_id: int
    digest: str
    request_id: str
    entry: str
    incarnation: int
    at_ms: int
    verdict: control_messages.ClaimVerdict
    answer: fleet.StoredAnswer | None = None


@final
class Presence(enum.StrEnum):
    """Whether a runner's VM and agent are running, being removed or lost."""

    LIVE = "live"
    STOPPING = "leaving"
    LOST = "lost"


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class RunnerState:
    """Agreed state of one runner and its engine.

    `drained` is set by an operator, and `unclear` says that the
    engine's state is not known. `floor` is the minimum accepted fencing
    number. `changed_version` is the fleet version of the last change. After
    `failures` failed orders in a row no order starts before `retry_at_ms`,
    in Unix time.
    """

    role: fleet.Role = fleet.Role.MIXED
    model: str = ""
    adapters: tuple[str, ...] = ()
    presence: Presence = Presence.LIVE
    incarnation: int = 0
    drained: bool = False
    unclear: bool = False
    pending: fleet.Order | None = None
    floor: fleet.FencingNumber = fleet.FENCING_NUMBER_ZERO
    failures: int = 0
    retry_at_ms: int = 0
    changed_version: int = 0

    @property
    def phase(self) -> fleet.RunnerPhase:
        """Return whether the runner may receive work, and if not, why.

        Where several reasons apply, the most severe one counts.
        """
        if self.presence is Presence.LOST or self.unclear:
            return fleet.RunnerPhase.LOST
        if self.presence is Presence.STOPPING:
            return fleet.RunnerPhase.STOPPING
        if self.drained:
            return fleet.RunnerPhase.DRAINING
        if self.pending is not None:
            return fleet.RunnerPhase.CHANGING
        return fleet.RunnerPhase.LIVE


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Ledger:
    """State after applying the committed commands of the log.

    `fleet_version` rises with every change of a runner, and `removal_version`
    is its value at the last removal. `retired_by_name` keeps pending orders
    and minimum fencing numbers of runners that the configuration no longer
    names, so that they still apply if the name is configured again.
    `fetch_at_ms` is the Unix time of the last weight fetch. `block_by_name` are
    the blocks of requests under which runners crash, oldest first.
    `versions_by_service` are the software versions that may have begun a
    stream, and `stream_by_attempt` streams that gateways reported. `usage` is
    that of client accounts. The ordered
    dictionaries are oldest first, and `runner_by_name` is in the order of
    last change.
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
    patch_by_id: OrderedDict[str, KeptPatchOutcome] = dataclasses.field(
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
    block_by_name: dict[str, SuspectBlock] = dataclasses.field(
        default_factory=dict
    )
    versions_by_service: dict[str, list[str]] = dataclasses.field(
        default_factory=dict
    )
    stream_by_attempt: OrderedDict[str, KeptStream] = dataclasses.field(
        default_factory=OrderedDict
    )
    usage: UsageLedger = dataclasses.field(default_factory=UsageLedger)
    audit: list[AuditRecord] = dataclasses.field(default_factory=list)
    drain_by_id: OrderedDict[str, KeptDrainOutcome] = dataclasses.field(
        default_factory=OrderedDict
    )

    def fleet_view(self, known_version: int = 0) -> fleet.FleetView:
        """Return the runners that changed after `known_version`.

        The view is complete when `known_version` is 0, unknown, or older than
        the last removal, which a partial view cannot express.
        """
        is_partial = self.removal_version <= known_version <= self.fleet_version
        base = known_version if is_partial else 0
        runners = [
            runner_view(name, self.runner_by_name[name])
            for name in self._runners_changed_after(base)
        ]
        return fleet.FleetView(
            self.fleet_version, sorted(runners, key=_runner_name), base
        )

    def mark_changed(self, name: str) -> None:
        """Raise the fleet version and record that a runner changed at it.

        Call it after every change of a runner that entries or agents may see.
        """
        self.fleet_version += 1
        runner = self.runner_by_name.pop(name, None)
        if runner is None:
            return
        runner.changed_version = self.fleet_version
        # Keep the order of last change: a partial view then reads only the
        # end of the dictionary.
        self.runner_by_name[name] = runner

    def _runners_changed_after(self, version: int) -> Iterator[str]:
        for name, runner in reversed(self.runner_by_name.items()):
            if runner.changed_version <= version:
                return
            yield name


def runner_view(name: str, state: RunnerState) -> fleet.RunnerView:
    """Return the part of a runner's state that entries and agents receive."""
    return fleet.RunnerView(
        name, state.phase, state.role, state.model, list(state.adapters)
    )


def _runner_name(view: fleet.RunnerView) -> str:
    return view.runner
