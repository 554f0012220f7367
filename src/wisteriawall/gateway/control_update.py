"""What a gateway adopts from an answer of control.

An answer has parts that don't depend on each other: the routing table, the list
of runners and others. One that can't be applied must not stop the others, as it
comes again with the next answer.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import traceback
from typing import TypeAlias

from wisteriawall.config import route_table
from wisteriawall.gateway import events
from wisteriawall.gateway import limits
from wisteriawall.gateway import loads
from wisteriawall.gateway import retry_budget
from wisteriawall.gateway import state as state_lib
from wisteriawall.gateway import stream_origins
from wisteriawall.gateway import suspects
from wisteriawall.gateway import usage_events
from wisteriawall.wire import upstream_checks

__all__ = ["announce_table", "apply", "apply_fetched_table"]

# A newer table is in use within half of this time, as long as nothing fails.
LATE_TABLE_MS = 1_000
# Name of the part of an answer that may have to be fetched.
_TABLE = "table"

_Part: TypeAlias = Callable[
    [state_lib.Gateway, events.ControlUpdate], Iterator[events.Effect]
]


def apply(
    gateway: state_lib.Gateway, event: events.ControlUpdate
) -> Iterator[events.Effect]:
    """Apply each part of an answer; log a part that fails."""
    for name, apply_part in _PART_BY_NAME.items():
        try:
            yield from apply_part(gateway, event)
        except Exception as error:
            yield from _note_failure(gateway, name, error)
        else:
            if name != _TABLE or event.table is not None:
                gateway.error_by_part.pop(name, None)


def apply_fetched_table(
    gateway: state_lib.Gateway, event: events.TableFetched
) -> Iterator[events.Effect]:
    """Use a table that was fetched after control's answer was applied."""
    try:
        yield from _use_table(gateway, event.table, event.took_ms, event.source)
    except Exception as error:
        yield from _note_failure(gateway, _TABLE, error)
    else:
        gateway.error_by_part.pop(_TABLE, None)
        _confirm_table(gateway, event.newest_table, event.confirmed_ms)


def announce_table(
    gateway: state_lib.Gateway, event: events.TableAnnounced
) -> Iterator[events.LogDecision]:
    """Note the newest table; log one that is awaited for long."""
    if event.number <= gateway.table_number:
        gateway.table_awaited_ms = None
        return
    gateway.newest_table = max(gateway.newest_table, event.number)
    if gateway.table_awaited_ms is None:
        gateway.table_awaited_ms = event.now_ms
    awaited_ms = event.now_ms - gateway.table_awaited_ms
    is_logged = gateway.late_table == event.number
    if awaited_ms < LATE_TABLE_MS or is_logged:
        return
    gateway.late_table = event.number
    yield events.LogDecision(
        decision="table-late",
        request_id="",
        inputs={
            "newest_table": event.number,
            "table": gateway.table_number,
            "awaited_ms": awaited_ms,
            "source": event.source,
            "error": gateway.error_by_part.get(_TABLE, ""),
        },
    )


def _note_failure(
    gateway: state_lib.Gateway, name: str, error: Exception
) -> Iterator[events.LogDecision]:
    """Log an error of a part, unless the same one was logged before."""
    if gateway.error_by_part.get(name) == repr(error):
        return
    gateway.error_by_part[name] = repr(error)
    yield events.LogDecision(
        decision="update-failed",
        request_id="",
        inputs={
            "part": name,
            "error": repr(error),
            "trace": traceback.format_exc(),
        },
    )


def _apply_table(
    gateway: state_lib.Gateway, event: events.ControlUpdate
) -> Iterator[events.Effect]:
    if event.table is not None:
        yield from _use_table(gateway, event.table, event.took_ms, "")
    _confirm_table(gateway, event.newest_table, event.confirmed_ms)


def _use_table(
    gateway: state_lib.Gateway,
    table: route_table.RouteTable,
    took_ms: int,
    source: str,
) -> Iterator[events.Effect]:
    if table.number <= gateway.table_number:
        return
    gateway.route_index = route_table.RouteIndex(table)
    gateway.table_awaited_ms = None
    loads.apply_table(gateway)
    yield events.LogDecision(
        decision="table",
        request_id="",
        inputs={
            "number": table.number,
            "routes": len(table.routes),
            "took_ms": took_ms,
            "source": source,
        },
    )


def _confirm_table(
    gateway: state_lib.Gateway, newest_table: int, confirmed_ms: int
) -> None:
    """Note when the table in use was the newest, unless it is not."""
    if newest_table <= gateway.table_number:
        gateway.table_confirmed_ms = max(
            gateway.table_confirmed_ms, confirmed_ms
        )


def _apply_limits(
    gateway: state_lib.Gateway, event: events.ControlUpdate
) -> Iterator[events.Effect]:
    yield from limits.note_contact(gateway, event)
    yield from limits.apply_known(gateway, event)
    yield from limits.report_usage(gateway, event.now_ms)
    yield from loads.report_speeds(gateway, event.now_ms)


def _apply_upstreams(
    gateway: state_lib.Gateway, event: events.ControlUpdate
) -> Iterator[events.Effect]:
    """Adopt a newer list of runners.

    A leader of an older version may list runners that can't be used.
    """
    received = event.upstreams
    if received is None or received.version <= gateway.list_version:
        return
    gateway.list_version = received.version
    usable, faults = upstream_checks.split_usable(
        received.upstreams, gateway.upstream_by_id
    )
    loads.apply_upstreams(gateway, usable, event.now_ms)
    yield events.LogDecision(
        decision="upstreams",
        request_id="",
        inputs={
            "list": received.version,
            "count": len(usable),
            "unusable": dict(collections.Counter(fault for fault, _ in faults)),
        },
    )


_PART_BY_NAME: dict[str, _Part] = {
    _TABLE: _apply_table,
    "suspects": suspects.apply_control,
    "mixed-services": stream_origins.accept_mixed_services,
    "gateway-count": retry_budget.apply_gateway_count,
    "limits": _apply_limits,
    "upstreams": _apply_upstreams,
    "usage": usage_events.accept_receipt,
}
