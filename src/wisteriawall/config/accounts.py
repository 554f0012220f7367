"""Client accounts of a routing table, and the digests of their keys."""

import hashlib
from typing import final

import msgspec

__all__ = ["Account", "key_digest"]

DIGEST_BYTES = 16


@final
class Account(msgspec.Struct, frozen=True, kw_only=True):
    """A client account.

    `key_digests` are the digests of the keys that name it. `rank` replaces the
    priority class of the route, None keeps that of the route.
    """

    name: str
    key_digests: list[bytes]
    rank: int | None = None


def key_digest(key: str) -> bytes:
    """Return the digest of a key.

    Gateways look up digests, so that neither the routing table nor the time of
    a look-up reveals keys.
    """
    return hashlib.blake2b(
        key.encode("utf-8", "surrogateescape"), digest_size=DIGEST_BYTES
    ).digest()
