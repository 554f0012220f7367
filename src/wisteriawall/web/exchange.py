"""One request to a runner and its answer; any thread may cancel it."""

from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import socket
import threading
from typing import final

import urllib3
import urllib3.util

from wisteriawall import errors
from wisteriawall.web import connections

__all__ = ["Broken", "Exchange", "Unreachable"]

CHUNK_BYTES = 64 * 1024
MS_PER_S = 1_000
# A connection is not reused in the last part of the time its peer promised.
KEEP_MARGIN_MS = 1_000
SKIPPED = {
    name: urllib3.util.SKIP_HEADER
    for name in ("User-Agent", "Accept-Encoding", "Host")
}


@final
class Unreachable(errors.WisteriawallError):
    """No connection was made, so nothing was sent."""


@final
class Broken(errors.WisteriawallError):
    """The exchange ended before the whole answer had arrived.

    `timed_out` tells that the answer did not come in time.
    """

    def __init__(self, message: str, *, timed_out: bool = False) -> None:
        super().__init__(message)
        self.timed_out = timed_out


@final
class Exchange:
    """Send one request; read its answer.

    Args:
        pool: Where connections come from and go back to.
    """

    def __init__(self, pool: connections.ConnectionPool) -> None:
        self._pool = pool
        self._lock = threading.Lock()
        self._address = ""
        self._socket: socket.socket | None = None
        self._connection: urllib3.connection.HTTPConnection | None = None
        self._response: urllib3.BaseHTTPResponse | None = None
        self._cancelled = False

    def open(
        self,
        address: str,
        *,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes | None,
        timeout_s: float,
        fresh: bool = False,
        max_idle_ms: int = connections.FOREVER_MS,
    ) -> urllib3.BaseHTTPResponse:
        """Send the request and return its answer once the head has come.

        Args:
            address: Host and port of the runner.
            method: Method, sent as it is.
            target: Path and query, sent as they are.
            headers: Every header to send, `Host` included.
            body: Body, None for a request without one.
            timeout_s: Longest wait for the head and between two reads.
            fresh: Whether to use a new connection.
            max_idle_ms: Longest idle time of a connection to reuse.

        Raises:
            Unreachable: Nothing was sent.
            Broken: No whole head came.
        """
        connection = self._connect(
            address, fresh=fresh, max_idle_ms=max_idle_ms
        )
        self.set_timeout(timeout_s)
        connection.timeout = timeout_s
        skipped = {k: v for k, v in SKIPPED.items() if k not in headers}
        try:
            connection.request(
                method,
                target,
                body=body,
                headers={**skipped, **headers},
                preload_content=False,
                decode_content=False,
                enforce_content_length=True,
            )
            self._response = connection.getresponse()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise _broken(error) from error
        return self._response

    def set_timeout(self, seconds: float) -> None:
        """Bound every wait from here on."""
        if self._socket is not None:
            with contextlib.suppress(OSError):
                self._socket.settimeout(max(0.001, seconds))

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives.

        Raises:
            Broken: The body stopped before its end.
        """
        assert self._response is not None
        try:
            if getattr(self._response, "chunked", False):
                yield from self._response.stream(
                    CHUNK_BYTES, decode_content=False
                )
            else:
                while data := self._response.read1(
                    CHUNK_BYTES, decode_content=False
                ):
                    yield data
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            raise _broken(error) from error

    def release(self) -> None:
        """Keep the connection: its answer was read to the end."""
        with self._lock:
            connection, self._connection = self._connection, None
            self._socket = None
        if connection is None:
            return
        keep_ms = _keep_ms(self._response)
        if self._cancelled or not keep_ms or not connection.is_connected:
            connection.close()
            return
        self._pool.give_back(self._address, connection, keep_ms=keep_ms)

    def cancel(self) -> None:
        """Break the connection, which wakes the thread that reads it."""
        with self._lock:
            self._cancelled = True
            if self._socket is not None:
                with contextlib.suppress(OSError):
                    self._socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Drop the connection unless it was released."""
        with self._lock:
            self._socket = None
            connection, self._connection = self._connection, None
        if connection is not None:
            if self._response is not None:
                self._response.close()
            connection.close()

    def _connect(
        self, address: str, *, fresh: bool, max_idle_ms: int
    ) -> urllib3.connection.HTTPConnection:
        self._address = address
        try:
            connection = self._pool.take(
                address, fresh=fresh, max_idle_ms=max_idle_ms
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


def _broken(error: Exception) -> Broken:
    timed_out = isinstance(
        error, (TimeoutError, urllib3.exceptions.ReadTimeoutError)
    )
    return Broken(f"{type(error).__name__}: {error}", timed_out=timed_out)


def _keep_ms(response: urllib3.BaseHTTPResponse | None) -> int:
    """Return how long the peer keeps the connection; 0 if it does not."""
    if response is None:
        return 0
    if "close" in response.headers.get("Connection", "").lower():
        return 0
    framed = "Content-Length" in response.headers or getattr(
        response, "chunked", False
    )
    if not framed:
        return 0
    for field in response.headers.get("Keep-Alive", "").split(","):
        name, _, value = field.strip().partition("=")
        if name.lower() == "timeout" and value.isdecimal():
            return max(1, int(value) * MS_PER_S - KEEP_MARGIN_MS)
    return connections.FOREVER_MS
