"""HTTP connection that matches responses to requests by their id.

A faulty server may send a second response to an earlier request, at the point
where the response to the next request is expected.
"""

import collections
from collections.abc import Callable
import dataclasses
import http.client
import io
import re
import socket
import struct
from typing import Any
from typing import final

import urllib3
import urllib3.connection

from wisteriawall import clock
from wisteriawall.web import connection_end

__all__ = [
    "EXCHANGE_ERRORS",
    "AnswerId",
    "ResponseTooLong",
    "RunnerConnection",
    "UnidentifiedResponse",
]

# What sending a request and reading its response raise if the connection fails
# or the response is malformed. urllib3 does not wrap the exceptions of
# http.client while it reads the head of a response.
EXCHANGE_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
)
MAX_HEAD_BYTES = 128 * 1024
# A chunk size with its extensions, or a trailer.
MAX_LINE_BYTES = 64 * 1024
MAX_LOGGED_BYTES = 80
MAX_SKIPPED_RESPONSES = 8
# Late responses belong to one of the last requests of a connection.
MAX_RECENT_IDS = 64
MAX_SKIPPED_BYTES = 4 * 1024 * 1024
# A late head without its body takes the next response for that body.
SKIP_TIMEOUT_MS = 500
CHUNK_BYTES = 64 * 1024
MS_PER_S = 1_000
NS_PER_MS = 1_000_000
# Of Linux on 64-bit processors; the module `socket` has no name for it.
SO_TIMESTAMPNS = 35
TIMESPEC = struct.Struct("qq")
ANCILLARY_BYTES = 64
# Setting a socket's timeout is a system call, so it is set again only after the
# deadline has come this much closer.
MAX_OVERRUN_MS = 100
FIRST_FINAL_STATUS = 200
HTTP_NAME = b"HTTP/"
# `int`, by which http.client reads the status, takes 2_00 and +200 for 200, and
# `str.split` takes other characters for spaces. RFC 9110, section 15, calls
# statuses over 599 invalid. 101 needs an upgrade, which is never asked for.
STATUS_LINE = re.compile(
    rb"(HTTP/1\.[0-9])[ \t]+(?!101)([1-5][0-9]{2})(?:[ \t]([^\r\n]*))?\r?\n"
)
# A head that is cut within a line is continued by the next status line.
STATUS_LINE_START = re.compile(r"HTTP/\d\.\d \d{3}")
BODY_STATUS_LINE = re.compile(STATUS_LINE_START.pattern.encode())
STATUS_LINE_BYTES = len("HTTP/1.1 200")


@final
class UnidentifiedResponse(http.client.HTTPException):
    """A response can't be matched to a request of its connection."""


@final
class ResponseTooLong(http.client.HTTPException):
    """A response, or a part of it, does not end within its limit."""


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AnswerId:
    """Id by which a response names its request.

    Attributes:
        header: Header of the response that holds the id.
        value: Id of the request that was sent last.
        on_mismatch: Called with each response that has another id or none.
    """

    header: str
    value: str
    on_mismatch: Callable[[http.client.HTTPResponse], None]


