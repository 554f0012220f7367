"""pynng sockets that carry control messages over TCP.

- `RpcServer` answers requests on several threads; `RpcClient` sends a request
  and waits for its answer.
- `PeerConnections` sends one-way messages to a `PeerServer`. A message to an
  unreachable peer is dropped, which the protocols above tolerate.
- `Publisher` sends one-way messages to any number of `Subscriber` sockets.

NNG frees its memory when the interpreter ends, and a thread that still uses it
then crashes the process. So each socket must be closed before. `close` may be
called repeatedly.

NNG may also abort the process when one thread closes a socket while another
sends or receives on it, or begins to. So servers first wait for the threads
that use the socket, which look now and then whether it is being closed, and a
client's socket is closed after its last call.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import logging
import threading
import time
from typing import final

import pynng

from wisteriawall import errors

__all__ = [
    "AddressRejected",
    "PeerConnections",
    "PeerServer",
    "Publisher",
    "RpcClient",
    "RpcClosed",
    "RpcServer",
    "RpcTimeout",
    "Subscriber",
]


_LOG = logging.getLogger("rpc")

RPC_TIMEOUT_MS = 1_000
MS_PER_S = 1_000
# Pause of a serving thread after an error, which may last.
ERROR_PAUSE_S = 0.01
# Interval at which a receiving thread looks whether its socket is being closed.
RECEIVE_TIMEOUT_MS = 100
# An error that lasts comes with each message.
ERROR_LOG_INTERVAL_S = 10.0
# Longest time that a call sends without looking whether its client was closed.
# A request is sent as soon as the server is connected.
SEND_ATTEMPT_MS = 100
RPC_THREADS = 8
PEER_BUFFER_MESSAGES = 64
# NNG must not repeat a request: it could be carried out twice.
RESEND_DISABLED_MS = -1
# Longest wait in `close` for threads that use the closed socket.
CLOSE_TIMEOUT_S = 1.0


@final
class AddressRejected(errors.WisteriawallError):
    """An address can't be dialled, as one without a port."""


@final
class RpcTimeout(errors.WisteriawallError):
    """No answer arrived; the request may still have been carried out.

    Attributes:
        is_sent: Whether there was a connection, on which the request was sent.
    """

    def __init__(self, message: str, *, is_sent: bool) -> None:
        super().__init__(message)
        self.is_sent = is_sent


@final
class RpcClosed(errors.WisteriawallError):
    """The client is closed; the request was not sent."""


def _join(threads: Iterable[threading.Thread]) -> None:
    """Wait for threads that were told to end."""
    deadline_s = time.monotonic() + CLOSE_TIMEOUT_S
    for thread in threads:
        if not thread.is_alive():
            continue
        thread.join(timeout=max(0.0, deadline_s - time.monotonic()))
        if thread.is_alive():
            _LOG.error(
                "rpc: the thread %s did not end before its socket is closed",
                thread.name,
            )


@final
class RpcServer:
    """Answers requests that arrive at one address.

    Args:
        address: Host and port to listen on, such as `127.0.0.1:7000`; port 0
            lets the operating system choose a free port. The attribute
            `address` has the chosen one.
        handler: Returns the answer to a request, or None to send none. It is
            called from several threads.
        threads: Number of threads that are kept to handle requests.
        max_threads: Number of requests that are handled at the same time, by
            threads that are started while all others are busy; 0 for `threads`.
    """

    def __init__(
        self,
        *,
        address: str,
        handler: Callable[[bytes], bytes | None],
        threads: int = RPC_THREADS,
        max_threads: int = 0,
    ) -> None:
        self._socket = pynng.Rep0(recv_timeout=RECEIVE_TIMEOUT_MS)
        listener = self._socket.listen(f"tcp://{address}")
        self.address = str(listener.local_address)
        self._handler = handler
        self._errors = _HandlerErrors()
        self._closing = threading.Event()
        self._kept_threads = threads
        self._max_threads = max_threads or threads
        # Guards the attributes below.
        self._lock = threading.Lock()
        self._threads: set[threading.Thread] = set()
        # Of these, those that don't end, and those that handle a request.
        self._serving_count = self._busy_count = 0

    def start(self) -> None:
        """Start the threads that answer requests."""
        with self._lock:
            for _ in range(self._kept_threads):
                self._start_thread()

    def close(self) -> None:
        """Stop answering, release the port and wait for the threads."""
        with self._lock:
            self._closing.set()
            threads = list(self._threads)
        # Each thread closes its own context: pynng raises a TypeError in a
        # thread whose context another one closed.
        _join(threads)
        self._socket.close()

    def _start_thread(self) -> None:
        thread = threading.Thread(target=self._serve, name="rpc", daemon=True)
        thread.start()
        self._threads.add(thread)
        self._serving_count += 1

    def _serve(self) -> None:
        with (
            contextlib.suppress(pynng.Closed),
            self._socket.new_context() as context,
        ):
            while not self._closing.is_set():
                if not self._serve_one(context) and self._may_leave():
                    break
        # Its context is closed, so `close` need not wait for it.
        with self._lock:
            self._threads.discard(threading.current_thread())

    def _may_leave(self) -> bool:
        """Return whether this thread, which had no request, is to end."""
        with self._lock:
            if self._serving_count <= self._kept_threads + self._busy_count:
                return False
            self._serving_count -= 1
            return True

    @contextlib.contextmanager
    def _hold_thread(self) -> Iterator[None]:
        """Let another thread wait for requests during the block."""
        with self._lock:
            if (
                self._busy_count + 1 == self._serving_count
                and self._serving_count < self._max_threads
                and not self._closing.is_set()
            ):
                self._start_thread()
            self._busy_count += 1
        try:
            yield
        finally:
            with self._lock:
                self._busy_count -= 1

    def _serve_one(self, context: pynng.Context) -> bool:
        """Answer one request; return whether there was one."""
        try:
            request = context.recv()
            with self._hold_thread():
                answer = self._handler(request)
            if answer is not None and not self._closing.is_set():
                context.send(answer)
        except pynng.Closed:
            raise
        except pynng.Timeout:
            return False
        except pynng.NNGException as error:
            # The requester disconnected before it had the answer.
            _LOG.info("rpc: an exchange failed: %s", error)
            self._closing.wait(ERROR_PAUSE_S)
        except Exception:
            # Nothing but these threads would answer. The requester gets no
            # answer to this request.
            self._errors.log()
            self._closing.wait(ERROR_PAUSE_S)
        return True


