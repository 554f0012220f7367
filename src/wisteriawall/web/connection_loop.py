"""Event loop of the HTTP server: accepts connections and reads requests."""

from collections import deque
from collections.abc import Callable
import contextlib
import errno
import logging
import os
import select
import socket
import threading
import time
from typing import Any
from typing import final

from wisteriawall import clock
from wisteriawall.web import error_response
from wisteriawall.web import memory_budget
from wisteriawall.web import request_reader
from wisteriawall.web import response_writer
from wisteriawall.web import server_connection

__all__ = ["ConnectionLoop"]

_LOG = logging.getLogger("http")

Phase = server_connection.Phase
Progress = request_reader.Progress

# Bound on the connections that are accepted while stopping.
MAX_PENDING_CONNECTIONS = 512
ACCEPTS_PER_TURN = 32
RECEIVE_BYTES = 64 * 1024
MAX_TICK_MS = 1_000
MIN_TICK_MS = 50
# A longer time between two turns is a pause of this process. It doesn't count
# against callers.
PAUSE_MS = 2_000
# Time without accepting after descriptors ran out.
ACCEPT_PAUSE_MS = 100
# A new caller sends its request at once, so an unused connection may be closed
# for a new one soon.
UNUSED_MS = 250
# An incomplete request without input for this long goes before others.
STALLED_MS = 500
EVICTED_AT_ONCE = 16
# Time for decoding chunks before other connections are served.
DECODE_TURN_MS = 5
# Time for requests that are arriving when the server stops.
STOP_READ_MS = 500
LOG_INTERVAL_MS = 1_000
DRAIN_POLL_MS = 100
MS_PER_S = 1_000
READ_ONCE = select.EPOLLIN | select.EPOLLONESHOT
WRITE_ONCE = select.EPOLLOUT | select.EPOLLONESHOT
TOO_SLOW = error_response.encode(
    "408 Request Timeout", "the request came too slowly"
)
OVERLOADED = error_response.encode("503 Service Unavailable")
DESCRIPTOR_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)


