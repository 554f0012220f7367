"""Tests of where gateways fetch changes of the routing table."""

from collections import Counter

import pytest

from wisteriawall.control import table_sources

ROUND_MS = 100


def spread(gateways: int) -> tuple[Counter[str], int]:
    """Let all gateways fetch a table; return fetches by source, and rounds."""
    sources = table_sources.TableSources()
    lacking = {f"g{number}" for number in range(gateways)}
    fetches: Counter[str] = Counter()
    now_ms = rounds = 0
    while lacking:
        rounds += 1
        fetched = {
            name: address
            for name in sorted(lacking)
            if (
                address := sources.assign(
                    name, number=7, has_failed=False, now_ms=now_ms
                )
            )
            is not None
        }
        now_ms += ROUND_MS
        fetches.update(fetched.values())
        lacking -= set(fetched)
        for number in range(gateways):
            name = f"g{number}"
            if name not in lacking:
                sources.record_holder(
                    name, address=f"at-{name}", number=7, now_ms=now_ms
                )
    return fetches, rounds


@pytest.mark.parametrize(
    ("gateways", "expected_rounds"), [(4, 1), (12, 2), (60, 4), (300, 5)]
)
def test_no_source_serves_more_gateways_when_there_are_more(
    gateways: int, expected_rounds: int
) -> None:
    fetches, rounds = spread(gateways)
    assert fetches.pop("") == table_sources.LEADER_FETCHES
    # A gateway serves two at a time until every gateway has the table.
    assert max(fetches.values(), default=0) <= 2 * expected_rounds
    assert rounds == expected_rounds


def test_gateway_whose_fetch_failed_fetches_from_the_leader() -> None:
    sources = table_sources.TableSources()
    sources.record_holder("a", address="at-a", number=7, now_ms=0)
    first = sources.assign("b", number=7, has_failed=False, now_ms=0)
    assert first == "at-a"
    assert sources.assign("b", number=7, has_failed=False, now_ms=9) == "at-a"
    assert sources.assign("b", number=7, has_failed=True, now_ms=99) == ""


@pytest.mark.parametrize(
    ("seen_ms", "stopped", "expected"),
    [
        pytest.param(5_000, False, "at-a", id="seen lately"),
        pytest.param(3_900, False, "", id="silent"),
        pytest.param(5_000, True, "", id="stopped"),
    ],
)
def test_gateway_is_a_source_while_it_is_seen(
    seen_ms: int, stopped: bool, expected: str
) -> None:
    sources = table_sources.TableSources()
    sources.record_holder("a", address="at-a", number=7, now_ms=seen_ms)
    if stopped:
        sources.remove("a")
    found = sources.assign("b", number=7, has_failed=False, now_ms=5_000)
    assert found == expected


def test_fetch_that_ended_without_a_word_frees_its_source() -> None:
    sources = table_sources.TableSources()
    for name in ("a", "b", "c", "d", "e"):
        last = sources.assign(name, number=7, has_failed=False, now_ms=0)
    assert last is None
    later_ms = table_sources.FETCH_TIMEOUT_MS + 1
    assert (
        sources.assign("e", number=7, has_failed=False, now_ms=later_ms) == ""
    )