@final
class RunnerConnection(urllib3.connection.HTTPConnection):
    """Connection that skips responses to earlier requests.

    All responses are read through one buffer. http.client uses a new buffer for
    each, which would lose what arrived together with the end of a response.

    `request_count` is the number of requests so far. `answer_id` is the
    id that the next response must have; with None, any response is taken for
    the next one. Reads fail within `MAX_OVERRUN_MS` after `deadline_at_ms`, on
    the monotonic clock; with None, the socket's own timeout holds for each.
    Reads fail too when a head is longer than `MAX_HEAD_BYTES`.
    """

    request_count = 0
    answer_id: AnswerId | None = None
    # Hashes, as callers choose the length of ids.
    _recent_ids: collections.deque[int]
    _is_last_response = False
    _raw_reader: "_SocketReader"
    _reader: "_SharedReader"

    def connect(self) -> None:
        """Open the connection."""
        super().connect()
        self._recent_ids = collections.deque(maxlen=MAX_RECENT_IDS)
        self._raw_reader = _SocketReader(self.sock)
        self._reader = _SharedReader(self._raw_reader)

    @property
    def deadline_at_ms(self) -> int | None:
        """Return when reads start to fail."""
        return self._raw_reader.deadline_at_ms

    @deadline_at_ms.setter
    def deadline_at_ms(self, deadline_at_ms: int | None) -> None:
        self._raw_reader.deadline_at_ms = deadline_at_ms

    def note_receive_times(self) -> None:
        """Let `received_wall_ms` be known from the next read on."""
        if not self._raw_reader.notes_times:
            self._raw_reader.notes_times = True
            self.sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)

    @property
    def received_wall_ms(self) -> int | None:
        """Return the Unix time when the kernel received what was read last.

        It is None if the kernel doesn't tell.
        """
        return self._raw_reader.received_wall_ms

    def limit_reads(self, max_bytes: int | None) -> None:
        """Let reads fail after so many more bytes; with None, never."""
        self._raw_reader.remaining_bytes = max_bytes

    def limit_waits(self, max_wait_ms: int) -> None:
        """Let each read that begins from now on wait that long at most."""
        self._raw_reader.max_wait_ms = max_wait_ms

    def request(self, *args: Any, **options: Any) -> None:
        """Send a request; arguments and errors are those of urllib3."""
        self.request_count += 1
        if self.answer_id is not None:
            self._recent_ids.append(hash(self.answer_id.value))
        super().request(*args, **options)

    def has_sent(self, answer_id: str | None) -> bool:
        """Return whether a request with this id may have been sent here lately.

        Two ids may have the same hash.
        """
        return answer_id is not None and hash(answer_id) in self._recent_ids

    def check_reusable(self) -> bool:
        """Return whether another request may be sent; reset the timeouts.

        Call it after the last response was read completely. It is False if the
        server closes the connection or has sent more than that response.
        """
        if self._is_last_response or self.sock is None:
            return False
        try:
            self.deadline_at_ms = None
            self.limit_reads(None)
            self.sock.settimeout(0)
            has_more = bool(self._reader.peek(1))
        except OSError:
            return False
        return not has_more and not self._raw_reader.at_end

    # Called by `getresponse` of http.client in place of the class attribute.
    def response_class(  # type: ignore[override]
        self, _: socket.socket, debuglevel: int = 0, method: str | None = None
    ) -> http.client.HTTPResponse:
        """Return the response to the last request, with its head read.

        Raises:
            UnidentifiedResponse: A response without an id arrived and could be
                one to an earlier request, or too much had to be skipped.
            http.client.HTTPException: The head of a response is malformed.
            OSError: The connection failed.
        """
        for _attempt in range(MAX_SKIPPED_RESPONSES + 1):
            response = _Response(
                self._reader, self._raw_reader, debuglevel, method
            )
            self._raw_reader.end_is_error = False
            self._raw_reader.ends_response = False
            self.limit_reads(MAX_HEAD_BYTES)
            response.begin()
            if self._raw_reader.at_end:
                # http.client takes the end of the connection for the end of
                # the headers.
                raise http.client.IncompleteRead(b"")
            _check_head(response)
            # Not `response.chunked`: http.client and urllib3 differ about
            # spaces at the end of the value.
            self._raw_reader.end_is_error = (
                "Transfer-Encoding" in response.headers
            )
            self._raw_reader.ends_response = (
                response.length is None and not self._raw_reader.end_is_error
            )
            self.limit_reads(None)
            if self._is_expected(response):
                # A late response to HEAD has no body, which the next request's
                # method doesn't tell.
                self._is_last_response = response.will_close or method == "HEAD"
                # http.client would close the socket now, and leave the rest of
                # the response to a buffer of its own.
                response.will_close = False
                return response
            self._skip(response)
        raise UnidentifiedResponse(
            f"more than {MAX_SKIPPED_RESPONSES} responses to other requests"
        )

    def _skip(self, response: http.client.HTTPResponse) -> None:
        """Read and drop a response to another request.

        Raises:
            UnidentifiedResponse: Its end is unknown, far away or late.
        """
        deadline_at_ms, timeout_s = self.deadline_at_ms, self.sock.gettimeout()
        skipped_by_ms = clock.monotonic_ms() + SKIP_TIMEOUT_MS
        self.deadline_at_ms = min(
            deadline_at_ms or skipped_by_ms, skipped_by_ms
        )
        self.limit_reads(MAX_SKIPPED_BYTES + MAX_LINE_BYTES)
        try:
            _skip_body(response)
        except TimeoutError as error:
            raise UnidentifiedResponse(
                "the response to another request does not end"
            ) from error
        finally:
            self.deadline_at_ms = deadline_at_ms
            self.sock.settimeout(timeout_s)

    def _is_expected(self, response: http.client.HTTPResponse) -> bool:
        """Return whether a response is the final one to the last request.

        Raises:
            UnidentifiedResponse: It can't be told which request it answers, or
                it names a request that was not sent on this connection.
        """
        if response.status < FIRST_FINAL_STATUS:
            return False
        if self.answer_id is None:
            return True
        value = response.headers.get(self.answer_id.header)
        if value == self.answer_id.value:
            return True
        self.answer_id.on_mismatch(response)
        if self.request_count == 1:
            # Nothing else was requested here, so no other response will come.
            if value is None:
                return True
            raise UnidentifiedResponse(
                "the response names a request of another connection"
            )
        if value is None:
            raise UnidentifiedResponse("the response names no request")
        return False


