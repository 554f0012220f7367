"""Memory for answers that are read whole before the caller gets them.

All workers share one budget, and each runner has a share of it, so that a
runner whose answers don't end takes neither the memory nor the workers that the
answers of others need.
"""

from collections.abc import Callable
import threading
from types import TracebackType
from typing import Self
from typing import final

from wisteriawall import clock
from wisteriawall.web import memory_budget

__all__ = ["AnswerBuffer", "AnswerMemory", "NoRoom"]

# Part of the budget for the large answers of one runner.
RUNNER_SHARE = 0.2
# Workers that wait for room for an answer of one runner.
MAX_WAITING_PER_RUNNER = 8
WAIT_INTERVAL_S = 0.05
# Least and most bytes that are reserved at a time.
MIN_STEP_BYTES = 4 * 1024
STEP_BYTES = 64 * 1024


@final
class NoRoom(Exception):
    """There is no room for the rest of an answer."""


@final
class AnswerMemory:
    """Hands out room for answers; any thread may use it.

    Answers of up to `memory_budget.SMALL_REQUEST_BYTES` are counted, but never
    wait, as each worker has only one. The larger ones of a runner have its
    share, and wait for each other when it is used up. The oldest one of a
    runner may exceed the share, and the oldest of all the budget, so that one
    answer always goes on.

    Args:
        budget: Budget of the process.
        max_waiting: Most answers of a runner that wait for room.
    """

    def __init__(
        self,
        *,
        budget: memory_budget.MemoryBudget,
        max_waiting: int = MAX_WAITING_PER_RUNNER,
    ) -> None:
        self._budget = budget
        self._max_waiting = max_waiting
        self._share_bytes = round(budget.max_bytes * RUNNER_SHARE)
        self._changed = threading.Condition()
        # Large answers, the oldest first.
        self._large: list[AnswerBuffer] = []
        self._waiting_by_runner: dict[str, int] = {}

    def open(
        self, runner: str, *, until_ms: int, is_cancelled: Callable[[], bool]
    ) -> "AnswerBuffer":
        """Return an empty buffer for an answer of a runner.

        Args:
            runner: Address of the runner.
            until_ms: When waiting for room ends, monotonic time.
            is_cancelled: Returns whether the answer is no longer needed.
        """
        return AnswerBuffer(
            memory=self,
            runner=runner,
            until_ms=until_ms,
            is_cancelled=is_cancelled,
        )

    def reserve(self, buffer: "AnswerBuffer", size: int) -> None:
        """Reserve room for more of an answer, and wait for it.

        Raises:
            NoRoom: There is none in time, or too many answers wait for it.
        """
        with self._changed:
            if not self._try_reserve(buffer, size):
                self._wait_for_room(buffer, size)
            buffer.held_bytes += size

    def release(self, buffer: "AnswerBuffer") -> None:
        """Release all room of an answer."""
        with self._changed:
            if buffer in self._large:
                self._large.remove(buffer)
            self._budget.release(buffer.held_bytes)
            buffer.held_bytes = 0
            self._changed.notify_all()

    def _wait_for_room(self, buffer: "AnswerBuffer", size: int) -> None:
        waiting = self._waiting_by_runner.get(buffer.runner, 0)
        if waiting >= self._max_waiting:
            raise NoRoom(
                f"{waiting} other answers of {buffer.runner} wait for memory"
            )
        self._waiting_by_runner[buffer.runner] = waiting + 1
        try:
            while not self._try_reserve(buffer, size):
                if buffer.is_cancelled() or (
                    clock.monotonic_ms() >= buffer.until_ms
                ):
                    raise NoRoom(
                        f"no memory for more than {buffer.held_bytes} bytes"
                    )
                # Room that others of the process release is not notified.
                self._changed.wait(WAIT_INTERVAL_S)
        finally:
            self._waiting_by_runner[buffer.runner] -= 1
            if not self._waiting_by_runner[buffer.runner]:
                del self._waiting_by_runner[buffer.runner]

    def _try_reserve(self, buffer: "AnswerBuffer", size: int) -> bool:
        held_bytes = buffer.held_bytes
        if held_bytes + size <= memory_budget.SMALL_REQUEST_BYTES:
            self._budget.reserve_answer(size)
            return True
        if buffer not in self._large:
            self._large.append(buffer)
        of_runner = [b for b in self._large if b.runner == buffer.runner]
        used_bytes = sum(b.held_bytes for b in of_runner)
        if used_bytes + size > self._share_bytes and buffer is not of_runner[0]:
            return False
        if self._budget.reserve(size, held=held_bytes):
            return True
        if buffer is self._large[0]:
            self._budget.reserve_answer(size)
            return True
        return False


@final
class AnswerBuffer:
    """Chunks of one answer; its memory is released at the end of the block.

    Attributes:
        held_bytes: Reserved bytes, at least `size_bytes`.
        size_bytes: Size of the answer so far.
    """

    def __init__(
        self,
        *,
        memory: AnswerMemory,
        runner: str,
        until_ms: int,
        is_cancelled: Callable[[], bool],
    ) -> None:
        self._memory = memory
        self.runner = runner
        self.until_ms = until_ms
        self.is_cancelled = is_cancelled
        self.held_bytes = 0
        self.size_bytes = 0
        self._chunks: list[bytes] = []

    def __enter__(self) -> Self:
        """Return the buffer."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Release the memory."""
        self._chunks.clear()
        self._memory.release(self)

    def append(self, data: bytes) -> None:
        """Add a chunk.

        Raises:
            NoRoom: There is no memory for it.
        """
        missing_bytes = self.size_bytes + len(data) - self.held_bytes
        if missing_bytes > 0:
            # In steps that grow, as chunks may be small.
            step_bytes = min(max(self.held_bytes, MIN_STEP_BYTES), STEP_BYTES)
            self._memory.reserve(self, max(missing_bytes, step_bytes))
        self.size_bytes += len(data)
        self._chunks.append(data)

    def take(self) -> bytes:
        """Return the whole answer, which the buffer no longer has."""
        # The chunks and their copy exist together for one answer at a time, as
        # joining holds the interpreter's lock.
        answer = b"".join(self._chunks)
        self._chunks.clear()
        return answer
