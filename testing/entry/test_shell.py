"""What callers may send, when an entry is full, and how it stops."""

import http.client
import socket
import threading
from typing import Any

import msgspec
import pytest

from wisteriawall.web import server as server_lib

AUTH = "Authorization: Bearer secret\r\n"
GOOD = b'{"model":"m","prompt":"p","max_tokens":2,"stream":true}'
V1 = "POST /v1/completions HTTP/1.1\r\nHost: h\r\n"


def head(line: str, *fields: str, length: int | None = None) -> bytes:
    text = line + "".join(fields)
    if length is not None:
        text += f"Content-Length: {length}\r\n"
    return (text + "\r\n").encode()


def posted(body: bytes, *fields: str) -> bytes:
    return head(V1, AUTH, *fields, length=len(body)) + body


def exchange(address: str, data: bytes, *, half_close: bool) -> Any:
    """Return the parsed response, None if the connection just closed."""
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
    "no-json": (posted(b"{"), 400, "bad_request"),
    "json-of-wrong-type": (posted(b"[1]"), 400, "bad_request"),
    "field-of-wrong-type": (posted(b'{"model":7}'), 400, "bad_request"),
    "deep-json": (posted(b"[" * 100_000), 400, "bad_request"),
    "not-utf-8": (posted(b'{"model":"\xff"}'), 400, "bad_request"),
    "no-tokens": (posted(b'{"model":"m","max_tokens":0}'), 400, "bad_request"),
    "reserved-field": (
        posted(b'{"model":"m","resume_tokens":3}'),
        400,
        "bad_request",
    ),
    "unknown-model": (posted(b'{"model":"x"}'), 404, "not_found"),
    "unknown-service": (
        head("GET /services/x/y HTTP/1.1\r\nHost: h\r\n", AUTH),
        404,
        "not_found",
    ),
    "unknown-path": (
        head("GET /x HTTP/1.1\r\nHost: h\r\n", AUTH),
        404,
        "not_found",
    ),
    "no-account": (head(V1, length=2) + b"{}", 401, "unauthenticated"),
    "unknown-account": (
        head(V1, "Authorization: Bearer \xe9\r\n", length=2) + b"{}",
        401,
        "unauthenticated",
    ),
    "wrong-method": (
        head("GET /v1/completions HTTP/1.1\r\nHost: h\r\n", AUTH),
        405,
        "method_not_allowed",
    ),
    "missing-key": (
        head("POST /services/pay/pay HTTP/1.1\r\nHost: h\r\n", AUTH, length=0),
        400,
        "idempotency_key_required",
    ),
    "long-key": (
        posted(GOOD, f"Idempotency-Key: {'k' * 256}\r\n"),
        400,
        "bad_request",
    ),
    "oversize-body": (
        head(V1, AUTH, length=server_lib.MAX_BODY_BYTES + 1),
        413,
        "body_too_large",
    ),
    "oversize-chunk": (
        head(V1, AUTH, "Transfer-Encoding: chunked\r\n") + b"fffffff\r\n",
        413,
        "body_too_large",
    ),
    "bad-chunk": (
        head(V1, AUTH, "Transfer-Encoding: chunked\r\n") + b"zz\r\n",
        400,
        "bad_request",
    ),
    "bad-length": (
        head(V1, AUTH, "Content-Length: x\r\n"),
        400,
        "bad_request",
    ),
    "large-head": (
        head(V1, AUTH, f"X: {'x' * server_lib.MAX_HEAD_BYTES}\r\n"),
        413,
        "body_too_large",
    ),
    "malformed-line": (b"what\r\n\r\n", 400, "bad_request"),
    "malformed-head": (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", 400, None),
    "slow-head": (head(V1, AUTH)[:-2], 408, "request_timeout"),
    "slow-body": (head(V1, AUTH, length=9) + b"{", 408, "request_timeout"),
}


@pytest.mark.parametrize("case", CASES)
def test_bad_request_is_refused_as_not_run(shared: Any, case: str) -> None:
    data, status, code = CASES[case]
    entry = shared.entries[0]
    before = len(shared.dispatches)
    response = exchange(entry.address, data, half_close=False)
    assert response.status == status
    fields = msgspec.json.decode(response.data)
    assert code is None or fields["error"]["code"] == code
    assert fields["run"] == "not_run"
    assert response.getheader("Allow") == ("POST" if status == 405 else None)
    assert len(shared.dispatches) == before
    assert exchange(entry.address, posted(GOOD), half_close=False).status == 200
    shared.wait_until(lambda: entry.in_flight == 0)
    shared.wait_until(lambda: entry.http.busy_threads == 0)
    assert entry.http.watched == 0


