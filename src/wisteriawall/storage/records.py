"""Framing of records in a file: marker, length, sequence and checksum.

A crash during a write leaves an incomplete last record, which is dropped: it
was never acknowledged. After a loss of power any page of the batch that was
being synced may be missing, also one before intact records of that batch. Any
other damage before an intact record is an error, because dropping acknowledged
records would break the agreement of replicas.
"""

from collections.abc import Callable
from collections.abc import Iterator
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
# A file system with larger pages loses several of these.
PAGE_BYTES = 4_096

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


def _unknown_batch(_payload: bytes) -> int:
    return -1


def scan(
    data: bytes,
    *,
    path: pathlib.Path,
    is_newest: bool,
    first_of_batch: Callable[[bytes], int] = _unknown_batch,
) -> tuple[list[bytes], int]:
    """Return the payloads of a file's intact records, and their size in bytes.

    The size includes the headers. Only the newest file may end in an
    incomplete record, or in a batch of which a page is missing. That record,
    and what follows, is left out.

    Args:
        data: Content of the file.
        path: Path of the file, for the error.
        is_newest: Whether no other file follows.
        first_of_batch: Returns the sequence of the first record of a payload's
            batch, a negative number if it is not known.

    Raises:
        LogDamaged: A damaged record is neither the last one nor in a batch
            that was not synced, or the file is not the newest.
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
    if is_damaged and not (
        is_newest and _is_unsynced(data, offset, payloads, first_of_batch)
    ):
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


def _is_unsynced(
    data: bytes,
    offset: int,
    payloads: list[bytes],
    first_of_batch: Callable[[bytes], int],
) -> bool:
    """Return whether the damaged record at `offset` can't have been synced.

    A batch is written only after the sync of the one before. So an intact
    record of a later batch proves that this one was synced, and may have been
    acknowledged. If all intact records that follow are of the same batch, it
    is taken for not synced only where a page of it reads as zeros, which is
    what a file has in place of a page that was never written. Other damage,
    such as a changed bit, is that of a page that was written.

    Args:
        data: Content of the file.
        offset: Where the damaged record starts.
        payloads: Payloads of all records before it.
        first_of_batch: See `scan`.
    """
    following = list(_intact_records(data, offset + 1))
    if not following:
        return True
    [batch, *others] = {first_of_batch(payload) for _, payload in following}
    sequence = len(payloads)
    if others or not 0 <= batch <= sequence:
        return False
    starts_batch = batch == sequence
    if not starts_batch and first_of_batch(payloads[-1]) != batch:
        return False
    first_following, _ = following[0]
    return _is_page_missing(
        data, offset, first_following, starts_batch=starts_batch
    )


def _intact_records(data: bytes, offset: int) -> Iterator[tuple[int, bytes]]:
    """Yield offset and payload of each intact record from `offset` on."""
    candidate = data.find(MARKER, offset)
    while candidate >= 0:
        payload = _read_record(data, candidate, None)
        if payload is not None:
            yield candidate, payload
        candidate = data.find(MARKER, candidate + 1)


def _is_page_missing(
    data: bytes, start: int, end: int, *, starts_batch: bool
) -> bool:
    """Return whether a page from `start` to `end` has only zeros.

    The page in which `start` lies counts, without its part before `start`, only
    if a batch starts there: it may be missing though the part before, of an
    earlier batch, was synced. That part begins with a marker, so a record
    that was written is not all zeros there.
    """
    page_start = start - start % PAGE_BYTES
    if page_start < start and not starts_batch:
        page_start += PAGE_BYTES
    while page_start + PAGE_BYTES <= end:
        page_end = page_start + PAGE_BYTES
        if not any(data[max(page_start, start) : page_end]):
            return True
        page_start = page_end
    return False


def _checksum(sequence: int, payload: bytes) -> int:
    state = xxhash.xxh3_64(CHECKSUMMED_HEADER.pack(len(payload), sequence))
    state.update(payload)
    return state.intdigest()
