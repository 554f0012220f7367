"""Tests of HTTP exchanges with a server whose every byte is scripted."""

from collections.abc import Iterator
import http.client
import socket
import threading
import time

import pytest
from support import raw_server
from support import scripted_server
from support import status_lines

from wisteriawall import clock
from wisteriawall.web import connection_pool
from wisteriawall.web import http_exchange
from wisteriawall.web import runner_connection

WAIT_MS = 15_000
ID = "Request-Id"


@pytest.fixture
def server() -> Iterator[scripted_server.ScriptedServer]:
    """Return a server without a script."""
    running = scripted_server.ScriptedServer()
    yield running
    running.close()


@pytest.fixture
def pool() -> Iterator[connection_pool.ConnectionPool]:
    """Return a connection pool, closed after the test."""
    opened = connection_pool.ConnectionPool()
    yield opened
    opened.close()


def answer(request_id: str, body: bytes = b"", head: str = "") -> bytes:
    """Return a response that names its request, unless the id is empty."""
    id_line = f"{ID}: {request_id}\r\n" if request_id else ""
    return (
        f"HTTP/1.1 200 OK\r\n{id_line}{head}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def exchange(
    pool: connection_pool.ConnectionPool,
    server: scripted_server.ScriptedServer,
    request_id: str,
    mismatches: list[str | None] | None = None,
    deadline_ms: int = WAIT_MS,
    method: str = "GET",
) -> bytes:
    """Send a request and return the body of its response."""

    def on_mismatch(response: http.client.HTTPResponse) -> None:
        if mismatches is not None:
            mismatches.append(response.headers.get(ID))

    sent = http_exchange.HttpExchange(pool)
    try:
        sent.send(
            server.address,
            method=method,
            target="/",
            headers={"Host": "h"},
            body=None,
            timeout_s=WAIT_MS / 1_000,
            deadline_at_ms=clock.monotonic_ms() + deadline_ms,
            answer_id=runner_connection.AnswerId(
                header=ID, value=request_id, on_mismatch=on_mismatch
            ),
        )
        body = b"".join(sent.body_chunks())
        sent.release()
    finally:
        sent.close()
    return body


def test_connection_is_reused_after_a_complete_response(
    pool: connection_pool.ConnectionPool, server: scripted_server.ScriptedServer
) -> None:
    server.script = [answer(f"r{number}", b"body") for number in range(3)]
    for number in range(3):
        assert exchange(pool, server, f"r{number}") == b"body"
    assert server.connections == 1


@pytest.mark.parametrize(
    "seconds",
    [
        pytest.param("9" * 5_000, id="thousands of digits"),
        pytest.param("\xb2", id="other digits"),
    ],
)
def test_odd_keep_alive_time_does_not_fail_a_complete_response(
    pool: connection_pool.ConnectionPool,
    server: scripted_server.ScriptedServer,
    seconds: str,
) -> None:
    server.script = [
        answer("r0", b"body", f"Keep-Alive: timeout={seconds}\r\n")
    ]
    assert exchange(pool, server, "r0") == b"body"


def test_responses_to_earlier_requests_are_skipped_and_reported(
    pool: connection_pool.ConnectionPool, server: scripted_server.ScriptedServer
) -> None:
    mismatches: list[str | None] = []
    server.script = [
        answer("r0", b"zero"),
        answer("r0", b"zero") + answer("r0", b"0") + answer("r1", b"one"),
    ]
    assert exchange(pool, server, "r0", mismatches) == b"zero"
    assert exchange(pool, server, "r1", mismatches) == b"one"
    assert mismatches == ["r0", "r0"]
    assert server.connections == 1


def test_bytes_that_arrive_with_the_end_of_a_response_are_not_lost(
    pool: connection_pool.ConnectionPool, server: scripted_server.ScriptedServer
) -> None:
    """The rest of such bytes would be taken for the next response."""
    server.script = [answer("r0", b"zero") + b"HTTP/1.1 2", answer("r1")]
    assert exchange(pool, server, "r0") == b"zero"
    assert exchange(pool, server, "r1") == b""
    assert server.connections == 2


