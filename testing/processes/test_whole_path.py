"""The whole path as separate processes on loopback."""

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

Start = Callable[..., subprocess.Popen[str]]


def test_request_crosses_separate_processes(
    start: Start, tmp_path: pathlib.Path
) -> None:
    names = ("c1", "c2", "c3")
    peers, rpc, admin = (
        {name: cluster_lib.free_address() for name in names} for _ in range(3)
    )
    joined = [
        ",".join(f"{n}={a}" for n, a in group.items())
        for group in (peers, rpc, admin)
    ]
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    for name in names:
        start(
            *("control", "--bootstrap", "--replica", name),
            *("--peers", joined[0]),
            *("--rpc", rpc[name], "--admin", admin[name]),
            *("--admin-peers", joined[2], "--data", str(tmp_path / name)),
            *("--operators", msgspec.json.encode({digest: "op"}).decode()),
        )
    upstream, gate, entry = (cluster_lib.free_address() for _ in range(3))
    start("stand-in", "model", "--listen", upstream)
    start(
        *("agent", "--runner", "r1", "--upstream", upstream),
        *("--listen", gate, "--control", joined[1]),
    )
    collector = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    collector.bind(("127.0.0.1", 0))
    collector.settimeout(READY_S)
    statsd = f"127.0.0.1:{collector.getsockname()[1]}"
    front = start(
        *("entry", "--name", "e1", "--zone", "a", "--listen", entry),
        *("--control", joined[1], "--statsd", statsd),
    )
    _configure(admin["c2"], gate)
    data = _complete(entry)
    assert data.count(b"data: ") == 11
    assert data.endswith(b"data: [DONE]\n\n")
    with collector:
        counted = iter(lambda: collector.recv(512), b"")
        assert any(d == b"wisteriawall.entry.e1.finished:1|c" for d in counted)
    front.send_signal(signal.SIGTERM)
    assert front.wait(timeout=READY_S) == 0


def _configure(admin: str, gate: str) -> None:
    change = {
        "capacity_pieces": 1,
        "services": {
            "s": {"kind": "model", "share_pieces": 1, "models": ["m"]}
        },
        "runners": {
            "r1": {"service": "s", "address": gate, "zone": "a", "vm": "v"}
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


def _complete(entry: str) -> bytes:
    body = {"model": "m", "prompt": "a dog", "max_tokens": 10, "stream": True}
    deadline = time.monotonic() + READY_S
    while True:
        response = urllib3.request(
            "POST",
            f"http://{entry}/v1/completions",
            body=msgspec.json.encode(body),
            headers={"Authorization": f"Bearer {ACCOUNT}"},
        )
        if response.status == 200 or time.monotonic() > deadline:
            assert response.status == 200, response.data
            return response.data
        time.sleep(0.1)
