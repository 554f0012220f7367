"""Gateway role: run a gateway with the platform's settings file."""

from wisteriawall.commands import lifecycle
from wisteriawall.gateway import shell as gateway_shell
from wisteriawall.gateway import state as gateway_state
from wisteriawall.platform import headers
from wisteriawall.platform import roles
from wisteriawall.platform import settings as settings_lib

__all__ = ["run"]


def run(*, key: bytes, metrics_port: int) -> None:
    """Run the gateway until SIGTERM; on a reload, read the seeds again.

    Raises:
        settings_lib.SettingsInvalid: The settings file can't be read.
    """
    settings = settings_lib.load()
    log = roles.open_log(settings, "gateway")
    memory = roles.open_memory(settings)
    with roles.end_on_failure(log):
        shell = gateway_shell.GatewayShell(
            identity=gateway_shell.Identity(
                name=settings.node_name,
                zone=settings.zone,
                incarnation=lifecycle.new_incarnation(),
                listen_address=settings.listen_addresses.frontend,
                ready_address=settings.listen_addresses.ready,
                load_address=settings.load_address,
                table_address=settings.table_address,
            ),
            control_address_by_replica=settings.seed_rpc_by_replica(),
            key=key,
            dialect=headers.PlatformDialect(),
            budget=settings.retry_budget,
            tuning=gateway_state.Tuning(
                revoke_ms=settings.revoke_ms,
                config_ms=settings.bounds.config_ms,
            ),
            log=log,
            metrics=roles.open_metrics(settings, metrics_port, memory),
            grace_ms=settings.grace_ms,
            usage_window_ms=settings.usage_window_ms,
            memory=memory,
            is_restart=not settings.bootstrap,
        )
        lifecycle.run_until_signalled(
            start=shell.start,
            stop=shell.stop,
            ready_message="",
            reload=lambda: shell.set_seeds(
                settings_lib.load().seed_rpc_by_replica()
            ),
        )
