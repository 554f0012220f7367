"""Detect callers that disconnect."""

from collections.abc import Callable
import contextlib
import logging
import os
import select
import socket
import threading
from typing import final

__all__ = ["ConnectionMonitor"]

_LOG = logging.getLogger("http")

DISCONNECT_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


@final
class ConnectionMonitor:
    """One thread that monitors the connections of a server.

    Each connection can have a callback for the caller's disconnect.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._epoll = select.epoll()
        self._wakeup = os.eventfd(0)
        self._epoll.register(self._wakeup, select.EPOLLIN)
        self._on_disconnect_by_fd: dict[int, Callable[[], None]] = {}
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
        """Remove the callback of `connection`, if it has one.

        Must be called before the connection is closed or reused.
        """
        with self._lock:
            self._take_callback(connection.fileno())

    @property
    def registration_count(self) -> int:
        """Return the number of callbacks that are set."""
        return len(self._on_disconnect_by_fd)

    def _run(self) -> None:
        while not self._stopped:
            for fd, _ in self._epoll.poll(None):
                with self._lock:
                    # Since the poll, the connection may have been closed and
                    # its descriptor given to another one.
                    callback = (
                        self._take_callback(fd)
                        if _is_disconnected(fd)
                        else None
                    )
                if callback is not None:
                    _call(callback)

    def _take_callback(self, fd: int) -> Callable[[], None] | None:
        """Remove and return the callback of a connection, if it has one."""
        callback = self._on_disconnect_by_fd.pop(fd, None)
        if callback is not None:
            with contextlib.suppress(OSError):
                self._epoll.unregister(fd)
        return callback


def _call(callback: Callable[[], None]) -> None:
    """Call a callback; its failure must not end the thread."""
    try:
        callback()
    except Exception:
        _LOG.warning("http: a disconnect callback failed", exc_info=True)


def _is_disconnected(fd: int) -> bool:
    poll = select.poll()
    poll.register(fd, select.POLLRDHUP)
    # A closed descriptor is reported too; it has no callback.
    return bool(poll.poll(0))
