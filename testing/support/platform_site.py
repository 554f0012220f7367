"""A control replica and a gateway on loopback, with a stand-in platform.

The platform's list of runners, its runners and its operator are stand-ins.
"""

from collections import Counter
from collections.abc import Callable
from concurrent import futures
import contextlib
import http.client
import json
import pathlib
import socket
import threading
import time
from typing import Any

import urllib3

from support import raw_server
from wisteriawall.control import duties
from wisteriawall.control import duty_sender
from wisteriawall.control import shell as control_shell
from wisteriawall.control import upstream_reader
from wisteriawall.control import usage
from wisteriawall.demo import cluster
from wisteriawall.gateway import shell as gateway_shell
from wisteriawall.gateway import state as gateway_state
from wisteriawall.observability import decisions
from wisteriawall.observability import metrics
from wisteriawall.platform import duties as platform_duties
from wisteriawall.platform import headers
from wisteriawall.platform import operators
from wisteriawall.platform import runners
from wisteriawall.policy import retry_window
from wisteriawall.web import memory_budget
from wisteriawall.web import server as server_lib
from wisteriawall.wire import raft_messages

KEY = b"k" * 32
WAIT_S = 15.0
# Of the smallest VMs of the first deployments.
VM_MEMORY_MB = 300
GRACE_MS = 4_000
UNREADY_MS = 200
LEASE_MS = 1_000
USAGE_WINDOW_MS = 1_000
USAGE_LATE_MS = 10_000
SEAL = "X-Wisteriawall-Response-Seal"
ATTEMPT_ID = "X-Wisteriawall-Attempt-Id"
HOST = "app.example"
ENDLESS_PIECE = b"x" * 65_536
MAX_ENDLESS_PIECES = 1_024


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Poll until `condition` holds; fail the test after `WAIT_S`.

    `what` names the awaited condition in the failure message.
    """
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, f"still waiting for {what}"
        time.sleep(0.02)


class StandInRunner(raw_server.RawServer):
    """Stand-in of a runner on raw sockets.

    `behavior` selects how it answers, `received` lists the method, target,
    headers and body of each request, and `runs_by_attempt` counts the requests
    that it ran, by attempt id. `disconnected` is set when a caller closes its
    connection, and setting `finish` continues a `stream-slow` answer.

    `stutter` returns bytes to send before an answer, from the previous answer
    on the connection, which is empty before the first. A stuttering runner
    answers a second time when the next request has arrived. `take_up` returns
    the bytes that answer a request with a `Last-Event-Id`, from the headers
    that name the request and the runner; the runner closes the connection then.

    `held` are the entries of its answer to `GET /kv-list`, and `contents_calls`
    counts these calls, which are not in `received`.
    """

    def __init__(self, name: str, service: str, stage: str = "") -> None:
        """Listen on a free port."""
        self.name, self.service, self.stage = name, service, stage
        self.runs_by_attempt: Counter[str] = Counter()
        self.received: list[tuple[str, str, dict[str, str], bytes]] = []
        self.behavior = "answer"
        self.stutter: Callable[[bytes], bytes] | None = None
        self.take_up: Callable[[bytes], bytes] | None = None
        self.state = "ready"
        self.held: list[Any] = []
        self.contents_calls = 0
        self.finish = threading.Event()
        self.disconnected = threading.Event()
        super().__init__()

    def entry(self) -> dict[str, Any]:
        """Return the runner's entry in the platform's list."""
        return {
            "identifier": self.name,
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "cold_remaining_ms": 0,
            "stage": self.stage,
        }

    def close(self) -> None:
        """Release the port and every connection."""
        self.finish.set()
        super().close()

    def _serve(self, connection: socket.socket) -> None:
        answers = _RecordedAnswers(connection)
        reader = connection.makefile("rb")
        while self._serve_one(answers, reader):
            answers.end()

    def _serve_one(self, connection: "_RecordedAnswers", reader: Any) -> bool:
        start = reader.readline().decode().split()
        if not start:
            self.disconnected.set()
            return False
        headers_by_name = _read_head(reader)
        if start[1] == "/kv-list":
            self._answer_contents(connection, headers_by_name)
            return True
        body = reader.read(int(headers_by_name.get("content-length", "0")))
        self.received.append((start[0], start[1], headers_by_name, body))
        if self.stutter is not None:
            connection.repeat(self.stutter)
        return self._answer(connection, headers_by_name, body)

    def _answer_contents(
        self, connection: "_RecordedAnswers", headers_by_name: dict[str, str]
    ) -> None:
        """Answer what the runner holds, if it is the one that was meant."""
        self.contents_calls += 1
        if headers_by_name["x-wisteriawall-expect-instance"] != self.name:
            _send(connection, "421 Misdirected", "", b"")
            return
        listing = {"epoch": 1, "next": len(self.held), "held": self.held}
        body = json.dumps(listing).encode()
        _send(connection, "200 OK", "", body)

    def _answer(
        self,
        connection: "_RecordedAnswers",
        headers_by_name: dict[str, str],
        body: bytes,
    ) -> bool:
        attempt = headers_by_name.get(ATTEMPT_ID.lower(), "")
        head = f"{ATTEMPT_ID}: {attempt}\r\n{SEAL}: seal-{self.name}\r\n"
        expected = headers_by_name.get(
            "x-wisteriawall-expect-instance", self.name
        )
        if expected != self.name:
            _send(connection, "421 Misdirected", "", b"")
            return True
        if self.behavior.startswith("endless"):
            self._send_without_end(connection, head)
            return False
        if self.behavior == "reject":
            head = "X-Wisteriawall-Not-Executed: 1\r\n"
            _send(connection, "503 Service Unavailable", head, b"")
            return True
        if headers_by_name.get("x-wisteriawall-serving-stage") == "prefill":
            prefill_answer = json.dumps(
                {"transfer_handle": f"h-{attempt}", "tokens": 9}
            )
            _send(connection, "200 OK", head, prefill_answer.encode())
            return True
        self.runs_by_attempt[attempt] += 1
        return self._run(connection, headers_by_name, head, body)

    def _run(
        self,
        connection: "_RecordedAnswers",
        headers_by_name: dict[str, str],
        head: str,
        body: bytes,
    ) -> bool:
        attempt = headers_by_name.get(ATTEMPT_ID.lower(), "")
        if self.take_up is not None and "last-event-id" in headers_by_name:
            connection.sendall(self.take_up(head.encode()))
            return False
        match self.behavior:
            case "reset":
                connection.reset_on_close()
                return False
            case "fail":
                _send(connection, "500 Internal Server Error", head, b"bad")
            case "408 Timeout" | "429 Too Many" | "503 Unavailable":
                _send(connection, self.behavior, head, b"ran nevertheless")
            case "foreign":
                other = f"{ATTEMPT_ID}: other\r\n{SEAL}: s\r\n"
                _send(connection, "200 OK", other, b"of another")
            case "unsealed":
                head = f"{ATTEMPT_ID}: {attempt}\r\n"
                _send(connection, "200 OK", head, b"answer to " + body)
            case "hang" | "hang-after-head" | "cut-after-head":
                return self._break_off(connection, head)
            case "unframed" | "unframed-cut" | "unframed-empty":
                return self._stream_unframed(connection, head, headers_by_name)
            case (
                "stream"
                | "stream-cut"
                | "stream-slow"
                | "stream-slow-cut"
                | "stream-without-ids-cut"
            ):
                return self._stream(connection, head, headers_by_name)
            case _:
                _send(connection, "200 OK", head, b"answer to " + body)
        return True

    def _break_off(self, connection: "_RecordedAnswers", head: str) -> bool:
        if self.behavior.endswith("head"):
            connection.sendall(_stream_head(head))
        if self.behavior.startswith("hang"):
            self._wait_for_close(connection)
        return False

    def _send_without_end(
        self, connection: "_RecordedAnswers", head: str
    ) -> None:
        """Send bytes until the caller closes, or up to a limit."""
        start = {
            "endless-head": "HTTP/1.1 200 OK\r\nA: ",
            "endless-body": f"HTTP/1.1 200 OK\r\n{head}\r\n",
            "endless-rejection": (
                "HTTP/1.1 503 Busy\r\nX-Wisteriawall-Not-Executed: 1\r\n\r\n"
            ),
        }[self.behavior]
        try:
            connection.sendall(start.encode())
            for _ in range(MAX_ENDLESS_PIECES):
                connection.sendall(ENDLESS_PIECE)
        except OSError:
            self.disconnected.set()

    def _stream_unframed(
        self,
        connection: "_RecordedAnswers",
        head: str,
        headers_by_name: dict[str, str],
    ) -> bool:
        """Send a stream without a length that ends with its connection.

        Only the first run of a request is cut off.
        """
        first = int(headers_by_name.get("last-event-id", "0")) + 1
        attempt = headers_by_name.get(ATTEMPT_ID.lower(), "")
        is_first = self.runs_by_attempt[attempt] == 1 and first == 1
        connection.sendall(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"{head}\r\n"
            ).encode()
        )
        if self.behavior == "unframed-empty" and is_first:
            return False
        for number in range(first, 5):
            event = f"id: {number}\ndata: t{number}\n\n".encode()
            if self.behavior == "unframed-cut" and is_first and number == 3:
                connection.sendall(event[:-1])
                return False
            connection.sendall(event)
        return False

    def _wait_for_close(self, connection: "_RecordedAnswers") -> None:
        connection.wait_for_close()
        self.disconnected.set()

    def _stream(
        self,
        connection: "_RecordedAnswers",
        head: str,
        headers_by_name: dict[str, str],
    ) -> bool:
        first = int(headers_by_name.get("last-event-id", "0")) + 1
        connection.sendall(_stream_head(head))
        for number in range(first, 5):
            event = f"id: {number}\ndata: t{number}\n\n".encode()
            if "without-ids" in self.behavior:
                event = event.partition(b"\n")[2]
            if self.behavior.endswith("cut") and first == 1 and number == 3:
                _chunk(connection, event[:5])
                return False
            _chunk(connection, event)
            if "slow" in self.behavior and number == 2:
                self.finish.wait(WAIT_S)
        _chunk(connection, b"")
        return True


class _RecordedAnswers:
    """Connection to a caller that remembers the previous answer on it."""

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._previous = b""
        self._current = b""

    def sendall(self, data: bytes) -> None:
        """Send a part of the current answer."""
        if data is not ENDLESS_PIECE:
            self._current += data
        self._connection.sendall(data)

    def end(self) -> None:
        """End the current answer."""
        self._previous, self._current = self._current, b""

    def repeat(self, stutter: Callable[[bytes], bytes]) -> None:
        """Send what `stutter` makes of the previous answer.

        The caller may close the connection meanwhile; the runner runs its
        request nevertheless.
        """
        with contextlib.suppress(OSError):
            self._connection.sendall(stutter(self._previous))

    def reset_on_close(self) -> None:
        """Make the close of the connection send a reset."""
        self._connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
        )

    def wait_for_close(self) -> None:
        """Block until the caller closes the connection."""
        self._connection.recv(1)


def _read_head(reader: Any) -> dict[str, str]:
    headers_by_name: dict[str, str] = {}
    while (line := reader.readline().decode().strip()) != "":
        name, _, value = line.partition(":")
        headers_by_name[name.lower()] = value.strip()
    return headers_by_name


def _stream_head(head: str) -> bytes:
    """Return the head of a stream in chunks."""
    return (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"Transfer-Encoding: chunked\r\n{head}\r\n"
    ).encode()


def _chunk(connection: "_RecordedAnswers", data: bytes) -> None:
    connection.sendall(b"%x\r\n%s\r\n" % (len(data), data))


def _send(
    connection: "_RecordedAnswers", status: str, head: str, body: bytes
) -> None:
    text = f"HTTP/1.1 {status}\r\n{head}Content-Length: {len(body)}\r\n\r\n"
    connection.sendall(text.encode() + body)


def route(prefix: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route in the operators' JSON format."""
    return {
        "name": prefix.strip("/") or "root",
        "host": HOST,
        "path_prefix": prefix,
        "type": kind,
        "timeout_ms": 4_000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **more,
    }


