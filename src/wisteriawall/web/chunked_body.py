"""Reader of request bodies in HTTP's chunked transfer coding."""

import re
from typing import Protocol
from typing import final

from cheroot import errors as cheroot_errors

__all__ = ["ChunkedBody"]

CRLF = b"\r\n"
MAX_LINE_BYTES = 4 * 1024
MAX_SHOWN_BYTES = 32
MAX_TRAILER_BYTES = 16 * 1024
# Whatever else `int` takes for a number, or another line break, may mean
# another body to a proxy in front of this server.
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]+)(?:[ \t]*;[^\r\n]*)?\r\n")
TRAILER_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n]*\r\n")


class Stream(Protocol):
    """Buffered input of a connection."""

    def read(self, size: int, /) -> bytes:
        """Return `size` bytes, or fewer at the end of the input."""

    def readline(self, size: int, /) -> bytes:
        """Return the rest of the line, but at most `size` bytes."""


@final
class ChunkedBody:
    """One chunked body, with the trailer that ends it.

    Unlike cheroot's reader it consumes the trailer, so that nothing of the
    request is left in front of the next one on the connection. `is_complete` is
    set once the body was read to its end.

    Args:
        stream: Input of the connection, at the start of the body.
        max_bytes: Maximum size of the body with its chunk sizes.
    """

    def __init__(self, stream: Stream, *, max_bytes: int) -> None:
        self._stream = stream
        self._remaining_bytes = max_bytes
        self._is_begun = False
        self.is_complete = False

    def read(self) -> bytes:
        """Return the whole body; a second call returns nothing.

        Raises:
            MaxSizeExceeded: The body is too large.
            ValueError: The body is malformed or ends early.
        """
        if self._is_begun:
            return b""
        self._is_begun = True
        chunks = []
        while size := self._read_size():
            self._count(size)
            chunk = self._stream.read(size)
            if len(chunk) < size or self._stream.read(len(CRLF)) != CRLF:
                raise ValueError("expected a line break after each chunk")
            chunks.append(chunk)
        self._skip_trailer()
        self.is_complete = True
        return b"".join(chunks)

    def _read_size(self) -> int:
        line = self._stream.readline(MAX_LINE_BYTES)
        self._count(len(line))
        match = SIZE_LINE.fullmatch(line)
        if match is None:
            raise ValueError(f"bad chunk size {line[:MAX_SHOWN_BYTES]!r}")
        return int(match[1], 16)

    def _skip_trailer(self) -> None:
        remaining_bytes = MAX_TRAILER_BYTES
        while (line := self._stream.readline(remaining_bytes)) != CRLF:
            remaining_bytes -= len(line)
            if not TRAILER_LINE.fullmatch(line) or remaining_bytes <= 0:
                raise ValueError("expected a blank line after the last chunk")

    def _count(self, size: int) -> None:
        self._remaining_bytes -= size
        if self._remaining_bytes < 0:
            raise cheroot_errors.MaxSizeExceeded
