"""Incremental decoder of request bodies in HTTP's chunked transfer coding."""

import enum
import re
from typing import Protocol
from typing import final

from cheroot import errors as cheroot_errors

__all__ = ["ChunkedDecoder"]

CRLF = b"\r\n"
MAX_LINE_BYTES = 4 * 1024
MAX_SHOWN_BYTES = 32
MAX_TRAILER_BYTES = 16 * 1024
# Whatever else `int` takes for a number, or another line break, may mean
# another body to a proxy in front of this server.
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]+)(?:[ \t]*;[^\r\n]*)?\r\n")
TRAILER_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n]*\r\n")
# Many chunks of one byte are decoded at once, as each costs the loop 1 us.
ONE_BYTE_CHUNKS = re.compile(rb"(?:1\r\n[\x00-\xff]\r\n)+")
ONE_BYTE_CHUNK_BYTES = 6
ONE_BYTE_DATA_AT = 3


class Sink(Protocol):
    """Receiver of the decoded bytes."""

    def write(self, data: bytes, /) -> int:
        """Append `data`."""


@final
class _Part(enum.Enum):
    SIZE = enum.auto()
    DATA = enum.auto()
    DATA_END = enum.auto()
    TRAILER = enum.auto()
    END = enum.auto()


@final
class ChunkedDecoder:
    """Decodes one chunked body, with the trailer that ends it.

    The trailer is consumed, so that nothing of the request is left in front of
    the next one on the connection. `is_complete` is set at the end of the body;
    `rest` then has the bytes that follow it.

    Args:
        sink: Receives the decoded bytes.
        max_bytes: Maximum size of the body with its chunk sizes.
    """

    def __init__(self, sink: Sink, *, max_bytes: int) -> None:
        self._sink = sink
        self._remaining_bytes = max_bytes
        self._trailer_bytes = MAX_TRAILER_BYTES
        self._part = _Part.SIZE
        self._chunk_bytes = 0
        self.rest = b""

    @property
    def is_complete(self) -> bool:
        """Whether the end of the body was decoded."""
        return self._part is _Part.END

    def decode(self, data: bytes, *, max_chunks: int) -> bool:
        """Decode the next bytes, at most `max_chunks` chunks of them.

        Returns whether more can be decoded without further bytes.

        Raises:
            MaxSizeExceeded: The body is too large.
            ValueError: The body is malformed.
        """
        buffer = self.rest + data if self.rest else data
        position = 0
        for _ in range(max_chunks):
            if self._part is _Part.END:
                break
            before = position, self._part
            position = self._decode_part(buffer, position)
            if (position, self._part) == before:
                self.rest = buffer[position:]
                return False
        self.rest = buffer[position:]
        return not self.is_complete and bool(self.rest)

    def _decode_part(self, buffer: bytes, position: int) -> int:
        """Decode one part; return the position after it."""
        match self._part:
            case _Part.SIZE:
                many = ONE_BYTE_CHUNKS.match(buffer, position)
                if many is not None:
                    return self._decode_one_byte_chunks(buffer, many)
                return self._decode_size(buffer, position)
            case _Part.DATA:
                data = buffer[position : position + self._chunk_bytes]
                self._sink.write(data)
                self._chunk_bytes -= len(data)
                if not self._chunk_bytes:
                    self._part = _Part.DATA_END
                return position + len(data)
            case _Part.DATA_END:
                end = buffer[position : position + len(CRLF)]
                if not CRLF.startswith(end):
                    raise ValueError("expected a line break after each chunk")
                if len(end) < len(CRLF):
                    return position
                self._part = _Part.SIZE
                return position + len(CRLF)
            case _:
                return self._decode_trailer(buffer, position)

    def _decode_one_byte_chunks(
        self, buffer: bytes, many: re.Match[bytes]
    ) -> int:
        start, end = many.span()
        self._count(end - start)
        self._sink.write(
            buffer[start + ONE_BYTE_DATA_AT : end : ONE_BYTE_CHUNK_BYTES]
        )
        return end

    def _decode_size(self, buffer: bytes, position: int) -> int:
        line = _take_line(buffer, position, MAX_LINE_BYTES)
        if not line:
            return position
        match = SIZE_LINE.fullmatch(line)
        if match is None:
            raise ValueError(f"bad chunk size {line[:MAX_SHOWN_BYTES]!r}")
        self._chunk_bytes = int(match[1], 16)
        self._count(len(line) + self._chunk_bytes)
        self._part = _Part.DATA if self._chunk_bytes else _Part.TRAILER
        return position + len(line)

    def _decode_trailer(self, buffer: bytes, position: int) -> int:
        line = _take_line(buffer, position, self._trailer_bytes)
        if not line:
            return position
        self._trailer_bytes -= len(line)
        if line == CRLF:
            self._part = _Part.END
        elif not TRAILER_LINE.fullmatch(line) or self._trailer_bytes <= 0:
            raise ValueError("expected a blank line after the last chunk")
        return position + len(line)

    def _count(self, size: int) -> None:
        self._remaining_bytes -= size
        if self._remaining_bytes < 0:
            raise cheroot_errors.MaxSizeExceeded


def _take_line(buffer: bytes, position: int, max_bytes: int) -> bytes:
    """Return the line at `position`, empty if its end has not arrived.

    Raises:
        ValueError: The line is longer than `max_bytes`.
    """
    end = buffer.find(b"\n", position, position + max_bytes)
    if end >= 0:
        return buffer[position : end + 1]
    if len(buffer) - position >= max_bytes:
        raise ValueError("a line of a chunked body is too long")
    return b""
