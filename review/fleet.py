"""Starts the project's programs on loopback, with small stand-ins around them.

Only the standard library is used here. The programs run with the commands of
`deploy/system.toml` from `target/deps`.
"""

from collections.abc import Callable
import contextlib
import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
KEY = "6f0b5ad0c6a4c1b7b4c2f0d3a1e98877665544332211f0e1d2c3b4a596877869"
HELD, BROKEN, NOT_RUN = 0, 1, 2
ATTEMPT = "X-Wisteriawall-Attempt-Id"
SEAL = "X-Wisteriawall-Response-Seal"
NOT_EXECUTED = "X-Wisteriawall-Not-Executed"
INTERNAL_PORTS = 16


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what happened to `record.txt`, with seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            passed_s = time.monotonic() - self._began_s
            self._file.write(f"{passed_s:8.3f} {text}\n")
            self._file.flush()


class Server(socketserver.ThreadingTCPServer):
    """TCP server that passes each connection to a function."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def __init__(
        self,
        serve: Callable[[socket.socket], None],
        address: tuple[str, int] = ("127.0.0.1", 0),
    ) -> None:
        class Handler(socketserver.BaseRequestHandler):
            def handle(self) -> None:
                with contextlib.suppress(OSError):
                    serve(self.request)

        super().__init__(address, Handler)
        host, port = self.server_address[:2]
        self.address = f"{host}:{port}"
        threading.Thread(target=self.serve_forever, daemon=True).start()


class Request:
    """A request as a server read it; header names are in lower case."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method, self.target = method, target
        self.headers, self.body = headers, body


