"""Framing of records in a file: marker, length, sequence and checksum.

A crash during a write leaves an incomplete last record, which is dropped: it
was never acknowledged. Damage before an intact record is an error instead,
because dropping acknowledged records would break the agreement of replicas.
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
CHECKSUMMED_HEADER = struct.Struct("<IQ")

RecordT = TypeVar("RecordT")


@final
class LogDamaged(errors.WisteriawallError):
    """A file in the data folder is damaged; it was left unchanged."""

    def __init__(self, path: pathlib.Path, fault: str, expected: str) -> None:
        super().__init__(
            f"{path}: {fault}, expected {expected}; "
            "remove this replica and add one with an empty data folder and a "
            "new name"
        )


def frame(*, sequence: int, payload: bytes) -> bytes:
    """Return one record with its header, as it is stored in a file.

    `sequence` is the record's position in its file, from 0.
    """
    checksum = _checksum(sequence, payload)
    return HEADER.pack(MARKER, len(payload), sequence, checksum) + payload


def scan(
    data: bytes, *, path: pathlib.Path, is_newest: bool
) -> tuple[list[bytes], int]:
    """Return the payloads of a file's intact records, and their size in bytes.

    The size includes the headers. Only the newest file may end in an
    incomplete record, which is left out.

    Raises:
        LogDamaged: A damaged record is not the last one, or the file is not
            the newest.
    """
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        payload = _read_record(data, offset, len(payloads))
        if payload is None:
            break
        payloads.append(payload)
        offset += HEADER.size + len(payload)
    is_damaged = offset < len(data)
    if is_damaged and not (is_newest and _is_last_record(data, offset)):
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
    """Return the record decoded from an intact payload.

    Raises:
        LogDamaged: This version can't decode the payload.
    """
    try:
        return decoder.decode(payload)
    except msgspec.DecodeError as error:
        raise LogDamaged(
            path, f"unknown record ({error})", "a record of this version"
        ) from error


def _read_record(
    data: bytes, offset: int, sequence: int | None
) -> bytes | None:
    """Return the payload of the record at `offset`, None if it is damaged.

    A `sequence` of None accepts a record with any sequence number.
    """
    start = offset + HEADER.size
    if start > len(data):
        return None
    marker: bytes
    length: int
    found_sequence: int
    checksum: int
    marker, length, found_sequence, checksum = HEADER.unpack_from(data, offset)
    payload = data[start : start + length]
    if marker != MARKER or len(payload) != length:
        return None
    if sequence is not None and found_sequence != sequence:
        return None
    return payload if _checksum(found_sequence, payload) == checksum else None


def _is_last_record(data: bytes, offset: int) -> bool:
    """Return whether no intact record follows the damaged one at `offset`."""
    candidate = data.find(MARKER, offset + 1)
    while candidate >= 0:
        if _read_record(data, candidate, None) is not None:
            return False
        candidate = data.find(MARKER, candidate + 1)
    return True


def _checksum(sequence: int, payload: bytes) -> int:
    state = xxhash.xxh3_64(CHECKSUMMED_HEADER.pack(len(payload), sequence))
    state.update(payload)
    return state.intdigest()
