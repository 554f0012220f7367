"""Subset of a service's runners that one entry uses.

It bounds the connections and feeds of an entry in a large fleet.
"""

from collections import defaultdict
from collections.abc import Iterator
from collections.abc import Mapping
import itertools

import xxhash

from wisteriawall.config import document
from wisteriawall.wire import fleet

__all__ = ["MAX_RUNNERS", "feed_addresses", "select"]

MAX_RUNNERS = 32


def select(
    config: document.Document, view: fleet.FleetView, *, entry: str
) -> dict[str, list[fleet.RunnerView]]:
    """Return the live runners that `entry` uses, by service.

    Each service gets at most `MAX_RUNNERS`. Rendezvous hashing by the
    entry's name spreads the entries over the runners and changes few choices
    when runners are added or removed. Runners are taken from the availability
    zones in turn, so that each zone is represented.
    """
    views_by_zone_by_service: defaultdict[
        str, defaultdict[str, list[fleet.RunnerView]]
    ] = defaultdict(lambda: defaultdict(list))
    for runner in view.runners:
        configured = config.runners.get(runner.runner)
        if configured is None or runner.phase is not fleet.RunnerPhase.LIVE:
            continue
        views_by_zone_by_service[configured.service][configured.zone].append(
            runner
        )
    return {
        service: list(
            itertools.islice(
                _interleave_zones(views_by_zone, entry), MAX_RUNNERS
            )
        )
        for service, views_by_zone in views_by_zone_by_service.items()
    }


def feed_addresses(
    config: document.Document,
    subset_by_service: Mapping[str, list[fleet.RunnerView]],
) -> set[str]:
    """Return the feed addresses of the selected runners that have a feed."""
    return {
        config.runners[view.runner].feed
        for views in subset_by_service.values()
        for view in views
        if view.runner in config.runners and config.runners[view.runner].feed
    }


def _interleave_zones(
    views_by_zone: Mapping[str, list[fleet.RunnerView]], entry: str
) -> Iterator[fleet.RunnerView]:
    def rank(view: fleet.RunnerView) -> int:
        return xxhash.xxh64_intdigest(f"{entry}|{view.runner}".encode())

    ranked = [
        sorted(views_by_zone[zone], key=rank) for zone in sorted(views_by_zone)
    ]
    for views_of_one_rank in itertools.zip_longest(*ranked):
        yield from filter(None, views_of_one_rank)
