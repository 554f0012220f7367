"""Applies operators' patches to the configuration and keeps its history.

At most one patch is accepted against each configuration number, and a patch
id that is sent again gets its first outcome.
"""

import hashlib

import msgspec

from wisteriawall.config import document
from wisteriawall.config import patch
from wisteriawall.control import commands
from wisteriawall.control import orders
from wisteriawall.control import outcomes
from wisteriawall.control import state

__all__ = ["apply_patch", "document_at", "patches_since"]

MAX_KEPT_OUTCOMES = 10_000
MAX_HISTORY_VERSIONS = 1_000
MAX_RETIRED_RUNNERS = 10_000
DIGEST_BYTES = 16


def apply_patch(
    ledger: state.Ledger, command: commands.PatchConfig
) -> outcomes.PatchOutcome:
    """Apply a patch, or return the outcome that its patch id had before.

    The outcomes of the newest 10,000 patch ids are kept. An id that was used
    for a different patch is refused, because the kept outcome is not that of
    this patch. A patch without an id is evaluated each time it is sent.
    """
    if not command.patch_id:
        return _apply_to_current(ledger, command)
    digest = _patch_digest(command)
    kept = ledger.patch_by_id.get(command.patch_id)
    if kept is not None and kept.digest != digest:
        return outcomes.PatchIdReused(command.patch_id)
    if kept is not None:
        return kept.outcome
    outcome = _apply_to_current(ledger, command)
    ledger.patch_by_id[command.patch_id] = state.KeptPatchOutcome(
        digest, outcome
    )
    while len(ledger.patch_by_id) > MAX_KEPT_OUTCOMES:
        ledger.patch_by_id.popitem(last=False)
    return outcome


def patches_since(ledger: state.Ledger, number: int) -> list[bytes]:
    """Return the patches that lead from `number` to the current document.

    The list is empty when `number` is current, or so old that the history no
    longer has all patches since.
    """
    missing = ledger.config.number - number
    if missing <= 0 or missing > len(ledger.history):
        return []
    return [version.change for version in ledger.history[-missing:]]


def document_at(ledger: state.Ledger, number: int) -> document.Document | None:
    """Return the document numbered `number`, None if the history lacks it."""
    oldest = ledger.config.number - len(ledger.history)
    if not oldest <= number <= ledger.config.number:
        return None
    value = msgspec.to_builtins(ledger.config)
    for version in reversed(ledger.history):
        if version.number <= number:
            break
        value = patch.merge(value, msgspec.json.decode(version.undo))
    return msgspec.convert(value, document.Document)


def _patch_digest(command: commands.PatchConfig) -> bytes:
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    hasher.update(str(command.base_number).encode() + b"/" + command.change)
    return hasher.digest()


def _apply_to_current(
    ledger: state.Ledger, command: commands.PatchConfig
) -> outcomes.PatchOutcome:
    """Apply a patch if it is against the current number and valid."""
    before = ledger.config
    if command.base_number != before.number:
        return outcomes.ConfigStale(command.base_number, before.number)
    try:
        after = patch.apply_patch(current=before, change=command.change)
    except patch.PatchInvalid as error:
        return outcomes.ConfigInvalid(error.faults)
    ledger.config = after
    undo = patch.diff(msgspec.to_builtins(after), msgspec.to_builtins(before))
    ledger.history.append(
        state.ConfigVersion(
            number=after.number,
            operator=command.operator,
            patch_id=command.patch_id,
            at_ms=command.at_ms,
            change=command.change,
            undo=msgspec.json.encode(undo),
        )
    )
    del ledger.history[:-MAX_HISTORY_VERSIONS]
    _update_runner_states(ledger)
    return outcomes.ConfigChanged(after.number)


def _update_runner_states(ledger: state.Ledger) -> None:
    """Add the states of new runners and retire those of removed ones.

    A runner that was retired before gets its earlier state back.
    """
    for name in ledger.config.runners:
        runner = ledger.runner_by_name.get(name)
        if runner is None:
            runner = ledger.retired_by_name.pop(name, None)
            runner = runner or _initial_runner_state(ledger, name)
            ledger.runner_by_name[name] = runner
            ledger.mark_changed(name)
        # The patch may fix what made orders fail, so retry them at once.
        runner.failures = 0
        runner.retry_at_ms = 0
    for name in set(ledger.runner_by_name) - set(ledger.config.runners):
        ledger.retired_by_name[name] = ledger.runner_by_name.pop(name)
        ledger.fleet_version += 1
        ledger.removal_version = ledger.fleet_version
    while len(ledger.retired_by_name) > MAX_RETIRED_RUNNERS:
        ledger.retired_by_name.popitem(last=False)


def _initial_runner_state(ledger: state.Ledger, name: str) -> state.RunnerState:
    """Return the state of a new runner until its agent reports.

    The engine is assumed to be as the configuration demands.
    """
    desired = orders.desired_engine(ledger.config, name)
    return state.RunnerState(model=desired.model, adapters=desired.adapters)
