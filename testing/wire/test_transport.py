"""Tests of `wisteriawall.wire.transport`."""

from collections.abc import Callable
import gc
import queue
import subprocess
import sys
import threading

import pynng
import pytest
from support import platform_site

from wisteriawall.demo import cluster
from wisteriawall.wire import transport

TIMEOUTS_SCRIPT = """
import sys, threading, time
from wisteriawall.wire import transport

client = transport.RpcClient(address=sys.argv[1], timeout_ms=1)
end = time.monotonic() + 0.3

def call():
    while time.monotonic() < end:
        try:
            client.call(b"")
        except transport.RpcTimeout:
            pass

threads = [threading.Thread(target=call) for _ in range(4)]
for thread in threads:
    thread.start()
for thread in threads:
    thread.join()
client.close()
"""

CLOSING_SCRIPT = """
import socket, sys, threading, time
from wisteriawall.wire import transport

mute = socket.create_server(("127.0.0.1", 0), backlog=0)
server = transport.RpcServer(address="127.0.0.1:0", handler=lambda data: data)
server.start()
addresses = [sys.argv[1], server.address, f"127.0.0.1:{mute.getsockname()[1]}"]
clients = [
    transport.RpcClient(address=address, timeout_ms=timeout_ms)
    for address in addresses * 2
    for timeout_ms in (5, 20, 100)
]

def call(client):
    while True:
        try:
            client.call(b"x")
        except transport.RpcTimeout:
            pass
        except transport.RpcClosed:
            return

for client in clients:
    for _ in range(2):
        threading.Thread(target=call, args=(client,), daemon=True).start()
time.sleep(0.2)
for client in clients:
    client.close()
server.close()
"""


def test_subscriber_receives_from_publisher_on_port_0() -> None:
    # Messages sent before the subscription is complete are lost, so the message
    # is repeated until it arrives.
    publisher = transport.Publisher(address="127.0.0.1:0")
    received: queue.SimpleQueue[bytes] = queue.SimpleQueue()
    subscriber = transport.Subscriber(on_message=received.put)
    subscriber.start()
    subscriber.set_publishers({publisher.address})
    data = None
    while data is None:
        publisher.publish(b"load")
        try:
            data = received.get(timeout=0.05)
        except queue.Empty:
            continue
    assert data == b"load"
    subscriber.set_publishers(set())
    subscriber.close()
    publisher.close()


def test_unconnected_peer_is_listed_until_reconnect() -> None:
    received: queue.SimpleQueue[bytes] = queue.SimpleQueue()
    addresses = {
        name: cluster.unused_loopback_address() for name in ("up", "down")
    }
    up_server = transport.PeerServer(
        address=addresses["up"], on_message=received.put
    )
    up_server.start()
    links = transport.PeerConnections(address_by_peer=addresses)
    platform_site.wait_until(
        lambda: links.disconnected_peers == ["down"], "one peer"
    )
    down_server = transport.PeerServer(
        address=addresses["down"], on_message=received.put
    )
    down_server.start()
    links.reconnect("down")
    platform_site.wait_until(
        lambda: links.disconnected_peers == [], "both peers"
    )
    links.send(peer="down", message=b"vote")
    assert received.get(timeout=platform_site.WAIT_S) == b"vote"
    for resource in (links, up_server, down_server):
        resource.close()


@pytest.mark.parametrize("address", ["10.0.0.4", "10.0.0.4:", ":7000"])
def test_address_that_cannot_be_dialled_hides_no_other_peer(
    address: str,
) -> None:
    received: queue.SimpleQueue[bytes] = queue.SimpleQueue()
    valid = cluster.unused_loopback_address()
    server = transport.PeerServer(address=valid, on_message=received.put)
    server.start()
    links = transport.PeerConnections(
        address_by_peer={"malformed": address, "valid": valid}
    )
    platform_site.wait_until(
        lambda: links.disconnected_peers == [], "the valid peer"
    )
    links.send(peer="malformed", message=b"lost")
    links.send(peer="valid", message=b"vote")
    assert received.get(timeout=platform_site.WAIT_S) == b"vote"
    for resource in (links, server):
        resource.close()


@pytest.mark.parametrize(
    "script",
    [
        pytest.param(TIMEOUTS_SCRIPT, id="calls-time-out"),
        pytest.param(CLOSING_SCRIPT, id="clients-are-closed"),
    ],
)
def test_process_goes_on_when_calls_of_several_threads_end(
    script: str,
) -> None:
    """A socket was closed while other calls used it, and NNG aborted."""
    ended = subprocess.run(
        [sys.executable, "-c", script, cluster.unused_loopback_address()],
        stderr=subprocess.PIPE,
        timeout=platform_site.WAIT_S,
        check=False,
    )
    assert (ended.returncode, ended.stderr) == (0, b"")


