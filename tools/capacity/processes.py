"""Measure processor time and memory of idle processes of each role."""

from collections.abc import Iterator
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import final

import msgspec
from support import site as site_lib

__all__ = ["IdleProcess", "measure"]

KEY = "ab" * 32
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
    """Yield the cost of each role in a running site without callers."""
    running: list[subprocess.Popen[str]] = []

    def start(*arguments: str) -> subprocess.Popen[str]:
        process = subprocess.Popen(
            [sys.executable, "-m", "wisteriawall", *arguments],
            env={**os.environ, "WISTERIAWALL_CLUSTER_KEY": KEY},
            stdout=subprocess.PIPE,
            text=True,
        )
        running.append(process)
        assert process.stdout is not None
        process.stdout.readline()
        return process

    with tempfile.TemporaryDirectory() as folder:
        site = site_lib.Site(start, pathlib.Path(folder))
        try:
            site.start_all(engines=2, plains=1, entries=1)
            yield from _observe(site)
        finally:
            for process in running:
                process.kill()
                process.wait()


def _observe(site: site_lib.Site) -> Iterator[IdleProcess]:
    pid_by_name = {name: site.process_by_name[name].pid for name in NAMES}
    before = {name: _cpu_s(pid) for name, pid in pid_by_name.items()}
    time.sleep(WINDOW_S)
    for name, pid in pid_by_name.items():
        spent = _cpu_s(pid) - before[name]
        status = _status(pid)
        yield IdleProcess(
            name,
            spent / WINDOW_S * PERCENT,
            int(status["VmRSS"].split()[0]) * 1024,
            int(status["Threads"]),
        )


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def _status(pid: int) -> dict[str, str]:
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    return dict(line.split(":", 1) for line in lines)
