"""Reads header fields; all lines of one field count."""

from collections.abc import Iterator
from typing import Any
from typing import final

from cheroot import server as cheroot_server

__all__ = ["FieldReader"]

LINE_END = b"\r\n"
# RFC 9110, section 5.3, and for cookies RFC 6265, section 5.4.
SEPARATOR_BY_NAME = {b"Cookie": b"; "}
SEPARATOR = b", "
# A server must refuse a request with two, see RFC 9112, section 3.2.
HOST = b"Host"


@final
class FieldReader(cheroot_server.HeaderReader):
    """Joins the values of a repeated field, in their order.

    Cheroot keeps only the last line of most fields.
    """

    def __call__(
        self, rfile: Any, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        """Read the fields of a head into `hdict`, and return it.

        Names are in title case.

        Raises:
            ValueError: A line is no header field, the head ends early, or there
                are two hosts.
        """
        value_by_name: dict[bytes, bytes] = {} if hdict is None else hdict
        for name, value in self._fields(rfile):
            if name in value_by_name:
                if name == HOST:
                    raise ValueError("expected one Host field")
                separator = SEPARATOR_BY_NAME.get(name, SEPARATOR)
                value = value_by_name[name] + separator + value
            value_by_name[name] = value
        return value_by_name

    def _fields(self, rfile: Any) -> Iterator[tuple[bytes, bytes]]:
        """Yield each field; lines that continue one belong to its value."""
        name, value = b"", b""
        while (line := rfile.readline()) != LINE_END:
            if not line.endswith(LINE_END):
                raise ValueError("expected CRLF at the end of a header line")
            if line[:1] in (b" ", b"\t"):
                if not name:
                    raise ValueError("the first header line continues another")
                value += b" " + line.strip()
                continue
            if name:
                yield name, value
            text, colon, value = line.partition(b":")
            if not colon:
                raise ValueError("expected a colon in a header line")
            name = text.strip().title()
            value = value.strip()
        if name:
            yield name, value