@pytest.mark.parametrize(
    "data",
    [b"", b"GET / HT", head(V1, AUTH)[:-2], head(V1, AUTH, length=9) + b"{"],
    ids=["nothing", "half-line", "half-head", "half-body"],
)
@pytest.mark.parametrize("half_close", [True, False], ids=["half", "slow"])
def test_cut_or_slow_request_costs_no_thread(
    shared: Any, data: bytes, half_close: bool
) -> None:
    entry = shared.entries[0]
    threads = threading.active_count()
    for _ in range(4):
        response = exchange(entry.address, data, half_close=half_close)
        assert response is None or response.status in (400, 408)
    shared.wait_until(lambda: entry.http.busy_threads == 0)
    assert threading.active_count() <= threads


def test_chunked_body_and_head_are_served(bench: Any) -> None:
    entry = bench.entry()
    chunks = b"".join(
        b"%x\r\n%s\r\n" % (len(part), part) for part in (GOOD[:9], GOOD[9:])
    )
    data = head(V1, AUTH, "Transfer-Encoding: chunked\r\n") + chunks
    response = exchange(entry.address, data + b"0\r\n\r\n", half_close=False)
    assert response.status == 200
    assert response.data.endswith(b"data: [DONE]\n\n")
    probe = exchange(
        entry.address,
        head("HEAD /healthz HTTP/1.1\r\nConnection: close\r\nHost: h\r\n"),
        half_close=False,
    )
    assert (probe.status, probe.data) == (200, b"")


def test_full_entry_refuses_at_once_and_slow_callers_starve_none(
    bench: Any,
) -> None:
    entry = bench.entry(max_requests=2)
    bench.fault(("silence", 1), ("silence", 1))
    held = []
    for count in (1, 2):
        host, _, port = entry.address.rpartition(":")
        held.append(socket.create_connection((host, int(port))))
        held[-1].sendall(posted(GOOD))
        bench.wait_until(lambda n=count: len(bench.dispatches) == n)
    refused = exchange(entry.address, posted(GOOD), half_close=False)
    assert refused.status == 503
    assert msgspec.json.decode(refused.data)["run"] == "not_run"
    assert int(refused.getheader("Retry-After")) >= 1
    probe = head("GET /readyz HTTP/1.1\r\nHost: h\r\n")
    assert exchange(entry.address, probe, half_close=False).status == 200
    for client in held:
        client.close()
    bench.wait_until(lambda: entry.in_flight == 0)
    assert exchange(entry.address, posted(GOOD), half_close=False).status == 200


def test_planned_stop_finishes_what_runs_and_refuses_the_rest(
    bench: Any,
) -> None:
    entry = bench.entry(grace_s=0.2)
    bench.fault(("hold", 0))
    pay = head(
        "POST /services/pay/pay HTTP/1.1\r\nHost: h\r\n",
        AUTH,
        "Idempotency-Key: k\r\n",
        length=0,
    )
    answers: list[Any] = []

    def ask() -> None:
        answers.append(exchange(entry.address, pay, half_close=False))

    asker = threading.Thread(target=ask)
    asker.start()
    bench.wait_until(lambda: any(p.dispatches for p in bench.plains))
    cut: list[int] = []
    stopper = threading.Thread(target=lambda: cut.append(entry.stop()))
    stopper.start()
    bench.wait_until(lambda: not entry.is_ready())
    probe = head("GET /readyz HTTP/1.1\r\nHost: h\r\n")
    assert exchange(entry.address, probe, half_close=False).status == 503
    # Within the grace new requests are still served.
    assert exchange(entry.address, posted(GOOD), half_close=False).status == 200
    bench.wait_until(lambda: entry.is_refusing)
    for _ in range(30):
        # It goes on refusing for as long as an answer is in progress.
        refused = exchange(entry.address, posted(GOOD), half_close=False)
        fields = msgspec.json.decode(refused.data)
        assert (refused.status, fields["run"]) == (503, "not_run")
        assert refused.getheader("Retry-After")
        stopper.join(timeout=0.02)
    assert not answers
    for plain in bench.plains:
        plain.release.set()
    asker.join()
    stopper.join()
    assert (answers[0].status, answers[0].data) == (200, b"paid")
    assert cut == [0]


def test_drain_deadline_cuts_and_counts(bench: Any) -> None:
    entry = bench.entry(drain_deadline_s=0.3)
    bench.fault(("silence", 1))
    host, _, port = entry.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=20) as client:
        client.sendall(posted(GOOD))
        bench.wait_until(lambda: len(bench.dispatches) == 1)
        assert entry.stop() == 1
        with pytest.raises(ConnectionResetError):
            while client.recv(65_536):
                pass
