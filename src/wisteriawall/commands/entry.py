"""`wisteriawall entry`: run one entry."""

from typing import Annotated

import typer

from wisteriawall.commands import lifecycle
from wisteriawall.commands import options
from wisteriawall.entry import attempt as attempt_lib
from wisteriawall.entry import shell as shell_lib
from wisteriawall.observability import metrics
from wisteriawall.settings import parsers
from wisteriawall.settings import program_settings

__all__ = ["entry"]

MS_PER_S = 1_000


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
    max_requests: Annotated[
        int,
        typer.Option(
            envvar="WISTERIAWALL_MAX_REQUESTS",
            help="Requests in progress at once; more are refused as not run.",
        ),
    ] = 256,
    grace_ms: Annotated[
        int,
        typer.Option(
            envvar="WISTERIAWALL_GRACE_MS",
            help=(
                "Milliseconds for which a stopping entry still accepts "
                "requests, so that the load balancer sees /readyz fail."
            ),
        ),
    ] = 1_000,
    statsd: options.Statsd = "",
    drain_deadline_ms: Annotated[
        int,
        typer.Option(
            envvar="WISTERIAWALL_DRAIN_DEADLINE_MS",
            help=(
                "Milliseconds after which a planned stop aborts requests in "
                "progress; 0 waits for all of them."
            ),
        ),
    ] = 0,
    idle_timeout_ms: Annotated[
        int,
        typer.Option(
            envvar="WISTERIAWALL_IDLE_TIMEOUT_MS",
            help=(
                "Milliseconds without an event after which a streamed "
                "response is resumed on another runner."
            ),
        ),
    ] = 10_000,
) -> None:
    """Run one entry, which routes callers' requests to runners."""
    settings = program_settings.EntrySettings(
        name=name,
        listen=listen,
        zone=zone,
        control=control,
        key=cluster_key,
        statsd=statsd,
        max_requests=max_requests,
        grace_ms=grace_ms,
        drain_deadline_ms=drain_deadline_ms,
        idle_timeout_ms=idle_timeout_ms,
    )
    lifecycle.check(settings)
    key = parsers.parse_key("WISTERIAWALL_CLUSTER_KEY", cluster_key)
    shell = shell_lib.EntryShell(
        name=name,
        address=listen,
        zone=zone,
        control_address_by_replica=parsers.parse_addresses(
            "--control", control
        ),
        key=key,
        token=program_settings.derive_entry_token(key),
        incarnation=lifecycle.new_incarnation(),
        metrics=metrics.make_metrics(
            address=statsd, process_name=f"entry.{name}"
        ),
        limits=shell_lib.EntryLimits(
            max_requests=max_requests,
            grace_s=grace_ms / MS_PER_S,
            drain_deadline_s=drain_deadline_ms / MS_PER_S,
            timeouts=attempt_lib.AttemptTimeouts(
                idle_s=idle_timeout_ms / MS_PER_S
            ),
        ),
    )
    lifecycle.run_until_signalled(
        start=shell.start,
        stop=shell.stop,
        ready_message=f"entry: callers at {shell.address}",
    )
    lifecycle.end_process()
