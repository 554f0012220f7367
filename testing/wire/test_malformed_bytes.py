"""Tests of the NNG servers with peers that send malformed bytes."""

import contextlib
import queue
import socket
import struct
import time

import pytest
from support import platform_site

from wisteriawall.demo import cluster
from wisteriawall.wire import transport

REQUESTER_HANDSHAKE = b"\0SP\0\0\x30\0\0"
PUSHER_HANDSHAKE = b"\0SP\0\0\x50\0\0"
EMPTY_MESSAGE = struct.pack(">Q", 0)
ID_ALONE = struct.pack(">Q", 4) + b"\x80\0\0\1"
HUGE_MESSAGE = struct.pack(">Q", 1 << 63) + b"x"
BYTES = [
    pytest.param(b"GET / HTTP/1.1\r\n\r\n", id="http"),
    pytest.param(b"\0SP\0\0\xff\0\0", id="other-protocol"),
    pytest.param(b"handshake" + EMPTY_MESSAGE, id="empty-message"),
    pytest.param(b"handshake" + ID_ALONE, id="empty-request"),
    pytest.param(b"handshake" + HUGE_MESSAGE, id="huge-message"),
    pytest.param(b"handshake" + EMPTY_MESSAGE[:3], id="half-a-length"),
]


def _send_and_close(address: str, data: bytes) -> None:
    host, _, port = address.rpartition(":")
    with (
        socket.create_connection((host, int(port))) as connection,
        # The server may reset the connection at any time.
        contextlib.suppress(OSError),
    ):
        connection.sendall(data)
        connection.shutdown(socket.SHUT_WR)
        while connection.recv(65_536):
            pass


@pytest.mark.parametrize("data", BYTES)
def test_rpc_server_answers_after_malformed_bytes(data: bytes) -> None:
    address = cluster.unused_loopback_address()
    server = transport.RpcServer(
        address=address, handler=lambda request: request, threads=1
    )
    server.start()
    _send_and_close(address, data.replace(b"handshake", REQUESTER_HANDSHAKE))
    client = transport.RpcClient(address=address)
    assert client.call(b"a") == b"a"
    client.close()
    server.close()


@pytest.mark.parametrize("data", BYTES)
def test_peer_server_receives_after_malformed_bytes(data: bytes) -> None:
    address = cluster.unused_loopback_address()
    received: queue.SimpleQueue[bytes] = queue.SimpleQueue()
    server = transport.PeerServer(address=address, on_message=received.put)
    server.start()
    _send_and_close(address, data.replace(b"handshake", PUSHER_HANDSHAKE))
    links = transport.PeerConnections(address_by_peer={"p": address})
    platform_site.wait_until(
        lambda: links.disconnected_peers == [], "the connection"
    )
    links.send(peer="p", message=b"vote")
    while received.get(timeout=platform_site.WAIT_S) != b"vote":
        pass
    links.close()
    server.close()


def test_subscriber_receives_after_an_empty_message() -> None:
    publisher = transport.Publisher(address="127.0.0.1:0")
    received: queue.SimpleQueue[bytes] = queue.SimpleQueue()
    subscriber = transport.Subscriber(on_message=received.put)
    subscriber.start()
    subscriber.set_publishers({publisher.address})
    messages: list[bytes] = []
    deadline = time.monotonic() + platform_site.WAIT_S
    while {b"", b"load"} - set(messages) and time.monotonic() < deadline:
        # Messages sent before the subscription is complete are lost.
        publisher.publish(b"")
        publisher.publish(b"load")
        with contextlib.suppress(queue.Empty):
            messages.append(received.get(timeout=0.05))
    assert set(messages) == {b"", b"load"}
    subscriber.close()
    publisher.close()
