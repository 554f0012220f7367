"""Reads KNOWN-RED.txt, the list of checks that are known to fail."""

from collections.abc import Iterator
import pathlib

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_missed_goals(module: str) -> frozenset[str]:
    """Return the names of a module's goals that are known to be missed."""
    return frozenset(_goal_names(f"{module}: "))


def _goal_names(prefix: str) -> Iterator[str]:
    for line in KNOWN_RED.read_text().splitlines():
        field, _, value = line.partition(":")
        if field == "test" and value.strip().startswith(prefix):
            yield value.strip().removeprefix(prefix)
