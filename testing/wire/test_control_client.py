"""Tests of redirects in `wisteriawall.wire.control_client`."""

from collections.abc import Iterator
import contextlib

import pytest

from wisteriawall.demo import cluster
from wisteriawall.wire import control_client
from wisteriawall.wire import control_messages
from wisteriawall.wire import envelope
from wisteriawall.wire import gateway_messages
from wisteriawall.wire import transport

KEY = b"k" * 32
FOLLOW = gateway_messages.FollowRequest(
    "g1", 1, "127.0.0.1:1", 0, (0, 0), False
)
FOLLOWED = gateway_messages.Followed(0, 7, None, None, [], {})


@contextlib.contextmanager
def serve_replica(reply: control_messages.ControlReply) -> Iterator[str]:
    """Serve a replica that answers every request with `reply`.

    Yields:
        The RPC address of the replica.
    """
    codec: envelope.Codec[object] = envelope.Codec(
        message_type=object, key=KEY, sender=envelope.Sender("c", 1)
    )
    address = cluster.unused_loopback_address()
    server = transport.RpcServer(
        address=address, handler=lambda _: codec.encode(reply)
    )
    server.start()
    yield address
    server.close()


@contextlib.contextmanager
def open_client(address: str) -> Iterator[control_client.ControlClient]:
    """Open a client that knows only one replica, as after a start."""
    client = control_client.ControlClient(
        address_by_replica={"seed": address},
        key=KEY,
        sender=envelope.Sender("g1", 1),
    )
    yield client
    client.close()


def test_redirect_to_unknown_leader_is_followed() -> None:
    with serve_replica(FOLLOWED) as leader_address:
        redirect = control_messages.NotLeader("joined-later", leader_address)
        with (
            serve_replica(redirect) as seed_address,
            open_client(seed_address) as client,
        ):
            assert client.call(FOLLOW) == FOLLOWED
            assert client.address_by_replica["joined-later"] == leader_address


@pytest.mark.parametrize("leader", ["", "joined-later"])
def test_redirect_without_address_is_not_followed(leader: str) -> None:
    redirect = control_messages.NotLeader(leader)
    with (
        serve_replica(redirect) as seed_address,
        open_client(seed_address) as client,
        pytest.raises(control_client.ControlUnavailable),
    ):
        client.call(FOLLOW)
