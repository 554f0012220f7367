"""Run one program until a signal asks it to stop."""

from collections.abc import Callable
import contextvars
import signal
import threading
import time
from typing import Protocol

import typer

__all__ = [
    "Checked",
    "check",
    "checking_only",
    "incarnation",
    "run_until_signalled",
]

# How soon after SIGHUP the settings are read again.
RELOAD_POLL_S = 0.5

checking_only: contextvars.ContextVar[bool] = contextvars.ContextVar(
    "checking_only", default=False
)


class Checked(Protocol):
    """Settings that can check themselves."""

    def check(self) -> None:
        """Raise `SettingErrors` unless every setting is valid."""


def check(settings: Checked) -> None:
    """Check settings before anything starts.

    Raises:
        SettingErrors: At least one setting is invalid.
        typer.Exit: The command line asked for the check alone.
    """
    settings.check()
    if checking_only.get():
        typer.echo("settings: valid")
        raise typer.Exit


def incarnation() -> int:
    """Return a number that rises with every start of this process."""
    return time.time_ns()


def run_until_signalled(
    *,
    start: Callable[[], None],
    stop: Callable[[], object],
    line: str,
    reload: Callable[[], None] | None = None,
) -> None:
    """Start, announce with `line`, wait for a signal, then stop.

    SIGTERM and SIGINT ask for a planned stop; further ones are ignored, so
    that no answer in progress is cut. SIGHUP asks to read settings again.
    """
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    reloading = threading.Event()
    if reload is not None:
        signal.signal(signal.SIGHUP, lambda *_: reloading.set())
    start()
    if line:
        typer.echo(line)
    while not stopping.wait(RELOAD_POLL_S if reload is not None else None):
        if reload is not None and reloading.is_set():
            reloading.clear()
            reload()
    stop()
