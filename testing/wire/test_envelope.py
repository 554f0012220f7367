"""Property tests of `wisteriawall.wire.envelope`, with real message types.

Whatever bytes arrive, a codec either returns the message that was encoded or
raises `MessageRejected`.
"""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from wisteriawall.config import document
from wisteriawall.wire import control_messages
from wisteriawall.wire import envelope
from wisteriawall.wire import fleet
from wisteriawall.wire import load_messages
from wisteriawall.wire import raft_messages

KEY = b"k" * 32
SENDER = envelope.Sender("tester", 1)
ORDER = fleet.Order(
    fleet.FencingNumber(2, 9), "r1", fleet.OrderAction.SET_ROLE, "decode"
)
SAMPLES = [
    pytest.param(
        raft_messages.RaftMessage,
        raft_messages.AppendRequest(
            term=3,
            leader="c1",
            previous_index=4,
            previous_term=2,
            entries=[raft_messages.LogEntry(5, 3, b"command")],
            commit_index=4,
            leader_clock_ms=10,
            follower_clock=raft_messages.ClockReading(1, 9),
            quorum_age_ms=1,
        ),
        id="raft",
    ),
    pytest.param(
        control_messages.ControlReply,
        control_messages.Grant(
            age_ms=1,
            config_number=2,
            config=document.empty(),
            fleet_version=1,
            fleet_view=fleet.FleetView(1, []),
            order=ORDER,
            min_fencing_number=ORDER.fencing_number,
            leader="c1",
        ),
        id="control-reply",
    ),
    pytest.param(
        load_messages.FeedMessage,
        load_messages.CacheUpdate(
            "r1", 1, 2, True, [load_messages.CacheChange(7, True)]
        ),
        id="feed",
    ),
]


def _codec(
    message_type: object, key: bytes = KEY
) -> envelope.Codec[msgspec.Struct]:
    return envelope.Codec(message_type=message_type, key=key, sender=SENDER)


@pytest.mark.parametrize(("message_type", "message"), SAMPLES)
def test_decode_returns_encoded_message(
    message_type: object, message: msgspec.Struct
) -> None:
    codec = _codec(message_type)
    assert codec.decode(codec.encode(message)) == (SENDER, message)


@pytest.mark.parametrize(("message_type", "message"), SAMPLES)
def test_message_with_another_cluster_key_is_rejected(
    message_type: object, message: msgspec.Struct
) -> None:
    forged = _codec(message_type, b"x" * 32).encode(message)
    with pytest.raises(envelope.MessageRejected, match="digest"):
        _codec(message_type).decode(forged)


@pytest.mark.parametrize(("message_type", "message"), SAMPLES)
@hypothesis.given(
    position=strategies.integers(0, 10_000),
    changed_bits=strategies.integers(1, 255),
)
def test_message_with_changed_byte_is_rejected(
    message_type: object,
    message: msgspec.Struct,
    position: int,
    changed_bits: int,
) -> None:
    codec = _codec(message_type)
    data = bytearray(codec.encode(message))
    data[position % len(data)] ^= changed_bits
    with pytest.raises(envelope.MessageRejected):
        codec.decode(bytes(data))


@pytest.mark.parametrize(("message_type", "message"), SAMPLES)
def test_truncated_message_is_rejected(
    message_type: object, message: msgspec.Struct
) -> None:
    codec = _codec(message_type)
    data = codec.encode(message)
    for length in range(len(data)):
        with pytest.raises(envelope.MessageRejected):
            codec.decode(data[:length])


@hypothesis.given(data=strategies.binary(max_size=200))
@pytest.mark.parametrize(("message_type", "message"), SAMPLES)
def test_arbitrary_bytes_raise_only_message_rejected(
    message_type: object, message: msgspec.Struct, data: bytes
) -> None:
    del message
    with pytest.raises(envelope.MessageRejected):
        _codec(message_type).decode(data)


@hypothesis.given(
    body=strategies.recursive(
        strategies.none() | strategies.integers(-9, 9) | strategies.text(),
        strategies.lists,
        max_leaves=12,
    )
)
@pytest.mark.parametrize(("message_type", "message"), SAMPLES)
def test_authentic_message_of_unknown_type_is_rejected(
    message_type: object, message: msgspec.Struct, body: object
) -> None:
    del message
    # A sender with the right key may run a version with other messages.
    data = _codec(object).encode(body)  # type: ignore[arg-type]
    with pytest.raises(envelope.MessageRejected):
        _codec(message_type).decode(data)


def test_oversize_message_is_rejected_before_decoding() -> None:
    data = b"\x00" * (envelope.MAX_MESSAGE_BYTES + 1)
    with pytest.raises(envelope.MessageRejected, match="exceeds"):
        _codec(raft_messages.RaftMessage).decode(data)