def ignore(data: bytes) -> None:
    """Handle a message or request without an answer."""


@pytest.mark.parametrize(
    "open_socket",
    [
        pytest.param(
            lambda: transport.RpcServer(
                address=cluster.unused_loopback_address(), handler=ignore
            ),
            id="rpc-server",
        ),
        pytest.param(
            lambda: transport.PeerServer(
                address=cluster.unused_loopback_address(), on_message=ignore
            ),
            id="peer-server",
        ),
        pytest.param(
            lambda: transport.Subscriber(on_message=ignore), id="subscriber"
        ),
    ],
)
@pytest.mark.parametrize("started", [True, False])
def test_close_is_repeatable_and_leaves_no_thread(
    open_socket: Callable[[], transport.RpcServer], started: bool
) -> None:
    others = set(threading.enumerate())
    socket = open_socket()
    if started:
        socket.start()
    for _ in range(2):
        socket.close()
    assert set(threading.enumerate()) <= others
    # An exception of a finalizer is reported as a failure of this test.
    del socket
    gc.collect()


def test_closed_peer_connections_send_nothing() -> None:
    peers = transport.PeerConnections(
        address_by_peer={"p": cluster.unused_loopback_address()}
    )
    for _ in range(2):
        peers.close()
    peers.reconnect("p")
    peers.send(peer="p", message=b"vote")
    assert peers.disconnected_peers == []


def test_server_does_not_answer_after_its_close(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A handler that ended late used a context that was closed."""
    received = threading.Event()
    finish = threading.Event()
    sent = threading.Event()
    monkeypatch.setattr(transport, "CLOSE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(pynng.Context, "send", lambda *_: sent.set())

    def handle(data: bytes) -> bytes:
        received.set()
        finish.wait(platform_site.WAIT_S)
        return data

    address = cluster.unused_loopback_address()
    server = transport.RpcServer(address=address, handler=handle)
    server.start()
    with pynng.Req0() as requester:
        requester.dial(f"tcp://{address}")
        requester.send(b"x")
        assert received.wait(platform_site.WAIT_S)
        server.close()
        finish.set()
        server.close()
    assert not sent.is_set()


def test_server_closes_its_socket_after_an_answer_that_is_being_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """NNG aborted the process: pthread_mutex_unlock: Invalid argument."""
    sending, closing = threading.Event(), threading.Event()
    steps: queue.SimpleQueue[str] = queue.SimpleQueue()
    close_socket = pynng.Rep0.close

    def send(*_: object) -> None:
        sending.set()
        closing.wait(platform_site.WAIT_S)
        steps.put("sent")

    def close(socket: pynng.Rep0) -> None:
        steps.put("closed")
        close_socket(socket)

    monkeypatch.setattr(pynng.Context, "send", send)
    monkeypatch.setattr(pynng.Rep0, "close", close)
    address = cluster.unused_loopback_address()
    server = transport.RpcServer(address=address, handler=lambda data: data)
    join = transport._join

    def join_threads(threads: list[threading.Thread]) -> None:
        closing.set()
        join(threads)

    monkeypatch.setattr(transport, "_join", join_threads)
    server.start()
    with pynng.Req0() as requester:
        requester.dial(f"tcp://{address}")
        requester.send(b"x")
        assert sending.wait(platform_site.WAIT_S)
        server.close()
    assert [steps.get(timeout=platform_site.WAIT_S) for _ in range(2)] == [
        "sent",
        "closed",
    ]


def test_requests_that_wait_leave_a_thread_to_others() -> None:
    """Threads that were started for them end afterwards."""
    released = threading.Event()

    def answer(data: bytes) -> bytes:
        if data == b"waits":
            assert released.wait(platform_site.WAIT_S)
        return data

    server = transport.RpcServer(
        address="127.0.0.1:0", handler=answer, threads=2, max_threads=6
    )
    server.start()
    address = server.address.removeprefix("tcp://")
    clients = [transport.RpcClient(address=address) for _ in range(6)]
    waiting = [
        threading.Thread(target=client.call, args=(b"waits",), daemon=True)
        for client in clients[1:]
    ]
    try:
        before = _rpc_threads()
        for thread in waiting:
            thread.start()
        assert clients[0].call(b"asks") == b"asks"
        assert _rpc_threads() <= before + 4
        released.set()
        for thread in waiting:
            thread.join(platform_site.WAIT_S)
        platform_site.wait_until(
            lambda: _rpc_threads() == before, "threads to end"
        )
        assert clients[0].call(b"asks") == b"asks"
    finally:
        released.set()
        for client in clients:
            client.close()
        server.close()


def _rpc_threads() -> int:
    return sum(thread.name == "rpc" for thread in threading.enumerate())
