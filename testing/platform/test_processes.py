"""Tests of the platform's programs, each run as a process."""

from collections.abc import Iterator
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading

import msgspec
import pytest
from support import platform_site
import urllib3

from wisteriawall.demo import cluster
from wisteriawall.platform import settings as settings_lib
from wisteriawall.wire import transport

KEY = "6f" * 32
# Outgoing connections leave from 127.0.0.1 and may take a free port there.
HOST = cluster.unused_loopback_address().rpartition(":")[0]


def free_port() -> int:
    """Return a port of `HOST` that is free at the moment."""
    return int(cluster.unused_loopback_address().rpartition(":")[2])


def write_settings(folder: pathlib.Path, *, with_disk: bool) -> pathlib.Path:
    """Write the settings file of a single VM; return its path."""
    control = f"{HOST}:{free_port()}"
    first_port = free_port()
    settings = {
        "node_name": "n1",
        "ip_address": HOST,
        "zone": "z1",
        "seeds": [control],
        "internal_ports": [first_port, first_port + 8],
        "cloud_api": {"address": f"{HOST}:{free_port()}"},
        "listen_addresses": {
            "frontend": f"{HOST}:{free_port()}",
            "ready": f"{HOST}:{free_port()}",
            "control": control,
        },
        "bootstrap": True,
        "data_directory": str(folder / "data") if with_disk else None,
    }
    path = folder / "settings.json"
    path.write_text(json.dumps(settings))
    return path


def use_other_seed(path: pathlib.Path) -> str:
    """Name another VM as the only seed; return its RPC address."""
    document = json.loads(path.read_text())
    document |= {"seeds": [f"127.0.0.2:{free_port()}"], "bootstrap": False}
    path.write_text(json.dumps(document))
    settings = msgspec.json.decode(
        path.read_bytes(), type=settings_lib.Settings
    )
    return settings.seed_rpc_by_replica()["127.0.0.2"]


