"""Saves the snapshots of a replica's own compactions on a thread of its own.

The log holds the entries that such a snapshot replaces until it is durable, so
nothing waits for it. It takes several syncs, at about the same time on all
replicas.
"""

from collections.abc import Callable
import dataclasses
import pathlib
import threading
from typing import final

from wisteriawall import clock
from wisteriawall.storage import replica_log
from wisteriawall.wire import raft_messages

__all__ = ["SnapshotWriter"]


@final
@dataclasses.dataclass(slots=True, frozen=True)
class _Compaction:
    """A snapshot to save, and the segments that it replaces."""

    snapshot: raft_messages.Snapshot
    segments: list[pathlib.Path]


@final
class SnapshotWriter:
    """Saves snapshots of the entries that a log has made durable, in order.

    Args:
        log: Log whose segments the snapshots replace.
        on_failure: Called with the error when a snapshot can't be saved, on
            the writer's thread; none is saved after it.
        on_sync: Called with the time that a snapshot took in ms and 1, on the
            writer's thread.
    """

    def __init__(
        self,
        log: replica_log.ReplicaLog,
        *,
        on_failure: Callable[[Exception], None],
        on_sync: Callable[[int, int], None],
    ) -> None:
        self._log = log
        self._on_failure = on_failure
        self._on_sync = on_sync
        self._changed = threading.Condition()
        self._waiting: _Compaction | None = None
        self._is_saving = False
        self._failure: Exception | None = None
        self._closing = False
        self._thread = threading.Thread(
            target=self._run, name="snapshot-writer", daemon=True
        )

    def start(self) -> None:
        """Start the writer's thread."""
        self._thread.start()

    def request(
        self, snapshot: raft_messages.Snapshot, segments: list[pathlib.Path]
    ) -> None:
        """Save a snapshot, then remove segments; returns at once.

        It takes the place of one that waits.
        """
        with self._changed:
            if self._waiting is not None:
                segments = [*self._waiting.segments, *segments]
            self._waiting = _Compaction(snapshot, segments)
            self._changed.notify_all()

    def wait_until_idle(self) -> None:
        """Wait until every snapshot that was requested is saved.

        Raises:
            Exception: One could not be saved.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: (
                    self._failure is not None
                    or (self._waiting is None and not self._is_saving)
                )
            )
            if self._failure is not None:
                raise self._failure

    def close(self) -> None:
        """Save what waits, and wait for the thread to end."""
        with self._changed:
            self._closing = True
            self._changed.notify_all()
        self._thread.join()

    def _run(self) -> None:
        try:
            while (compaction := self._next()) is not None:
                began_ms = clock.monotonic_ms()
                self._log.replace_segments(
                    compaction.snapshot, compaction.segments
                )
                self._on_sync(clock.monotonic_ms() - began_ms, 1)
        except Exception as error:
            with self._changed:
                self._failure = error
                self._changed.notify_all()
            self._on_failure(error)

    def _next(self) -> _Compaction | None:
        """Return what to save next, None at the end."""
        with self._changed:
            self._is_saving = False
            self._changed.notify_all()
            self._changed.wait_for(
                lambda: self._waiting is not None or self._closing
            )
            compaction, self._waiting = self._waiting, None
            self._is_saving = compaction is not None
            return compaction
