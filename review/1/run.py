"""A core machine is replaced as planned; then another one loses its disk."""

import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))
import standins

CATCH_UP_S = standins.BOUNDS["catch_up_s"]
RECOVERY_S = standins.BOUNDS["recovery_s"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Time from the end of the removed machine to the loss of the disk: over
# `catch_up_s`, although the successor has had that time before the removal.
GAP_S = float(os.environ.get("GAP_S", "4.2"))
DOWN_S = 1.0
READ_BACK_S = 2 * RECOVERY_S + standins.BOUNDS["contact_ms"] / 1000


def main() -> int:
    """Return 1 if the rule was broken, 0 if it held, 2 if nothing ran."""
    record = standins.Record(pathlib.Path(__file__).parent / "record.txt")
    with standins.Fleet("127.19.1", ["a", "b", "c", "d"]) as fleet:
        operator = standins.Operator(record)
        for machine in fleet.seeds:
            machine.start("control", bootstrap=True)
        if not operator.put(fleet.seeds, standins.plain_table(1), 20):
            return 2
        successor = fleet.machines[3]
        if TROUBLE:
            successor.start("control")
            record.write(f"platform: added machine d, {successor.host}")
            # Its process starts, and it has the time to catch up.
            time.sleep(CATCH_UP_S + 2)
        if not operator.put(fleet.seeds, standins.plain_table(2), 10):
            return 2
        alive = list(fleet.machines if TROUBLE else fleet.seeds)
        if TROUBLE:
            removed = machine_at(fleet, operator.answered_by)
            took_s = removed.stop("control", signal.SIGTERM)
            record.write(
                f"platform: removed machine {removed.name}, {removed.host}, for"
                f" good by SIGTERM; it ended within {took_s:.2f} s"
            )
            alive.remove(removed)
        ended_s = time.monotonic()
        time.sleep(GAP_S - 1)
        # Acknowledged while one machine is gone: the core works.
        if not operator.put(alive, standins.plain_table(3), 5):
            return 2
        time.sleep(max(0.0, ended_s + GAP_S - time.monotonic()))
        if not operator.put(alive, standins.plain_table(4), 5):
            return 2
        if TROUBLE:
            wiped = machine_at(fleet, operator.answered_by)
            wiped.stop("control", signal.SIGKILL)
            wiped.lose_disk()
            record.write(
                f"platform: machine {wiped.name}, {wiped.host}, lost its disk"
                f" {time.monotonic() - ended_s:.2f} s after machine"
                f" {removed.name} ended"
            )
            time.sleep(DOWN_S)
            wiped.start("control")
            record.write(f"platform: machine {wiped.name} is back, empty")
        version = operator.get(alive, READ_BACK_S)
        acknowledged = operator.put(alive, standins.plain_table(5), READ_BACK_S)
        record.write(f"version 4 was acknowledged; read back: {version}")
        record.write(f"version 5 was acknowledged afterwards: {acknowledged}")
        return 0 if version == 4 and acknowledged else 1


def machine_at(fleet: standins.Fleet, address: str) -> standins.Machine:
    """Return the machine that operators call at `address`."""
    return next(m for m in fleet.machines if m.control == address)


if __name__ == "__main__":
    standins.run(main)
