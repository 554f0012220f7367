"""Tests of answers that end with their connection before it has taken all."""

from collections.abc import Iterator
import contextlib
import logging
import socket
import struct
import termios
from typing import Any

import pytest
from support import early_server

from wisteriawall.web import connection_end
from wisteriawall.web import connection_pool
from wisteriawall.web import http_exchange

WAIT_S = 15.0
LONG_MS = 15_000
PART = b"part of a body"
UNFRAMED = {
    version: f"HTTP/{version} 200 OK\r\n\r\n".encode() + PART
    for version in ("1.0", "1.1")
}
# The server's kernel takes the first two unread, or nearly, but not the others.
SIZES = [300, 50_000, 200_000, 4_000_000]
UNTAKEN_SIZES = SIZES[2:]


@pytest.fixture
def server() -> Iterator[early_server.EarlyServer]:
    """Yield a server that answers before it has read the body."""
    running = early_server.EarlyServer()
    yield running
    running.close()


@pytest.fixture
def patient(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let only events end the waits for a request to be taken."""
    monkeypatch.setattr(connection_end, "MAX_STALL_MS", LONG_MS)
    monkeypatch.setattr(connection_end, "MAX_WAIT_MS", LONG_MS)


def exchange(server: early_server.EarlyServer, size: int) -> bytes:
    """Send a request with a body and return the body of its answer."""
    pool = connection_pool.ConnectionPool()
    sent = http_exchange.HttpExchange(pool)
    try:
        sent.send(
            server.address,
            method="POST",
            target="/",
            headers={"Host": "h"},
            body=b"x" * size,
            timeout_s=WAIT_S,
        )
        return b"".join(sent.body_chunks())
    finally:
        sent.close()
        pool.close()


@pytest.mark.parametrize("delay_s", [0.0, 0.05, 0.3])
@pytest.mark.parametrize("version", UNFRAMED)
@pytest.mark.parametrize("reads_bytes", [0, 100, 100_000])
@pytest.mark.parametrize("size", UNTAKEN_SIZES)
def test_answer_that_ends_before_its_upload_is_taken_is_not_whole(
    server: early_server.EarlyServer,
    size: int,
    reads_bytes: int,
    version: str,
    delay_s: float,
) -> None:
    """The reset that followed was no error for the read that found the end."""
    server.answer = UNFRAMED[version]
    server.reads_bytes = reads_bytes
    server.end = early_server.End.END_AND_RESET
    server.delay_s = delay_s
    with pytest.raises(http_exchange.Broken) as caught:
        exchange(server, size)
    assert caught.value.cut_off


@pytest.mark.parametrize("size", SIZES[:2])
def test_answer_that_is_reset_right_behind_its_end_is_not_whole(
    server: early_server.EarlyServer,
    monkeypatch: pytest.MonkeyPatch,
    size: int,
) -> None:
    """A read often finds the end before the reset has arrived."""
    monkeypatch.setattr(connection_end, "RESET_AT_ONCE_MS", LONG_MS)
    server.answer = UNFRAMED["1.1"]
    server.end = early_server.End.END_AND_RESET
    for _ in range(20):
        with pytest.raises(http_exchange.Broken):
            exchange(server, size)


@pytest.mark.parametrize("size", UNTAKEN_SIZES[:1])
def test_answer_of_a_server_that_reads_no_more_is_not_whole(
    server: early_server.EarlyServer, size: int
) -> None:
    server.answer = UNFRAMED["1.1"]
    server.end = early_server.End.END_AND_HANG
    with pytest.raises(http_exchange.Broken, match="had taken the last"):
        exchange(server, size)


@pytest.mark.parametrize("version", UNFRAMED)
@pytest.mark.parametrize(
    "end", [early_server.End.RESET, early_server.End.CLOSE], ids=str
)
@pytest.mark.parametrize("size", SIZES)
def test_answer_that_is_reset_is_not_whole(
    server: early_server.EarlyServer,
    size: int,
    end: early_server.End,
    version: str,
) -> None:
    """A close with unread bytes is a reset, too."""
    server.answer = UNFRAMED[version]
    server.end = end
    with pytest.raises(http_exchange.Broken):
        exchange(server, size)


@pytest.mark.usefixtures("patient")
@pytest.mark.parametrize("version", UNFRAMED)
@pytest.mark.parametrize(
    ("reads_bytes", "end"),
    [
        pytest.param(None, early_server.End.CLOSE, id="read-first"),
        pytest.param(0, early_server.End.READ_AND_CLOSE, id="answered-first"),
        pytest.param(
            100, early_server.End.READ_AND_CLOSE, id="answered-in-between"
        ),
    ],
)
@pytest.mark.parametrize("size", SIZES)
def test_answer_of_a_server_that_reads_the_whole_request_is_whole(
    server: early_server.EarlyServer,
    size: int,
    reads_bytes: int | None,
    end: early_server.End,
    version: str,
) -> None:
    server.answer = UNFRAMED[version]
    server.reads_bytes = reads_bytes
    server.end = end
    assert exchange(server, size) == PART
    assert server.received.get(timeout=WAIT_S) == size


def test_request_that_was_taken_is_not_waited_for(
    server: early_server.EarlyServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Nearly all answers end so; a long wait would delay them."""
    waits: list[int] = []
    check_reset = connection_end._check_reset

    def record(source: socket.socket, timeout_ms: int) -> None:
        waits.append(timeout_ms)
        check_reset(source, timeout_ms)

    monkeypatch.setattr(connection_end, "_check_reset", record)
    server.answer = UNFRAMED["1.1"]
    server.reads_bytes = None
    for size in SIZES:
        assert exchange(server, size) == PART
    assert waits == len(SIZES) * [connection_end.RESET_AT_ONCE_MS]


@pytest.mark.usefixtures("patient")
@pytest.mark.parametrize(
    "framed",
    [
        pytest.param(b"Content-Length: 2\r\n\r\nok", id="length"),
        pytest.param(
            b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            id="chunks",
        ),
    ],
)
def test_answer_with_an_end_of_its_own_is_whole_before_a_reset(
    server: early_server.EarlyServer, framed: bytes
) -> None:
    """It needs no end of the connection, and isn't held back for one."""
    server.answer = b"HTTP/1.1 200 OK\r\n" + framed
    server.end = early_server.End.END_AND_RESET
    server.may_reset.clear()
    assert exchange(server, UNTAKEN_SIZES[0]) == b"ok"


class EndedConnection:
    """A connection whose peer has ended its side, and not read all.

    `on_first_look` is called when `check_end` looks at the connection
    for the first time.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Open the connection, and end the peer's side."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, early_server.BUFFER_BYTES
            )
            self.near = socket.create_connection(listener.getsockname())
            self.far, _ = listener.accept()
        self.near.setblocking(False)
        self.sent = 0
        with contextlib.suppress(BlockingIOError):
            while True:
                self.sent += self.near.send(1_000_000 * b"x")
        self.far.shutdown(socket.SHUT_WR)
        self.near.setblocking(True)
        assert self.near.recv(1) == b""
        assert connection_end.unacknowledged_bytes(self.near)
        self._check_reset = connection_end._check_reset
        self.looks = 0
        self.on_first_look = lambda: None
        monkeypatch.setattr(connection_end, "_check_reset", self._look)

    def check(self) -> None:
        """Check the end of the peer's side."""
        connection_end.check_end(
            self.near, began_early=True, deadline_at_ms=None
        )

    def reset(self) -> None:
        """Let the peer reset the connection."""
        self.far.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        self.far.close()

    def read_all(self) -> None:
        """Let the peer read all that was sent."""
        taken = 0
        while taken < self.sent:
            taken += len(self.far.recv(65_536))

    def close(self) -> None:
        """Close both ends."""
        self.near.close()
        self.far.close()

    def _look(self, source: socket.socket, timeout_ms: int) -> None:
        self.looks += 1
        if self.looks == 1:
            self.on_first_look()
        self._check_reset(source, timeout_ms)


@pytest.fixture
def ended(monkeypatch: pytest.MonkeyPatch) -> Iterator[EndedConnection]:
    """Yield a connection whose peer has ended its side."""
    connection = EndedConnection(monkeypatch)
    yield connection
    connection.close()


@pytest.mark.usefixtures("patient")
def test_reset_after_the_end_is_seen(ended: EndedConnection) -> None:
    ended.on_first_look = ended.reset
    with pytest.raises(ConnectionResetError):
        ended.check()


@pytest.mark.usefixtures("patient")
def test_reset_after_the_request_was_taken_is_seen(
    ended: EndedConnection, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection_end, "RESET_WAIT_MS", LONG_MS)
    ended.read_all()
    ended.on_first_look = ended.reset
    with pytest.raises(ConnectionResetError):
        ended.check()


@pytest.mark.usefixtures("patient")
def test_end_is_believed_once_the_request_was_taken(
    ended: EndedConnection,
) -> None:
    ended.on_first_look = ended.read_all
    ended.check()


def test_reset_whose_error_a_write_has_taken_is_seen(
    ended: EndedConnection,
) -> None:
    """The next read looks like a clean end."""
    ended.reset()
    with pytest.raises(OSError):
        for _ in range(2):
            ended.near.send(b"x")
    assert ended.near.recv(1) == b""
    with pytest.raises(ConnectionResetError):
        ended.check()


@pytest.mark.usefixtures("patient")
def test_cancelled_exchange_does_not_wait(ended: EndedConnection) -> None:
    """A caller that has left would hold its thread."""
    ended.on_first_look = lambda: ended.near.shutdown(socket.SHUT_RDWR)
    with pytest.raises(ConnectionError):
        ended.check()


def test_request_that_stays_untaken_ends_the_wait(
    ended: EndedConnection,
) -> None:
    with pytest.raises(ConnectionError, match="had taken the last"):
        ended.check()


@pytest.mark.usefixtures("patient")
def test_platform_that_tells_nothing_is_logged_once(
    server: early_server.EarlyServer,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The end is then judged by resets only."""

    def refuse(_: Any, request: int, __: bytes) -> bytes:
        assert request == termios.TIOCOUTQ
        raise OSError(25, "not for this socket")

    monkeypatch.setattr(connection_end.fcntl, "ioctl", refuse)
    connection_end._log_unknown.cache_clear()
    server.answer = UNFRAMED["1.1"]
    server.end = early_server.End.READ_AND_CLOSE
    with caplog.at_level(logging.WARNING, logger="http"):
        assert exchange(server, UNTAKEN_SIZES[0]) == PART
        server.end = early_server.End.RESET
        with pytest.raises(http_exchange.Broken):
            exchange(server, UNTAKEN_SIZES[0])
    assert len([r for r in caplog.records if r.name == "http"]) == 1
