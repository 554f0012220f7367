"""Check a program's settings, and run it until a signal stops it."""

from collections.abc import Callable
import contextvars
import logging
import queue
import signal
import time
from typing import Protocol

from wisteriawall import errors

__all__ = [
    "CheckableSettings",
    "check",
    "check_only",
    "new_incarnation",
    "run_until_signalled",
]

_LOG = logging.getLogger("settings")

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD = signal.SIGHUP

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
    # `put` of this queue may interrupt `get` in the same thread, which is not
    # true of the locks of `threading`.
    signals: queue.SimpleQueue[int] = queue.SimpleQueue()
    handled = [*STOP_SIGNALS] if reload is None else [*STOP_SIGNALS, RELOAD]
    for signal_number in handled:
        signal.signal(signal_number, lambda number, _: signals.put(number))
    start()
    if ready_message:
        print(ready_message, flush=True)
    while _wait(signals).isdisjoint(STOP_SIGNALS):
        if reload is not None:
            _reload(reload)
    # Also during the exit of the interpreter, which restores the default of
    # signals with a handler.
    for signal_number in (*STOP_SIGNALS, RELOAD):
        signal.signal(signal_number, signal.SIG_IGN)
    stop()


def _wait(signals: queue.SimpleQueue[int]) -> set[int]:
    """Wait for a signal; return it and all others that have arrived."""
    arrived = {signals.get()}
    while not signals.empty():
        arrived.add(signals.get())
    return arrived


def _reload(reload: Callable[[], None]) -> None:
    try:
        reload()
    except errors.WisteriawallError as error:
        _LOG.warning("reload: kept the previous settings: %s", error)
