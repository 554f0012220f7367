"""Difference between two routing tables, so that only changes are sent."""

from typing import final
import zlib

import msgspec

from wisteriawall import errors
from wisteriawall.config import accounts as accounts_lib
from wisteriawall.config import route_table

__all__ = [
    "ChangeRejected",
    "TableChange",
    "apply",
    "decode",
    "difference",
    "encode",
]

# Host in lower case and path prefix, which are unique in a valid table.
RouteKey = tuple[str, str]
COMPRESSION_LEVEL = 6


@final
class ChangeRejected(errors.WisteriawallError):
    """A change is malformed, or doesn't follow the table it is applied to."""


@final
class TableChange(msgspec.Struct, frozen=True, array_like=True):
    """What turns the table `base_number` into the table `number`.

    A base number of 0 stands for a table without routes and services. `routes`
    were added or changed, `removed` are the keys of those that are no longer in
    the table. `services`, `limits` and `accounts` are None if they didn't
    change.
    """

    base_number: int
    number: int
    routes: list[route_table.Route]
    removed: list[RouteKey]
    services: list[route_table.RoutedService] | None
    limits: route_table.ConnectionLimits | None
    accounts: accounts_lib.AccountsChange | None = None


def difference(
    base: route_table.RouteTable | None, target: route_table.RouteTable
) -> TableChange:
    """Return what turns `base`, None for an empty table, into `target`."""
    if base is None:
        return TableChange(
            0,
            target.number,
            target.routes,
            [],
            target.services,
            target.limits,
            accounts_lib.difference(None, target.accounts),
        )
    base_route_by_key = _route_by_key(base)
    target_route_by_key = _route_by_key(target)
    return TableChange(
        base_number=base.number,
        number=target.number,
        routes=[
            route
            for key, route in target_route_by_key.items()
            if base_route_by_key.get(key) != route
        ],
        removed=[
            key for key in base_route_by_key if key not in target_route_by_key
        ],
        services=None if base.services == target.services else target.services,
        limits=None if base.limits == target.limits else target.limits,
        accounts=accounts_lib.difference(base.accounts, target.accounts),
    )


def apply(
    base: route_table.RouteTable | None, change: TableChange
) -> route_table.RouteTable:
    """Return the table that results from `base`, None for an empty table.

    The order of the routes may differ from that of the published table.

    Raises:
        ChangeRejected: The change was made for another base.
    """
    base_number = base.number if base else 0
    if change.base_number != base_number:
        raise ChangeRejected(
            f"change of table {change.base_number}, expected {base_number}"
        )
    if base is None:
        base = route_table.RouteTable(number=0, routes=[], services=[])
    route_by_key = _route_by_key(base)
    for key in change.removed:
        route_by_key.pop(key, None)
    route_by_key.update((_key(route), route) for route in change.routes)
    return route_table.RouteTable(
        number=change.number,
        routes=list(route_by_key.values()),
        services=base.services if change.services is None else change.services,
        limits=base.limits if change.limits is None else change.limits,
        accounts=accounts_lib.apply(base.accounts, change.accounts),
    )


def encode(change: TableChange) -> bytes:
    """Return `change` as compressed MessagePack."""
    return zlib.compress(_ENCODER.encode(change), COMPRESSION_LEVEL)


def decode(data: bytes) -> TableChange:
    """Return the change that `encode` encoded.

    Raises:
        ChangeRejected: The data is no encoded change.
    """
    try:
        change: TableChange = _DECODER.decode(zlib.decompress(data))
    except (zlib.error, msgspec.DecodeError) as error:
        raise ChangeRejected(f"malformed change of a table: {error}") from error
    return change


def _key(route: route_table.Route) -> RouteKey:
    return route.host.lower(), route.prefix


def _route_by_key(
    table: route_table.RouteTable,
) -> dict[RouteKey, route_table.Route]:
    return {_key(route): route for route in table.routes}


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(TableChange)
