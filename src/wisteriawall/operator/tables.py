"""Plain text tables for operators."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import datetime

__all__ = ["render", "time_text"]

GAP = "  "


def render(head: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a table with one line for the head and one for each row."""
    lines = [tuple(head), *(tuple(map(str, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(_lines(lines, widths))


def time_text(unix_ms: int) -> str:
    """Return a Unix time as text in UTC, to the second."""
    moment = datetime.datetime.fromtimestamp(unix_ms / 1000, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")


def _lines(
    lines: Iterable[tuple[str, ...]], widths: Sequence[int]
) -> Iterator[str]:
    for line in lines:
        padded = map(str.ljust, line, widths)
        yield GAP.join(padded).rstrip()
