"""Checks that `wisteriawall demo --check` runs against a demo cluster."""

from collections.abc import Iterator
import time
from typing import final

import msgspec
import urllib3

from wisteriawall.control import events
from wisteriawall.demo import cluster as cluster_lib

__all__ = ["CheckResult", "run"]

ROLE_CHANGE_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1
MAX_TOKENS = 20


@final
class CheckResult(msgspec.Struct, frozen=True):
    """The result of one check: whether it passed, and what was observed."""

    name: str
    passed: bool
    detail: str


def run(cluster: cluster_lib.DemoCluster) -> Iterator[CheckResult]:
    """Run the checks in order and yield the result of each."""
    yield _check_streamed_completion(cluster)
    yield _check_configuration_patch(cluster)
    yield _check_stale_patch(cluster)
    yield _check_repeated_payment(cluster)
    yield _check_role_change(cluster)


def _post_to_entry(
    cluster: cluster_lib.DemoCluster,
    path: str,
    body: object,
    idempotency_key: str = "",
) -> urllib3.BaseHTTPResponse:
    headers = {
        "Authorization": f"Bearer {cluster_lib.ACCOUNT_TOKEN}",
        "Content-Type": "application/json",
    }
    if idempotency_key:
        headers["Idempotency-Key"] = idempotency_key
    return urllib3.request(
        "POST",
        f"http://{cluster.entry.address}{path}",
        body=msgspec.json.encode(body),
        headers=headers,
    )


def _patch_configuration(
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


def _check_streamed_completion(cluster: cluster_lib.DemoCluster) -> CheckResult:
    response = _post_to_entry(
        cluster,
        "/v1/completions",
        {
            "model": "brief-writer",
            "prompt": "a brown dog on a red chair",
            "max_tokens": MAX_TOKENS,
            "stream": True,
        },
    )
    stream = response.data
    complete = stream.endswith(b"data: [DONE]\n\n")
    tokens = stream.count(b"data: ") - 1
    passed = response.status == 200 and complete and tokens == MAX_TOKENS
    return CheckResult("streamed completion", passed, f"{tokens} tokens")


def _check_configuration_patch(cluster: cluster_lib.DemoCluster) -> CheckResult:
    number = cluster.entry.config.number
    change = {"services": {"briefs": {"deadline_ms": 30_000}}}
    response = _patch_configuration(cluster, number, change)
    passed = response.status == 200
    return CheckResult("configuration patch", passed, response.data.decode())


def _check_stale_patch(cluster: cluster_lib.DemoCluster) -> CheckResult:
    response = _patch_configuration(cluster, 0, {"capacity_pieces": 1})
    passed = response.status == 412
    return CheckResult("stale patch refused", passed, f"HTTP {response.status}")


def _check_repeated_payment(cluster: cluster_lib.DemoCluster) -> CheckResult:
    body = {"order": 7, "cents": 4_500}
    path = "/services/orders/payments"
    first_response = _post_to_entry(
        cluster, path, body, idempotency_key="order-7"
    )
    second_response = _post_to_entry(
        cluster, path, body, idempotency_key="order-7"
    )
    runs = cluster.runs_by_key["order-7"]
    passed = (
        first_response.status == 200
        and runs == 1
        and first_response.data == second_response.data
    )
    return CheckResult("payment sent twice", passed, f"ran {runs} time(s)")


def _check_role_change(cluster: cluster_lib.DemoCluster) -> CheckResult:
    number = _newest_config_number(cluster)
    change = {"runners": {"briefs-1": {"role": "prefill"}}}
    _patch_configuration(cluster, number, change)
    deadline_s = time.monotonic() + ROLE_CHANGE_TIMEOUT_S
    role = ""
    while time.monotonic() < deadline_s and role != "prefill":
        time.sleep(POLL_INTERVAL_S)
        role = cluster.engines[0].orders.role.value
    passed = role == "prefill" and _wait_for_role_in_status(cluster, deadline_s)
    return CheckResult("role change", passed, f"briefs-1 is {role}")


def _wait_for_role_in_status(
    cluster: cluster_lib.DemoCluster, deadline_s: float
) -> bool:
    """Return whether the status shows the new role and no pending order.

    Polls until `deadline_s` on the monotonic clock.
    """
    while time.monotonic() < deadline_s:
        reply = cluster.controls[0].call(events.StatusRequest())
        if isinstance(reply, events.StatusReply):
            runner = next(r for r in reply.runners if r.name == "briefs-1")
            if runner.role.value == "prefill" and not runner.pending:
                return True
        time.sleep(POLL_INTERVAL_S)
    return False


def _newest_config_number(cluster: cluster_lib.DemoCluster) -> int:
    reply = cluster.controls[0].call(events.ConfigRequest())
    assert isinstance(reply, events.ConfigReply)
    return reply.document.number
