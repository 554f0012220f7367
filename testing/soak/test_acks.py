"""Tests of what the soak judges of acknowledgements, disks and own ends."""

import os
import pathlib
import subprocess
import sys

import pytest

from soak import acks
from soak import checks
from soak import core_history
from soak import disks
from soak import own_ends
from soak import records
from soak import schedule

START, END, KILL = (
    records.Change.START,
    records.Change.END,
    records.Change.KILL,
)
FREEZE, THAW = records.Change.FREEZE, records.Change.THAW
STALL, CUT = records.Change.DISK_STALLED, records.Change.CUT


def _records(*incidents: records.Incident) -> records.Records:
    """Return records of three replicas that were started long ago."""
    seen = records.Records()
    seen.incidents = [
        records.Incident(name, START, 60.0, pid)
        for pid, name in enumerate(("c1", "c2", "c3", "g1"), start=1)
    ]
    seen.incidents += incidents
    return seen


def _publish(
    seen: records.Records,
    sent_s: float,
    acknowledged_s: float = 0.0,
    *,
    routes: int = 0,
) -> None:
    """Add a change; it is given up at 120.0 if it isn't acknowledged."""
    seen.publications.append(
        records.Publication(
            7,
            "seven",
            sent_s,
            acknowledged_s,
            frozenset(f"/{number}/" for number in range(routes)),
            tries=(
                records.Try(sent_s, sent_s + 1.0, "c2", 0, "ReadTimeoutError"),
                records.Try(sent_s + 1.1, sent_s + 1.2, "c3", 503),
                records.Try(119.0, acknowledged_s or 120.0, "c1", 200),
            ),
        )
    )


def _cut(
    name: str, other: str, at_s: float, until_s: float
) -> records.Incident:
    return records.Incident(name, CUT, at_s, until_s=until_s, other=other)


def _stall(name: str, at_s: float, until_s: float) -> records.Incident:
    return records.Incident(name, STALL, at_s, until_s=until_s)


KILLED_C1 = (
    records.Incident("c1", KILL, 102.0, 1),
    records.Incident("c1", END, 102.0, 1),
    records.Incident("c1", START, 102.1, 11),
)
FROZEN_C1, FROZEN_C2 = (
    (
        records.Incident(name, FREEZE, 102.0, pid),
        records.Incident(name, THAW, 110.0, pid),
    )
    for pid, name in enumerate(("c1", "c2"), start=1)
)
ENDED_C1 = (
    records.Incident("c1", END, 102.0, 1, 1),
    records.Incident("c1", START, 102.1, 11),
)


@pytest.mark.parametrize(
    ("incidents", "acknowledged_s", "rules"),
    [
        pytest.param(*case, id=name)
        for name, *case in (
            ("calm", (), 104.1, ["ACKS"]),
            ("calm-in-time", (), 103.9, []),
            ("never", (), 0.0, ["ACKS"]),
            ("killed", KILLED_C1, 109.2, ["ACKS"]),
            # The two seconds before the kill are another stretch.
            ("killed-in-time", KILLED_C1, 109.0, []),
            ("frozen", FROZEN_C1, 109.1, ["ACKS"]),
            ("frozen-in-time", FROZEN_C1, 108.9, []),
            ("most-frozen", (*FROZEN_C1, *FROZEN_C2), 116.9, []),
            ("most-were-frozen", (*FROZEN_C1, *FROZEN_C2), 117.1, ["ACKS"]),
            ("ended-by-itself", ENDED_C1, 104.1, ["ACKS"]),
            ("stalled", (_stall("c1", 102.0, 105.0),), 112.1, ["ACKS"]),
            ("stalled-in-time", (_stall("c1", 102.0, 105.0),), 111.9, []),
            ("core-cut", (_cut("c1", "c2", 102.0, 106.0),), 113.1, ["ACKS"]),
            ("core-cut-in-time", (_cut("c1", "c2", 102.0, 106.0),), 112.9, []),
            ("links-cut", (_cut("g1", "g2", 102.0, 106.0),), 110.1, ["ACKS"]),
            ("links-cut-in-time", (_cut("g1", "g2", 102.0, 106.0),), 109.9, []),
        )
    ],
)
def test_changes_are_acknowledged_in_calm(
    incidents: tuple[records.Incident, ...],
    acknowledged_s: float,
    rules: list[str],
) -> None:
    """Guards against changes that are judged too strictly, or not at all."""
    seen = _records(*incidents)
    _publish(seen, 100.0, acknowledged_s)
    found = [f.rule for f in checks.judge(seen) if f.rule == "ACKS"]
    assert found == rules


def test_finding_names_each_try() -> None:
    seen = _records()
    _publish(seen, 100.0)
    (found,) = (f for f in checks.judge(seen) if f.rule == "ACKS")
    assert (found.attempt, found.span) == ("version 7", (97.0, 120.0))
    assert "never acknowledged" in found.text
    tries = [line.split(": ")[1] for line in found.lines]
    assert tries[0] == "c2 ReadTimeoutError after 1.000 s"
    assert tries[1] == "c3 503 after 0.100 s"


@pytest.mark.parametrize(
    ("routes", "all_answer_s", "expected"),
    [
        pytest.param(0, 0.0, True, id="few routes"),
        pytest.param(400, 0.0, False, id="3 ms more for each route"),
        pytest.param(0, 101.5, False, id="a replica had not answered yet"),
    ],
)
def test_bound_of_acknowledgements_follows_size_and_start(
    routes: int, all_answer_s: float, expected: bool
) -> None:
    seen = _records()
    seen.all_answer_s = all_answer_s
    _publish(seen, 100.0, 105.0, routes=routes)
    assert [wait.is_too_long for wait in acks.waits(seen)] == [expected]


