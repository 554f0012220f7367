"""Tests of `wisteriawall.control.planning` and of the VM list's form."""

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
PLAN_MS = 120_000


def make_ledger(role: str) -> state.Ledger:
    """Return a service of six runners, half of them with `role`."""
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
    ("prefill_tokens", "planned"),
    [
        pytest.param(0, False, id="idle"),
        pytest.param(1_000_000, True, id="far-more-prefill-than-mixed-take"),
    ],
)
def test_planner_orders_open_runners_only(
    prefill_tokens: int, planned: bool
) -> None:
    ledger = make_ledger("mixed")
    planner = roles.Planner()
    demand = fleet.ServiceDemand("s", prefill_tokens, prefill_tokens // 100)
    found: list[commands.IssueOrder] = []
    for now_ms in range(STEP_MS, PLAN_MS, STEP_MS):
        roles.observe(planner, demand, now_ms=now_ms)
        found += planning.due_orders(
            planner, ledger, term=1, now_ms=now_ms, wall_ms=now_ms
        )
    assert bool(found) is planned
    assert {order.runner for order in found} <= {"r3", "r4", "r5"}
    assert all(o.planned and o.cause.startswith("planner:") for o in found)


def test_vm_list_has_the_platforms_form() -> None:
    body = b'[{"vm": "v1", "state": "leaving"}]'
    assert vm_list.parse(body) == {"v1": membership.VmState.LEAVING}
