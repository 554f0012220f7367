"""Check a program's settings, and run it until a signal stops it."""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import contextvars
import logging
import os
import signal
import sys
import time
import types
from typing import NoReturn
from typing import Protocol

from wisteriawall import errors

__all__ = [
    "CheckableSettings",
    "check",
    "check_only",
    "end_process",
    "new_incarnation",
    "run_until_signalled",
]

_LOG = logging.getLogger("settings")

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD = signal.SIGHUP
# Capacity of a pipe: one read returns all signals that have arrived.
PIPE_BYTES = 65_536

# Whether `check` exits instead of returning; set by `check-settings`.
check_only: contextvars.ContextVar[bool] = contextvars.ContextVar(
    "check_only", default=False
)


class CheckableSettings(Protocol):
    """Settings with a `check` method."""

    def check(self) -> None:
        """Check every setting.

        Raises:
            SettingErrors: At least one setting is invalid.
        """


def check(settings: CheckableSettings) -> None:
    """Check settings; must be called before anything starts.

    Raises:
        SettingErrors: At least one setting is invalid.
        typer.Exit: The settings are valid and `check_only` is set.
    """
    settings.check()
    if check_only.get():
        # Only commands that are run with flags get here. Programs of small VMs
        # start without the command line parser.
        import typer

        typer.echo("settings: valid")
        raise typer.Exit


def new_incarnation() -> int:
    """Return an incarnation number for a starting process.

    It is the time in nanoseconds, so each restart gets a higher number.
    """
    return time.time_ns()


def end_process() -> NoReturn:
    """End a process that has stopped everything, with exit code 0.

    The exit handlers of the interpreter are left out. That of pynng frees
    the memory of NNG while its threads may still be closing connections, and
    NNG then aborts the process.
    """
    logging.shutdown()
    for stream in (sys.stdout, sys.stderr):
        with contextlib.suppress(OSError, ValueError):
            stream.flush()
    os._exit(0)


def run_until_signalled(
    *,
    start: Callable[[], None],
    stop: Callable[[], object],
    ready_message: str,
    reload: Callable[[], None] | None = None,
) -> None:
    """Start, print `ready_message`, wait for SIGTERM or SIGINT, then stop.

    Further signals have no effect while `stop` runs, so that they can't cut a
    response in progress.

    Args:
        start: Starts the program and returns.
        stop: Stops the program; returns when it has stopped.
        ready_message: Printed after the start; empty prints nothing.
        reload: Called after SIGHUP, to read the settings again.
    """
    handled = [*STOP_SIGNALS] if reload is None else [*STOP_SIGNALS, RELOAD]
    pipe = _open_signal_pipe(handled)
    start()
    if ready_message:
        print(ready_message, flush=True)
    while _wait(pipe).isdisjoint(STOP_SIGNALS):
        if reload is not None:
            _reload(reload)
    # Also during the exit of the interpreter, which restores the default of
    # signals with a handler.
    for signal_number in (*STOP_SIGNALS, RELOAD):
        signal.signal(signal_number, signal.SIG_IGN)
    stop()


def _open_signal_pipe(handled: Iterable[signal.Signals]) -> int:
    """Return a pipe that receives the number of each of these signals, a byte.

    The interpreter writes it in whichever thread the kernel chooses. Waiting
    for a handler would miss signals: handlers run in the main thread only, and
    a signal that arrives in another thread, or just before the main thread
    blocks, doesn't wake it.

    The pipe stays open, as a signal that is being handled may still write.
    """
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    signal.set_wakeup_fd(write_end)
    for signal_number in handled:
        signal.signal(signal_number, _do_nothing)
    return read_end


def _do_nothing(_number: int, _frame: types.FrameType | None) -> None:
    """Replace the default action; the signal pipe reports the signal."""


def _wait(pipe: int) -> set[int]:
    """Wait for a signal; return it and all others that have arrived."""
    return set(os.read(pipe, PIPE_BYTES))


def _reload(reload: Callable[[], None]) -> None:
    try:
        reload()
    except errors.WisteriawallError as error:
        _LOG.warning("reload: kept the previous settings: %s", error)
