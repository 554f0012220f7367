"""Pool of idle HTTP connections to runners and agents."""

from collections import defaultdict
import dataclasses
import enum
import socket
import threading
from typing import final

from wisteriawall import clock
from wisteriawall.web import runner_connection

__all__ = ["ConnectionPool", "PeerState", "probe"]

CONNECT_TIMEOUT_S = 2.0
MAX_IDLE_PER_ADDRESS = 32
# The kernel closes a connection whose sent bytes stay unacknowledged for this
# long, so that a peer that was lost without a reset is detected.
TCP_USER_TIMEOUT_MS = 3_000
TCP_KEEPALIVE_INTERVAL_S = 1
TCP_KEEPALIVE_PROBES = 3
NO_LIMIT_MS = 1 << 62

SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES),
]


@final
class PeerState(enum.Enum):
    """Whether a server takes connections; values appear in the decision log.

    UNKNOWN stands for a server that didn't respond in time, too.
    """

    LISTENING = "listening"
    REFUSING = "refusing"
    UNKNOWN = "unknown"


def probe(address: str, *, timeout_s: float) -> PeerState:
    """Return whether the host and port `address` take a new connection."""
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), timeout_s).close()
    except ConnectionRefusedError:
        return PeerState.REFUSING
    except OSError:
        return PeerState.UNKNOWN
    return PeerState.LISTENING


@final
@dataclasses.dataclass(slots=True)
class _IdleConnection:
    """An idle connection; times are of the monotonic clock.

    `expires_ms` is when the peer may close it.
    """

    connection: runner_connection.RunnerConnection
    idle_since_ms: int
    expires_ms: int


@final
class ConnectionPool:
    """Idle connections by address; any thread may use the pool.

    Args:
        connect_timeout_s: Seconds to wait for a new connection.
    """

    def __init__(self, *, connect_timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._lock = threading.Lock()
        self._closed = False
        self._idle_by_address: defaultdict[str, list[_IdleConnection]] = (
            defaultdict(list)
        )

    def acquire(
        self,
        address: str,
        *,
        force_new: bool,
        max_idle_ms: int = NO_LIMIT_MS,
        answer_id: str | None = None,
    ) -> runner_connection.RunnerConnection:
        """Return an open connection to `address`.

        Args:
            address: Host and port.
            force_new: Whether to open a new connection instead of an idle one.
            max_idle_ms: Longest idle time of a connection to reuse. After a
                longer one the peer may close it just as it is used.
            answer_id: Id of the request to send. A connection that had a
                request with it lately is not reused, as a late response to
                that one could not be told from the response to this one.

        Raises:
            urllib3.exceptions.HTTPError: The connection could not be opened.
        """
        while not force_new:
            idle = self._pop_idle(address, answer_id)
            if idle is None:
                break
            now_ms = clock.monotonic_ms()
            recent = now_ms - idle.idle_since_ms <= max_idle_ms
            usable = recent and now_ms < idle.expires_ms
            # `is_connected` is also False when bytes wait to be read; they
            # belong to an earlier response.
            if usable and idle.connection.is_connected:
                return idle.connection
            idle.connection.close()
        host, _, port = address.rpartition(":")
        connection = runner_connection.RunnerConnection(
            host,
            int(port),
            timeout=self._connect_timeout_s,
            socket_options=SOCKET_OPTIONS,
        )
        connection.connect()
        return connection

    def release(
        self,
        address: str,
        connection: runner_connection.RunnerConnection,
        *,
        keep_alive_ms: int = NO_LIMIT_MS,
    ) -> None:
        """Return an open connection whose last response was read completely.

        It may be reused for `keep_alive_ms`. It is closed instead if it can't
        be reused, if the pool is closed or if the pool has enough idle
        connections to `address`.
        """
        now_ms = clock.monotonic_ms()
        reusable = connection.check_reusable()
        with self._lock:
            idle = self._idle_by_address[address]
            has_room = not self._closed and len(idle) < MAX_IDLE_PER_ADDRESS
            if reusable and has_room:
                idle.append(
                    _IdleConnection(connection, now_ms, now_ms + keep_alive_ms)
                )
                return
        connection.close()

    def close_other_addresses(self, addresses: set[str]) -> None:
        """Close the idle connections to addresses not in `addresses`."""
        with self._lock:
            removed = [
                idle
                for address in set(self._idle_by_address) - addresses
                for idle in self._idle_by_address.pop(address)
            ]
        for idle in removed:
            idle.connection.close()

    def close(self) -> None:
        """Close all idle connections, and later each one that is released."""
        with self._lock:
            self._closed = True
        self.close_other_addresses(set())

    def _pop_idle(
        self, address: str, answer_id: str | None
    ) -> _IdleConnection | None:
        """Return the connection used last that had no request with the id."""
        with self._lock:
            idle = self._idle_by_address.get(address, [])
            for index in reversed(range(len(idle))):
                if not idle[index].connection.has_sent(answer_id):
                    return idle.pop(index)
        return None
