"""`wisteriawall control`: run one control replica."""

import os
import pathlib
import signal
from typing import Annotated

import typer

from wisteriawall.commands import lifecycle
from wisteriawall.commands import options
from wisteriawall.control import admin as admin_lib
from wisteriawall.control import shell as shell_lib
from wisteriawall.control import vm_list
from wisteriawall.observability import metrics
from wisteriawall.settings import parsers
from wisteriawall.settings import program_settings
from wisteriawall.web import server as server_lib

__all__ = ["control"]


def control(
    replica: Annotated[
        str,
        typer.Option(
            envvar="WISTERIAWALL_REPLICA", help="Name of this replica."
        ),
    ],
    peers: Annotated[
        str,
        typer.Option(
            envvar="WISTERIAWALL_PEERS",
            help="Every replica's peer address: NAME=HOST:PORT,...",
        ),
    ],
    rpc: Annotated[
        str,
        typer.Option(
            envvar="WISTERIAWALL_RPC",
            help="RPC address for entries and agents: HOST:PORT.",
        ),
    ],
    admin: Annotated[
        str,
        typer.Option(
            envvar="WISTERIAWALL_ADMIN",
            help="HTTP address for operators: HOST:PORT.",
        ),
    ],
    data: Annotated[
        pathlib.Path,
        typer.Option(
            envvar="WISTERIAWALL_DATA",
            help="Data folder; no other replica may use it.",
        ),
    ],
    cluster_key: options.ClusterKey = "",
    bootstrap: Annotated[
        bool,
        typer.Option(
            envvar="WISTERIAWALL_BOOTSTRAP",
            help="Create a new cluster of --peers if the data folder is empty.",
        ),
    ] = False,
    cluster: Annotated[
        str,
        typer.Option(
            envvar="WISTERIAWALL_CLUSTER",
            help="Name of the cluster that the data folder belongs to.",
        ),
    ] = shell_lib.DEFAULT_CLUSTER,
    statsd: options.Statsd = "",
    admin_peers: Annotated[
        str,
        typer.Option(
            envvar="WISTERIAWALL_ADMIN_PEERS",
            help="Every replica's operator address: NAME=HOST:PORT,...",
        ),
    ] = "",
    operators: Annotated[
        str,
        typer.Option(
            envvar="WISTERIAWALL_OPERATORS",
            help='Operator names by SHA-256 of the token: {"<hex>": "name"}.',
        ),
    ] = "",
    vm_list_url: Annotated[
        str,
        typer.Option(
            "--vm-list",
            envvar="WISTERIAWALL_VM_LIST",
            help="URL of the VM list of the platform; empty reads none.",
        ),
    ] = "",
) -> None:
    """Run one control replica: consensus, configuration and orders."""
    settings = program_settings.ControlSettings(
        replica=replica,
        peers=peers,
        rpc=rpc,
        admin=admin,
        admin_peers=admin_peers,
        data=data,
        key=cluster_key,
        statsd=statsd,
        operators=operators,
    )
    lifecycle.check(settings)
    peer_address_by_replica = parsers.parse_addresses("--peers", peers)
    shell = shell_lib.ControlShell(
        replica=replica,
        peer_address_by_replica=peer_address_by_replica,
        rpc_address=rpc,
        folder=data,
        key=parsers.parse_key("WISTERIAWALL_CLUSTER_KEY", cluster_key),
        incarnation=lifecycle.new_incarnation(),
        metrics=metrics.make_metrics(
            address=statsd, process_name=f"control.{replica}"
        ),
        bootstrap=bootstrap,
        cluster=cluster,
        on_failure=lambda: os.kill(os.getpid(), signal.SIGTERM),
        tolerated_losses=max(1, (len(peer_address_by_replica) - 1) // 2),
    )
    app = admin_lib.AdminApp(
        shell=shell,
        address_by_replica=_parse_admin_peers(admin_peers, replica, admin),
        operator_by_token_digest=settings.operator_by_token_digest(),
    )
    admin_server = server_lib.HttpServer(address=admin, app=app)
    vm_list_reader = None
    if vm_list_url:
        vm_list_reader = vm_list.VmListReader(
            url=vm_list_url, deliver=shell.accept_vm_list
        )

    def start() -> None:
        shell.start()
        admin_server.start()
        if vm_list_reader is not None:
            vm_list_reader.start()

    def stop() -> None:
        if vm_list_reader is not None:
            vm_list_reader.stop()
        admin_server.stop()
        shell.stop()

    lifecycle.run_until_signalled(
        start=start,
        stop=stop,
        ready_message=f"control: operators at {admin_server.address}",
    )
    lifecycle.end_process()


def _parse_admin_peers(
    addresses: str, replica: str, own_address: str
) -> dict[str, str]:
    if not addresses:
        return {replica: own_address}
    return parsers.parse_addresses("--admin-peers", addresses)
