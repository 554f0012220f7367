"""`wisteriawall platform`: run programs with the platform's settings file."""

import pathlib
from typing import Annotated

import typer

from wisteriawall.commands import lifecycle
from wisteriawall.commands import options
from wisteriawall.settings import parsers

__all__ = ["app"]

MetricsPort = Annotated[
    int,
    typer.Option(
        envvar="WISTERIAWALL_METRICS_PORT",
        help="Port that serves /metrics as text; 0 serves none.",
        min=0,
        max=65_535,
    ),
]

app = typer.Typer(
    name="platform",
    help="Run on the users' platform, from the settings file it writes.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)


# Each command imports only the modules of its role. VMs have a fraction of a
# core, and a restarted process can't serve until its imports are done.


@app.command()
def gateway(
    cluster_key: options.ClusterKey = "", metrics_port: MetricsPort = 0
) -> None:
    """Forward callers' requests to the runners."""
    from wisteriawall.platform import gateway_role

    gateway_role.run(key=_key(cluster_key), metrics_port=metrics_port)
    lifecycle.end_process()


@app.command()
def control(
    cluster_key: options.ClusterKey = "",
    metrics_port: MetricsPort = 0,
    data: Annotated[
        pathlib.Path | None,
        typer.Option(
            envvar="WISTERIAWALL_DATA",
            help="Data folder; that of the settings file by default.",
        ),
    ] = None,
) -> None:
    """Run one control replica."""
    from wisteriawall.platform import control_role

    control_role.run(
        key=_key(cluster_key), metrics_port=metrics_port, data=data
    )
    lifecycle.end_process()


@app.command()
def check(
    file: Annotated[
        pathlib.Path, typer.Argument(help="File with a routing table as JSON.")
    ],
    against: Annotated[
        pathlib.Path | None,
        typer.Option(help="Report differences from the table of this file."),
    ] = None,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print JSON instead of lines.")
    ] = False,
) -> None:
    """Check a routing table; exit with 1 if there are findings."""
    from wisteriawall.platform import check_command

    check_command.run(file=file, against=against, as_json=as_json)


def _key(text: str) -> bytes:
    return parsers.parse_key("WISTERIAWALL_CLUSTER_KEY", text)
