"""A whole cluster in one process: threads, loopback, temporary folder."""

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
import functools
import hashlib
import os
import pathlib
import secrets
import socket
import threading
import time
from typing import final

import msgspec
import urllib3

from wisteriawall import errors
from wisteriawall.agent import shell as agent_shell
from wisteriawall.config import document
from wisteriawall.control import admin
from wisteriawall.control import shell as control_shell
from wisteriawall.entry import shell as entry_shell
from wisteriawall.standin import engine
from wisteriawall.standin import engine_core
from wisteriawall.standin import plain_service
from wisteriawall.web import server as server_lib

__all__ = ["DemoCluster", "free_address"]

REPLICAS = ("control-1", "control-2", "control-3")
ZONES = ("zone-a", "zone-b", "zone-c")
READY_TIMEOUT_S = 20.0
POLL_S = 0.05
ENGINES_PER_SERVICE = 3
PLAIN_UPSTREAMS = 2
MODEL_BY_SERVICE = {"briefs": "brief-writer", "captions": "captioner"}
PLAIN_SERVICE = "orders"
ACCOUNT_TOKEN = "demo-account-token"
OPERATOR_TOKEN = "demo-operator-token"


_returned_ports: set[int] = set()


def free_address() -> str:
    """Return a loopback address whose port the kernel just had free.

    Outgoing connections leave from 127.0.0.1 and could take a port of that
    address before it is listened on. So the address is one of this process
    alone, and none is returned twice, though the kernel may offer it again.
    """
    pid = os.getpid()
    host = f"127.{1 + pid // 200 % 200}.{pid % 200}.1"
    while True:
        with socket.socket() as probe:
            probe.bind((host, 0))
            port: int = probe.getsockname()[1]
        if port not in _returned_ports:
            _returned_ports.add(port)
            return f"{host}:{port}"


def _stop_all(stops: Iterable[Callable[[], object]]) -> None:
    """Stop parts side by side: each HTTP server takes half a second."""
    threads = [threading.Thread(target=stop, name="stop") for stop in stops]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@final
