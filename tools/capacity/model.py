"""Work out each role's load at the size of the letter from the slopes."""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import final

import msgspec

from tools.capacity import slopes as slopes_lib

__all__ = ["Budget", "Role", "work_out"]

ENTRIES = 400
RUNNERS = 1_600
ACCOUNTS = 280
CONTROL_REPLICAS = 5
REQUESTS_PER_S = 11_000
PATCHES_PER_DAY = 2_700
DAY_S = 86_400
RENEWALS_PER_S = 1 / 0.3
REPORTS_PER_S = 1.0
HEARD_RUNNERS = 72
FRAME_BYTES = 74
NON_REPEATABLE_SHARE = 0.01
HEARTBEATS_PER_S = 10.0
PATCH_RECORD_BYTES = 400
PERCENT = 100
MICROSECONDS = 1e6


@final
class Budget(msgspec.Struct, frozen=True):
    """What control may cost on a node."""

    core_percent: float = 4.3
    bytes_per_s: float = 18_000
    memory_bytes: float = 256e6


@final
class Role(msgspec.Struct, frozen=True):
    """Control cost of one process of a role."""

    name: str
    core_percent: float
    bytes_per_s: float
    state_bytes: float
    inside_node_budget: bool


def work_out(measured: Iterable[slopes_lib.Slope]) -> Iterator[Role]:
    """Yield the cost of each role, summed over its messages."""
    value_by_name = {slope.name: slope.value for slope in measured}
    processes = ENTRIES + RUNNERS
    patches_per_s = PATCHES_PER_DAY / DAY_S
    yield _entry(value_by_name, patches_per_s)
    yield _agent(value_by_name, patches_per_s)
    yield _replica(value_by_name, processes, patches_per_s)


def _renewals(value: dict[str, float]) -> tuple[float, float]:
    """Return microseconds and bytes a second that one process spends."""
    message_bytes = value["renewal asked"] + value["renewal granted"]
    cost_us = value["renewal at process"] + value["RPC carried"] / 2
    return (
        RENEWALS_PER_S * cost_us,
        RENEWALS_PER_S * (message_bytes + 2 * FRAME_BYTES),
    )


def _entry(value: dict[str, float], patches_per_s: float) -> Role:
    renewal_us, renewal_bytes = _renewals(value)
    reports = HEARD_RUNNERS * REPORTS_PER_S
    report_us = (
        value["load report at entry"] + value["feed message carried"] / 2
    )
    requests = REQUESTS_PER_S / ENTRIES
    core_us = (
        renewal_us
        + reports * report_us
        + requests * value["request decided at entry"]
        + patches_per_s * value["patch applied"]
    )
    transfer = (
        renewal_bytes
        + reports * (value["load report"] + FRAME_BYTES)
        + patches_per_s * PATCH_RECORD_BYTES
    )
    state = (
        RUNNERS * value["configured runner"]
        + ACCOUNTS * value["configured account"]
    )
    return _role("entry", core_us, transfer, state)


def _agent(value: dict[str, float], patches_per_s: float) -> Role:
    renewal_us, renewal_bytes = _renewals(value)
    listeners = HEARD_RUNNERS * ENTRIES / RUNNERS
    report_us = (
        value["load report at agent"]
        + listeners * value["feed message carried"] / 2
    )
    core_us = renewal_us + REPORTS_PER_S * report_us
    transfer = (
        renewal_bytes
        + listeners * REPORTS_PER_S * (value["load report"] + FRAME_BYTES)
        + patches_per_s * PATCH_RECORD_BYTES
    )
    return _role("agent", core_us, transfer, 0.0)


def _replica(
    value: dict[str, float], processes: int, patches_per_s: float
) -> Role:
    renewals = processes / CONTROL_REPLICAS * RENEWALS_PER_S
    claims = REQUESTS_PER_S * NON_REPEATABLE_SHARE
    core_us = (
        renewals * (value["renewal at replica"] + value["RPC carried"] / 2)
        + 2 * claims * value["claim at leader"]
        + patches_per_s * value["patch applied"]
        + HEARTBEATS_PER_S
        * (CONTROL_REPLICAS - 1)
        * value["heartbeat at follower"]
    )
    message_bytes = value["renewal asked"] + value["renewal granted"]
    transfer = (
        renewals * (message_bytes + 2 * FRAME_BYTES)
        + 2 * claims * (CONTROL_REPLICAS - 1) * value["claim in the log"]
        + HEARTBEATS_PER_S * (CONTROL_REPLICAS - 1) * value["heartbeat"]
    )
    state = (
        2 * value["whole configuration"]
        + RUNNERS * value["configured runner"]
        + ACCOUNTS * value["configured account"]
    )
    return _role("control leader", core_us, transfer, state, set_aside=True)


def _role(
    name: str,
    core_us: float,
    transfer: float,
    state: float,
    *,
    set_aside: bool = False,
) -> Role:
    budget = Budget()
    percent = core_us / MICROSECONDS * PERCENT
    inside = set_aside or (
        percent <= budget.core_percent
        and transfer <= budget.bytes_per_s
        and state <= budget.memory_bytes
    )
    return Role(name, percent, transfer, state, inside)
