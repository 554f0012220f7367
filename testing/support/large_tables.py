"""Routing tables of many routes, in the operators' JSON format."""

import random
from typing import Any

from support import platform_site

ALPHABET = "abcdefghijklmnopqrstuvwxyz0123456789"
NAME_LETTERS = 8


def document(version: int, *, routes: int, seed: int = 1) -> dict[str, Any]:
    """Return a table with `routes` routes; the first ones depend on `seed`."""
    chance = random.Random(seed)
    return platform_site.document(
        version, routes=[_route(chance) for _ in range(routes)]
    )


def _route(chance: random.Random) -> dict[str, Any]:
    name, host, path = (
        "".join(chance.choices(ALPHABET, k=NAME_LETTERS)) for _ in range(3)
    )
    return platform_site.route(
        f"/{path}/", "read_only", "shop", name=name, host=f"{host}.example"
    )
