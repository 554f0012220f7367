"""Publishes routing tables; the one with the highest number is in force."""

import hashlib

import msgspec

from wisteriawall.control import commands
from wisteriawall.control import outcomes
from wisteriawall.control import state

__all__ = ["publish"]

DIGEST_BYTES = 16


def publish(
    ledger: state.Ledger, command: commands.PublishTable
) -> outcomes.TableInForce | outcomes.TableConflict:
    """Put a table in force if its number is higher than the current one's.

    A lower number changes nothing, and neither does the current table sent
    again. A different table under the current number is refused.
    """
    digest = _table_digest(command)
    current = ledger.published
    if current is None or command.table.number > current.table.number:
        ledger.published = state.PublishedTable(
            command.table, command.source, digest
        )
        return outcomes.TableInForce(command.table.number, changed=True)
    if (
        command.table.number == current.table.number
        and digest != current.digest
    ):
        return outcomes.TableConflict(current.table.number)
    return outcomes.TableInForce(current.table.number, changed=False)


def _table_digest(command: commands.PublishTable) -> bytes:
    encoded = msgspec.msgpack.encode(command.table)
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).digest()
