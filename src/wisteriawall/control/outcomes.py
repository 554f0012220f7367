"""What applying a command decided; the basis of every answer to a write."""

from typing import final

import msgspec

from wisteriawall.wire import control_messages
from wisteriawall.wire import fleet

__all__ = [
    "ClaimOutcome",
    "ConfigChanged",
    "ConfigInvalid",
    "ConfigStale",
    "Dropped",
    "OrderIssued",
    "OrderRefused",
    "Outcome",
    "PatchIdReused",
    "PatchOutcome",
    "Recorded",
    "TableConflict",
    "TableHeld",
]


@final
class ConfigChanged(msgspec.Struct, frozen=True, tag="changed"):
    """A patch was accepted and made this configuration number."""

    number: int


@final
class ConfigStale(msgspec.Struct, frozen=True, tag="stale"):
    """A patch named a number that is not the current one."""

    expected: int
    current: int


@final
class ConfigInvalid(msgspec.Struct, frozen=True, tag="invalid"):
    """A patch leads to a document that is not valid."""

    faults: tuple[str, ...]


@final
class PatchIdReused(msgspec.Struct, frozen=True, tag="reused"):
    """A patch id was used before with another patch."""

    patch_id: str


@final
class ClaimOutcome(msgspec.Struct, frozen=True, tag="claim"):
    """Verdict on a claim, with the kept answer of a finished run."""

    verdict: control_messages.ClaimVerdict
    claim_id: int
    answer: fleet.KeptAnswer | None


@final
class OrderIssued(msgspec.Struct, frozen=True, tag="issued"):
    """An order became the pending order of its runner."""

    order: fleet.Order


@final
class OrderRefused(msgspec.Struct, frozen=True, tag="refused"):
    """An order may not start now; `reason` names the obstacle."""

    reason: str


@final
class Recorded(msgspec.Struct, frozen=True, tag="recorded"):
    """The command changed the ledger and needs no answer of its own."""


@final
class Dropped(msgspec.Struct, frozen=True, tag="dropped"):
    """The command changed nothing; `reason` says why."""

    reason: str


@final
class TableHeld(msgspec.Struct, frozen=True, tag="table-held"):
    """A table was published, or one at least as new was already held."""

    number: int
    changed: bool


@final
class TableConflict(msgspec.Struct, frozen=True, tag="table-conflict"):
    """Another table was published under the same number."""

    number: int


PatchOutcome = ConfigChanged | ConfigStale | ConfigInvalid | PatchIdReused
Outcome = (
    PatchOutcome
    | ClaimOutcome
    | OrderIssued
    | TableHeld
    | TableConflict
    | OrderRefused
    | Recorded
    | Dropped
)
