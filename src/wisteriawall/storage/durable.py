"""Durable file operations that the data folder is built from."""

import errno
import os
import pathlib
from typing import final

from wisteriawall import errors

__all__ = ["StorageFailed", "replace_file", "sync_folder", "write_all"]

TEMPORARY_SUFFIX = ".tmp"


@final
class StorageFailed(errors.WisteriawallError):
    """The disk refused a write; nothing after it may be acknowledged."""

    def __init__(self, path: pathlib.Path, error: OSError) -> None:
        expected = "a writable disk"
        if error.errno == errno.ENOSPC:
            expected = "free space on the disk"
        super().__init__(f"{path}: {error.strerror}, expected {expected}")


def write_all(descriptor: int, data: bytes) -> None:
    """Write all of `data`; a short write goes on where it ended."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def replace_file(path: pathlib.Path, data: bytes) -> None:
    """Put `data` at `path` so that a crash leaves the old or the new file.

    Raises:
        StorageFailed: The disk refused; the old file is unchanged.
    """
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    try:
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
    except OSError as error:
        raise StorageFailed(path, error) from error


def sync_folder(folder: pathlib.Path) -> None:
    """Make created, renamed and removed names in `folder` durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
