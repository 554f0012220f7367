"""Tests of callers that send chunked bodies on kept connections."""

import socket

import pytest
from support import http_harness

from wisteriawall.web import chunked_body
from wisteriawall.web import server as server_lib

HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"3\r\nabc\r\n"
# Longer than a test waits for anything else.
ENDLESS_S = 10 * http_harness.WAIT_S


class EchoApp:
    """WSGI application that answers with the bodies, and records them."""

    def __init__(self) -> None:
        """Record nothing yet."""
        self.bodies: list[bytes] = []

    def __call__(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        """Answer one request."""
        body = server_lib.read_body(environ)
        self.bodies.append(body)
        return server_lib.send_response(start_response, status=200, body=body)


def call_kept(caller: http_harness.Caller, body: bytes) -> bytes:
    """Return the answer's body, of the length of `abc`."""
    caller.socket.sendall(HEAD + body)
    assert caller.read_head().startswith(b"HTTP/1.1 200")
    return caller.socket.recv(3, socket.MSG_WAITALL)


@pytest.mark.parametrize(
    "end",
    [
        pytest.param(b"0\r\n\r\n", id="no-trailer"),
        pytest.param(b"0;last\r\n\r\n", id="extension"),
        pytest.param(b"0\r\nX-Sum: 1\r\nX-Two: 2\r\n\r\n", id="trailer"),
    ],
)
def test_idle_connection_occupies_no_thread(
    harness: http_harness.Harness, end: bytes
) -> None:
    """The end of the body was taken for a request that begins to arrive."""
    server = harness.serve(
        EchoApp(), threads=1, request_read_timeout_s=ENDLESS_S
    )
    callers = []
    for _ in range(3):
        callers.append(harness.call(server))
        assert call_kept(callers[-1], CHUNK + end) == b"abc"
    assert call_kept(callers[0], CHUNK + end) == b"abc"


def test_stop_does_not_wait_for_an_idle_connection(
    harness: http_harness.Harness,
) -> None:
    """It waited for its whole time and then reset the connection."""
    server = harness.serve(EchoApp(), request_read_timeout_s=ENDLESS_S)
    caller = harness.call(server)
    assert call_kept(caller, CHUNK + b"0\r\n\r\n") == b"abc"
    stopping = harness.stop(server, response_timeout_s=ENDLESS_S)
    assert not stopping.is_alive()
    assert not caller.is_reset()


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(CHUNK + b"0", id="within-the-last-chunk"),
        pytest.param(CHUNK + b"0\r\n", id="before-the-blank-line"),
        pytest.param(CHUNK + b"0\r\nX-Tra", id="within-the-trailer"),
        pytest.param(
            CHUNK + b"0\r\n" + b"a: b\r\n" * chunked_body.MAX_TRAILER_BYTES,
            id="endless-trailer",
        ),
    ],
)
def test_body_without_its_end_is_malformed(
    harness: http_harness.Harness, body: bytes
) -> None:
    app = EchoApp()
    caller = harness.call(harness.serve(app))
    caller.socket.sendall(HEAD + body)
    caller.socket.shutdown(socket.SHUT_WR)
    assert caller.read_head().startswith(b"HTTP/1.1 400")
    assert app.bodies == []


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(CHUNK, id="between-chunks"),
        pytest.param(CHUNK + b"0\r\n", id="before-the-blank-line"),
    ],
)
def test_body_whose_end_is_late_is_too_slow(
    harness: http_harness.Harness, body: bytes
) -> None:
    app = EchoApp()
    caller = harness.call(harness.serve(app, request_read_timeout_s=0.2))
    caller.socket.sendall(HEAD + body)
    assert caller.read_head().startswith(b"HTTP/1.1 408")
    assert app.bodies == []