@final
class _Response(http.client.HTTPResponse):
    """Response whose heads, also that of an interim one, start as such."""

    def __init__(
        self,
        reader: "_SharedReader",
        raw_reader: "_SocketReader",
        debuglevel: int,
        method: str | None,
    ) -> None:
        super().__init__(_as_socket(reader), debuglevel, method)
        self._reader = reader
        self._raw_reader = raw_reader

    def _read_status(self) -> tuple[str, int, str]:
        """Return the parsed status line.

        `begin` calls this for each interim response too. http.client waits for
        the end of the first line before it looks at it.

        Raises:
            http.client.HTTPException: The first line is no status line.
            OSError: The connection failed.
        """
        start = self._reader.peek(1)[: len(HTTP_NAME)]
        if not HTTP_NAME.startswith(start):
            raise http.client.BadStatusLine(repr(start))
        self._raw_reader.note_start()
        line = self._reader.readline()
        if not line:
            raise http.client.RemoteDisconnected(
                "the connection ended without a response"
            )
        parts = STATUS_LINE.fullmatch(line)
        if parts is None:
            raise http.client.BadStatusLine(repr(line[:MAX_LOGGED_BYTES]))
        version, status, reason = parts.groups(default=b"")
        return version.decode(), int(status), reason.decode("iso-8859-1")


@final
class _SocketReader(io.RawIOBase):
    """Reads a socket, until a deadline or a limit if there is one.

    Reads fail after `remaining_bytes` more bytes, and each waits at most
    `max_wait_ms`, unless that is None.

    `at_end` is set once the peer has closed the connection. The read that finds
    this fails if `end_is_error` is set, since http.client takes a chunk size
    that is cut after a zero for the last chunk. With `ends_response`, it fails
    if the end may not be that of a complete response.
    """

    def __init__(self, source: socket.socket) -> None:
        super().__init__()
        self._socket = source
        self.deadline_at_ms: int | None = None
        self.at_end = False
        self.end_is_error = False
        self.ends_response = False
        self._began_early = False
        self.remaining_bytes: int | None = None
        self.max_wait_ms: int | None = None
        self.notes_times = False
        self.received_wall_ms: int | None = None

    def readable(self) -> bool:
        """Return True: this is a reader."""
        return True

    def note_start(self) -> None:
        """Note whether a response begins before its request was taken."""
        self._began_early = bool(
            connection_end.unacknowledged_bytes(self._socket)
        )

    def readinto(self, buffer: Any) -> int | None:
        """Read into `buffer`; return None if a non-blocking read has no data.

        Raises:
            OSError: The connection failed or ended too early, or a timeout
                passed.
            ResponseTooLong: More bytes arrived than the limit allows.
        """
        if self.deadline_at_ms is not None:
            self._set_timeout(self.deadline_at_ms)
        if self.max_wait_ms is not None:
            self._socket.settimeout(self.max_wait_ms / MS_PER_S)
        try:
            count = self._receive(buffer)
        except BlockingIOError:
            return None
        self.at_end = count == 0
        if self.at_end and self.end_is_error:
            raise ConnectionError("the connection ended within a response")
        if self.at_end and self.ends_response:
            connection_end.check_end(
                self._socket,
                began_early=self._began_early,
                deadline_at_ms=self.deadline_at_ms,
            )
        if self.remaining_bytes is not None:
            self.remaining_bytes -= count
            if self.remaining_bytes < 0:
                raise ResponseTooLong(
                    "the response does not end within its limit"
                )
        return count

    def _receive(self, buffer: Any) -> int:
        if not self.notes_times:
            return self._socket.recv_into(buffer)
        count, ancillary, _, _ = self._socket.recvmsg_into(
            [buffer], ANCILLARY_BYTES
        )
        self.received_wall_ms = None
        for _, kind, data in ancillary:
            if kind == SO_TIMESTAMPNS and len(data) == TIMESPEC.size:
                seconds, nanoseconds = TIMESPEC.unpack(data)
                self.received_wall_ms = (
                    seconds * MS_PER_S + nanoseconds // NS_PER_MS
                )
        return count

    def _set_timeout(self, deadline_at_ms: int) -> None:
        remaining_ms = deadline_at_ms - clock.monotonic_ms()
        if remaining_ms <= 0:
            raise TimeoutError("the deadline passed")
        timeout_s = self._socket.gettimeout()
        timeout_ms = timeout_s * MS_PER_S if timeout_s else 0
        if not remaining_ms <= timeout_ms <= remaining_ms + MAX_OVERRUN_MS:
            self._socket.settimeout(remaining_ms / MS_PER_S)


