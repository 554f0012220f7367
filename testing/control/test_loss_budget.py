"""Whether the cluster tolerates the next loss `catch_up_s` after the last.

The bounds are those of the deployments: 4 s with one tolerated loss and three
machines, 6 s with two and five or six machines.
"""

import pytest
from support import control_fleet

CATCH_UP_MS_BY_LOSSES = {1: 4_000, 2: 6_000}
RECOVERY_MS_BY_LOSSES = {1: 12_000, 2: 15_000}
# From the start of a successor to the planned removal of a machine.
SUCCESSOR_START_MS = 6_000
SEEDS = 6


def start(
    hosts: str, tolerated_losses: int, seed: int
) -> control_fleet.ControlFleet:
    """Return a fleet whose machines have all had their time to start."""
    fleet = control_fleet.ControlFleet(
        hosts, tolerated_losses=tolerated_losses, seed=seed
    )
    fleet.run(CATCH_UP_MS_BY_LOSSES[tolerated_losses])
    return fleet


def assert_changes_are_kept(
    fleet: control_fleet.ControlFleet, number: int
) -> None:
    """Check that `number` is read, and that a further table is accepted."""
    limit_ms = RECOVERY_MS_BY_LOSSES[fleet.tolerated_losses]
    assert fleet.read(limit_ms=limit_ms) == number
    fleet.publish(number + 1, limit_ms=limit_ms)


@pytest.mark.parametrize("seed", range(SEEDS))
@pytest.mark.parametrize("loses_leader", [True, False], ids=["leader", "other"])
@pytest.mark.parametrize(
    ("hosts", "tolerated_losses"),
    [
        pytest.param("abc", 1, id="three"),
        pytest.param("abcde", 2, id="five"),
        pytest.param("abcdef", 2, id="six"),
    ],
)
def test_loss_after_a_planned_replacement_is_tolerated(
    hosts: str, tolerated_losses: int, loses_leader: bool, seed: int
) -> None:
    """A machine that had been removed for good still counted for the quorum."""
    fleet = start(hosts, tolerated_losses, seed)
    fleet.add("n")
    fleet.run(SUCCESSOR_START_MS)
    leading = fleet.await_leader(5_000).host
    fleet.remove(leading if loses_leader else fleet.followers()[0])
    fleet.run(CATCH_UP_MS_BY_LOSSES[tolerated_losses])
    acknowledged_by = fleet.publish(1, limit_ms=1_000)
    others = [m.host for m in fleet.machines if m.host != acknowledged_by]
    for lost in [acknowledged_by, *others][:tolerated_losses]:
        fleet.wipe(lost, down_ms=500)
    assert_changes_are_kept(fleet, 1)
