"""Tests of orders that arrive after what they belong to has passed."""

from collections.abc import Iterator
import contextlib
import hashlib
import pathlib
import time

import pytest
from support import platform_site

from wisteriawall.control import admin
from wisteriawall.control import events
from wisteriawall.control import leader_commands
from wisteriawall.control import membership
from wisteriawall.control import shell as shell_lib
from wisteriawall.demo import cluster as cluster_lib
from wisteriawall.operator import client as client_lib
from wisteriawall.platform import operators
from wisteriawall.web import server as server_lib
from wisteriawall.wire import control_messages
from wisteriawall.wire import gateway_messages

KEY = b"k" * 32
TOKEN = "secret"
CONFIG = b"""{"capacity_pieces": 1,
"services": {"s": {"kind": "plain", "share_pieces": 1}},
"runners": {"r": {"service": "s", "address": "127.0.0.1:9", "zone": "z",
"vm": "v"}}}"""
INCARNATION = 200


def new_shell(
    folder: pathlib.Path, name: str, peers: dict[str, str]
) -> shell_lib.ControlShell:
    """Return a replica that has not started."""
    return shell_lib.ControlShell(
        replica=name,
        peer_address_by_replica=peers,
        rpc_address=cluster_lib.unused_loopback_address(),
        folder=folder / name,
        key=KEY,
        incarnation=time.time_ns(),
        bootstrap=True,
    )


@pytest.fixture
def shell(tmp_path: pathlib.Path) -> Iterator[shell_lib.ControlShell]:
    """Yield a leading replica with a runner."""
    peers = {"a": cluster_lib.unused_loopback_address()}
    shell = new_shell(tmp_path, "a", peers)
    shell.start()
    patch = events.PatchRequest("p", "op", 0, CONFIG)
    platform_site.wait_until(
        lambda: isinstance(shell.call(patch), events.PatchReply), "the patch"
    )
    yield shell
    shell.stop()


@pytest.fixture
def servers(
    shell: shell_lib.ControlShell,
) -> Iterator[list[server_lib.HttpServer]]:
    """Yield two operators' servers that listen, but do not answer yet."""
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    app = admin.AdminApp(
        shell=shell,
        address_by_replica={},
        operator_by_token_digest={digest: "op"},
    )
    servers = [
        server_lib.HttpServer(address="127.0.0.1:0", app=app, threads=2)
        for _ in range(2)
    ]
    yield servers
    for server in servers:
        with contextlib.suppress(RuntimeError):  # It was not started.
            server.stop(response_timeout_s=0.1)


def phase(shell: shell_lib.ControlShell) -> str:
    """Return the phase of the runner in the status."""
    reply = shell.call(events.StatusRequest(whole=False))
    assert isinstance(reply, events.StatusReply)
    return str(reply.runners[0].phase)


def test_drain_of_a_frozen_replica_does_not_end_a_later_undo(
    shell: shell_lib.ControlShell,
    servers: list[server_lib.HttpServer],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_lib, "TIMEOUT_S", 0.3)
    frozen, other = servers
    other.start()
    client = client_lib.OperatorClient(
        addresses=(frozen.address, other.address), token=TOKEN
    )
    client.call("POST", "/v1/drain", body=b'{"runner":"r"}')
    assert phase(shell) == "draining"
    client = client_lib.OperatorClient(addresses=(other.address,), token=TOKEN)
    client.call("POST", "/v1/drain", body=b'{"runner":"r","undo":true}')
    frozen.start()
    platform_site.wait_until(
        lambda: frozen.busy_worker_threads == 0, "the late drain"
    )
    time.sleep(0.5)
    assert phase(shell) != "draining"


def renew_for(
    shell: shell_lib.ControlShell, seconds: float, incarnation: int
) -> None:
    """Renew the lease of an entry and of the agent of the runner."""
    kind = control_messages.ProcessKind
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        for name, process_kind, runner in (
            ("entry/e", kind.ENTRY, ""),
            ("agent/r", kind.AGENT, "r"),
        ):
            shell.call(
                control_messages.RenewRequest(
                    process=name,
                    incarnation=incarnation,
                    kind=process_kind,
                    config_number=1,
                    fleet_version=0,
                    runner=runner,
                    demand=[],
                )
            )
        time.sleep(0.1)


@pytest.mark.parametrize(
    "restarted",
    [
        pytest.param(INCARNATION + 1, id="clock-goes-on"),
        pytest.param(INCARNATION - 1, id="clock-stepped-back"),
    ],
)
def test_processes_that_start_again_are_live(
    shell: shell_lib.ControlShell,
    monkeypatch: pytest.MonkeyPatch,
    restarted: int,
) -> None:
    """The number of a start is its time of day."""
    monkeypatch.setattr(leader_commands, "ENTRY_LOST_AFTER_MS", 1_000)
    monkeypatch.setattr(membership, "HEARTBEAT_TIMEOUT_MS", 1_000)
    renew_for(shell, 1.5, INCARNATION)
    renew_for(shell, 2.5, restarted)
    assert phase(shell) == "live"


def publish(shells: list[shell_lib.ControlShell], number: int) -> None:
    """Send a table to the replicas until one of them acknowledges it."""
    body = b'{"version":%d,"routes":[],"services":[]}' % number
    request = events.PublishRequest("op", operators.decode_table(body), body)
    platform_site.wait_until(
        lambda: any(
            isinstance(shell.call(request), events.PublishReply)
            for shell in shells
        ),
        f"table {number}",
    )


def test_late_request_to_join_does_not_stop_two_of_three_replicas(
    tmp_path: pathlib.Path,
) -> None:
    """It removes a member on its host, though that one is needed."""
    names = ("a", "b", "c")
    peers = {name: cluster_lib.unused_loopback_address() for name in names}
    shells = [new_shell(tmp_path, name, peers) for name in names]
    with contextlib.ExitStack() as stack:
        for shell in shells:
            shell.start()
            stack.callback(shell.stop)
        publish(shells, 1)
        lost, host, leader = sorted(shells, key=lambda shell: shell.is_leader)
        lost.stop()
        publish([leader, host], 2)
        leader.call(
            gateway_messages.JoinRequest(
                f"{host.replica}-of-an-earlier-disk",
                peers[host.replica],
                "",
                "",
            )
        )
        publish([leader, host], 3)
