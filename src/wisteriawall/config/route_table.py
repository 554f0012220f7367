"""Routing table: which service answers which host and path, and how.

An operator publishes the whole table under a number of the operator's choice.
The table with the highest number published so far is in force.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import enum
import functools
from typing import final

import msgspec

from wisteriawall.config import accounts as accounts_lib

__all__ = [
    "ConnectionLimits",
    "EngineCapacity",
    "RequestKind",
    "Route",
    "RouteIndex",
    "RouteTable",
    "RoutedService",
    "ServiceWeight",
    "find_faults",
]


@final
class RequestKind(enum.StrEnum):
    """Whether a request may be sent again, and how it is answered."""

    READ_ONLY = "read-only"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


@final
class ServiceWeight(msgspec.Struct, frozen=True):
    """Weight of one service among the services that answer a route."""

    service: str
    weight: int


@final
class Route(msgspec.Struct, frozen=True, kw_only=True):
    """How requests of one host whose path begins with `prefix` are served.

    `goal_ms` is the target latency: the time to the answer, or to the first
    event of a stream. `pause_goal_ms` is the target gap between two events.
    `rank` is the priority class; 0 is the most urgent. A request reaches at
    most `max_attempts` upstreams. `has_prompt` marks requests that carry a
    prompt for a model. `resumable` marks streams that another engine can
    continue after a failure. Requests of a `public` route need no key.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_ms: int
    goal_ms: int
    pause_goal_ms: int = 0
    rank: int = 0
    shares: list[ServiceWeight] = []
    max_attempts: int = 1
    has_prompt: bool = False
    resumable: bool = False
    public: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run again when its outcome is unknown."""
        return self.kind is RequestKind.READ_ONLY or self.resumable


@final
class EngineCapacity(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity of each engine of a service.

    `slots` is the number of requests that an engine runs at once,
    `memory_tokens` the size of its KV cache, `token_bytes` the KV cache bytes
    of one token, and `link_bits_per_ms` the speed of its link to other
    engines.
    """

    slots: int
    memory_tokens: int
    token_bytes: int
    link_bits_per_ms: float


@final
class RoutedService(msgspec.Struct, frozen=True, kw_only=True):
    """A service of the table; `engine` is None without a model."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineCapacity | None = None


@final
class ConnectionLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on one caller's connection.

    `head_bytes` and `body_bytes` limit the size of a request's headers and
    body, `head_ms` the time in which the headers must arrive, and `idle_ms`
    the time without data.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_ms: int = 3_000
    idle_ms: int = 15_000


@final
class RouteTable(msgspec.Struct, frozen=True, kw_only=True):
    """The whole routing table; `number` identifies this version of it.

    `accounts` are the client accounts whose keys are accepted, None if requests
    need no key.
    """

    number: int
    routes: list[Route]
    services: list[RoutedService]
    limits: ConnectionLimits = ConnectionLimits()
    accounts: list[accounts_lib.Account] | None = None

    def service_by_name(self) -> dict[str, RoutedService]:
        """Return the services, keyed by their name."""
        return {service.name: service for service in self.services}


@final
class RouteIndex:
    """Index of a table's routes by host; the longest prefix matches first.

    `account_by_digest` holds the accounts by the digests of their keys, None if
    requests need no key.

    Raises:
        accounts_lib.AccountsInvalid: The accounts of the table are malformed.
    """

    __slots__ = (
        "_routes_by_host",
        "account_by_digest",
        "service_by_name",
        "table",
    )

    def __init__(self, table: RouteTable) -> None:
        self.table = table
        self.service_by_name = table.service_by_name()
        self.account_by_digest = (
            None
            if table.accounts is None
            else accounts_lib.index_by_digest(table.accounts)
        )
        routes_by_host: dict[str, list[Route]] = {}
        for route in table.routes:
            routes_by_host.setdefault(route.host.lower(), []).append(route)
        for routes in routes_by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._routes_by_host = routes_by_host

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, None if no route matches.

        A host with a port matches a route with the same port, otherwise one
        for the host alone.
        """
        routes = self._routes_by_host.get(host.lower())
        if routes is None:
            routes = self._routes_by_host.get(host.lower().partition(":")[0])
        for route in routes or ():
            if path.startswith(route.prefix):
                return route
        return None


def find_faults(table: RouteTable) -> list[str]:
    """Return one message for each fault of a table; none if it is valid."""
    return [
        *_check_number(table),
        *_find_duplicates(
            "service", (service.name for service in table.services)
        ),
        *_find_duplicates(
            "host and prefix",
            (f"{route.host.lower()}{route.prefix}" for route in table.routes),
        ),
        *_check_routes(table),
    ]


def _check_number(table: RouteTable) -> Iterator[str]:
    if table.number < 1:
        yield f"number: got {table.number}, expected 1 or more"


def _find_duplicates(kind: str, names: Iterable[str]) -> Iterator[str]:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            yield f"{kind} {name!r}: given twice"
        seen.add(name)


def _check_routes(table: RouteTable) -> Iterator[str]:
    service_names = {service.name for service in table.services}
    check_route = functools.partial(_check_route, service_names=service_names)
    for route in table.routes:
        yield from (
            f"route {route.name!r}: {fault}" for fault in check_route(route)
        )


def _check_route(route: Route, *, service_names: set[str]) -> Iterator[str]:
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield f"prefix {route.prefix!r}, expected / at both ends"
    if not route.host:
        yield "no host"
    if route.timeout_ms < 1:
        yield f"time-out of {route.timeout_ms} ms, expected 1 or more"
    if route.max_attempts < 1:
        yield f"{route.max_attempts} attempts, expected 1 or more"
    for share in route.shares:
        if share.service not in service_names:
            yield f"unknown service {share.service!r}"
        if share.weight < 0:
            yield f"weight {share.weight}, expected 0 or more"
    if sum(share.weight for share in route.shares) <= 0:
        yield "weights add up to 0, expected a service with a weight"
