"""`wisteriawall check-settings`: check settings without starting."""

import enum
from typing import Annotated
from typing import final

import typer
from typer import core

from wisteriawall.commands import lifecycle

__all__ = ["Program", "check_settings"]


@final
class Program(enum.StrEnum):
    """A program whose settings can be checked."""

    AGENT = "agent"
    CONTROL = "control"
    ENTRY = "entry"


def check_settings(
    context: typer.Context,
    program: Annotated[
        Program, typer.Argument(help="Program whose settings to check.")
    ],
) -> None:
    """Check the flags and variables of a program without starting it.

    The program's own flags follow its name, for example
    `wisteriawall check-settings entry --zone zone-a`.
    """
    root = context.find_root().command
    assert isinstance(root, core.TyperGroup)
    command = root.commands[program.value]
    reset_token = lifecycle.check_only.set(True)
    try:
        command.main(
            args=list(context.args),
            prog_name=f"wisteriawall {program}",
            standalone_mode=False,
        )
    finally:
        lifecycle.check_only.reset(reset_token)
