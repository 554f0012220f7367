"""Read the benchmark goals that KNOWN-RED.txt lists as missed."""

from collections.abc import Iterator
import pathlib

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def goals(module: str) -> frozenset[str]:
    """Return the names of a benchmark module's known red goals."""
    return frozenset(_entries(f"{module}: "))


def _entries(prefix: str) -> Iterator[str]:
    for line in KNOWN_RED.read_text().splitlines():
        kind, _, value = line.partition(":")
        if kind == "test" and value.strip().startswith(prefix):
            yield value.strip().removeprefix(prefix)
