"""The whole path as separate processes on loopback."""

from collections.abc import Iterator
import hashlib
import os
import pathlib
import signal
import subprocess
import sys
import time

import msgspec
import pytest
import urllib3

from wisteriawall.demo import cluster as cluster_lib

KEY = "ab" * 32
TOKEN = "operator"
ACCOUNT = "account"
READY_S = 20.0


class Processes:
    """Processes that one test started, ended by id at teardown."""

    def __init__(self) -> None:
        """Start with none."""
        self.running: list[subprocess.Popen[str]] = []

    def start(self, *arguments: str) -> subprocess.Popen[str]:
        """Start one program and wait for its line."""
        process = subprocess.Popen(
            [sys.executable, "-m", "wisteriawall", *arguments],
            env={**os.environ, "WISTERIAWALL_CLUSTER_KEY": KEY},
            stdout=subprocess.PIPE,
            text=True,
        )
        self.running.append(process)
        assert process.stdout is not None
        assert process.stdout.readline()
        return process


@pytest.fixture
def processes() -> Iterator[Processes]:
    """Yield a starter of processes; kill what is left."""
    started = Processes()
    yield started
    for process in started.running:
        process.kill()
        process.wait()
        assert process.stdout is not None
        process.stdout.close()


def test_request_crosses_separate_processes(
    processes: Processes, tmp_path: pathlib.Path
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
        processes.start(
            *("control", "--replica", name, "--peers", joined[0]),
            *("--rpc", rpc[name], "--admin", admin[name]),
            *("--admin-peers", joined[2], "--data", str(tmp_path / name)),
            *("--operators", msgspec.json.encode({digest: "op"}).decode()),
        )
    upstream, gate, entry = (cluster_lib.free_address() for _ in range(3))
    processes.start("stand-in", "model", "--listen", upstream)
    processes.start(
        *("agent", "--runner", "r1", "--upstream", upstream),
        *("--listen", gate, "--control", joined[1]),
    )
    front = processes.start(
        *("entry", "--name", "e1", "--zone", "a", "--listen", entry),
        *("--control", joined[1]),
    )
    _configure(admin["c2"], gate)
    data = _complete(entry)
    assert data.count(b"data: ") == 11
    assert data.endswith(b"data: [DONE]\n\n")
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
