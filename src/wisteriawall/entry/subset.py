"""Bounded subset of a service's runners that one entry knows and uses."""

from collections import defaultdict
from collections.abc import Iterator
from collections.abc import Mapping
import itertools

import xxhash

from wisteriawall.config import document
from wisteriawall.wire import fleet

__all__ = ["MAX_RUNNERS", "choose", "feeds"]

MAX_RUNNERS = 32


def choose(
    config: document.Document, view: fleet.FleetView, *, entry: str
) -> dict[str, list[fleet.RunnerView]]:
    """Return the live runners that `entry` uses, by service.

    Rendezvous hashing by the entry's name spreads entries over runners and
    moves few of them when runners come and go. Availability zones take
    turns, so that each is represented.
    """
    views_by_place: defaultdict[
        str, defaultdict[str, list[fleet.RunnerView]]
    ] = defaultdict(lambda: defaultdict(list))
    for runner in view.runners:
        known = config.runners.get(runner.runner)
        if known is None or runner.phase is not fleet.RunnerPhase.LIVE:
            continue
        views_by_place[known.service][known.zone].append(runner)
    return {
        service: list(
            itertools.islice(_take_turns(by_zone, entry), MAX_RUNNERS)
        )
        for service, by_zone in views_by_place.items()
    }


def feeds(
    config: document.Document,
    chosen: Mapping[str, list[fleet.RunnerView]],
) -> set[str]:
    """Return the feed addresses of the chosen runners that have one."""
    return {
        config.runners[view.runner].feed
        for views in chosen.values()
        for view in views
        if view.runner in config.runners and config.runners[view.runner].feed
    }


def _take_turns(
    by_zone: Mapping[str, list[fleet.RunnerView]], entry: str
) -> Iterator[fleet.RunnerView]:
    def rank(view: fleet.RunnerView) -> int:
        return xxhash.xxh64_intdigest(f"{entry}|{view.runner}".encode())

    ranked = [sorted(by_zone[zone], key=rank) for zone in sorted(by_zone)]
    for turn in itertools.zip_longest(*ranked):
        yield from filter(None, turn)
