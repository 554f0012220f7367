"""Ownership of a replica's data folder: an identity file and a lock file.

The identity has a random folder id. It tells apart a replica that lost its
disk and started again from the one that wrote votes and entries under the
same name.
"""

import fcntl
import os
import pathlib
import secrets
from typing import final

import msgspec

from wisteriawall import errors
from wisteriawall.storage import durable_files
from wisteriawall.storage import records
from wisteriawall.wire import raft_messages

__all__ = ["DataFolder", "FolderRefused", "Identity", "read_owner"]

IDENTITY_FORMAT_VERSION = 1
IDENTITY_NAME = "identity"
LOCK_NAME = "lock"
FIRST_SEGMENT_NAME = "log-0000000000000001.segment"
FOLDER_ID_BYTES = 8


@final
class FolderRefused(errors.WisteriawallError):
    """A data folder can't be used by this process; it was left unchanged."""

    def __init__(self, path: pathlib.Path, fault: str, expected: str) -> None:
        super().__init__(f"data folder {path}: {fault}, expected {expected}")


@final
class Identity(msgspec.Struct, frozen=True):
    """Replica that owns a data folder, as stored in its identity file.

    `version` is the format of the file. `founders` are the first voters of
    the cluster that this folder founded; empty if it founded none.
    """

    version: int
    cluster: str
    replica: str
    folder_id: str
    founders: tuple[raft_messages.Member, ...] = ()


_DECODER = msgspec.msgpack.Decoder(Identity)


@final
class DataFolder:
    """Data folder locked by this process for one replica.

    Args:
        path: The folder; created if it is missing.
        cluster: Name of the cluster.
        replica: Name of this replica.
        founders: First voters of a new cluster. A replica with an empty folder
            and no founders waits until it is added to a cluster.

    Raises:
        FolderRefused: The folder is in use by another process, belongs to
            another replica or cluster, or holds other files.
        records.LogDamaged: The identity file is damaged.
        durable_files.StorageFailed: The folder, or a parent of a folder that
            was created, could not be synced.
    """

    def __init__(
        self,
        path: pathlib.Path,
        *,
        cluster: str,
        replica: str,
        founders: tuple[raft_messages.Member, ...] = (),
    ) -> None:
        durable_files.create_folder(path)
        self.path = path
        self._lock_descriptor = self._acquire_lock()
        try:
            self._sync()
            stored = self._load_identity()
            self.is_new = stored is None
            self.identity = stored or Identity(
                IDENTITY_FORMAT_VERSION,
                cluster,
                replica,
                secrets.token_hex(FOLDER_ID_BYTES),
                founders,
            )
            self._check_owner("cluster", self.identity.cluster, cluster)
            self._check_owner("replica", self.identity.replica, replica)
        except BaseException:
            self.close()
            raise

    def write_identity(self) -> None:
        """Write the identity file of a new folder.

        It is written after the first segment, so that a folder with an
        identity always has a segment. A folder without one is still new.
        """
        data = msgspec.msgpack.encode(self.identity)
        framed = records.frame(sequence=0, payload=data)
        durable_files.replace_file(self.path / IDENTITY_NAME, framed)

    def close(self) -> None:
        """Release the lock, so that another process can open the folder."""
        os.close(self._lock_descriptor)

    def _acquire_lock(self) -> int:
        descriptor = os.open(
            self.path / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600
        )
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(descriptor)
            raise FolderRefused(
                self.path,
                "in use by another process",
                "a folder that no other process uses",
            ) from error
        return descriptor

    def _sync(self) -> None:
        """Make the names in the folder durable, before they are relied on.

        A process that was killed between a rename and the sync of the folder
        leaves a name that a loss of power could still undo.
        """
        with durable_files.storage_errors(self.path):
            durable_files.sync_folder(self.path)

    def _load_identity(self) -> Identity | None:
        path = self.path / IDENTITY_NAME
        if not path.exists():
            self._check_is_new()
            return None
        payloads, _ = records.scan(
            path.read_bytes(), path=path, is_newest=False
        )
        if len(payloads) != 1:
            raise records.LogDamaged(
                path, "no identity record", "exactly one record"
            )
        return records.decode(_DECODER, payloads[0], path)

    def _check_is_new(self) -> None:
        """Raise `FolderRefused` unless the folder is new.

        Files that a crash during the first start left are allowed.
        """
        for file in sorted(self.path.iterdir()):
            is_temporary = file.suffix == durable_files.TEMPORARY_SUFFIX
            if file.name == LOCK_NAME or is_temporary:
                continue
            if file.name == FIRST_SEGMENT_NAME and _has_no_entries(file):
                continue
            raise FolderRefused(
                self.path,
                f"holds {file.name} but no identity file",
                "an empty folder",
            )

    def _check_owner(self, kind: str, found: str, expected: str) -> None:
        if found != expected:
            raise FolderRefused(
                self.path, f"belongs to {kind} {found!r}", repr(expected)
            )


def read_owner(path: pathlib.Path) -> str:
    """Return the name of the replica that owns a folder, empty for a new one.

    Raises:
        records.LogDamaged: The identity file is damaged.
    """
    file = path / IDENTITY_NAME
    if not file.exists():
        return ""
    payloads, _ = records.scan(file.read_bytes(), path=file, is_newest=False)
    if len(payloads) != 1:
        raise records.LogDamaged(
            file, "no identity record", "exactly one record"
        )
    return records.decode(_DECODER, payloads[0], file).replica


def _has_no_entries(path: pathlib.Path) -> bool:
    """Return whether a segment has nothing after its first record."""
    payloads, _ = records.scan(path.read_bytes(), path=path, is_newest=True)
    return len(payloads) <= 1
