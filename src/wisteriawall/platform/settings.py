"""Settings file that the platform writes for each process."""

import math
import os
import pathlib
from typing import final

import msgspec

from wisteriawall import errors
from wisteriawall.policy import retry_window
from wisteriawall.wire import raft_messages

__all__ = ["SETTINGS_VARIABLE", "Settings", "SettingsInvalid", "load"]

SETTINGS_VARIABLE = "WISTERIAWALL_SETTINGS"
MS_PER_S = 1_000
USAGE_DUTY = "usage_reporting"
MAX_WINDOW_S = 86_400.0
# Offsets from the first port of `internal_ports`.
PEER_PORT_OFFSET = 0
RPC_PORT_OFFSET = 1
LOAD_PORT_OFFSET = 2
TABLE_PORT_OFFSET = 3


@final
class SettingsInvalid(errors.UsageError):
    """The settings file is missing or malformed."""


@final
class _CloudApi(msgspec.Struct, frozen=True):
    """The platform's own interface.

    `duties` names the duties of one node at a time, `duty_per_s` how many of
    their calls are accepted a second from all nodes together.
    """

    address: str
    duties: list[str] = []
    duty_per_s: float = 0.0


@final
class _ListenAddresses(msgspec.Struct, frozen=True):
    frontend: str = ""
    ready: str = ""
    control: str = ""


@final
class _Bounds(msgspec.Struct, frozen=True):
    """Timeouts and retry limits of the deployment; `_s` is in seconds."""

    grace_s: float = 8.0
    budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    # Retries allowed in addition to the ratio, shared by all gateways.
    retry_budget_slack: float = 0.0
    # How long after its acknowledgement a change must be in force.
    config_ms: int = 2_000
    # Whether a withdrawn key is refused by every process after `revoke_ms`.
    strict_revocation: bool = False
    revoke_ms: int = 5_000
    lease_ms: int = 3_000
    thaw_ms: int = 300
    # Length of a window of the usage report, when its report is due after its
    # end, and the share by which its counts may be off.
    window_s: float = 5.0
    usage_late_s: float = 10.0
    usage_tolerance: float = 0.05


@final
class _FaultTolerance(msgspec.Struct, frozen=True):
    """Machines, zones or regions that may be lost at the same time."""

    machines: int = 1
    zones: int = 0
    regions: int = 0


@final
class _Limits(msgspec.Struct, frozen=True):
    """Resources of the process's VM; 0 if they are not stated."""

    cpu_share: float = 0.0
    memory_mb: int = 0
    file_descriptors: int = 0
    link_mbps: float = 0.0


@final
class Settings(msgspec.Struct, frozen=True):
    """Settings of a process and of its deployment."""

    node_name: str
    ip_address: str
    zone: str
    # Operator addresses of up to three control replicas.
    seeds: list[str]
    # First and last port for connections between the system's processes.
    internal_ports: tuple[int, int]
    cloud_api: _CloudApi
    listen_addresses: _ListenAddresses = _ListenAddresses()
    # Whether the system starts for the first time, with empty disks.
    bootstrap: bool = False
    data_directory: str | None = None
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    fault_tolerance: _FaultTolerance = _FaultTolerance()

    @property
    def tolerated_losses(self) -> int:
        """Return how many control replicas may be lost at the same time."""
        tolerance = self.fault_tolerance
        return max(1, tolerance.machines, tolerance.zones, tolerance.regions)

    @property
    def peer_address(self) -> str:
        """Return the address at which other replicas reach this replica."""
        return self._internal_address(self.ip_address, PEER_PORT_OFFSET)

    @property
    def rpc_address(self) -> str:
        """Return the address at which gateways reach this replica."""
        return self._internal_address(self.ip_address, RPC_PORT_OFFSET)

    @property
    def load_address(self) -> str:
        """Return the address that receives load datagrams of gateways."""
        return self._internal_address(self.ip_address, LOAD_PORT_OFFSET)

    @property
    def table_address(self) -> str:
        """Return the address that serves routing tables to gateways."""
        return self._internal_address(self.ip_address, TABLE_PORT_OFFSET)

    @property
    def grace_ms(self) -> int:
        """Return the milliseconds between SIGTERM and SIGKILL."""
        return round(self.bounds.grace_s * MS_PER_S)

    @property
    def revoke_ms(self) -> int | None:
        """Return for how long a key may be used after its removal.

        None if that is not limited.
        """
        return self.bounds.revoke_ms if self.bounds.strict_revocation else None

    @property
    def retry_budget(self) -> retry_window.RetryBudgetSettings:
        """Return the retry limits, shared by all gateways of the deployment."""
        return retry_window.RetryBudgetSettings(
            window_ms=round(self.bounds.budget_window_s * MS_PER_S),
            ratio=self.bounds.budget_ratio,
            slack=self.bounds.retry_budget_slack,
        )

    @property
    def usage_window_ms(self) -> int:
        """Return the length of a window of usage, 0 if none is reported."""
        window_s = self.bounds.window_s
        is_valid = math.isfinite(window_s) and 0 < window_s <= MAX_WINDOW_S
        if USAGE_DUTY not in self.cloud_api.duties or not is_valid:
            return 0
        return round(window_s * MS_PER_S)

    def seed_members(self) -> tuple[raft_messages.Member, ...]:
        """Return the seeds as replicas, each named after its host."""
        return tuple(
            raft_messages.Member(
                host,
                self._internal_address(host, PEER_PORT_OFFSET),
                self._internal_address(host, RPC_PORT_OFFSET),
                seed,
            )
            for seed in sorted(self.seeds)
            for host in [seed.rpartition(":")[0]]
        )

    def seed_rpc_by_replica(self) -> dict[str, str]:
        """Return the RPC address of each seed by replica name."""
        return {m.replica: m.rpc_address for m in self.seed_members()}

    def _internal_address(self, host: str, offset: int) -> str:
        return f"{host}:{self.internal_ports[0] + offset}"


def load() -> Settings:
    """Return the settings from the file that WISTERIAWALL_SETTINGS names.

    Raises:
        SettingsInvalid: The file is missing or malformed.
    """
    name = os.environ.get(SETTINGS_VARIABLE, "")
    if not name:
        raise SettingsInvalid(
            f"{SETTINGS_VARIABLE}: not set, expected the settings file's path"
        )
    try:
        data = pathlib.Path(name).read_bytes()
        return msgspec.json.decode(data, type=Settings)
    except (OSError, msgspec.DecodeError, RecursionError) as error:
        raise SettingsInvalid(f"settings file {name}: {error}") from error