@final
class RpcClient:
    """Sends requests to one address; may be called from any thread.

    Args:
        address: Host and port of the server.
        timeout_ms: Longest time to send a request, and again to receive the
            answer.

    Raises:
        AddressRejected: The address can't be dialled.
    """

    def __init__(
        self, *, address: str, timeout_ms: int = RPC_TIMEOUT_MS
    ) -> None:
        self._address = address
        self._timeout_ms = timeout_ms
        # Guards the attributes below; notified when a call ends.
        self._condition = threading.Condition()
        self._call_count_by_socket: dict[pynng.Req0, int] = {}
        self._closed = False
        self._socket = self._connect()
        # What `_socket` replaced, until a call succeeds.
        self._replaced: pynng.Req0 | None = None

    def call(self, request: bytes) -> bytes:
        """Return the answer to `request`.

        Raises:
            RpcTimeout: The request was not sent, or its answer did not arrive,
                within the timeout or before the client was closed.
            RpcClosed: The client was closed before the call.
        """
        is_sent = False
        with self._hold_socket() as socket:
            try:
                with socket.new_context() as context:
                    self._send(context, request)
                    is_sent = True
                    answer: bytes = context.recv()
            except pynng.NNGException as error:
                self._reconnect(socket)
                failure = "no answer to the request"
                raise RpcTimeout(
                    f"{failure if is_sent else 'no connection'}: {error}",
                    is_sent=is_sent,
                ) from error
            if self._replaced is not None:
                self._keep_only(socket)
            return answer

    def close(self) -> None:
        """Close the connection after calls in progress, and wait for them.

        A call whose request was not sent ends within `SEND_ATTEMPT_MS`, the
        others with their answer or their timeout.
        """
        self.close_after_calls()
        with self._condition:
            has_ended = self._condition.wait_for(
                lambda: not self._call_count_by_socket,
                timeout=self._timeout_ms / MS_PER_S + CLOSE_TIMEOUT_S,
            )
        if not has_ended:
            _LOG.error("rpc: a call did not end when its client was closed")

    def close_after_calls(self) -> None:
        """Refuse new calls, and close the connection after those in progress.

        This does not wait for them.
        """
        with self._condition:
            self._closed = True
            self._close_unused(self._socket)
            self._close_unused(self._replaced)

    def _send(self, context: pynng.Context, request: bytes) -> None:
        """Send a request within the timeout, or until the client is closed.

        An attempt that timed out has sent nothing, so it can be repeated.
        """
        deadline_s = time.monotonic() + self._timeout_ms / MS_PER_S
        while True:
            try:
                context.send(request)
            except pynng.Timeout:
                if self._closed or time.monotonic() >= deadline_s:
                    raise
            else:
                return

    @contextlib.contextmanager
    def _hold_socket(self) -> Iterator[pynng.Req0]:
        """Yield the socket.

        If it is not needed any more or the client was closed, the last call
        closes it.
        """
        with self._condition:
            if self._closed:
                raise RpcClosed("the client is closed")
            socket = self._socket
            count = self._call_count_by_socket.get(socket, 0)
            self._call_count_by_socket[socket] = count + 1
        try:
            yield socket
        finally:
            with self._condition:
                self._call_count_by_socket[socket] -= 1
                if not self._call_count_by_socket[socket]:
                    del self._call_count_by_socket[socket]
                    if self._closed or (
                        socket is not self._socket
                        and socket is not self._replaced
                    ):
                        socket.close()
                self._condition.notify_all()

    def _connect(self) -> pynng.Req0:
        socket = pynng.Req0(
            recv_timeout=self._timeout_ms,
            send_timeout=min(self._timeout_ms, SEND_ATTEMPT_MS),
            resend_time=RESEND_DISABLED_MS,
        )
        try:
            socket.dial(f"tcp://{self._address}", block=False)
        except (pynng.AddressInvalid, pynng.InvalidOperation) as error:
            socket.close()
            raise AddressRejected(f"{self._address!r}: {error}") from error
        return socket

    def _reconnect(self, failed: pynng.Req0) -> None:
        """Replace the socket on which a call failed.

        Its connection may have gone silent, so the next call uses a new one. If
        that can't be opened, the call after it uses the former one again, which
        may only have been slow.

        Another thread may already have replaced the socket, or closed the
        client. Other calls still use it: NNG aborts the process if it is closed
        while they time out.
        """
        with self._condition:
            if self._socket is not failed or self._closed:
                return
            replaced = self._replaced
            if replaced is not None and replaced.pipes and not failed.pipes:
                self._socket, self._replaced = replaced, failed
                return
            self._socket, self._replaced = self._connect(), failed
            self._close_unused(replaced)

    def _keep_only(self, socket: pynng.Req0) -> None:
        """Close the other socket after a call on this one has succeeded."""
        with self._condition:
            if self._closed:
                return
            if socket is self._replaced:
                self._socket, self._replaced = socket, self._socket
            if socket is self._socket:
                replaced, self._replaced = self._replaced, None
                self._close_unused(replaced)

    def _close_unused(self, socket: pynng.Req0 | None) -> None:
        """Close a socket, unless calls use it, the last of which closes it."""
        if socket is not None and socket not in self._call_count_by_socket:
            socket.close()


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
        self._socket = pynng.Pull0(recv_timeout=RECEIVE_TIMEOUT_MS)
        self._socket.listen(f"tcp://{address}")
        self._on_message = on_message
        self._closing = threading.Event()
        self._thread = threading.Thread(
            target=self._receive_messages, name="peers", daemon=True
        )

    def start(self) -> None:
        """Start the receiving thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop receiving, wait for the thread and release the port."""
        self._closing.set()
        _join([self._thread])
        self._socket.close()

    def _receive_messages(self) -> None:
        _receive_until_closed(self._socket, self._on_message, self._closing)


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
        connections are closed. A peer whose address can't be dialled, as one
        without a port, is logged and left out.
        """
        for peer, address in list(self._address_by_peer.items()):
            if address_by_peer.get(peer) != address:
                self._socket_by_peer.pop(peer).close()
                del self._address_by_peer[peer]
        for peer, address in address_by_peer.items():
            if peer in self._address_by_peer:
                continue
            try:
                self._socket_by_peer[peer] = self._connect(address)
            except (pynng.AddressInvalid, pynng.InvalidOperation) as error:
                _LOG.error(
                    "rpc: can't dial peer %s at %r: %s", peer, address, error
                )
            else:
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
        self.set_peers({})

    @staticmethod
    def _connect(address: str) -> pynng.Push0:
        socket = pynng.Push0(send_buffer_size=PEER_BUFFER_MESSAGES)
        try:
            socket.dial(f"tcp://{address}", block=False)
        except pynng.NNGException:
            socket.close()
            raise
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
        self._socket = pynng.Sub0(
            recv_buffer_size=PEER_BUFFER_MESSAGES,
            recv_timeout=RECEIVE_TIMEOUT_MS,
        )
        self._socket.subscribe(b"")
        self._dialer_by_address: dict[str, pynng.Dialer] = {}
        self._on_message = on_message
        self._closing = threading.Event()
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
        """Wait for the thread and close all connections."""
        self._closing.set()
        _join([self._thread])
        self._socket.close()

    def _receive_messages(self) -> None:
        _receive_until_closed(self._socket, self._on_message, self._closing)


@final
class _HandlerErrors:
    """Logs unexpected errors of a handler; the same message may come often."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._logged_s: float | None = None
        self._unlogged = 0

    def log(self) -> None:
        """Log the exception that is handled now, unless one just was."""
        now_s = time.monotonic()
        with self._lock:
            logged_s = self._logged_s
            if logged_s is not None and now_s - logged_s < ERROR_LOG_INTERVAL_S:
                self._unlogged += 1
                return
            self._logged_s = now_s
            unlogged, self._unlogged = self._unlogged, 0
        _LOG.exception(
            "rpc: handling a message failed; %d more errors since the last"
            " such line",
            unlogged,
        )


def _receive_until_closed(
    socket: pynng.Socket,
    on_message: Callable[[bytes], None],
    closing: threading.Event,
) -> None:
    """Pass each message to a handler, until the socket is closed."""
    handler_errors = _HandlerErrors()
    with contextlib.suppress(pynng.Closed):
        while not closing.is_set():
            try:
                data = _receive(socket)
            except pynng.Timeout:
                continue
            try:
                on_message(data)
            except Exception:
                # Nothing but this thread would receive the next message.
                handler_errors.log()
                closing.wait(ERROR_PAUSE_S)


def _receive(socket: pynng.Socket) -> bytes:
    """Return the next message, which may be empty.

    `Socket.recv` of pynng raises RuntimeError for an empty message.
    """
    data: bytes = socket.recv_msg().bytes
    return data