@pytest.mark.parametrize(
    "first",
    [
        pytest.param(
            answer("r0", b"zero", head="Connection: close\r\n"), id="close"
        ),
        pytest.param(
            f"HTTP/1.0 200 OK\r\n{ID}: r0\r\n\r\nzero".encode(), id="no-length"
        ),
    ],
)
def test_connection_that_the_server_closes_is_not_reused(
    pool: connection_pool.ConnectionPool,
    server: scripted_server.ScriptedServer,
    first: bytes,
) -> None:
    server.script = [first]
    assert exchange(pool, server, "r0") == b"zero"
    server.script = [answer("r1", b"one")]
    assert exchange(pool, server, "r1") == b"one"
    assert server.connections == 2


@pytest.mark.parametrize(
    "second",
    [
        pytest.param(answer(""), id="no-id"),
        pytest.param(
            f"HTTP/1.1 200 OK\r\n{ID}: r0\r\n\r\nzero".encode(),
            id="late-response-without-length",
        ),
        pytest.param(
            (runner_connection.MAX_SKIPPED_RESPONSES + 1) * answer("r0"),
            id="too-many-late-responses",
        ),
        pytest.param(
            answer("r0", (runner_connection.MAX_SKIPPED_BYTES + 1) * b"x"),
            id="late-response-too-large",
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", id="head-alone"
        ),
    ],
)
def test_response_that_may_belong_to_another_request_is_unusable(
    pool: connection_pool.ConnectionPool,
    server: scripted_server.ScriptedServer,
    second: bytes,
) -> None:
    server.script = [answer("r0"), second + answer("r1"), answer("r2", b"two")]
    exchange(pool, server, "r0")
    with pytest.raises(http_exchange.Broken):
        exchange(pool, server, "r1")
    assert exchange(pool, server, "r2") == b"two"
    assert server.connections == 2


@pytest.mark.parametrize(
    "first",
    [
        pytest.param(b"HTTP/1.1 200 OK", id="within-the-status-line"),
        pytest.param(b"HTTP/1.1 200 OK\r\n", id="after-the-status-line"),
        pytest.param(
            f"HTTP/1.1 200 OK\r\n{ID}: r0\r\nContent-L".encode(),
            id="within-a-header",
        ),
        pytest.param(
            f"HTTP/1.1 200 OK\r\n{ID}: r0\r\n".encode(), id="after-a-header"
        ),
    ],
)
def test_response_that_ends_within_its_head_is_not_complete(
    pool: connection_pool.ConnectionPool,
    server: scripted_server.ScriptedServer,
    first: bytes,
) -> None:
    server.script = [first]
    with pytest.raises(http_exchange.Broken):
        exchange(pool, server, "r0")


@pytest.mark.parametrize(
    "line",
    [
        pytest.param("no header", id="line-without-a-colon"),
        pytest.param("Content-Length: 1O", id="length-not-a-number"),
        pytest.param("Content-Length: -10", id="negative-length"),
        pytest.param("Content-Length: 4", id="two-lengths"),
        pytest.param("Transfer-Encoding: gzip", id="unknown-encoding"),
    ],
)
def test_malformed_head_makes_no_response_look_complete(
    pool: connection_pool.ConnectionPool,
    server: scripted_server.ScriptedServer,
    line: str,
) -> None:
    server.script = [
        f"HTTP/1.1 200 OK\r\n{ID}: r0\r\n{line}\r\n"
        "Content-Length: 10\r\n\r\nbegin".encode()
    ]
    with pytest.raises(http_exchange.Broken):
        exchange(pool, server, "r0")


@pytest.mark.parametrize("line", status_lines.MALFORMED)
def test_malformed_status_line_is_never_taken_for_a_status(
    pool: connection_pool.ConnectionPool,
    server: scripted_server.ScriptedServer,
    line: bytes,
) -> None:
    """`int` takes more than three digits for a status; 2_00 came out as 200."""
    server.script = [
        line + b"\r\n" + answer("r0", b"body").split(b"\r\n", 1)[1]
    ]
    with pytest.raises(http_exchange.Broken) as caught:
        exchange(pool, server, "r0")
    assert not caught.value.timed_out


