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
PROCESS_NAMES = ("c1", "c2", "agent/model-0", "entry/e0")


@final
class IdleProcess(msgspec.Struct, frozen=True):
    """Cost of one process while no caller is connected."""

    name: str
    core_percent: float
    resident_bytes: int
    threads: int


def measure() -> Iterator[IdleProcess]:
    """Yield the cost of one process of each role, without callers."""
    with process_cluster.running_cluster(
        engines=2, plains=1, entries=1
    ) as cluster:
        yield from _measure_processes(cluster)


def _measure_processes(
    cluster: process_cluster.ProcessCluster,
) -> Iterator[IdleProcess]:
    pid_by_name = {
        name: cluster.process_by_name[name].pid for name in PROCESS_NAMES
    }
    cpu_before_s_by_name = {
        name: process_cluster.processor_time_s(pid)
        for name, pid in pid_by_name.items()
    }
    time.sleep(WINDOW_S)
    for name, pid in pid_by_name.items():
        cpu_s = (
            process_cluster.processor_time_s(pid) - cpu_before_s_by_name[name]
        )
        fields = _status_fields(pid)
        yield IdleProcess(
            name,
            cpu_s / WINDOW_S * PERCENT,
            int(fields["VmRSS"].split()[0]) * 1024,
            int(fields["Threads"]),
        )


def _status_fields(pid: int) -> dict[str, str]:
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    return dict(line.split(":", 1) for line in lines)
