"""One-way messages that an agent's feed publishes to entries.

A feed may lose messages. Sequence numbers rise by one within an agent
incarnation, so that a subscriber sees a gap and can resynchronize.
"""

from typing import final

import msgspec

from wisteriawall.wire import fleet

__all__ = ["CacheChange", "CacheEvents", "FeedMessage"]


@final
class CacheChange(msgspec.Struct, frozen=True, array_like=True):
    """A cached prompt prefix came (`stored`) or went.

    `prefix` is the hash of the prompt up to and including this piece.
    """

    prefix: int
    stored: bool


@final
class CacheEvents(msgspec.Struct, frozen=True, array_like=True, tag="cache"):
    """Changes of one runner's prefix cache since the previous message.

    `complete` means that the changes list the whole cache, so that every
    prefix known before is void.
    """

    runner: str
    incarnation: int
    sequence: int
    complete: bool
    changes: list[CacheChange]


FeedMessage = fleet.LoadReport | CacheEvents
