"""Tests of hostile clients beside ordinary callers, at a small size.

`support.hostile_clients` runs the same cases at full size.
"""

import json
import logging
import socket
import threading
import time

import pytest
from support import hostile_clients
from support import http_harness

from wisteriawall.web import memory_budget
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.web import request_reader
from wisteriawall.web import response_writer
from wisteriawall.web import server as server_lib

CONNECTIONS = 40
ATTACK_S = 1.0
CALM_S = 0.3
# Most memory of the server process. It takes 30 MB without load.
MAX_MB = 100
MIN_IN_TIME = 0.9
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n%s\r\n"
SLOW = request_reader.ReadLimits(allowance_ms=200, min_bytes_per_s=100)


def echo(
    environ: server_lib.Environ, start_response: server_lib.StartResponse
) -> server_lib.Response:
    body = server_lib.read_body(environ)
    return server_lib.send_response(start_response, status=200, body=body)


@pytest.mark.parametrize("name", hostile_clients.CASES)
def test_ordinary_callers_are_served_beside_hostile_ones(name: str) -> None:
    result = hostile_clients.run_case(
        name, connections=CONNECTIONS, seconds=ATTACK_S, calm_s=CALM_S
    )
    assert result.is_alive
    assert result.peak_mb < MAX_MB
    assert result.during >= MIN_IN_TIME
    assert result.after >= MIN_IN_TIME


def test_incomplete_requests_occupy_no_worker_thread(
    harness: http_harness.Harness,
) -> None:
    """Each took one, and ordinary callers got 503."""
    server = harness.serve(echo, threads=1)
    for fields in (b"", b"Content-Length: 9\r\n", b"Transfer-Encoding: chu"):
        harness.call(server).socket.sendall((HEAD % fields)[:-1])
    caller = harness.call(server)
    caller.send()
    assert caller.read_head().startswith(b"HTTP/1.1 200 ")


def test_too_many_fields_are_refused(harness: http_harness.Harness) -> None:
    app_called = threading.Event()
    server = harness.serve(lambda *_: app_called.set())
    caller = harness.call(server)
    caller.socket.sendall(
        HEAD % b"".join(b"a%d: 1\r\n" % i for i in range(999))
    )
    assert caller.read_to_end().startswith(b"HTTP/1.1 431 ")
    assert not app_called.is_set()


def test_incomplete_requests_beyond_the_budget_are_refused_newest_first(
    harness: http_harness.Harness,
) -> None:
    budget = memory_budget.MemoryBudget(max_bytes=400_000, max_connections=50)
    server = harness.serve(echo, budget=budget)
    start = HEAD % b"Content-Length: 200000\r\n" + b"b" * 150_000
    callers = []
    for _ in range(3):
        callers.append(harness.call(server))
        callers[-1].socket.sendall(start)
        time.sleep(0.1)
    refused = [caller.read_head() for caller in callers[2:]]
    assert all(head.startswith(b"HTTP/1.1 503 ") for head in refused)
    callers[0].socket.sendall(b"b" * 50_000)
    assert callers[0].read_head().startswith(b"HTTP/1.1 200 ")
    for caller in callers:
        caller.socket.close()
    http_harness.wait_until(
        lambda: budget.usage == memory_budget.Usage(0, 0), "the release"
    )


def test_few_bytes_a_second_are_too_slow(harness: http_harness.Harness) -> None:
    server = harness.serve(echo, read_limits=SLOW)
    caller = harness.call(server)
    caller.socket.sendall(HEAD % b"Content-Length: 900000\r\n")
    begun_s = time.monotonic()
    caller.socket.settimeout(0.2)
    while time.monotonic() - begun_s < http_harness.WAIT_S:
        try:
            caller.socket.sendall(b"b")
            data = caller.socket.recv(100)
            break
        except TimeoutError:
            continue
    assert data.startswith(b"HTTP/1.1 408 ")


def test_slow_but_steady_body_is_served(harness: http_harness.Harness) -> None:
    server = harness.serve(echo, read_limits=SLOW)
    caller = harness.call(server)
    caller.socket.sendall(HEAD % b"Content-Length: 1500\r\n")
    for _ in range(30):
        caller.socket.sendall(b"b" * 50)
        time.sleep(0.1)
    assert caller.read_head().startswith(b"HTTP/1.1 200 ")


def test_answer_that_is_not_read_occupies_no_worker_and_is_reset(
    harness: http_harness.Harness,
) -> None:
    def answer(
        environ: server_lib.Environ, start_response: server_lib.StartResponse
    ) -> server_lib.Response:
        size = 16_000_000 if environ["PATH_INFO"] == "/large" else 2
        return server_lib.send_response(
            start_response, status=200, body=b"x" * size
        )

    budget = memory_budget.MemoryBudget(
        max_bytes=40_000_000, max_connections=50
    )
    limits = response_writer.WriteLimits(
        stall_ms=500, buffered_bytes=16_000_000
    )
    server = harness.serve(
        answer, threads=1, budget=budget, write_limits=limits
    )
    slow, caller = harness.call(server), harness.call(server)
    slow.send(b"large")
    slow.read_head()
    caller.send()
    assert caller.read_head().startswith(b"HTTP/1.1 200 ")
    http_harness.wait_until(lambda: budget.usage.connections == 1, "the reset")
    assert slow.is_reset()
    assert budget.usage.held_bytes == 0


