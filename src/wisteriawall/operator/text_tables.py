"""Plain text tables, as the operator commands print them."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import datetime

__all__ = ["format_utc", "render"]

COLUMN_GAP = "  "


def render(header: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a text table: a header line, then one line per row.

    Columns are as wide as their longest cell and separated by two spaces.
    """
    table_rows = [tuple(header), *(tuple(map(str, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*table_rows, strict=True)]
    return "\n".join(_format_rows(table_rows, widths))


def format_utc(unix_ms: int) -> str:
    """Return a Unix time in UTC and whole seconds: `2025-01-31T12:00:00Z`."""
    utc_time = datetime.datetime.fromtimestamp(unix_ms / 1000, datetime.UTC)
    return utc_time.strftime("%Y-%m-%dT%H:%M:%SZ")


def _format_rows(
    table_rows: Iterable[tuple[str, ...]], widths: Sequence[int]
) -> Iterator[str]:
    for row in table_rows:
        padded = map(str.ljust, row, widths)
        yield COLUMN_GAP.join(padded).rstrip()
