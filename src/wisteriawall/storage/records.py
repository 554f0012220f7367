"""Framing of records in a file: marker, length, sequence and checksum.

A write that a crash cut short leaves an incomplete last record, which is
dropped. Damage in front of an intact record is another matter: dropping
acknowledged records would break agreement, so it is reported instead.
"""

import pathlib
import struct
from typing import TypeVar
from typing import final

import msgspec
import xxhash

from wisteriawall import errors

__all__ = ["LogDamaged", "decode", "frame", "scan"]

MARKER = b"\x9eWRc"
HEADER = struct.Struct("<4sIQQ")
CHECKED = struct.Struct("<IQ")

RecordT = TypeVar("RecordT")


@final
class LogDamaged(errors.WisteriawallError):
    """A file is damaged; the data folder is left as it is."""

    def __init__(self, path: pathlib.Path, fault: str, expected: str) -> None:
        super().__init__(
            f"{path}: {fault}, expected {expected}; "
            "add this replica anew with an empty folder and a new name"
        )


def frame(*, sequence: int, payload: bytes) -> bytes:
    """Return the stored form of one record."""
    digest = _digest(sequence, payload)
    return HEADER.pack(MARKER, len(payload), sequence, digest) + payload


def scan(
    data: bytes, *, path: pathlib.Path, is_newest: bool
) -> tuple[list[bytes], int]:
    """Return the intact records of a file and the bytes that they take.

    Only the newest file may end in a torn record.

    Raises:
        LogDamaged: An intact record follows a damaged one.
    """
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        payload = _read(data, offset, len(payloads))
        if payload is None:
            break
        payloads.append(payload)
        offset += HEADER.size + len(payload)
    torn = offset < len(data)
    if torn and not (is_newest and _is_tail(data, offset)):
        raise LogDamaged(
            path,
            f"damaged record {len(payloads)} at byte {offset} of {len(data)}",
            "an intact record",
        )
    return payloads, offset


def decode(
    decoder: msgspec.msgpack.Decoder[RecordT],
    payload: bytes,
    path: pathlib.Path,
) -> RecordT:
    """Return the record that an intact payload holds.

    Raises:
        LogDamaged: This version does not know the payload's form.
    """
    try:
        return decoder.decode(payload)
    except msgspec.DecodeError as error:
        raise LogDamaged(
            path, f"unknown record ({error})", "a record of this version"
        ) from error


def _read(data: bytes, offset: int, sequence: int | None) -> bytes | None:
    """Return the payload at `offset`, None unless the record is intact."""
    start = offset + HEADER.size
    if start > len(data):
        return None
    marker: bytes
    length: int
    found: int
    digest: int
    marker, length, found, digest = HEADER.unpack_from(data, offset)
    payload = data[start : start + length]
    if marker != MARKER or len(payload) != length:
        return None
    if sequence is not None and found != sequence:
        return None
    return payload if _digest(found, payload) == digest else None


def _is_tail(data: bytes, offset: int) -> bool:
    """Tell whether no intact record follows the damage at `offset`."""
    candidate = data.find(MARKER, offset + 1)
    while candidate >= 0:
        if _read(data, candidate, None) is not None:
            return False
        candidate = data.find(MARKER, candidate + 1)
    return True


def _digest(sequence: int, payload: bytes) -> int:
    state = xxhash.xxh3_64(CHECKED.pack(len(payload), sequence))
    state.update(payload)
    return state.intdigest()
