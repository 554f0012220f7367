"""Difference between two versions of a JSON document, byte for byte.

The texts are split where an object begins. Pieces that the base has are sent
as ranges of it, the others as they are. A large object that changed, such as an
account with many keys, is split further at its commas.
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
# Three numbers are a piece of the base, and a range of its parts at commas.
Part = tuple[int, ...] | bytes
# Earlier versions can't decode ranges of a piece, so that smaller objects, as
# routes and services are, are sent whole.
MIN_DIVIDED_BYTES = 4_096
COMPRESSION_LEVEL = 6
_OBJECT_START = re.compile(rb"(?=\{)")
_COMMA = re.compile(rb"(?=,)")


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
                texts += _select(pieces, first, count)
            case (index, first, count):
                [piece] = _select(pieces, index, 1)
                texts += _select(_COMMA.split(piece), first, count)
            case _:
                raise TextRejected(f"got {len(part)} numbers, expected 2 or 3")
    return b"".join(texts)


def _select(pieces: list[bytes], first: int, count: int) -> list[bytes]:
    if not 0 <= first <= first + count <= len(pieces):
        raise TextRejected(
            f"pieces {first} to {first + count}, expected at most {len(pieces)}"
        )
    return pieces[first : first + count]


def _split(text: bytes) -> list[bytes]:
    return _OBJECT_START.split(text)


def _find_parts(base: list[bytes], target: list[bytes]) -> Iterator[Part]:
    """Yield a part for each piece of `target`."""
    index_by_head = {_head(piece): index for index, piece in enumerate(base)}
    for piece, index in _find_pieces(base, target):
        if index is not None:
            yield index, 1
            continue
        similar = index_by_head.get(_head(piece))
        if similar is None or len(piece) < MIN_DIVIDED_BYTES:
            yield piece
            continue
        for text, position in _find_pieces(
            _COMMA.split(base[similar]), _COMMA.split(piece)
        ):
            yield text if position is None else (similar, position, 1)


def _head(piece: bytes) -> bytes:
    """Return the text before the first comma, mostly the name of an object."""
    return piece.partition(b",")[0]


def _find_pieces(
    base: list[bytes], target: list[bytes]
) -> Iterator[tuple[bytes, int | None]]:
    """Yield the pieces of `target`, and the index of each in `base`."""
    index_by_piece = {piece: index for index, piece in enumerate(base)}
    expected = 0
    for piece in target:
        # The same piece may be in the base more than once.
        if expected < len(base) and base[expected] == piece:
            index: int | None = expected
        else:
            index = index_by_piece.get(piece)
        if index is not None:
            expected = index + 1
        yield piece, index


def _merge(parts: Iterable[Part]) -> Iterator[Part]:
    """Join parts that follow each other."""
    joined: Part = b""
    for part in parts:
        match joined, part:
            case (bytes(), bytes()):
                joined += part
            case ((*place, first, count), (*next_place, next_first, more)) if (
                place == next_place and next_first == first + count
            ):
                joined = (*place, first, count + more)
            case _:
                yield joined
                joined = part
    yield joined


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(list[Part])
