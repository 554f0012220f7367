"""The platform's call that lists what an engine's KV cache holds."""

import re

import msgspec

from wisteriawall.gateway import protocol

__all__ = ["TARGET", "parse"]

TARGET = "/kv-list"
PART_ID = re.compile(r"[0-9A-Fa-f]{1,64}", re.ASCII)
# Sums of such numbers fit into 64 bits.
MAX_TOKENS = 999_999_999


class _Listing(msgspec.Struct, frozen=True):
    """Answer of an engine; its `epoch` and `next` are not needed."""

    held: list[object]


def parse(status: int, body: bytes) -> protocol.HeldParts | None:
    """Return the parts of an engine's answer, None if it is invalid.

    An entry is a scope, a part's id, its number of tokens and a model. A part
    may be held for several models.
    """
    if status != 200:
        return None
    try:
        listing = msgspec.json.decode(body, type=_Listing)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    tokens_by_part: dict[str, int] = {}
    malformed = 0
    for entry in listing.held:
        match entry:
            case [str(), str(part), int(tokens), str(), *_] if (
                PART_ID.fullmatch(part) is not None
                and not isinstance(tokens, bool)
                and 0 < tokens <= MAX_TOKENS
            ):
                tokens_by_part[part] = max(tokens, tokens_by_part.get(part, 0))
            case _:
                malformed += 1
    return protocol.HeldParts(
        parts=tuple(tokens_by_part.items()), malformed=malformed
    )
