"""`wisteriawall entry`: run one entry."""

from typing import Annotated

import typer

from wisteriawall.commands import options
from wisteriawall.commands import serving
from wisteriawall.entry import shell as shell_lib
from wisteriawall.settings import checks
from wisteriawall.settings import programs

__all__ = ["entry"]


def entry(
    name: Annotated[
        str,
        typer.Option(envvar="WISTERIAWALL_NAME", help="Name of this entry."),
    ],
    zone: Annotated[
        str,
        typer.Option(
            envvar="WISTERIAWALL_ZONE", help="Availability zone of this VM."
        ),
    ],
    control: options.Control,
    cluster_key: options.ClusterKey = "",
    listen: options.Listen = "127.0.0.1:8080",
) -> None:
    """Run one entry: callers' HTTP, routing, retries and relay."""
    settings = programs.EntrySettings(
        name=name, listen=listen, zone=zone, control=control, key=cluster_key
    )
    serving.check(settings)
    key = checks.parse_key("WISTERIAWALL_CLUSTER_KEY", cluster_key)
    shell = shell_lib.EntryShell(
        name=name,
        address=listen,
        zone=zone,
        control_address_by_replica=checks.parse_addresses("--control", control),
        key=key,
        token=programs.derive_token(key),
        incarnation=serving.incarnation(),
    )
    serving.run_until_signalled(
        start=shell.start,
        stop=shell.stop,
        line=f"entry: callers at {shell.address}",
    )
