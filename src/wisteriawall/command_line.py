"""Run of a command line whose errors become exit codes."""

import sys

import typer

from wisteriawall import errors
from wisteriawall.settings import parsers

__all__ = ["run"]


def run(app: typer.Typer) -> None:
    """Run `app` with the arguments of the process and exit.

    Errors are written to standard error, one line each. The exit code is one
    of `errors.ExitCode`.
    """
    try:
        app()
    except parsers.SettingErrors as invalid:
        for setting_error in invalid.exceptions:
            sys.stderr.write(f"wisteriawall: {setting_error}\n")
        sys.exit(errors.ExitCode.USAGE)
    except errors.WisteriawallError as error:
        sys.stderr.write(f"wisteriawall: {error}\n")
        sys.exit(error.exit_code)
