"""Routing table: which service answers which host and path, and how.

An operator publishes the table whole, under a number of its own choice. The
highest number that was ever published is in force.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import enum
import functools
from typing import final

import msgspec

__all__ = [
    "CallerLimits",
    "EngineTraits",
    "RequestKind",
    "Route",
    "RouteIndex",
    "RouteTable",
    "RoutedService",
    "Share",
    "faults",
]


@final
class RequestKind(enum.StrEnum):
    """What may be repeated of a request."""

    READ_ONLY = "read-only"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


@final
class Share(msgspec.Struct, frozen=True):
    """Part of a route's requests that one service answers."""

    service: str
    weight: int


@final
class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one host whose path begins with `prefix`.

    `goal_ms` is the time to the answer, or to a stream's first event, that
    earns full worth; `pause_goal_ms` bounds the pauses between events. Rank 0
    is the most urgent. `max_attempts` bounds the runners of one request.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_ms: int
    goal_ms: int
    pause_goal_ms: int = 0
    rank: int = 0
    shares: list[Share] = []
    max_attempts: int = 1
    has_prompt: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run again after an unclear end."""
        return self.kind is RequestKind.READ_ONLY or self.resumable


@final
class EngineTraits(msgspec.Struct, frozen=True, kw_only=True):
    """What the engines of a service can do.

    `memory_tokens` is the KV cache of one engine; `link_bits_per_ms` the
    speed of its link to other engines.
    """

    slots: int
    memory_tokens: int
    token_bytes: int
    link_bits_per_ms: float


@final
class RoutedService(msgspec.Struct, frozen=True, kw_only=True):
    """A service of the table; `engine` is None for a plain service."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineTraits | None = None


@final
class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller may send, and how long it may take or stay idle."""

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_ms: int = 3_000
    idle_ms: int = 15_000


@final
class RouteTable(msgspec.Struct, frozen=True, kw_only=True):
    """The whole table under its number."""

    number: int
    routes: list[Route]
    services: list[RoutedService]
    limits: CallerLimits = CallerLimits()

    def service_by_name(self) -> dict[str, RoutedService]:
        """Return the services by name."""
        return {service.name: service for service in self.services}


@final
class RouteIndex:
    """Find routes of one table by host and longest prefix."""

    __slots__ = ("_routes_by_host", "service_by_name", "table")

    def __init__(self, table: RouteTable) -> None:
        self.table = table
        self.service_by_name = table.service_by_name()
        by_host: dict[str, list[Route]] = {}
        for route in table.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._routes_by_host = by_host

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, None if no route matches."""
        routes = self._routes_by_host.get(host.lower())
        if routes is None:
            routes = self._routes_by_host.get(host.lower().partition(":")[0])
        for route in routes or ():
            if path.startswith(route.prefix):
                return route
        return None


def faults(table: RouteTable) -> list[str]:
    """Return everything that makes a table invalid."""
    return [
        *_number_faults(table),
        *_repeated("service", (service.name for service in table.services)),
        *_repeated(
            "host and prefix",
            (f"{route.host.lower()}{route.prefix}" for route in table.routes),
        ),
        *_route_faults(table),
    ]


def _number_faults(table: RouteTable) -> Iterator[str]:
    if table.number < 1:
        yield f"number: got {table.number}, expected 1 or more"


def _repeated(what: str, names: Iterable[str]) -> Iterator[str]:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            yield f"{what} {name!r}: given twice"
        seen.add(name)


def _route_faults(table: RouteTable) -> Iterator[str]:
    known = {service.name for service in table.services}
    check = functools.partial(_faults_of_route, known=known)
    for route in table.routes:
        yield from (f"route {route.name!r}: {fault}" for fault in check(route))


def _faults_of_route(route: Route, *, known: set[str]) -> Iterator[str]:
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield f"prefix {route.prefix!r}, expected / at both ends"
    if not route.host:
        yield "no host"
    if route.timeout_ms < 1:
        yield f"time-out of {route.timeout_ms} ms, expected 1 or more"
    if route.max_attempts < 1:
        yield f"{route.max_attempts} attempts, expected 1 or more"
    for share in route.shares:
        if share.service not in known:
            yield f"unknown service {share.service!r}"
        if share.weight < 0:
            yield f"weight {share.weight}, expected 0 or more"
    if sum(share.weight for share in route.shares) <= 0:
        yield "weights add up to 0, expected a service with a weight"