@final
class ConnectionLoop:
    """Reads the requests of all connections of one server without blocking.

    Complete requests go to the server's workers. It takes the place of
    cheroot's `ConnectionManager`. Worker threads call `put`, `finish`, `forget`
    and `release_bytes`; all else runs in the thread of `run`.

    Every descriptor is registered for one event at a time, so that no event
    arrives while a worker has the connection. Input that arrives then stays in
    the kernel.

    Args:
        server: The server that owns the connections.
        budget: Memory and connections, shared by the servers of the process.
        read_limits: Limits on requests.
        write_limits: Limits on callers that read slowly.
        check_head: May refuse a request once its head is complete.
        drops_body: Whether the application doesn't read bodies.
    """

    def __init__(
        self,
        server: Any,
        *,
        budget: memory_budget.MemoryBudget,
        read_limits: request_reader.ReadLimits,
        write_limits: response_writer.WriteLimits,
        check_head: request_reader.CheckHead | None,
        drops_body: bool,
    ) -> None:
        self._server = server
        self._budget = budget
        self._read_limits = read_limits
        self._write_limits = write_limits
        self._check_head = check_head
        self._drops_body = drops_body
        self._lock = threading.Lock()
        self._epoll = select.epoll()
        self._wakeup = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._epoll.register(self._wakeup, select.EPOLLIN)
        self._listener = server.socket
        self._listener.setblocking(False)
        self._listener_fd = self._listener.fileno()
        self._epoll.register(self._listener_fd, select.EPOLLIN)
        self._accepts_at_ms: int | None = None
        self._connection_by_fd: dict[
            int, server_connection.ServerConnection
        ] = {}
        self._returned: deque[server_connection.ServerConnection] = deque()
        self._deferred: deque[server_connection.ServerConnection] = deque()
        self._buffer = memoryview(bytearray(RECEIVE_BYTES))
        self._tick_ms = max(
            MIN_TICK_MS, min(MAX_TICK_MS, read_limits.request_ms // 4)
        )
        self._turn_ms = clock.monotonic_ms()
        self._next_tick_ms = 0
        self._serving = False
        self._stop_requested = False
        self._closed = False
        self._wants_room = False
        self._unlogged_refusals = 0
        self._log_at_ms = 0
        self._drainer: threading.Thread | None = None
        # Until when answers are sent after `close`, on the monotonic clock.
        self.drain_deadline_ms: int | None = None

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Whether a connection may be kept for its next request."""
        return self._accepts_at_ms is None

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connection_by_fd)

    @property
    def _num_connections(self) -> int:
        """Return the number of idle connections."""
        return sum(
            connection.phase is Phase.IDLE
            for connection in list(self._connection_by_fd.values())
        )

    def run(self, expiration_interval: float) -> None:
        """Accept and read until `stop` is called."""
        del expiration_interval
        self._serving = True
        try:
            while not self._stop_requested:
                self._run_turn()
        finally:
            self._serving = False

    def stop(self) -> None:
        """Stop accepting and reading; refuse what waits to be accepted.

        Requests that are arriving get a short time before.
        """
        self._await_requests()
        with self._lock:
            self._stop_requested = True
            if not self._closed:
                os.eventfd_write(self._wakeup, 1)
        while self._serving:
            time.sleep(0.01)
        for _ in range(MAX_PENDING_CONNECTIONS):
            try:
                if self._accept_one() is None:
                    return
            except OSError:
                return

    def _await_requests(self) -> None:
        """Wait until no request is arriving, or for `STOP_READ_MS`."""
        now_ms = clock.monotonic_ms()
        end_ms = now_ms + STOP_READ_MS
        if self.drain_deadline_ms is not None:
            remaining_ms = max(0, self.drain_deadline_ms - now_ms)
            end_ms = min(end_ms, now_ms + remaining_ms // 2)
        while (
            self._serving
            and not self._stop_requested
            and clock.monotonic_ms() < end_ms
            and any(
                connection.phase is Phase.READING or connection.is_unused
                for connection in list(self._connection_by_fd.values())
            )
        ):
            time.sleep(0.01)

    def close(self) -> None:
        """Refuse requests that are not complete, and close connections.

        A thread sends the rest of answers that are complete, and refuses
        requests that arrive on new connections within a short time.
        """
        with self._lock:
            if self._closed:
                return
            self._closed = True
            self._epoll.close()
            os.close(self._wakeup)
            own = [
                connection
                for connection in self._connection_by_fd.values()
                if connection.phase is not Phase.SERVING
            ]
        leftover = []
        for connection in own:
            if connection.phase in (Phase.DRAINING, Phase.LINGERING):
                connection.keeps_open = False
                leftover.append(connection)
            elif connection.is_unused:
                connection.since_ms = clock.monotonic_ms()
                leftover.append(connection)
            else:
                connection.close_unserved()
        if leftover:
            self._drainer = threading.Thread(
                target=self._drain, args=(leftover,), name="drain", daemon=True
            )
            self._drainer.start()

    def join_drainer(self, timeout_s: float) -> None:
        """Wait until the rest of the answers is sent."""
        if self._drainer is not None:
            self._drainer.join(timeout_s)

    def put(self, connection: server_connection.ServerConnection) -> None:
        """Wait for the next request of a connection."""
        self.release_bytes(connection)
        with self._lock:
            connection.phase = Phase.IDLE
            connection.since_ms = clock.monotonic_ms()
            closed = self._closed
            if not closed:
                if connection.wfile.has_pending:
                    connection.phase = Phase.DRAINING
                    connection.keeps_open = True
                    self._start_draining(connection)
                elif connection.input:
                    self._returned.append(connection)
                    os.eventfd_write(self._wakeup, 1)
                else:
                    self._epoll.modify(connection.fd, READ_ONCE)
        if not closed:
            return
        if connection.wfile.has_pending:
            connection.close()
        else:
            connection.close_unserved()

    def finish(self, connection: server_connection.ServerConnection) -> bool:
        """Send the rest of an answer, and close once the caller has it.

        Returns False if the loop has ended.
        """
        with self._lock:
            if self._stop_requested:
                return False
            connection.keeps_open = False
            connection.since_ms = clock.monotonic_ms()
            if connection.wfile.has_pending:
                connection.phase = Phase.DRAINING
                self._start_draining(connection)
            else:
                connection.phase = Phase.LINGERING
                self._epoll.modify(connection.fd, READ_ONCE)
        return True

    def forget(self, connection: server_connection.ServerConnection) -> None:
        """Release what a connection holds, before it is closed."""
        self.release_bytes(connection)
        connection.wfile.drop_pending()
        connection.reader = None
        connection.input = b""
        if self._connection_by_fd.get(connection.fd) is connection:
            del self._connection_by_fd[connection.fd]
            self._budget.remove_connection()

    def release_bytes(
        self, connection: server_connection.ServerConnection
    ) -> None:
        """Release the bytes of the request that was read."""
        size, connection.held_bytes = connection.held_bytes, 0
        if size:
            self._budget.release(size)

    def _run_turn(self) -> None:
        """Handle the events that are due, or wait for one."""
        events = self._epoll.poll(self._timeout_s())
        now_ms = clock.monotonic_ms()
        pause_ms = now_ms - self._turn_ms
        for fd, _ in events:
            if fd == self._listener_fd:
                self._accept(now_ms)
            elif fd == self._wakeup:
                with contextlib.suppress(BlockingIOError):
                    os.eventfd_read(self._wakeup)
            else:
                connection = self._connection_by_fd.get(fd)
                if connection is not None:
                    self._guard(connection, self._handle_event)
        if self._wants_room:
            self._drop_slow_answers()
        while self._returned:
            self._guard(self._returned.popleft(), self._read_rest)
        self._decode_deferred()
        if self._connection_by_fd and now_ms >= self._next_tick_ms:
            self._check_times(now_ms, pause_ms)
            self._next_tick_ms = now_ms + self._tick_ms
        if self._accepts_at_ms is not None and now_ms >= self._accepts_at_ms:
            self._accepts_at_ms = None
            self._epoll.register(self._listener_fd, select.EPOLLIN)
        self._turn_ms = now_ms

    def _timeout_s(self) -> float | None:
        """Return the longest wait for an event; None without connections."""
        if self._deferred or self._returned:
            return 0.0
        if self._accepts_at_ms is not None:
            return ACCEPT_PAUSE_MS / MS_PER_S
        if not self._connection_by_fd:
            # A long wait is no pause.
            self._turn_ms = 1 << 62
            return None
        self._turn_ms = clock.monotonic_ms()
        return max(0, self._next_tick_ms - self._turn_ms) / MS_PER_S

    def _await_returns(self) -> None:
        """Wait until no worker is just registering a connection.

        Such a connection may be seen in its new phase, and closing it would
        make the worker register another one's descriptor.
        """
        with self._lock:
            pass

    def _guard(
        self,
        connection: server_connection.ServerConnection,
        handle: Callable[[server_connection.ServerConnection], None],
    ) -> None:
        """Handle an event; a failure ends this connection only."""
        try:
            handle(connection)
        except OSError:
            connection.reset()
        except Exception:
            _LOG.warning("http: reading a request failed", exc_info=True)
            connection.reset()

    # Accepting.

    def _accept(self, now_ms: int) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            count = len(self._connection_by_fd)
            if not self._budget.add_connection(of_listener=count):
                self._evict_unused(now_ms)
                if not self._budget.add_connection(of_listener=count):
                    self._pause_accepting(now_ms)
                    return
            self._budget.remove_connection()
            try:
                connection = self._accept_one()
            except OSError as error:
                _LOG.warning("http: accepting failed: %s", error)
                self._evict_unused(now_ms)
                self._pause_accepting(now_ms)
                return
            if connection is None:
                return
            if not self._stop_requested:
                self._epoll.register(connection.fd, READ_ONCE)

    def _accept_one(self) -> server_connection.ServerConnection | None:
        """Return the next connection, None if there is none.

        Raises:
            OSError: There are too few descriptors.
        """
        try:
            accepted, peer = self._listener.accept()
        except OSError as error:
            if error.errno in DESCRIPTOR_ERRORS:
                raise
            # None is waiting, the peer is gone, or the listener was closed.
            return None
        accepted.setblocking(False)
        writer = response_writer.ResponseWriter(
            accepted,
            limits=self._write_limits,
            budget=self._budget,
            on_pressure=self._want_room,
        )
        connection = server_connection.ServerConnection(
            self._server, accepted, peer[:2], writer
        )
        self._budget.add_connection(of_listener=0)
        self._connection_by_fd[connection.fd] = connection
        return connection

    def _pause_accepting(self, now_ms: int) -> None:
        """Leave new connections in the kernel for a moment."""
        if self._accepts_at_ms is None:
            self._epoll.unregister(self._listener_fd)
        self._accepts_at_ms = now_ms + ACCEPT_PAUSE_MS

    def _evict_unused(self, now_ms: int) -> None:
        """Close connections that were never used, or else idle or stalled."""
        unused, idle, stalled = [], [], []
        for connection in list(self._connection_by_fd.values()):
            if connection.phase is Phase.IDLE and not connection.input:
                if connection.requests_seen:
                    idle.append(connection)
                elif now_ms - connection.since_ms >= UNUSED_MS:
                    unused.append(connection)
            elif (
                connection.phase is Phase.READING
                and now_ms - connection.last_read_ms >= STALLED_MS
            ):
                stalled.append(connection)
        self._await_returns()
        unused.sort(key=lambda each: each.since_ms)
        stalled.sort(key=lambda each: -each.since_ms)
        idle.sort(key=lambda each: each.since_ms)
        for connection in (unused + stalled + idle)[:EVICTED_AT_ONCE]:
            # A request that just arrived is refused.
            connection.close_unserved()

    # Reading.

    def _handle_event(
        self, connection: server_connection.ServerConnection
    ) -> None:
        match connection.phase:
            case Phase.IDLE | Phase.READING:
                self._read(connection)
            case Phase.DRAINING:
                self._send_rest(connection)
            case Phase.LINGERING:
                if self._discard(connection):
                    self._epoll.modify(connection.fd, READ_ONCE)

    def _read(self, connection: server_connection.ServerConnection) -> None:
        try:
            count = connection.socket.recv_into(self._buffer)
        except BlockingIOError:
            self._epoll.modify(connection.fd, READ_ONCE)
            return
        if count:
            self._feed(connection, bytes(self._buffer[:count]))
        elif connection.reader is None:
            connection.close_idle()
        else:
            self._advance(connection, connection.reader.end_input())

    def _read_rest(
        self, connection: server_connection.ServerConnection
    ) -> None:
        """Read a request that followed the last one at once."""
        data, connection.input = connection.input, b""
        if connection.phase is Phase.IDLE and data:
            self._feed(connection, data)

    def _feed(
        self, connection: server_connection.ServerConnection, data: bytes
    ) -> None:
        now_ms = clock.monotonic_ms()
        reader = connection.reader
        if reader is None:
            reader = connection.reader = request_reader.RequestReader(
                connection,
                limits=self._read_limits,
                check_head=self._check_head,
                drops_body=self._drops_body,
            )
            connection.phase = Phase.READING
            connection.since_ms = connection.queued_at_ms = now_ms
            connection.received_bytes = 0
            connection.rate_mark_ms = now_ms
            connection.rate_mark_bytes = 0
        connection.received_bytes += len(data)
        connection.last_read_ms = now_ms
        if not self._reserve(connection, reader.reserved_bytes(len(data))):
            self._refuse(connection, OVERLOADED)
            return
        progress = reader.feed(data)
        size, reader.parsed_bytes = reader.parsed_bytes, 0
        if self._reserve(connection, size):
            self._advance(connection, progress)
        else:
            self._refuse(connection, OVERLOADED)

    def _advance(
        self,
        connection: server_connection.ServerConnection,
        progress: request_reader.Progress,
    ) -> None:
        reader = connection.reader
        assert reader is not None
        match progress:
            case Progress.INPUT:
                if reader.output:
                    connection.socket.send(reader.output)
                    reader.output = b""
                self._epoll.modify(connection.fd, READ_ONCE)
            case Progress.TIME:
                self._deferred.append(connection)
            case Progress.COMPLETE:
                connection.body = reader.body
                connection.input = reader.rest
                connection.phase = Phase.SERVING
                self._server.process_conn(connection)
            case Progress.FAILED:
                self._refuse(connection, reader.output)

    def _decode_deferred(self) -> None:
        """Decode more of the bodies that take long, for a short time."""
        if not self._deferred:
            return
        end_ms = clock.monotonic_ms() + DECODE_TURN_MS
        for _ in range(len(self._deferred)):
            connection = self._deferred.popleft()
            if connection.phase is Phase.READING and connection.reader:
                connection.last_read_ms = clock.monotonic_ms()
                self._guard(connection, self._decode_more)
            if clock.monotonic_ms() >= end_ms:
                return

    def _decode_more(
        self, connection: server_connection.ServerConnection
    ) -> None:
        assert connection.reader is not None
        self._advance(connection, connection.reader.feed(b""))

    def _reserve(
        self, connection: server_connection.ServerConnection, size: int
    ) -> bool:
        """Reserve memory; evict incomplete requests if there is too little.

        Those that stalled go first, then the newest.
        """
        if not size:
            return True
        if not self._try_reserve(connection, size):
            for other in self._newest_and_slowest(size):
                if other is connection:
                    return False
                self._refuse(other, OVERLOADED)
            return self._try_reserve(connection, size)
        return True

    def _try_reserve(
        self, connection: server_connection.ServerConnection, size: int
    ) -> bool:
        if not self._budget.reserve(size, held=connection.held_bytes):
            return False
        connection.held_bytes += size
        return True

    def _newest_and_slowest(
        self, size: int
    ) -> list[server_connection.ServerConnection]:
        """Return incomplete requests that together hold `size` bytes."""
        now_ms = clock.monotonic_ms()
        reading = [
            connection
            for connection in list(self._connection_by_fd.values())
            if connection.phase is Phase.READING
        ]
        reading.sort(
            key=lambda each: (
                now_ms - each.last_read_ms >= STALLED_MS,
                each.since_ms,
            ),
            reverse=True,
        )
        chosen = []
        for connection in reading:
            chosen.append(connection)
            size -= connection.held_bytes
            if size <= 0:
                break
        return chosen

    def _refuse(
        self, connection: server_connection.ServerConnection, output: bytes
    ) -> None:
        """Send an error answer, and close once the caller has read it."""
        self.log_refusal(connection, output)
        self.release_bytes(connection)
        connection.reader = None
        connection.input = b""
        connection.waits_for_end = True
        with contextlib.suppress(OSError):
            if output:
                connection.socket.send(output)
            connection.socket.shutdown(socket.SHUT_WR)
        if not self.finish(connection):
            connection.close_idle()

    def log_refusal(
        self, connection: server_connection.ServerConnection, output: bytes
    ) -> None:
        """Log a refusal, at most one a second with the number of others."""
        now_ms = clock.monotonic_ms()
        self._unlogged_refusals += 1
        if now_ms < self._log_at_ms:
            return
        _LOG.info(
            "http: refused a request of %s: %s, %d since the last line",
            connection.remote_addr,
            output.partition(b"\r\n")[0].decode("latin-1"),
            self._unlogged_refusals,
        )
        self._unlogged_refusals = 0
        self._log_at_ms = now_ms + LOG_INTERVAL_MS

    # Closing.

    def _start_draining(
        self, connection: server_connection.ServerConnection
    ) -> None:
        self._epoll.modify(connection.fd, WRITE_ONCE)
        if self._wants_room:
            os.eventfd_write(self._wakeup, 1)

    def _want_room(self) -> None:
        """Have answers dropped whose callers read slowly.

        It is called in a worker thread. Waiting there would keep the answers of
        all workers in memory.
        """
        self._wants_room = True

    def _drop_slow_answers(self) -> None:
        """Reset the slowest readers until there is room."""
        draining = [
            connection
            for connection in list(self._connection_by_fd.values())
            if connection.phase is Phase.DRAINING
        ]
        self._await_returns()
        draining.sort(key=lambda each: (-each.wfile.stalled_ms, each.since_ms))
        for connection in draining:
            if self._budget.has_room:
                break
            connection.reset()
        self._wants_room = not self._budget.has_room

    def _send_rest(
        self, connection: server_connection.ServerConnection
    ) -> None:
        """Send the rest of an answer; then go on or close."""
        connection.wfile.send_pending()
        if connection.wfile.has_pending:
            self._epoll.modify(connection.fd, WRITE_ONCE)
        elif connection.keeps_open:
            connection.phase = Phase.IDLE
            connection.since_ms = clock.monotonic_ms()
            if connection.input:
                self._read_rest(connection)
            else:
                self._epoll.modify(connection.fd, READ_ONCE)
        else:
            self._begin_linger(connection)
            self._epoll.modify(connection.fd, READ_ONCE)

    def _begin_linger(
        self, connection: server_connection.ServerConnection
    ) -> None:
        connection.socket.shutdown(socket.SHUT_WR)
        connection.phase = Phase.LINGERING
        connection.since_ms = clock.monotonic_ms()

    def _discard(self, connection: server_connection.ServerConnection) -> bool:
        """Discard input; return False once the connection is closed.

        Input that is unread at the close, or arrives after it, makes the kernel
        send a reset and discard the rest of the response.
        """
        try:
            if connection.socket.recv_into(self._buffer):
                return True
        except BlockingIOError:
            return True
        connection.close_idle()
        return False

    def _check_times(self, now_ms: int, pause_ms: int) -> None:
        """End what takes too long."""
        paused_ms = pause_ms if pause_ms >= PAUSE_MS else 0
        for connection in list(self._connection_by_fd.values()):
            match connection.phase:
                case Phase.IDLE:
                    if now_ms - connection.since_ms >= (
                        self._read_limits.idle_ms
                        if connection.requests_seen
                        else self._read_limits.request_ms
                    ):
                        connection.close_idle()
                case Phase.READING if paused_ms:
                    connection.since_ms += paused_ms
                    connection.rate_mark_ms = now_ms
                case Phase.READING:
                    if self._is_too_slow(connection, now_ms):
                        self._refuse(connection, TOO_SLOW)
                case Phase.DRAINING | Phase.LINGERING:
                    self._check_closing(connection, now_ms)

    def _check_closing(
        self, connection: server_connection.ServerConnection, now_ms: int
    ) -> None:
        """Close a connection whose caller reads or closes too slowly."""
        if connection.phase is Phase.DRAINING:
            if connection.wfile.is_overdue():
                connection.reset()
        elif connection.phase is Phase.IDLE:
            if now_ms - connection.since_ms >= UNUSED_MS:
                connection.close_idle()
        elif now_ms - connection.since_ms >= server_connection.MAX_LINGER_MS:
            connection.close_idle()

    def _is_too_slow(
        self, connection: server_connection.ServerConnection, now_ms: int
    ) -> bool:
        limits = self._read_limits
        waited_ms = now_ms - connection.since_ms
        if waited_ms >= limits.request_ms:
            return True
        elapsed_ms = now_ms - connection.rate_mark_ms
        if elapsed_ms < MAX_TICK_MS:
            return False
        received = connection.received_bytes - connection.rate_mark_bytes
        connection.rate_mark_ms = now_ms
        connection.rate_mark_bytes = connection.received_bytes
        # Input that this process has not got to is not the caller's delay.
        is_slow = received < limits.min_bytes_per_s * elapsed_ms / MS_PER_S
        is_waiting = now_ms - connection.last_read_ms >= MAX_TICK_MS // 2
        return (
            is_slow
            and waited_ms >= limits.allowance_ms
            and (is_waiting or received > 0)
        )

    def _drain(
        self, connections: list[server_connection.ServerConnection]
    ) -> None:
        """Send the rest of complete answers until the deadline."""
        while connections and not self._is_drain_over():
            poll = select.poll()
            for connection in connections:
                is_draining = connection.phase is Phase.DRAINING
                poll.register(
                    connection.fd,
                    select.POLLOUT if is_draining else select.POLLIN,
                )
            by_fd = {connection.fd: connection for connection in connections}
            for fd, _ in poll.poll(DRAIN_POLL_MS):
                self._guard(by_fd[fd], self._drain_one)
            now_ms = clock.monotonic_ms()
            for connection in connections:
                self._check_closing(connection, now_ms)
            connections = [
                connection
                for connection in connections
                if self._connection_by_fd.get(connection.fd) is connection
            ]
        for connection in connections:
            if connection.phase is Phase.DRAINING:
                connection.reset()
            else:
                connection.close_idle()

    def _drain_one(
        self, connection: server_connection.ServerConnection
    ) -> None:
        if connection.phase is Phase.LINGERING:
            self._discard(connection)
            return
        if connection.phase is Phase.IDLE:
            connection.close_unserved()
            return
        connection.wfile.send_pending()
        if not connection.wfile.has_pending:
            self._begin_linger(connection)

    def _is_drain_over(self) -> bool:
        deadline_ms = self.drain_deadline_ms
        return deadline_ms is not None and clock.monotonic_ms() >= deadline_ms
