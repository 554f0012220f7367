"""Start of a role whose settings come from environment variables."""

import gc
import os
import pathlib
import sys

from wisteriawall import errors
from wisteriawall.commands import lifecycle
from wisteriawall.settings import parsers

__all__ = ["main"]

KEY_VARIABLE = "WISTERIAWALL_CLUSTER_KEY"
METRICS_PORT_VARIABLE = "WISTERIAWALL_METRICS_PORT"
DATA_VARIABLE = "WISTERIAWALL_DATA"
MAX_PORT = 65_535


def main(role: str) -> None:
    """Run the role `gateway` or `control` until SIGTERM.

    Invalid settings are written to standard error, and the exit code is one of
    `errors.ExitCode`.
    """
    try:
        _run(role)
    except errors.WisteriawallError as error:
        sys.stderr.write(f"wisteriawall: {error}\n")
        sys.exit(error.exit_code)
    lifecycle.end_process()


def _run(role: str) -> None:
    key = parsers.parse_key(KEY_VARIABLE, os.environ.get(KEY_VARIABLE, ""))
    metrics_port = _parse_port(os.environ.get(METRICS_PORT_VARIABLE, "0"))
    # Each role imports only what it runs.
    if role == "gateway":
        from wisteriawall.platform import gateway_role

        _end_of_imports()
        gateway_role.run(key=key, metrics_port=metrics_port)
        return
    from wisteriawall.platform import control_role

    _end_of_imports()
    data = os.environ.get(DATA_VARIABLE, "")
    control_role.run(
        key=key,
        metrics_port=metrics_port,
        data=pathlib.Path(data) if data else None,
    )


def _parse_port(text: str) -> int:
    if not text.isdecimal():
        raise parsers.SettingError(METRICS_PORT_VARIABLE, text, "a port number")
    return parsers.parse_range(
        METRICS_PORT_VARIABLE, int(text), minimum=0, maximum=MAX_PORT
    )


def _end_of_imports() -> None:
    """Start garbage collection, without the objects that imports created."""
    gc.freeze()
    gc.enable()
