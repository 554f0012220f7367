"""Tests of answers whose head or body does not end."""

import pytest
from support import endless_server
from support import scripted_server

from wisteriawall import clock
from wisteriawall.web import connection_pool
from wisteriawall.web import http_exchange

# Kernel buffers of both ends included.
MAX_READ_BYTES = 24 * 1024 * 1024
WAIT_S = 60.0
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"

ENDLESS = [
    pytest.param(b"", b"x", id="no head"),
    pytest.param(OK + b"A: ", b"x", id="header line"),
    pytest.param(OK, b"A: b\r\n", id="header lines"),
    pytest.param(b"", b"HTTP/1.1 100 Continue\r\n\r\n", id="100 Continue"),
    pytest.param(b"", b"HTTP/1.1 102 Processing\r\n\r\n", id="102 Processing"),
    pytest.param(
        b"", b"HTTP/1.1 100 Continue\r\nA: b\r\n", id="header of an interim"
    ),
    pytest.param(CHUNKED, b"0", id="chunk size"),
    pytest.param(CHUNKED + b"1;", b"x", id="chunk extension"),
    pytest.param(CHUNKED + b"0\r\n", b"A: b\r\n", id="trailers"),
    pytest.param(CHUNKED + b"0\r\n", b"x", id="trailer line"),
    pytest.param(CHUNKED, b"1\r\nx\r\n", id="chunks"),
    pytest.param(CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n", id="long chunks"),
    pytest.param(OK + b"\r\n", b"x", id="no length"),
    pytest.param(
        OK + b"Content-Length: 99999999999\r\n\r\n", b"x", id="great length"
    ),
]


def fetch(
    pool: connection_pool.ConnectionPool, address: str, *, max_bytes: int
) -> bytes:
    """Send a request and return the body of its response."""
    exchange = http_exchange.HttpExchange(pool)
    try:
        exchange.send(
            address,
            method="GET",
            target="/",
            headers={"Host": "h"},
            body=None,
            timeout_s=WAIT_S,
            deadline_at_ms=clock.monotonic_ms() + int(WAIT_S * 1_000),
        )
        return b"".join(exchange.body_chunks(max_bytes=max_bytes))
    finally:
        exchange.close()


@pytest.mark.parametrize(("start", "pattern"), ENDLESS)
def test_answer_without_end_is_broken_and_its_connection_closed(
    start: bytes, pattern: bytes
) -> None:
    """Such an answer was read until the request's deadline, all in memory."""
    pool = connection_pool.ConnectionPool()
    server = endless_server.EndlessServer(start, pattern)
    try:
        with pytest.raises(http_exchange.Broken) as broken:
            fetch(pool, server.address, max_bytes=1024 * 1024)
        assert not broken.value.timed_out
        assert server.closed.wait(WAIT_S)
        assert server.sent_bytes < MAX_READ_BYTES
    finally:
        server.close()
        pool.close()


def test_answer_of_the_greatest_size_is_complete() -> None:
    pool = connection_pool.ConnectionPool()
    server = scripted_server.ScriptedServer()
    body = b"x" * 1024 * 1024
    head = OK + b"Content-Length: %d\r\n\r\n" % len(body)
    server.script = [head + body]
    try:
        assert fetch(pool, server.address, max_bytes=len(body)) == body
    finally:
        server.close()
        pool.close()


def test_body_in_tiny_chunks_is_broken() -> None:
    """Each chunk of a byte cost as much work as a large one."""
    server = endless_server.EndlessServer(CHUNKED, b"1\r\nx\r\n")
    exchange = http_exchange.HttpExchange(connection_pool.ConnectionPool())
    try:
        exchange.send(
            server.address,
            method="GET",
            target="/",
            headers={"Host": "h"},
            body=None,
            timeout_s=WAIT_S,
        )
        chunks = exchange.body_chunks(max_tiny_chunks=100)
        with pytest.raises(http_exchange.Broken, match="pieces"):
            assert len(list(chunks)) <= 100
    finally:
        exchange.close()
        server.close()