@pytest.mark.parametrize("line", status_lines.MALFORMED)
def test_malformed_status_line_behind_an_interim_one_is_no_status(
    pool: connection_pool.ConnectionPool,
    server: scripted_server.ScriptedServer,
    line: bytes,
) -> None:
    response = line + b"\r\n" + answer("r0", b"body").split(b"\r\n", 1)[1]
    server.script = [b"HTTP/1.1 100 Continue\r\n\r\n" + response]
    with pytest.raises(http_exchange.Broken):
        exchange(pool, server, "r0")


@pytest.mark.parametrize(
    "line", [b"HTTP/1.1 1_00 C", b"HTTP/1.1 +103 H", b"HTTP/1.1 101 Switch"]
)
def test_malformed_interim_status_line_is_not_skipped(
    pool: connection_pool.ConnectionPool,
    server: scripted_server.ScriptedServer,
    line: bytes,
) -> None:
    """After a 101 the connection speaks another protocol."""
    server.script = [line + b"\r\n\r\n" + answer("r0", b"body")]
    with pytest.raises(http_exchange.Broken):
        exchange(pool, server, "r0")


@pytest.mark.parametrize(("line", "status"), status_lines.FINAL)
def test_well_formed_status_line_is_accepted(
    pool: connection_pool.ConnectionPool,
    server: scripted_server.ScriptedServer,
    line: bytes,
    status: int,
) -> None:
    server.script = [line + b"\r\nContent-Length: 4\r\n\r\nbody"]
    sent = http_exchange.HttpExchange(pool)
    response = sent.send(
        server.address,
        method="GET",
        target="/",
        headers={"Host": "h"},
        body=None,
        timeout_s=WAIT_MS / 1_000,
    )
    assert (response.status, b"".join(sent.body_chunks())) == (status, b"body")
    sent.close()


def test_late_head_alone_does_not_hold_a_request_to_its_deadline(
    pool: connection_pool.ConnectionPool, server: scripted_server.ScriptedServer
) -> None:
    late = f"HTTP/1.1 200 OK\r\n{ID}: r0\r\nContent-Length: 9999\r\n\r\n"
    server.script = [answer("r0"), late.encode() + answer("r1"), b""]
    exchange(pool, server, "r0")
    with pytest.raises(http_exchange.Broken) as caught:
        exchange(pool, server, "r1")
    assert not caught.value.timed_out


def test_connection_that_carried_a_head_request_is_not_reused(
    pool: connection_pool.ConnectionPool, server: scripted_server.ScriptedServer
) -> None:
    """A late response to it has a length but no body."""
    server.script = [answer("r0"), answer("r1", b"one")]
    assert exchange(pool, server, "r0", method="HEAD") == b""
    assert exchange(pool, server, "r1") == b"one"
    assert server.connections == 2


@pytest.mark.parametrize(
    "rest_bytes",
    [
        # The rest has no end of a line.
        pytest.param(2, id="rest-of-the-body"),
        pytest.param(0, id="nothing"),
    ],
)
def test_late_head_without_its_body_does_not_hold_the_request(
    pool: connection_pool.ConnectionPool,
    server: scripted_server.ScriptedServer,
    rest_bytes: int,
) -> None:
    """It takes a part of the response, or all of it, for its body.

    The request then waited for its deadline.
    """
    response = answer("r1", b"one")
    late_head = f"HTTP/1.1 200 OK\r\n{ID}: r0\r\nContent-Length: "
    server.script = [
        answer("r0", b"zero"),
        f"{late_head}{len(response) - rest_bytes}\r\n\r\n".encode() + response,
        b"keeps the connection open",
    ]
    assert exchange(pool, server, "r0") == b"zero"
    with pytest.raises(http_exchange.Broken) as caught:
        exchange(pool, server, "r1", deadline_ms=2_000)
    assert not caught.value.timed_out


