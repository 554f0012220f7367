"""Worker threads of the HTTP server."""

from collections.abc import Callable
from collections.abc import Iterable
import logging
import queue
import threading
from typing import Any
from typing import final

from cheroot.workers import threadpool

from wisteriawall import clock

__all__ = ["WorkerPool"]

_LOG = logging.getLogger("http")

MS_PER_S = 1_000
# Ends the worker that takes it from the queue.
SHUTDOWN_REQUEST = threadpool._SHUTDOWNREQUEST  # type: ignore[attr-defined]
# Least time for final answers to the requests that end when the time to stop is
# over.
FINAL_ANSWER_MS = 200
# Time for the workers to end after their responses were cut. A worker that is
# still blocked then does not delay the end of the process.
CUT_TIMEOUT_MS = 200


@final
class WorkerPool(threadpool.ThreadPool):
    """Fixed number of threads, each serving one request at a time.

    Unlike cheroot's pool it stops within a bounded time, which is measured on
    the monotonic clock.

    Args:
        server: The server whose connections are served.
        threads: Number of threads.
        max_queued: Maximum number of connections that wait for a thread.
    """

    _threads: list[threadpool.WorkerThread]
    _queue: queue.Queue[Any]

    def __init__(self, server: Any, *, threads: int, max_queued: int) -> None:
        # The queue itself has no bound: stopping must be able to add to it.
        super().__init__(server, min=threads, max=threads)
        self._max_queued = max_queued
        self._lock = threading.Lock()
        self._stopping = False
        # When responses in progress have to end, on the monotonic clock; None
        # for the timeout of `stop`.
        self.stop_deadline_ms: int | None = None
        # Called once if responses are still in progress then.
        self.on_timeout: Callable[[], None] = lambda: None
        # When those that are left are cut, not before `FINAL_ANSWER_MS` after
        # that call.
        self.cut_at_ms = 0

    @property
    def busy_threads(self) -> int:
        """Return the number of threads that are serving a connection."""
        return sum(worker.conn is not None for worker in self._threads)

    def put(self, obj: Any) -> None:
        """Queue a connection.

        Raises:
            queue.Full: The maximum number of connections is waiting, or the
                threads are ending.
        """
        with self._lock:
            if self._stopping or self._queue.qsize() >= self._max_queued:
                raise queue.Full
            self._queue.put_nowait(obj)

    def stop(self, timeout: float | None = None) -> None:
        """End the threads, and cut what is in progress at `cut_at_ms`.

        `on_timeout` may end it with an answer before. A cut response ends with
        a reset of its connection, unless the kernel has all of it. Connections
        that wait for a thread are refused at once.
        """
        deadline_ms = self.stop_deadline_ms
        if deadline_ms is None:
            timeout_ms = 0 if timeout is None else round(timeout * MS_PER_S)
            deadline_ms = clock.monotonic_ms() + timeout_ms
        # A worker that fails stops the server in its own thread.
        workers = [
            worker
            for worker in self._threads
            if worker is not threading.current_thread()
        ]
        self._threads.clear()
        for connection in self._take_queued():
            connection.close_unserved()
        for _ in workers:
            self._queue.put_nowait(SHUTDOWN_REQUEST)
        _join(workers, deadline_ms)
        running = [worker for worker in workers if worker.is_alive()]
        if not running:
            return
        self.on_timeout()
        _join(
            running,
            max(self.cut_at_ms, clock.monotonic_ms() + FINAL_ANSWER_MS),
        )
        running = [worker for worker in running if worker.is_alive()]
        if not running:
            return
        _LOG.info("http: the stop cuts %d responses", len(running))
        for worker in running:
            connection = worker.conn
            if connection is not None:
                connection.cut()
        _join(running, clock.monotonic_ms() + CUT_TIMEOUT_MS)

    def _take_queued(self) -> list[Any]:
        """Remove and return the queued connections, and accept no more."""
        with self._lock:
            self._stopping = True
            connections = []
            while True:
                try:
                    connections.append(self._queue.get_nowait())
                except queue.Empty:
                    return connections

    def _spawn_worker(self) -> threadpool.WorkerThread:
        worker = threadpool.WorkerThread(self.server)  # type: ignore[no-untyped-call]
        worker.name = f"worker-{worker.name}"
        # A blocked worker must not keep the process from ending.
        worker.daemon = True
        worker.start()
        return worker


def _join(threads: Iterable[threading.Thread], deadline_ms: int) -> None:
    """Wait until all threads have ended or the deadline has passed."""
    for thread in threads:
        remaining_ms = max(0, deadline_ms - clock.monotonic_ms())
        thread.join(remaining_ms / MS_PER_S)
