"""Answers lease renewals with only the state that the sender lacks."""

import msgspec

from wisteriawall.control import config_patches
from wisteriawall.control import state
from wisteriawall.wire import control_messages
from wisteriawall.wire import fleet

__all__ = ["DocumentSizeCache", "grant_lease"]


class DocumentSizeCache:
    """Encoded size of the configuration document, cached by its number."""

    __slots__ = ("_bytes", "_config_number")

    def __init__(self) -> None:
        self._config_number = -1
        self._bytes = 0

    def encoded_bytes(self, ledger: state.Ledger) -> int:
        """Return the encoded size of the current document in bytes."""
        if self._config_number != ledger.config.number:
            self._config_number = ledger.config.number
            self._bytes = len(msgspec.msgpack.encode(ledger.config))
        return self._bytes


def grant_lease(
    ledger: state.Ledger,
    renew: control_messages.RenewRequest,
    *,
    size: DocumentSizeCache,
    age_ms: int,
    leader: str,
) -> control_messages.Grant | None:
    """Return the lease grant, None when this replica is behind the sender.

    A replica that has not applied the sender's configuration number must not
    extend a lease: its `age_ms` refers to the confirmation of an older number.

    Args:
        ledger: State that this replica has applied.
        renew: Renewal with the versions that the sender holds.
        size: Cached size of the document.
        age_ms: Time since the applied state was confirmed to be current.
        leader: Name of the leader, empty when unknown.
    """
    if renew.config_number > ledger.config.number:
        return None
    is_agent = renew.kind is control_messages.ProcessKind.AGENT
    # The agent of a removed runner still has to finish a pending order.
    runner = ledger.runner_by_name.get(
        renew.runner
    ) or ledger.retired_by_name.get(renew.runner)
    changes = [] if is_agent else _changes_if_smaller(ledger, renew, size)
    needs_config = not is_agent and renew.config_number < ledger.config.number
    return control_messages.Grant(
        age_ms=age_ms,
        config_number=ledger.config.number,
        config=ledger.config if needs_config and not changes else None,
        fleet_version=ledger.fleet_version,
        fleet_view=_agent_view(ledger, renew)
        if is_agent
        else _entry_view(ledger, renew),
        order=runner.pending if runner else None,
        min_fencing_number=runner.floor
        if runner
        else fleet.FENCING_NUMBER_ZERO,
        leader=leader,
        config_changes=changes,
    )


def _changes_if_smaller(
    ledger: state.Ledger,
    renew: control_messages.RenewRequest,
    size: DocumentSizeCache,
) -> list[bytes]:
    """Return the patches that the sender lacks.

    The list is empty if the whole document is not larger than the patches.
    """
    changes = config_patches.patches_since(ledger, renew.config_number)
    if sum(map(len, changes)) < size.encoded_bytes(ledger):
        return changes
    return []


def _entry_view(
    ledger: state.Ledger, renew: control_messages.RenewRequest
) -> fleet.FleetView | None:
    """Return the runners that changed since the entry's view, None if none."""
    if renew.fleet_version == ledger.fleet_version:
        return None
    return ledger.fleet_view(renew.fleet_version)


def _agent_view(
    ledger: state.Ledger, renew: control_messages.RenewRequest
) -> fleet.FleetView | None:
    """Return the agent's own runner if it changed since the agent's view."""
    runner = ledger.runner_by_name.get(renew.runner)
    if runner is None or runner.changed_version <= renew.fleet_version:
        return None
    view = state.runner_view(renew.runner, runner)
    return fleet.FleetView(ledger.fleet_version, [view], renew.fleet_version)
