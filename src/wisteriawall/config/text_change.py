"""Difference between two versions of a JSON document, byte for byte.

The texts are split where an object begins. Pieces that the base has are sent
as ranges of it, the others as they are.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import re
from typing import final
import zlib

import msgspec

from wisteriawall import errors

__all__ = ["TextRejected", "apply", "difference"]

# First piece of the base, and the number of pieces; or bytes of the target.
Part = tuple[int, int] | bytes
COMPRESSION_LEVEL = 6
_OBJECT_START = re.compile(rb"(?=\{)")


@final
class TextRejected(errors.WisteriawallError):
    """A difference is malformed, or does not belong to the base."""


def difference(base: bytes, target: bytes) -> bytes:
    """Return the compressed difference that turns `base` into `target`."""
    parts = list(_merge(_find_parts(_split(base), _split(target))))
    return zlib.compress(_ENCODER.encode(parts), COMPRESSION_LEVEL)


def apply(base: bytes, change: bytes) -> bytes:
    """Return the text that `difference` was made for.

    Raises:
        TextRejected: The change is malformed, or names pieces that `base` does
            not have.
    """
    pieces = _split(base)
    try:
        parts = _DECODER.decode(zlib.decompress(change))
    except (zlib.error, msgspec.DecodeError) as error:
        raise TextRejected(f"malformed difference: {error}") from error
    texts: list[bytes] = []
    for part in parts:
        match part:
            case bytes():
                texts.append(part)
            case (first, count):
                if not 0 <= first <= first + count <= len(pieces):
                    raise TextRejected(
                        f"pieces {first} to {first + count}, expected at most "
                        f"{len(pieces)}"
                    )
                texts += pieces[first : first + count]
    return b"".join(texts)


def _split(text: bytes) -> list[bytes]:
    return _OBJECT_START.split(text)


def _find_parts(base: list[bytes], target: list[bytes]) -> Iterator[Part]:
    """Yield a part for each piece of `target`."""
    index_by_piece = {piece: index for index, piece in enumerate(base)}
    expected = 0
    for piece in target:
        # The same piece may be in the base more than once.
        if expected < len(base) and base[expected] == piece:
            index = expected
        elif piece in index_by_piece:
            index = index_by_piece[piece]
        else:
            yield piece
            continue
        expected = index + 1
        yield index, 1


def _merge(parts: Iterable[Part]) -> Iterator[Part]:
    """Join parts that follow each other."""
    joined: Part = b""
    for part in parts:
        match joined, part:
            case (bytes(), bytes()):
                joined += part
            case ((int(first), int(count)), (int(next_first), int(more))) if (
                next_first == first + count
            ):
                joined = (first, count + more)
            case _:
                yield joined
                joined = part
    yield joined


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(list[Part])
