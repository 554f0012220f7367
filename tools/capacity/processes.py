"""Measure processor time and memory of idle processes of each role."""

from collections.abc import Iterator
import pathlib
import time
from typing import final

import msgspec
from support import process_cluster

__all__ = ["IdleProcess", "measure"]

WINDOW_S = 5.0
PERCENT = 100
NAMES = ("c1", "c2", "agent/model-0", "entry/e0")


@final
class IdleProcess(msgspec.Struct, frozen=True):
    """What a process without callers costs."""

    name: str
    core_percent: float
    resident_bytes: int
    threads: int


def measure() -> Iterator[IdleProcess]:
    """Yield the cost of each role in a running cluster without callers."""
    with process_cluster.running_cluster(
        engines=2, plains=1, entries=1
    ) as cluster:
        yield from _observe(cluster)


def _observe(cluster: process_cluster.ProcessCluster) -> Iterator[IdleProcess]:
    pid_by_name = {name: cluster.process_by_name[name].pid for name in NAMES}
    before = {
        name: process_cluster.processor_time_s(pid)
        for name, pid in pid_by_name.items()
    }
    time.sleep(WINDOW_S)
    for name, pid in pid_by_name.items():
        spent = process_cluster.processor_time_s(pid) - before[name]
        status = _status(pid)
        yield IdleProcess(
            name,
            spent / WINDOW_S * PERCENT,
            int(status["VmRSS"].split()[0]) * 1024,
            int(status["Threads"]),
        )


def _status(pid: int) -> dict[str, str]:
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    return dict(line.split(":", 1) for line in lines)