def read_request(stream: Any) -> Request | None:
    """Read one request with a length or without a body; None at the end."""
    line = stream.readline(65_536)
    if not line.strip():
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while (field := stream.readline(65_536)).strip():
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = stream.read(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def answer(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Return the bytes of an answer with a length."""
    fields = {"Content-Length": str(len(body)), **(headers or {})}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode("latin-1") + body


def free_port_block(hosts: list[str], count: int) -> int:
    """Return the first of `count` ports that are free at all hosts."""
    for _ in range(200):
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            first: int = probe.getsockname()[1]
        if first + count < 60_000 and all(
            _is_free(host, port)
            for host in hosts
            for port in range(first, first + count)
        ):
            return first
    raise CannotRun("no free ports")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


class Program:
    """One role on one machine, started with the command of the deploy file."""

    def __init__(self, fleet: "Fleet", machine: str, role: str) -> None:
        self.fleet, self.machine, self.role = fleet, machine, role
        self.name = f"{role}@{machine}"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, *, bootstrap: bool) -> None:
        """Start the program."""
        fleet = self.fleet
        path = fleet.folder / f"{self.name}.json"
        path.write_text(json.dumps(fleet.settings(self, bootstrap=bootstrap)))
        metrics = fleet.port + 3 + (self.role == "control")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(fleet.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "WISTERIAWALL_SETTINGS": str(path),
            "WISTERIAWALL_METRICS_PORT": str(metrics),
            "WISTERIAWALL_CLUSTER_KEY": KEY,
        }
        log = (fleet.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            ["python3", "-S", "-m", "wisteriawall.platform", self.role],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def memory_mb(self) -> float:
        """Return the resident memory of the process, 0 if it has ended."""
        if self.process is None or self.process.poll() is not None:
            return 0.0
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0.0
        pages = int(text.split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1_000_000

    def log_text(self) -> str:
        """Return what the program has written."""
        return (self.fleet.folder / f"{self.name}.log").read_text(
            errors="replace"
        )


class Fleet:
    """Machines with a control replica and a gateway each.

    `entries` returns the platform's list of runners.
    """

    def __init__(
        self,
        *,
        record: Record,
        entries: Callable[[], list[dict[str, Any]]],
        machines: int = 3,
        limits: dict[str, Any] | None = None,
        bounds: dict[str, Any] | None = None,
    ) -> None:
        if not (ROOT / "target" / "deps" / "wisteriawall").is_dir():
            raise CannotRun("target/deps is not built")
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        block = os.getpid() % 200 + 20
        self.hosts = [f"127.{block}.7.{n + 1}" for n in range(machines)]
        # Frontend, ready, control, two for metrics, and the internal ports.
        self.port = free_port_block(self.hosts, 5 + INTERNAL_PORTS)
        self._limits, self._bounds = limits or {}, bounds or {}
        self._entries = entries
        self.list_server = Server(self._serve_list)
        self.controls = [Program(self, host, "control") for host in self.hosts]
        self.gateways = [Program(self, host, "gateway") for host in self.hosts]

    @property
    def programs(self) -> list[Program]:
        """All programs."""
        return [*self.controls, *self.gateways]

    def frontend(self, program: Program) -> tuple[str, int]:
        """Return the address at which a gateway serves clients."""
        return program.machine, self.port

    def settings(self, program: Program, *, bootstrap: bool) -> dict[str, Any]:
        """Return the settings file of a program."""
        host, port = program.machine, self.port
        has_disk = program.role == "control"
        first = port + 5
        return {
            "node_name": f"frontend-{host}",
            "role": program.role,
            "machine_class": "frontend",
            "serves": [program.role.replace("gateway", "frontend")],
            "ip_address": host,
            "zone": "ro-vest-a",
            "region": "ro-vest",
            "zones": {"ro-vest-a": "ro-vest"},
            "listen_addresses": {
                "frontend": f"{host}:{port}",
                "ready": f"{host}:{port + 1}",
                "control": f"{host}:{port + 2}",
            },
            "internal_ports": [first, first + INTERNAL_PORTS - 1],
            "seeds": [f"{h}:{port + 2}" for h in self.hosts[:3]],
            "bootstrap": bootstrap,
            "counted_in_tolerance": True,
            "limits": {
                "cpu_share": 0.968,
                "cores": 2,
                "memory_mb": 300,
                "file_descriptors": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 64,
                **self._limits,
            },
            "data_directory": str(self.folder / f"data-{host}")
            if has_disk
            else None,
            "discovery": "cloud_api",
            "entry": "virtual_ip",
            "heartbeat_ms": 1200,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "split",
                "stream",
                "engine",
            ],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {
                "seed_lag_s": 3,
                "reuse_after_s": 2,
                "contact_ms": 3000,
                "ack_ms": 4000,
                "catch_up_s": 4,
                "drain_ms": 3000,
                "grace_s": 8,
                "lost_ms": 200,
                "config_ms": 2000,
                "back_ms": 250,
                "max_stretch_ms": 5000,
                "budget_ratio": 0.2,
                "budget_window_s": 10,
                "retry_budget_slack": 60,
                "recovery_s": 12,
                "delivery_deadline_ms": 120,
                "retry_after_s": 9.7,
                "fencing_required": False,
                "lease_ms": 3000,
                "thaw_ms": 300,
                **self._bounds,
            },
            "config_mode": "highest",
            "cloud_api": {
                "address": self.list_server.address,
                "rate_per_s": 50.0,
                "duties": [],
                "lag_ms": 800,
            },
        }

    def start(self) -> None:
        """Start all programs for the first time."""
        for program in self.programs:
            program.start(bootstrap=True)

    def close(self) -> None:
        """End all programs and remove the temporary folder."""
        for program in self.programs:
            program.end()
        self.list_server.shutdown()
        if os.environ.get("KEEP"):
            self.record.write(f"kept {self.folder.name}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def publish(self, table: dict[str, Any], *, timeout_s: float = 15) -> None:
        """Send a configuration until it is acknowledged, as an operator does.

        Raises:
            CannotRun: It was not acknowledged in time.
        """
        body = json.dumps(table).encode()
        until_s = time.monotonic() + timeout_s
        turn = 0
        while time.monotonic() < until_s:
            host = self.hosts[turn % len(self.hosts)]
            turn += 1
            status = self._put(f"{host}:{self.port + 2}", body)
            self.record.write(f"operator: {table['version']} {status}")
            if status == 200:
                return
            time.sleep(0.2)
        raise CannotRun(f"version {table['version']} was not acknowledged")

    def _put(self, address: str, body: bytes) -> int:
        for _ in range(3):
            connection = http.client.HTTPConnection(address, timeout=2)
            try:
                connection.request(
                    "POST",
                    "/Configuration.Put",
                    body,
                    {"Content-Type": "application/json"},
                )
                response = connection.getresponse()
                response.read()
            except (OSError, http.client.HTTPException):
                return 0
            finally:
                connection.close()
            location = response.headers.get("Location", "")
            if response.status != 307 or not location:
                return response.status
            address = location.removeprefix("http://").partition("/")[0]
        return 307

    def is_ready(self, program: Program) -> bool:
        """Return whether a gateway says that it is ready."""
        connection = http.client.HTTPConnection(
            program.machine, self.port + 1, timeout=0.5
        )
        try:
            connection.request("GET", "/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def await_ready(
        self, programs: list[Program], *, timeout_s: float = 30
    ) -> None:
        """Wait until these gateways are ready.

        Raises:
            CannotRun: They are not ready in time.
        """
        until_s = time.monotonic() + timeout_s
        while not all(self.is_ready(program) for program in programs):
            if time.monotonic() > until_s:
                raise CannotRun("the gateways are not ready in time")
            time.sleep(0.1)

    def _serve_list(self, connection: socket.socket) -> None:
        stream = connection.makefile("rb")
        while (request := read_request(stream)) is not None:
            if not request.target.startswith("/instances"):
                connection.sendall(answer(404))
                continue
            page = {"instances": self._entries(), "next": None}
            connection.sendall(
                answer(
                    200,
                    json.dumps(page).encode(),
                    {"Content-Type": "application/json"},
                )
            )


def entry(
    identifier: str, service: str, address: str, **more: Any
) -> dict[str, Any]:
    """Return an entry of the platform's list of runners."""
    return {
        "identifier": identifier,
        "service": service,
        "address": address,
        "zone": "ro-vest-a",
        "version": more.get("version", "v1"),
        "slots": 64,
        "state": "ready",
        "cold_remaining_ms": 0,
        **more,
    }


def run(case: Callable[[Record], int], folder: pathlib.Path) -> None:
    """Run a case and exit with its code, or 2 if it could not run."""
    record = Record(folder)
    try:
        code = case(record)
    except CannotRun as error:
        record.write(f"could not run: {error}")
        code = NOT_RUN
    except Exception as error:
        record.write(f"failed: {error!r}")
        code = NOT_RUN
        raise
    finally:
        record.write(f"exit code {code}")
    sys.exit(code)


def has_trouble() -> bool:
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"