def document(version: int, **more: Any) -> dict[str, Any]:
    """Return a routing table in the operators' JSON format."""
    engine = {
        "slots": 64,
        "kv_cache_tokens": 500_000,
        "kv_token_bytes": 327_680,
        "link_mbps": 3_200_000.0,
    }
    return {
        "version": version,
        "routes": [
            route("/read/", "read_only", "shop"),
            route("/pay/", "non_idempotent", "shop"),
            route("/quick/", "read_only", "shop", timeout_ms=300),
            route("/talk/", "streaming", "model", target_gap_ms=200),
            route(
                "/resume/",
                "streaming",
                "model",
                target_gap_ms=200,
                resumable=True,
            ),
        ],
        "services": [
            {"name": "shop", "health_path": "/health", "connection_limit": 50},
            {
                "name": "model",
                "health_path": "/health",
                "connection_limit": 50,
                "engine": engine,
            },
        ],
        "limits": {
            "header_bytes": 16_384,
            "body_bytes": 4_194_304,
            "header_ms": 3_000,
            "idle_ms": 15_000,
        },
        **more,
    }


class Site:
    """One control replica, one gateway, and stand-ins of the platform.

    `gateways` are the first one, `gateway`, and those that a test has added.
    `list_response_body` replaces the list of runners when it is set, and
    `revoke_ms` sets strict revocation at the gateways. With a `duty_address`,
    usage is reported there, in windows of `USAGE_WINDOW_MS`, by `sender`.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        revoke_ms: int | None = None,
        duty_address: str = "",
    ) -> None:
        """Start everything, without a published routing table."""
        self._tuning = gateway_state.Tuning(revoke_ms=revoke_ms)
        self._usage_window_ms = USAGE_WINDOW_MS if duty_address else 0
        self.runners: list[StandInRunner] = []
        self.list_response_body: bytes | None = None
        self._list = server_lib.HttpServer(
            address="127.0.0.1:0", app=self._serve_list, threads=2
        )
        self._list.start()
        peer, rpc, admin = (cluster.unused_loopback_address() for _ in range(3))
        self.control = control_shell.ControlShell(
            replica="c1",
            peer_address_by_replica={"c1": peer},
            rpc_address=rpc,
            folder=folder / "c1",
            key=KEY,
            incarnation=1,
            bootstrap=True,
            founders=(raft_messages.Member("c1", peer, rpc, admin),),
            usage_settings=usage.UsageSettings(
                window_ms=USAGE_WINDOW_MS, late_ms=USAGE_LATE_MS
            )
            if duty_address
            else None,
        )
        self.duty_decisions: list[tuple[str, dict[str, Any]]] = []
        self._sender = duty_sender.DutySender(
            leader=self.control,
            holder="vm-1",
            settings=duties.DutySettings(lease_ms=LEASE_MS, per_s=100.0),
            send_usage=platform_duties.DutyClient(
                address=duty_address, holder="vm-1"
            ).send_usage,
            on_decision=lambda *decision: self.duty_decisions.append(decision),
            metrics=metrics.NullMetrics(),
        )
        self._operators = server_lib.HttpServer(
            address=admin,
            app=operators.OperatorApp(shell=self.control),
            threads=4,
        )
        self._reader = upstream_reader.UpstreamReader(
            leader=self.control,
            read=runners.RunnerListClient(address=self._list.address).read,
        )
        self._rpc_address = rpc
        self.log_path = folder / "log"
        self._log_file = self.log_path.open("wb")
        self.gateways: list[gateway_shell.GatewayShell] = []
        self.memory = memory_budget.for_limits(memory_mb=VM_MEMORY_MB)
        self.gateway = self._make_gateway("g1")
        self.http = urllib3.PoolManager(retries=False)
        self.admin = f"http://{admin}"
        self.control.start()
        self._operators.start()
        self._reader.start()
        if duty_address:
            self._sender.start()
        self.gateway.start()
        self.stopped = False

    def add_gateway(self, name: str) -> gateway_shell.GatewayShell:
        """Start a further gateway, which the caller stops."""
        gateway = self._make_gateway(name)
        gateway.start()
        return gateway

    def _make_gateway(self, name: str) -> gateway_shell.GatewayShell:
        gateway = gateway_shell.GatewayShell(
            identity=gateway_shell.Identity(
                name=name,
                zone="z1",
                incarnation=1,
                listen_address="127.0.0.1:0",
                ready_address="127.0.0.1:0",
                load_address="127.0.0.1:0",
                table_address="127.0.0.1:0",
            ),
            control_address_by_replica={"c1": self._rpc_address},
            key=KEY,
            dialect=headers.PlatformDialect(),
            budget=retry_window.RetryBudgetSettings(
                window_ms=10_000, ratio=0.2, slack=60
            ),
            tuning=self._tuning,
            metrics=metrics.NullMetrics(),
            log=decisions.DecisionLog(process=name, stream=self._log_file),
            grace_ms=GRACE_MS,
            unready_ms=UNREADY_MS,
            usage_window_ms=self._usage_window_ms,
            memory=self.memory,
        )
        self.gateways.append(gateway)
        return gateway

    def close(self) -> None:
        """Stop everything."""
        for runner in self.runners:
            runner.finish.set()
        self._reader.stop()
        self._sender.stop()
        stops = [self._operators.stop, self.control.stop, self._list.stop]
        if not self.stopped:
            stops.append(self.gateway.stop)
        with futures.ThreadPoolExecutor() as pool:
            for stopping in [pool.submit(stop) for stop in stops]:
                stopping.result()
        for runner in self.runners:
            runner.close()
        self._log_file.close()

    def add_runner(
        self, name: str, service: str, stage: str = ""
    ) -> StandInRunner:
        """Add a runner to the platform's list."""
        runner = StandInRunner(name, service, stage)
        self.runners.append(runner)
        return runner

    def publish(self, body: object) -> urllib3.BaseHTTPResponse:
        """Publish a routing table as an operator does."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        return self.http.request(
            "POST", f"{self.admin}/Configuration.Put", body=data
        )

    def read_table(self) -> urllib3.BaseHTTPResponse:
        """Read the routing table as an operator does."""
        return self.http.request("GET", f"{self.admin}/Configuration.Get")

    def start_serving(self, **more: Any) -> None:
        """Publish the default table and wait until the gateway is ready.

        Args:
            more: Further fields of the table.
        """
        self.publish_until_accepted(document(1, **more))
        wait_until(lambda: self.gateway.is_ready, "a ready gateway")

    def publish_until_accepted(self, body: object) -> None:
        """Publish a table repeatedly until control accepts it."""
        wait_until(lambda: self.publish(body).status == 200, "the publication")

    def call(
        self,
        path: str,
        *,
        attempt: str,
        method: str = "POST",
        body: bytes | None = b"hi",
        deadline_ms: int = 5_000,
        gateway: str = "",
        preload: bool = True,
        **more: str,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request as a caller does, to the first gateway by default.

        Without `preload`, the body is read by the test.
        """
        headers_by_name = {
            "Host": HOST,
            ATTEMPT_ID: attempt,
            "X-Wisteriawall-Deadline-Remaining": str(deadline_ms),
            **more,
        }
        return self.http.request(
            method,
            f"http://{gateway or self.gateway.address}{path}",
            body=body,
            headers=headers_by_name,
            timeout=WAIT_S,
            preload_content=preload,
        )

    def connect(self) -> http.client.HTTPConnection:
        """Return a caller's own connection to the gateway."""
        host, _, port = self.gateway.address.rpartition(":")
        return http.client.HTTPConnection(host, int(port), timeout=WAIT_S)

    def decisions(self, attempt: str) -> list[dict[str, Any]]:
        """Return the decision log of a request, once the request is over."""
        wait_until(
            lambda: any(
                line["decision"] in ("ended", "refused")
                for line in self._lines(attempt)
            ),
            f"the end of {attempt} in the log",
        )
        return self._lines(attempt)

    def _lines(self, attempt: str) -> list[dict[str, Any]]:
        text = self.log_path.read_bytes()
        lines = [json.loads(line) for line in text.splitlines() if line]
        return [line for line in lines if line.get("request") == attempt]

    def _serve_list(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        body = self.list_response_body
        if body is None:
            entries = [runner.entry() for runner in self.runners]
            body = json.dumps({"instances": entries, "next": None}).encode()
        return server_lib.send_response(start_response, status=200, body=body)
