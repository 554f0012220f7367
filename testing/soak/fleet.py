"""Control replicas and gateways as processes, restarted when they end."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time
from typing import Any
from typing import final

from support import duty_platform
from support import odd_entries

from soak import accounts
from soak import budget
from soak import core_history
from soak import disks
from soak import links as links_lib
from soak import proxied
from soak import records
from soak import schedule
import wisteriawall
from wisteriawall.platform import settings as settings_lib
from wisteriawall.web import server as server_lib

GRACE_S = 8.0
ODD_ENTRIES = list(odd_entries.odd_entry_by_name.values())
MAX_ODD_ENTRIES = 3
OVERLOADED_STATUS = 429
DUTY_STATUSES = (200, 200, 200, 500, OVERLOADED_STATUS)
KEY = "6f" * 32
FIRST_HOST = 2
HOSTS_PER_BLOCK = 250
INTERNAL_PORTS = proxied.PORT_SHIFT
# Servers of the two roles, as offsets from the first internal port.
SERVER_OFFSETS_BY_ROLE = {
    "control": (settings_lib.PEER_PORT_OFFSET, settings_lib.RPC_PORT_OFFSET),
    "gateway": (settings_lib.TABLE_PORT_OFFSET,),
}
ABORT_S = 0.3
RESTART_PAUSE_S = 0.05
# Longer than any soak.
REMOVED_S = 86_400.0
SOURCE_FOLDER = pathlib.Path(wisteriawall.__file__).parent.parent
TESTING_FOLDER = pathlib.Path(__file__).parent.parent


@final
class RunnerList:
    """Stand-in of the platform's list of runners and of its duty calls.

    Each answer has some odd entries among the others, as of another writer.
    Some duty calls fail, before or after they took effect.

    Args:
        entries: Returns the entries of the list.
        seed: Seed of the odd entries, and of the duty calls that fail.
        seen: Records that get the duty calls.
    """

    def __init__(
        self,
        entries: Callable[[], list[dict[str, Any]]],
        *,
        seed: int,
        seen: records.Records,
    ) -> None:
        self._entries = entries
        self._seen = seen
        self._chance = random.Random(seed)
        self._server = server_lib.HttpServer(
            address="127.0.0.1:0", app=self._serve, threads=2
        )
        self._server.start()
        self.address = self._server.address

    def close(self) -> None:
        """Release the address."""
        self._server.stop()

    def _serve(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        if environ["REQUEST_METHOD"] == "POST":
            return self._take_duty(environ, start_response)
        # Every other call is for the whole list.
        entries = [json.dumps(entry) for entry in self._entries()]
        for _ in range(self._chance.randint(0, MAX_ODD_ENTRIES)):
            odd = self._chance.choice(ODD_ENTRIES)
            entries.insert(self._chance.randint(0, len(entries)), odd)
        return server_lib.send_response(
            start_response, status=200, body=odd_entries.page(*entries)
        )

    def _take_duty(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        headers = {
            name.lower(): value
            for name, value in server_lib.raw_headers(environ).items()
        }
        call = duty_platform.DutyCall(
            at_ms=round(time.monotonic() * 1_000),
            path=environ["PATH_INFO"],
            holder=headers["x-wisteriawall-duty-holder"],
            token=int(headers["x-wisteriawall-fencing-token"]),
            body=server_lib.read_body(environ),
        )
        status = self._chance.choice(DUTY_STATUSES)
        self._seen.duty_calls.append((call, status != OVERLOADED_STATUS))
        return server_lib.send_response(
            start_response, status=status, body=b"{}"
        )


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """Ports that every machine uses, each at its own address."""

    frontend: int
    ready: int
    control: int
    internal: int


def find_ports(hosts: list[str]) -> Ports:
    """Return ports that are free at all hosts.

    Nothing else listens at these addresses, and outgoing connections leave
    from 127.0.0.1, so the ports stay free.
    """
    while True:
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            first: int = probe.getsockname()[1]
        ports = range(first, first + 3 + 2 * INTERNAL_PORTS)
        if ports[-1] < 65_536 and all(
            _is_free(host, port) for host in hosts for port in ports
        ):
            return Ports(first, first + 1, first + 2, first + 3)


def _host(number: int) -> str:
    """Return a loopback address that other runs at the same time don't use."""
    pid = os.getpid()
    block, last = divmod(number, HOSTS_PER_BLOCK)
    network = (1 + pid // 200 % 200 + block) % 255
    return f"127.{network}.{pid % 200}.{FIRST_HOST + last}"


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


@final
class _Program:
    """A process of the system. Signals go to it alone, never to a later pid."""

    def __init__(
        self,
        role: str,
        settings: pathlib.Path,
        log_path: pathlib.Path,
        environment: dict[str, str],
    ) -> None:
        with log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "soak.proxied", role],
                env=os.environ
                | environment
                | {
                    settings_lib.SETTINGS_VARIABLE: str(settings),
                    "WISTERIAWALL_CLUSTER_KEY": KEY,
                    "WISTERIAWALL_METRICS_PORT": "0",
                    "PYTHONPATH": f"{SOURCE_FOLDER}:{TESTING_FOLDER}",
                    # SIGABRT writes the stacks of all threads to the log.
                    "PYTHONFAULTHANDLER": "1",
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.pid = self._process.pid
        self._pidfd = os.pidfd_open(self.pid)
        self._is_open = True

    def signal(self, number: signal.Signals) -> bool:
        """Send a signal; return whether the process was there."""
        if not self._is_open:
            return False
        try:
            signal.pidfd_send_signal(self._pidfd, number)
        except ProcessLookupError:
            return False
        return True

    def wait(self) -> int:
        """Wait for the end; return the exit code."""
        return self._process.wait()

    def close(self) -> None:
        """Send no more signals."""
        self._is_open = False
        os.close(self._pidfd)


@final
class Node:
    """One program on its own address, restarted as soon as it ends.

    Args:
        name: Name of the node.
        role: `gateway` or `control`.
        settings: Path of its settings file, as the first start reads it.
        log: Path of its log.
        seen: Records that get its starts, signals and ends.
        data: Data folder of a control replica.
        environment: Further variables of its environment.
    """

    def __init__(
        self,
        *,
        name: str,
        role: str,
        settings: pathlib.Path,
        log: pathlib.Path,
        seen: records.Records,
        data: pathlib.Path | None = None,
        environment: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self.log_path = log
        self._role, self._settings, self._seen = role, settings, seen
        self._data = data
        self._environment = environment or {}
        self._loses_disk = False
        self._is_finishing = False
        self._lock = threading.Lock()
        self._program: _Program | None = None
        self._watcher = threading.Thread(target=self._keep_running)

    def start(self) -> None:
        """Start the program."""
        self._watcher.start()

    def finish(self) -> None:
        """End the program for good, by SIGTERM first."""
        with self._lock:
            self._is_finishing = True
        self.terminate()

    def remove(self, *, with_term: bool) -> None:
        """Remove the machine for good, with SIGTERM or SIGKILL."""
        with self._lock:
            self._is_finishing = True
            self._seen.incidents.append(
                records.Incident(
                    self.name, records.Change.REMOVED, time.monotonic()
                )
            )
        if with_term:
            self.terminate()
        else:
            self.kill()

    def lose_disk(self) -> None:
        """Send SIGKILL, and restart with an empty data folder."""
        with self._lock:
            self._loses_disk = True
        if self._signal(signal.SIGKILL, records.Change.KILL) is None:
            self._loses_disk = False

    def set_seeds(self, seeds: list[str]) -> None:
        """Write new seeds to the settings file, without a signal."""
        with self._lock:
            _change_settings(self._settings, {"seeds": seeds})

    def last_start_s(self) -> float:
        """Return when the program had started last, by its log.

        Infinity if it has not started since its process was.
        """
        started_s = max(
            (
                incident.at_s
                for incident in list(self._seen.incidents)
                if incident.name == self.name
                and incident.change is records.Change.START
            ),
            default=float("inf"),
        )
        if not self.log_path.exists():
            return float("inf")
        offset_s = time.time() - time.monotonic()
        for line in reversed(self.log_path.read_bytes().splitlines()):
            # A killed process may not have written the whole line.
            if b'"decision":"start"' in line and line.endswith(b"}"):
                at_s = json.loads(line)["t"] / 1_000 - offset_s
                return float(at_s) if at_s >= started_s else float("inf")
        return float("inf")

    def join(self) -> None:
        """Wait for the end after `finish`."""
        if self._watcher.ident is None:
            return  # It was never started.
        self._watcher.join(2 * GRACE_S)
        if self._watcher.is_alive():
            raise AssertionError(f"{self.name} is still running")

    def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL at the end of the grace period."""
        program = self._signal(signal.SIGTERM, records.Change.TERM)
        if program is not None:
            timer = threading.Timer(GRACE_S, self._end_grace, (program,))
            timer.daemon = True
            timer.start()

    def reload(self) -> None:
        """Send SIGHUP."""
        self._signal(signal.SIGHUP, records.Change.HUP)

    def kill(self) -> None:
        """Send SIGKILL."""
        self._signal(signal.SIGKILL, records.Change.KILL)

    def freeze(self, for_s: float) -> None:
        """Send SIGSTOP, and SIGCONT to the same process later."""
        program = self._signal(signal.SIGSTOP, records.Change.FREEZE)
        if program is not None:
            timer = threading.Timer(for_s, self._thaw, (program,))
            timer.daemon = True
            timer.start()

    def _thaw(self, program: _Program) -> None:
        self._signal(signal.SIGCONT, records.Change.THAW, only=program)

    def _end_grace(self, program: _Program) -> None:
        """Write the stacks of all threads to the log, then send SIGKILL."""
        if self._signal(
            signal.SIGABRT, records.Change.GRACE_KILL, only=program
        ):
            time.sleep(ABORT_S)
            with self._lock:
                program.signal(signal.SIGKILL)

    def _signal(
        self,
        number: signal.Signals,
        change: records.Change,
        only: _Program | None = None,
    ) -> _Program | None:
        """Signal the running program, or none if it isn't the one of `only`.

        Return the program that got the signal.
        """
        with self._lock:
            program = self._program
            if program is None or (only is not None and program is not only):
                return None
            at_s = time.monotonic()
            if not program.signal(number):
                return None
            self._add(change, at_s, program)
            return program

    def _add(
        self,
        change: records.Change,
        at_s: float,
        program: _Program,
        code: int = 0,
    ) -> None:
        self._seen.incidents.append(
            records.Incident(self.name, change, at_s, program.pid, code)
        )

    def _keep_running(self) -> None:
        while (program := self._start_program()) is not None:
            code = program.wait()
            with self._lock:
                self._add(records.Change.END, time.monotonic(), program, code)
                program.close()
                _change_settings(self._settings, {"bootstrap": False})
                if self._loses_disk and self._data is not None:
                    self._loses_disk = False
                    shutil.rmtree(self._data, ignore_errors=True)
                    self._add(
                        records.Change.DISK_LOST, time.monotonic(), program
                    )
            time.sleep(RESTART_PAUSE_S)

    def _start_program(self) -> _Program | None:
        with self._lock:
            if self._is_finishing:
                return None
            at_s = time.monotonic()
            self._program = _Program(
                self._role, self._settings, self.log_path, self._environment
            )
            self._add(records.Change.START, at_s, self._program)
            return self._program


def _change_settings(path: pathlib.Path, changes: dict[str, Any]) -> None:
    """Change a settings file; a process never reads a part of it."""
    settings = json.loads(path.read_text()) | changes
    written = path.with_suffix(".new")
    written.write_text(json.dumps(settings))
    written.replace(path)


@final
class Fleet:
    """All processes of the system in a soak.

    Args:
        folder: Folder of settings files, data folders and logs.
        gateways: Number of gateways.
        replicas: Number of control replicas.
        spares: Number of further replicas, which are started later.
        slow_syncs_ms: Least and most time that each sync of a replica waits.
        list_address: Address of the list of runners.
        seen: Records of what happens to the processes.
        link_bytes_s: Bytes a second that fit through the link of each machine,
            0 for no limit.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        gateways: int,
        replicas: int,
        list_address: str,
        seen: records.Records,
        link_bytes_s: int = 0,
        spares: int = 0,
        slow_syncs_ms: tuple[float, float] | None = None,
    ) -> None:
        count = replicas + gateways
        hosts = [_host(number) for number in range(count + spares)]
        hosts_of_replicas = hosts[:replicas] + hosts[count:]
        self._seen = seen
        self._folder, self._list_address = folder, list_address
        self._slow_syncs_ms = slow_syncs_ms
        self._ports = find_ports(hosts)
        self._seeds = [
            f"{host}:{self._ports.control}" for host in hosts[:replicas][:3]
        ]
        self.replica_address_by_name = {
            f"c{number}": f"{host}:{self._ports.control}"
            for number, host in enumerate(hosts_of_replicas, start=1)
        }
        # Operators' list of replicas.
        self.listed = [f"c{number + 1}" for number in range(replicas)]
        self._founders = frozenset(self.listed)
        self._spares = [
            name
            for name in self.replica_address_by_name
            if name not in self.listed
        ]
        self.gateway_address_by_name = {
            f"g{number}": f"{host}:{self._ports.frontend}"
            for number, host in enumerate(hosts[replicas:count], start=1)
        }
        self.ready_address_by_name = {
            f"g{number}": f"{host}:{self._ports.ready}"
            for number, host in enumerate(hosts[replicas:count], start=1)
        }
        self.links = links_lib.Links(
            link_bytes_s,
            {
                proxied.source_host(address.rpartition(":")[0]): name
                for name, _, address in self._programs()
            },
        )
        for name, role, address in self._programs():
            self._add_links(name, role, address)
        (folder / "logs").mkdir(parents=True)
        self.node_by_name = {
            name: self._make_node(name, role, address, seen)
            for name, role, address in self._programs()
        }

    def start(self) -> None:
        """Start all processes, after the links between them."""
        self.links.start()
        for name, node in self.node_by_name.items():
            if name not in self._spares:
                node.start()

    def start_spare(self) -> None:
        """Start a further replica, with an empty disk, and list it."""
        name = self._spares.pop(0)
        node = self.node_by_name[name]
        node.set_seeds(self.newest_seeds())
        node.start()
        self.listed = [*self.listed, name]

    def remove_replica(self, name: str, *, how: schedule.Removal) -> None:
        """Remove a replica for good, and from the operators' list."""
        self.listed = [other for other in self.listed if other != name]
        if how is schedule.Removal.SILENT:
            # Its connections don't end with it.
            pairs = [(name, other) for other in self.node_by_name]
            self.links.cut(pairs, REMOVED_S)
        self.node_by_name[name].remove(
            with_term=how is schedule.Removal.STOPPED
        )

    def newest_seeds(self) -> list[str]:
        """Return the addresses of the last three replicas that are listed."""
        return [self.replica_address_by_name[name] for name in self.listed[-3:]]

    def write_seeds(self) -> None:
        """Write the newest seeds to all settings files."""
        for node in self.node_by_name.values():
            node.set_seeds(self.newest_seeds())

    def cut(self, pairs: list[tuple[str, str]], for_s: float) -> None:
        """Cut the links between pairs of machines for some seconds."""
        now_s = time.monotonic()
        self.links.cut(pairs, for_s)
        self._seen.incidents.extend(
            records.Incident(
                name,
                records.Change.CUT,
                now_s,
                until_s=now_s + for_s,
                other=other,
            )
            for name, other in pairs
        )

    def stall_disk(self, name: str, for_s: float) -> None:
        """Have the syncs of a replica wait for some time."""
        now_s = time.monotonic()
        self._seen.incidents.append(
            records.Incident(
                name, records.Change.DISK_STALLED, now_s, until_s=now_s + for_s
            )
        )
        disks.stall(self._stall_path(name), now_s + for_s)

    def _stall_path(self, name: str) -> pathlib.Path:
        return self._folder / f"{name}.stall"

    def may_lose_disk(self) -> bool:
        """Return whether the losses of disks before are made good.

        Since the last one, all listed replicas have been there and connected
        for `catch_up_s` in one stretch.
        """
        now_s = time.monotonic()
        had_loss = {
            incident.name
            for incident in list(self._seen.incidents)
            if incident.change is records.Change.DISK_LOST
        }
        since_s = max(
            (
                self.node_by_name[name].last_start_s()
                for name in self.listed
                if name in had_loss or name not in self._founders
            ),
            default=0.0,
        )
        calm_s = core_history.CoreHistory(self._seen).longest_calm_s(
            self.listed, since_s, now_s
        )
        return not since_s or calm_s > core_history.CATCH_UP_S

    def close(self) -> None:
        """End all processes; fail if one is still running."""
        for node in self.node_by_name.values():
            node.finish()
        try:
            for node in self.node_by_name.values():
                node.join()
        finally:
            self.links.close()

    def log_lines(self, attempt: str) -> list[str]:
        """Return the lines of all gateways' logs about an attempt."""
        needle = f'"{attempt}"'.encode()
        return [
            f"{name}: {line.decode(errors='replace').rstrip()}"
            for name in self.gateway_address_by_name
            for line in self.node_by_name[name].log_path.open("rb")
            if needle in line
        ]

    def _add_links(self, name: str, role: str, address: str) -> None:
        host = address.rpartition(":")[0]
        for offset in SERVER_OFFSETS_BY_ROLE[role]:
            port = self._ports.internal + offset
            target = f"{host}:{port + proxied.PORT_SHIFT}"
            self.links.add(name, f"{host}:{port}", target)

    def _programs(self) -> Iterator[tuple[str, str, str]]:
        for name, address in self.replica_address_by_name.items():
            yield name, "control", address
        for name, address in self.gateway_address_by_name.items():
            yield name, "gateway", address

    def _make_node(
        self, name: str, role: str, address: str, seen: records.Records
    ) -> Node:
        host = address.rpartition(":")[0]
        ports = self._ports
        data = self._folder / name if role == "control" else None
        settings = {
            "node_name": name,
            "ip_address": host,
            "zone": "z1",
            "seeds": self._seeds,
            "internal_ports": [
                ports.internal,
                ports.internal + INTERNAL_PORTS - 1,
            ],
            "cloud_api": {
                "address": self._list_address,
                "duties": ["usage_reporting"],
                "duty_per_s": 5.0,
            },
            "listen_addresses": {
                "frontend": f"{host}:{ports.frontend}",
                "ready": f"{host}:{ports.ready}",
                "control": f"{host}:{ports.control}",
            },
            "bootstrap": name not in self._spares,
            "data_directory": str(data) if data else None,
            "bounds": {
                "grace_s": GRACE_S,
                "budget_ratio": budget.RATIO,
                "budget_window_s": budget.WINDOW_S,
                "retry_budget_slack": budget.SLACK,
                "window_s": accounts.USAGE_WINDOW_S,
                "strict_revocation": True,
                "revoke_ms": accounts.REVOKE_MS,
            },
        }
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        return Node(
            name=name,
            role=role,
            settings=path,
            log=self._folder / "logs" / f"{name}.log",
            seen=seen,
            data=data,
            environment=disks.environment(
                self._slow_syncs_ms, self._stall_path(name)
            )
            if data
            else None,
        )
