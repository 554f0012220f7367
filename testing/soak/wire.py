"""Reading of HTTP/1.1 messages, without tolerance for malformed ones."""

from collections.abc import Callable
import re
from typing import Protocol
from typing import final

RECEIVE_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
MESSAGE_START = re.compile(rb"[A-Z]{0,8}([ /]|$)")
STATUS_LINE = re.compile(rb"HTTP/1\.1 ([1-5][0-9][0-9])(?: [^\r\n]*)?")
HEADER_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\r\n]*)")

FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})


class MalformedMessage(Exception):
    """The bytes are no message of the protocol."""


class Truncated(Exception):
    """The connection ended before the end of a message."""


class Socket(Protocol):
    """The part of a socket that a reader needs."""

    def recv(self, size: int, /) -> bytes:
        """Return the next bytes, none at the end of the connection."""


@final
class Reader:
    """Buffered reader of messages.

    `on_bytes` is called with the bytes of a body as they are read, so that a
    caller has what arrived before an answer breaks off.
    """

    def __init__(self, source: Socket) -> None:
        """Read from a socket."""
        self._source = source
        self.buffer = b""
        self.on_bytes: Callable[[bytes], None] = lambda _: None

    def is_at_end(self) -> bool:
        """Wait for bytes; return whether the connection ended instead."""
        return not self.buffer and not self._fill()

    def read_head(self) -> tuple[bytes, dict[str, str]]:
        """Return the first line and the headers, by lowercase name."""
        while (end := self.buffer.find(b"\r\n\r\n")) < 0:
            if len(self.buffer) > MAX_HEAD_BYTES:
                raise MalformedMessage("the head is too long")
            if not MESSAGE_START.match(self.buffer):
                raise MalformedMessage(repr(self.buffer[:40]))
            if not self._fill():
                raise Truncated("within the head")
        head, self.buffer = self.buffer[:end], self.buffer[end + 4 :]
        first, *lines = head.split(b"\r\n")
        header_by_name: dict[str, str] = {}
        for line in lines:
            match = HEADER_LINE.fullmatch(line)
            if match is None:
                raise MalformedMessage(f"header {line!r}")
            name = match[1].decode().lower()
            if name in header_by_name and name in FRAMING_HEADERS:
                raise MalformedMessage(f"two headers {name}")
            value = match[2].decode("latin-1").strip()
            if name in header_by_name:
                # No value of a repeated header is hidden from the checks.
                value = f"{header_by_name[name]}, {value}"
            header_by_name[name] = value
        return first, header_by_name

    def read_body(self, header_by_name: dict[str, str], default: int) -> bytes:
        """Return the body; `default` is its length without a header.

        A negative length reads up to the end of the connection.
        """
        if header_by_name.get("transfer-encoding", "").lower() == "chunked":
            return self._read_chunks()
        length = int(header_by_name.get("content-length", str(default)))
        if length >= 0:
            return self._read_exactly(length)
        body = b""
        while not self.is_at_end():
            body += self._take(len(self.buffer))
        return body

    def _read_chunks(self) -> bytes:
        body = b""
        while True:
            line = self._read_line()
            if not re.fullmatch(rb"[0-9a-fA-F]+", line):
                raise MalformedMessage(f"chunk size {line!r}")
            size = int(line, 16)
            body += self._read_exactly(size)
            if self._read_line():
                raise MalformedMessage("no line break after a chunk")
            if size == 0:
                return body

    def _read_line(self) -> bytes:
        while (end := self.buffer.find(b"\r\n")) < 0:
            if not self._fill():
                raise Truncated("within a chunk's line")
        line, self.buffer = self.buffer[:end], self.buffer[end + 2 :]
        return line

    def _read_exactly(self, length: int) -> bytes:
        body = b""
        while len(body) < length:
            if self.is_at_end():
                raise Truncated("within the body")
            body += self._take(length - len(body))
        return body

    def _take(self, length: int) -> bytes:
        data, self.buffer = self.buffer[:length], self.buffer[length:]
        self.on_bytes(data)
        return data

    def _fill(self) -> bool:
        data = self._source.recv(RECEIVE_BYTES)
        self.buffer += data
        return bool(data)


def parse_status(line: bytes) -> int:
    """Return the status of an answer's first line."""
    match = STATUS_LINE.fullmatch(line)
    if match is None:
        raise MalformedMessage(f"status line {line!r}")
    return int(match[1])


def format_head(first: str, header_by_name: dict[str, str]) -> bytes:
    """Return the head of a message."""
    lines = [first, *(f"{name}: {v}" for name, v in header_by_name.items())]
    return "\r\n".join([*lines, "", ""]).encode()


def chunk(data: bytes) -> bytes:
    """Return one chunk of a body; an empty one ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)
