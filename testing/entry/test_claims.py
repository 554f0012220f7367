"""Requests with an idempotency key run at most once.

Tested end to end with up to two entries, and runners and control that fail.
"""

from collections import Counter
import concurrent.futures
import http.client
import socket
from typing import Any

import msgspec
import pytest

from wisteriawall.wire import control_messages as messages


def post_payment(
    entry: Any,
    key: str = "k",
    body: bytes = b"5",
    path: str = "/services/pay/pay",
) -> tuple[int, Any]:
    host, _, port = entry.address.rpartition(":")
    client = http.client.HTTPConnection(host, int(port), timeout=20)
    headers = {"Authorization": "Bearer secret", "Idempotency-Key": key}
    client.request("POST", path, body, headers)
    response = client.getresponse()
    data = response.read()
    client.close()
    return response.status, data


def parse_refusal(data: bytes) -> tuple[str, str]:
    fields = msgspec.json.decode(data)
    return fields["error"]["code"], fields["run"]


def run_count(harness: Any) -> int:
    return sum(len(plain.dispatches) for plain in harness.plain_runners)


def test_two_entries_racing_on_one_key_run_it_once(harness: Any) -> None:
    entries = [harness.start_entry(), harness.start_entry()]
    for number in range(5):
        key = f"k{number}"
        before = run_count(harness)
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            answers = list(pool.map(post_payment, entries * 4, [key] * 8))
        statuses = Counter(status for status, _ in answers)
        assert run_count(harness) - before == 1
        assert set(statuses) <= {200, 409}
        assert statuses[200] >= 1
        assert {d for s, d in answers if s == 200} == {b"paid"}
        assert {parse_refusal(d) for s, d in answers if s == 409} <= {
            ("already_running", "unknown")
        }


def test_key_with_another_body_is_refused(harness: Any) -> None:
    entry = harness.start_entry()
    assert post_payment(entry)[0] == 200
    status, data = post_payment(entry, body=b"6")
    assert (status, *parse_refusal(data)) == (
        422,
        "idempotency_key_reused",
        "not_run",
    )
    assert run_count(harness) == 1


@pytest.mark.parametrize("fault", ["close", "crossed"])
def test_interrupted_run_is_unknown_and_never_repeated(
    harness: Any, fault: str
) -> None:
    entries = [harness.start_entry(), harness.start_entry()]
    harness.inject_faults((fault, 0))
    status, data = post_payment(entries[0])
    assert (status, *parse_refusal(data)) == (502, "upstream_failed", "unknown")
    for entry in entries:
        status, data = post_payment(entry)
        assert (status, *parse_refusal(data)) == (
            409,
            "unknown_outcome",
            "unknown",
        )
    assert run_count(harness) == 1


def test_attempt_that_did_not_run_goes_to_another_runner(harness: Any) -> None:
    entry = harness.start_entry()
    harness.inject_faults(("refuse", 0))
    assert post_payment(entry) == (200, b"paid")
    assert [len(plain.dispatches) for plain in harness.plain_runners] == [1, 1]


def test_claim_is_released_when_all_runners_refuse(harness: Any) -> None:
    entry = harness.start_entry()
    harness.inject_faults(*[("refuse", 0)] * 4)
    status, data = post_payment(entry)
    assert (status, *parse_refusal(data)) == (503, "upstream_failed", "not_run")
    assert harness.control.claims == {}
    assert post_payment(entry) == (200, b"paid")


def test_disconnected_caller_does_not_cancel_its_claimed_run(
    harness: Any,
) -> None:
    entry = harness.start_entry()
    harness.inject_faults(("hold", 0))
    host, _, port = entry.address.rpartition(":")
    with socket.create_connection((host, int(port))) as client:
        client.sendall(
            b"POST /services/pay/pay HTTP/1.1\r\nHost: h\r\n"
            b"Authorization: Bearer secret\r\nIdempotency-Key: k\r\n"
            b"Content-Length: 1\r\n\r\n5"
        )
        harness.wait_until(lambda: run_count(harness) == 1)
    harness.wait_until(lambda: entry.disconnected_callers == 1)
    for plain in harness.plain_runners:
        plain.release.set()
    harness.wait_until(lambda: entry.in_flight == 0)
    assert post_payment(entry) == (200, b"paid")
    assert run_count(harness) == 1


def test_answer_too_large_to_store_is_reported_as_run(harness: Any) -> None:
    entry = harness.start_entry()
    for plain in harness.plain_runners:
        plain.body = b"x" * 65_537
    assert post_payment(entry) == (200, b"x" * 65_537)
    status, data = post_payment(entry)
    assert (status, *parse_refusal(data)) == (409, "answer_not_kept", "ran")
    assert run_count(harness) == 1


def test_answer_is_sent_although_control_does_not_confirm_it(
    harness: Any,
) -> None:
    entry = harness.start_entry()
    harness.control.dropped_types = {messages.SettleRequest}
    assert post_payment(entry) == (200, b"paid")
    assert harness.control.settled == []
    harness.control.dropped_types = set()
    harness.wait_until(lambda: len(harness.control.settled) == 1)
    assert post_payment(entry) == (200, b"paid")
    assert run_count(harness) == 1


def test_unconfirmed_claim_is_not_run_and_is_released(harness: Any) -> None:
    entry = harness.start_entry()
    harness.control.unanswered_types = {messages.ClaimRequest}
    status, data = post_payment(entry)
    assert (status, *parse_refusal(data)) == (503, "unavailable", "not_run")
    assert len(harness.control.claims) == 1
    harness.control.unanswered_types = set()
    harness.wait_until(lambda: harness.control.claims == {})
    assert post_payment(entry) == (200, b"paid")
    assert run_count(harness) == 1


@pytest.mark.parametrize("stream", [True, False], ids=["stream", "whole"])
def test_model_request_with_a_key_runs_once(harness: Any, stream: bool) -> None:
    entry = harness.start_entry()
    body = msgspec.json.encode(
        {"model": "m", "prompt": "p", "max_tokens": 3, "stream": stream}
    )
    first = post_payment(entry, body=body, path="/v1/completions")
    assert first[0] == 200
    assert post_payment(entry, body=body, path="/v1/completions") == first
    assert len(harness.dispatches) == 1
    harness.inject_faults(("close", 1))
    status, data = post_payment(entry, "other", body, "/v1/completions")
    assert (status, *parse_refusal(data)) == (502, "upstream_failed", "unknown")
    assert len(harness.dispatches) == 2
