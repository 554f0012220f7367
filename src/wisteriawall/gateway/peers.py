"""Datagrams with which gateways exchange the load that they put on runners.

UDP avoids a connection between every pair of gateways. Lost datagrams are not
sent again, since they only make a forecast slightly worse.
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

__all__ = ["PeerLoadChannel"]

_LOG = logging.getLogger("gateway")

MAX_DATAGRAM_BYTES = 60_000
BATCH_DELAY_S = 0.005


@final
class PeerLoadChannel:
    """Broadcast this gateway's load events, and receive those of others.

    Args:
        address: Host and port to bind; port 0 selects a free port.
        codec: Encodes and authenticates messages with the cluster key.
        receive: Called with the events of a datagram, on the receiving thread.
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
        self._peer_addresses: list[tuple[str, int]] = []
        self._lock = threading.Lock()
        self._pending: list[site_messages.LoadEvent] = []
        self._has_pending = threading.Event()
        self._closed = False
        self._threads = [
            threading.Thread(target=target, name=name, daemon=True)
            for target, name in (
                (self._receive_datagrams, "peer-load-receive"),
                (self._send_batches, "peer-load-send"),
            )
        ]

    def start(self) -> None:
        """Start the threads that receive and send datagrams."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop both threads and release the port; unsent events are dropped."""
        self._closed = True
        self._has_pending.set()
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def set_peers(self, peers: Iterable[site_messages.GatewayPeer]) -> None:
        """Replace the gateways to which events are sent."""
        peer_addresses = []
        for peer in peers:
            host, _, port = peer.address.rpartition(":")
            peer_addresses.append((host, int(port)))
        self._peer_addresses = peer_addresses

    def broadcast(self, event: site_messages.LoadEvent) -> None:
        """Queue an event, sent with others after `BATCH_DELAY_S`."""
        with self._lock:
            self._pending.append(event)
        self._has_pending.set()

    def _send_batches(self) -> None:
        while not self._closed:
            self._has_pending.wait()
            threading.Event().wait(BATCH_DELAY_S)
            self._has_pending.clear()
            with self._lock:
                events, self._pending = self._pending, []
            if not events:
                continue
            data = self._codec.encode(site_messages.LoadNews(events))
            if len(data) > MAX_DATAGRAM_BYTES:
                _LOG.warning(
                    "gateway: %d load events not sent: over the datagram limit",
                    len(events),
                )
                continue
            for target in self._peer_addresses:
                with contextlib.suppress(OSError):
                    self._socket.sendto(data, target)

    def _receive_datagrams(self) -> None:
        while not self._closed:
            try:
                data = self._socket.recv(MAX_DATAGRAM_BYTES)
                if self._closed:
                    return
                _, message = self._codec.decode(data)
            except envelope.MessageRejected as error:
                _LOG.warning("gateway: rejected a load datagram: %s", error)
                continue
            except OSError as error:
                if not self._closed:
                    _LOG.warning(
                        "gateway: receiving a load datagram failed: %s", error
                    )
                    continue
                return
            self._receive(message.events)
