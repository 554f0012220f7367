"""Stand-ins of the users' platform and operator, and the real programs.

It uses the standard library alone, and loopback addresses alone.
"""

from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import http.client
import http.server
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from typing import Any
from typing import NoReturn

ROOT = pathlib.Path(__file__).parent.parent
KEY = "6f" * 32
INTERNAL_PORTS = 8
CALL_TIMEOUT_S = 1.0
# Bounds of the smallest deployments, `sites/ritrattini-prod.toml`.
BOUNDS = {
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
    "retry_budget_slack": 58,
    "recovery_s": 12,
    "delivery_deadline_ms": 120,
    "retry_after_s": 10,
    "fencing_required": False,
    "lease_ms": 3000,
    "thaw_ms": 300,
}


def run(main: Callable[[], int]) -> NoReturn:
    """Exit with the result of a script, with 2 if it failed itself."""
    try:
        code = main()
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code)


class Record:
    """Lines of `record.txt`, each with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        """Begin a new file."""
        self._file = path.open("w")
        self._start_s = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text: str) -> None:
        """Write a line to the file and to standard output."""
        line = f"{time.monotonic() - self._start_s:8.3f} {text}"
        with self._lock:
            print(line, flush=True)
            self._file.write(line + "\n")
            self._file.flush()


def free_ports(hosts: list[str], count: int) -> int:
    """Return the first of `count` ports that are free at all hosts."""
    for first in range(21_000, 31_000, count):
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    for port in range(first, first + count):
                        probe = stack.enter_context(socket.socket())
                        probe.setsockopt(
                            socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
                        )
                        probe.bind((host, port))
            except OSError:
                continue
            return first
    raise RuntimeError("no free ports")


class RunnerList:
    """Stand-in of the platform's list of runners."""

    def __init__(self, host: str) -> None:
        """Serve an empty list at a free port of `host`."""
        self.entries: list[dict[str, Any]] = []
        owner = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:
                page = {"instances": owner.entries, "next": None}
                body = json.dumps(page).encode()
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_: object) -> None:
                pass

        self._server = http.server.ThreadingHTTPServer((host, 0), Handler)
        self._server.daemon_threads = True
        self.address = f"{host}:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()


class Machine:
    """A VM of the deployment at a loopback address, with its programs."""

    def __init__(self, fleet: "Fleet", name: str, host: str) -> None:
        """Prepare the folder of its settings and of its disk."""
        self.name, self.host, self._fleet = name, host, fleet
        self.folder = fleet.folder / name
        self.folder.mkdir()
        self.process_by_role: dict[str, subprocess.Popen[bytes]] = {}

    @property
    def control(self) -> str:
        """Return the address at which operators call it."""
        return f"{self.host}:{self._fleet.first_port}"

    @property
    def frontend(self) -> str:
        """Return the address that callers use."""
        return f"{self.host}:{self._fleet.first_port + 1}"

    @property
    def ready(self) -> str:
        """Return the address of the balancer's readiness checks."""
        return f"{self.host}:{self._fleet.first_port + 2}"

    def start(
        self, role: str, *, bootstrap: bool = False, disk: bool = True
    ) -> None:
        """Write the settings file and start a program as it is deployed."""
        first = self._fleet.first_port
        settings = {
            "node_name": self.name,
            "role": role,
            "machine_class": "frontend",
            "serves": ["frontend", "control"],
            "ip_address": self.host,
            "zone": "z1",
            "region": "r1",
            "zones": {"z1": "r1"},
            "listen_addresses": {
                "frontend": self.frontend,
                "ready": self.ready,
                "control": self.control,
            },
            "internal_ports": [first + 3, first + 2 + INTERNAL_PORTS],
            "seeds": [machine.control for machine in self._fleet.seeds],
            "bootstrap": bootstrap,
            "counted_in_tolerance": disk,
            "limits": {
                "cpu_share": 0.968,
                "cores": 2,
                "memory_mb": 300,
                "file_descriptors": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 64 if disk else 0,
            },
            "data_directory": str(self.folder / "data") if disk else None,
            "discovery": "cloud_api",
            "entry": "virtual_ip",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry"],
            "fault_tolerance": {
                "machines": self._fleet.tolerated,
                "zones": 0,
                "regions": 0,
            },
            "bounds": self._fleet.bounds,
            "config_mode": "highest",
            "cloud_api": {
                "address": self._fleet.runner_list.address,
                "rate_per_s": 40.0,
                "duties": [],
                "lag_ms": 800,
            },
        }
        path = self.folder / f"{role}.json"
        path.write_text(json.dumps(settings))
        log = (self.folder / f"{role}.log").open("ab")
        self.process_by_role[role] = subprocess.Popen(
            ["python3", "-S", "-m", "wisteriawall.platform", role],
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "PYTHONPATH": os.environ.get("REVIEW_DEPS", "target/deps"),
                "WISTERIAWALL_SETTINGS": str(path),
                "WISTERIAWALL_METRICS_PORT": "0",
                "WISTERIAWALL_CLUSTER_KEY": KEY,
            },
            stdout=log,
            stderr=subprocess.STDOUT,
        )

    def stop(self, role: str, number: signal.Signals) -> float:
        """Send a signal and wait for the end; return how long it took."""
        began_s = time.monotonic()
        process = self.process_by_role.pop(role)
        process.send_signal(number)
        process.wait(timeout=BOUNDS["grace_s"])
        return time.monotonic() - began_s

    def lose_disk(self) -> None:
        """Empty the data folder of a machine that is down."""
        for path in (self.folder / "data").glob("*"):
            path.unlink()
        (self.folder / "data").rmdir()


