"""Tests of the RPC client with a server that replies more than once.

The server speaks the wire protocol of NNG on a raw socket: a handshake, then
messages behind their length. A request starts with an id that its reply
repeats.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import socket
import struct
import threading
import time

import pytest
from support import raw_server

from wisteriawall.wire import transport

REPLIER_HANDSHAKE = b"\0SP\0\0\x31\0\0"
HANDSHAKE_BYTES = 8
ID_BYTES = 4
TIMEOUT_MS = 2_000


class LateReplier(raw_server.RawServer):
    """RPC server that replies `answer to <request>`, and may say more.

    `stutter` returns messages to send before the reply to a request, from the
    messages that were sent before on the connection. Requests whose body is
    `silent` get their reply only before that to the next request.
    """

    def __init__(self) -> None:
        """Listen on a free port."""
        self.stutter: Callable[[list[bytes]], list[bytes]] = lambda _: []
        self.requests: list[bytes] = []
        super().__init__()

    def _serve(self, connection: socket.socket) -> None:
        sent: list[bytes] = []
        reader = connection.makefile("rb")
        connection.sendall(REPLIER_HANDSHAKE)
        reader.read(HANDSHAKE_BYTES)
        while length := reader.read(8):
            request = reader.read(struct.unpack(">Q", length)[0])
            request_id, body = request[:ID_BYTES], request[ID_BYTES:]
            self.requests.append(body)
            reply = request_id + b"answer to " + body
            messages = self.stutter(sent)
            if body != b"silent":
                messages = [*messages, reply]
            sent.append(reply)
            for message in messages:
                connection.sendall(struct.pack(">Q", len(message)))
                connection.sendall(message)


@pytest.fixture
def replier() -> Iterator[LateReplier]:
    """Yield a server."""
    replier = LateReplier()
    yield replier
    replier.close()


@pytest.fixture
def client(replier: LateReplier) -> Iterator[transport.RpcClient]:
    """Yield a client of the server."""
    client = transport.RpcClient(address=replier.address, timeout_ms=TIMEOUT_MS)
    yield client
    client.close()


@pytest.mark.parametrize(
    "stutter",
    [
        pytest.param(lambda sent: sent[-1:], id="previous-reply"),
        pytest.param(lambda sent: 2 * sent, id="all-earlier-replies-twice"),
        pytest.param(
            lambda sent: [sent[-1][:ID_BYTES] + b"other"] if sent else [],
            id="other-reply-to-the-previous-request",
        ),
        pytest.param(lambda _: [b"\0\0\0\1noid"], id="reply-to-no-request"),
    ],
)
def test_late_reply_is_not_taken_for_the_next(
    replier: LateReplier,
    client: transport.RpcClient,
    stutter: Callable[[list[bytes]], list[bytes]],
) -> None:
    replier.stutter = stutter
    bodies = [b"a", b"b", b"c", b"d"]
    replies = [client.call(body) for body in bodies]
    assert replies == [b"answer to " + body for body in bodies]
    assert len(replier.accepted) == 1


def test_reply_after_a_timeout_is_not_taken_for_the_next(
    replier: LateReplier, client: transport.RpcClient
) -> None:
    replier.stutter = lambda sent: sent[-1:]
    assert client.call(b"a") == b"answer to a"
    with pytest.raises(transport.RpcTimeout):
        client.call(b"silent")
    assert client.call(b"b") == b"answer to b"
    assert client.call(b"c") == b"answer to c"
    assert replier.requests == [b"a", b"silent", b"b", b"c"]


def test_concurrent_calls_get_their_own_replies(
    replier: LateReplier, client: transport.RpcClient
) -> None:
    replier.stutter = lambda sent: sent
    reply_by_body: dict[bytes, bytes] = {}

    def call(body: bytes) -> None:
        reply_by_body[body] = client.call(body)

    bodies = [b"%d" % number for number in range(8)]
    threads = [
        threading.Thread(target=call, args=(body,), daemon=True)
        for body in bodies
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert reply_by_body == {body: b"answer to " + body for body in bodies}


@pytest.mark.parametrize(
    "message",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\x80", id="part-of-an-id"),
        pytest.param(b"\0\0\0\1", id="no-request-id"),
    ],
)
def test_malformed_reply_ends_with_a_timeout_or_the_right_reply(
    replier: LateReplier, client: transport.RpcClient, message: bytes
) -> None:
    replier.stutter = lambda _: [message]
    with contextlib.suppress(transport.RpcTimeout):
        assert client.call(b"a") == b"answer to a"
    replier.stutter = lambda _: []
    deadline = time.monotonic() + 20
    reply = b""
    while not reply and time.monotonic() < deadline:
        with contextlib.suppress(transport.RpcTimeout):
            reply = client.call(b"b")
    assert reply == b"answer to b"
