"""Output of a server connection, with limits on slow readers."""

import array
from collections.abc import Callable
import dataclasses
import fcntl
import select
import socket
from typing import final

from wisteriawall import clock
from wisteriawall.web import memory_budget

__all__ = ["ResponseWriter", "WriteLimits"]

# Interval at which a blocked write notices that its response was aborted.
POLL_MS = 100
# Most bytes passed to one `send`.
SEND_BYTES = 256 * 1024
MS_PER_S = 1_000
# A longer time between two checks is a pause of this process, not of the
# caller.
MAX_CHECK_MS = 1_000
# Linux's ioctl for the bytes that the peer has not acknowledged.
SIOCOUTQ = 0x5411


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class WriteLimits:
    """How slowly a caller may read its answer.

    Only the time in which a write is blocked counts, so that a stream of rare
    events is not cut.

    Attributes:
        stall_ms: Longest time in which no byte can be sent.
        allowance_ms: Time blocked in one answer before `min_bytes_per_s`
            applies.
        min_bytes_per_s: Least rate while blocked.
        buffered_bytes: Most bytes of an answer's end that are kept for a slow
            caller after the application has finished.
    """

    stall_ms: int = 5_000
    allowance_ms: int = 10_000
    min_bytes_per_s: int = 1_024
    buffered_bytes: int = 4 * 1024 * 1024


@final
class ResponseWriter:
    """Sends the bytes of responses on a non-blocking socket.

    The worker thread writes; what `finish_with` leaves is sent by the server's
    event loop with `send_pending`. No two threads use it at the same time,
    except that any thread may set `is_aborted`.

    Args:
        connection: Socket of the connection.
        limits: Limits on the caller.
        budget: Counts the bytes that wait to be sent.
        on_pressure: Called when these exceed the budget.
    """

    def __init__(
        self,
        connection: socket.socket,
        *,
        limits: WriteLimits,
        budget: memory_budget.MemoryBudget,
        on_pressure: Callable[[], None],
    ) -> None:
        self._socket = connection
        self._limits = limits
        self._budget = budget
        self._on_pressure = on_pressure
        self._pending = memoryview(b"")
        self._waiting_bytes = 0
        self._reserved = 0
        self._blocked_ms = 0
        self._blocked_bytes = 0
        self._stalled_ms = 0
        self._checked_ms = 0
        self._acknowledged_bytes = 0
        self.bytes_written = 0
        self.is_aborted = False

    @property
    def has_pending(self) -> bool:
        """Whether the end of the answer waits to be sent."""
        return bool(self._pending)

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes of the answer the caller's host lacks.

        It may be called in any thread. It is 0 once the connection is closed.
        """
        try:
            return self._waiting_bytes + self._unread_bytes()
        except (OSError, ValueError):
            return 0

    def begin_answer(self) -> None:
        """Reset the time that counts for one answer."""
        self._blocked_ms = 0
        self._blocked_bytes = 0

    def write(self, data: bytes) -> None:
        """Send all bytes.

        Raises:
            OSError: The connection was closed, or the caller reads too slowly.
        """
        rest = self._send(memoryview(data))
        while rest:
            rest = self._wait_and_send(rest)

    def finish_with(self, data: bytes) -> None:
        """Send the last bytes of an answer; may keep some for later.

        Raises:
            OSError: The connection was closed, or the caller reads too slowly.
        """
        rest = self._send(memoryview(data))
        if not rest:
            return
        size = len(rest)
        if self._pending:
            # The end mark of chunks after a last chunk that is kept.
            raise AssertionError("an answer has two ends")
        if size <= self._limits.buffered_bytes:
            self._reserved = size
            if not self._budget.reserve_answer(size):
                self._on_pressure()
            self._pending = memoryview(bytes(rest))
            self._begin_wait()
            return
        while rest:
            rest = self._wait_and_send(rest)

    @property
    def stalled_ms(self) -> int:
        """Return for how long no byte was sent, as of the last check."""
        return self._stalled_ms

    def flush(self) -> None:
        """Send the pending bytes, waiting for the caller to read them.

        Raises:
            OSError: The connection was closed, or the caller reads too slowly.
        """
        try:
            while self._pending:
                self._pending = self._wait_and_send(self._pending)
        finally:
            self.drop_pending()

    def send_pending(self) -> None:
        """Send what is possible without blocking.

        Raises:
            OSError: The connection was closed.
        """
        self._pending = self._send(self._pending)
        if not self._pending:
            self.drop_pending()

    def is_overdue(self) -> bool:
        """Whether the caller reads the pending bytes too slowly."""
        return bool(self._pending) and self._is_too_slow()

    def drop_pending(self) -> None:
        """Forget the pending bytes."""
        self._pending = memoryview(b"")
        size, self._reserved = self._reserved, 0
        if size:
            self._budget.release(size)

    def _send(self, data: memoryview) -> memoryview:
        """Send what is possible; return the rest."""
        while data:
            try:
                count = self._socket.send(data[:SEND_BYTES])
            except BlockingIOError:
                return data
            self.bytes_written += count
            data = data[count:]
        return data

    def _wait_and_send(self, data: memoryview) -> memoryview:
        """Wait until bytes can be sent; return the rest."""
        if self.is_aborted:
            raise ConnectionAbortedError("the response was aborted")
        self._begin_wait()
        self._waiting_bytes = len(data)
        poll = select.poll()
        poll.register(self._socket, select.POLLOUT)
        while not poll.poll(POLL_MS):
            if self.is_aborted:
                raise ConnectionAbortedError("the response was aborted")
            if self._is_too_slow():
                raise TimeoutError("the caller reads too slowly")
        rest = self._send(data)
        self._waiting_bytes = len(rest)
        if rest and self._is_too_slow():
            raise TimeoutError("the caller reads too slowly")
        return rest

    def _begin_wait(self) -> None:
        self._stalled_ms = 0
        self._checked_ms = clock.monotonic_ms()
        self._acknowledged_bytes = self.bytes_written - self._unread_bytes()

    def _is_too_slow(self) -> bool:
        """Count the time since the last check; return whether to give up.

        Progress is what the caller's host acknowledges: the kernel reports room
        in a large send queue only after a third of it was read.
        """
        now_ms = clock.monotonic_ms()
        elapsed_ms = min(now_ms - self._checked_ms, MAX_CHECK_MS)
        self._checked_ms = now_ms
        self._blocked_ms += elapsed_ms
        self._stalled_ms += elapsed_ms
        acknowledged_bytes = self.bytes_written - self._unread_bytes()
        progress = acknowledged_bytes - self._acknowledged_bytes
        self._acknowledged_bytes = acknowledged_bytes
        if progress > 0:
            self._stalled_ms = 0
            self._blocked_bytes += progress
        limits = self._limits
        if self._stalled_ms >= limits.stall_ms:
            return True
        least = limits.min_bytes_per_s * self._blocked_ms / MS_PER_S
        return (
            self._blocked_ms >= limits.allowance_ms
            and self._blocked_bytes < least
        )

    def _unread_bytes(self) -> int:
        count = array.array("i", [0])
        fcntl.ioctl(self._socket, SIOCOUTQ, count)
        return count[0]
