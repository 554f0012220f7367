"""One HTTP request to a runner and its response."""

import array
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import fcntl
import http.client
import re
import socket
import struct
import termios
import threading
from typing import final

import urllib3
import urllib3.util

from wisteriawall import clock
from wisteriawall import errors
from wisteriawall.web import connection_pool
from wisteriawall.web import runner_connection

__all__ = [
    "Broken",
    "HttpExchange",
    "NotSent",
    "Unreachable",
    "quiet_ms",
    "unread_bytes",
]

CHUNK_BYTES = 64 * 1024
# Each chunk costs the same, however small it is.
TINY_CHUNK_BYTES = 64
# Bytes read for one chunk, with chunk sizes and trailers.
MAX_READ_BYTES = 256 * 1024
# A longer number means no limit.
KEEP_ALIVE_SECONDS = re.compile(r"[0-9]{1,9}", re.ASCII)
MS_PER_S = 1_000
# A connection is reused only up to this long before the peer's keep-alive
# timeout, so that the peer does not close it just as it is used.
KEEP_ALIVE_MARGIN_MS = 1_000
# Linux's `tcp_info` up to the field with the milliseconds since the last data.
TCP_INFO = struct.Struct("8B12I")
# State of a connection whose peer has ended its sending side.
TCP_CLOSE_WAIT = 8
# Wait for what the server's host sends once there is room for it. Linux sends a
# packet that was lost again after 200 ms at the earliest.
REST_WAIT_MS = 250
# Headers that urllib3 adds unless told otherwise.
SUPPRESSED_HEADERS = {
    name: urllib3.util.SKIP_HEADER
    for name in ("User-Agent", "Accept-Encoding", "Host")
}


@final
class Unreachable(errors.WisteriawallError):
    """No connection could be opened, so nothing was sent."""


@final
class NotSent(errors.WisteriawallError):
    """The request became too late to send while a connection was opened."""


@final
class Broken(errors.WisteriawallError):
    """The exchange ended before a complete, valid response had arrived.

    Args:
        message: What failed.
        timed_out: Whether a wait for the response exceeded its timeout.
        cut_off: Whether the server ended the connection.
    """

    def __init__(
        self, message: str, *, timed_out: bool = False, cut_off: bool = False
    ) -> None:
        super().__init__(message)
        self.timed_out = timed_out
        self.cut_off = cut_off


