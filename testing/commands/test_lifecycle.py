"""Tests of programs that run until a signal, each run as a process."""

from collections.abc import Iterator
import contextlib
import signal
import subprocess
import sys
import threading
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
BUSY_PROGRAM = """
import os, threading, time
from wisteriawall.commands import lifecycle

def work():
    while True:
        for _ in range(1_000):
            pass
        time.sleep(1e-4)

def start():
    for _ in range(3):
        threading.Thread(target=work, daemon=True).start()

lifecycle.run_until_signalled(
    start=start,
    stop=lambda: None,
    ready_message="ready",
    reload=lambda: os.write(1, b"reloaded\\n"),
)
"""
# The kernel may choose any thread, and does so if the main thread already has a
# signal to handle.
OTHER_THREAD_PROGRAM = """
import signal, sys, threading
from wisteriawall.commands import lifecycle

def signal_own_thread():
    sys.stdin.readline()
    signal.pthread_kill(threading.get_ident(), signal.SIGTERM)

lifecycle.run_until_signalled(
    start=threading.Thread(target=signal_own_thread).start,
    stop=lambda: None,
    ready_message="ready",
)
"""
WAIT_S = 15.0
STORM_S = 2.0
SIGNALS = 500


def run(
    *, start_s: float = 0, stop_s: float = 0, reloads: bool = True
) -> subprocess.Popen[str]:
    """Run a program whose start and stop take that long."""
    kind = "reloads" if reloads else "plain"
    return run_program(PROGRAM, str(start_s), str(stop_s), kind)


def run_program(program: str, *arguments: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-c", program, *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def read_until(process: subprocess.Popen[str], text: str) -> None:
    """Read the program's output up to the line `text`."""
    assert process.stdout is not None
    while (line := process.stdout.readline().strip()) != text:
        assert line, f"the process ended without {text!r}"


@contextlib.contextmanager
def kill_after(process: subprocess.Popen[str], wait_s: float) -> Iterator[None]:
    """Kill the process if the block takes longer, which ends its output."""
    timer = threading.Timer(wait_s, process.kill)
    timer.start()
    try:
        yield
    finally:
        timer.cancel()


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


def test_signal_just_before_the_main_thread_waits_is_not_lost() -> None:
    """SIGTERM had no effect, and the process was killed with its responses."""
    with run_program(BUSY_PROGRAM) as process:
        read_until(process, "ready")
        for _ in range(SIGNALS):
            process.send_signal(signal.SIGHUP)
            with kill_after(process, WAIT_S):
                read_until(process, "reloaded")
        process.terminate()
        assert finish(process) == 0


def test_signal_that_arrives_in_another_thread_is_not_lost() -> None:
    with run_program(OTHER_THREAD_PROGRAM) as process:
        read_until(process, "ready")
        assert process.stdin is not None
        process.stdin.write("signal\n")
        process.stdin.flush()
        assert finish(process) == 0
