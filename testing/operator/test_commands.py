"""Tests of the operator commands against a running demo cluster."""

from collections.abc import Iterator
import pathlib

import msgspec
import pytest
from typer import testing as typer_testing

from wisteriawall import cli
from wisteriawall import errors
from wisteriawall.demo import cluster as cluster_lib
from wisteriawall.operator import client as client_lib


@pytest.fixture(scope="module")
def cluster(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[cluster_lib.DemoCluster]:
    """Yield a running demo cluster, shared by the tests of this module."""
    cluster = cluster_lib.DemoCluster(
        folder=tmp_path_factory.mktemp("demo"),
        entry_address="127.0.0.1:0",
        admin_address="127.0.0.1:0",
    )
    cluster.start()
    yield cluster
    cluster.stop()


def run_command(
    cluster: cluster_lib.DemoCluster,
    *arguments: str,
    token: str = cluster_lib.OPERATOR_TOKEN,
    replica: int = 1,
) -> typer_testing.Result:
    """Run a command against the operator address of one replica."""
    return typer_testing.CliRunner().invoke(
        cli.app,
        list(arguments),
        env={
            "WISTERIAWALL_OPERATOR_CONTROL": cluster.admin_addresses[replica],
            "WISTERIAWALL_OPERATOR_TOKEN": token,
        },
    )


def current_number(cluster: cluster_lib.DemoCluster) -> int:
    """Return the number of the current configuration."""
    config = msgspec.json.decode(run_command(cluster, "config", "get").stdout)
    config_number: int = config["number"]
    return config_number


def write_patch(folder: pathlib.Path, change: object) -> str:
    """Write a patch to a file and return its path."""
    path = folder / "patch.json"
    path.write_bytes(msgspec.json.encode(change))
    return str(path)


def test_patch_is_shown_by_history_diff_audit_and_status(
    cluster: cluster_lib.DemoCluster, tmp_path: pathlib.Path
) -> None:
    base = current_number(cluster)
    change = {"services": {"briefs": {"deadline_ms": 41_000}}}
    result = run_command(
        cluster,
        *("config", "patch", write_patch(tmp_path, change)),
        *("--number", str(base), "--id", "change-1"),
    )
    assert result.exit_code == 0, result.output
    assert result.stdout.startswith(f"configuration {base + 1}; held by ")
    diff = run_command(cluster, "config", "diff", str(base), str(base + 1))
    assert msgspec.json.decode(diff.stdout) == change | {"number": base + 1}
    assert "change-1" in run_command(cluster, "config", "history").stdout
    audit = run_command(cluster, "audit", "--kind", "patch", "--json").stdout
    last = msgspec.json.decode(audit.splitlines()[-1])
    assert (last["actor"], last["cause"]) == ("demo", "change-1")
    status = run_command(cluster, "status").stdout
    assert f"configuration {base + 1}, leader control-" in status
    assert "entry/entry-1" in status


@pytest.mark.parametrize(
    ("change", "offset", "token", "error", "exit_code"),
    [
        pytest.param(
            {"capacity_pieces": 8},
            -1,
            cluster_lib.OPERATOR_TOKEN,
            "stale_configuration",
            errors.ExitCode.CONFLICT,
            id="stale",
        ),
        pytest.param(
            {"capacity_pieces": "x", "odd": 1},
            0,
            cluster_lib.OPERATOR_TOKEN,
            "odd: unknown field",
            errors.ExitCode.USAGE,
            id="invalid",
        ),
        pytest.param(
            {},
            0,
            "forged",
            "unauthenticated",
            errors.ExitCode.USAGE,
            id="unauthenticated",
        ),
    ],
)
def test_refused_patch_sets_the_exit_code(
    cluster: cluster_lib.DemoCluster,
    tmp_path: pathlib.Path,
    change: object,
    offset: int,
    token: str,
    error: str,
    exit_code: errors.ExitCode,
) -> None:
    before = current_number(cluster)
    result = run_command(
        cluster,
        *("config", "patch", write_patch(tmp_path, change)),
        *("--number", str(before + offset)),
        token=token,
    )
    assert isinstance(result.exception, errors.WisteriawallError)
    assert error in str(result.exception)
    assert result.exception.exit_code is exit_code
    assert current_number(cluster) == before


def test_check_against_the_active_configuration(
    cluster: cluster_lib.DemoCluster, tmp_path: pathlib.Path
) -> None:
    file = tmp_path / "config.json"
    active = msgspec.json.decode(run_command(cluster, "config", "get").stdout)
    for capacity in (active["capacity_pieces"], active["capacity_pieces"] + 1):
        file.write_bytes(
            msgspec.json.encode(active | {"capacity_pieces": capacity})
        )
        result = run_command(
            cluster, "config", "check", str(file), "--against", "live"
        )
        differs = capacity != active["capacity_pieces"]
        assert ("difference: capacity_pieces: " in result.stdout) is differs
        assert result.exit_code == differs, result.output


def test_drain_and_undo_show_in_status(
    cluster: cluster_lib.DemoCluster,
) -> None:
    for arguments, phase in (((), "draining"), (("--undo",), "live")):
        assert (
            run_command(cluster, "drain", "orders-1", *arguments).exit_code == 0
        )
        status = msgspec.json.decode(
            run_command(cluster, "status", "--json").stdout
        )
        phase_by_name = {
            runner["name"]: runner["phase"] for runner in status["runners"]
        }
        assert phase_by_name["orders-1"] == phase


def test_unknown_runner_and_unreachable_control_differ(
    cluster: cluster_lib.DemoCluster,
) -> None:
    unknown = run_command(cluster, "drain", "nobody")
    assert "no such runner" in str(unknown.exception)
    client = client_lib.OperatorClient(
        addresses=(cluster_lib.unused_loopback_address(),), token="t"
    )
    with pytest.raises(client_lib.Unavailable):
        client.call("GET", "/v1/status")
