"""At most once, end to end over two entries and faulty runners."""

from collections import Counter
import concurrent.futures
import http.client
import socket
from typing import Any

import msgspec
import pytest

from wisteriawall.wire import control_messages as messages


def pay(
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


def refused(data: bytes) -> tuple[str, str]:
    fields = msgspec.json.decode(data)
    return fields["error"]["code"], fields["run"]


def runs(bench: Any) -> int:
    return sum(len(plain.dispatches) for plain in bench.plains)


def test_two_entries_racing_on_one_key_run_it_once(bench: Any) -> None:
    entries = [bench.entry(), bench.entry()]
    for number in range(5):
        key = f"k{number}"
        before = runs(bench)
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            answers = list(pool.map(pay, entries * 4, [key] * 8))
        statuses = Counter(status for status, _ in answers)
        assert runs(bench) - before == 1
        assert set(statuses) <= {200, 409}
        assert statuses[200] >= 1
        assert {d for s, d in answers if s == 200} == {b"paid"}
        assert {refused(d) for s, d in answers if s == 409} <= {
            ("already_running", "unknown")
        }


def test_key_with_another_body_is_refused(bench: Any) -> None:
    entry = bench.entry()
    assert pay(entry)[0] == 200
    status, data = pay(entry, body=b"6")
    assert (status, *refused(data)) == (
        422,
        "idempotency_key_reused",
        "not_run",
    )
    assert runs(bench) == 1


@pytest.mark.parametrize("fault", ["close", "crossed"])
def test_run_lost_in_the_middle_is_unknown_and_never_repeated(
    bench: Any, fault: str
) -> None:
    entries = [bench.entry(), bench.entry()]
    bench.fault((fault, 0))
    status, data = pay(entries[0])
    assert (status, *refused(data)) == (502, "upstream_failed", "unknown")
    for entry in entries:
        status, data = pay(entry)
        assert (status, *refused(data)) == (409, "unknown_outcome", "unknown")
    assert runs(bench) == 1


def test_proved_not_run_goes_to_another_runner(bench: Any) -> None:
    entry = bench.entry()
    bench.fault(("refuse", 0))
    assert pay(entry) == (200, b"paid")
    assert [len(plain.dispatches) for plain in bench.plains] == [1, 1]


def test_claim_is_released_when_no_runner_took_it(bench: Any) -> None:
    entry = bench.entry()
    bench.fault(*[("refuse", 0)] * 4)
    status, data = pay(entry)
    assert (status, *refused(data)) == (502, "upstream_failed", "not_run")
    assert bench.control.claims == {}
    assert pay(entry) == (200, b"paid")


def test_vanished_caller_does_not_cancel_its_claimed_run(bench: Any) -> None:
    entry = bench.entry()
    bench.fault(("hold", 0))
    host, _, port = entry.address.rpartition(":")
    with socket.create_connection((host, int(port))) as client:
        client.sendall(
            b"POST /services/pay/pay HTTP/1.1\r\nHost: h\r\n"
            b"Authorization: Bearer secret\r\nIdempotency-Key: k\r\n"
            b"Content-Length: 1\r\n\r\n5"
        )
        bench.wait_until(lambda: runs(bench) == 1)
    bench.wait_until(lambda: entry.callers_gone == 1)
    for plain in bench.plains:
        plain.release.set()
    bench.wait_until(lambda: entry.in_flight == 0)
    assert pay(entry) == (200, b"paid")
    assert runs(bench) == 1


def test_answer_too_large_to_keep_is_said_to_have_run(bench: Any) -> None:
    entry = bench.entry()
    for plain in bench.plains:
        plain.body = b"x" * 65_537
    assert pay(entry) == (200, b"x" * 65_537)
    status, data = pay(entry)
    assert (status, *refused(data)) == (409, "answer_not_kept", "ran")
    assert runs(bench) == 1


def test_answer_is_given_though_control_cannot_confirm_it(bench: Any) -> None:
    entry = bench.entry()
    bench.control.away = {messages.SettleRequest}
    assert pay(entry) == (200, b"paid")
    assert bench.control.settled == []
    bench.control.away = set()
    bench.wait_until(lambda: len(bench.control.settled) == 1)
    assert pay(entry) == (200, b"paid")
    assert runs(bench) == 1


def test_unconfirmed_claim_is_not_run_and_returned(bench: Any) -> None:
    entry = bench.entry()
    bench.control.mute = {messages.ClaimRequest}
    status, data = pay(entry)
    assert (status, *refused(data)) == (503, "unavailable", "not_run")
    assert len(bench.control.claims) == 1
    bench.control.mute = set()
    bench.wait_until(lambda: bench.control.claims == {})
    assert pay(entry) == (200, b"paid")
    assert runs(bench) == 1


@pytest.mark.parametrize("stream", [True, False], ids=["stream", "whole"])
def test_model_request_with_a_key_runs_once(bench: Any, stream: bool) -> None:
    entry = bench.entry()
    body = msgspec.json.encode(
        {"model": "m", "prompt": "p", "max_tokens": 3, "stream": stream}
    )
    first = pay(entry, body=body, path="/v1/completions")
    assert first[0] == 200
    assert pay(entry, body=body, path="/v1/completions") == first
    assert len(bench.dispatches) == 1
    bench.fault(("close", 1))
    status, data = pay(entry, "other", body, "/v1/completions")
    assert (status, *refused(data)) == (502, "upstream_failed", "unknown")
    assert len(bench.dispatches) == 2