def test_what_follows_an_interim_response_must_start_a_head(
    pool: connection_pool.ConnectionPool, server: scripted_server.ScriptedServer
) -> None:
    server.script = [
        b"HTTP/1.1 100 Continue\r\n\r\nno head",
        b"keeps the connection open",
    ]
    with pytest.raises(http_exchange.Broken) as caught:
        exchange(pool, server, "r0", deadline_ms=2_000)
    assert not caught.value.timed_out


def test_first_response_of_a_connection_must_not_name_another_request(
    pool: connection_pool.ConnectionPool, server: scripted_server.ScriptedServer
) -> None:
    server.script = [answer("r0")]
    with pytest.raises(http_exchange.Broken):
        exchange(pool, server, "r1")


def test_response_without_an_id_is_accepted_on_a_new_connection(
    pool: connection_pool.ConnectionPool, server: scripted_server.ScriptedServer
) -> None:
    """Nothing else was requested on that connection."""
    mismatches: list[str | None] = []
    server.script = [answer("", b"zero")]
    assert exchange(pool, server, "r0", mismatches) == b"zero"
    assert mismatches == [None]


def test_response_that_goes_on_past_the_deadline_is_broken(
    pool: connection_pool.ConnectionPool, server: scripted_server.ScriptedServer
) -> None:
    """Each part arrives in time after the one before."""
    server.script = [answer("r0", 1_000 * b"x")]
    server.pause_s = 0.05
    with pytest.raises(http_exchange.Broken) as caught:
        exchange(pool, server, "r0", deadline_ms=500)
    assert caught.value.timed_out


@pytest.mark.parametrize(
    "encoding",
    [
        pytest.param("chunked", id="chunked"),
        # urllib3 takes it for chunks, http.client does not.
        pytest.param("Chunked\t", id="space-at-the-end"),
    ],
)
@pytest.mark.parametrize(
    ("end", "is_complete"),
    [
        pytest.param(b"0\r\n\r\n", True, id="complete"),
        pytest.param(b"0\r\nX-Trailer: 1\r\n\r\n", True, id="trailer"),
        pytest.param(b"0\r\nX-Trailer: 1\r\n", False, id="within-the-trailer"),
        pytest.param(b"0\r\n", False, id="before-the-last-line"),
        # It may have been followed by a digit other than zero.
        pytest.param(b"0", False, id="within-a-size"),
        pytest.param(b"", False, id="before-a-size"),
        pytest.param(b"3\r\nde", False, id="within-a-chunk"),
    ],
)
def test_response_in_chunks_that_ends_early_is_broken(
    pool: connection_pool.ConnectionPool,
    server: scripted_server.ScriptedServer,
    encoding: str,
    end: bytes,
    is_complete: bool,
) -> None:
    head = (
        f"HTTP/1.1 200 OK\r\n{ID}: r0\r\nTransfer-Encoding: {encoding}\r\n\r\n"
    )
    server.script = [head.encode() + b"3\r\nabc\r\n" + end]
    if is_complete:
        assert exchange(pool, server, "r0") == b"abc"
        return
    with pytest.raises(http_exchange.Broken):
        exchange(pool, server, "r0")


def test_cancelled_response_without_a_length_is_not_complete(
    pool: connection_pool.ConnectionPool, server: scripted_server.ScriptedServer
) -> None:
    server.script = [
        f"HTTP/1.1 200 OK\r\n{ID}: r0\r\n\r\nbegin".encode(),
        b"never sent",
    ]
    sent = http_exchange.HttpExchange(pool)
    sent.send(
        server.address,
        method="GET",
        target="/",
        headers={"Host": "h"},
        body=None,
        timeout_s=WAIT_MS / 1_000,
    )
    chunks = sent.body_chunks()
    assert next(chunks) == b"begin"
    sent.cancel()
    with pytest.raises(http_exchange.Broken):
        next(chunks)
    sent.close()