class DemoCluster:
    """Entry, three control replicas, agents and stand-ins.

    Args:
        folder: Folder for the replicas' data.
        entry_address: Host and port for callers.
        admin_address: Host and port for operators.
    """

    def __init__(
        self, *, folder: pathlib.Path, entry_address: str, admin_address: str
    ) -> None:
        self._key = secrets.token_bytes(32)
        self._token = secrets.token_hex(16)
        self._peers = {name: free_address() for name in REPLICAS}
        self._rpc = {name: free_address() for name in REPLICAS}
        self.controls = [
            self._make_control(name, folder / name) for name in REPLICAS
        ]
        self._admins = self._make_admins(admin_address)
        self.admin_addresses = [http.address for http in self._admins]
        self.engines: list[engine.StandInEngine] = []
        self.plains: list[plain_service.StandInPlainService] = []
        self.runs_by_key: Counter[str] = Counter()
        self.agents: list[agent_shell.AgentShell] = []
        self._runners: dict[str, document.Runner] = {}
        self._make_upstreams()
        self.entry = entry_shell.EntryShell(
            name="entry-1",
            address=entry_address,
            zone=ZONES[0],
            control_address_by_replica=self._rpc,
            key=self._key,
            token=self._token,
            incarnation=time.time_ns(),
        )

    def start(self) -> None:
        """Start every part and put the demo's configuration in force."""
        for control in self.controls:
            control.start()
        for http in self._admins:
            http.start()
        for standin in self._standins:
            standin.start()
        for agent in self.agents:
            agent.start()
        self.entry.start()
        self._configure()
        self._await_ready()

    def stop(self) -> None:
        """Stop every part, callers' side first, each group at once."""
        _stop_all([self.entry.stop])
        _stop_all(
            [functools.partial(agent.stop, notice_s=0) for agent in self.agents]
        )
        _stop_all(
            [
                *(standin.stop for standin in self._standins),
                *(http.stop for http in self._admins),
            ]
        )
        _stop_all([control.stop for control in self.controls])

    @property
    def _standins(
        self,
    ) -> list[engine.StandInEngine | plain_service.StandInPlainService]:
        return [*self.engines, *self.plains]

    def _make_control(
        self, name: str, folder: pathlib.Path
    ) -> control_shell.ControlShell:
        return control_shell.ControlShell(
            replica=name,
            peer_address_by_replica=self._peers,
            rpc_address=self._rpc[name],
            folder=folder,
            key=self._key,
            bootstrap=True,
            incarnation=time.time_ns(),
        )

    def _make_admins(self, first: str) -> list[server_lib.HttpServer]:
        digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        address_by_replica: dict[str, str] = {}
        servers = []
        for number, control in enumerate(self.controls):
            app = admin.AdminApp(
                shell=control,
                address_by_replica=address_by_replica,
                operator_by_token_digest={digest: "demo"},
            )
            server = server_lib.HttpServer(
                address=first if number == 0 else "127.0.0.1:0", app=app
            )
            address_by_replica[REPLICAS[number]] = server.address
            servers.append(server)
        return servers

    def _make_upstreams(self) -> None:
        for service, model in MODEL_BY_SERVICE.items():
            for number in range(ENGINES_PER_SERVICE):
                standin = engine.StandInEngine(
                    address="127.0.0.1:0",
                    parameters=engine_core.EngineParameters(),
                    model=f"{model}@1",
                )
                self.engines.append(standin)
                self._add_agent(service, number, standin.address)
        for number in range(PLAIN_UPSTREAMS):
            upstream = plain_service.StandInPlainService(
                address="127.0.0.1:0", runs_by_key=self.runs_by_key
            )
            self.plains.append(upstream)
            self._add_agent(PLAIN_SERVICE, number, upstream.address)

    def _add_agent(self, service: str, number: int, upstream: str) -> None:
        runner = f"{service}-{number + 1}"
        agent = agent_shell.AgentShell(
            runner=runner,
            address="127.0.0.1:0",
            upstream=upstream,
            control_address_by_replica=self._rpc,
            key=self._key,
            token=self._token,
            incarnation=time.time_ns(),
            options=agent_shell.AgentOptions(
                feed="127.0.0.1:0",
                kind=document.ServiceKind.PLAIN
                if service == PLAIN_SERVICE
                else document.ServiceKind.MODEL,
            ),
        )
        self.agents.append(agent)
        self._runners[runner] = document.Runner(
            service=service,
            address=agent.address,
            zone=ZONES[number % len(ZONES)],
            vm=f"vm-{runner}",
            feed=agent.feed_address,
        )

    def _document(self) -> document.Document:
        services = {
            name: document.Service(
                kind=document.ServiceKind.MODEL,
                share_pieces=ENGINES_PER_SERVICE,
                models=[model],
            )
            for name, model in MODEL_BY_SERVICE.items()
        }
        services[PLAIN_SERVICE] = document.Service(
            kind=document.ServiceKind.PLAIN,
            share_pieces=PLAIN_UPSTREAMS,
            non_repeatable=["POST /payments"],
        )
        token_digest = hashlib.sha256(ACCOUNT_TOKEN.encode()).hexdigest()
        return document.Document(
            number=0,
            capacity_pieces=len(self._runners),
            services=services,
            runners=self._runners,
            accounts={"demo": document.Account(token_digest=token_digest)},
        )

    def _configure(self) -> None:
        body = msgspec.json.encode(self._document())
        headers = {
            "Authorization": f"Bearer {OPERATOR_TOKEN}",
            "If-Match": '"0"',
            "Idempotency-Key": "demo-start",
        }
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            response = urllib3.request(
                "PATCH",
                f"http://{self.admin_addresses[0]}/v1/config",
                body=body,
                headers=headers,
            )
            if response.status == 200:
                return
            time.sleep(POLL_S)
        raise errors.InternalError(
            f"demo: configuration refused: {response.data!r}"
        )

    def _await_ready(self) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if self.entry.is_ready() and self.entry.config.number > 0:
                return
            time.sleep(POLL_S)
        raise errors.InternalError("demo: the entry did not become ready")
