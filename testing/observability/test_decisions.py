"""Tests of the decision log."""

import io
import json
import threading

from wisteriawall.observability import decisions

WAIT_S = 10.0


class BlockedStream(io.RawIOBase):
    """Output whose reader has stopped reading until `released` is set."""

    def __init__(self) -> None:
        """Start blocked."""
        super().__init__()
        self.released = threading.Event()
        self.lines: list[bytes] = []

    def write(self, data: object) -> int:
        """Wait for the release, then keep the lines."""
        self.released.wait(WAIT_S)
        text = bytes(data)  # type: ignore[call-overload]
        self.lines += text.splitlines()
        return len(text)


def test_close_does_not_wait_for_a_blocked_output() -> None:
    """A process whose log is not read must still be able to end."""
    stream = BlockedStream()
    log = decisions.DecisionLog(process="p", stream=stream)  # type: ignore[arg-type]
    for number in range(decisions.MAX_QUEUED_LINES + 500):
        log.write("sent", inputs={"number": number})
    closing = threading.Thread(target=log.close)
    closing.start()
    closing.join(WAIT_S / 2)
    assert not closing.is_alive()
    assert not stream.lines
    stream.released.set()


def test_dropped_lines_are_counted_in_the_next_line() -> None:
    stream = BlockedStream()
    log = decisions.DecisionLog(process="p", stream=stream)  # type: ignore[arg-type]
    total = decisions.MAX_QUEUED_LINES + 500
    for number in range(total):
        log.write("sent", inputs={"number": number})
    stream.released.set()
    while log._queue.qsize():
        pass
    log.write("last", inputs={})
    log.close()
    lines = [json.loads(line) for line in stream.lines]
    dropped = sum(line.get("dropped_lines", 0) for line in lines)
    assert dropped
    assert len(lines) + dropped == total + 1
