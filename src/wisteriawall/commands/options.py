"""Options that several commands share: flags with environment variables."""

from typing import Annotated

import typer

__all__ = ["ClusterKey", "Control", "Listen", "Statsd"]

ClusterKey = Annotated[
    str,
    typer.Option(
        "--cluster-key",
        envvar="WISTERIAWALL_CLUSTER_KEY",
        show_envvar=True,
        help=(
            "Shared secret of the cluster, at least 32 hex digits; "
            "prefer the variable, because flags are visible in process lists."
        ),
    ),
]
Control = Annotated[
    str,
    typer.Option(
        envvar="WISTERIAWALL_CONTROL",
        help="Control replicas' RPC addresses: NAME=HOST:PORT,...",
    ),
]
Listen = Annotated[
    str,
    typer.Option(
        envvar="WISTERIAWALL_LISTEN",
        help="HTTP address to listen on: HOST:PORT; port 0 takes a free port.",
    ),
]
Statsd = Annotated[
    str,
    typer.Option(
        envvar="WISTERIAWALL_STATSD",
        help="StatsD server for metrics over UDP: HOST:PORT; empty sends none.",
    ),
]
