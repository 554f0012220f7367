"""Watch callers' connections: hang-ups, and deadlines for reading requests."""

from collections.abc import Callable
import contextlib
import select
import socket
import threading
import time
from typing import final

__all__ = ["ConnectionWatch"]

POLL_S = 0.25
HANGUP = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


@final
class ConnectionWatch:
    """One thread that watches every connection of a server."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._epoll = select.epoll()
        self._on_hangup_by_fd: dict[int, Callable[[], None]] = {}
        self._deadline_by_socket: dict[socket.socket, float] = {}
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, name="watch", daemon=True
        )

    def start(self) -> None:
        """Start watching."""
        self._thread.start()

    def stop(self) -> None:
        """Stop watching."""
        self._stopped = True
        if self._thread.is_alive():
            self._thread.join(timeout=5.0)
        self._epoll.close()

    def set_deadline(
        self, connection: socket.socket, *, seconds: float
    ) -> None:
        """End reading from `connection` unless cleared within `seconds`."""
        with self._lock:
            self._deadline_by_socket[connection] = time.monotonic() + seconds

    def clear_deadline(self, connection: socket.socket) -> None:
        """Let reading from `connection` take its time."""
        with self._lock:
            self._deadline_by_socket.pop(connection, None)

    def on_hangup(
        self, connection: socket.socket, callback: Callable[[], None]
    ) -> None:
        """Call `callback` once when the other side closes or resets."""
        number = connection.fileno()
        with self._lock:
            self._on_hangup_by_fd[number] = callback
            self._epoll.register(number, HANGUP | select.EPOLLONESHOT)

    def forget(self, connection: socket.socket) -> None:
        """Stop watching `connection`, before it is closed or reused."""
        with self._lock:
            self._deadline_by_socket.pop(connection, None)
            if self._on_hangup_by_fd.pop(connection.fileno(), None):
                with contextlib.suppress(OSError):
                    self._epoll.unregister(connection.fileno())

    @property
    def watched(self) -> int:
        """Return how many connections are watched."""
        return len(self._on_hangup_by_fd) + len(self._deadline_by_socket)

    def _run(self) -> None:
        while not self._stopped:
            for number, _ in self._epoll.poll(POLL_S):
                with self._lock:
                    callback = self._on_hangup_by_fd.get(number)
                if callback is not None:
                    callback()
            self._end_overdue()

    def _end_overdue(self) -> None:
        now = time.monotonic()
        with self._lock:
            overdue = [
                connection
                for connection, deadline in self._deadline_by_socket.items()
                if deadline <= now
            ]
            for connection in overdue:
                del self._deadline_by_socket[connection]
                # Its reader sees the end of input; the answer still goes out.
                with contextlib.suppress(OSError):
                    connection.shutdown(socket.SHUT_RD)
