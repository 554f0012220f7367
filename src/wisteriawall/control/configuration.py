"""Decide patches: one winner for each number, one answer for each patch id."""

import hashlib

import msgspec

from wisteriawall.config import document
from wisteriawall.config import patch
from wisteriawall.control import commands
from wisteriawall.control import orders
from wisteriawall.control import outcomes
from wisteriawall.control import state

__all__ = ["apply_patch", "changes_since", "document_at"]

MAX_KEPT_PATCHES = 10_000
MAX_HISTORY = 1_000
MAX_RETIRED_RUNNERS = 10_000
DIGEST_BYTES = 16


def apply_patch(
    ledger: state.Ledger, command: commands.PatchConfig
) -> outcomes.PatchOutcome:
    """Return the first outcome of the command's patch id.

    Outcomes of the newest 10,000 patch ids are kept. An id that was used for
    another patch is refused, since its answer would be of another question.
    """
    if not command.patch_id:
        return _decide(ledger, command)
    digest = _digest(command)
    kept = ledger.patch_by_id.get(command.patch_id)
    if kept is not None and kept.digest != digest:
        return outcomes.PatchIdReused(command.patch_id)
    if kept is not None:
        return kept.outcome
    outcome = _decide(ledger, command)
    ledger.patch_by_id[command.patch_id] = state.KeptPatch(digest, outcome)
    while len(ledger.patch_by_id) > MAX_KEPT_PATCHES:
        ledger.patch_by_id.popitem(last=False)
    return outcome


def changes_since(ledger: state.Ledger, number: int) -> list[bytes]:
    """Return the patches that lead from `number` to the current document.

    The list is empty when the history no longer reaches back to `number`.
    """
    missing = ledger.config.number - number
    if missing <= 0 or missing > len(ledger.history):
        return []
    return [version.change for version in ledger.history[-missing:]]


def document_at(ledger: state.Ledger, number: int) -> document.Document | None:
    """Return the document that had `number`, None if it is not kept."""
    oldest = ledger.config.number - len(ledger.history)
    if not oldest <= number <= ledger.config.number:
        return None
    value = msgspec.to_builtins(ledger.config)
    for version in reversed(ledger.history):
        if version.number <= number:
            break
        value = patch.merge(value, msgspec.json.decode(version.undo))
    return msgspec.convert(value, document.Document)


def _digest(command: commands.PatchConfig) -> bytes:
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    hasher.update(str(command.base_number).encode() + b"/" + command.change)
    return hasher.digest()


def _decide(
    ledger: state.Ledger, command: commands.PatchConfig
) -> outcomes.PatchOutcome:
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
    del ledger.history[:-MAX_HISTORY]
    _follow_runners(ledger)
    return outcomes.ConfigChanged(after.number)


def _follow_runners(ledger: state.Ledger) -> None:
    """Add states of new runners and retire those of removed ones."""
    for name in ledger.config.runners:
        runner = ledger.runner_by_name.get(name)
        if runner is None:
            runner = ledger.retired_by_name.pop(name, None)
            runner = runner or _first_state(ledger, name)
            ledger.runner_by_name[name] = runner
            ledger.touch(name)
        # A new configuration may mend what made the orders fail.
        runner.failures = 0
        runner.retry_at_ms = 0
    for name in set(ledger.runner_by_name) - set(ledger.config.runners):
        ledger.retired_by_name[name] = ledger.runner_by_name.pop(name)
        ledger.fleet_version += 1
        ledger.removal_version = ledger.fleet_version
    while len(ledger.retired_by_name) > MAX_RETIRED_RUNNERS:
        ledger.retired_by_name.popitem(last=False)


def _first_state(ledger: state.Ledger, name: str) -> state.RunnerState:
    """Assume what the configuration wants until the agent reports."""
    wanted = orders.wanted_engine(ledger.config, name)
    return state.RunnerState(model=wanted.model, adapters=wanted.adapters)