@final
class HttpExchange:
    """One HTTP request and its response, for a single use.

    `cancel` may be called in any thread, the other methods in one thread.

    Args:
        pool: Pool that connections are taken from and returned to.
    """

    def __init__(self, pool: connection_pool.ConnectionPool) -> None:
        self._pool = pool
        self._lock = threading.Lock()
        self._address = ""
        self._socket: socket.socket | None = None
        self._connection: runner_connection.RunnerConnection | None = None
        self._response: urllib3.BaseHTTPResponse | None = None
        self._cancelled = False
        self._receives_no_more = False
        self._is_sent = False
        self._sent_ms = 0
        self._whole_ms: int | None = None

    @property
    def is_whole(self) -> bool:
        """Whether the response was read to its end."""
        return self._whole_ms is not None

    def received(self) -> tuple[int | None, int]:
        """Return how long ago bytes last arrived, and how many are unread.

        The first is in ms, and None without a connection. It may be called in
        any thread.
        """
        if self._whole_ms is not None:
            return clock.monotonic_ms() - self._whole_ms, 0
        with self._lock:
            if self._socket is None:
                return None, 0
            with contextlib.suppress(OSError):
                return quiet_ms(self._socket), unread_bytes(self._socket)
        return None, 0

    @property
    def sent_ms(self) -> int:
        """Return when the request was sent on the open connection."""
        return self._sent_ms

    @property
    def received_wall_ms(self) -> int | None:
        """Return the Unix time when the last part that was read arrived.

        It is None if the kernel doesn't tell, or `send` didn't ask for it.
        """
        return self._connection.received_wall_ms if self._connection else None

    @property
    def connection_requests(self) -> int:
        """Return the number of requests sent on the connection so far."""
        return self._connection.request_count if self._connection else 0

    def send(
        self,
        address: str,
        *,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes | None,
        timeout_s: float,
        deadline_at_ms: int | None = None,
        send_by_ms: int | None = None,
        force_new: bool = False,
        max_idle_ms: int = connection_pool.NO_LIMIT_MS,
        answer_id: runner_connection.AnswerId | None = None,
        notes_times: bool = False,
    ) -> urllib3.BaseHTTPResponse:
        """Send the request; return the response once its headers are read.

        Responses to earlier requests on the connection are skipped.

        Args:
            address: Host and port of the runner.
            method: HTTP method, sent unchanged.
            target: Path and query, sent unchanged.
            headers: All headers to send, including `Host`.
            body: Request body; None sends none.
            timeout_s: Longest wait for the headers and for each later read.
            deadline_at_ms: When the whole response must have arrived, on the
                monotonic clock; None for no limit.
            send_by_ms: When the request must not be sent any more, on the
                monotonic clock; None for no limit.
            force_new: Whether to open a new connection instead of an idle one.
            max_idle_ms: Longest idle time of a connection to reuse.
            answer_id: Id by which the response names this request; None if the
                server's responses have none.
            notes_times: Whether `received_wall_ms` is wanted.

        Raises:
            Unreachable: No connection was opened, so nothing was sent.
            NotSent: It was `send_by_ms` before the request was sent.
            Broken: The response headers did not arrive completely, are
                malformed, or may belong to another request.
        """
        connection = self._connect(
            address,
            force_new=force_new,
            max_idle_ms=max_idle_ms,
            answer_id=answer_id,
        )
        connection.deadline_at_ms = deadline_at_ms
        connection.timeout = timeout_s
        connection.sock.settimeout(timeout_s)
        suppressed = {
            name: marker
            for name, marker in SUPPRESSED_HEADERS.items()
            if name not in headers
        }
        connection.answer_id = answer_id
        if notes_times:
            connection.note_receive_times()
        # Last, as the process may have been paused since the call.
        self._sent_ms = clock.monotonic_ms()
        if send_by_ms is not None and self._sent_ms >= send_by_ms:
            raise NotSent(f"{address}: the time to send the request is over")
        try:
            connection.request(
                method,
                target,
                body=body,
                headers={**suppressed, **headers},
                preload_content=False,
                decode_content=False,
                enforce_content_length=True,
            )
            with self._lock:
                self._is_sent = True
            self._response = connection.getresponse()
        except runner_connection.EXCHANGE_ERRORS as error:
            raise _broken_error(error) from error
        return self._response

    def body_chunks(
        self,
        *,
        max_bytes: int | None = None,
        max_tiny_chunks: int | None = None,
    ) -> Iterator[bytes]:
        """Yield the response body as it arrives.

        Args:
            max_bytes: Maximum size of the body; None for no limit.
            max_tiny_chunks: Maximum number of chunks of less than
                `TINY_CHUNK_BYTES`; None for no limit.

        Raises:
            Broken: The body ended early, is too large or in too many pieces, or
                has chunk sizes or trailers that don't end.
        """
        assert self._response is not None
        total_bytes = 0
        tiny_chunks = 0
        chunks = self._raw_chunks()
        try:
            while data := self._next_chunk(chunks):
                total_bytes += len(data)
                if max_bytes is not None and total_bytes > max_bytes:
                    raise Broken(f"a body of over {max_bytes} bytes")
                tiny_chunks += len(data) < TINY_CHUNK_BYTES
                if max_tiny_chunks is not None and (
                    tiny_chunks > max_tiny_chunks
                ):
                    raise Broken(f"a body in over {max_tiny_chunks} pieces")
                yield data
        except runner_connection.EXCHANGE_ERRORS as error:
            raise _broken_error(error) from error
        if self._cancelled or (self._receives_no_more and not self._has_end()):
            # To a response without a length, the shutdown looks like its end.
            raise Broken("cancelled")

    def _raw_chunks(self) -> Iterator[bytes]:
        assert self._response is not None
        if getattr(self._response, "chunked", False):
            yield from self._response.stream(CHUNK_BYTES, decode_content=False)
            return
        while data := self._response.read1(CHUNK_BYTES, decode_content=False):
            yield data

    def _next_chunk(self, chunks: Iterator[bytes]) -> bytes:
        """Return the next chunk, empty at the end."""
        connection = self._connection
        if connection is not None:
            connection.limit_reads(MAX_READ_BYTES)
        return next(chunks, b"")

    def discard_body(self, *, max_bytes: int, timeout_ms: int) -> None:
        """Read the rest of the response, so that its connection can be reused.

        The connection is closed if the rest is too large, late or malformed.
        """
        connection = self._connection
        if connection is None:
            return
        until_ms = clock.monotonic_ms() + timeout_ms
        connection.deadline_at_ms = min(
            connection.deadline_at_ms or until_ms, until_ms
        )
        try:
            for _ in self.body_chunks(max_bytes=max_bytes):
                pass
        except Broken:
            self.close()
        else:
            self.release()

    def release(self) -> None:
        """Return the connection to the pool after the complete response.

        Closes it instead if it can't be reused.
        """
        self._whole_ms = clock.monotonic_ms()
        with self._lock:
            connection, self._connection = self._connection, None
            self._socket = None
        if connection is None:
            return
        keep_alive_ms = _keep_alive_ms(self._response)
        if self._cancelled or self._receives_no_more or not keep_alive_ms:
            connection.close()
            return
        self._pool.release(
            self._address, connection, keep_alive_ms=keep_alive_ms
        )

    def cancel(self) -> None:
        """Shut the connection down, which unblocks a thread reading from it."""
        with self._lock:
            self._cancelled = True
            self._shut_down(socket.SHUT_RDWR)

    def receive_no_more(self) -> None:
        """Let reads wait for the server no more, from any thread.

        What has arrived at this host can still be read, up to the end of the
        response if that is there. It is `Broken` otherwise. A request that is
        not sent yet is cancelled.
        """
        with self._lock:
            if not self._is_sent:
                self._cancelled = True
                self._shut_down(socket.SHUT_RDWR)
                return
            self._receives_no_more = True
            if self._connection is not None and self._has_unread_bytes():
                # The rest may wait at its sender until these are read.
                self._connection.limit_waits(REST_WAIT_MS)
            else:
                # Linux returns what has arrived before it reports the end.
                self._shut_down(socket.SHUT_RD)

    def _has_unread_bytes(self) -> bool:
        try:
            return self._socket is not None and bool(unread_bytes(self._socket))
        except OSError:
            return False

    def _shut_down(self, how: int) -> None:
        if self._socket is not None:
            with contextlib.suppress(OSError):
                self._socket.shutdown(how)

    def _has_end(self) -> bool:
        """Return whether the response that was read ended by itself."""
        response = self._response
        assert response is not None
        if getattr(response, "chunked", False) or (
            getattr(response, "length_remaining", None) is not None
        ):
            # An early end was an error.
            return True
        with self._lock:
            return self._socket is not None and _was_closed_by_peer(
                self._socket
            )

    def close(self) -> None:
        """Close the connection unless it was released."""
        with self._lock:
            self._socket = None
            connection, self._connection = self._connection, None
        if connection is not None:
            if self._response is not None:
                self._response.close()
            connection.close()

    def _connect(
        self,
        address: str,
        *,
        force_new: bool,
        max_idle_ms: int,
        answer_id: runner_connection.AnswerId | None,
    ) -> runner_connection.RunnerConnection:
        self._address = address
        try:
            connection = self._pool.acquire(
                address,
                force_new=force_new,
                max_idle_ms=max_idle_ms,
                answer_id=answer_id.value if answer_id else None,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise Unreachable(f"{address}: {type(error).__name__}") from error
        with self._lock:
            self._connection = connection
            self._socket = connection.sock
            cancelled = self._cancelled
        if cancelled:
            raise Unreachable(f"{address}: cancelled")
        return connection


def quiet_ms(connection: socket.socket) -> int | None:
    """Return how long ago the kernel last received data, None if unknown."""
    info = connection.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size
    )
    if len(info) < TCP_INFO.size:
        return None
    last_data_received_ms: int = TCP_INFO.unpack(info)[-1]
    return last_data_received_ms


