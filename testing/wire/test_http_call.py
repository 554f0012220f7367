"""Tests of `wisteriawall.wire.http_call` with a server on raw sockets."""

from collections.abc import Iterator

import pytest
from support import early_server
from support import status_lines
from support import stuttering_server

from wisteriawall.wire import http_call

TIMEOUT_S = 5.0


@pytest.fixture
def server() -> Iterator[stuttering_server.StutteringServer]:
    """Yield a server that answers with the body of the request."""
    server = stuttering_server.StutteringServer(
        lambda request: stuttering_server.answer_bytes(
            request.body, f"X-Method: {request.method}"
        )
    )
    yield server
    server.close()


def _call(
    server: stuttering_server.StutteringServer, body: bytes
) -> http_call.Response:
    return http_call.call(
        "PUT",
        f"http://{server.address}/x?y",
        body=body,
        headers={"If-Match": "1"},
        timeout_s=TIMEOUT_S,
    )


def test_late_response_is_not_taken_for_the_next(
    server: stuttering_server.StutteringServer,
) -> None:
    server.stutter = lambda previous: previous
    bodies = [b"a", b"b", b"c"]
    assert [_call(server, body).body for body in bodies] == bodies
    assert [request.position for request in server.received] == [1, 1, 1]


def test_request_and_response_are_sent_unchanged(
    server: stuttering_server.StutteringServer,
) -> None:
    response = _call(server, b"a")
    assert (response.status, response.body) == (200, b"a")
    assert response.headers["x-method"] == "PUT"
    assert server.received[0].target == "/x?y"
    assert server.received[0].headers["if-match"] == "1"


def test_redirect_is_returned(
    server: stuttering_server.StutteringServer,
) -> None:
    server.respond = lambda _: stuttering_server.answer_bytes(
        b"", f"Location: http://{server.address}/other", status="302 Found"
    )
    assert _call(server, b"a").status == 302
    assert len(server.received) == 1


@pytest.mark.parametrize(
    "answer_bytes",
    [
        pytest.param(b"", id="nothing"),
        pytest.param(b"\x16\x03\x01\x00*\x02\x00\x00\r\n", id="binary"),
        pytest.param(b"HTTP/1.1 OK 200\r\n\r\n", id="bad-status-line"),
        pytest.param(b"HTTP/1.1 200 OK\r\n" + 101 * b"a: b\r\n", id="headers"),
        pytest.param(b"HTTP/1.1 " + 70_000 * b"2" + b"\r\n", id="long-line"),
        pytest.param(b"HTTP/1.1 103 Hints\r\n\r\n", id="interim"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n",
            id="half-a-head",
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 1\r\n\r\na",
            id="line-without-a-colon",
        ),
        pytest.param(
            stuttering_server.answer_bytes(b"ab", length=3), id="half-a-body"
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            id="bad-chunk",
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n",
            id="no-last-chunk",
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nContent-Length: 1, 2\r\n\r\nab",
            id="two-lengths",
        ),
        pytest.param(
            stuttering_server.answer_bytes(b"x y", "Content-Encoding: gzip"),
            id="bad-gzip",
        ),
    ],
)
def test_malformed_response_is_a_failed_call(
    server: stuttering_server.StutteringServer, answer_bytes: bytes
) -> None:
    server.respond = lambda _: answer_bytes
    server.closes_after_answer = True
    with pytest.raises(http_call.CallFailed):
        _call(server, b"a")


@pytest.mark.parametrize("line", status_lines.MALFORMED)
def test_malformed_status_line_is_a_failed_call(
    server: stuttering_server.StutteringServer, line: bytes
) -> None:
    """The list of runners, duties, orders and forwarding rely on a status."""
    server.respond = lambda _: line + b"\r\nContent-Length: 2\r\n\r\n{}"
    with pytest.raises(http_call.CallFailed):
        _call(server, b"a")


@pytest.mark.parametrize(
    "end",
    [early_server.End.END_AND_RESET, early_server.End.RESET],
    ids=["end-and-reset", "reset"],
)
def test_answer_whose_request_was_not_taken_is_a_failed_call(
    end: early_server.End,
) -> None:
    """A part of a list of runners would be one without the others."""
    early = early_server.EarlyServer()
    early.answer = b"HTTP/1.1 200 OK\r\n\r\n[]"
    early.end = end
    with pytest.raises(http_call.CallFailed):
        http_call.call(
            "POST",
            f"http://{early.address}/x",
            body=200_000 * b"x",
            timeout_s=TIMEOUT_S,
        )
    early.close()


def test_refused_connection_is_a_failed_call(
    server: stuttering_server.StutteringServer,
) -> None:
    server.close()
    with pytest.raises(http_call.CallFailed):
        _call(server, b"a")


def test_invalid_url_is_a_failed_call() -> None:
    with pytest.raises(http_call.CallFailed):
        http_call.call("GET", "http://[", timeout_s=TIMEOUT_S)
