"""Fixtures that start separate processes and kill them after the test."""

from collections.abc import Callable
from collections.abc import Iterator
import os
import pathlib
import subprocess
import sys

import pytest
from support import process_cluster

CLUSTER_KEY = "ab" * 32

StartProcess = Callable[..., subprocess.Popen[str]]


@pytest.fixture
def start_process() -> Iterator[StartProcess]:
    """Yield a function that starts `wisteriawall` with given arguments.

    It returns when the process has printed its first line, which means that it
    is ready.
    """
    running: list[subprocess.Popen[str]] = []

    def start_one(*arguments: str) -> subprocess.Popen[str]:
        process = subprocess.Popen(
            [sys.executable, "-m", "wisteriawall", *arguments],
            env={**os.environ, "WISTERIAWALL_CLUSTER_KEY": CLUSTER_KEY},
            stdout=subprocess.PIPE,
            text=True,
        )
        running.append(process)
        assert process.stdout is not None
        assert process.stdout.readline()
        return process

    yield start_one
    for process in running:
        process.kill()
        process.wait()
        assert process.stdout is not None
        process.stdout.close()


@pytest.fixture
def cluster(
    start_process: StartProcess, tmp_path: pathlib.Path
) -> process_cluster.ProcessCluster:
    """Return a cluster without any started process."""
    return process_cluster.ProcessCluster(start_process, tmp_path)
