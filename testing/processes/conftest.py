"""Fixture that starts real processes and ends them by id."""

from collections.abc import Callable
from collections.abc import Iterator
import os
import pathlib
import subprocess
import sys

import pytest
from support import site

KEY = "ab" * 32

Start = Callable[..., subprocess.Popen[str]]


@pytest.fixture
def start() -> Iterator[Start]:
    """Yield a starter that waits for the program's first line."""
    running: list[subprocess.Popen[str]] = []

    def start_one(*arguments: str) -> subprocess.Popen[str]:
        process = subprocess.Popen(
            [sys.executable, "-m", "wisteriawall", *arguments],
            env={**os.environ, "WISTERIAWALL_CLUSTER_KEY": KEY},
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
def new_site(start: Start, tmp_path: pathlib.Path) -> site.Site:
    """Return a site of which nothing runs yet."""
    return site.Site(start, tmp_path)
