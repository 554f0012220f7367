"""Snapshot files of a replica; each is written atomically, one is kept."""

import pathlib

import msgspec

from wisteriawall.storage import durable_files
from wisteriawall.storage import records
from wisteriawall.wire import raft_messages

__all__ = ["load", "save"]

SNAPSHOT_GLOB = "snapshot-*.snapshot"

_DECODER = msgspec.msgpack.Decoder(raft_messages.Snapshot)


def load(folder: pathlib.Path) -> raft_messages.Snapshot | None:
    """Return the newest snapshot of `folder`, None if there is none.

    Raises:
        records.LogDamaged: The newest snapshot is damaged or misnamed.
    """
    paths = sorted(folder.glob(SNAPSHOT_GLOB))
    if not paths:
        return None
    path = paths[-1]
    payloads, _ = records.scan(path.read_bytes(), path=path, is_newest=False)
    if len(payloads) != 1:
        raise records.LogDamaged(
            path, "no snapshot record", "exactly one record"
        )
    snapshot = records.decode(_DECODER, payloads[0], path)
    if path != _snapshot_path(folder, snapshot.index):
        raise records.LogDamaged(
            path,
            f"holds the snapshot at index {snapshot.index}",
            "the index in its file name",
        )
    return snapshot


def save(folder: pathlib.Path, snapshot: raft_messages.Snapshot) -> None:
    """Write `snapshot` durably, then remove every other snapshot.

    Raises:
        durable_files.StorageFailed: The write failed.
    """
    payload = msgspec.msgpack.encode(snapshot)
    path = _snapshot_path(folder, snapshot.index)
    durable_files.replace_file(path, records.frame(sequence=0, payload=payload))
    for other in folder.glob(SNAPSHOT_GLOB):
        if other != path:
            other.unlink()


def _snapshot_path(folder: pathlib.Path, index: int) -> pathlib.Path:
    return folder / f"snapshot-{index:016d}.snapshot"
