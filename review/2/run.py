"""Two of five core machines freeze and wake; later two lose their disks."""

import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))
import standins

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SUBNET = os.environ.get("SUBNET", "127.19.4")
# Bounds of `large/ritrattini-prod-large.toml`.
BOUNDS = standins.BOUNDS | {
    "contact_ms": 5000,
    "ack_ms": 6000,
    "catch_up_s": 6,
    "drain_ms": 4000,
    "config_ms": 3000,
    "max_stretch_ms": 8000,
    "retry_budget_slack": 180,
    "recovery_s": 15,
    "delivery_deadline_ms": 200,
}
CATCH_UP_S = BOUNDS["catch_up_s"] + 0.05
READ_BACK_S = BOUNDS["recovery_s"] + BOUNDS["contact_ms"] / 1000
FROZEN_S = 5.8
WAKE_GAP_S = float(os.environ.get("WAKE_GAP_S", "0.006"))
DOWN_S = 0.5
# Each round takes 19 s, and the last read takes READ_BACK_S.
LAST_ROUND_S = 80.0


def main() -> int:
    """Return 1 if the rule was broken, 0 if it held, 2 if nothing ran."""
    record = standins.Record(pathlib.Path(__file__).parent / "record.txt")
    began_s = time.monotonic()
    with standins.Fleet(
        SUBNET, ["a", "b", "c", "d", "e"], tolerated=2, bounds=BOUNDS
    ) as fleet:
        operator = standins.Operator(record)
        for machine in fleet.machines:
            machine.start("control", bootstrap=True)
        version = 1
        if not operator.put(fleet.machines, standins.plain_table(1), 20):
            return 2
        # New machines count as lost for this time, too.
        time.sleep(CATCH_UP_S)
        while time.monotonic() - began_s < LAST_ROUND_S:
            if TROUBLE:
                frozen = freeze_two(fleet, operator, record)
                time.sleep(CATCH_UP_S)
            version += 1
            if not operator.put(
                fleet.machines, standins.plain_table(version), 5
            ):
                return 2
            if not TROUBLE:
                time.sleep(1)
                continue
            lose_two_disks(fleet, operator, record, frozen)
            if operator.get(fleet.machines, READ_BACK_S) != version:
                record.write(f"version {version}, acknowledged, can't be read")
                return 1
            time.sleep(CATCH_UP_S)
        if operator.get(fleet.machines, READ_BACK_S) != version:
            return 1
        record.write(f"version {version}, acknowledged, was read")
        return 0


def freeze_two(
    fleet: standins.Fleet, operator: standins.Operator, record: standins.Record
) -> list[standins.Machine]:
    """Stop two machines that don't lead, and let them go on together."""
    frozen = [m for m in fleet.machines if m.control != operator.answered_by][
        :2
    ]
    for machine in frozen:
        machine.process_by_role["control"].send_signal(signal.SIGSTOP)
    names = " and ".join(machine.name for machine in frozen)
    record.write(f"platform: machines {names} froze")
    time.sleep(FROZEN_S)
    for machine in frozen:
        machine.process_by_role["control"].send_signal(signal.SIGCONT)
        time.sleep(WAKE_GAP_S)
    record.write(f"platform: machines {names} woke after {FROZEN_S} s")
    return frozen


def lose_two_disks(
    fleet: standins.Fleet,
    operator: standins.Operator,
    record: standins.Record,
    frozen: list[standins.Machine],
) -> None:
    """Empty the machine that acknowledged, and one that was not frozen."""
    acknowledged = next(
        m for m in fleet.machines if m.control == operator.answered_by
    )
    others = [m for m in fleet.machines if m not in (acknowledged, *frozen)]
    wiped = [acknowledged, others[0]]
    for machine in wiped:
        machine.process_by_role["control"].kill()
    for machine in wiped:
        machine.stop("control", signal.SIGKILL)
        machine.lose_disk()
    names = " and ".join(machine.name for machine in wiped)
    record.write(f"platform: machines {names} lost their disks")
    time.sleep(DOWN_S)
    for machine in wiped:
        machine.start("control")
    record.write(f"platform: machines {names} are back, empty")


if __name__ == "__main__":
    standins.run(main)
