"""Snapshot files: whole or absent, the newest one kept."""

import pathlib

import msgspec

from wisteriawall.storage import durable
from wisteriawall.storage import records
from wisteriawall.wire import raft_messages

__all__ = ["load", "save"]

PATTERN = "snapshot-*.snapshot"

_DECODER = msgspec.msgpack.Decoder(raft_messages.Snapshot)


def load(folder: pathlib.Path) -> raft_messages.Snapshot | None:
    """Return the newest snapshot of `folder`, None if there is none.

    Raises:
        records.LogDamaged: The newest snapshot is damaged.
    """
    found = sorted(folder.glob(PATTERN))
    if not found:
        return None
    path = found[-1]
    payloads, _ = records.scan(path.read_bytes(), path=path, is_newest=False)
    if len(payloads) != 1:
        raise records.LogDamaged(path, "no snapshot", "one record")
    snapshot = records.decode(_DECODER, payloads[0], path)
    if path != _path(folder, snapshot.index):
        raise records.LogDamaged(
            path, f"holds snapshot {snapshot.index}", "the index in its name"
        )
    return snapshot


def save(folder: pathlib.Path, snapshot: raft_messages.Snapshot) -> None:
    """Write `snapshot` durably, then remove the older ones."""
    payload = msgspec.msgpack.encode(snapshot)
    path = _path(folder, snapshot.index)
    durable.replace_file(path, records.frame(sequence=0, payload=payload))
    for old in folder.glob(PATTERN):
        if old != path:
            old.unlink()


def _path(folder: pathlib.Path, index: int) -> pathlib.Path:
    return folder / f"snapshot-{index:016d}.snapshot"
