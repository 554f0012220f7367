"""Judgement of an end of a connection that is to be the end of a response.

A response without a length ends with its connection, which must not have been
reset. A reset that follows the end of the server's side is no error for reads:
they return the end, as if the server had just closed.
"""

import fcntl
import functools
import logging
import select
import socket
import struct
import termios

from wisteriawall import clock

__all__ = ["check_end", "unacknowledged_bytes"]

_LOG = logging.getLogger("http")

# A server that ends a response before it has read the request reads on at
# once; one that fails leaves the rest unread.
MAX_STALL_MS = 250
MAX_WAIT_MS = 1_000
# A server that fails may end its side some time before it resets.
RESET_WAIT_MS = 100
# A reset that is sent at once arrives right behind the end; a read is often
# quicker.
RESET_AT_ONCE_MS = 2
# The kernel has no event for the acknowledgment of the last byte.
LOOK_MS = 5
COUNT = struct.Struct("i")


def unacknowledged_bytes(source: socket.socket) -> int | None:
    """Return how much of what was sent the peer's kernel has not taken.

    It is None where the platform doesn't tell.
    """
    try:
        answer = fcntl.ioctl(source, termios.TIOCOUTQ, bytes(COUNT.size))
    except OSError as error:
        _log_unknown(error.errno)
        return None
    (count,) = COUNT.unpack(answer)
    return int(count)


def check_end(
    source: socket.socket, *, began_early: bool, deadline_at_ms: int | None
) -> None:
    """Check the end of the server's side, which ends a response.

    It waits for at most `MAX_WAIT_MS` for a response that began before the
    server's kernel had taken the whole request, and for `RESET_AT_ONCE_MS` for
    others.

    Args:
        source: Socket of which a read has returned the end.
        began_early: Whether the response began before its request was taken.
        deadline_at_ms: When to stop waiting, on the monotonic clock; None for
            no further limit.

    Raises:
        ConnectionError: The connection was reset, or it ended before the
            request was taken.
    """
    if not began_early:
        _check_reset(source, RESET_AT_ONCE_MS)
        return
    now_ms = clock.monotonic_ms()
    until_ms = now_ms + MAX_WAIT_MS
    if deadline_at_ms is not None:
        until_ms = min(until_ms, deadline_at_ms)
    stalled_ms = now_ms + MAX_STALL_MS
    untaken = unacknowledged_bytes(source)
    while untaken:
        _check_reset(source, LOOK_MS)
        now_ms = clock.monotonic_ms()
        previous, untaken = untaken, unacknowledged_bytes(source)
        if untaken is not None and untaken < previous:
            stalled_ms = now_ms + MAX_STALL_MS
        if untaken and now_ms >= min(stalled_ms, until_ms):
            raise ConnectionError(
                "the response ended with its connection, before the server"
                f" had taken the last {untaken} bytes of the request"
            )
    wait_ms = min(RESET_WAIT_MS, until_ms - clock.monotonic_ms())
    _check_reset(source, max(0, wait_ms))


def _check_reset(source: socket.socket, timeout_ms: int) -> None:
    """Raise ConnectionResetError if a reset arrives in time.

    It is seen also if a failed write has taken the error from the socket.
    """
    poll = select.poll()
    # Without any events, only errors and a reset end the wait.
    poll.register(source, 0)
    if poll.poll(timeout_ms):
        raise ConnectionResetError(
            "the connection was reset at the end of the response"
        )


@functools.cache
def _log_unknown(code: int | None) -> None:
    """Log once that the platform does not tell what the peer has taken."""
    _LOG.warning(
        "http: can't tell whether requests were taken (error %s): ends of"
        " responses without a length are judged by resets only",
        code,
    )
