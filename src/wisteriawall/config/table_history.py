"""The newest routing tables, and the encoded changes between them."""

from collections import OrderedDict
from typing import final

from wisteriawall.config import route_table
from wisteriawall.config import table_change

__all__ = ["MAX_TABLES", "TableHistory"]

# Tables share the routes that they have in common.
MAX_TABLES = 32
MAX_ENCODED_CHANGES = 8


@final
class TableHistory:
    """Keeps tables with rising numbers, so that receivers get only changes."""

    __slots__ = ("_encoded_by_numbers", "_table_by_number", "newest")

    def __init__(self) -> None:
        self.newest: route_table.RouteTable | None = None
        self._table_by_number: OrderedDict[int, route_table.RouteTable] = (
            OrderedDict()
        )
        self._encoded_by_numbers: OrderedDict[tuple[int, int], bytes] = (
            OrderedDict()
        )

    def add(self, table: route_table.RouteTable) -> None:
        """Keep a table, unless it is not newer than the newest."""
        if self.newest is not None and table.number <= self.newest.number:
            return
        self.newest = table
        self._table_by_number[table.number] = table
        while len(self._table_by_number) > MAX_TABLES:
            self._table_by_number.popitem(last=False)

    def has(self, number: int) -> bool:
        """Return whether the table `number` is kept."""
        return number in self._table_by_number

    def encoded_change(self, base_number: int, number: int) -> bytes | None:
        """Return the change from one table to another, None if one is gone.

        A base number of 0 stands for an empty table.
        """
        encoded = self._encoded_by_numbers.get((base_number, number))
        if encoded is not None:
            return encoded
        base = self._table_by_number.get(base_number)
        target = self._table_by_number.get(number)
        if target is None or (base is None and base_number):
            return None
        encoded = table_change.encode(table_change.difference(base, target))
        self._encoded_by_numbers[base_number, number] = encoded
        while len(self._encoded_by_numbers) > MAX_ENCODED_CHANGES:
            self._encoded_by_numbers.popitem(last=False)
        return encoded
