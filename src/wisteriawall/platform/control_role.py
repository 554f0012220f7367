"""Control role: a control replica, or a redirect on VMs without a disk."""

import os
import pathlib
import secrets
import signal

from wisteriawall import clock
from wisteriawall.commands import lifecycle
from wisteriawall.control import duty_sender
from wisteriawall.control import joining
from wisteriawall.control import shell as control_shell
from wisteriawall.control import upstream_reader
from wisteriawall.observability import decisions
from wisteriawall.observability import metrics as metrics_lib
from wisteriawall.platform import duties
from wisteriawall.platform import operators
from wisteriawall.platform import roles
from wisteriawall.platform import runners
from wisteriawall.platform import settings as settings_lib
from wisteriawall.storage import data_folder
from wisteriawall.web import memory_budget
from wisteriawall.web import server as server_lib
from wisteriawall.wire import control_client
from wisteriawall.wire import envelope
from wisteriawall.wire import gateway_messages
from wisteriawall.wire import raft_messages

__all__ = ["run"]

OPERATOR_THREADS = 8
NAME_SUFFIX_BYTES = 4


def run(*, key: bytes, metrics_port: int, data: pathlib.Path | None) -> None:
    """Run the control role until SIGTERM.

    Without a data folder, operators' calls are redirected to the seeds.

    Args:
        key: Shared cluster key.
        metrics_port: Port of /metrics; 0 serves none.
        data: Data folder, overrides that of the settings file.

    Raises:
        settings_lib.SettingsInvalid: The settings file can't be read.
    """
    settings = settings_lib.load()
    log = roles.open_log(settings, "control")
    with roles.end_on_failure(log):
        memory = roles.open_memory(settings)
        metrics = roles.open_metrics(settings, metrics_port, memory)
        if data is None and not settings.data_directory:
            _redirect_to_seeds(settings, log, metrics, memory)
        else:
            folder = data or pathlib.Path(settings.data_directory or "")
            _run_replica(settings, folder, key, log, metrics, memory)


def _run_replica(
    settings: settings_lib.Settings,
    folder: pathlib.Path,
    key: bytes,
    log: decisions.DecisionLog,
    metrics: metrics_lib.Metrics,
    memory: memory_budget.MemoryBudget,
) -> None:
    """Run a control replica until SIGTERM."""
    incarnation = lifecycle.new_incarnation()
    founders = _founding_members(settings)
    replica = data_folder.read_owner(folder) or _new_replica_name(
        settings, bool(founders)
    )

    def write_decision(decision: str, inputs: dict[str, object]) -> None:
        log.write(decision, inputs=inputs)

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
        process_started_ms=clock.PROCESS_STARTED_MS,
        on_failure=lambda: os.kill(os.getpid(), signal.SIGTERM),
        usage_settings=duties.usage_settings(settings),
        on_decision=write_decision,
        tolerated_losses=settings.tolerated_losses,
    )
    client = control_client.ControlClient(
        address_by_replica=settings.seed_rpc_by_replica(),
        key=key,
        sender=envelope.Sender(replica, incarnation),
    )
    joiner = joining.ClusterJoiner(
        replica=shell,
        request=gateway_messages.JoinRequest(
            replica,
            settings.peer_address,
            settings.rpc_address,
            settings.listen_addresses.control,
        ),
        client=client,
    )
    list_reader = upstream_reader.UpstreamReader(
        leader=shell,
        read=runners.RunnerListClient(
            address=settings.cloud_api.address, metrics=metrics
        ).read,
    )
    sender = duty_sender.DutySender(
        leader=shell,
        holder=settings.node_name,
        settings=duties.duty_settings(settings),
        send_usage=duties.DutyClient(
            address=settings.cloud_api.address, holder=settings.node_name
        ).send_usage,
        on_decision=write_decision,
        metrics=metrics,
    )
    http = server_lib.HttpServer(
        address=settings.listen_addresses.control,
        app=operators.OperatorApp(shell=shell),
        threads=OPERATOR_THREADS,
        budget=memory,
    )

    def start() -> None:
        shell.start()
        http.start()
        joiner.start()
        list_reader.start()
        if duties.usage_settings(settings) is not None:
            sender.start()
        log.write("start", inputs={"replica": replica, "folder": str(folder)})

    def stop() -> None:
        log.write("stopping", inputs={"replica": replica})
        sender.stop()
        list_reader.stop()
        joiner.stop()
        client.close()
        http.stop()
        shell.stop()
        metrics.close()
        log.write("stopped", inputs={"replica": replica})
        log.close()

    lifecycle.run_until_signalled(
        start=start,
        stop=stop,
        ready_message="",
        reload=lambda: client.set_replicas(
            settings_lib.load().seed_rpc_by_replica()
        ),
    )


def _redirect_to_seeds(
    settings: settings_lib.Settings,
    log: decisions.DecisionLog,
    metrics: metrics_lib.Metrics,
    memory: memory_budget.MemoryBudget,
) -> None:
    """Redirect operators to the seeds: without a disk there is no replica."""
    redirect = operators.SeedRedirect(seeds=settings.seeds)
    http = server_lib.HttpServer(
        address=settings.listen_addresses.control,
        app=redirect,
        threads=OPERATOR_THREADS,
        budget=memory,
    )

    def reload() -> None:
        seeds = settings_lib.load().seeds
        redirect.set_seeds(seeds)
        log.write("reload", inputs={"seeds": seeds})

    log.write("start", inputs={"replica": "", "reason": "no data folder"})
    lifecycle.run_until_signalled(
        start=http.start, stop=http.stop, ready_message="", reload=reload
    )
    metrics.close()
    log.write("stopped", inputs={"replica": ""})
    log.close()


def _founding_members(
    settings: settings_lib.Settings,
) -> tuple[raft_messages.Member, ...]:
    """Return the initial members if this replica bootstraps the cluster."""
    own_address = settings.listen_addresses.control
    if not settings.bootstrap or own_address not in settings.seeds:
        return ()
    return settings.seed_members()


def _new_replica_name(settings: settings_lib.Settings, is_founder: bool) -> str:
    """Return the name of a replica whose data folder is empty.

    An initial member is named after its host. Any other replica needs an unused
    name: an earlier replica on this host may have acknowledged log entries that
    were lost with its data folder.
    """
    if is_founder:
        return settings.ip_address
    return f"{settings.ip_address}-{secrets.token_hex(NAME_SUFFIX_BYTES)}"
