"""Tests of the memory for answers that are read whole."""

from concurrent import futures
import time

import pytest

from wisteriawall import clock
from wisteriawall.gateway import answer_memory
from wisteriawall.web import memory_budget

BUDGET_BYTES = 40_000_000
SHARE_BYTES = round(BUDGET_BYTES * answer_memory.RUNNER_SHARE)
PART = bytes(64 * 1024)
ANSWER_BYTES = 4 * 1024 * 1024
WAIT_MS = 20_000


@pytest.fixture
def budget() -> memory_budget.MemoryBudget:
    return memory_budget.MemoryBudget(
        max_bytes=BUDGET_BYTES, max_connections=10
    )


def open_buffer(
    memory: answer_memory.AnswerMemory, runner: str, *, wait_ms: int = 0
) -> answer_memory.AnswerBuffer:
    return memory.open(
        runner,
        until_ms=clock.monotonic_ms() + wait_ms,
        is_cancelled=lambda: False,
    )


def fill(buffer: answer_memory.AnswerBuffer, size: int) -> None:
    while buffer.size_bytes < size:
        buffer.append(PART)


def test_answers_of_one_runner_stay_within_its_share(
    budget: memory_budget.MemoryBudget,
) -> None:
    """Workers held 96 answers without end at once, of one faulty runner."""
    memory = answer_memory.AnswerMemory(budget=budget)
    endless = [open_buffer(memory, "endless") for _ in range(96)]
    fill(endless[0], SHARE_BYTES)
    for buffer in endless[1:]:
        with pytest.raises(answer_memory.NoRoom):
            fill(buffer, ANSWER_BYTES)
    most_bytes = SHARE_BYTES + 96 * len(PART) + ANSWER_BYTES
    assert budget.usage.held_bytes <= most_bytes
    with open_buffer(memory, "sound") as sound:
        fill(sound, ANSWER_BYTES)
    for buffer in endless:
        buffer.__exit__(None, None, None)
    assert budget.usage.held_bytes == 0


def test_small_chunks_reserve_little_more_than_they_take(
    budget: memory_budget.MemoryBudget,
) -> None:
    memory = answer_memory.AnswerMemory(budget=budget)
    with open_buffer(memory, "r") as buffer:
        for number in range(200):
            buffer.append(b"%4d" % number * 250)
            held_bytes = budget.usage.held_bytes
            assert buffer.size_bytes <= held_bytes
            assert held_bytes <= buffer.size_bytes + answer_memory.STEP_BYTES
        assert buffer.take() == b"".join(
            b"%4d" % number * 250 for number in range(200)
        )


def test_small_answer_is_not_held_back_when_the_budget_is_used_up(
    budget: memory_budget.MemoryBudget,
) -> None:
    """An answer that is ready reaches its caller."""
    memory = answer_memory.AnswerMemory(budget=budget)
    budget.reserve_answer(2 * BUDGET_BYTES)
    with open_buffer(memory, "r") as buffer:
        buffer.append(b"whole answer")
        assert buffer.take() == b"whole answer"


def test_oldest_answer_goes_on_when_the_budget_is_used_up(
    budget: memory_budget.MemoryBudget,
) -> None:
    """A single answer within the limits must be served."""
    memory = answer_memory.AnswerMemory(budget=budget)
    assert budget.reserve(round(BUDGET_BYTES * 0.75), held=0)
    with open_buffer(memory, "r") as oldest:
        fill(oldest, ANSWER_BYTES)
        with open_buffer(memory, "other") as later:
            later.append(b"small answers have a part of their own")
            with pytest.raises(answer_memory.NoRoom):
                fill(later, ANSWER_BYTES)


def test_sound_answers_of_one_runner_wait_for_each_other(
    budget: memory_budget.MemoryBudget,
) -> None:
    memory = answer_memory.AnswerMemory(budget=budget)

    def read_and_send(_: int) -> None:
        with open_buffer(memory, "r", wait_ms=WAIT_MS) as buffer:
            fill(buffer, ANSWER_BYTES)
            time.sleep(0.01)

    count = answer_memory.MAX_WAITING_PER_RUNNER
    with futures.ThreadPoolExecutor(count) as pool:
        list(pool.map(read_and_send, range(count)))
    assert budget.usage.held_bytes == 0


def test_few_workers_wait_for_one_runner(
    budget: memory_budget.MemoryBudget,
) -> None:
    """A runner whose answers don't end took all workers."""
    memory = answer_memory.AnswerMemory(budget=budget, max_waiting=1)
    with (
        open_buffer(memory, "r") as first,
        futures.ThreadPoolExecutor(1) as pool,
    ):
        fill(first, SHARE_BYTES)

        def wait() -> None:
            with open_buffer(memory, "r", wait_ms=WAIT_MS) as second:
                fill(second, ANSWER_BYTES)

        waiting = pool.submit(wait)
        refused = 0
        until_ms = clock.monotonic_ms() + WAIT_MS
        while not refused and clock.monotonic_ms() < until_ms:
            with open_buffer(memory, "r", wait_ms=100) as third:
                try:
                    fill(third, ANSWER_BYTES)
                except answer_memory.NoRoom as error:
                    refused += "other answers of r wait" in str(error)
        assert refused
        first.__exit__(None, None, None)
        waiting.result()


def test_waiting_ends_when_the_answer_is_cancelled(
    budget: memory_budget.MemoryBudget,
) -> None:
    memory = answer_memory.AnswerMemory(budget=budget)
    with open_buffer(memory, "r") as first:
        fill(first, SHARE_BYTES)
        cancelled = memory.open(
            "r",
            until_ms=clock.monotonic_ms() + WAIT_MS,
            is_cancelled=lambda: True,
        )
        with pytest.raises(answer_memory.NoRoom), cancelled as second:
            fill(second, ANSWER_BYTES)
