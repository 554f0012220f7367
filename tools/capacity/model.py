"""Extrapolate the load of each role at the target size from the slopes."""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import final

import msgspec

from tools.capacity import slopes as slopes_lib

__all__ = ["Budget", "RoleLoad", "estimate_loads"]

ENTRY_COUNT = 400
RUNNER_COUNT = 1_600
ACCOUNT_COUNT = 280
CONTROL_REPLICA_COUNT = 5
REQUESTS_PER_S = 11_000
PATCHES_PER_DAY = 2_700
DAY_S = 86_400
RENEWALS_PER_S = 1 / 0.3
REPORTS_PER_S = 1.0
SUBSCRIBED_RUNNERS = 72
FRAME_BYTES = 74
NON_REPEATABLE_SHARE = 0.01
HEARTBEATS_PER_S = 10.0
PATCH_RECORD_BYTES = 400
PERCENT = 100
US_PER_S = 1e6


@final
class Budget(msgspec.Struct, frozen=True):
    """Upper bounds of the control cost on a node."""

    core_percent: float = 4.3
    bytes_per_s: float = 18_000
    memory_bytes: float = 256e6


@final
class RoleLoad(msgspec.Struct, frozen=True):
    """Control cost of one process of a role; `core_percent` is of one core."""

    name: str
    core_percent: float
    bytes_per_s: float
    state_bytes: float
    within_node_budget: bool


def estimate_loads(measured: Iterable[slopes_lib.Slope]) -> Iterator[RoleLoad]:
    """Yield the load of an entry, an agent and the control leader."""
    value_by_name = {slope.name: slope.value for slope in measured}
    process_count = ENTRY_COUNT + RUNNER_COUNT
    patches_per_s = PATCHES_PER_DAY / DAY_S
    yield _entry(value_by_name, patches_per_s)
    yield _agent(value_by_name, patches_per_s)
    yield _replica(value_by_name, process_count, patches_per_s)


def _renewal_cost(value_by_name: dict[str, float]) -> tuple[float, float]:
    """Return the renewal cost of a process: microseconds and bytes a second."""
    message_bytes = (
        value_by_name["renewal asked"] + value_by_name["renewal granted"]
    )
    renewal_us = (
        value_by_name["renewal at process"] + value_by_name["RPC carried"] / 2
    )
    return (
        RENEWALS_PER_S * renewal_us,
        RENEWALS_PER_S * (message_bytes + 2 * FRAME_BYTES),
    )


def _entry(value_by_name: dict[str, float], patches_per_s: float) -> RoleLoad:
    renewal_us_per_s, renewal_bytes_per_s = _renewal_cost(value_by_name)
    reports_per_s = SUBSCRIBED_RUNNERS * REPORTS_PER_S
    report_us = (
        value_by_name["load report at entry"]
        + value_by_name["feed message carried"] / 2
    )
    requests_per_s = REQUESTS_PER_S / ENTRY_COUNT
    core_us_per_s = (
        renewal_us_per_s
        + reports_per_s * report_us
        + requests_per_s * value_by_name["request decided at entry"]
        + patches_per_s * value_by_name["patch applied"]
    )
    bytes_per_s = (
        renewal_bytes_per_s
        + reports_per_s * (value_by_name["load report"] + FRAME_BYTES)
        + patches_per_s * PATCH_RECORD_BYTES
    )
    state_bytes = (
        RUNNER_COUNT * value_by_name["configured runner"]
        + ACCOUNT_COUNT * value_by_name["configured account"]
    )
    return _role_load("entry", core_us_per_s, bytes_per_s, state_bytes)


def _agent(value_by_name: dict[str, float], patches_per_s: float) -> RoleLoad:
    renewal_us_per_s, renewal_bytes_per_s = _renewal_cost(value_by_name)
    subscribed_entries = SUBSCRIBED_RUNNERS * ENTRY_COUNT / RUNNER_COUNT
    report_us = (
        value_by_name["load report at agent"]
        + subscribed_entries * value_by_name["feed message carried"] / 2
    )
    core_us_per_s = renewal_us_per_s + REPORTS_PER_S * report_us
    bytes_per_s = (
        renewal_bytes_per_s
        + subscribed_entries
        * REPORTS_PER_S
        * (value_by_name["load report"] + FRAME_BYTES)
        + patches_per_s * PATCH_RECORD_BYTES
    )
    return _role_load("agent", core_us_per_s, bytes_per_s, 0.0)


def _replica(
    value_by_name: dict[str, float], process_count: int, patches_per_s: float
) -> RoleLoad:
    renewals_per_s = process_count / CONTROL_REPLICA_COUNT * RENEWALS_PER_S
    claims_per_s = REQUESTS_PER_S * NON_REPEATABLE_SHARE
    # The factor 2 counts two commands for each claim: grant and settle.
    core_us_per_s = (
        renewals_per_s
        * (
            value_by_name["renewal at replica"]
            + value_by_name["RPC carried"] / 2
        )
        + 2 * claims_per_s * value_by_name["claim at leader"]
        + patches_per_s * value_by_name["patch applied"]
        + HEARTBEATS_PER_S
        * (CONTROL_REPLICA_COUNT - 1)
        * value_by_name["heartbeat at follower"]
    )
    message_bytes = (
        value_by_name["renewal asked"] + value_by_name["renewal granted"]
    )
    bytes_per_s = (
        renewals_per_s * (message_bytes + 2 * FRAME_BYTES)
        + 2
        * claims_per_s
        * (CONTROL_REPLICA_COUNT - 1)
        * value_by_name["claim in the log"]
        + HEARTBEATS_PER_S
        * (CONTROL_REPLICA_COUNT - 1)
        * value_by_name["heartbeat"]
    )
    state_bytes = (
        2 * value_by_name["whole configuration"]
        + RUNNER_COUNT * value_by_name["configured runner"]
        + ACCOUNT_COUNT * value_by_name["configured account"]
    )
    return _role_load(
        "control leader",
        core_us_per_s,
        bytes_per_s,
        state_bytes,
        exempt_from_budget=True,
    )


def _role_load(
    name: str,
    core_us_per_s: float,
    bytes_per_s: float,
    state_bytes: float,
    *,
    exempt_from_budget: bool = False,
) -> RoleLoad:
    """Compare a load with the budget; `core_us_per_s` is processor time."""
    budget = Budget()
    core_percent = core_us_per_s / US_PER_S * PERCENT
    within_budget = exempt_from_budget or (
        core_percent <= budget.core_percent
        and bytes_per_s <= budget.bytes_per_s
        and state_bytes <= budget.memory_bytes
    )
    return RoleLoad(name, core_percent, bytes_per_s, state_bytes, within_budget)
