"""Tests of the tables that summarize decision logs."""

import pytest
from tools import breakdown

PLACED = '"decision":"placed","route":"r","wait_ms":700,"first_token_ms":900'
LOG = f"""
  0.10 a/gateway {{"t":1000,"request":"q1",{PLACED}}}
  0.20 a/gateway {{"t":1950,"request":"q1","decision":"began","ms":950}}
  0.30 a/gateway {{"t":2000,"request":"q1","decision":"ended","whole":true}}
{{"t":2100,"request":"q2","decision":"turned-away","route":"r"}}
{{"t":2100,"request":"q2","decision":"refused","reason":"too long a queue"}}
{{"t":2200,"request":"q3","decision":"sent","route":"s"}}
{{"t":2210,"request":"q3","decision":"began","ms":10}}
{{"t":2220,"request":"q3","decision":"ended","whole":false}}
{{"t":2300,"decision":"start"}}
what happened: not a line of ours
""".encode()


def test_each_request_has_one_outcome() -> None:
    outcomes = list(breakdown.read_outcomes(LOG.splitlines()))
    assert [
        (outcome.route, outcome.ending, outcome.first_token_ms)
        for outcome in outcomes
    ] == [
        ("r", "whole", 950),
        ("r", "too long a queue", None),
        ("s", "left", 10),
    ]


def test_table_by_route_shows_endings_and_excess_over_the_forecast() -> None:
    outcomes = list(breakdown.read_outcomes(LOG.splitlines()))
    _, first, second = breakdown.table_by_route(outcomes)
    columns = ["r", "2", "950", "950", "50", "50"]
    assert first.split()[:6] == columns
    assert first.endswith("1 whole, 1 too long a queue")
    assert second.endswith("1 left")


@pytest.mark.parametrize(
    ("second", "counts"),
    [
        pytest.param(0, ["0", "1", "0", "0", "0"], id="waited"),
        pytest.param(1, ["0", "0", "0", "1", "1"], id="refused-and-cut"),
    ],
)
def test_table_by_second_shows_where_requests_lost_time(
    second: int, counts: list[str]
) -> None:
    outcomes = list(breakdown.read_outcomes(LOG.splitlines()))
    lines = list(breakdown.table_by_second(outcomes))[1:]
    assert lines[second].split() == [str(second), *counts]


def test_an_empty_log_gives_only_the_column_heads() -> None:
    assert len(list(breakdown.table_by_route([]))) == 1
    assert len(list(breakdown.table_by_second([]))) == 1
