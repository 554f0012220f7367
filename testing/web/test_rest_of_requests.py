"""Tests that the rest of a request is not served as further requests."""

import socket

import pytest
from support import http_harness

from wisteriawall.web import server as server_lib

CHUNKED = b"Transfer-Encoding: chunked\r\n"
NEXT = b"POST /next HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
CHUNK = b"3\r\nabc\r\n"
LAST_CHUNK = b"0\r\n\r\n"
# More than the buffers of both sockets hold.
MANY_CHUNKS = b"10000\r\n%s\r\n" % (b"c" * 65_536) * 100


class RecordingApp:
    """WSGI application that refuses `/refused` without reading the body."""

    def __init__(self) -> None:
        """Record nothing yet."""
        self.paths: list[str] = []

    def __call__(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        """Answer one request."""
        path = environ["PATH_INFO"]
        self.paths.append(path)
        if path == "/refused":
            return server_lib.send_response(
                start_response, status=401, body=b""
            )
        body = server_lib.read_body(environ)
        return server_lib.send_response(start_response, status=200, body=body)


def head(path: bytes, fields: bytes, version: bytes = b"1.1") -> bytes:
    """Return the head of a request."""
    return b"POST %s HTTP/%s\r\nHost: a\r\n%s\r\n" % (path, version, fields)


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"zz\r\n", id="no-number"),
        pytest.param(b"-5\r\n", id="negative"),
        pytest.param(b"+3\r\nabc\r\n" + LAST_CHUNK, id="plus"),
        pytest.param(b"0x3\r\nabc\r\n" + LAST_CHUNK, id="prefix"),
        pytest.param(b"0_3\r\nabc\r\n" + LAST_CHUNK, id="underscore"),
        pytest.param(b" 3\r\nabc\r\n" + LAST_CHUNK, id="space"),
        pytest.param(b"3\nabc\r\n" + LAST_CHUNK, id="line-feed-after-size"),
        pytest.param(b"3;\ra\r\nabc\r\n" + LAST_CHUNK, id="bare-return"),
        pytest.param(b"3\r\nabcd\r\n" + LAST_CHUNK, id="chunk-too-long"),
        pytest.param(CHUNK + b"0\n\r\n", id="line-feed-after-last-size"),
        pytest.param(CHUNK + b"0\r\na: b\n\r\n", id="line-feed-in-trailer"),
        pytest.param(CHUNK + b"0\r\nno colon\r\n\r\n", id="no-trailer-field"),
    ],
)
def test_malformed_body_ends_its_connection(
    harness: http_harness.Harness, body: bytes
) -> None:
    app = RecordingApp()
    caller = harness.call(harness.serve(app))
    caller.socket.sendall(head(b"/first", CHUNKED) + body + NEXT)
    answer = caller.read_to_end()
    assert answer.startswith(b"HTTP/1.1 400")
    assert answer.count(b"HTTP/1.1 ") == 1
    assert app.paths == ["/first"]


@pytest.mark.parametrize("length", [b"-1", b"+0", b"0_0"])
def test_malformed_length_is_refused(
    harness: http_harness.Harness, length: bytes
) -> None:
    app = RecordingApp()
    caller = harness.call(harness.serve(app))
    fields = b"Content-Length: %s\r\n" % length
    caller.socket.sendall(head(b"/first", fields) + NEXT)
    assert caller.read_to_end().startswith(b"HTTP/1.1 400")
    assert app.paths == []


@pytest.mark.parametrize(
    "request_bytes",
    [
        pytest.param(
            head(b"/first", CHUNKED + b"Content-Length: 3\r\n")
            + CHUNK
            + LAST_CHUNK,
            id="two-lengths",
        ),
        pytest.param(
            head(b"/first", CHUNKED + b"Connection: Keep-Alive\r\n", b"1.0")
            + CHUNK
            + LAST_CHUNK,
            id="chunked-in-http-1.0",
        ),
        pytest.param(
            head(b"/refused", CHUNKED) + b"zz\r\n", id="unread-malformed"
        ),
        pytest.param(
            head(b"/refused", CHUNKED) + 2 * MANY_CHUNKS, id="unread-too-large"
        ),
    ],
)
def test_request_without_a_clear_end_ends_its_connection(
    harness: http_harness.Harness, request_bytes: bytes
) -> None:
    app = RecordingApp()
    caller = harness.call(harness.serve(app))
    caller.socket.sendall(request_bytes + NEXT)
    answer = caller.read_to_end()
    assert answer.count(b"HTTP/1.1 ") == 1
    assert b"\r\nConnection: Keep-Alive\r\n" not in answer
    assert len(app.paths) == 1


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(CHUNK + LAST_CHUNK, id="small"),
        pytest.param(CHUNK + b"0\r\na: b\r\n\r\n", id="trailer"),
        pytest.param(MANY_CHUNKS + LAST_CHUNK, id="large"),
    ],
)
def test_unread_body_is_dropped_before_the_next_request(
    harness: http_harness.Harness, body: bytes
) -> None:
    """Its chunks were served as requests."""
    app = RecordingApp()
    caller = harness.call(harness.serve(app))
    for _ in range(2):
        caller.socket.sendall(head(b"/refused", CHUNKED) + body)
        assert caller.read_head().startswith(b"HTTP/1.1 401")
    caller.socket.sendall(NEXT)
    assert caller.read_head().startswith(b"HTTP/1.1 200")
    assert app.paths == ["/refused", "/refused", "/next"]


@pytest.mark.parametrize("path", [b"/first", b"/refused"])
@pytest.mark.parametrize(
    "rest",
    [
        pytest.param(CHUNKED, id="chunked"),
        pytest.param(b"Content-Length: 9\r\n", id="length"),
    ],
)
def test_late_body_ends_its_connection(
    harness: http_harness.Harness, path: bytes, rest: bytes
) -> None:
    server = harness.serve(RecordingApp(), request_read_timeout_s=0.2)
    caller = harness.call(server)
    caller.socket.sendall(head(path, rest))
    assert b"\r\nConnection: close\r\n" in caller.read_head()


def test_cut_off_body_ends_its_connection(
    harness: http_harness.Harness,
) -> None:
    caller = harness.call(harness.serve(RecordingApp()))
    caller.socket.sendall(head(b"/first", b"Content-Length: 9\r\n") + b"abc")
    caller.socket.shutdown(socket.SHUT_WR)
    answer = caller.read_head()
    assert answer.startswith(b"HTTP/1.1 400")
    assert b"\r\nConnection: close\r\n" in answer
