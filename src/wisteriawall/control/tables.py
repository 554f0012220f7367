"""Publishes routing tables; the one with the highest number is in force."""

import hashlib

import msgspec

from wisteriawall.config import route_table
from wisteriawall.config import table_change
from wisteriawall.config import text_change
from wisteriawall.control import commands
from wisteriawall.control import events
from wisteriawall.control import outcomes
from wisteriawall.control import state

__all__ = ["change", "command_for", "digest", "publish", "published"]

DIGEST_BYTES = 16


def published(request: events.PublishRequest) -> state.PublishedTable:
    """Return the table of a request as it is kept."""
    return state.PublishedTable(
        request.table, request.source, digest(request.table)
    )


def command_for(
    current: state.PublishedTable | None,
    request: events.PublishRequest,
    wall_ms: int,
) -> commands.ChangeTable:
    """Return the command that publishes a table, as a change of `current`.

    Its size depends on what changes, not on the size of the table.
    """
    base_number = current.table.number if current else 0
    table_difference = source_difference = b""
    if request.table.number > base_number:
        table_difference = table_change.encode(
            table_change.difference(
                current.table if current else None, request.table
            )
        )
        source_difference = text_change.difference(
            current.source if current else b"", request.source
        )
    return commands.ChangeTable(
        number=request.table.number,
        base_number=base_number,
        digest=digest(request.table),
        table_change=table_difference,
        source_change=source_difference,
        operator=request.operator,
        at_ms=wall_ms,
    )


def change(
    ledger: state.Ledger, command: commands.ChangeTable
) -> (
    outcomes.TableInForce | outcomes.TableConflict | outcomes.TableBaseReplaced
):
    """Put a changed table in force, with the same rules as `publish`.

    Nothing is changed if another table replaced the base since the command was
    made.
    """
    current = ledger.published
    current_number = current.table.number if current else 0
    if current is not None and command.number <= current_number:
        return _keep(current, command.number, command.digest)
    if command.base_number != current_number:
        return outcomes.TableBaseReplaced(current_number)
    table = table_change.apply(
        current.table if current else None,
        table_change.decode(command.table_change),
    )
    source = text_change.apply(
        current.source if current else b"", command.source_change
    )
    ledger.published = state.PublishedTable(table, source, command.digest)
    return outcomes.TableInForce(command.number, changed=True)


def publish(
    ledger: state.Ledger, command: commands.PublishTable
) -> outcomes.TableInForce | outcomes.TableConflict:
    """Put a table in force if its number is higher than the current one's.

    A lower number changes nothing, and neither does the current table sent
    again. A different table under the current number is refused.
    """
    new_digest = digest(command.table)
    current = ledger.published
    if current is not None and command.table.number <= current.table.number:
        return _keep(current, command.table.number, new_digest)
    ledger.published = state.PublishedTable(
        command.table, command.source, new_digest
    )
    return outcomes.TableInForce(command.table.number, changed=True)


def _keep(
    current: state.PublishedTable, number: int, new_digest: bytes
) -> outcomes.TableInForce | outcomes.TableConflict:
    """Return the outcome of a publication under a number that is not newer."""
    if number == current.table.number and new_digest != current.digest:
        return outcomes.TableConflict(number)
    return outcomes.TableInForce(current.table.number, changed=False)


def digest(table: route_table.RouteTable) -> bytes:
    """Return a digest that differs for different tables."""
    encoded = msgspec.msgpack.encode(table)
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).digest()
