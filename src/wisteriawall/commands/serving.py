"""Run one program until a signal asks it to stop."""

from collections.abc import Callable
import signal
import threading
import time

import typer

__all__ = ["incarnation", "run_until_signalled"]


def incarnation() -> int:
    """Return a number that rises with every start of this process."""
    return time.time_ns()


def run_until_signalled(
    *, start: Callable[[], None], stop: Callable[[], object], line: str
) -> None:
    """Start, announce with `line`, wait for a signal, then stop.

    SIGTERM and SIGINT ask for a planned stop; further ones are ignored, so
    that no answer in progress is cut.
    """
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    start()
    typer.echo(line)
    stopping.wait()
    stop()
