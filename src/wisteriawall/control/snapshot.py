"""Snapshot form of the ledger: every field, so that new ones are kept too."""

from collections import OrderedDict
import typing

import msgspec

from wisteriawall import errors
from wisteriawall.control import state

__all__ = ["SnapshotDamaged", "decode", "encode"]


@typing.final
class SnapshotDamaged(errors.WisteriawallError):
    """A snapshot does not hold a ledger that this version can read."""


def encode(book: state.Ledger) -> bytes:
    """Return the snapshot form of `book`."""
    return _ENCODER.encode(book)


def decode(data: bytes) -> state.Ledger:
    """Return the ledger that a snapshot holds, an empty one for no data.

    Raises:
        SnapshotDamaged: The data is not a ledger.
    """
    if not data:
        return state.Ledger()
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise SnapshotDamaged(
            f"snapshot of {len(data)} bytes: {error}, expected a ledger"
        ) from error


def _decode_ordered(kind: typing.Any, loaded: typing.Any) -> typing.Any:
    """Rebuild an `OrderedDict`, which the codec does not know."""
    if typing.get_origin(kind) is not OrderedDict:
        raise NotImplementedError(f"no snapshot form of {kind}")
    plain_kind: typing.Any = dict.__class_getitem__(typing.get_args(kind))
    return OrderedDict(msgspec.convert(loaded, plain_kind))


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(state.Ledger, dec_hook=_decode_ordered)