def unread_bytes(connection: socket.socket) -> int:
    """Return how many bytes wait in the kernel to be read."""
    count = array.array("i", [0])
    fcntl.ioctl(connection, termios.FIONREAD, count)
    return count[0]


def _was_closed_by_peer(connection: socket.socket) -> bool:
    """Return whether all was read that the peer sent before it closed."""
    try:
        (state,) = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return state == TCP_CLOSE_WAIT and not connection.recv(
            1, socket.MSG_PEEK | socket.MSG_DONTWAIT
        )
    except OSError:
        return False


def _broken_error(error: Exception) -> Broken:
    timed_out = isinstance(
        error, (TimeoutError, urllib3.exceptions.ReadTimeoutError)
    )
    return Broken(
        f"{type(error).__name__}: {error}",
        timed_out=timed_out,
        cut_off=_is_cut_off(error),
    )


def _is_cut_off(error: Exception) -> bool:
    """Return whether the server ended or reset the connection."""
    match error:
        case ConnectionError() | http.client.IncompleteRead():
            return True
        case urllib3.exceptions.ProtocolError(args=(_, Exception() as cause)):
            return _is_cut_off(cause)
        case _:
            return False


def _keep_alive_ms(response: urllib3.BaseHTTPResponse | None) -> int:
    """Return for how long the connection may be reused; 0 if not at all."""
    if response is None:
        return 0
    if "close" in response.headers.get("Connection", "").lower():
        return 0
    has_known_end = "Content-Length" in response.headers or getattr(
        response, "chunked", False
    )
    if not has_known_end:
        return 0
    for parameter in response.headers.get("Keep-Alive", "").split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout" and KEEP_ALIVE_SECONDS.fullmatch(value):
            return max(1, int(value) * MS_PER_S - KEEP_ALIVE_MARGIN_MS)
    return connection_pool.NO_LIMIT_MS
