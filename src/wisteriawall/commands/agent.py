"""`wisteriawall agent`: run the agent in front of one upstream."""

from typing import Annotated

import typer

from wisteriawall.agent import shell as shell_lib
from wisteriawall.commands import lifecycle
from wisteriawall.commands import options
from wisteriawall.config import document
from wisteriawall.observability import metrics
from wisteriawall.settings import parsers
from wisteriawall.settings import program_settings

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
    kind: Annotated[
        document.ServiceKind,
        typer.Option(
            envvar="WISTERIAWALL_KIND",
            help="Whether the upstream is a model engine or a plain service.",
        ),
    ] = document.ServiceKind.MODEL,
    feed: Annotated[
        str,
        typer.Option(
            envvar="WISTERIAWALL_FEED",
            help=(
                "Address to publish load and cache events on: HOST:PORT; "
                "empty publishes none."
            ),
        ),
    ] = "",
    drain_deadline_seconds: Annotated[
        float,
        typer.Option(
            envvar="WISTERIAWALL_DRAIN_DEADLINE_SECONDS",
            min=0.0,
            help=(
                "Seconds after which a planned stop aborts requests in "
                "progress; 0 waits for all of them."
            ),
        ),
    ] = 0.0,
    order_timeout_seconds: Annotated[
        float,
        typer.Option(
            envvar="WISTERIAWALL_ORDER_TIMEOUT_SECONDS",
            min=0.1,
            help=(
                "Seconds without a reply after which the outcome of an "
                "order counts as unclear."
            ),
        ),
    ] = 60.0,
    statsd: options.Statsd = "",
) -> None:
    """Run the agent in front of one upstream."""
    settings = program_settings.AgentSettings(
        runner=runner,
        listen=listen,
        upstream=upstream,
        control=control,
        key=cluster_key,
        feed=feed,
        statsd=statsd,
    )
    lifecycle.check(settings)
    key = parsers.parse_key("WISTERIAWALL_CLUSTER_KEY", cluster_key)
    shell = shell_lib.AgentShell(
        runner=runner,
        address=listen,
        upstream=upstream,
        control_address_by_replica=parsers.parse_addresses(
            "--control", control
        ),
        key=key,
        token=program_settings.derive_entry_token(key),
        incarnation=lifecycle.new_incarnation(),
        options=shell_lib.AgentOptions(
            kind=kind,
            feed=feed,
            drain_deadline_s=drain_deadline_seconds,
            order_timeout_s=order_timeout_seconds,
            metrics=metrics.make_metrics(
                address=statsd, process_name=f"agent.{runner}"
            ),
        ),
    )
    lifecycle.run_until_signalled(
        start=shell.start,
        stop=shell.stop,
        ready_message=f"agent: entries at {shell.address}",
    )
    lifecycle.end_process()
