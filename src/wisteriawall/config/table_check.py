"""Findings about a valid routing table; see `check` for those of documents."""

from collections.abc import Iterator

import msgspec

from wisteriawall.config import accounts as accounts_lib
from wisteriawall.config import check
from wisteriawall.config import route_table

__all__ = ["check_table", "compare_tables"]

# Characters that are in no host of a request, and in no path without a query.
# Wildcards aren't supported: hosts are compared literally.
FOREIGN_TO_HOST = frozenset("*/?#@ \t")
FOREIGN_TO_PATH = frozenset("?# \t")


def check_table(table: route_table.RouteTable) -> Iterator[check.Finding]:
    """Yield a warning for each contradiction and entry without effect."""
    for place, message in _find_warnings(table):
        yield check.Finding(check.Severity.WARNING, place, message)


def compare_tables(
    before: route_table.RouteTable, after: route_table.RouteTable
) -> Iterator[check.Finding]:
    """Yield a finding for each difference, except the number.

    Keys of accounts are counted, and neither they nor their digests are shown.
    """
    yield from check.compare_values(_by_name(before), _by_name(after))
    change = accounts_lib.difference(before.accounts, after.accounts)
    known = {account.name for account in before.accounts or ()}
    for changed in change.changed if change else ():
        if changed.name in known and (changed.added or changed.removed):
            yield check.Finding(
                check.Severity.DIFFERENCE,
                f"accounts.{changed.name}",
                f"{len(changed.added)} keys added, "
                f"{len(changed.removed)} keys removed",
            )


def _by_name(table: route_table.RouteTable) -> dict[str, object]:
    sections: dict[str, object] = {
        "routes": {
            f"{route.host.lower()}{route.prefix}": msgspec.to_builtins(route)
            for route in table.routes
        },
        "services": {
            service.name: msgspec.to_builtins(service)
            for service in table.services
        },
        "limits": msgspec.to_builtins(table.limits),
    }
    if table.accounts is not None:
        sections["accounts"] = {
            account.name: {"rank": account.rank} for account in table.accounts
        }
    return sections


def _find_warnings(
    table: route_table.RouteTable,
) -> Iterator[tuple[str, str]]:
    for route in table.routes:
        for message in _route_warnings(route):
            yield f"route {route.name!r}", message
    routed = {
        share.service
        for route in table.routes
        for share in route.shares
        if share.weight
    }
    for service in table.services:
        place = f"service {service.name!r}"
        if service.name not in routed:
            yield place, "no route sends requests to it"
        for message in _service_warnings(service):
            yield place, message
    yield from _limit_warnings(table.limits)
    yield from _account_warnings(table)


def _route_warnings(route: route_table.Route) -> Iterator[str]:
    if FOREIGN_TO_HOST.intersection(route.host):
        yield f"never matches, because no request has host {route.host!r}"
    if FOREIGN_TO_PATH.intersection(route.prefix):
        yield f"never matches, because no path begins with {route.prefix!r}"
    for share in route.shares:
        if not share.weight:
            yield f"service {share.service!r} has weight 0 and gets no request"
    yield from _target_warnings(route)
    is_stream = route.kind is route_table.RequestKind.STREAM
    if route.pause_goal_ms and not is_stream:
        yield "a target gap has no effect, because answers are no streams"
    if route.resumable and not is_stream:
        yield (
            f"resumable contradicts kind {route.kind}, because only streams "
            "can be continued"
        )


def _target_warnings(route: route_table.Route) -> Iterator[str]:
    if route.goal_ms < 1:
        yield f"target latency of {route.goal_ms} ms can't be met"
    if route.goal_ms > route.timeout_ms:
        yield (
            f"target latency of {route.goal_ms} ms exceeds the time-out of "
            f"{route.timeout_ms} ms"
        )
    if route.pause_goal_ms > route.timeout_ms:
        yield (
            f"target gap of {route.pause_goal_ms} ms exceeds the time-out of "
            f"{route.timeout_ms} ms"
        )


def _service_warnings(service: route_table.RoutedService) -> Iterator[str]:
    if service.max_connections < 1:
        yield (
            f"limit of {service.max_connections} connections, "
            "expected 1 or more"
        )
    engine = service.engine
    if engine is None:
        return
    for field in engine.__struct_fields__:
        value = getattr(engine, field)
        if not value > 0:
            yield f"engine {field} of {value}, expected above 0"
    if engine.slots > service.max_connections:
        yield (
            f"{engine.slots} slots of an engine exceed the limit of "
            f"{service.max_connections} connections"
        )


def _limit_warnings(
    limits: route_table.ConnectionLimits,
) -> Iterator[tuple[str, str]]:
    for field in limits.__struct_fields__:
        value = getattr(limits, field)
        if value < 1:
            yield f"limits.{field}", f"limit of {value} admits no request"


def _account_warnings(
    table: route_table.RouteTable,
) -> Iterator[tuple[str, str]]:
    if table.accounts is None:
        return
    protected = [route for route in table.routes if not route.public]
    if not table.accounts:
        for route in protected:
            yield (
                f"route {route.name!r}",
                "never admits a request, because there are no accounts",
            )
    for account in table.accounts:
        place = f"account {account.name!r}"
        if not account.key_digests:
            yield place, "has no key, so no request is of this account"
        elif not protected:
            yield place, "is not needed, because all routes are public"
