"""Reads one request from the bytes of a connection as they arrive."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import enum
import io
import logging
import re
from typing import Any
from typing import TypeAlias
from typing import final

from cheroot import errors as cheroot_errors

from wisteriawall.web import chunked_body
from wisteriawall.web import error_response
from wisteriawall.web import received_body
from wisteriawall.web import refusal as refusal_lib

__all__ = [
    "CheckHead",
    "Progress",
    "ReadLimits",
    "RequestReader",
    "header_texts",
]

_LOG = logging.getLogger("http")

# Called with method, target and headers of a complete head.
CheckHead: TypeAlias = Callable[
    [str, str, Mapping[str, str]], refusal_lib.Refusal | None
]

HEAD_END = b"\r\n\r\n"
BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
# Chunks decoded before the connections of others are served, about 0.5 ms.
CHUNKS_PER_TURN = 512
# Further bytes that a parsed head takes in memory, for each of its bytes.
PARSED_HEAD_FACTOR = 3


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ReadLimits:
    """What a request may take to arrive.

    Attributes:
        fields: Most header fields.
        request_ms: Time within which the whole request must arrive.
        allowance_ms: Time before `min_bytes_per_s` applies.
        min_bytes_per_s: Least rate of an incomplete request.
        idle_ms: Longest time without a request.
    """

    fields: int = 200
    request_ms: int = 10_000
    allowance_ms: int = 3_000
    min_bytes_per_s: int = 512
    idle_ms: int = 30_000


@final
class Progress(enum.Enum):
    """What a reader needs next.

    INPUT is further bytes, TIME a further call without bytes. COMPLETE requests
    can be served. FAILED ones get `output`, and their connection is closed.
    """

    INPUT = enum.auto()
    TIME = enum.auto()
    COMPLETE = enum.auto()
    FAILED = enum.auto()


@final
class RequestReader:
    """Reads one request; cheroot parses its head.

    `output` has bytes to send to the caller now. Once the request is complete,
    `request` is the parsed request, `body` its body, and `rest` has the bytes
    that follow it.

    Args:
        connection: Connection of the request.
        limits: Limits on the request.
        check_head: May refuse the request before its body is read.
        drops_body: Whether the application doesn't read bodies.
    """

    def __init__(
        self,
        connection: Any,
        *,
        limits: ReadLimits,
        check_head: CheckHead | None,
        drops_body: bool,
    ) -> None:
        self._connection = connection
        self._limits = limits
        self._check_head = check_head
        self._head = b""
        self._sink: io.BytesIO | received_body.NullSink = (
            received_body.NullSink() if drops_body else io.BytesIO()
        )
        self._is_kept = not drops_body
        self._decoder: chunked_body.ChunkedDecoder | None = None
        self._remaining_bytes = 0
        self.request: Any = None
        self.body: received_body.ReceivedBody | None = None
        self.output = b""
        self.rest = b""
        # Memory that the parsed head takes, for the caller to reserve.
        self.parsed_bytes = 0

    def reserved_bytes(self, size: int) -> int:
        """Return the memory to reserve for `size` further bytes."""
        return size if self._is_kept or self.request is None else 0

    def feed(self, data: bytes) -> Progress:
        """Take the next bytes of the connection, none after Progress.TIME."""
        if self.request is None:
            return self._read_head(data)
        return self._read_body(data)

    def end_input(self) -> Progress:
        """Take the end of the input."""
        if self.request is None:
            return self._parse_head(self._head, b"")
        error = ValueError("the body ended early") if self._decoder else None
        return self._complete(error=error, is_complete=False)

    def _read_head(self, data: bytes) -> Progress:
        before = max(0, len(self._head) - len(HEAD_END) + 1)
        head = self._head + data if self._head else data
        end = head.find(HEAD_END, before)
        if end >= 0:
            end += len(HEAD_END)
            rest = head[end:]
            head = head[:end]
        else:
            rest = b""
        # The request line and the blank line aren't fields.
        if head.count(b"\n") > self._limits.fields + 2:
            return self._fail(
                error_response.encode(
                    "431 Request Header Fields Too Large",
                    f"expected at most {self._limits.fields} header fields",
                )
            )
        max_bytes = self._connection.server.max_request_header_size
        if (
            end >= 0
            or len(head) > max_bytes
            or BARE_LINE_FEED.search(head, before) is not None
        ):
            self._head = b""
            return self._parse_head(head, rest)
        self._head = head
        return Progress.INPUT

    def _parse_head(self, head: bytes, rest: bytes) -> Progress:
        connection = self._connection
        writer, output = connection.wfile, io.BytesIO()
        connection.rfile, connection.wfile = io.BytesIO(head), output
        request = connection.new_request()
        try:
            request.parse_head()
        except Exception as error:
            # For example urllib's ValueError for a target with `[`.
            _LOG.info("http: malformed head: %r", error)
            return self._fail(
                error_response.encode("400 Bad Request", "malformed head")
            )
        finally:
            connection.wfile = writer
        if not request.ready:
            return self._fail(output.getvalue())
        refusal = self._find_refusal(request)
        if refusal is not None:
            return self._fail(error_response.encode_refusal(refusal))
        self.request = request
        self.parsed_bytes = PARSED_HEAD_FACTOR * len(head)
        if request.chunked_read:
            self._decoder = chunked_body.ChunkedDecoder(
                self._sink, max_bytes=connection.server.max_request_body_size
            )
        else:
            length = request.inheaders.get(b"Content-Length", b"0")
            self._remaining_bytes = int(length)
        progress = self._read_body(rest)
        if progress is Progress.INPUT:
            # 100 Continue, if the caller expects it.
            self.output = output.getvalue()
        return progress

    def _find_refusal(self, request: Any) -> refusal_lib.Refusal | None:
        if self._check_head is None:
            return None
        try:
            return self._check_head(
                request.method.decode("latin-1"),
                request.uri.decode("latin-1"),
                header_texts(request.inheaders),
            )
        except Exception:
            _LOG.warning("http: the check of a head failed", exc_info=True)
            return refusal_lib.Refusal(
                status=503,
                code=refusal_lib.Code.INTERNAL,
                message="the request could not be checked",
                retry_after_ms=1_000,
            )

    def _read_body(self, data: bytes) -> Progress:
        if self._decoder is not None:
            return self._decode(self._decoder, data)
        if len(data) <= self._remaining_bytes:
            if data:
                self._sink.write(data)
        else:
            self._sink.write(data[: self._remaining_bytes])
            self.rest = data[self._remaining_bytes :]
        self._remaining_bytes -= len(data) - len(self.rest)
        if self._remaining_bytes:
            return Progress.INPUT
        return self._complete(error=None, is_complete=True)

    def _decode(
        self, decoder: chunked_body.ChunkedDecoder, data: bytes
    ) -> Progress:
        try:
            if decoder.decode(data, max_chunks=CHUNKS_PER_TURN):
                return Progress.TIME
        except (ValueError, cheroot_errors.MaxSizeExceeded) as error:
            # The application may refuse the request for another reason, and
            # what it read so far is of no use.
            self._sink = received_body.NullSink()
            return self._complete(error=error, is_complete=False)
        if not decoder.is_complete:
            return Progress.INPUT
        self.rest = decoder.rest
        return self._complete(error=None, is_complete=True)

    def _complete(
        self, *, error: Exception | None, is_complete: bool
    ) -> Progress:
        self.body = received_body.ReceivedBody(
            self._sink, error=error, is_complete=is_complete
        )
        return Progress.COMPLETE

    def _fail(self, output: bytes) -> Progress:
        self.output = output
        return Progress.FAILED


def header_texts(headers: Mapping[bytes, bytes]) -> dict[str, str]:
    """Return header fields as text."""
    return {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in headers.items()
    }
