"""Configuration that a renewal brings: whole, as patches, or unchanged."""

import functools

from wisteriawall.config import document
from wisteriawall.config import patch
from wisteriawall.wire import control_messages

__all__ = ["received"]


def received(
    held: document.Document, grant: control_messages.Grant
) -> document.Document:
    """Return the newest document known after `grant`.

    A grant that is older than `held` changes nothing. A caller must check
    that the result has the grant's number before it acts on the lease.
    """
    if grant.config_number <= held.number:
        return held
    if grant.config is not None:
        return grant.config
    if held.number + len(grant.config_changes) != grant.config_number:
        return held
    return functools.reduce(_apply, grant.config_changes, held)


def _apply(held: document.Document, change: bytes) -> document.Document:
    return patch.apply_patch(current=held, change=change)
