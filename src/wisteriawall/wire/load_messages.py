"""One-way messages that agents publish to entries.

Messages may be lost. Sequence numbers rise by one within an incarnation of an
agent, so that an entry detects a gap and can resynchronize.
"""

from typing import final

import msgspec

from wisteriawall.wire import fleet

__all__ = ["CacheChange", "CacheUpdate", "FeedMessage"]


@final
class CacheChange(msgspec.Struct, frozen=True, array_like=True):
    """A prompt prefix was added to the KV cache (`stored`) or evicted from it.

    `prefix_hash` is the hash of the prompt up to the end of one KV piece.
    """

    prefix_hash: int
    stored: bool


@final
class CacheUpdate(msgspec.Struct, frozen=True, array_like=True, tag="cache"):
    """Changes of one runner's prefix cache since the previous message.

    If `complete`, the changes list the entire cache and replace all
    earlier ones.
    """

    runner: str
    incarnation: int
    sequence: int
    complete: bool
    changes: list[CacheChange]


FeedMessage = fleet.LoadReport | CacheUpdate
