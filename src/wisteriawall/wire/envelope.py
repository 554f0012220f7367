"""Authenticated envelope around every message between processes.

The envelope carries a format version, the sender, its incarnation and a
message number. A keyed BLAKE2b digest covers this header and the message body,
so that the receiver detects and drops a forged or damaged message.
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
# Longest key that BLAKE2b accepts.
MAX_KEY_BYTES = 64


MessageT = TypeVar("MessageT")


@final
class MessageRejected(errors.WisteriawallError):
    """A received message was oversize, malformed, forged or of unknown type."""


@final
class Sender(msgspec.Struct, frozen=True, array_like=True):
    """Identity of a process.

    `incarnation` rises with each start of the process of this name.
    """

    name: str
    incarnation: int


@final
class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Wire form of one message.

    `body` is the encoded typed message. `message_number` counts the messages
    that the sender encoded with one codec. `digest` authenticates the other
    fields.
    """

    version: int
    sender: Sender
    message_number: int
    body: bytes
    digest: bytes


class Codec(Generic[MessageT]):
    """Encodes and decodes the messages of one protocol.

    Args:
        message_type: Tagged union of every message of the protocol.
        key: Shared cluster key of 1 to 64 bytes; further bytes are ignored.
        sender: Identity of this process, added to every encoded message.
    """

    __slots__ = (
        "_encoder",
        "_envelope_decoder",
        "_key",
        "_message_decoder",
        "_message_numbers",
        "_sender",
    )

    def __init__(
        self, *, message_type: object, key: bytes, sender: Sender
    ) -> None:
        self._key = key[:MAX_KEY_BYTES]
        self._sender = sender
        self._message_numbers = itertools.count(1)
        self._encoder = msgspec.msgpack.Encoder()
        self._message_decoder = msgspec.msgpack.Decoder(message_type)
        self._envelope_decoder = msgspec.msgpack.Decoder(Envelope)

    def encode(self, message: MessageT) -> bytes:
        """Return the authenticated wire form of `message`."""
        body = self._encoder.encode(message)
        number = next(self._message_numbers)
        digest = self._compute_digest(
            sender=self._sender, message_number=number, body=body
        )
        envelope = Envelope(FORMAT_VERSION, self._sender, number, body, digest)
        return self._encoder.encode(envelope)

    def decode(self, data: bytes) -> tuple[Sender, MessageT]:
        """Return the sender and the message that `data` encodes.

        Raises:
            MessageRejected: The data is oversize or malformed, has another
                format version, a wrong digest, or a message that does not
                belong to the protocol.
        """
        if len(data) > MAX_MESSAGE_BYTES:
            raise MessageRejected(
                f"message of {len(data)} bytes exceeds the limit of "
                f"{MAX_MESSAGE_BYTES} bytes"
            )
        try:
            envelope = self._envelope_decoder.decode(data)
        except (msgspec.DecodeError, RecursionError) as error:
            raise MessageRejected(f"malformed envelope: {error}") from error
        if envelope.version != FORMAT_VERSION:
            raise MessageRejected(
                f"message has the unknown format version {envelope.version}"
            )
        expected_digest = self._compute_digest(
            sender=envelope.sender,
            message_number=envelope.message_number,
            body=envelope.body,
        )
        if not hmac.compare_digest(expected_digest, envelope.digest):
            raise MessageRejected(
                "message digest does not match the cluster key"
            )
        try:
            message = self._message_decoder.decode(envelope.body)
        except (msgspec.DecodeError, RecursionError) as error:
            raise MessageRejected(f"malformed message: {error}") from error
        return envelope.sender, message

    def _compute_digest(
        self, *, sender: Sender, message_number: int, body: bytes
    ) -> bytes:
        header = self._encoder.encode((FORMAT_VERSION, sender, message_number))
        hasher = hashlib.blake2b(key=self._key, digest_size=DIGEST_BYTES)
        hasher.update(header)
        hasher.update(body)
        return hasher.digest()