class Fleet:
    """Machines of a deployment; all processes end with the block."""

    def __init__(
        self,
        subnet: str,
        names: list[str],
        *,
        seeds: int = 3,
        tolerated: int = 1,
        bounds: Mapping[str, Any] = BOUNDS,
    ) -> None:
        """Create the machines; the first `seeds` of them are the seeds."""
        self.tolerated, self.bounds = tolerated, bounds
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._temporary.name)
        hosts = [f"{subnet}.{number}" for number in range(2, 2 + len(names))]
        self.first_port = free_ports(hosts, 3 + INTERNAL_PORTS)
        self.runner_list = RunnerList(f"{subnet}.1")
        self.machines = [
            Machine(self, name, host)
            for name, host in zip(names, hosts, strict=True)
        ]
        self.seeds = self.machines[:seeds]

    def __enter__(self) -> "Fleet":
        """Return the fleet."""
        return self

    def __exit__(self, *_: object) -> None:
        """End every process that was started, and remove the folder."""
        for machine in self.machines:
            for process in machine.process_by_role.values():
                process.kill()
                process.wait()
        self._temporary.cleanup()


def call(
    method: str, address: str, path: str, body: bytes | None = None
) -> tuple[int, dict[str, str], bytes]:
    """Send one HTTP request; status 0 stands for no answer within 1 s."""
    connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
    try:
        headers = {"Content-Type": "application/json"} if body else {}
        connection.request(method, path, body=body, headers=headers)
        response = connection.getresponse()
        return response.status, dict(response.headers), response.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


class Operator:
    """An operator: follows a 307 twice, and goes on to the next machine."""

    def __init__(self, record: Record) -> None:
        """Write every answered call to `record`."""
        self._record = record
        # Address that gave the last acknowledgement, or the last answer.
        self.answered_by = ""

    def _ask(
        self, method: str, address: str, path: str, body: bytes | None
    ) -> tuple[int, bytes]:
        for _ in range(3):
            status, headers, answer = call(method, address, path, body)
            if status != 307:
                self.answered_by = address
                return status, answer
            location = headers["Location"].removeprefix("http://")
            address = location.partition("/")[0]
        return status, answer

    def put(
        self, machines: list[Machine], table: dict[str, Any], within_s: float
    ) -> bool:
        """Send a configuration until it is acknowledged."""
        body = json.dumps(table).encode()
        return (
            self._repeat(machines, "POST", "/Configuration.Put", body, within_s)
            is not None
        )

    def get(self, machines: list[Machine], within_s: float) -> int | None:
        """Read the configuration back; return its version."""
        answer = self._repeat(
            machines, "GET", "/Configuration.Get", None, within_s
        )
        return None if answer is None else json.loads(answer)["version"]

    def _repeat(
        self,
        machines: list[Machine],
        method: str,
        path: str,
        body: bytes | None,
        within_s: float,
    ) -> bytes | None:
        began_s, pause_s, calls = time.monotonic(), 0.1, 0
        statuses: dict[int, int] = {}
        while time.monotonic() - began_s < within_s:
            machine = machines[calls % len(machines)]
            calls += 1
            status, answer = self._ask(method, machine.control, path, body)
            statuses[status] = statuses.get(status, 0) + 1
            if status == 200:
                self._record.write(
                    f"operator: {path} answered 200 by {self.answered_by}"
                    f" after {time.monotonic() - began_s:.2f} s"
                )
                return answer
            time.sleep(pause_s)
            pause_s = min(1.0, pause_s * 1.3)
        self._record.write(
            f"operator: {path} has no 200 after {within_s:.0f} s;"
            f" answers by status (0: none): {statuses}"
        )
        return None


