"""Decision log: one JSON line on standard output for each decision.

Logging never blocks the caller: lines wait in a bounded queue for a writer
thread. When the queue is full, lines are dropped; the next line that is
queued has their count in `dropped_lines`.
"""

from collections.abc import Mapping
import contextlib
import logging
import queue
import sys
import threading
from typing import BinaryIO
from typing import final

import msgspec

from wisteriawall import clock

__all__ = ["DecisionLog", "DecisionLogHandler"]

MAX_QUEUED_LINES = 2_000
MAX_LINES_PER_WRITE = 200


@final
class DecisionLog:
    """Log that writes each decision as one JSON line.

    Args:
        process: Name of this process, written in every line.
        stream: Output of the lines; standard output by default.
    """

    def __init__(self, *, process: str, stream: BinaryIO | None = None) -> None:
        self._process = process
        self._stream = stream or sys.stdout.buffer
        self._queue: queue.Queue[bytes | None] = queue.Queue(MAX_QUEUED_LINES)
        self._lock = threading.Lock()
        self._dropped_count = 0
        self._encoder = msgspec.json.Encoder()
        self._writer = threading.Thread(
            target=self._write_queued_lines, name="log", daemon=True
        )
        self._writer.start()

    def write(
        self, decision: str, *, request: str = "", inputs: Mapping[str, object]
    ) -> None:
        """Queue one line, or drop and count it if the queue is full.

        Args:
            decision: Kind of the decision.
            request: Id of the request that was decided on, if there is one.
            inputs: Further keys of the line, and their values.
        """
        line: dict[str, object] = {
            "t": clock.wall_ms(),
            "process": self._process,
            "decision": decision,
        }
        if request:
            line["request"] = request
        line.update(inputs)
        dropped_count = self._take_dropped_count()
        if dropped_count:
            line["dropped_lines"] = dropped_count
        try:
            self._queue.put_nowait(self._encoder.encode(line))
        except queue.Full:
            self._count_dropped(dropped_count + 1)

    def close(self) -> None:
        """Stop the writer after the queued lines; wait up to a second for it.

        If the queue is full, its oldest line is dropped: the output may be
        blocked, and the process must end nevertheless.
        """
        while True:
            try:
                self._queue.put_nowait(None)
                break
            except queue.Full:
                with contextlib.suppress(queue.Empty):
                    self._queue.get_nowait()
                self._count_dropped(1)
        self._writer.join(timeout=1.0)

    def _count_dropped(self, count: int) -> None:
        with self._lock:
            self._dropped_count += count

    def _take_dropped_count(self) -> int:
        with self._lock:
            count, self._dropped_count = self._dropped_count, 0
        return count

    def _write_queued_lines(self) -> None:
        while True:
            lines = [self._queue.get()]
            while len(lines) < MAX_LINES_PER_WRITE and lines[-1] is not None:
                try:
                    lines.append(self._queue.get_nowait())
                except queue.Empty:
                    break
            data = b"".join(b"%s\n" % line for line in lines if line)
            try:
                self._stream.write(data)
                self._stream.flush()
            except OSError:
                # The process keeps running without its decision log.
                self._count_dropped(len(lines))
            if lines[-1] is None:
                return


@final
class DecisionLogHandler(logging.Handler):
    """Handler of `logging` that writes records to a decision log."""

    def __init__(self, log: DecisionLog) -> None:
        super().__init__()
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one record as a line with the decision `log`."""
        inputs: dict[str, object] = {
            "level": record.levelname,
            "text": record.getMessage(),
        }
        if record.exc_info and record.exc_info[1] is not None:
            inputs["error"] = repr(record.exc_info[1])
            inputs["trace"] = logging.Formatter().formatException(
                record.exc_info
            )
        self._log.write("log", inputs=inputs)
