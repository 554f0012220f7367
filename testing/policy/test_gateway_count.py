"""Tests of the largest count of gateways that is known."""

import hypothesis
from hypothesis import strategies

from wisteriawall.policy import gateway_count

KEPT_MS = gateway_count.COUNT_KEPT_MS


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, KEPT_MS // 3),
            strategies.integers(0, 40),
            strategies.integers(0, KEPT_MS),
        ),
        max_size=30,
    )
)
def test_count_of_a_former_time_hides_a_larger_one(
    steps: list[tuple[int, int, int]],
) -> None:
    """Counts of other gateways are older than the own ones."""
    largest = gateway_count.LargestCount()
    now_ms = 0
    noted: list[gateway_count.Count] = []
    for elapsed_ms, gateways, age_ms in steps:
        now_ms += elapsed_ms
        noted.append(
            gateway_count.Count(gateways=gateways, heard_ms=now_ms - age_ms)
        )
        largest.note(noted[-1])
        kept = [
            count.gateways
            for count in noted
            if now_ms - count.heard_ms <= KEPT_MS
        ]
        found = largest.find(now_ms)
        assert found is not None
        assert found.gateways == max(kept)
        assert found in noted