@contextlib.contextmanager
def run_role(
    role: str,
    settings: pathlib.Path,
    *,
    metrics_port: int | None = None,
    stderr: int | None = None,
) -> Iterator[subprocess.Popen[bytes]]:
    """Run a role as a process; kill it at the end if it still runs."""
    port = free_port() if metrics_port is None else metrics_port
    command = [sys.executable, "-m", "wisteriawall.platform", role]
    process = subprocess.Popen(
        [*command, "--metrics-port", str(port)],
        env=os.environ
        | {
            settings_lib.SETTINGS_VARIABLE: str(settings),
            "WISTERIAWALL_CLUSTER_KEY": KEY,
        },
        stdout=subprocess.PIPE,
        stderr=stderr,
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


def read_until(process: subprocess.Popen[bytes], text: bytes) -> None:
    """Read the process's log up to the line that contains `text`."""
    assert process.stdout is not None
    lines = []
    for line in process.stdout:
        if text in line:
            return
        lines.append(line)
    raise AssertionError(f"the process ended without {text!r} in {lines}")


@pytest.mark.parametrize(
    ("role", "with_disk"),
    [
        pytest.param("gateway", False, id="gateway"),
        pytest.param("control", True, id="replica"),
        pytest.param("control", False, id="control-without-a-disk"),
    ],
)
def test_sigterm_ends_a_process_that_serves_metrics(
    tmp_path: pathlib.Path, role: str, with_disk: bool
) -> None:
    metrics_port = free_port()
    settings = write_settings(tmp_path, with_disk=with_disk)

    def answers() -> bool:
        url = f"http://{HOST}:{metrics_port}/metrics"
        try:
            return urllib3.request("GET", url, retries=False).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    with run_role(role, settings, metrics_port=metrics_port) as process:
        read_until(process, b'"start"')
        platform_site.wait_until(answers, "metrics")
        process.terminate()
        text, _ = process.communicate(timeout=platform_site.WAIT_S)
    assert process.returncode == 0
    assert b'"stopped"' in text.splitlines()[-1]


def stop_and_check_log(process: subprocess.Popen[bytes]) -> None:
    """End a process; its log must show neither a warning nor a traceback."""
    process.terminate()
    text, errors = process.communicate(timeout=platform_site.WAIT_S)
    lines = [json.loads(line) for line in text.splitlines()]
    loud = [ln for ln in lines if ln.get("level", "INFO") != "INFO"]
    assert (process.returncode, errors, loud) == (0, b"", [])


@pytest.mark.parametrize("role", ["gateway", "control"])
def test_sigterm_ends_a_process_that_calls_a_control_without_an_answer(
    tmp_path: pathlib.Path, role: str
) -> None:
    """The call went on in NNG, which the interpreter had shut down."""
    settings = write_settings(tmp_path, with_disk=True)
    received = threading.Event()
    mute = transport.RpcServer(
        address=use_other_seed(settings), handler=lambda _: received.set()
    )
    mute.start()
    with (
        contextlib.closing(mute),
        run_role(role, settings, stderr=subprocess.PIPE) as process,
    ):
        assert received.wait(platform_site.WAIT_S)
        stop_and_check_log(process)


@pytest.mark.parametrize("role", ["gateway", "control"])
def test_sigterm_ends_a_process_that_calls_an_unreachable_control(
    tmp_path: pathlib.Path, role: str
) -> None:
    settings = write_settings(tmp_path, with_disk=True)
    use_other_seed(settings)
    with run_role(role, settings, stderr=subprocess.PIPE) as process:
        read_until(process, b'"start"')
        stop_and_check_log(process)


def test_sigterm_ends_a_gateway_that_polls_control(
    tmp_path: pathlib.Path,
) -> None:
    settings = write_settings(tmp_path, with_disk=True)
    with (
        run_role("control", settings) as control,
        run_role("gateway", settings, stderr=subprocess.PIPE) as gateway,
    ):
        read_until(gateway, b'"control-back"')
        stop_and_check_log(gateway)
        control.terminate()
        control.communicate(timeout=platform_site.WAIT_S)
    assert control.returncode == 0


@pytest.mark.parametrize(
    ("role", "with_disk"),
    [
        pytest.param("gateway", False, id="gateway"),
        pytest.param("control", True, id="replica"),
        pytest.param("control", False, id="control-without-a-disk"),
    ],
)
def test_sighup_reloads_the_settings(
    tmp_path: pathlib.Path, role: str, with_disk: bool
) -> None:
    """A process without a handler for SIGHUP ends with exit code -1."""
    settings = write_settings(tmp_path, with_disk=with_disk)
    with run_role(role, settings) as process:
        read_until(process, b'"start"')
        for text in (settings.read_text(), "{"):
            settings.write_text(text)
            process.send_signal(signal.SIGHUP)
        # The second content is malformed: the previous settings stay in use.
        read_until(process, b"kept the previous settings")
        process.terminate()
        process.communicate(timeout=platform_site.WAIT_S)
    assert process.returncode == 0


@pytest.mark.parametrize(
    ("role", "with_disk", "used"),
    [
        pytest.param("gateway", False, "ready", id="gateway"),
        pytest.param("control", True, "control", id="replica"),
        pytest.param("control", False, "control", id="control-without-a-disk"),
    ],
)
def test_a_failed_start_ends_the_process(
    tmp_path: pathlib.Path, role: str, with_disk: bool, used: str
) -> None:
    """Threads of the metrics server kept such a process alive."""
    settings = write_settings(tmp_path, with_disk=with_disk)
    document = json.loads(settings.read_text())
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        document["listen_addresses"][used] = f"127.0.0.1:{port}"
        settings.write_text(json.dumps(document))
        with run_role(role, settings) as process:
            text, _ = process.communicate(timeout=platform_site.WAIT_S)
    assert process.returncode == 1
    assert b"the role failed" in text


@pytest.mark.parametrize(
    ("role", "excluded_parts"),
    [
        pytest.param("gateway", "control storage entry agent", id="gateway"),
        pytest.param("control", "gateway entry agent standin", id="control"),
    ],
)
def test_role_imports_only_what_it_runs(role: str, excluded_parts: str) -> None:
    listed = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys, wisteriawall.platform.commands\n"
            f"import wisteriawall.platform.{role}_role\n"
            "print(*sys.modules)",
        ],
        capture_output=True,
        check=True,
        text=True,
    ).stdout.split()
    unwanted = {f"wisteriawall.{part}" for part in excluded_parts.split()}
    assert unwanted.isdisjoint(listed)
