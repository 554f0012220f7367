"""JSON merge patches (RFC 7396) of the configuration document."""

from typing import final

import msgspec

from wisteriawall import errors
from wisteriawall.config import document
from wisteriawall.config import integers
from wisteriawall.config import type_checks
from wisteriawall.config import validation

__all__ = ["PatchInvalid", "apply_patch", "diff", "merge"]


@final
class PatchInvalid(errors.UsageError):
    """The patched document is invalid; `faults` has a message per field."""

    def __init__(self, faults: tuple[str, ...]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


def merge(target: object, change: object) -> object:
    """Return `target` with the merge patch `change` applied."""
    if not isinstance(change, dict):
        return change
    base = dict(target) if isinstance(target, dict) else {}
    for name, value in change.items():
        if value is None:
            base.pop(name, None)
        else:
            base[name] = merge(base.get(name), value)
    return base


def diff(before: object, after: object) -> object:
    """Return the merge patch that turns `before` into `after`.

    Neither may contain null: in a merge patch, null removes a field.
    """
    if not isinstance(before, dict) or not isinstance(after, dict):
        return after
    removed = {name: None for name in before if name not in after}
    changed = {
        name: diff(before[name], value) if name in before else value
        for name, value in after.items()
        if name not in before or before[name] != value
    }
    return removed | changed


def apply_patch(
    *, current: document.Document, change: bytes
) -> document.Document:
    """Return `current` with the patch applied and its number raised by one.

    Args:
        current: Document that the patch was written against.
        change: JSON merge patch; a `number` in it is ignored.

    Raises:
        PatchInvalid: The patch is not JSON or the result is not valid.
    """
    try:
        decoded = msgspec.json.decode(change)
        # The integers of `current` were checked when they were patched in.
        integer_faults = tuple(integers.find_faults(decoded))
        changed = merge(msgspec.to_builtins(current), decoded)
    except (msgspec.DecodeError, RecursionError) as error:
        raise PatchInvalid((f"patch: not JSON: {error}",)) from error
    if integer_faults:
        raise PatchInvalid(integer_faults)
    if not isinstance(changed, dict):
        raise PatchInvalid(("patch: expected an object",))
    changed["number"] = current.number + 1
    try:
        result = msgspec.convert(changed, document.Document)
    except msgspec.ValidationError as error:
        # msgspec reports only the first fault. The slower check of every field
        # runs after a failure and reports all of them.
        type_faults = type_checks.find_faults(changed, document.Document)
        raise PatchInvalid(tuple(type_faults) or (str(error),)) from error
    faults = tuple(validation.find_faults(result))
    if faults:
        raise PatchInvalid(faults)
    return result
