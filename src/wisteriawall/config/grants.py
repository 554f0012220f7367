"""Apply the configuration in the reply to a lease renewal.

The reply holds the whole document, the patches since the caller's document,
or neither when nothing has changed.
"""

import functools

from wisteriawall.config import document
from wisteriawall.config import patch
from wisteriawall.wire import control_messages

__all__ = ["apply_grant"]


def apply_grant(
    current: document.Document, grant: control_messages.Grant
) -> document.Document:
    """Return the newer of `current` and the document that `grant` leads to.

    The result is `current` when the grant is not newer, or when patches
    between `current` and the grant are missing. The caller must therefore
    check that the result has the grant's number before it uses the lease.
    """
    if grant.config_number <= current.number:
        return current
    if grant.config is not None:
        return grant.config
    if current.number + len(grant.config_changes) != grant.config_number:
        return current
    return functools.reduce(_apply, grant.config_changes, current)


def _apply(current: document.Document, change: bytes) -> document.Document:
    return patch.apply_patch(current=current, change=change)
