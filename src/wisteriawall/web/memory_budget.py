"""Budget of memory and descriptors that the connections of a process share."""

import contextlib
import ctypes
import dataclasses
import resource
import threading
from typing import final

__all__ = ["MemoryBudget", "Usage", "for_limits", "return_large_blocks"]

# Share of the VM's memory for bytes of requests and answers. A process without
# load takes 45 MB of 160 MB, its threads and tables need most of the rest.
MEMORY_SHARE = 0.2
BYTES_PER_MB = 1_000_000
# Without a stated limit.
DEFAULT_BYTES = 64 * 1024 * 1024
# Part of the budget that only small requests may use.
SMALL_SHARE = 0.25
# Most bytes that a request may hold and still use that part.
SMALL_REQUEST_BYTES = 64 * 1024
# Descriptors kept for files.
FILE_DESCRIPTORS = 200
# Share of the others for callers; the rest is for connections to runners and
# to other processes.
CALLER_SHARE = 0.6
MAX_CONNECTIONS = 20_000
# Connections that each listener may have when all others are taken, so that
# one listener can't make another one unreachable.
CONNECTIONS_PER_LISTENER = 16
# Parameter of glibc's mallopt.
M_MMAP_THRESHOLD = -3
LARGE_BLOCK_BYTES = 256 * 1024


@final
@dataclasses.dataclass(slots=True, frozen=True)
class Usage:
    """What is reserved."""

    held_bytes: int
    connections: int


@final
class MemoryBudget:
    """Counts what the connections of all listeners hold; any thread may use it.

    Every reservation must be released with the same size.

    Args:
        max_bytes: Most bytes of requests that are read or served and of answers
            that wait to be sent.
        max_connections: Most connections of callers.
    """

    def __init__(self, *, max_bytes: int, max_connections: int) -> None:
        self.max_bytes = max_bytes
        self.max_connections = max_connections
        self._max_large_bytes = round(max_bytes * (1 - SMALL_SHARE))
        self._lock = threading.Lock()
        self._held_bytes = 0
        self._connections = 0

    @property
    def usage(self) -> Usage:
        """Return what is reserved now."""
        with self._lock:
            return Usage(self._held_bytes, self._connections)

    def reserve(self, size: int, *, held: int) -> bool:
        """Reserve `size` bytes for a request or answer that holds `held`.

        Returns False, and reserves nothing, if that exceeds the budget.
        """
        is_small = held + size <= SMALL_REQUEST_BYTES
        limit = self.max_bytes if is_small else self._max_large_bytes
        with self._lock:
            if self._held_bytes + size > limit:
                return False
            self._held_bytes += size
            return True

    def reserve_answer(self, size: int) -> bool:
        """Reserve `size` bytes of an answer that is ready, in any case.

        Returns False if that exceeds the budget; other answers are to be
        dropped then.
        """
        with self._lock:
            self._held_bytes += size
            return self._held_bytes <= self._max_large_bytes

    @property
    def has_room(self) -> bool:
        """Whether the part for large requests and answers is not exceeded."""
        return self._held_bytes <= self._max_large_bytes

    def release(self, size: int) -> None:
        """Release bytes that were reserved."""
        with self._lock:
            self._held_bytes -= size

    def add_connection(self, *, of_listener: int) -> bool:
        """Count a new connection of a listener that has `of_listener`.

        Returns False, and doesn't count it, if there are too many.
        """
        with self._lock:
            if (
                self._connections >= self.max_connections
                and of_listener >= CONNECTIONS_PER_LISTENER
            ):
                return False
            self._connections += 1
            return True

    def remove_connection(self) -> None:
        """Stop counting a connection that was closed."""
        with self._lock:
            self._connections -= 1


def for_limits(
    *, memory_mb: int = 0, file_descriptors: int = 0
) -> MemoryBudget:
    """Return the budget of a process with these limits; 0 if not stated."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        soft_limit = MAX_CONNECTIONS * 2
    descriptors = min(file_descriptors or soft_limit, soft_limit)
    max_connections = round((descriptors - FILE_DESCRIPTORS) * CALLER_SHARE)
    max_bytes = round(memory_mb * BYTES_PER_MB * MEMORY_SHARE)
    return MemoryBudget(
        max_bytes=max_bytes or DEFAULT_BYTES,
        max_connections=min(
            max(max_connections, CONNECTIONS_PER_LISTENER), MAX_CONNECTIONS
        ),
    )


def return_large_blocks() -> None:
    """Make glibc return large blocks to the system when they are freed.

    By default it stops doing so once it has freed some. With 120 bodies of up
    to 8 MiB at a time the process took 123 MB instead of 78 MB.
    """
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
