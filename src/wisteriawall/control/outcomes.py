"""Outcomes of applying commands, from which replies to writes are made."""

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
    "TableBaseReplaced",
    "TableConflict",
    "TableInForce",
]


@final
class ConfigChanged(msgspec.Struct, frozen=True, tag="changed"):
    """A patch was accepted and created this configuration number."""

    number: int


@final
class ConfigStale(msgspec.Struct, frozen=True, tag="stale"):
    """A patch was against `expected`, but the number is now `current`."""

    expected: int
    current: int


@final
class ConfigInvalid(msgspec.Struct, frozen=True, tag="invalid"):
    """A patch would make an invalid document; `faults` describe why."""

    faults: tuple[str, ...]


@final
class PatchIdReused(msgspec.Struct, frozen=True, tag="reused"):
    """A patch id was used before for a different patch."""

    patch_id: str


@final
class ClaimOutcome(msgspec.Struct, frozen=True, tag="claim"):
    """Verdict on a claim, with the stored answer of a finished run."""

    verdict: control_messages.ClaimVerdict
    claim_id: int
    answer: fleet.StoredAnswer | None


@final
class OrderIssued(msgspec.Struct, frozen=True, tag="issued"):
    """An order became the pending order of its runner."""

    order: fleet.Order


@final
class OrderRefused(msgspec.Struct, frozen=True, tag="refused"):
    """An order may not start now; `reason` says why."""

    reason: str


@final
class Recorded(msgspec.Struct, frozen=True, tag="recorded"):
    """The command was applied and has no result to return."""


@final
class Dropped(msgspec.Struct, frozen=True, tag="dropped"):
    """The command changed nothing; `reason` says why."""

    reason: str


@final
class TableInForce(msgspec.Struct, frozen=True, tag="table-held"):
    """A table with at least the published number is in force.

    `number` is the number in force, and `changed` says whether the
    publication changed it.
    """

    number: int
    changed: bool


@final
class TableConflict(msgspec.Struct, frozen=True, tag="table-conflict"):
    """A different table was already published under the same number."""

    number: int


@final
class TableBaseReplaced(msgspec.Struct, frozen=True, tag="table-base"):
    """The table that the change was made for is not `number`, in force now."""

    number: int


PatchOutcome = ConfigChanged | ConfigStale | ConfigInvalid | PatchIdReused
Outcome = (
    PatchOutcome
    | ClaimOutcome
    | OrderIssued
    | TableInForce
    | TableConflict
    | TableBaseReplaced
    | OrderRefused
    | Recorded
    | Dropped
)
