"""A cluster of separate processes on loopback, and requests to it."""

from collections.abc import Callable
from collections.abc import Iterator
from concurrent import futures
import contextlib
import hashlib
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import msgspec
import urllib3

from wisteriawall.demo import cluster as cluster_lib

StartProcess = Callable[..., subprocess.Popen[str]]

REPLICAS = ("c1", "c2", "c3")
CLUSTER_KEY = "ab" * 32
OPERATOR_TOKEN = "operator-token"
ACCOUNT_TOKEN = "account-token"
WAIT_S = 20.0
POLL_S = 0.1


def token_digest(token: str) -> str:
    """Return the SHA-256 digest that settings store in place of a token."""
    return hashlib.sha256(token.encode()).hexdigest()


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Poll until `condition` holds; fail the test after `WAIT_S`.

    `what` names the awaited condition in the failure message.
    """
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, f"still waiting for {what}"
        time.sleep(POLL_S)


class ProcessCluster:
    """Control replicas, agents with stand-in upstreams, and entries.

    Processes are named by replica, `upstream/<runner>`, `agent/<runner>` or
    `entry/<entry>`. A process that is started again keeps its address.

    Args:
        start_process: Starts `wisteriawall` with the given arguments and
            returns when it is ready.
        folder: Parent of the replicas' data folders.
    """

    def __init__(
        self, start_process: StartProcess, folder: pathlib.Path
    ) -> None:
        """Reserve the replicas' addresses; no process is started."""
        self._start = start_process
        self.folder = folder
        (
            self.peer_address_by_replica,
            self._rpc_address_by_replica,
            self.admin_address_by_replica,
        ) = (
            {name: cluster_lib.unused_loopback_address() for name in REPLICAS}
            for _ in range(3)
        )
        self.process_by_name: dict[str, subprocess.Popen[str]] = {}
        self.agent_address_by_runner: dict[str, str] = {}
        self.feed_address_by_runner: dict[str, str] = {}
        self.upstream_address_by_runner: dict[str, str] = {}
        self.entry_address_by_name: dict[str, str] = {}

    def add_replica(self, name: str) -> str:
        """Reserve addresses for a new replica; return its peer address."""
        for addresses in (
            self.peer_address_by_replica,
            self._rpc_address_by_replica,
            self.admin_address_by_replica,
        ):
            addresses[name] = cluster_lib.unused_loopback_address()
        return self.peer_address_by_replica[name]

    def start_control(self, name: str, *, bootstrap: bool = True) -> None:
        """Start a control replica with its own data folder."""
        operators = {token_digest(OPERATOR_TOKEN): "op"}
        self.process_by_name[name] = self._start(
            *("control", "--replica", name),
            *(("--bootstrap",) if bootstrap else ()),
            *(
                "--peers",
                _format_addresses(self.peer_address_by_replica),
                "--rpc",
                self._rpc_address_by_replica[name],
            ),
            *("--admin", self.admin_address_by_replica[name]),
            *(
                "--admin-peers",
                _format_addresses(self.admin_address_by_replica),
            ),
            *("--data", str(self.folder / name)),
            *("--operators", msgspec.json.encode(operators).decode()),
        )

    def start_upstream(self, runner: str, kind: str, *options: str) -> None:
        """Start a runner's stand-in upstream, of kind `model` or `plain`."""
        address = self.upstream_address_by_runner.setdefault(
            runner, cluster_lib.unused_loopback_address()
        )
        self.process_by_name[f"upstream/{runner}"] = self._start(
            "stand-in", kind, "--listen", address, *options
        )

    def start_agent(self, runner: str) -> None:
        """Start the agent of a runner, whose upstream must have an address."""
        agent_address = self.agent_address_by_runner.setdefault(
            runner, cluster_lib.unused_loopback_address()
        )
        feed_address = self.feed_address_by_runner.setdefault(
            runner, cluster_lib.unused_loopback_address()
        )
        self.process_by_name[f"agent/{runner}"] = self._start(
            *("agent", "--runner", runner, "--listen", agent_address),
            *("--feed", feed_address, "--kind", runner.partition("-")[0]),
            *("--upstream", self.upstream_address_by_runner[runner]),
            *("--control", _format_addresses(self._rpc_address_by_replica)),
        )

    def start_entry(self, name: str) -> None:
        """Start an entry; it is ready after the first configuration."""
        address = self.entry_address_by_name.setdefault(
            name, cluster_lib.unused_loopback_address()
        )
        self.process_by_name[f"entry/{name}"] = self._start(
            *("entry", "--name", name, "--zone", "a", "--listen", address),
            *("--control", _format_addresses(self._rpc_address_by_replica)),
        )

    def start_all(self, *, engines: int, plains: int, entries: int) -> None:
        """Start every process, configure the cluster and wait for entries."""
        runners = [(f"model-{n}", "model") for n in range(engines)]
        runners += [(f"plain-{n}", "plain") for n in range(plains)]
        runner_names = [runner for runner, _ in runners]
        entry_names = [f"e{number}" for number in range(entries)]
        with futures.ThreadPoolExecutor() as executor:
            list(executor.map(self.start_control, REPLICAS))
            list(executor.map(lambda r: self.start_upstream(*r), runners))
            list(executor.map(self.start_agent, runner_names))
            list(executor.map(self.start_entry, entry_names))
        self.configure(engines=engines, plains=plains)
        for name in self.entry_address_by_name:
            self.wait_until_ready(name)

    def configure(self, *, engines: int, plains: int) -> None:
        """Apply the first configuration, with all runners started so far."""
        change = {
            "capacity_pieces": engines + plains,
            "services": {
                "model": {
                    "kind": "model",
                    "share_pieces": engines,
                    "models": ["m"],
                },
                "plain": {
                    "kind": "plain",
                    "share_pieces": plains,
                    "non_repeatable": ["POST /payments"],
                },
            },
            "runners": {
                runner: {
                    "service": runner.partition("-")[0],
                    "address": agent_address,
                    "feed": self.feed_address_by_runner[runner],
                    "zone": "abc"[number % 3],
                    "vm": f"vm-{runner}",
                }
                for number, (runner, agent_address) in enumerate(
                    self.agent_address_by_runner.items()
                )
            },
            "accounts": {"acme": {"token_digest": token_digest(ACCOUNT_TOKEN)}},
        }
        wait_until(
            lambda: (
                self.patch_configuration(0, change, patch_id="first").status
                == 200
            ),
            "the first patch",
        )

    def patch_configuration(
        self, number: int, change: object, *, patch_id: str = "", at: str = "c1"
    ) -> urllib3.BaseHTTPResponse:
        """Send a configuration patch based on configuration `number`.

        A `patch_id` makes the patch idempotent: the same id has one effect.
        """
        headers = {"If-Match": f'"{number}"'}
        if patch_id:
            headers["Idempotency-Key"] = patch_id
        return self._request_as_operator(
            "PATCH", at, "/v1/config", msgspec.json.encode(change), headers
        )

    def read_resource(self, path: str, *, at: str = "c1") -> dict[str, object]:
        """Return the JSON document at an operator path; fail unless 200."""
        response = self._request_as_operator("GET", at, path, b"", {})
        assert response.status == 200, response.data
        resource = msgspec.json.decode(response.data)
        assert isinstance(resource, dict)
        return resource

    def is_answering(self, path: str, *, at: str) -> bool:
        """Return whether a replica answers 200; fail unless 200 or 503."""
        try:
            status = self._request_as_operator("GET", at, path, b"", {}).status
        except urllib3.exceptions.HTTPError:
            return False
        assert status in {200, 503}
        return status == 200

    def change_replica(
        self, method: str, body: dict[str, str], *, at: str
    ) -> urllib3.BaseHTTPResponse:
        """Request to add (POST) or remove (DELETE) a control replica."""
        data = msgspec.json.encode(body)
        return self._request_as_operator(method, at, "/v1/replicas", data, {})

    def _request_as_operator(
        self,
        method: str,
        replica: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> urllib3.BaseHTTPResponse:
        return urllib3.request(
            method,
            f"http://{self.admin_address_by_replica[replica]}{path}",
            body=body,
            headers=headers | {"Authorization": f"Bearer {OPERATOR_TOKEN}"},
            retries=False,
            timeout=WAIT_S,
        )

    def wait_until_ready(self, entry: str) -> None:
        """Wait until an entry answers a completion of one token."""
        wait_until(
            lambda: self.post_completion(entry, tokens=1).status == 200,
            f"entry {entry}",
        )

    def is_ready(self, entry: str) -> bool:
        """Return whether an entry's readiness check answers 200."""
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            url = f"http://{self.entry_address_by_name[entry]}/readyz"
            return urllib3.request("GET", url, retries=False).status == 200
        return False

    def post_completion(
        self, entry: str, *, tokens: int = 10, prompt: str = "a dog"
    ) -> urllib3.BaseHTTPResponse:
        """Request a streamed completion and return the complete answer.

        The answer has status 0 if the entry refuses the connection.
        """
        body = {
            "model": "m",
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": True,
        }
        return self._request_as_caller(entry, "/v1/completions", body, key="")

    def post_payment(
        self, entry: str, key: str, *, cents: int = 100
    ) -> urllib3.BaseHTTPResponse:
        """Send a payment to the plain service with an idempotency key.

        The answer has status 0 if the entry refuses the connection.
        """
        return self._request_as_caller(
            entry, "/services/plain/payments", {"cents": cents}, key=key
        )

    def _request_as_caller(
        self, entry: str, path: str, body: object, *, key: str
    ) -> urllib3.BaseHTTPResponse:
        headers = {
            "Authorization": f"Bearer {ACCOUNT_TOKEN}",
            "Content-Type": "application/json",
        }
        if key:
            headers["Idempotency-Key"] = key
        with contextlib.suppress(urllib3.exceptions.NewConnectionError):
            return urllib3.request(
                "POST",
                f"http://{self.entry_address_by_name[entry]}{path}",
                body=msgspec.json.encode(body),
                headers=headers,
                retries=False,
                timeout=WAIT_S,
            )
        return urllib3.HTTPResponse(b"", status=0)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its end."""
        self.process_by_name[name].kill()
        self.process_by_name[name].wait()

    def terminate(self, name: str) -> int:
        """Stop a process with SIGTERM and return its exit code."""
        process = self.process_by_name[name]
        process.send_signal(signal.SIGTERM)
        return process.wait(timeout=WAIT_S)

    def run_count(self, runner: str, key: str) -> int:
        """Return how often a plain upstream ran an idempotency key."""
        response = urllib3.request(
            "GET",
            f"http://{self.upstream_address_by_runner[runner]}/count",
            headers={"Idempotency-Key": key},
        )
        count = msgspec.json.decode(response.data)["runs"]
        assert isinstance(count, int)
        return count

    def wait_for_leader(self) -> str:
        """Wait until a replica reports a leader; return the leader's name."""

        def reported_leaders() -> Iterator[str]:
            for name in REPLICAS:
                with contextlib.suppress(urllib3.exceptions.HTTPError):
                    leader = self.read_resource("/v1/status", at=name)["leader"]
                    if isinstance(leader, str) and leader:
                        yield leader

        wait_until(lambda: next(reported_leaders(), "") != "", "a leader")
        return next(reported_leaders())


def _format_addresses(address_by_name: dict[str, str]) -> str:
    return ",".join(f"{n}={a}" for n, a in address_by_name.items())


@contextlib.contextmanager
def running_cluster(
    *, engines: int, plains: int, entries: int, step_ms: float = 5.0
) -> Iterator[ProcessCluster]:
    """Run a configured cluster without pytest; kill its processes at the end.

    `step_ms` is the duration of one batch step of the engines.
    """
    running: list[subprocess.Popen[str]] = []

    def start_process(*arguments: str) -> subprocess.Popen[str]:
        is_engine = arguments[:2] == ("stand-in", "model")
        extra = ("--step-ms", str(step_ms)) if is_engine else ()
        process = subprocess.Popen(
            [sys.executable, "-m", "wisteriawall", *arguments, *extra],
            env={**os.environ, "WISTERIAWALL_CLUSTER_KEY": CLUSTER_KEY},
            stdout=subprocess.PIPE,
            text=True,
        )
        running.append(process)
        assert process.stdout is not None
        assert process.stdout.readline(), (
            f"wisteriawall did not start: {arguments}"
        )
        return process

    with tempfile.TemporaryDirectory() as folder:
        try:
            cluster = ProcessCluster(start_process, pathlib.Path(folder))
            cluster.start_all(engines=engines, plains=plains, entries=entries)
            yield cluster
        finally:
            for process in running:
                process.kill()
                process.wait()


def processor_time_s(pid: int) -> float:
    """Return the processor time of a process in seconds, user and system."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")
