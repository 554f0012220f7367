"""End-to-end test: every role as a separate process on loopback."""

from collections.abc import Callable
import hashlib
import pathlib
import signal
import socket
import subprocess
import time

import msgspec
import urllib3

from wisteriawall.demo import cluster as cluster_lib

TOKEN = "operator"
ACCOUNT = "account"
READY_S = 20.0

StartProcess = Callable[..., subprocess.Popen[str]]


def test_completion_passes_through_all_processes(
    start_process: StartProcess, tmp_path: pathlib.Path
) -> None:
    replicas = ("c1", "c2", "c3")
    peers, rpc, admin = (
        {name: cluster_lib.unused_loopback_address() for name in replicas}
        for _ in range(3)
    )
    address_lists = [
        ",".join(f"{n}={a}" for n, a in group.items())
        for group in (peers, rpc, admin)
    ]
    token_digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    for name in replicas:
        start_process(
            *("control", "--bootstrap", "--replica", name),
            *("--peers", address_lists[0]),
            *("--rpc", rpc[name], "--admin", admin[name]),
            *(
                "--admin-peers",
                address_lists[2],
                "--data",
                str(tmp_path / name),
            ),
            *(
                "--operators",
                msgspec.json.encode({token_digest: "op"}).decode(),
            ),
        )
    upstream_address, agent_address, entry_address = (
        cluster_lib.unused_loopback_address() for _ in range(3)
    )
    start_process("stand-in", "model", "--listen", upstream_address)
    start_process(
        *("agent", "--runner", "r1", "--upstream", upstream_address),
        *("--listen", agent_address, "--control", address_lists[1]),
    )
    statsd_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    statsd_socket.bind(("127.0.0.1", 0))
    statsd_socket.settimeout(READY_S)
    statsd = f"127.0.0.1:{statsd_socket.getsockname()[1]}"
    entry = start_process(
        *("entry", "--name", "e1", "--zone", "a", "--listen", entry_address),
        *("--control", address_lists[1], "--statsd", statsd),
    )
    _configure(admin["c2"], agent_address)
    data = _complete(entry_address)
    assert data.count(b"data: ") == 11
    assert data.endswith(b"data: [DONE]\n\n")
    with statsd_socket:
        datagrams = iter(lambda: statsd_socket.recv(512), b"")
        assert any(
            d == b"wisteriawall.entry.e1.finished:1|c" for d in datagrams
        )
    entry.send_signal(signal.SIGTERM)
    assert entry.wait(timeout=READY_S) == 0


def _configure(admin: str, agent_address: str) -> None:
    change = {
        "capacity_pieces": 1,
        "services": {
            "s": {"kind": "model", "share_pieces": 1, "models": ["m"]}
        },
        "runners": {
            "r1": {
                "service": "s",
                "address": agent_address,
                "zone": "a",
                "vm": "v",
            }
        },
        "accounts": {
            "acme": {
                "token_digest": hashlib.sha256(ACCOUNT.encode()).hexdigest()
            }
        },
    }
    headers = {
        "Authorization": f"Bearer {TOKEN}",
        "If-Match": '"0"',
        "Idempotency-Key": "first",
    }
    deadline = time.monotonic() + READY_S
    status = 0
    while status != 200 and time.monotonic() < deadline:
        time.sleep(0.1)
        response = urllib3.request(
            "PATCH",
            f"http://{admin}/v1/config",
            body=msgspec.json.encode(change),
            headers=headers,
        )
        status = response.status
    assert status == 200


def _complete(entry_address: str) -> bytes:
    body = {"model": "m", "prompt": "a dog", "max_tokens": 10, "stream": True}
    deadline = time.monotonic() + READY_S
    while True:
        response = urllib3.request(
            "POST",
            f"http://{entry_address}/v1/completions",
            body=msgspec.json.encode(body),
            headers={"Authorization": f"Bearer {ACCOUNT}"},
        )
        if response.status == 200 or time.monotonic() > deadline:
            assert response.status == 200, response.data
            return response.data
        time.sleep(0.1)
