"""`wisteriawall agent`: run the agent in front of one upstream."""

from typing import Annotated

import typer

from wisteriawall.agent import shell as shell_lib
from wisteriawall.commands import options
from wisteriawall.commands import serving
from wisteriawall.settings import checks
from wisteriawall.settings import programs

__all__ = ["agent"]


def agent(
    runner: Annotated[
        str,
        typer.Option(
            envvar="WISTERIAWALL_RUNNER",
            help="Name of the runner in the configuration.",
        ),
    ],
    upstream: Annotated[
        str,
        typer.Option(
            envvar="WISTERIAWALL_UPSTREAM",
            help="Address of the upstream: HOST:PORT.",
        ),
    ],
    control: options.Control,
    cluster_key: options.ClusterKey = "",
    listen: options.Listen = "127.0.0.1:8090",
) -> None:
    """Run the agent in front of one upstream."""
    settings = programs.AgentSettings(
        runner=runner,
        listen=listen,
        upstream=upstream,
        control=control,
        key=cluster_key,
    )
    serving.check(settings)
    key = checks.parse_key("WISTERIAWALL_CLUSTER_KEY", cluster_key)
    shell = shell_lib.AgentShell(
        runner=runner,
        address=listen,
        upstream=upstream,
        control_address_by_replica=checks.parse_addresses("--control", control),
        key=key,
        token=programs.derive_token(key),
        incarnation=serving.incarnation(),
    )
    serving.run_until_signalled(
        start=shell.start,
        stop=shell.stop,
        line=f"agent: entries at {shell.address}",
    )
