"""Datagrams with which gateways exchange the load that they put on runners.

UDP avoids a connection between every pair of gateways. Lost datagrams are not
sent again, since they only make a forecast slightly worse. `load_mesh` decides
which gateways exchange datagrams.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import logging
import socket
import threading
from typing import TypeAlias
from typing import final

from wisteriawall.gateway import engine_contents
from wisteriawall.gateway import load_mesh
from wisteriawall.gateway import paced_sender
from wisteriawall.wire import envelope
from wisteriawall.wire import gateway_messages

__all__ = ["PeerLoadChannel"]

_LOG = logging.getLogger("gateway")

MAX_DATAGRAM_BYTES = 60_000
# Events wait this long for others that go into the same datagram. The delay
# bounds the number of datagrams, which counts on VMs with a fraction of a core.
BATCH_DELAY_S = 0.005
# Pause after an error of the socket, which may last.
ERROR_PAUSE_S = 0.1
# Longest wait in `close` for each thread.
CLOSE_TIMEOUT_S = 0.2
# Events that wait for the sending thread; further ones are dropped.
MAX_PENDING_EVENTS = 2_000

Address: TypeAlias = tuple[str, int]


@final
class PeerLoadChannel:
    """Send this gateway's load events to all others, and receive theirs.

    Args:
        name: Name of this gateway.
        address: Host and port to bind; port 0 selects a free port.
        codec: Encodes and authenticates messages with the cluster key.
        receive: Called with the events of a datagram, on the receiving thread.
        receive_contents: Called there with what other gateways tell about
            engines.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        codec: envelope.Codec[gateway_messages.LoadEventBatch],
        receive: Callable[[list[gateway_messages.LoadEvent]], None],
        receive_contents: Callable[
            [list[gateway_messages.EngineContents]], None
        ] = lambda contents: None,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, int(port)))
        bound_host, bound_port = self._socket.getsockname()
        self.address = f"{bound_host}:{bound_port}"
        self._name = name
        self._codec = codec
        self._receive = receive
        self._receive_contents = receive_contents
        self._row_addresses: list[Address] = []
        self._column_addresses: list[Address] = []
        self._lock = threading.Lock()
        self._pending: list[gateway_messages.LoadEvent] = []
        self._forwarded: list[gateway_messages.LoadEvent] = []
        self._has_pending = threading.Event()
        self._closing = threading.Event()
        self._paced = paced_sender.PacedSender(
            lambda data, address: self._send_datagram(data, [address])
        )
        self._threads = [
            threading.Thread(target=target, name=name, daemon=True)
            for target, name in (
                (self._receive_datagrams, "peer-load-receive"),
                (self._send_batches, "peer-load-send"),
            )
        ]

    def start(self) -> None:
        """Start the threads that receive and send datagrams."""
        self._paced.start()
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop the threads and release the port; unsent events are dropped."""
        self._closing.set()
        self._has_pending.set()
        self._paced.close()
        # Ends the receive; the error is that the socket is not connected.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        for thread in self._threads:
            if thread.is_alive():
                thread.join(timeout=CLOSE_TIMEOUT_S)
            if thread.is_alive():
                _LOG.error("gateway: the thread %s did not end", thread.name)
        self._socket.close()

    def set_peers(self, peers: Iterable[gateway_messages.GatewayPeer]) -> None:
        """Replace the other gateways that receive events."""
        address_by_name = {p.name: _parse_address(p.address) for p in peers}
        neighbors = load_mesh.find_neighbors(self._name, address_by_name)
        self._row_addresses = [address_by_name[n] for n in neighbors.row]
        self._column_addresses = [address_by_name[n] for n in neighbors.column]

    def broadcast(self, event: gateway_messages.LoadEvent) -> None:
        """Queue an event, sent with others after the batch delay."""
        with self._lock:
            if len(self._pending) < MAX_PENDING_EVENTS:
                self._pending.append(event)
        self._has_pending.set()

    def tell_contents(self, contents: gateway_messages.EngineContents) -> None:
        """Send what an engine holds, in several datagrams and with pauses."""
        for piece in engine_contents.in_datagrams(contents):
            for addresses, forward in (
                (self._column_addresses, True),
                (self._row_addresses, False),
            ):
                self._queue_contents([piece], addresses, forward=forward)

    def _queue_contents(
        self,
        contents: list[gateway_messages.EngineContents],
        addresses: list[Address],
        *,
        forward: bool,
    ) -> None:
        if addresses:
            batch = gateway_messages.LoadEventBatch([], forward, contents)
            self._paced.queue(self._codec.encode(batch), addresses)

    def _forward(self, events: list[gateway_messages.LoadEvent]) -> None:
        """Queue events of other gateways for the row."""
        with self._lock:
            if len(self._forwarded) < MAX_PENDING_EVENTS:
                self._forwarded += events
        self._has_pending.set()

    def _send_batches(self) -> None:
        while not self._closing.is_set():
            self._has_pending.wait()
            self._closing.wait(BATCH_DELAY_S)
            self._has_pending.clear()
            with self._lock:
                own, self._pending = self._pending, []
                forwarded, self._forwarded = self._forwarded, []
            try:
                self._send(own, self._column_addresses, forward=True)
                self._send(
                    [*own, *forwarded], self._row_addresses, forward=False
                )
            except Exception:
                # Nothing but this thread would send the next events.
                _LOG.exception("gateway: sending load events failed")

    def _send(
        self,
        events: list[gateway_messages.LoadEvent],
        addresses: list[Address],
        *,
        forward: bool,
    ) -> None:
        if not events or not addresses:
            return
        for data in self._encode(events, forward=forward):
            self._send_datagram(data, addresses)

    def _encode(
        self, events: list[gateway_messages.LoadEvent], *, forward: bool
    ) -> Iterator[bytes]:
        """Yield the datagrams of a batch, without events that fit into none.

        What an event holds comes from callers and runners.
        """
        batch = gateway_messages.LoadEventBatch(events, forward)
        reason = "over the datagram limit"
        try:
            data = self._codec.encode(batch)
        except (OverflowError, UnicodeEncodeError) as error:
            reason = repr(error)
        else:
            if len(data) <= MAX_DATAGRAM_BYTES:
                yield data
                return
        if len(events) == 1:
            _LOG.warning(
                "gateway: a load event of runner %s not sent: %s",
                events[0].upstream_id,
                reason,
            )
            return
        middle = len(events) // 2
        yield from self._encode(events[:middle], forward=forward)
        yield from self._encode(events[middle:], forward=forward)

    def _send_datagram(self, data: bytes, addresses: list[Address]) -> None:
        for target in addresses:
            # A failed send is the same as a lost datagram.
            with contextlib.suppress(OSError):
                self._socket.sendto(data, target)

    def _receive_datagrams(self) -> None:
        while not self._closing.is_set():
            try:
                data = self._socket.recv(MAX_DATAGRAM_BYTES)
                if self._closing.is_set():
                    return
                _, message = self._codec.decode(data)
            except envelope.MessageRejected as error:
                _LOG.warning("gateway: rejected a load datagram: %s", error)
                continue
            except OSError as error:
                if self._closing.is_set():
                    return
                _LOG.warning(
                    "gateway: receiving a load datagram failed: %s", error
                )
                self._closing.wait(ERROR_PAUSE_S)
                continue
            except Exception:
                # Nothing but this thread would receive the next datagram.
                _LOG.exception("gateway: reading a load datagram failed")
                continue
            try:
                self._apply(message)
            except Exception:
                # Nothing but this thread would receive the next events.
                _LOG.exception("gateway: applying load events failed")

    def _apply(self, message: gateway_messages.LoadEventBatch) -> None:
        if message.events:
            if message.forward:
                self._forward(message.events)
            self._receive(message.events)
        if message.contents:
            if message.forward:
                self._queue_contents(
                    message.contents, self._row_addresses, forward=False
                )
            self._receive_contents(message.contents)


def _parse_address(address: str) -> Address:
    host, _, port = address.rpartition(":")
    return host, int(port)
