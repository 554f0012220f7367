"""Idle connections to runners or agents, reused while nothing is unread."""

from collections import defaultdict
import contextlib
import dataclasses
import socket
import threading
from typing import final

import urllib3.connection
import urllib3.connectionpool

from wisteriawall import clock

__all__ = ["ConnectionPool"]

CONNECT_TIMEOUT_S = 2.0
MAX_IDLE_PER_ADDRESS = 32
# Unacknowledged bytes end a connection after this long, so that a peer that
# vanished without a reset is noticed.
UNACKNOWLEDGED_MS = 3_000
KEEPALIVE_S = 1
KEEPALIVE_PROBES = 3
FOREVER_MS = 1 << 62

SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
]


@final
@dataclasses.dataclass(slots=True)
class _Idle:
    """A connection that waits for its next request."""

    connection: urllib3.connection.HTTPConnection
    since_ms: int
    until_ms: int


@final
class ConnectionPool:
    """Keep idle connections by address.

    Args:
        connect_timeout_s: Time that a new connection may take.
    """

    def __init__(self, *, connect_timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._lock = threading.Lock()
        self._closed = False
        self._idle_by_address: defaultdict[str, list[_Idle]] = defaultdict(list)

    def take(
        self,
        address: str,
        *,
        fresh: bool,
        max_idle_ms: int = FOREVER_MS,
    ) -> urllib3.connection.HTTPConnection:
        """Return a connected connection; `fresh` makes it a new one.

        One that has been idle for `max_idle_ms` is not reused: its peer may
        drop it at the moment it is used.

        Raises:
            urllib3.exceptions.HTTPError: Nothing listens at `address`.
        """
        while not fresh:
            idle = self._pop(address)
            if idle is None:
                break
            now_ms = clock.monotonic_ms()
            recent = now_ms - idle.since_ms <= max_idle_ms
            # Not connected also when bytes wait to be read: those belong to
            # an earlier answer.
            usable = recent and now_ms < idle.until_ms
            if usable and idle.connection.is_connected:
                return idle.connection
            idle.connection.close()
        host, _, port = address.rpartition(":")
        connection = urllib3.connection.HTTPConnection(
            host,
            int(port),
            timeout=self._connect_timeout_s,
            socket_options=SOCKET_OPTIONS,
        )
        connection.connect()
        return connection

    def give_back(
        self,
        address: str,
        connection: urllib3.connection.HTTPConnection,
        *,
        keep_ms: int = FOREVER_MS,
    ) -> None:
        """Keep a connection whose answer was read to its end."""
        now_ms = clock.monotonic_ms()
        with self._lock:
            idle = self._idle_by_address[address]
            if not self._closed and len(idle) < MAX_IDLE_PER_ADDRESS:
                idle.append(_Idle(connection, now_ms, now_ms + keep_ms))
                return
        connection.close()

    def forget(self, addresses: set[str]) -> None:
        """Close the idle connections to every other address."""
        with self._lock:
            gone = [
                idle
                for address in set(self._idle_by_address) - addresses
                for idle in self._idle_by_address.pop(address)
            ]
        for idle in gone:
            idle.connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        with self._lock:
            self._closed = True
        self.forget(set())

    def _pop(self, address: str) -> _Idle | None:
        with self._lock:
            idle = self._idle_by_address.get(address)
            with contextlib.suppress(IndexError):
                return idle.pop() if idle is not None else None
        return None
