"""Tests of the datagrams between gateways, on loopback."""

import contextlib
import threading
import time

import pytest

from wisteriawall.gateway import peers
from wisteriawall.wire import envelope
from wisteriawall.wire import gateway_messages

WAIT_S = 10.0
ENGINES = 20


class Channels:
    """Channels of several gateways; `received` lists request ids by gateway."""

    def __init__(self, count: int) -> None:
        """Open a channel for each gateway, and make all known to all."""
        self.received: dict[str, list[str]] = {}
        self.contents: dict[str, list[gateway_messages.EngineContents]] = {}
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
        contents = self.contents.setdefault(name, [])
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
            receive_contents=contents.extend,
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


@pytest.mark.parametrize(
    "count", [pytest.param(3, id="direct"), pytest.param(14, id="mesh")]
)
def test_contents_arrive_everywhere_and_do_not_delay_events(
    count: int,
) -> None:
    """Load events that wait behind bulk make gateways choose one engine."""
    channels = Channels(count)
    with contextlib.closing(channels):
        sender = channels.by_name["g01"]
        parts = [(f"{number:08x}", 1_000) for number in range(200)]
        for number in range(ENGINES):
            sender.tell_contents(
                gateway_messages.EngineContents(f"e{number}", 0, 0, parts)
            )
        send(sender, "r1", 1)
        others = [name for name in channels.by_name if name != "g01"]
        deadline = time.monotonic() + WAIT_S
        while not all(channels.received[name] for name in others):
            assert time.monotonic() < deadline, channels.received
            time.sleep(0.002)
        assert len(channels.contents["g00"]) < ENGINES * 3
        while any(
            len(channels.contents[name]) < ENGINES * 3 for name in others
        ):
            assert time.monotonic() < deadline, channels.contents
            time.sleep(0.01)
    assert channels.contents["g01"] == []
    for name in others:
        told = [
            c
            for c in channels.contents[name]
            if c.upstream_id == f"e{ENGINES - 1}"
        ]
        assert sorted(part for c in told for part in c.parts) == parts


def test_closed_channel_has_no_thread() -> None:
    others = set(threading.enumerate())
    channels = Channels(1)
    for _ in range(2):
        channels.close()
    assert set(threading.enumerate()) <= others


def send(channel: peers.PeerLoadChannel, request_id: str, tokens: int) -> None:
    """Broadcast that a request was sent."""
    channel.broadcast(
        gateway_messages.LoadEvent(
            gateway_messages.LoadEventKind.SENT,
            "u",
            request_id,
            parts=(("part", tokens),),
        )
    )


@pytest.mark.parametrize(
    ("odd_id", "tokens"),
    [
        pytest.param("odd", 2**70, id="number-over-64-bits"),
        pytest.param("\ud800", 1, id="half-a-surrogate-pair"),
        pytest.param("x" * 70_000, 1, id="over-a-datagram"),
    ],
)
def test_event_that_cannot_be_sent_does_not_stop_the_others(
    odd_id: str, tokens: int
) -> None:
    """The first such event ended the thread that sends, or its batch."""
    channels = Channels(2)
    with contextlib.closing(channels):
        received = channels.received["g01"]
        for number in range(3):
            send(channels.by_name["g00"], f"before-{number}", 1)
            send(channels.by_name["g00"], odd_id, tokens)
            send(channels.by_name["g00"], f"behind-{number}", 1)
            deadline = time.monotonic() + WAIT_S
            while f"behind-{number}" not in received:
                assert time.monotonic() < deadline
                time.sleep(0.01)
    assert received == [
        f"{place}-{number}"
        for number in range(3)
        for place in ("before", "behind")
    ]


def test_events_of_a_large_batch_are_sent_in_several_datagrams() -> None:
    channels = Channels(2)
    ids = [str(number) + "x" * 9_000 for number in range(20)]
    with contextlib.closing(channels):
        for request_id in ids:
            send(channels.by_name["g00"], request_id, 1)
        deadline = time.monotonic() + WAIT_S
        while len(channels.received["g01"]) < len(ids):
            assert time.monotonic() < deadline
            time.sleep(0.01)
    assert channels.received["g01"] == ids
