"""A whole cluster in one process, on loopback addresses."""

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

__all__ = ["DemoCluster", "unused_loopback_address"]

REPLICAS = ("control-1", "control-2", "control-3")
ZONES = ("zone-a", "zone-b", "zone-c")
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
ENGINES_PER_SERVICE = 3
PLAIN_UPSTREAMS = 2
MODEL_BY_SERVICE = {"briefs": "brief-writer", "captions": "captioner"}
PLAIN_SERVICE = "orders"
ACCOUNT_TOKEN = "demo-account-token"
OPERATOR_TOKEN = "demo-operator-token"


_returned_ports: set[int] = set()


def unused_loopback_address() -> str:
    """Return a loopback address with an unused port.

    The port is not reserved until something listens on it. An outgoing
    connection can't take it, because those leave from 127.0.0.1 and the
    returned host is another one, used by this process only. The kernel may
    offer the same port again, so ports returned before are skipped.
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


def _stop_in_parallel(stop_callbacks: Iterable[Callable[[], object]]) -> None:
    """Stop parts in parallel, since each HTTP server takes half a second."""
    threads = [
        threading.Thread(target=stop, name="stop") for stop in stop_callbacks
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@final
class DemoCluster:
    """An entry, three control replicas, and agents with stand-in upstreams.

    Args:
        folder: Parent of the data folders of the control replicas.
        entry_address: Host and port for callers.
        admin_address: Host and port for operators.
    """

    def __init__(
        self, *, folder: pathlib.Path, entry_address: str, admin_address: str
    ) -> None:
        self._cluster_key = secrets.token_bytes(32)
        self._internal_token = secrets.token_hex(16)
        self._peer_address_by_replica = {
            name: unused_loopback_address() for name in REPLICAS
        }
        self._rpc_address_by_replica = {
            name: unused_loopback_address() for name in REPLICAS
        }
        self.controls = [
            self._make_control(name, folder / name) for name in REPLICAS
        ]
        self._admin_servers = self._make_admin_servers(admin_address)
        self.admin_addresses = [
            admin_server.address for admin_server in self._admin_servers
        ]
        self.engines: list[engine.StandInEngine] = []
        self.plain_services: list[plain_service.StandInPlainService] = []
        self.runs_by_key: Counter[str] = Counter()
        self.agents: list[agent_shell.AgentShell] = []
        self._runner_by_name: dict[str, document.Runner] = {}
        self._make_upstreams()
        self.entry = entry_shell.EntryShell(
            name="entry-1",
            address=entry_address,
            zone=ZONES[0],
            control_address_by_replica=self._rpc_address_by_replica,
            key=self._cluster_key,
            token=self._internal_token,
            incarnation=time.time_ns(),
        )

    def start(self) -> None:
        """Start every part, apply the configuration, wait until it is ready.

        Raises:
            errors.InternalError: The configuration was refused, or the entry
                did not become ready in time.
        """
        for control in self.controls:
            control.start()
        for admin_server in self._admin_servers:
            admin_server.start()
        for stand_in in self._stand_ins:
            stand_in.start()
        for agent in self.agents:
            agent.start()
        self.entry.start()
        self._apply_configuration()
        self._wait_for_entry()

    def stop(self) -> None:
        """Stop the entry, the agents, the stand-ins and the replicas, in order.

        The parts of one group stop in parallel.
        """
        _stop_in_parallel([self.entry.stop])
        _stop_in_parallel(
            [functools.partial(agent.stop, notice_s=0) for agent in self.agents]
        )
        _stop_in_parallel(
            [
                *(stand_in.stop for stand_in in self._stand_ins),
                *(admin_server.stop for admin_server in self._admin_servers),
            ]
        )
        _stop_in_parallel([control.stop for control in self.controls])

    @property
    def _stand_ins(
        self,
    ) -> list[engine.StandInEngine | plain_service.StandInPlainService]:
        return [*self.engines, *self.plain_services]

    def _make_control(
        self, name: str, folder: pathlib.Path
    ) -> control_shell.ControlShell:
        return control_shell.ControlShell(
            replica=name,
            peer_address_by_replica=self._peer_address_by_replica,
            rpc_address=self._rpc_address_by_replica[name],
            folder=folder,
            key=self._cluster_key,
            bootstrap=True,
            incarnation=time.time_ns(),
        )

    def _make_admin_servers(
        self, first_address: str
    ) -> list[server_lib.HttpServer]:
        digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        address_by_replica: dict[str, str] = {}
        admin_servers = []
        for number, control in enumerate(self.controls):
            app = admin.AdminApp(
                shell=control,
                address_by_replica=address_by_replica,
                operator_by_token_digest={digest: "demo"},
            )
            server = server_lib.HttpServer(
                address=first_address if number == 0 else "127.0.0.1:0", app=app
            )
            address_by_replica[REPLICAS[number]] = server.address
            admin_servers.append(server)
        return admin_servers

    def _make_upstreams(self) -> None:
        for service, model in MODEL_BY_SERVICE.items():
            for number in range(ENGINES_PER_SERVICE):
                stand_in = engine.StandInEngine(
                    address="127.0.0.1:0",
                    parameters=engine_core.EngineParameters(),
                    model=f"{model}@1",
                )
                self.engines.append(stand_in)
                self._add_agent(service, number, stand_in.address)
        for number in range(PLAIN_UPSTREAMS):
            upstream = plain_service.StandInPlainService(
                address="127.0.0.1:0", runs_by_key=self.runs_by_key
            )
            self.plain_services.append(upstream)
            self._add_agent(PLAIN_SERVICE, number, upstream.address)

    def _add_agent(self, service: str, number: int, upstream: str) -> None:
        runner = f"{service}-{number + 1}"
        agent = agent_shell.AgentShell(
            runner=runner,
            address="127.0.0.1:0",
            upstream=upstream,
            control_address_by_replica=self._rpc_address_by_replica,
            key=self._cluster_key,
            token=self._internal_token,
            incarnation=time.time_ns(),
            options=agent_shell.AgentOptions(
                feed="127.0.0.1:0",
                kind=document.ServiceKind.PLAIN
                if service == PLAIN_SERVICE
                else document.ServiceKind.MODEL,
            ),
        )
        self.agents.append(agent)
        self._runner_by_name[runner] = document.Runner(
            service=service,
            address=agent.address,
            zone=ZONES[number % len(ZONES)],
            vm=f"vm-{runner}",
            feed=agent.feed_address,
        )

    def _make_document(self) -> document.Document:
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
            capacity_pieces=len(self._runner_by_name),
            services=services,
            runners=self._runner_by_name,
            accounts={"demo": document.Account(token_digest=token_digest)},
        )

    def _apply_configuration(self) -> None:
        body = msgspec.json.encode(self._make_document())
        headers = {
            "Authorization": f"Bearer {OPERATOR_TOKEN}",
            "If-Match": '"0"',
            "Idempotency-Key": "demo-start",
        }
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            response = urllib3.request(
                "PATCH",
                f"http://{self.admin_addresses[0]}/v1/config",
                body=body,
                headers=headers,
            )
            if response.status == 200:
                return
            time.sleep(POLL_INTERVAL_S)
        raise errors.InternalError(
            f"demo: configuration refused: {response.data!r}"
        )

    def _wait_for_entry(self) -> None:
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if self.entry.is_ready() and self.entry.config.number > 0:
                return
            time.sleep(POLL_INTERVAL_S)
        raise errors.InternalError("demo: the entry did not become ready")
