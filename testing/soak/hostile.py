"""A few hostile clients beside the callers, bounded in number and in bytes."""

from collections.abc import Iterator
import contextlib
import itertools
import random
import select
import socket
import threading
from typing import final

from support import hostile_clients
from support import platform_site

from soak import accounts

CONNECT_TIMEOUT_S = 1.0
# Time for which a connection stays open after its last byte.
HELD_S = 2.0
# Longest pause between two connections, and between two pieces of a slow one.
MAX_PAUSE_S = 0.5
MAX_PIECES = 200
# Cases of `support.hostile_clients`; each client repeats one of them.
UNREAD = "10,000 pipelined requests, unread"
NAMES = (
    "one byte short",
    "one byte short, chunks",
    "few bytes a second sent",
    "stopped halfway",
    UNREAD,
)
# Marks complete requests, which no check knows. A runner must not get others.
MARK = "X-Soak-Hostile"
HOST_LINE = f"Host: {platform_site.HOST}\r\n"


def pieces(name: str, chance: random.Random) -> Iterator[bytes]:
    """Yield what a connection sends, with the key of an account."""
    added = f"{accounts.AUTHORIZATION}: {accounts.SCHEME}{accounts.HOSTILE_KEY}"
    if name == UNREAD:
        added += f"\r\n{MARK}: {name}"
    line = f"{HOST_LINE}{added}\r\n".encode()
    sent = hostile_clients.CASES[name].pieces(chance)
    for piece in itertools.islice(sent, MAX_PIECES):
        yield piece.replace(HOST_LINE.encode(), line)


@final
class HostileClient:
    """One client; opens one connection after another until it is stopped.

    Args:
        number: Number of the client, which chooses what it does.
        seed: Seed of its choices.
        address_by_gateway: The gateways that it chooses from.
    """

    def __init__(
        self, *, number: int, seed: int, address_by_gateway: dict[str, str]
    ) -> None:
        self._name = NAMES[number % len(NAMES)]
        self._chance = random.Random(f"{seed}/hostile/{number}")
        self._addresses = list(address_by_gateway.values())
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start to connect."""
        self._thread.start()

    def stop(self) -> None:
        """Close the connection and end."""
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping.wait(self._chance.uniform(0, MAX_PAUSE_S)):
            host, _, port = self._chance.choice(self._addresses).rpartition(":")
            # A gateway may refuse or close the connection at any time.
            with (
                contextlib.suppress(OSError),
                socket.create_connection(
                    (host, int(port)), CONNECT_TIMEOUT_S
                ) as connection,
            ):
                self._send(connection)
                self._stopping.wait(HELD_S)

    def _send(self, connection: socket.socket) -> None:
        """Send all pieces, or as much as the gateway takes.

        Raises:
            OSError: The connection failed, or takes no more bytes.
        """
        pause_s = hostile_clients.CASES[self._name].pause_s
        for piece in pieces(self._name, self._chance):
            connection.sendall(piece)
            if pause_s and self._stopping.wait(min(pause_s, MAX_PAUSE_S)):
                return
            # Nothing is read, but an end of the connection is noticed.
            poll = select.poll()
            poll.register(connection, select.POLLRDHUP)
            if poll.poll(0):
                return
