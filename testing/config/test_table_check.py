"""Tests of the findings about routing tables and of their command."""

import json
import pathlib
import subprocess
import sys
from typing import Any

import pytest
from support import platform_site

from wisteriawall.config import table_check
from wisteriawall.platform import operators

SECRET = "k-secret-1"
SHOP = {"name": "shop", "health_path": "/", "connection_limit": 5}
ENGINE = {
    "slots": 6,
    "kv_cache_tokens": 0,
    "kv_token_bytes": 1,
    "link_mbps": 1.0,
}
TENANT = {"name": "a", "api_keys": [SECRET]}


def one_route(**fields: Any) -> dict[str, Any]:
    """Return the change to a document whose only route has these fields."""
    route = platform_site.route("/r/", "read_only", "shop") | fields
    return {"routes": [route], "services": [SHOP]}


def encode(version: int, more: dict[str, Any]) -> bytes:
    """Return a published document with these fields."""
    return json.dumps(platform_site.document(version, **more)).encode()


@pytest.mark.parametrize(
    ("more", "expected"),
    [
        pytest.param(one_route(), [], id="clean"),
        pytest.param(one_route(host="*.x"), ["no request has host"], id="host"),
        pytest.param(one_route(path_prefix="/a?/"), ["no path"], id="prefix"),
        pytest.param(
            one_route(timeout_ms=100, target_latency_ms=101),
            ["101 ms exceeds the time-out"],
            id="target-above-timeout",
        ),
        pytest.param(
            one_route(target_latency_ms=0), ["can't be met"], id="target"
        ),
        pytest.param(
            one_route(target_gap_ms=10**6, type="streaming"),
            ["target gap of 1000000 ms exceeds"],
            id="gap-above-timeout",
        ),
        pytest.param(
            one_route(target_gap_ms=1, resumable=True),
            ["gap has no effect", "resumable contradicts"],
            id="no-stream",
        ),
        pytest.param(
            one_route() | {"services": [SHOP, SHOP | {"name": "t"}]},
            ["no route sends requests to it"],
            id="service-without-route",
        ),
        pytest.param(
            one_route(
                service=None,
                weighted_services=[
                    {"service": "shop", "weight": 1},
                    {"service": "t", "weight": 0},
                ],
            )
            | {"services": [SHOP, SHOP | {"name": "t"}]},
            ["weight 0", "no route sends requests to it"],
            id="weight-0",
        ),
        pytest.param(
            one_route() | {"services": [SHOP | {"engine": ENGINE}]},
            ["memory_tokens of 0", "6 slots of an engine exceed"],
            id="engine",
        ),
        pytest.param(
            one_route() | {"services": [SHOP | {"connection_limit": 0}]},
            ["0 connections"],
            id="connections",
        ),
        pytest.param(
            one_route() | {"limits": {"idle_ms": 0}}, ["of 0"], id="limit"
        ),
        pytest.param(
            one_route() | {"tenants": []},
            ["there are no accounts"],
            id="no-accounts",
        ),
        pytest.param(
            one_route() | {"tenants": [TENANT, {"name": "b", "api_keys": []}]},
            ["has no key"],
            id="account-without-key",
        ),
        pytest.param(
            one_route(public=True) | {"tenants": [TENANT]},
            ["all routes are public"],
            id="account-without-use",
        ),
    ],
)
def test_warnings_of_a_table(more: dict[str, Any], expected: list[str]) -> None:
    findings = list(
        table_check.check_table(operators.decode_table(encode(1, more)))
    )
    assert len(findings) == len(expected), findings
    for finding, message in zip(findings, expected, strict=True):
        assert finding.severity == "warning"
        assert message in finding.message


def test_differences_count_keys() -> None:
    """Neither keys nor their digests may reach an operator's log."""
    before, after = (
        operators.decode_table(encode(version, more))
        for version, more in (
            (1, one_route() | {"tenants": [TENANT]}),
            (
                2,
                one_route(timeout_ms=9_000)
                | {"tenants": [TENANT | {"api_keys": ["x", "y"]}]},
            ),
        )
    )
    findings = list(table_check.compare_tables(before, after))
    assert [finding.message for finding in findings] == [
        f"changed from {before.routes[0].timeout_ms} to 9000",
        "2 keys added, 1 keys removed",
    ]
    assert not list(table_check.compare_tables(before, before))


@pytest.mark.parametrize(
    ("more", "exit_code", "output"),
    [
        pytest.param(one_route(), 0, "no findings", id="clean"),
        pytest.param(
            one_route(timeout_ms=0), 1, "error: route 'r': time-out", id="error"
        ),
        pytest.param(
            one_route() | {"tenants": [TENANT, TENANT]},
            1,
            "error: tenants[1].api_keys[0]: ",
            id="shared-key",
        ),
        pytest.param(None, 2, "No such file", id="absent"),
    ],
)
def test_command(
    tmp_path: pathlib.Path,
    more: dict[str, Any] | None,
    exit_code: int,
    output: str,
) -> None:
    file = tmp_path / "table.json"
    if more is not None:
        file.write_bytes(encode(1, more))
    done = subprocess.run(
        [sys.executable, "-m", "wisteriawall.platform", "check", str(file)],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert output in done.stdout + done.stderr
    assert SECRET not in done.stdout + done.stderr
    assert done.returncode == exit_code
