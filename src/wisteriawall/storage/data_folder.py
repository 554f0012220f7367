"""The data folder of one replica: whose it is, and that nobody else has it.

The folder's random id makes a replica that lost its disk tell apart from the
one that wrote the votes and entries of its name.
"""

import fcntl
import os
import pathlib
import secrets
from typing import final

import msgspec

from wisteriawall import errors
from wisteriawall.storage import durable
from wisteriawall.storage import records
from wisteriawall.wire import raft_messages

__all__ = ["DataFolder", "FolderRefused", "Identity", "owner"]

FORMAT_VERSION = 1
IDENTITY_NAME = "identity"
LOCK_NAME = "lock"
FIRST_SEGMENT_NAME = "log-0000000000000001.segment"
FOLDER_ID_BYTES = 8


@final
class FolderRefused(errors.WisteriawallError):
    """A data folder is not this replica's to use; nothing was changed."""

    def __init__(self, path: pathlib.Path, fault: str, expected: str) -> None:
        super().__init__(f"data folder {path}: {fault}, expected {expected}")


@final
class Identity(msgspec.Struct, frozen=True):
    """Who owns a folder; `founders` found the cluster, if it did."""

    version: int
    cluster: str
    replica: str
    folder_id: str
    founders: tuple[raft_messages.Member, ...] = ()


_DECODER = msgspec.msgpack.Decoder(Identity)


@final
class DataFolder:
    """Take a data folder for one replica and this process alone.

    Args:
        path: The folder; made if it is missing.
        cluster: Name of the cluster.
        replica: Name of this replica.
        founders: Voters of a new cluster. An empty folder without founders
            belongs to a replica that waits until it is added.

    Raises:
        FolderRefused: Another process, replica, cluster or program owns it.
    """

    def __init__(
        self,
        path: pathlib.Path,
        *,
        cluster: str,
        replica: str,
        founders: tuple[raft_messages.Member, ...] = (),
    ) -> None:
        path.mkdir(parents=True, exist_ok=True)
        self.path = path
        self._lock = self._take_lock()
        try:
            loaded = self._load()
            self.is_new = loaded is None
            self.identity = loaded or Identity(
                FORMAT_VERSION,
                cluster,
                replica,
                secrets.token_hex(FOLDER_ID_BYTES),
                founders,
            )
            self._check("cluster", self.identity.cluster, cluster)
            self._check("replica", self.identity.replica, replica)
        except BaseException:
            self.close()
            raise

    def claim(self) -> None:
        """Write the identity of a new folder, once its first file is there."""
        data = msgspec.msgpack.encode(self.identity)
        framed = records.frame(sequence=0, payload=data)
        durable.replace_file(self.path / IDENTITY_NAME, framed)

    def close(self) -> None:
        """Let another process take the folder."""
        os.close(self._lock)

    def _take_lock(self) -> int:
        descriptor = os.open(
            self.path / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600
        )
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(descriptor)
            raise FolderRefused(
                self.path, "in use by another process", "a folder of its own"
            ) from error
        return descriptor

    def _load(self) -> Identity | None:
        path = self.path / IDENTITY_NAME
        if not path.exists():
            self._check_empty()
            return None
        payloads, _ = records.scan(
            path.read_bytes(), path=path, is_newest=False
        )
        if len(payloads) != 1:
            raise records.LogDamaged(path, "no identity", "one record")
        return records.decode(_DECODER, payloads[0], path)

    def _check_empty(self) -> None:
        """Refuse a folder in use; allow one whose making was cut short."""
        for found in sorted(self.path.iterdir()):
            unfinished = found.suffix == durable.TEMPORARY_SUFFIX
            if found.name == LOCK_NAME or unfinished:
                continue
            if found.name == FIRST_SEGMENT_NAME and _has_no_entry(found):
                continue
            raise FolderRefused(
                self.path,
                f"holds {found.name} but no identity of a replica",
                "an empty folder",
            )

    def _check(self, what: str, found: str, expected: str) -> None:
        if found != expected:
            raise FolderRefused(
                self.path, f"belongs to {what} {found!r}", repr(expected)
            )


def owner(path: pathlib.Path) -> str:
    """Return the replica that a folder belongs to, empty for a new one.

    Raises:
        records.LogDamaged: The folder's identity can't be read.
    """
    file = path / IDENTITY_NAME
    if not file.exists():
        return ""
    payloads, _ = records.scan(file.read_bytes(), path=file, is_newest=False)
    if len(payloads) != 1:
        raise records.LogDamaged(file, "no identity", "one record")
    return records.decode(_DECODER, payloads[0], file).replica


def _has_no_entry(path: pathlib.Path) -> bool:
    payloads, _ = records.scan(path.read_bytes(), path=path, is_newest=True)
    return len(payloads) <= 1