class EndingServer(raw_server.RawServer):
    """Server that sends `data`, and then ends the connection as `end` says."""

    def __init__(self, data: bytes, end: str) -> None:
        """Listen on a free port."""
        self._data, self._end = data, end
        self.ended = threading.Event()
        super().__init__()

    def _serve(self, connection: socket.socket) -> None:
        connection.recv(65_536)
        connection.sendall(self._data)
        match self._end:
            case "reset":
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
                )
                connection.close()
            case "close":
                connection.shutdown(socket.SHUT_WR)
        self.ended.set()
        if self._end != "reset":
            connection.recv(1)


@pytest.mark.parametrize(
    ("head", "body", "end", "is_whole"),
    [
        pytest.param("", b"part", "close", True, id="closed"),
        pytest.param("", b"part", "open", False, id="no-length"),
        pytest.param("", b"part", "reset", False, id="reset"),
        pytest.param("Content-Length: 4", b"part", "open", True, id="length"),
        pytest.param("Content-Length: 5", b"part", "open", False, id="short"),
        pytest.param("Content-Length: 0", b"", "open", True, id="empty"),
        pytest.param(
            "Transfer-Encoding: chunked",
            b"4\r\npart\r\n0\r\n\r\n",
            "open",
            True,
            id="chunks",
        ),
        pytest.param(
            "Transfer-Encoding: chunked",
            b"4\r\npart\r\n",
            "open",
            False,
            id="chunks-without-end",
        ),
        pytest.param(
            "Transfer-Encoding: chunked",
            b"4\r\npart\r\n0\r\n",
            "open",
            False,
            id="chunks-without-last-line",
        ),
    ],
)
def test_only_what_arrived_to_its_end_is_whole_when_receiving_ends(
    pool: connection_pool.ConnectionPool,
    head: str,
    body: bytes,
    end: str,
    is_whole: bool,
) -> None:
    """A whole response was dropped, or a part of one looked whole."""
    lines = [f"HTTP/1.1 200 OK\r\n{ID}: r0", *([head] if head else [])]
    server = EndingServer("\r\n".join(lines).encode() + b"\r\n\r\n", end)
    server._data += body
    sent = http_exchange.HttpExchange(pool)
    sent.send(
        server.address,
        method="GET",
        target="/",
        headers={"Host": "h"},
        body=None,
        timeout_s=WAIT_MS / 1_000,
    )
    assert server.ended.wait(WAIT_MS / 1_000)
    sent.receive_no_more()
    if is_whole:
        assert b"".join(sent.body_chunks()) == (b"part" if body else b"")
        sent.release()
    else:
        with pytest.raises(http_exchange.Broken):
            b"".join(sent.body_chunks())
    sent.close()
    server.close()


class ClosedWindowServer(raw_server.RawServer):
    """Server whose rest of a response comes once its first part was read."""

    def __init__(self) -> None:
        """Listen on a free port."""
        self.head_read, self.began = threading.Event(), threading.Event()
        self.go_on = threading.Event()
        super().__init__()

    def _serve(self, connection: socket.socket) -> None:
        connection.recv(65_536)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")
        assert self.head_read.wait(WAIT_MS / 1_000)
        connection.sendall(b"first")
        self.began.set()
        assert self.go_on.wait(WAIT_MS / 1_000)
        # A packet takes a moment.
        time.sleep(0.1)
        connection.sendall(b"after")
        connection.recv(1)


def test_rest_that_waits_for_room_is_received_when_receiving_ends(
    pool: connection_pool.ConnectionPool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It was at its sender until the thread made room, and was not awaited."""
    monkeypatch.setattr(http_exchange, "REST_WAIT_MS", WAIT_MS, raising=False)
    server = ClosedWindowServer()
    sent = http_exchange.HttpExchange(pool)
    sent.send(
        server.address,
        method="GET",
        target="/",
        headers={"Host": "h"},
        body=None,
        timeout_s=WAIT_MS / 1_000,
    )
    server.head_read.set()
    assert server.began.wait(WAIT_MS / 1_000)
    sent.receive_no_more()
    chunks = sent.body_chunks()
    assert next(chunks) == b"first"
    server.go_on.set()
    assert b"".join(chunks) == b"after"
    sent.release()
    server.close()
