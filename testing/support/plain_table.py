"""Routing table with one plain service, for fleets in virtual time."""

from wisteriawall.config import route_table

SERVICE = "s"


def make(kind: route_table.RequestKind) -> route_table.RouteTable:
    """Return a table whose only route has this kind, at most two attempts."""
    return route_table.RouteTable(
        number=1,
        routes=[
            route_table.Route(
                name="r",
                host="h",
                prefix="/",
                kind=kind,
                timeout_ms=5_000,
                goal_ms=400,
                pause_goal_ms=0,
                max_attempts=2,
                shares=[route_table.ServiceWeight(SERVICE, 1)],
            )
        ],
        services=[
            route_table.RoutedService(
                name=SERVICE, health_path="/", max_connections=99
            )
        ],
    )
