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
CONTACT_MS = 3_000
SEEDS = 3


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


def lose_as_many_as_tolerated(
    fleet: control_fleet.ControlFleet, *, spared: list[str]
) -> None:
    """Wipe the machine that acknowledges a table, and others but `spared`."""
    acknowledged_by = fleet.publish(1, limit_ms=1_000)
    others = [
        m.host
        for m in fleet.machines
        if m.host not in (acknowledged_by, *spared)
    ]
    for lost in [acknowledged_by, *others][: fleet.tolerated_losses]:
        fleet.wipe(lost, down_ms=500)
    assert_changes_are_kept(fleet, 1)


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
    lose_as_many_as_tolerated(fleet, spared=[])


@pytest.mark.parametrize("seed", range(SEEDS))
@pytest.mark.parametrize("wake_gap_ms", [0, 5, 20, 100], ids="{}ms".format)
@pytest.mark.parametrize("hosts", ["abcde", "abcdef"], ids=["five", "six"])
def test_loss_after_two_machines_woke_is_tolerated(
    hosts: str, wake_gap_ms: int, seed: int
) -> None:
    """Replicas that were removed while frozen removed each other in turn."""
    fleet = start(hosts, 2, seed)
    frozen = fleet.followers()[:2]
    fleet.freeze(*frozen)
    fleet.run(5_800)
    fleet.wake(frozen[0])
    fleet.run(wake_gap_ms)
    fleet.wake(frozen[1])
    fleet.run(CATCH_UP_MS_BY_LOSSES[2])
    lose_as_many_as_tolerated(fleet, spared=frozen)


@pytest.mark.parametrize("seed", range(SEEDS))
@pytest.mark.parametrize("gap_ms", [0, 5, 20, 500], ids="{}ms".format)
@pytest.mark.parametrize("hosts", ["abcde", "abcdef"], ids=["five", "six"])
def test_loss_after_two_disks_were_lost_is_tolerated(
    hosts: str, gap_ms: int, seed: int
) -> None:
    """Replicas that joined together removed each other in turn."""
    fleet = start(hosts, 2, seed)
    first = fleet.await_leader(5_000).host
    wiped = [first, fleet.followers()[0]]
    fleet.wipe(first, down_ms=500)
    fleet.wipe(wiped[1], down_ms=500 + gap_ms)
    # The machines are back when their processes start.
    fleet.run(500 + gap_ms + CATCH_UP_MS_BY_LOSSES[2])
    lose_as_many_as_tolerated(fleet, spared=wiped)


@pytest.mark.parametrize("seed", range(SEEDS))
@pytest.mark.parametrize("after_ms", [5, 50, 200], ids="{}ms".format)
@pytest.mark.parametrize(
    ("hosts", "tolerated_losses"),
    [pytest.param("abc", 1, id="three"), pytest.param("abcde", 2, id="five")],
)
def test_a_joining_replica_that_freezes_replaces_no_voter(
    hosts: str, tolerated_losses: int, after_ms: int, seed: int
) -> None:
    """A voter was removed for a successor that was lost before it had a vote.

    The voter wakes up, and goes on without joining again.
    """
    fleet = start(hosts, tolerated_losses, seed)
    frozen = fleet.followers()[0]
    fleet.freeze(frozen)
    fleet.run(2_000)
    fleet.add("n")
    fleet.run(control_fleet.PROCESS_START_MS)
    members = fleet.members()
    while fleet.members() == members:
        fleet.run(control_fleet.STEP_MS)
    fleet.run(after_ms - control_fleet.STEP_MS)
    if "n" in [name.partition("-")[0] for name in fleet.voters()]:
        return  # It had its vote before it could be frozen.
    fleet.freeze("n")
    fleet.run(1_000)
    fleet.wake(frozen)
    fleet.run(200)
    assert frozen in fleet.voters()
    fleet.wake("n")
    fleet.run(CATCH_UP_MS_BY_LOSSES[tolerated_losses])
    lose_as_many_as_tolerated(fleet, spared=["n", frozen])


LOSSES = ("freeze", "wipe", "restart", "replace", "cut")


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize(
    ("hosts", "tolerated_losses"),
    [
        pytest.param("abc", 1, id="three"),
        pytest.param("abcde", 2, id="five"),
        pytest.param("abcdef", 2, id="six"),
    ],
)
def test_sequences_of_tolerated_losses_keep_what_was_acknowledged(
    hosts: str, tolerated_losses: int, seed: int
) -> None:
    """Each round loses as many machines as tolerated, `catch_up_s` apart."""
    fleet = start(hosts, tolerated_losses, seed)
    for number in range(1, 7):
        fleet.publish(number, limit_ms=RECOVERY_MS_BY_LOSSES[tolerated_losses])
        lost = fleet.random.sample(fleet.machines, tolerated_losses)
        back: list[str] = []
        for machine in lost:
            match fleet.random.choice(LOSSES):
                case "freeze":
                    fleet.freeze(machine.host)
                    back.append(machine.host)
                case "cut":
                    fleet.cut_off.add(machine.host)
                case "wipe":
                    fleet.wipe(machine.host, down_ms=1_000)
                case "restart":
                    fleet.restart(machine.host, down_ms=1_000)
                case "replace":
                    fleet.remove(machine.host)
                    fleet.add(f"{machine.host}{number}")
            fleet.run(fleet.random.choice([0, 10, 300]))
        fleet.run(fleet.random.choice([1_000, 3_000, 5_000]))
        fleet.cut_off.clear()
        for host in back:
            fleet.wake(host)
            fleet.run(fleet.random.choice([0, 5, 40]))
        fleet.run(CATCH_UP_MS_BY_LOSSES[tolerated_losses])
        assert fleet.read(limit_ms=CONTACT_MS) == number