def test_report_tells_how_long_changes_waited() -> None:
    seen = _records(*KILLED_C1, records.Incident("g1", END, 90.0, 4, 9))
    _publish(seen, 99.0, 104.5)
    _publish(seen, 106.0, 107.5)
    _publish(seen, 108.0)
    assert list(acks.describe(seen)) == [
        "configurations: 3, 1 never acknowledged, the others after 1.500 s at"
        " the median, 90% 5.500 s, 5.500 s at most",
        "longest calm that a change waited for: 12.000 s, version 7; 3 waited"
        " in calm, 3 over 1 s, 1 too long",
        "processes that ended by themselves: 1 g1 at 90.000 with code 9",
    ]


def test_lines_of_the_replicas_logs_are_evidence(
    tmp_path: pathlib.Path,
) -> None:
    log = tmp_path / "c1.log"
    log.write_bytes(
        b'{"t":1099000,"decision":"slow-sync","ms":900}\n'
        + b'{"t":1100500,"decision":"slow-sync","ms":100}\n' * 40
        + b'{"t":1101000,"decision":"lease-lost","ms":0}\n'
        b'{"t":1101500,"decision":"start"}\n'
        b'{"t":1101600,"decision":"slow-sync","ms":200}\n'
        b'{"t":1102000,"decision":"late-ti'
    )
    *lines, lease, longest, more = acks.timing_lines(
        {"c1": log, "c2": tmp_path / "none"}, 100.0, 104.0, 1_000.0
    )
    assert set(lines) == {
        '  c1 100.500: {"t":1100500,"decision":"slow-sync","ms":100}'
    }
    assert lease.startswith("  c1 101.000:") and "lease-lost" in lease
    assert longest.startswith("  c1 101.600:") and "200" in longest
    assert more == "  and 2 more such lines"


@pytest.mark.parametrize(
    ("before", "is_own"),
    [
        pytest.param(*case, id=name)
        for name, *case in (
            ("killed", records.Incident("c1", KILL, 90.0, 1), False),
            ("older-process", records.Incident("c1", KILL, 90.0, 99), True),
            ("other-machine", records.Incident("c2", FREEZE, 99.9, 2), True),
            ("just-thawed", records.Incident("c1", THAW, 99.1, 1), False),
            ("thawed-before", records.Incident("c1", THAW, 98.9, 1), True),
            ("in-a-cut", _cut("c2", "c1", 95.0, 105.0), False),
            ("after-a-stall", _stall("c1", 95.0, 99.5), False),
        )
    ],
)
def test_end_counts_as_running_only_without_a_disruption(
    before: records.Incident, is_own: bool
) -> None:
    end = records.Incident("c1", END, 100.0, 1, 1)
    seen = _records(before, end, records.Incident("c1", START, 100.1, 11))
    counted, own = own_ends.split(seen.incidents)
    assert own == ([end] if is_own else [])
    assert len(counted) == len(seen.incidents) - 2 * is_own


def test_own_ends_leave_the_core_stable_and_gateways_in_touch() -> None:
    seen = _records(
        *ENDED_C1,
        records.Incident("g1", END, 103.0, 4, 1),
        records.Incident("g1", START, 103.1, 14),
    )
    history = core_history.CoreHistory(seen)
    assert history.is_stable(98.0, 110.0)
    assert history.is_calm("g1", 98.0, 110.0)
    # A disk may be lost only once the process is back, and a process that was
    # started again may go back to an older table.
    assert history.longest_calm_s(["c1", "c2", "c3"], 100.0, 106.0) == 2.0
    assert history.runs_of("g1") == [(60.0, 103.0), (103.1, float("inf"))]


def test_stalled_disk_is_a_disruption_of_its_machine_and_the_core() -> None:
    seen = _records(_stall("c1", 100.0, 103.5), _stall("c2", 102.0, 105.0))
    history = core_history.CoreHistory(seen)
    assert not history.is_calm("c1", 101.0, 101.5)
    assert history.is_calm("c2", 101.0, 101.5)
    assert not history.is_stable(101.0, 101.5)
    assert history.is_stable(105.1, 110.0)
    # More than half of it has run, connected and not slowed.
    assert history.has_run(98.0, 101.0)
    assert not history.has_run(98.0, 104.0)


def test_one_disk_stalls_at_a_time() -> None:
    scope = schedule.Scope(("g1",), ("c1", "c2", "c3"), 8, stalls=True)
    for seed in range(20):
        free_s = 0.0
        for timed in schedule.draw(seed, duration_s=60.0, scope=scope):
            if isinstance(timed.fault, schedule.StallDisk):
                assert timed.at_s > free_s
                assert 1.0 <= timed.fault.for_s <= 5.0
                free_s = timed.at_s + timed.fault.for_s
        assert free_s


def test_sync_waits_for_its_time_and_for_the_end_of_a_stall(
    tmp_path: pathlib.Path,
) -> None:
    """The clock of the process is made up: each sleep moves it on."""
    stalled = tmp_path / "c1.stall"
    disks.stall(stalled, 5.0)
    program = """
import os, time
now_s = 0.0
def sleep(for_s):
    global now_s
    now_s += for_s
time.sleep, time.monotonic = sleep, lambda: now_s
os.fsync = os.fdatasync = lambda descriptor: print(descriptor, round(now_s, 1))
from soak import disks
disks.patch()
os.fsync(1)
os.fdatasync(2)
"""
    done = subprocess.run(
        [sys.executable, "-c", program],
        env=os.environ
        | disks.environment((200.0, 200.0), stalled)
        | {"PYTHONPATH": str(pathlib.Path(__file__).parent.parent)},
        capture_output=True,
        check=True,
        text=True,
    )
    assert done.stdout.split("\n")[:2] == ["1 5.0", "2 5.2"]
