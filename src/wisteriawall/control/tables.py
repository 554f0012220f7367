"""Decide publications of routing tables: the highest number is in force."""

import hashlib

import msgspec

from wisteriawall.control import commands
from wisteriawall.control import outcomes
from wisteriawall.control import state

__all__ = ["publish"]

DIGEST_BYTES = 16


def publish(
    ledger: state.Ledger, command: commands.PublishTable
) -> outcomes.TableHeld | outcomes.TableConflict:
    """Put a table in force if its number is higher than the held one.

    A table that a higher number has overtaken changes nothing. The held
    number again with the same content confirms it, with other content it is
    refused.
    """
    digest = _digest(command)
    held = ledger.published
    if held is None or command.table.number > held.table.number:
        ledger.published = state.PublishedTable(
            command.table, command.source, digest
        )
        return outcomes.TableHeld(command.table.number, changed=True)
    if command.table.number == held.table.number and digest != held.digest:
        return outcomes.TableConflict(held.table.number)
    return outcomes.TableHeld(held.table.number, changed=False)


def _digest(command: commands.PublishTable) -> bytes:
    encoded = msgspec.msgpack.encode(command.table)
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).digest()