def test_slow_steady_reader_gets_the_whole_answer(
    harness: http_harness.Harness,
) -> None:
    """The kernel reports no room for seconds while the caller reads on."""
    size = 8_000_000
    server = harness.serve(
        lambda _, start_response: server_lib.send_response(
            start_response, status=200, body=b"x" * size
        ),
        write_limits=response_writer.WriteLimits(stall_ms=700),
    )
    caller = harness.call(server)
    caller.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
    caller.send()
    caller.read_head()
    count = 0
    for _ in range(30):
        count += len(caller.socket.recv(60_000))
        time.sleep(0.05)
    while count < size:
        piece = caller.socket.recv(1_000_000)
        assert piece
        count += len(piece)


def test_idle_connections_make_room_for_new_ones(
    harness: http_harness.Harness,
) -> None:
    """Unused ones took all descriptors, and nobody else could connect."""
    limit = memory_budget.CONNECTIONS_PER_LISTENER
    budget = memory_budget.MemoryBudget(
        max_bytes=1_000_000, max_connections=limit
    )
    server = harness.serve(echo, budget=budget)
    unused = [harness.call(server) for _ in range(limit)]
    http_harness.wait_until(
        lambda: budget.usage.connections == limit, "the connections"
    )
    caller = harness.call(server)
    caller.send()
    assert caller.read_head().startswith(b"HTTP/1.1 200 ")
    assert unused[0].read_to_end() == b""
    assert budget.usage.connections <= limit


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"", id="body-not-sent"),
        pytest.param(b"b" * 900_000, id="body-sent"),
    ],
)
def test_refused_head_is_answered_before_its_body(
    harness: http_harness.Harness, body: bytes
) -> None:
    """The body of a request without a valid key is not read."""
    seen: list[tuple[str, str, str]] = []

    def check(
        method: str, target: str, headers: object
    ) -> refusal_lib.Refusal | None:
        assert isinstance(headers, dict)
        seen.append((method, target, headers["Authorization"]))
        return refusal_lib.Refusal(
            status=401,
            code=refusal_lib.Code.UNAUTHENTICATED,
            message="unknown key",
            retry_after_ms=1_500,
        )

    server = harness.serve(echo, check_head=check)
    caller = harness.call(server)
    fields = b"Content-Length: 900000\r\nExpect: 100-continue\r\n"
    keys = b"Authorization: Token a\r\nAuthorization: Token b\r\n"
    caller.socket.sendall(HEAD % (fields + keys) + body)
    head, _, content = caller.read_to_end().partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 401 ")
    assert b"\r\nRetry-After: 1.500" in head
    assert json.loads(content)["run"] == "not_run"
    assert seen == [("POST", "/", "Token a, Token b")]


def test_failed_check_of_a_head_does_not_end_the_loop(
    harness: http_harness.Harness,
) -> None:
    def check(*_: object) -> refusal_lib.Refusal | None:
        raise ValueError("bad")

    server = harness.serve(echo, check_head=check)
    for _ in range(2):
        caller = harness.call(server)
        caller.send()
        assert caller.read_head().startswith(b"HTTP/1.1 503 ")


@pytest.mark.parametrize(
    "start",
    [
        pytest.param(b"GET http://[ HTTP/1.1\r\n\r\n", id="target"),
        pytest.param(b"GET / HTTP/1.1\n", id="line-feed"),
        pytest.param(b"\x16\x03\x01\x02\x00\n", id="tls"),
        pytest.param(b"\r\n\r\n", id="blank"),
        pytest.param(
            HEAD % b"Content-Length: 3\r\nContent-Length: 4\r\n",
            id="two-lengths",
        ),
    ],
)
def test_malformed_head_is_refused_at_once(
    harness: http_harness.Harness, start: bytes
) -> None:
    caller = harness.call(harness.serve(echo))
    caller.socket.sendall(start)
    assert caller.read_head().startswith(b"HTTP/1.1 400 ")


def test_failed_disconnect_callback_does_not_end_the_monitor(
    harness: http_harness.Harness, caplog: pytest.LogCaptureFixture
) -> None:
    """No later disconnect would be noticed."""
    gone = threading.Semaphore(0)

    def report() -> None:
        gone.release()
        raise ValueError("bad")

    def app(
        environ: server_lib.Environ, start_response: server_lib.StartResponse
    ) -> server_lib.Response:
        server_lib.caller_connection(environ).on_disconnect(report)
        assert gone.acquire(timeout=http_harness.WAIT_S)
        return server_lib.send_response(start_response, status=200, body=b"")

    server = harness.serve(app)
    for _ in range(2):
        caller = harness.call(server)
        caller.send()
        http_harness.wait_until(
            lambda: server.busy_worker_threads == 1, "the request"
        )
        time.sleep(0.05)
        caller.socket.close()
        http_harness.wait_until(
            lambda: server.busy_worker_threads == 0, "the disconnect"
        )
    assert any(r.levelno == logging.WARNING for r in caplog.records)
