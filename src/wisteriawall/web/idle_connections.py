"""Connections of the HTTP server that wait for their next request."""

from collections.abc import Callable
import selectors
import socket
import threading
import time
from typing import Any
from typing import final

from cheroot import connections

__all__ = ["IdleConnections"]

# Bound on the connections that are accepted while stopping.
MAX_PENDING_CONNECTIONS = 512


@final
class IdleConnections(connections.ConnectionManager):
    """Accepts connections, and waits for requests on those that are idle.

    Unlike cheroot's it refuses requests that arrive just before it is closed,
    and closes connections that are put back after that. Idle times are measured
    on the monotonic clock.

    Args:
        server: The server that owns the connections.
    """

    _selector: Any
    _from_server_socket: Callable[[socket.socket], Any]

    def __init__(self, server: Any) -> None:
        super().__init__(server)
        self._lock = threading.Lock()
        self._closed = False

    def put(self, conn: Any) -> None:
        """Wait for the next request of a connection."""
        conn.last_used = time.monotonic()
        with self._lock:
            closed = self._closed
            has_request = conn.rfile.has_data()
            if not closed and not has_request:
                self._selector.register(
                    conn.socket.fileno(), selectors.EVENT_READ, data=conn
                )
        if closed:
            conn.close_unserved()
        elif has_request:
            self.server.process_conn(conn)

    def close(self) -> None:
        """Refuse requests that have arrived, and close all connections."""
        with self._lock:
            self._closed = True
            idle = [
                conn
                for _, conn in self._selector.connections
                if conn is not self.server
            ]
            self._selector.close()
        for conn in idle:
            conn.close_unserved()

    def stop(self) -> None:
        """Stop accepting; refuse what waits to be accepted."""
        super().stop()
        self.server.socket.setblocking(False)
        for _ in range(MAX_PENDING_CONNECTIONS):
            conn = self._from_server_socket(self.server.socket)
            if conn is None:
                return
            conn.close_unserved()

    def _expire(self, threshold: float) -> None:
        """Close connections that are idle for longer than the timeout.

        `threshold` is on the wall clock, which may jump, and is not used.
        """
        del threshold
        idle_since_s = time.monotonic() - self.server.timeout
        expired = [
            (fd, conn)
            for fd, conn in self._selector.connections
            if conn is not self.server and conn.last_used < idle_since_s
        ]
        for fd, conn in expired:
            self._selector.unregister(fd)
            conn.close_idle()
