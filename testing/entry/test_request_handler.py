"""Answers through an entry whose runners fail.

Connections close early, streams stall, and answers belong to other requests.
"""

import http.client
import socket
import threading
from typing import Any

import msgspec
import pytest

TOKENS = 6


def post(
    address: str,
    path: str,
    body: bytes,
    key: str = "",
    timeout: float = 20.0,
) -> tuple[http.client.HTTPResponse, bytes]:
    host, _, port = address.rpartition(":")
    client = http.client.HTTPConnection(host, int(port), timeout=timeout)
    headers = {"Authorization": "Bearer secret"}
    if key:
        headers["Idempotency-Key"] = key
    client.request("POST", path, body, headers)
    response = client.getresponse()
    try:
        return response, response.read()
    finally:
        client.close()


def complete(entry: Any, *, stream: bool, key: str = "") -> bytes:
    body = {"model": "m", "prompt": "p", "max_tokens": TOKENS, "stream": stream}
    response, data = post(
        entry.address, "/v1/completions", msgspec.json.encode(body), key
    )
    assert response.status == 200, data
    return data


def expected_answer(harness: Any, *, stream: bool) -> bytes:
    request_id = harness.dispatches[0]["request_id"]
    if stream:
        events = [harness.event(request_id, index) for index in range(TOKENS)]
        return b"".join(events) + b"data: [DONE]\n\n"
    text = "".join(f"w{index} " for index in range(TOKENS))
    return msgspec.json.encode(
        {
            "id": request_id,
            "object": "text_completion",
            "model": "m",
            "choices": [{"index": 0, "text": text}],
        }
    )


@pytest.mark.parametrize("stream", [True, False], ids=["stream", "whole"])
@pytest.mark.parametrize("fault", ["close", "foreign", "end", "stall"])
def test_broken_answer_is_resumed_byte_for_byte(
    harness: Any, fault: str, stream: bool
) -> None:
    entry = harness.start_entry()
    # A stall costs the idle timeout, so it is tried at two positions only. A
    # stall before the first token would last until the first-byte timeout.
    fault_positions = (1, TOKENS) if fault == "stall" else range(TOKENS + 1)
    for at in fault_positions:
        for runner in harness.runners:
            runner.dispatches.clear()
        harness.inject_faults((fault, at))
        data = complete(entry, stream=stream)
        assert data == expected_answer(harness, stream=stream)
        resumed = [d for d in harness.dispatches if "resume_tokens" in d]
        assert len(harness.dispatches) == 2
        assert [d["resume_tokens"] for d in resumed] == ([at] if at else [])
        assert all(
            d["resume_text"] == "".join(f"w{i} " for i in range(at))
            for d in resumed
        )
        assert len({d["request_id"] for d in harness.dispatches}) == 1
        assert all(len(r.dispatches) == 1 for r in harness.runners)


def test_answer_that_keeps_breaking_is_aborted(harness: Any) -> None:
    entry = harness.start_entry()
    harness.inject_faults(*[("close", at) for at in range(1, 9)])
    with pytest.raises((http.client.IncompleteRead, ConnectionError)):
        complete(entry, stream=True)
    assert len(harness.dispatches) == 4


def test_incomplete_answer_to_an_http_1_0_caller_ends_in_a_reset(
    harness: Any,
) -> None:
    entry = harness.start_entry()
    harness.inject_faults(*[("close", at) for at in range(1, 9)])
    body = b'{"model":"m","prompt":"p","max_tokens":6,"stream":true}'
    host, _, port = entry.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=20) as client:
        client.sendall(
            b"POST /v1/completions HTTP/1.0\r\nAuthorization: Bearer secret"
            b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        )
        with pytest.raises(ConnectionResetError):
            while client.recv(65_536):
                pass


@pytest.mark.parametrize("stream", [True, False], ids=["stream", "whole"])
@pytest.mark.parametrize("fault", ["stall", "silence"])
def test_disconnected_caller_cancels_its_attempt(
    harness: Any, fault: str, stream: bool
) -> None:
    entry = harness.start_entry()
    threads_before = threading.active_count()
    harness.inject_faults((fault, 2))
    body = {"model": "m", "prompt": "p", "max_tokens": 6, "stream": stream}
    data = msgspec.json.encode(body)
    host, _, port = entry.address.rpartition(":")
    client = socket.create_connection((host, int(port)))
    client.sendall(
        b"POST /v1/completions HTTP/1.1\r\nAuthorization: Bearer secret\r\n"
        b"Host: h\r\nContent-Length: %d\r\n\r\n" % len(data) + data
    )
    harness.wait_until(lambda: harness.dispatches)
    client.close()
    harness.wait_until(lambda: not entry.in_flight)
    harness.wait_until(lambda: not entry.http.busy_worker_threads)
    assert len(harness.dispatches) == 1
    assert threading.active_count() <= threads_before


def test_answer_to_another_request_is_never_delivered(harness: Any) -> None:
    entry = harness.start_entry()
    harness.inject_faults(("crossed", 99))
    data = complete(entry, stream=True)
    assert data == expected_answer(harness, stream=True)
    assert len(harness.dispatches) == 2
