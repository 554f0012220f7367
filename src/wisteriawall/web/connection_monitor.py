"""Detect callers that disconnect or send their request too slowly."""

from collections.abc import Callable
import contextlib
import os
import select
import socket
import threading
import time
from typing import final

__all__ = ["ConnectionMonitor"]

# Longest delay until an expired read deadline is detected.
POLL_TIMEOUT_S = 0.25
DISCONNECT_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


@final
class ConnectionMonitor:
    """One thread that monitors the connections of a server.

    Each connection can have a callback for the caller's disconnect and a
    deadline for reading its request.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._epoll = select.epoll()
        self._wakeup = os.eventfd(0)
        self._epoll.register(self._wakeup, select.EPOLLIN)
        self._on_disconnect_by_fd: dict[int, Callable[[], None]] = {}
        self._deadline_s_by_socket: dict[socket.socket, float] = {}
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, name="monitor", daemon=True
        )

    def start(self) -> None:
        """Start the monitor thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the monitor thread; a second call has no effect."""
        with self._lock:
            if self._stopped:
                return
            self._stopped = True
        os.eventfd_write(self._wakeup, 1)
        if self._thread.is_alive():
            self._thread.join(timeout=5.0)
        self._epoll.close()
        os.close(self._wakeup)

    def set_read_deadline(
        self, connection: socket.socket, *, seconds: float
    ) -> None:
        """Shut down reading after `seconds`, unless cleared before."""
        with self._lock:
            self._deadline_s_by_socket[connection] = time.monotonic() + seconds

    def clear_read_deadline(self, connection: socket.socket) -> None:
        """Remove the read deadline of `connection`, if it has one."""
        with self._lock:
            self._deadline_s_by_socket.pop(connection, None)

    def on_disconnect(
        self, connection: socket.socket, callback: Callable[[], None]
    ) -> None:
        """Call `callback` once, in the monitor thread, on a close or reset."""
        fd = connection.fileno()
        with self._lock:
            self._on_disconnect_by_fd[fd] = callback
            self._epoll.register(fd, DISCONNECT_EVENTS | select.EPOLLONESHOT)

    def report_disconnect(self, connection: socket.socket) -> None:
        """Call the callback of `connection` as if the caller was gone."""
        with self._lock:
            callback = self._take_callback(connection.fileno())
        if callback is not None:
            callback()

    def stop_monitoring(self, connection: socket.socket) -> None:
        """Remove the read deadline and callback of `connection`.

        Must be called before the connection is closed or reused.
        """
        with self._lock:
            self._deadline_s_by_socket.pop(connection, None)
            self._take_callback(connection.fileno())

    @property
    def registration_count(self) -> int:
        """Return the number of callbacks and read deadlines that are set."""
        return len(self._on_disconnect_by_fd) + len(self._deadline_s_by_socket)

    def _run(self) -> None:
        while not self._stopped:
            for fd, _ in self._epoll.poll(POLL_TIMEOUT_S):
                with self._lock:
                    # Since the poll, the connection may have been closed and
                    # its descriptor given to another one.
                    callback = (
                        self._take_callback(fd)
                        if _is_disconnected(fd)
                        else None
                    )
                if callback is not None:
                    callback()
            self._shut_down_overdue_reads()

    def _take_callback(self, fd: int) -> Callable[[], None] | None:
        """Remove and return the callback of a connection, if it has one."""
        callback = self._on_disconnect_by_fd.pop(fd, None)
        if callback is not None:
            with contextlib.suppress(OSError):
                self._epoll.unregister(fd)
        return callback

    def _shut_down_overdue_reads(self) -> None:
        now_s = time.monotonic()
        with self._lock:
            overdue = [
                connection
                for connection, deadline_s in self._deadline_s_by_socket.items()
                if deadline_s <= now_s
            ]
            for connection in overdue:
                del self._deadline_s_by_socket[connection]
                # The reader sees the end of the input; a response can
                # still be sent.
                with contextlib.suppress(OSError):
                    connection.shutdown(socket.SHUT_RD)


def _is_disconnected(fd: int) -> bool:
    poll = select.poll()
    poll.register(fd, select.POLLRDHUP)
    # A closed descriptor is reported too; it has no callback.
    return bool(poll.poll(0))
