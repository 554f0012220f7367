"""Invalid requests, an entry at its request limit, and planned stops."""

import http.client
import socket
import threading
from typing import Any

import msgspec
import pytest

from wisteriawall.web import server as server_lib

AUTH_HEADER = "Authorization: Bearer secret\r\n"
VALID_BODY = b'{"model":"m","prompt":"p","max_tokens":2,"stream":true}'
COMPLETION_HEAD = "POST /v1/completions HTTP/1.1\r\nHost: h\r\n"


def request_head(line: str, *fields: str, length: int | None = None) -> bytes:
    text = line + "".join(fields)
    if length is not None:
        text += f"Content-Length: {length}\r\n"
    return (text + "\r\n").encode()


def completion_request(body: bytes, *fields: str) -> bytes:
    return (
        request_head(COMPLETION_HEAD, AUTH_HEADER, *fields, length=len(body))
        + body
    )


def exchange(address: str, data: bytes, *, half_close: bool) -> Any:
    """Return the parsed response; None if the connection closed without one."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=20) as client:
        client.sendall(data)
        if half_close:
            client.shutdown(socket.SHUT_WR)
        response = http.client.HTTPResponse(client, method=data[:4].decode())
        try:
            response.begin()
        except (http.client.HTTPException, ConnectionError):
            return None
        response.data = response.read()
        return response


CASES = {
    "no-json": (completion_request(b"{"), 400, "bad_request"),
    "json-of-wrong-type": (completion_request(b"[1]"), 400, "bad_request"),
    "field-of-wrong-type": (
        completion_request(b'{"model":7}'),
        400,
        "bad_request",
    ),
    "deep-json": (completion_request(b"[" * 100_000), 400, "bad_request"),
    "not-utf-8": (completion_request(b'{"model":"\xff"}'), 400, "bad_request"),
    "no-tokens": (
        completion_request(b'{"model":"m","max_tokens":0}'),
        400,
        "bad_request",
    ),
    "reserved-field": (
        completion_request(b'{"model":"m","resume_tokens":3}'),
        400,
        "bad_request",
    ),
    "unknown-model": (completion_request(b'{"model":"x"}'), 404, "not_found"),
    "unknown-service": (
        request_head("GET /services/x/y HTTP/1.1\r\nHost: h\r\n", AUTH_HEADER),
        404,
        "not_found",
    ),
    "unknown-path": (
        request_head("GET /x HTTP/1.1\r\nHost: h\r\n", AUTH_HEADER),
        404,
        "not_found",
    ),
    "no-account": (
        request_head(COMPLETION_HEAD, length=2) + b"{}",
        401,
        "unauthenticated",
    ),
    "unknown-account": (
        request_head(
            COMPLETION_HEAD, "Authorization: Bearer \xe9\r\n", length=2
        )
        + b"{}",
        401,
        "unauthenticated",
    ),
    "wrong-method": (
        request_head(
            "GET /v1/completions HTTP/1.1\r\nHost: h\r\n", AUTH_HEADER
        ),
        405,
        "method_not_allowed",
    ),
    "missing-key": (
        request_head(
            "POST /services/pay/pay HTTP/1.1\r\nHost: h\r\n",
            AUTH_HEADER,
            length=0,
        ),
        400,
        "idempotency_key_required",
    ),
    "long-key": (
        completion_request(VALID_BODY, f"Idempotency-Key: {'k' * 256}\r\n"),
        400,
        "bad_request",
    ),
    "oversize-body": (
        request_head(
            COMPLETION_HEAD, AUTH_HEADER, length=server_lib.MAX_BODY_BYTES + 1
        ),
        413,
        "body_too_large",
    ),
    "oversize-chunk": (
        request_head(
            COMPLETION_HEAD, AUTH_HEADER, "Transfer-Encoding: chunked\r\n"
        )
        + b"fffffff\r\n",
        413,
        "body_too_large",
    ),
    "bad-chunk": (
        request_head(
            COMPLETION_HEAD, AUTH_HEADER, "Transfer-Encoding: chunked\r\n"
        )
        + b"zz\r\n",
        400,
        "bad_request",
    ),
    "bad-length": (
        request_head(COMPLETION_HEAD, AUTH_HEADER, "Content-Length: x\r\n"),
        400,
        "bad_request",
    ),
    "large-head": (
        request_head(
            COMPLETION_HEAD,
            AUTH_HEADER,
            f"X: {'x' * server_lib.MAX_HEADER_BYTES}\r\n",
        ),
        413,
        "body_too_large",
    ),
    "malformed-line": (b"what\r\n\r\n", 400, "bad_request"),
    "malformed-head": (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", 400, None),
    "slow-head": (
        request_head(COMPLETION_HEAD, AUTH_HEADER)[:-2],
        408,
        "request_timeout",
    ),
    "slow-body": (
        request_head(COMPLETION_HEAD, AUTH_HEADER, length=9) + b"{",
        408,
        "request_timeout",
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_bad_request_is_refused_as_not_run(
    shared_harness: Any, case: str
) -> None:
    data, status, code = CASES[case]
    entry = shared_harness.entries[0]
    before = len(shared_harness.dispatches)
    response = exchange(entry.address, data, half_close=False)
    assert response.status == status
    fields = msgspec.json.decode(response.data)
    assert code is None or fields["error"]["code"] == code
    assert fields["run"] == "not_run"
    assert response.getheader("Allow") == ("POST" if status == 405 else None)
    assert len(shared_harness.dispatches) == before
    assert (
        exchange(
            entry.address, completion_request(VALID_BODY), half_close=False
        ).status
        == 200
    )
    shared_harness.wait_until(lambda: entry.in_flight == 0)
    shared_harness.wait_until(lambda: entry.http.busy_worker_threads == 0)
    assert entry.http.monitor_registrations == 0


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"GET / HT",
        request_head(COMPLETION_HEAD, AUTH_HEADER)[:-2],
        request_head(COMPLETION_HEAD, AUTH_HEADER, length=9) + b"{",
    ],
    ids=["nothing", "half-line", "half-head", "half-body"],
)
@pytest.mark.parametrize("half_close", [True, False], ids=["half", "slow"])
def test_incomplete_or_slow_request_occupies_no_thread(
    shared_harness: Any, data: bytes, half_close: bool
) -> None:
    entry = shared_harness.entries[0]
    threads_before = threading.active_count()
    for _ in range(4):
        response = exchange(entry.address, data, half_close=half_close)
        assert response is None or response.status in (400, 408)
    shared_harness.wait_until(lambda: entry.http.busy_worker_threads == 0)
    assert threading.active_count() <= threads_before


def test_chunked_body_and_head_request_are_served(harness: Any) -> None:
    entry = harness.start_entry()
    chunks = b"".join(
        b"%x\r\n%s\r\n" % (len(part), part)
        for part in (VALID_BODY[:9], VALID_BODY[9:])
    )
    data = (
        request_head(
            COMPLETION_HEAD, AUTH_HEADER, "Transfer-Encoding: chunked\r\n"
        )
        + chunks
    )
    response = exchange(entry.address, data + b"0\r\n\r\n", half_close=False)
    assert response.status == 200
    assert response.data.endswith(b"data: [DONE]\n\n")
    probe = exchange(
        entry.address,
        request_head(
            "HEAD /healthz HTTP/1.1\r\nConnection: close\r\nHost: h\r\n"
        ),
        half_close=False,
    )
    assert (probe.status, probe.data) == (200, b"")


def test_entry_at_its_limit_refuses_requests_but_serves_probes(
    harness: Any,
) -> None:
    entry = harness.start_entry(max_requests=2)
    harness.inject_faults(("silence", 1), ("silence", 1))
    held = []
    for count in (1, 2):
        host, _, port = entry.address.rpartition(":")
        held.append(socket.create_connection((host, int(port))))
        held[-1].sendall(completion_request(VALID_BODY))
        harness.wait_until(lambda n=count: len(harness.dispatches) == n)
    refused = exchange(
        entry.address, completion_request(VALID_BODY), half_close=False
    )
    assert refused.status == 503
    assert msgspec.json.decode(refused.data)["run"] == "not_run"
    assert int(refused.getheader("Retry-After")) >= 1
    probe = request_head("GET /readyz HTTP/1.1\r\nHost: h\r\n")
    assert exchange(entry.address, probe, half_close=False).status == 200
    for client in held:
        client.close()
    harness.wait_until(lambda: entry.in_flight == 0)
    assert (
        exchange(
            entry.address, completion_request(VALID_BODY), half_close=False
        ).status
        == 200
    )


def test_planned_stop_finishes_running_and_refuses_new_requests(
    harness: Any,
) -> None:
    entry = harness.start_entry(grace_s=0.2)
    harness.inject_faults(("hold", 0))
    pay = request_head(
        "POST /services/pay/pay HTTP/1.1\r\nHost: h\r\n",
        AUTH_HEADER,
        "Idempotency-Key: k\r\n",
        length=0,
    )
    answers: list[Any] = []

    def send() -> None:
        answers.append(exchange(entry.address, pay, half_close=False))

    caller = threading.Thread(target=send)
    caller.start()
    harness.wait_until(lambda: any(p.dispatches for p in harness.plain_runners))
    aborted: list[int] = []
    stop_thread = threading.Thread(target=lambda: aborted.append(entry.stop()))
    stop_thread.start()
    harness.wait_until(lambda: not entry.is_ready())
    probe = request_head("GET /readyz HTTP/1.1\r\nHost: h\r\n")
    assert exchange(entry.address, probe, half_close=False).status == 503
    # Within the grace period new requests are still served.
    assert (
        exchange(
            entry.address, completion_request(VALID_BODY), half_close=False
        ).status
        == 200
    )
    harness.wait_until(lambda: entry.is_stopping)
    for _ in range(30):
        # It keeps refusing as long as an answer is in progress.
        refused = exchange(
            entry.address, completion_request(VALID_BODY), half_close=False
        )
        fields = msgspec.json.decode(refused.data)
        assert (refused.status, fields["run"]) == (503, "not_run")
        assert refused.getheader("Retry-After")
        stop_thread.join(timeout=0.02)
    assert not answers
    for plain in harness.plain_runners:
        plain.release.set()
    caller.join()
    stop_thread.join()
    assert (answers[0].status, answers[0].data) == (200, b"paid")
    assert aborted == [0]


def test_drain_deadline_aborts_and_counts_requests(harness: Any) -> None:
    entry = harness.start_entry(drain_deadline_s=0.3)
    harness.inject_faults(("silence", 1))
    host, _, port = entry.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=20) as client:
        client.sendall(completion_request(VALID_BODY))
        harness.wait_until(lambda: len(harness.dispatches) == 1)
        assert entry.stop() == 1
        with pytest.raises(ConnectionResetError):
            while client.recv(65_536):
                pass
