"""Tests of the budget that the connections of a process share."""

import pytest

from wisteriawall.web import memory_budget

SMALL_BYTES = memory_budget.SMALL_REQUEST_BYTES
MAX_BYTES = 16 * SMALL_BYTES


def test_large_requests_leave_a_part_to_small_ones() -> None:
    """Large bodies took all memory, and no ordinary request was read."""
    budget = memory_budget.MemoryBudget(max_bytes=MAX_BYTES, max_connections=1)
    held = 0
    while budget.reserve(SMALL_BYTES, held=held + 1):
        held += SMALL_BYTES
    assert held == 12 * SMALL_BYTES
    assert budget.reserve(SMALL_BYTES, held=0)
    assert not budget.reserve(SMALL_BYTES, held=1)
    budget.release(held + SMALL_BYTES)
    assert budget.usage.held_bytes == 0


def test_each_listener_may_have_some_connections() -> None:
    """Connections to one listener made readiness unreachable."""
    budget = memory_budget.MemoryBudget(max_bytes=1, max_connections=20)
    assert all(budget.add_connection(of_listener=i) for i in range(20))
    assert not budget.add_connection(of_listener=20)
    assert budget.add_connection(of_listener=0)


@pytest.mark.parametrize(
    "descriptors,connections",
    [
        pytest.param(1_638, 863, id="smallest-vm"),
        pytest.param(100, memory_budget.CONNECTIONS_PER_LISTENER, id="too-few"),
    ],
)
def test_connections_leave_descriptors_for_files_and_runners(
    descriptors: int, connections: int
) -> None:
    budget = memory_budget.for_limits(
        memory_mb=160, file_descriptors=descriptors
    )
    assert budget.max_connections == connections
    assert budget.max_bytes == 32_000_000
