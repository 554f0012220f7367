"""Authenticated envelope around every message between processes.

The envelope carries a format version, the sender, its incarnation and a
message number. A keyed BLAKE2b digest over the body and the header makes a
forged or damaged message detectable; such a message is dropped by the
receiver and has no effect.
"""

import hashlib
import hmac
import itertools
from typing import Generic
from typing import TypeVar
from typing import final

import msgspec

from wisteriawall import errors

__all__ = [
    "FORMAT_VERSION",
    "MAX_MESSAGE_BYTES",
    "Codec",
    "Envelope",
    "MessageRejected",
    "Sender",
]

FORMAT_VERSION = 1
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
DIGEST_BYTES = 16
MAX_KEY_BYTES = 64


MessageT = TypeVar("MessageT")


@final
class MessageRejected(errors.WisteriawallError):
    """A received message was malformed, forged, oversize or unknown."""


@final
class Sender(msgspec.Struct, frozen=True, array_like=True):
    """Identity of a process: its name and the incarnation it started as."""

    name: str
    incarnation: int


@final
class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Wire form of one message; `body` is the encoded typed message."""

    version: int
    sender: Sender
    number: int
    body: bytes
    digest: bytes


class Codec(Generic[MessageT]):
    """Encode and decode the messages of one protocol.

    Args:
        message_type: Tagged union of every message of the protocol.
        key: Shared cluster key, 1 to 64 bytes.
        sender: Identity stamped on every encoded message.
    """

    __slots__ = (
        "_decoder",
        "_encoder",
        "_envelopes",
        "_key",
        "_numbers",
        "_sender",
    )

    def __init__(
        self, *, message_type: object, key: bytes, sender: Sender
    ) -> None:
        self._key = key[:MAX_KEY_BYTES]
        self._sender = sender
        self._numbers = itertools.count(1)
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(message_type)
        self._envelopes = msgspec.msgpack.Decoder(Envelope)

    def encode(self, message: MessageT) -> bytes:
        """Return the authenticated wire form of `message`."""
        body = self._encoder.encode(message)
        number = next(self._numbers)
        digest = self._digest(sender=self._sender, number=number, body=body)
        envelope = Envelope(FORMAT_VERSION, self._sender, number, body, digest)
        return self._encoder.encode(envelope)

    def decode(self, data: bytes) -> tuple[Sender, MessageT]:
        """Return the sender and message held by `data`.

        Raises:
            MessageRejected: The data is oversize, malformed, of another
                format version, unknown, or carries a wrong digest.
        """
        if len(data) > MAX_MESSAGE_BYTES:
            raise MessageRejected(
                f"message of {len(data)} bytes exceeds {MAX_MESSAGE_BYTES}"
            )
        try:
            envelope = self._envelopes.decode(data)
        except (msgspec.DecodeError, RecursionError) as error:
            raise MessageRejected(f"malformed envelope: {error}") from error
        if envelope.version != FORMAT_VERSION:
            raise MessageRejected(f"unknown format version {envelope.version}")
        expected = self._digest(
            sender=envelope.sender, number=envelope.number, body=envelope.body
        )
        if not hmac.compare_digest(expected, envelope.digest):
            raise MessageRejected("digest does not match the cluster key")
        try:
            message = self._decoder.decode(envelope.body)
        except (msgspec.DecodeError, RecursionError) as error:
            raise MessageRejected(f"malformed message: {error}") from error
        return envelope.sender, message

    def _digest(self, *, sender: Sender, number: int, body: bytes) -> bytes:
        header = self._encoder.encode((FORMAT_VERSION, sender, number))
        state = hashlib.blake2b(key=self._key, digest_size=DIGEST_BYTES)
        state.update(header)
        state.update(body)
        return state.digest()
