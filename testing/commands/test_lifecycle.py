"""Tests of programs that run until a signal, each run as a process."""

import signal
import subprocess
import sys
import time

import pytest

PROGRAM = """
import sys, time
from wisteriawall.commands import lifecycle

def start():
    print("starting", flush=True)
    time.sleep(float(sys.argv[1]))

def stop():
    print("stopping", flush=True)
    time.sleep(float(sys.argv[2]))
    print("stopped", flush=True)

lifecycle.run_until_signalled(
    start=start,
    stop=stop,
    ready_message="ready",
    reload=(lambda: None) if sys.argv[3] == "reloads" else None,
)
"""
WAIT_S = 15.0
STORM_S = 2.0


def run(
    *, start_s: float = 0, stop_s: float = 0, reloads: bool = True
) -> subprocess.Popen[str]:
    """Run a program whose start and stop take that long."""
    kind = "reloads" if reloads else "plain"
    return subprocess.Popen(
        [sys.executable, "-c", PROGRAM, str(start_s), str(stop_s), kind],
        stdout=subprocess.PIPE,
        text=True,
    )


def read_until(process: subprocess.Popen[str], text: str) -> None:
    """Read the program's output up to the line `text`."""
    assert process.stdout is not None
    while (line := process.stdout.readline().strip()) != text:
        assert line, f"the process ended without {text!r}"


def finish(process: subprocess.Popen[str]) -> int:
    """Return the exit code; kill the process if it doesn't end."""
    try:
        process.communicate(timeout=WAIT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.communicate()
    return process.returncode


def test_signals_in_quick_succession_do_not_end_the_process() -> None:
    """Handlers were nested up to a RecursionError."""
    with run() as process:
        read_until(process, "ready")
        end = time.monotonic() + STORM_S
        while time.monotonic() < end:
            process.send_signal(signal.SIGHUP)
        process.terminate()
        assert finish(process) == 0


@pytest.mark.parametrize("reloads", [True, False], ids=["reloads", "plain"])
@pytest.mark.parametrize(
    "number", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP]
)
def test_signal_during_the_stop_changes_nothing(
    number: signal.Signals, reloads: bool
) -> None:
    with run(stop_s=1.0, reloads=reloads) as process:
        read_until(process, "ready")
        process.terminate()
        read_until(process, "stopping")
        process.send_signal(number)
        read_until(process, "stopped")
        assert finish(process) == 0


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_signal_during_the_start_stops_the_process_after_it(
    number: signal.Signals,
) -> None:
    with run(start_s=1.0) as process:
        read_until(process, "starting")
        process.send_signal(number)
        read_until(process, "stopping")
        assert finish(process) == 0
