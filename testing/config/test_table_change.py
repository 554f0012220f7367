"""Tests of differences between routing tables and between their texts."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from wisteriawall.config import route_table
from wisteriawall.config import table_change
from wisteriawall.config import text_change

LARGE = b'{"n":1,' + b",".join(b"%d" % number for number in range(1_500))
OBJECTS = strategies.lists(
    strategies.sampled_from(
        [b'{"a":1}', b'{"b":[{"c":2}]}', b"x", b"{", b"", LARGE, LARGE[:5_000]]
    ),
    max_size=12,
).map(b",".join)


def make_table(
    number: int, timeout_by_prefix: dict[str, int]
) -> route_table.RouteTable:
    """Return a table with a route for each prefix."""
    return route_table.RouteTable(
        number=number,
        routes=[
            route_table.Route(
                name=prefix,
                host="A.example",
                prefix=prefix,
                kind=route_table.RequestKind.READ_ONLY,
                timeout_ms=timeout_ms,
                goal_ms=1,
                shares=[route_table.ServiceWeight("s", 1)],
            )
            for prefix, timeout_ms in timeout_by_prefix.items()
        ],
        services=[
            route_table.RoutedService(
                name="s", health_path="/", max_connections=number
            )
        ],
        limits=route_table.ConnectionLimits(idle_ms=number),
    )


TIMEOUTS = strategies.dictionaries(
    strategies.sampled_from(["/a/", "/b/", "/c/", "/d/"]),
    strategies.integers(1, 2),
)


@hypothesis.given(base=TIMEOUTS, target=TIMEOUTS)
def test_change_applied_to_its_base_gives_the_target(
    base: dict[str, int], target: dict[str, int]
) -> None:
    base_table, target_table = make_table(1, base), make_table(2, target)
    change = table_change.decode(
        table_change.encode(table_change.difference(base_table, target_table))
    )
    result = table_change.apply(base_table, change)
    by_prefix = {route.prefix: route for route in result.routes}
    assert by_prefix == {r.prefix: r for r in target_table.routes}
    assert len(result.routes) == len(target)
    assert msgspec.structs.replace(
        result, routes=[]
    ) == msgspec.structs.replace(target_table, routes=[])


def test_change_without_a_base_holds_the_whole_table() -> None:
    target = make_table(2, {"/a/": 1})
    change = table_change.difference(None, target)
    assert table_change.apply(None, change) == target


def test_change_for_another_base_is_rejected() -> None:
    change = table_change.difference(make_table(1, {}), make_table(2, {}))
    with pytest.raises(table_change.ChangeRejected, match="expected 3"):
        table_change.apply(make_table(3, {}), change)


@hypothesis.given(base=OBJECTS, target=OBJECTS)
def test_difference_of_texts_gives_the_target(
    base: bytes, target: bytes
) -> None:
    change = text_change.difference(base, target)
    assert text_change.apply(base, change) == target


@pytest.mark.parametrize(
    "change",
    [
        pytest.param(b"", id="empty"),
        pytest.param(
            text_change.difference(b"{1}{2}{3}", b"{2}{3}"), id="other base"
        ),
        pytest.param(
            text_change.difference(LARGE, LARGE + b",1"),
            id="other base of a large object",
        ),
    ],
)
def test_malformed_difference_of_texts_is_rejected(change: bytes) -> None:
    with pytest.raises(text_change.TextRejected):
        text_change.apply(b"{1}", change)


@pytest.mark.parametrize(
    "data",
    [pytest.param(b"", id="empty"), pytest.param(b"\0" * 40, id="zeros")],
)
def test_malformed_change_is_rejected(data: bytes) -> None:
    with pytest.raises(table_change.ChangeRejected):
        table_change.decode(data)