class _SharedReader(io.BufferedReader):
    """Buffered reader that stays open when a response closes it."""

    def makefile(self, *_: object) -> "_SharedReader":
        """Return this reader, where http.client opens one of a socket."""
        return self

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return a line; one without a `size` has at most `MAX_LINE_BYTES`.

        urllib3 reads chunk sizes and trailers without a size.
        """
        if size is not None and size >= 0:
            return super().readline(size)
        line = super().readline(MAX_LINE_BYTES + 1)
        if len(line) > MAX_LINE_BYTES:
            raise ResponseTooLong(f"a line of over {MAX_LINE_BYTES} bytes")
        return line

    def close(self) -> None:
        """Do nothing: the reader serves all responses of a connection."""


def _as_socket(reader: _SharedReader) -> Any:
    # http.client only calls `makefile` of the socket.
    return reader


def _check_head(response: http.client.HTTPResponse) -> None:
    """Reject a head that http.client reads only in part, or that is two.

    Raises:
        http.client.HTTPException: A line is no header, a line contains another
            status line, or the length of the body is unclear.
    """
    values = [response.reason, *response.headers.values()]
    if any(STATUS_LINE_START.search(value) for value in values):
        raise http.client.HTTPException(
            "the head of the response begins within another one"
        )
    lengths = set(response.headers.get_all("Content-Length", []))
    encodings = response.headers.get_all("Transfer-Encoding", [])
    is_malformed = (
        # What follows a malformed line is the payload of the parsed headers.
        bool(response.headers.defects or response.headers.get_payload())
        or len(lengths) > 1
        or not all(length.strip().isdecimal() for length in lengths)
        or [e.strip().lower() for e in encodings] not in ([], ["chunked"])
    )
    if is_malformed:
        raise http.client.HTTPException("the head of the response is malformed")


def _skip_body(response: http.client.HTTPResponse) -> None:
    """Read and drop the body of a response to an earlier request.

    Raises:
        UnidentifiedResponse: It has no end before that of the connection, is
            larger than `MAX_SKIPPED_BYTES`, or contains a status line: a late
            head without its body takes the next response for that body.
    """
    if response.length is None and not response.chunked:
        raise UnidentifiedResponse(
            "the response to another request has no length"
        )
    skipped_bytes = 0
    tail = b""
    while data := response.read(CHUNK_BYTES):
        skipped_bytes += len(data)
        if BODY_STATUS_LINE.search(tail + data):
            raise UnidentifiedResponse(
                "another response begins within the body of one"
            )
        tail = data[-STATUS_LINE_BYTES:]
        if skipped_bytes > MAX_SKIPPED_BYTES:
            raise UnidentifiedResponse(
                "the response to another request has more than"
                f" {MAX_SKIPPED_BYTES} bytes"
            )
