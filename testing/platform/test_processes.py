"""Tests of the platform's programs, each run as a process."""

import json
import os
import pathlib
import subprocess
import sys

import pytest
from support import platform_site
import urllib3

from wisteriawall.demo import cluster
from wisteriawall.platform import settings as settings_lib

KEY = "6f" * 32


def free_port() -> int:
    """Return a port on loopback that is free at the moment."""
    return int(cluster.unused_loopback_address().rpartition(":")[2])


def write_settings(folder: pathlib.Path, *, with_disk: bool) -> pathlib.Path:
    """Write the settings file of a single VM; return its path."""
    control = f"127.0.0.1:{free_port()}"
    first_port = free_port()
    settings = {
        "node_name": "n1",
        "ip_address": "127.0.0.1",
        "zone": "z1",
        "seeds": [control],
        "internal_ports": [first_port, first_port + 8],
        "cloud_api": {"address": f"127.0.0.1:{free_port()}"},
        "listen_addresses": {
            "frontend": f"127.0.0.1:{free_port()}",
            "ready": f"127.0.0.1:{free_port()}",
            "control": control,
        },
        "bootstrap": True,
        "data_directory": str(folder / "data") if with_disk else None,
    }
    path = folder / "settings.json"
    path.write_text(json.dumps(settings))
    return path


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
    command = [sys.executable, "-m", "wisteriawall.platform", role]
    process = subprocess.Popen(
        [*command, "--metrics-port", str(metrics_port)],
        env=os.environ
        | {
            settings_lib.SETTINGS_VARIABLE: str(
                write_settings(tmp_path, with_disk=with_disk)
            ),
            "WISTERIAWALL_CLUSTER_KEY": KEY,
        },
        stdout=subprocess.PIPE,
    )

    def answers() -> bool:
        url = f"http://127.0.0.1:{metrics_port}/metrics"
        try:
            return urllib3.request("GET", url, retries=False).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    try:
        platform_site.wait_until(answers, "metrics")
        assert process.stdout is not None
        while b'"start"' not in process.stdout.readline():
            pass
        process.terminate()
        text, _ = process.communicate(timeout=platform_site.WAIT_S)
    finally:
        process.kill()
    assert process.returncode == 0
    assert b'"stopped"' in text.splitlines()[-1]


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
