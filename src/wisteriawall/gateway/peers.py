"""Datagrams by which gateways tell each other what they send to runners.

A lost datagram makes a forecast a little worse and is not repeated, so no
connection between every pair of gateways is kept.
"""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import logging
import socket
import threading
from typing import final

from wisteriawall.wire import envelope
from wisteriawall.wire import site_messages

__all__ = ["PeerNews"]

_LOG = logging.getLogger("gateway")

MAX_DATAGRAM_BYTES = 60_000
FLUSH_S = 0.005


@final
class PeerNews:
    """Send this gateway's steps to the others, and receive theirs.

    Args:
        address: Host and port at which datagrams arrive.
        codec: Authenticates messages with the cluster key.
        receive: Takes the steps of another gateway, on another thread.
    """

    def __init__(
        self,
        *,
        address: str,
        codec: envelope.Codec[site_messages.LoadNews],
        receive: Callable[[list[site_messages.LoadEvent]], None],
    ) -> None:
        host, _, port = address.rpartition(":")
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, int(port)))
        bound_host, bound_port = self._socket.getsockname()
        self.address = f"{bound_host}:{bound_port}"
        self._codec = codec
        self._receive = receive
        self._targets: list[tuple[str, int]] = []
        self._lock = threading.Lock()
        self._waiting: list[site_messages.LoadEvent] = []
        self._due = threading.Event()
        self._closed = False
        self._threads = [
            threading.Thread(target=target, name=name, daemon=True)
            for target, name in (
                (self._listen, "peer-news"),
                (self._flush, "peer-news-out"),
            )
        ]

    def start(self) -> None:
        """Start receiving and sending."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop, and release the port."""
        self._closed = True
        self._due.set()
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def follow(self, peers: Iterable[site_messages.GatewayPeer]) -> None:
        """Send to exactly these gateways from now on."""
        targets = []
        for peer in peers:
            host, _, port = peer.address.rpartition(":")
            targets.append((host, int(port)))
        self._targets = targets

    def tell(self, event: site_messages.LoadEvent) -> None:
        """Send a step soon, together with others of the same moment."""
        with self._lock:
            self._waiting.append(event)
        self._due.set()

    def _flush(self) -> None:
        while not self._closed:
            self._due.wait()
            threading.Event().wait(FLUSH_S)
            self._due.clear()
            with self._lock:
                events, self._waiting = self._waiting, []
            if not events:
                continue
            data = self._codec.encode(site_messages.LoadNews(events))
            if len(data) > MAX_DATAGRAM_BYTES:
                _LOG.warning(
                    "gateway: %d steps not told: too long", len(events)
                )
                continue
            for target in self._targets:
                with contextlib.suppress(OSError):
                    self._socket.sendto(data, target)

    def _listen(self) -> None:
        while not self._closed:
            try:
                data = self._socket.recv(MAX_DATAGRAM_BYTES)
                if self._closed:
                    return
                _, news = self._codec.decode(data)
            except envelope.MessageRejected as error:
                _LOG.warning("gateway: dropped a datagram: %s", error)
                continue
            except OSError as error:
                if not self._closed:
                    _LOG.warning("gateway: datagrams: %s", error)
                    continue
                return
            self._receive(news.events)
