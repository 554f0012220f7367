"""`wisteriawall demo`: run a whole cluster in one process."""

import pathlib
import tempfile
import time
from typing import Annotated

import typer

from wisteriawall import errors
from wisteriawall.demo import check as check_lib
from wisteriawall.demo import cluster as cluster_lib

__all__ = ["demo"]

EntryPort = Annotated[
    int,
    typer.Option(
        envvar="WISTERIAWALL_ENTRY_PORT",
        min=0,
        max=65_535,
        help="Port for callers; 0 takes a free port.",
    ),
]
AdminPort = Annotated[
    int,
    typer.Option(
        envvar="WISTERIAWALL_ADMIN_PORT",
        min=0,
        max=65_535,
        help="Port for operators; 0 takes a free port.",
    ),
]
ForSeconds = Annotated[
    float,
    typer.Option(
        "--for", min=0.0, help="Seconds to run; 0 runs until interrupted."
    ),
]
Check = Annotated[
    bool, typer.Option("--check", help="Run the demo's checks and exit.")
]


def demo(
    entry_port: EntryPort = 8080,
    admin_port: AdminPort = 8081,
    for_seconds: ForSeconds = 0.0,
    check: Check = False,
) -> None:
    """Run a whole cluster with stand-in engines in this process."""
    if check:
        entry_port = admin_port = 0
    with tempfile.TemporaryDirectory(prefix="wisteriawall-") as folder:
        cluster = cluster_lib.DemoCluster(
            folder=pathlib.Path(folder),
            entry_address=f"127.0.0.1:{entry_port}",
            admin_address=f"127.0.0.1:{admin_port}",
        )
        cluster.start()
        passed = (
            _run_checks(cluster) if check else _run_demo(cluster, for_seconds)
        )
        cluster.stop()
    raise typer.Exit(errors.ExitCode.OK if passed else errors.ExitCode.FAILED)


def _run_checks(cluster: cluster_lib.DemoCluster) -> bool:
    all_passed = True
    for result in check_lib.run(cluster):
        verdict = "ok" if result.passed else "FAILED"
        typer.echo(f"{verdict}: {result.name}: {result.detail}")
        all_passed = all_passed and result.passed
    return all_passed


def _run_demo(cluster: cluster_lib.DemoCluster, for_seconds: float) -> bool:
    entry = f"http://{cluster.entry.address}"
    operator = f"http://{cluster.admin_addresses[0]}"
    account = f"-H 'Authorization: Bearer {cluster_lib.ACCOUNT_TOKEN}'"
    admin = f"-H 'Authorization: Bearer {cluster_lib.OPERATOR_TOKEN}'"
    body = (
        '\'{"model": "brief-writer", "prompt": "a brown dog", '
        '"max_tokens": 20, "stream": true}\''
    )
    typer.echo(f"entry: {entry}\noperators: {operator}\nTry:")
    typer.echo(f"  curl -N {account} {entry}/v1/completions -d {body}")
    typer.echo(
        f"  curl {account} -H 'Idempotency-Key: order-1' "
        f"{entry}/services/orders/payments -d '{{}}'"
    )
    typer.echo(f"  curl -L --location-trusted {admin} {operator}/v1/status")
    deadline = time.monotonic() + for_seconds if for_seconds else None
    try:
        while deadline is None or time.monotonic() < deadline:
            time.sleep(0.2)
    except KeyboardInterrupt:
        typer.echo("stopping")
    return True
