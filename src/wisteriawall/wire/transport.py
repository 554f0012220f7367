"""pynng sockets that carry control messages over TCP.

- `RpcServer` answers requests on several threads; `RpcClient` sends a request
  and waits for its answer.
- `PeerConnections` sends one-way messages to a `PeerServer`. A message to an
  unreachable peer is dropped, which the protocols above tolerate.
- `Publisher` sends one-way messages to any number of `Subscriber` sockets.
"""

from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import logging
import threading
from typing import final

import pynng

from wisteriawall import errors

__all__ = [
    "PeerConnections",
    "PeerServer",
    "Publisher",
    "RpcClient",
    "RpcServer",
    "RpcTimeout",
    "Subscriber",
]


_LOG = logging.getLogger("rpc")

RPC_TIMEOUT_MS = 1_000
# Pause of a serving thread after an error, which may last.
ERROR_PAUSE_S = 0.01
RPC_THREADS = 8
PEER_BUFFER_MESSAGES = 64
# NNG must not repeat a request: it could be carried out twice.
RESEND_DISABLED_MS = -1


@final
class RpcTimeout(errors.WisteriawallError):
    """No answer arrived; the request may still have been carried out."""


@final
class RpcServer:
    """Answers requests that arrive at one address.

    Args:
        address: Host and port to listen on, such as `127.0.0.1:7000`.
        handler: Returns the answer to a request, or None to send none. It is
            called from several threads.
        threads: Number of requests that are handled at the same time.
    """

    def __init__(
        self,
        *,
        address: str,
        handler: Callable[[bytes], bytes | None],
        threads: int = RPC_THREADS,
    ) -> None:
        self._socket = pynng.Rep0()
        self._socket.listen(f"tcp://{address}")
        self._handler = handler
        self._closing = threading.Event()
        self._contexts = [self._socket.new_context() for _ in range(threads)]
        self._threads = [
            threading.Thread(
                target=self._serve, args=(context,), name="rpc", daemon=True
            )
            for context in self._contexts
        ]

    def start(self) -> None:
        """Start the threads that answer requests."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop answering and release the port."""
        self._closing.set()
        # A context that is garbage collected after its socket was closed
        # raises an exception, so the contexts are closed first.
        for context in self._contexts:
            context.close()
        for thread in self._threads:
            thread.join(timeout=1.0)
        self._socket.close()

    def _serve(self, context: pynng.Context) -> None:
        while not self._closing.is_set():
            try:
                answer = self._handler(context.recv())
                if answer is not None:
                    context.send(answer)
            except pynng.Closed:
                return
            except pynng.NNGException as error:
                # The requester disconnected before it had the answer.
                _LOG.info("rpc: an exchange failed: %s", error)
                self._closing.wait(ERROR_PAUSE_S)
            except TypeError:
                # pynng raises it for a context that was closed between two
                # calls.
                if not self._closing.is_set():
                    raise
                return


@final
class RpcClient:
    """Sends requests to one address; may be called from any thread.

    Args:
        address: Host and port of the server.
        timeout_ms: Longest time to send a request, and again to receive the
            answer.
    """

    def __init__(
        self, *, address: str, timeout_ms: int = RPC_TIMEOUT_MS
    ) -> None:
        self._address = address
        self._timeout_ms = timeout_ms
        self._lock = threading.Lock()
        self._socket = self._connect()

    def call(self, request: bytes) -> bytes:
        """Return the answer to `request`.

        Raises:
            RpcTimeout: The request was not sent, or its answer did not arrive,
                within the timeout.
        """
        socket = self._socket
        try:
            with socket.new_context() as context:
                context.send(request)
                answer: bytes = context.recv()
                return answer
        except pynng.NNGException as error:
            self._reconnect(socket)
            raise RpcTimeout(f"no answer to the request: {error}") from error

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def _connect(self) -> pynng.Req0:
        socket = pynng.Req0(
            recv_timeout=self._timeout_ms,
            send_timeout=self._timeout_ms,
            resend_time=RESEND_DISABLED_MS,
        )
        socket.dial(f"tcp://{self._address}", block=False)
        return socket

    def _reconnect(self, failed: pynng.Req0) -> None:
        """Replace the socket on which a call failed.

        Its connection may have broken without a TCP reset. Another thread may
        already have replaced it.
        """
        with self._lock:
            if self._socket is failed:
                self._socket = self._connect()
                failed.close()


@final
class PeerServer:
    """Receives one-way messages at one address.

    Args:
        address: Host and port to listen on.
        on_message: Called with each message, on the receiving thread.
    """

    def __init__(
        self, *, address: str, on_message: Callable[[bytes], None]
    ) -> None:
        self._socket = pynng.Pull0()
        self._socket.listen(f"tcp://{address}")
        self._on_message = on_message
        self._thread = threading.Thread(
            target=self._receive_messages, name="peers", daemon=True
        )

    def start(self) -> None:
        """Start the receiving thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop receiving and release the port."""
        self._socket.close()
        self._thread.join(timeout=1.0)

    def _receive_messages(self) -> None:
        with contextlib.suppress(pynng.Closed):
            while True:
                self._on_message(_receive(self._socket))


