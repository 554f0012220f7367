"""Tests of the datagrams between gateways, on loopback."""

import contextlib
import threading
import time

import pytest

from wisteriawall.gateway import peers
from wisteriawall.wire import envelope
from wisteriawall.wire import gateway_messages

WAIT_S = 10.0


class Channels:
    """Channels of several gateways; `received` lists request ids by gateway."""

    def __init__(self, count: int) -> None:
        """Open a channel for each gateway, and make all known to all."""
        self.received: dict[str, list[str]] = {}
        self.by_name = {
            name: self._open(name)
            for name in (f"g{number:02}" for number in range(count))
        }
        for channel in self.by_name.values():
            channel.start()
            channel.set_peers(
                gateway_messages.GatewayPeer(name, other.address)
                for name, other in self.by_name.items()
                if other is not channel
            )

    def _open(self, name: str) -> peers.PeerLoadChannel:
        received = self.received.setdefault(name, [])
        return peers.PeerLoadChannel(
            name=name,
            address="127.0.0.1:0",
            codec=envelope.Codec(
                message_type=gateway_messages.LoadEventBatch,
                key=b"k" * 32,
                sender=envelope.Sender(name, 1),
            ),
            receive=lambda events: received.extend(
                event.request_id for event in events
            ),
        )

    def close(self) -> None:
        """Close every channel."""
        for channel in self.by_name.values():
            channel.close()


@pytest.mark.parametrize(
    "count", [pytest.param(3, id="direct"), pytest.param(14, id="mesh")]
)
def test_an_event_arrives_once_at_every_other_gateway(count: int) -> None:
    channels = Channels(count)
    with contextlib.closing(channels):
        sender = "g01"
        channels.by_name[sender].broadcast(
            gateway_messages.LoadEvent(
                gateway_messages.LoadEventKind.SENT, "u1", "r1"
            )
        )
        others = [n for n in channels.by_name if n != sender]
        deadline = time.monotonic() + WAIT_S
        while not all(channels.received[name] for name in others):
            assert time.monotonic() < deadline, channels.received
            time.sleep(0.01)
    assert channels.received[sender] == []
    assert all(channels.received[name] == ["r1"] for name in others)


def test_closed_channel_has_no_thread() -> None:
    others = set(threading.enumerate())
    channels = Channels(1)
    for _ in range(2):
        channels.close()
    assert set(threading.enumerate()) <= others
