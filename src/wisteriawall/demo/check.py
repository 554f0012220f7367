"""Checks that `wisteriawall demo --check` runs against a demo cluster."""

from collections.abc import Iterator
import time
from typing import final

import msgspec
import urllib3

from wisteriawall.control import events
from wisteriawall.demo import cluster as cluster_lib

__all__ = ["CheckResult", "run"]

ROLE_TIMEOUT_S = 20.0
POLL_S = 0.1
TOKENS = 20


@final
class CheckResult(msgspec.Struct, frozen=True):
    """One check: its name, whether it held, and what was seen."""

    name: str
    held: bool
    detail: str


def run(cluster: cluster_lib.DemoCluster) -> Iterator[CheckResult]:
    """Yield the result of each check."""
    yield _check_stream(cluster)
    yield _check_patch(cluster)
    yield _check_stale_patch(cluster)
    yield _check_payment(cluster)
    yield _check_role_change(cluster)


def _entry(
    cluster: cluster_lib.DemoCluster, path: str, body: object, key: str = ""
) -> urllib3.BaseHTTPResponse:
    headers = {
        "Authorization": f"Bearer {cluster_lib.ACCOUNT_TOKEN}",
        "Content-Type": "application/json",
    }
    if key:
        headers["Idempotency-Key"] = key
    return urllib3.request(
        "POST",
        f"http://{cluster.entry.address}{path}",
        body=msgspec.json.encode(body),
        headers=headers,
    )


def _patch(
    cluster: cluster_lib.DemoCluster, number: int, change: object
) -> urllib3.BaseHTTPResponse:
    return urllib3.request(
        "PATCH",
        f"http://{cluster.admin_addresses[0]}/v1/config",
        body=msgspec.json.encode(change),
        headers={
            "Authorization": f"Bearer {cluster_lib.OPERATOR_TOKEN}",
            "If-Match": f'"{number}"',
        },
    )


def _check_stream(cluster: cluster_lib.DemoCluster) -> CheckResult:
    response = _entry(
        cluster,
        "/v1/completions",
        {
            "model": "brief-writer",
            "prompt": "a brown dog on a red chair",
            "max_tokens": TOKENS,
            "stream": True,
        },
    )
    data = response.data
    whole = data.endswith(b"data: [DONE]\n\n")
    tokens = data.count(b"data: ") - 1
    held = response.status == 200 and whole and tokens == TOKENS
    return CheckResult("streamed completion", held, f"{tokens} tokens")


def _check_patch(cluster: cluster_lib.DemoCluster) -> CheckResult:
    number = cluster.entry.config.number
    change = {"services": {"briefs": {"deadline_ms": 30_000}}}
    response = _patch(cluster, number, change)
    held = response.status == 200
    return CheckResult("configuration patch", held, response.data.decode())


def _check_stale_patch(cluster: cluster_lib.DemoCluster) -> CheckResult:
    response = _patch(cluster, 0, {"capacity_pieces": 1})
    held = response.status == 412
    return CheckResult("stale patch refused", held, f"HTTP {response.status}")


def _check_payment(cluster: cluster_lib.DemoCluster) -> CheckResult:
    body = {"order": 7, "cents": 4_500}
    path = "/services/orders/payments"
    first = _entry(cluster, path, body, key="order-7")
    second = _entry(cluster, path, body, key="order-7")
    runs = cluster.runs_by_key["order-7"]
    held = first.status == 200 and runs == 1 and first.data == second.data
    return CheckResult("payment sent twice", held, f"ran {runs} time(s)")


def _check_role_change(cluster: cluster_lib.DemoCluster) -> CheckResult:
    number = _config_number(cluster)
    change = {"runners": {"briefs-1": {"role": "prefill"}}}
    _patch(cluster, number, change)
    deadline = time.monotonic() + ROLE_TIMEOUT_S
    role = ""
    while time.monotonic() < deadline and role != "prefill":
        time.sleep(POLL_S)
        role = cluster.engines[0].orders.role.value
    held = role == "prefill" and _settles(cluster, deadline)
    return CheckResult("role change", held, f"briefs-1 is {role}")


def _settles(cluster: cluster_lib.DemoCluster, deadline: float) -> bool:
    """Tell whether the status shows the order done before the deadline."""
    while time.monotonic() < deadline:
        reply = cluster.controls[0].call(events.StatusRequest())
        if isinstance(reply, events.StatusReply):
            runner = next(r for r in reply.runners if r.name == "briefs-1")
            if runner.role.value == "prefill" and not runner.pending:
                return True
        time.sleep(POLL_S)
    return False


def _config_number(cluster: cluster_lib.DemoCluster) -> int:
    reply = cluster.controls[0].call(events.ConfigRequest())
    assert isinstance(reply, events.ConfigReply)
    return reply.document.number
