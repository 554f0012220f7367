"""Idle connections to agents, reused only while nothing is unread on them."""

from collections import defaultdict
import threading
from typing import final

import urllib3.connection

__all__ = ["ConnectionPool"]

CONNECT_TIMEOUT_S = 2.0
MAX_IDLE_PER_ADDRESS = 32


@final
class ConnectionPool:
    """Keep idle connections by address."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._closed = False
        self._idle_by_address: defaultdict[
            str, list[urllib3.connection.HTTPConnection]
        ] = defaultdict(list)

    def take(
        self, address: str, *, fresh: bool
    ) -> urllib3.connection.HTTPConnection:
        """Return a connected connection; `fresh` makes it a new one.

        Raises:
            urllib3.exceptions.HTTPError: Nothing listens at `address`.
        """
        while not fresh:
            with self._lock:
                idle = self._idle_by_address[address]
                connection = idle.pop() if idle else None
            if connection is None:
                break
            # Not connected also when bytes wait to be read: those belong to
            # an earlier answer.
            if connection.is_connected:
                return connection
            connection.close()
        host, _, port = address.rpartition(":")
        connection = urllib3.connection.HTTPConnection(
            host, int(port), timeout=CONNECT_TIMEOUT_S
        )
        connection.connect()
        return connection

    def give_back(
        self, address: str, connection: urllib3.connection.HTTPConnection
    ) -> None:
        """Keep a connection whose answer was read to its end."""
        with self._lock:
            idle = self._idle_by_address[address]
            if not self._closed and len(idle) < MAX_IDLE_PER_ADDRESS:
                idle.append(connection)
                return
        connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        with self._lock:
            self._closed = True
            idle = [c for kept in self._idle_by_address.values() for c in kept]
            self._idle_by_address.clear()
        for connection in idle:
            connection.close()