@final
class PeerConnections:
    """Sends one-way messages to named peers.

    Args:
        address_by_peer: Host and port of each peer, by its name.
    """

    def __init__(self, *, address_by_peer: Mapping[str, str]) -> None:
        self._socket_by_peer: dict[str, pynng.Push0] = {}
        self._address_by_peer: dict[str, str] = {}
        self.set_peers(address_by_peer)

    def set_peers(self, address_by_peer: Mapping[str, str]) -> None:
        """Replace the set of peers.

        Connections to peers whose address did not change are kept; the other
        connections are closed.
        """
        for peer, address in list(self._address_by_peer.items()):
            if address_by_peer.get(peer) != address:
                self._socket_by_peer.pop(peer).close()
                del self._address_by_peer[peer]
        for peer, address in address_by_peer.items():
            if peer not in self._address_by_peer:
                self._socket_by_peer[peer] = self._connect(address)
                self._address_by_peer[peer] = address

    @property
    def disconnected_peers(self) -> list[str]:
        """Return the names of the peers that are not connected now."""
        return [
            peer
            for peer, socket in self._socket_by_peer.items()
            if not socket.pipes
        ]

    def reconnect(self, peer: str) -> None:
        """Replace the connection to `peer`; ignore an unknown peer.

        It is called when a connection may have broken without a TCP reset.
        """
        replaced = self._socket_by_peer.get(peer)
        if replaced is not None:
            self._socket_by_peer[peer] = self._connect(
                self._address_by_peer[peer]
            )
            replaced.close()

    def send(self, *, peer: str, message: bytes) -> None:
        """Send `message` without waiting.

        The message is dropped if the peer is unknown or cannot accept it at
        once, for example because the send buffer is full.
        """
        socket = self._socket_by_peer.get(peer)
        if socket is None:
            return
        with contextlib.suppress(pynng.NNGException):
            socket.send(message, block=False)

    def close(self) -> None:
        """Close all connections."""
        for socket in self._socket_by_peer.values():
            socket.close()

    @staticmethod
    def _connect(address: str) -> pynng.Push0:
        socket = pynng.Push0(send_buffer_size=PEER_BUFFER_MESSAGES)
        socket.dial(f"tcp://{address}", block=False)
        return socket


@final
class Publisher:
    """Sends one-way messages to every subscriber.

    Args:
        address: Host and port to listen on; port 0 lets the operating system
            choose a free port. The attribute `address` has the chosen one.
    """

    def __init__(self, *, address: str) -> None:
        self._socket = pynng.Pub0()
        listener = self._socket.listen(f"tcp://{address}")
        self.address = str(listener.local_address)

    def publish(self, message: bytes) -> None:
        """Send `message`; subscribers that are too slow may miss it."""
        with contextlib.suppress(pynng.NNGException):
            self._socket.send(message)

    def close(self) -> None:
        """Close the connections and release the port."""
        self._socket.close()


@final
class Subscriber:
    """Receives the messages of a changing set of publishers.

    Args:
        on_message: Called with each message, on the receiving thread.
    """

    def __init__(self, *, on_message: Callable[[bytes], None]) -> None:
        self._socket = pynng.Sub0(recv_buffer_size=PEER_BUFFER_MESSAGES)
        self._socket.subscribe(b"")
        self._dialer_by_address: dict[str, pynng.Dialer] = {}
        self._on_message = on_message
        self._thread = threading.Thread(
            target=self._receive_messages, name="feed", daemon=True
        )

    def start(self) -> None:
        """Start the receiving thread."""
        self._thread.start()

    def set_publishers(self, addresses: set[str]) -> None:
        """Replace the set of publishers, given as host and port."""
        for address in addresses - set(self._dialer_by_address):
            self._dialer_by_address[address] = self._socket.dial(
                f"tcp://{address}", block=False
            )
        for address in set(self._dialer_by_address) - addresses:
            self._dialer_by_address.pop(address).close()

    def close(self) -> None:
        """Close all connections."""
        self._socket.close()
        self._thread.join(timeout=1.0)

    def _receive_messages(self) -> None:
        with contextlib.suppress(pynng.Closed):
            while True:
                self._on_message(_receive(self._socket))


def _receive(socket: pynng.Socket) -> bytes:
    """Return the next message, which may be empty.

    `Socket.recv` of pynng raises RuntimeError for an empty message.
    """
    data: bytes = socket.recv_msg().bytes
    return data
