"""Writes and syncs the log of a replica on a thread of its own.

A sync may take long on a disk that others use too. The replica answers and
sends meanwhile, and is told afterwards what is durable. What is requested
during a sync is written and synced together next.
"""

from collections.abc import Callable
import logging
import threading
from typing import TypeAlias
from typing import final

from wisteriawall import clock
from wisteriawall.control import raft
from wisteriawall.control import snapshot_writer
from wisteriawall.storage import durable_files
from wisteriawall.storage import replica_log

__all__ = ["DurableEffect", "LogWriter"]

_LOG = logging.getLogger("control")

# Beyond it the replica waits for its disk.
MAX_WAITING_BYTES = 16 * 1024 * 1024
RECORD_BYTES = 64

DurableEffect: TypeAlias = (
    raft.SaveHardState
    | raft.AppendLog
    | raft.TruncateLog
    | raft.SaveSnapshot
    | raft.ResetLog
)


@final
class LogWriter:
    """Makes the effects of one replica durable, in order.

    The snapshots of own compactions are saved beside them, after the effects
    that they follow.

    Args:
        log: Log of the replica; after `start` only the writer uses it.
        on_progress: Called on a thread of the writer after each sync, and when
            the writer has failed. It must not block.
        on_sync: Called with the time of each sync in ms and the number of
            effects that it made durable, on a thread of the writer.
    """

    def __init__(
        self,
        log: replica_log.ReplicaLog,
        *,
        on_progress: Callable[[], None],
        on_sync: Callable[[int, int], None],
    ) -> None:
        self._log = log
        self._on_progress = on_progress
        self._on_sync = on_sync
        self._changed = threading.Condition()
        self._waiting: list[DurableEffect] = []
        self._waiting_bytes = 0
        self._requested = 0
        self._synced = 0
        self._failure: Exception | None = None
        self._closing = False
        self._snapshots = snapshot_writer.SnapshotWriter(
            log, on_failure=self._fail, on_sync=on_sync
        )
        # Newest snapshot of the effects that are being written.
        self._compaction: raft.SaveSnapshot | None = None
        self._thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )

    def start(self) -> None:
        """Start the writer's threads."""
        self._snapshots.start()
        self._thread.start()

    def write(self, effects: list[DurableEffect], number: int) -> None:
        """Request that `effects` become durable. Called by one thread.

        Blocks while more than `MAX_WAITING_BYTES` wait for the disk.

        Args:
            effects: Effects in order.
            number: What `synced` returns once they are durable.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: (
                    self._waiting_bytes < MAX_WAITING_BYTES
                    or self._failure is not None
                    or self._closing
                )
            )
            self._waiting += effects
            self._waiting_bytes += sum(map(_size_bytes, effects))
            self._requested = number
            self._changed.notify_all()

    @property
    def synced(self) -> int:
        """Return the number of the newest request that is durable.

        Raises:
            durable_files.StorageFailed: A write failed; none follows it.
            Exception: The writer met a defect.
        """
        with self._changed:
            if self._failure is not None:
                raise self._failure
            return self._synced

    def begin_close(self) -> None:
        """Let no `write` wait for the disk any more. Thread-safe."""
        with self._changed:
            self._closing = True
            self._changed.notify_all()

    def close(self, timeout_s: float) -> None:
        """Write what waits and end the thread, within `timeout_s` if it can.

        What is not written by then was not acknowledged either.
        """
        self.begin_close()
        if self._thread.ident is None:
            self._log.close()
            return
        self._thread.join(timeout_s)
        if self._thread.is_alive():
            _LOG.error(
                "control: the disk did not complete a sync within %.1f s of "
                "the stop",
                timeout_s,
            )

    def _run(self) -> None:
        try:
            while self._write_waiting():
                self._on_progress()
        except Exception as error:
            self._fail(error)
        finally:
            self._snapshots.close()
            self._log.close()

    def _fail(self, error: Exception) -> None:
        if not isinstance(error, durable_files.StorageFailed):
            _LOG.error(
                "control: unexpected error in the log's writer", exc_info=error
            )
        with self._changed:
            self._failure = self._failure or error
            self._changed.notify_all()
        self._on_progress()

    def _write_waiting(self) -> bool:
        """Write and sync what waits, at least one effect; False at the end."""
        with self._changed:
            self._changed.wait_for(lambda: self._waiting or self._closing)
            effects, number = self._waiting, self._requested
            self._waiting, self._waiting_bytes = [], 0
            self._changed.notify_all()
        if not effects:
            return False
        began_ms = clock.monotonic_ms()
        for effect in effects:
            self._write(effect)
        self._log.sync()
        if self._compaction is not None:
            compaction, self._compaction = self._compaction, None
            self._snapshots.request(
                compaction.snapshot,
                self._log.release_before(compaction.keep_from),
            )
        self._on_sync(clock.monotonic_ms() - began_ms, len(effects))
        with self._changed:
            self._synced = number
        return True

    def _write(self, effect: DurableEffect) -> None:
        match effect:
            case raft.SaveHardState(term, voted_for):
                self._log.save_hard_state(term=term, voted_for=voted_for)
            case raft.AppendLog(entries):
                self._log.append(entries)
            case raft.TruncateLog(index):
                self._log.truncate(index)
            case raft.ResetLog(index):
                self._log.reset(index)
            case raft.SaveSnapshot(is_compaction=True):
                self._compaction = effect
            case raft.SaveSnapshot(snapshot, keep_from):
                # It is newer than those of own compactions.
                self._compaction = None
                self._snapshots.wait_until_idle()
                self._log.save_snapshot(snapshot, first_kept_index=keep_from)


def _size_bytes(effect: DurableEffect) -> int:
    match effect:
        case raft.AppendLog(entries):
            return sum(len(e.command) + RECORD_BYTES for e in entries)
        case raft.SaveSnapshot(snapshot):
            return len(snapshot.data)
        case _:
            return RECORD_BYTES
