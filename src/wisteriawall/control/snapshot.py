"""Encoding of the ledger in snapshots.

All fields are encoded generically, so that none added later is left out.
"""

from collections import OrderedDict
import typing

import msgspec

from wisteriawall import errors
from wisteriawall.control import state

__all__ = ["SnapshotDamaged", "decode", "encode"]


@typing.final
class SnapshotDamaged(errors.WisteriawallError):
    """A snapshot does not contain a ledger that this version can decode."""


def encode(ledger: state.Ledger) -> bytes:
    """Return the encoded ledger."""
    return _ENCODER.encode(ledger)


def decode(data: bytes) -> state.Ledger:
    """Return the ledger in a snapshot, or an empty one if `data` is empty.

    Raises:
        SnapshotDamaged: The data is not an encoded ledger.
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
    """Rebuild an `OrderedDict`, which msgspec does not support."""
    if typing.get_origin(kind) is not OrderedDict:
        raise NotImplementedError(f"no snapshot form of {kind}")
    plain_kind: typing.Any = dict.__class_getitem__(typing.get_args(kind))
    return OrderedDict(msgspec.convert(loaded, plain_kind))


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(state.Ledger, dec_hook=_decode_ordered)
