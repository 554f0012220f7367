"""Routes of load events between gateways, so that each hears of all others.

Sending every event to every gateway costs each of them one datagram for each
change of each other. Under a burst this fills the small links of large
deployments. Gateways are therefore arranged in a grid: an event goes to the
gateways of its sender's column, and each of these forwards it to its row. A
gateway then exchanges datagrams with about twice the square root of the number
of gateways, and each event crosses between rows once. Rows are neighbors by
name, which are mostly in one availability zone.

A gateway that is lost while the others still list it leaves the gateways of
its row without the events of its column, until the list is updated.
"""

from collections.abc import Iterable
import dataclasses
import math
from typing import final

__all__ = ["MAX_DIRECT_GATEWAYS", "Neighbors", "find_neighbors"]

# Up to this number of gateways, each sends to all others directly.
MAX_DIRECT_GATEWAYS = 12


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Neighbors:
    """Gateways with which one gateway exchanges load events.

    Attributes:
        row: They receive the gateway's own events, and those that it received
            from its column.
        column: They receive the gateway's own events and forward them to their
            rows.
    """

    row: tuple[str, ...] = ()
    column: tuple[str, ...] = ()


def find_neighbors(name: str, others: Iterable[str]) -> Neighbors:
    """Return the neighbors of the gateway `name` among all gateways.

    Every gateway that computes its neighbors from the same set of names gets a
    position in the same grid.
    """
    names = sorted({name, *others})
    if len(names) <= MAX_DIRECT_GATEWAYS:
        return Neighbors(row=tuple(n for n in names if n != name))
    width = math.ceil(math.sqrt(len(names)))
    rows = [names[at : at + width] for at in range(0, len(names), width)]
    row_number, position = divmod(names.index(name), width)
    # The last row can be shorter: its gateways also take the place of the
    # missing ones.
    column = (row[position % len(row)] for row in rows)
    return Neighbors(
        row=tuple(n for n in rows[row_number] if n != name),
        column=tuple(n for n in column if n != name),
    )
