"""Client accounts of a routing table, and the digests of their keys."""

from collections.abc import Iterable
from collections.abc import Iterator
import hashlib
from typing import final

import msgspec

__all__ = [
    "Account",
    "AccountsChange",
    "AccountsInvalid",
    "apply",
    "difference",
    "find_faults",
    "index_by_digest",
    "key_digest",
    "make",
]

DIGEST_BYTES = 16


class AccountsInvalid(ValueError):
    """Accounts in a message have malformed digests, or share a key."""


@final
class Account(msgspec.Struct, frozen=True, kw_only=True):
    """A client account.

    `key_digests` are the sorted digests of the keys that name it. `rank`
    goes before the rank of the route; without one, that of the route counts
    alone.
    """

    name: str
    key_digests: list[bytes]
    rank: int | None = None


@final
class AccountChange(msgspec.Struct, frozen=True, array_like=True):
    """An account that was added or changed, with the changes of its keys."""

    name: str
    rank: int | None
    added: list[bytes]
    removed: list[bytes]


@final
class AccountsChange(msgspec.Struct, frozen=True, array_like=True):
    """What turns the accounts of one table into those of another.

    `are_used` is False if the target has no accounts at all. `removed` are the
    names of accounts that are no longer in the table. `order` holds all names
    in the order of the target, None if the accounts that stay keep their order
    and new ones follow them.
    """

    are_used: bool
    changed: list[AccountChange] = []
    removed: list[str] = []
    order: list[str] | None = None


def key_digest(key: str) -> bytes:
    """Return the digest of a key.

    Gateways look up digests, so that neither the routing table nor the time of
    a look-up reveals keys.
    """
    return hashlib.blake2b(
        key.encode("utf-8", "surrogateescape"), digest_size=DIGEST_BYTES
    ).digest()


def make(name: str, keys: Iterable[str], rank: int | None) -> Account:
    """Return an account; a key that is given twice counts once."""
    digests = {key_digest(key) for key in keys}
    return Account(name=name, key_digests=sorted(digests), rank=rank)


def find_faults(tenants: Iterable[tuple[str, list[str]]]) -> Iterator[str]:
    """Yield one message for each fault of published accounts.

    The messages tell where the fault is, and contain no key.

    Args:
        tenants: Name and keys of each account, in the order of the document.
    """
    position_by_name: dict[str, int] = {}
    owner_by_digest: dict[bytes, int] = {}
    for position, (name, keys) in enumerate(tenants):
        place = f"tenants[{position}]"
        first = position_by_name.setdefault(name, position)
        if first != position:
            yield f"{place}.name: {name!r} is also the name of tenants[{first}]"
        # The name is sent to runners in a header.
        if not name.strip() or not name.isprintable():
            yield f"{place}.name: got {name!r}, expected printable characters"
        for key_position, key in enumerate(keys):
            key_place = f"{place}.api_keys[{key_position}]"
            if not key.strip():
                yield f"{key_place}: the key is empty"
                continue
            owner = owner_by_digest.setdefault(key_digest(key), position)
            if owner != position:
                yield f"{key_place}: the key is also one of tenants[{owner}]"


def index_by_digest(accounts: Iterable[Account]) -> dict[bytes, Account]:
    """Return the accounts by the digests of their keys.

    Raises:
        AccountsInvalid: A digest is malformed, or belongs to two accounts.
    """
    account_by_digest: dict[bytes, Account] = {}
    for account in accounts:
        for digest in account.key_digests:
            if len(digest) != DIGEST_BYTES:
                raise AccountsInvalid(
                    f"account {account.name!r}: digest of {len(digest)} bytes,"
                    f" expected {DIGEST_BYTES}"
                )
            owner = account_by_digest.setdefault(digest, account)
            if owner is not account:
                raise AccountsInvalid(
                    f"accounts {owner.name!r} and {account.name!r} share a key"
                )
    return account_by_digest


def difference(
    base: list[Account] | None, target: list[Account] | None
) -> AccountsChange | None:
    """Return what turns `base` into `target`, None if they are equal."""
    if base == target:
        return None
    if target is None:
        return AccountsChange(are_used=False)
    base_by_name = {account.name: account for account in base or ()}
    target_by_name = {account.name: account for account in target}
    order = [name for name in base_by_name if name in target_by_name]
    order += [name for name in target_by_name if name not in base_by_name]
    return AccountsChange(
        are_used=True,
        changed=[
            _account_difference(base_by_name.get(account.name), account)
            for account in target
            if base_by_name.get(account.name) != account
        ],
        removed=[name for name in base_by_name if name not in target_by_name],
        order=None if order == list(target_by_name) else list(target_by_name),
    )


def _account_difference(base: Account | None, target: Account) -> AccountChange:
    base_digests = set(base.key_digests) if base else set()
    target_digests = set(target.key_digests)
    return AccountChange(
        name=target.name,
        rank=target.rank,
        added=sorted(target_digests - base_digests),
        removed=sorted(base_digests - target_digests),
    )


def apply(
    base: list[Account] | None, change: AccountsChange | None
) -> list[Account] | None:
    """Return the accounts that result from `base`."""
    if change is None:
        return base
    if not change.are_used:
        return None
    account_by_name = {account.name: account for account in base or ()}
    for name in change.removed:
        account_by_name.pop(name, None)
    for changed in change.changed:
        known = account_by_name.get(changed.name)
        digests = set(known.key_digests) if known else set()
        digests.difference_update(changed.removed)
        digests.update(changed.added)
        account_by_name[changed.name] = Account(
            name=changed.name, key_digests=sorted(digests), rank=changed.rank
        )
    if change.order is None:
        return list(account_by_name.values())
    position_by_name = {name: n for n, name in enumerate(change.order)}
    return sorted(
        account_by_name.values(),
        key=lambda a: position_by_name.get(a.name, len(position_by_name)),
    )
