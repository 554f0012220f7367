"""Tests of the planner's orders and of parsing the VM list."""

import msgspec
import pytest

from wisteriawall.control import commands
from wisteriawall.control import ledger as ledger_lib
from wisteriawall.control import membership
from wisteriawall.control import planning
from wisteriawall.control import state
from wisteriawall.control import vm_list
from wisteriawall.policy import roles
from wisteriawall.wire import fleet

STEP_MS = 250
SIMULATED_MS = 120_000


def make_ledger(role: str) -> state.Ledger:
    """Return a service of six runners: r0 to r2 have `role`, others `auto`."""
    ledger = state.Ledger()
    runners = {
        f"r{i}": {
            "service": "s",
            "address": f"r{i}:1",
            "zone": "abc"[i % 3],
            "vm": f"r{i}",
            "role": role if i < 3 else "auto",
        }
        for i in range(6)
    }
    change = {
        "capacity_pieces": 6,
        "services": {
            "s": {
                "kind": "model",
                "share_pieces": 6,
                "models": ["m"],
                "payback_s": 1,
            }
        },
        "runners": runners,
    }
    command = commands.PatchConfig("", "op", 0, msgspec.json.encode(change), 0)
    ledger_lib.apply(ledger, index=1, term=1, command=command)
    return ledger


@pytest.mark.parametrize(
    ("prefill_tokens", "expects_orders"),
    [
        pytest.param(0, False, id="idle"),
        pytest.param(
            1_000_000, True, id="more-prefill-than-mixed-runners-serve"
        ),
    ],
)
def test_planner_changes_only_runners_with_automatic_role(
    prefill_tokens: int, expects_orders: bool
) -> None:
    """Under load the planner changes roles, but never a configured one."""
    ledger = make_ledger("mixed")
    planner = roles.PlannerState()
    demand = fleet.ServiceDemand("s", prefill_tokens, prefill_tokens // 100)
    planned_orders: list[commands.IssueOrder] = []
    for now_ms in range(STEP_MS, SIMULATED_MS, STEP_MS):
        roles.add_demand(planner, demand, now_ms=now_ms)
        planned_orders += planning.due_orders(
            planner, ledger, term=1, now_ms=now_ms, wall_ms=now_ms
        )
    assert bool(planned_orders) is expects_orders
    assert {order.runner for order in planned_orders} <= {"r3", "r4", "r5"}
    assert all(
        o.planned and o.cause.startswith("planner:") for o in planned_orders
    )


def test_vm_list_is_parsed_from_json() -> None:
    body = b'[{"vm": "v1", "state": "leaving"}]'
    assert vm_list.parse(body) == {"v1": membership.VmState.LEAVING}
