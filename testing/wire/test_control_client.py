"""Tests of `wisteriawall.wire.control_client`."""

from collections.abc import Iterator
import contextlib

import pytest

from wisteriawall.demo import cluster
from wisteriawall.wire import control_client
from wisteriawall.wire import control_messages
from wisteriawall.wire import envelope
from wisteriawall.wire import site_messages
from wisteriawall.wire import transport

KEY = b"k" * 32
FOLLOW = site_messages.Follow("g1", 1, "127.0.0.1:1", 0, (0, 0), False)
FOLLOWED = site_messages.Followed(0, 7, None, None, [], {})


@contextlib.contextmanager
def replica(reply: control_messages.ControlReply) -> Iterator[str]:
    """Run a replica that answers everything with `reply`."""
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
def client(address: str) -> Iterator[control_client.ControlClient]:
    """Yield a client that knows one replica, as after a start."""
    opened = control_client.ControlClient(
        address_by_replica={"seed": address},
        key=KEY,
        sender=envelope.Sender("g1", 1),
    )
    yield opened
    opened.close()


def test_leader_outside_the_seeds_is_called() -> None:
    with replica(FOLLOWED) as leading:
        redirect = control_messages.NotLeader("joined-later", leading)
        with replica(redirect) as seed, client(seed) as opened:
            assert opened.call(FOLLOW) == FOLLOWED
            assert opened.address_by_replica["joined-later"] == leading


@pytest.mark.parametrize("leader", ["", "joined-later"])
def test_leader_without_an_address_is_not_called(leader: str) -> None:
    redirect = control_messages.NotLeader(leader)
    with (
        replica(redirect) as seed,
        client(seed) as opened,
        pytest.raises(control_client.ControlUnavailable),
    ):
        opened.call(FOLLOW)