def plain_table(version: int, timeout_ms: int = 600) -> dict[str, Any]:
    """Return a configuration with one plain service."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-pay",
                "host": "shop.example",
                "path_prefix": "/pay/",
                "type": "non_idempotent",
                "timeout_ms": timeout_ms,
                "target_latency_ms": 125,
                "priority": 1,
                "service": "shop",
                "max_attempts": 1,
            },
            {
                "name": "r-look",
                "host": "shop.example",
                "path_prefix": "/look/",
                "type": "read_only",
                "timeout_ms": timeout_ms,
                "target_latency_ms": 125,
                "priority": 1,
                "service": "shop",
                "max_attempts": 2,
            },
        ],
        "services": [
            {
                "name": "shop",
                "health_path": "/health",
                "connection_limit": 110,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "header_bytes": 16384,
            "body_bytes": 4194304,
            "header_ms": 3000,
            "idle_ms": 15000,
        },
    }


def wait_until_ready(machine: Machine, within_s: float) -> bool:
    """Wait until the gateway of a machine says that it is ready."""
    end_s = time.monotonic() + within_s
    while time.monotonic() < end_s:
        if call("GET", machine.ready, "/readiness")[0] == 200:
            return True
        time.sleep(0.1)
    return False


class PlainRunner:
    """A sound runner of a plain service; each answer takes 15 ms."""

    def __init__(self, host: str, identifier: str, service: str) -> None:
        """Serve at a free port of `host`."""
        self.identifier, self.service = identifier, service
        # Attempt ids of the requests that it ran, in order.
        self.ran: list[str] = []
        owner = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self) -> None:
                owner._answer(self)

            do_POST = do_GET  # noqa: N815

            def log_message(self, *_: object) -> None:
                pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_: object) -> None:
                pass

        server = Server((host, 0), Handler)
        self.address = f"{host}:{server.server_address[1]}"
        threading.Thread(target=server.serve_forever, daemon=True).start()

    def entry(self) -> dict[str, Any]:
        """Return its entry in the platform's list."""
        return {
            "identifier": self.identifier,
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_remaining_ms": 0,
            "born": 1,
        }

    def _answer(self, handler: http.server.BaseHTTPRequestHandler) -> None:
        length = int(handler.headers.get("Content-Length", "0"))
        handler.rfile.read(length)
        attempt = handler.headers.get("X-Wisteriawall-Attempt-Id", "")
        if handler.path == "/health":
            body = b""
        else:
            self.ran.append(attempt)
            time.sleep(0.015)
            body = b"a" * 800
        handler.send_response(200)
        if body:
            handler.send_header("X-Wisteriawall-Attempt-Id", attempt)
            handler.send_header("X-Wisteriawall-Response-Seal", "s")
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)


class Clients:
    """Ordinary clients; each opens a new connection for each request."""

    def __init__(self, machine: Machine, count: int, pause_s: float) -> None:
        """Start `count` clients of the gateway of a machine."""
        self._address = machine.frontend
        self._pause_s = pause_s
        self._lock = threading.Lock()
        # Client, when it tried, when it was connected (or None), and status.
        self._tries: list[tuple[int, float, float | None, int]] = []
        for number in range(count):
            threading.Thread(
                target=self._run, args=(number,), daemon=True
            ).start()

    def describe(self, since_s: float, until_s: float) -> str:
        """Return how the tries of a span ended."""
        tries = [t for t in self._copy() if since_s <= t[1] < until_s]
        connected = sum(t[2] is not None for t in tries)
        served = sum(t[3] == 200 for t in tries)
        return f"{len(tries)} tries, {connected} connected, {served} served"

    def longest_gap(
        self, since_s: float, until_s: float
    ) -> tuple[float, float]:
        """Return the longest span in which no client was connected."""
        times_s = sorted(
            t[2] for t in self._copy() if t[2] and since_s <= t[2] < until_s
        )
        bounds = [since_s, *times_s, until_s]
        return max(itertools.pairwise(bounds), key=lambda b: b[1] - b[0])

    def clients_that_tried(self, since_s: float, until_s: float) -> int:
        """Return how many clients tried to connect in a span."""
        return len({t[0] for t in self._copy() if since_s < t[1] < until_s})

    def _copy(self) -> list[tuple[int, float, float | None, int]]:
        with self._lock:
            return list(self._tries)

    def _run(self, number: int) -> None:
        count = 0
        while True:
            count += 1
            tried_s = time.monotonic()
            connected_s, status = self._try_once(f"c{number}-{count}")
            with self._lock:
                self._tries.append((number, tried_s, connected_s, status))
            time.sleep(self._pause_s)

    def _try_once(self, attempt: str) -> tuple[float | None, int]:
        connection = http.client.HTTPConnection(self._address, timeout=1.0)
        connected_s = None
        try:
            connection.connect()
            connected_s = time.monotonic()
            headers = {
                "Host": "shop.example",
                "X-Wisteriawall-Attempt-Id": attempt,
                "X-Wisteriawall-Deadline-Remaining": "600",
            }
            connection.request("GET", "/look/1", headers=headers)
            response = connection.getresponse()
            response.read()
            return connected_s, response.status
        except (OSError, http.client.HTTPException):
            return connected_s, 0
        finally:
            connection.close()
