"""File operations that survive a crash, for the data folder."""

from collections.abc import Iterator
import contextlib
import errno
import os
import pathlib
from typing import final

from wisteriawall import errors

__all__ = [
    "StorageFailed",
    "check_room",
    "create_folder",
    "remove_file",
    "replace_file",
    "storage_errors",
    "sync_folder",
    "write_all",
]

TEMPORARY_SUFFIX = ".tmp"
# A leftover is no file of a replica.
ROOM_CHECK_NAME = f"room-check{TEMPORARY_SUFFIX}"
# A record of the log, or a part of a snapshot, fits into it.
ROOM_CHECK_BYTES = 64 * 1024


@final
class StorageFailed(errors.WisteriawallError):
    """A write to disk failed; no later record may be acknowledged.

    `is_full` is set if the disk had no room.
    """

    def __init__(self, path: pathlib.Path, error: OSError) -> None:
        self.is_full = error.errno == errno.ENOSPC
        expected = (
            "free space on the disk" if self.is_full else "a writable disk"
        )
        super().__init__(f"{path}: {error.strerror}, expected {expected}")


@contextlib.contextmanager
def storage_errors(path: pathlib.Path) -> Iterator[None]:
    """Raise an OSError of the block as `StorageFailed` of `path`.

    Raises:
        StorageFailed: The block raised an OSError.
    """
    try:
        yield
    except OSError as error:
        raise StorageFailed(path, error) from error


def write_all(descriptor: int, data: bytes) -> None:
    """Write all of `data`, continuing after a partial write."""
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[os.write(descriptor, remaining) :]


def create_folder(path: pathlib.Path) -> None:
    """Create the folder at `path` and its missing parents, durably.

    Nothing is synced if the folder exists.

    Raises:
        StorageFailed: A folder that was created, or its parent, could not be
            synced.
    """
    created = [
        folder for folder in (path, *path.parents) if not folder.exists()
    ]
    path.mkdir(parents=True, exist_ok=True)
    with storage_errors(path):
        for folder in created:
            sync_folder(folder)
            sync_folder(folder.parent)


def replace_file(path: pathlib.Path, data: bytes) -> None:
    """Replace the file at `path` by `data`, atomically and durably.

    Raises:
        StorageFailed: A file operation failed. `path` holds the old or the new
            data.
    """
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    with storage_errors(path):
        descriptor = os.open(
            temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600
        )
        try:
            write_all(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        temporary.rename(path)
        sync_folder(path.parent)


def check_room(folder: pathlib.Path) -> None:
    """Write a file in `folder`, and remove it.

    Raises:
        StorageFailed: The disk has no room, or the write failed otherwise.
    """
    path = folder / ROOM_CHECK_NAME
    with storage_errors(path):
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            write_all(descriptor, bytes(ROOM_CHECK_BYTES))
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
            path.unlink()


def remove_file(path: pathlib.Path) -> None:
    """Remove the file at `path` durably.

    Raises:
        StorageFailed: A file operation failed. The file may be left, or come
            back after a loss of power.
    """
    with storage_errors(path):
        path.unlink()
        sync_folder(path.parent)


def sync_folder(folder: pathlib.Path) -> None:
    """Make the creation, renaming and removal of files in `folder` durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
