"""`wisteriawall platform`: run the programs from the platform's settings."""

import logging
import os
import pathlib
import secrets
import signal
from typing import Annotated

import typer

from wisteriawall.commands import options
from wisteriawall.commands import serving
from wisteriawall.control import joining
from wisteriawall.control import shell as control_shell
from wisteriawall.control import upstream_reader
from wisteriawall.gateway import shell as gateway_shell
from wisteriawall.gateway import state as gateway_state
from wisteriawall.observability import decisions
from wisteriawall.observability import exposition
from wisteriawall.observability import metrics as metrics_lib
from wisteriawall.platform import headers
from wisteriawall.platform import operators
from wisteriawall.platform import runners
from wisteriawall.platform import settings as settings_lib
from wisteriawall.settings import checks
from wisteriawall.storage import data_folder
from wisteriawall.web import server as server_lib
from wisteriawall.wire import control_client
from wisteriawall.wire import envelope
from wisteriawall.wire import raft_messages
from wisteriawall.wire import site_messages

__all__ = ["app"]

OPERATOR_THREADS = 8
NAME_BYTES = 4

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
)


@app.command()
def gateway(
    cluster_key: options.ClusterKey = "", metrics_port: MetricsPort = 0
) -> None:
    """Forward callers' requests to the runners."""
    settings = settings_lib.load()
    key = checks.parse_key("WISTERIAWALL_CLUSTER_KEY", cluster_key)
    log = _log(settings, "gateway")
    metrics = _metrics(settings, metrics_port)
    shell = gateway_shell.GatewayShell(
        identity=gateway_shell.Identity(
            name=settings.node_name,
            zone=settings.zone,
            incarnation=serving.incarnation(),
            listen=settings.listen_addresses.frontend,
            ready=settings.listen_addresses.ready,
            news=settings.news_address,
        ),
        control=settings.seed_rpc_by_replica(),
        key=key,
        dialect=headers.PlatformDialect(),
        budget=settings.retry_budget,
        tuning=gateway_state.Tuning(),
        log=log,
        metrics=metrics,
        grace_ms=settings.grace_ms,
    )
    serving.run_until_signalled(
        start=shell.start,
        stop=shell.stop,
        line="",
        reload=lambda: shell.follow_seeds(
            settings_lib.load().seed_rpc_by_replica()
        ),
    )


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
    settings = settings_lib.load()
    key = checks.parse_key("WISTERIAWALL_CLUSTER_KEY", cluster_key)
    log = _log(settings, "control")
    metrics = _metrics(settings, metrics_port)
    if data is None and not settings.data_directory:
        _redirect_to_seeds(settings, log)
        return
    folder = data or pathlib.Path(settings.data_directory or "")
    incarnation = serving.incarnation()
    founders = _founders(settings)
    replica = data_folder.owner(folder) or _new_name(settings, bool(founders))
    shell = control_shell.ControlShell(
        replica=replica,
        peer_address_by_replica={replica: settings.peer_address},
        rpc_address=settings.rpc_address,
        folder=folder,
        key=key,
        incarnation=incarnation,
        bootstrap=bool(founders),
        founders=founders,
        metrics=metrics,
        on_failure=lambda: os.kill(os.getpid(), signal.SIGTERM),
    )
    client = control_client.ControlClient(
        address_by_replica=settings.seed_rpc_by_replica(),
        key=key,
        sender=envelope.Sender(replica, incarnation),
    )
    join = joining.Joining(
        replica=shell,
        request=site_messages.JoinReplicas(
            replica,
            settings.peer_address,
            settings.rpc_address,
            settings.listen_addresses.control,
        ),
        client=client,
    )
    reader = upstream_reader.UpstreamReader(
        leader=shell,
        read=runners.RunnerList(address=settings.cloud_api.address).read,
    )
    http = server_lib.HttpServer(
        address=settings.listen_addresses.control,
        app=operators.OperatorApp(shell=shell),
        threads=OPERATOR_THREADS,
    )

    def start() -> None:
        shell.start()
        http.start()
        join.start()
        reader.start()
        log.write("start", inputs={"replica": replica, "folder": str(folder)})

    def stop() -> None:
        log.write("stopping", inputs={"replica": replica})
        reader.stop()
        join.stop()
        http.stop()
        shell.stop()
        log.close()

    serving.run_until_signalled(
        start=start,
        stop=stop,
        line="",
        reload=lambda: client.follow(settings_lib.load().seed_rpc_by_replica()),
    )


def _redirect_to_seeds(
    settings: settings_lib.Settings, log: decisions.DecisionLog
) -> None:
    """Serve operators on a VM without a disk, which can hold no replica."""
    http = server_lib.HttpServer(
        address=settings.listen_addresses.control,
        app=operators.SeedRedirect(seeds=settings.seeds),
        threads=OPERATOR_THREADS,
    )
    log.write("start", inputs={"replica": "", "reason": "no data folder"})
    serving.run_until_signalled(start=http.start, stop=http.stop, line="")
    log.close()


def _founders(
    settings: settings_lib.Settings,
) -> tuple[raft_messages.Member, ...]:
    """Return the members of the cluster that this replica founds, if any."""
    own = settings.listen_addresses.control
    if not settings.bootstrap or own not in settings.seeds:
        return ()
    return settings.seed_members()


def _new_name(settings: settings_lib.Settings, is_founder: bool) -> str:
    """Return the name of a replica whose data folder is empty.

    A founder is known by its host. Any other name must be new: the replica
    that had this host before may have acknowledged what is lost here.
    """
    if is_founder:
        return settings.ip_address
    return f"{settings.ip_address}-{secrets.token_hex(NAME_BYTES)}"


def _metrics(settings: settings_lib.Settings, port: int) -> metrics_lib.Metrics:
    if not port:
        return metrics_lib.NoMetrics()
    served = exposition.Exposition(address=f"{settings.ip_address}:{port}")
    served.start()
    return served


def _log(
    settings: settings_lib.Settings, program: str
) -> decisions.DecisionLog:
    log = decisions.DecisionLog(process=f"{program}/{settings.node_name}")
    root = logging.getLogger()
    root.handlers = [decisions.LineHandler(log)]
    root.setLevel(logging.INFO)
    return log
