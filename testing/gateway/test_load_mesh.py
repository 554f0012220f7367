"""Tests of the routes of load events between gateways."""

import pytest

from wisteriawall.gateway import load_mesh


def _names(count: int) -> list[str]:
    return [f"g{number:03}" for number in range(count)]


def _reached(sender: str, names: list[str]) -> list[str]:
    """Return the gateways that an event of `sender` reaches, with repeats."""
    own = load_mesh.find_neighbors(sender, names)
    reached = [*own.row]
    for relay in own.column:
        reached += [relay, *load_mesh.find_neighbors(relay, names).row]
    return reached


@pytest.mark.parametrize("count", [1, 2, 12, 13, 24, 29, 70, 71, 400])
def test_each_event_reaches_every_other_gateway_once(count: int) -> None:
    names = _names(count)
    for sender in names:
        assert sorted(_reached(sender, names)) == [
            n for n in names if n != sender
        ]


@pytest.mark.parametrize(
    ("count", "most"),
    [
        pytest.param(29, 10, id="29-gateways"),
        pytest.param(70, 18, id="70-gateways"),
        pytest.param(400, 40, id="400-gateways"),
    ],
)
def test_neighbors_grow_with_the_square_root(count: int, most: int) -> None:
    names = _names(count)
    for name in names:
        neighbors = load_mesh.find_neighbors(name, names)
        assert len(neighbors.row) + len(neighbors.column) <= most


def test_few_gateways_send_to_each_other_directly() -> None:
    names = _names(load_mesh.MAX_DIRECT_GATEWAYS)
    neighbors = load_mesh.find_neighbors(names[0], names)
    assert neighbors == load_mesh.Neighbors(row=tuple(names[1:]))
