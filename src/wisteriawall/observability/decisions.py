"""One JSON line on standard output for each decision, bounded, non-blocking.

Lines wait in a bounded queue for one writing thread. When the queue is full a
line is dropped and counted; the next line that gets through says how many.
"""

from collections.abc import Mapping
import logging
import queue
import sys
import threading
from typing import BinaryIO
from typing import final

import msgspec

from wisteriawall import clock

__all__ = ["DecisionLog", "LineHandler"]

MAX_WAITING_LINES = 2_000
MAX_LINES_PER_WRITE = 200


@final
class DecisionLog:
    """Write decisions as JSON lines.

    Args:
        process: Name of this process, part of every line.
        stream: Where lines go; standard output by default.
    """

    def __init__(self, *, process: str, stream: BinaryIO | None = None) -> None:
        self._process = process
        self._stream = stream or sys.stdout.buffer
        self._lines: queue.Queue[bytes | None] = queue.Queue(MAX_WAITING_LINES)
        self._dropped = 0
        self._encoder = msgspec.json.Encoder()
        self._thread = threading.Thread(
            target=self._run, name="log", daemon=True
        )
        self._thread.start()

    def write(
        self, decision: str, *, request: str = "", inputs: Mapping[str, object]
    ) -> None:
        """Queue one line, or count it as dropped."""
        line: dict[str, object] = {
            "t": clock.wall_ms(),
            "process": self._process,
            "decision": decision,
        }
        if request:
            line["request"] = request
        line.update(inputs)
        dropped, self._dropped = self._dropped, 0
        if dropped:
            line["dropped_lines"] = dropped
        try:
            self._lines.put_nowait(self._encoder.encode(line))
        except queue.Full:
            self._dropped = dropped + 1

    def close(self) -> None:
        """Write what waits, and stop."""
        self._lines.put(None)
        self._thread.join(timeout=1.0)

    def _run(self) -> None:
        while True:
            lines = [self._lines.get()]
            while len(lines) < MAX_LINES_PER_WRITE and lines[-1] is not None:
                try:
                    lines.append(self._lines.get_nowait())
                except queue.Empty:
                    break
            text = b"".join(b"%s\n" % line for line in lines if line)
            try:
                self._stream.write(text)
                self._stream.flush()
            except OSError:
                # Nobody reads the log; serving goes on without it.
                self._dropped += len(lines)
            if lines[-1] is None:
                return


@final
class LineHandler(logging.Handler):
    """Send the records of `logging` through a decision log."""

    def __init__(self, log: DecisionLog) -> None:
        super().__init__()
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one record."""
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
