"""The `wisteriawall` command line, with every command."""

from typing import Annotated

import typer

import wisteriawall
from wisteriawall import command_line
from wisteriawall.commands import agent as agent_command
from wisteriawall.commands import audit as audit_command
from wisteriawall.commands import bench as bench_command
from wisteriawall.commands import check_settings as check_settings_command
from wisteriawall.commands import config as config_command
from wisteriawall.commands import control as control_command
from wisteriawall.commands import demo as demo_command
from wisteriawall.commands import drain as drain_command
from wisteriawall.commands import entry as entry_command
from wisteriawall.commands import replica as replica_command
from wisteriawall.commands import stand_in as stand_in_command
from wisteriawall.commands import status as status_command
from wisteriawall.observability import logs
from wisteriawall.platform import commands as platform_commands

__all__ = ["app", "main"]

app = typer.Typer(
    name="wisteriawall",
    help="Serve language models on a fixed fleet of engines.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)


def _print_version(requested: bool) -> None:
    if requested:
        typer.echo(wisteriawall.__version__)
        raise typer.Exit


@app.callback()
def _set_up(
    version: Annotated[
        bool,
        typer.Option(
            "--version",
            callback=_print_version,
            is_eager=True,
            help="Print the version and exit.",
        ),
    ] = False,
    log_format: Annotated[
        logs.LogFormat,
        typer.Option(
            envvar="WISTERIAWALL_LOG_FORMAT", help="Format of log lines."
        ),
    ] = logs.LogFormat.TEXT,
    log_level: Annotated[
        str,
        typer.Option(
            envvar="WISTERIAWALL_LOG_LEVEL", help="Lowest level that is logged."
        ),
    ] = "warning",
) -> None:
    del version
    logs.configure(log_format=log_format, level=log_level)


app.command()(agent_command.agent)
app.command()(bench_command.bench)
app.command(
    name="check-settings",
    context_settings={"allow_extra_args": True, "ignore_unknown_options": True},
)(check_settings_command.check_settings)
app.command()(control_command.control)
app.command()(demo_command.demo)
app.command()(entry_command.entry)
app.command()(audit_command.audit)
app.command()(drain_command.drain)
app.command()(status_command.status)
app.add_typer(config_command.app, name="config")
app.add_typer(platform_commands.app, name="platform")
app.add_typer(replica_command.app, name="replica")
app.command(name="stand-in")(stand_in_command.stand_in)


def main() -> None:
    """Run the command line and exit; the exit code is an `ExitCode`."""
    command_line.run(app)
