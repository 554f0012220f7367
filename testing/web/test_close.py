"""Tests of the close of connections on which unread bytes remain."""

import socket

import pytest
from support import http_harness

from wisteriawall.web import server as server_lib

# More than the buffers of both sockets, so that a part waits in the server's.
BODY_BYTES = 100_000
SEND_BUFFER_BYTES = 1_000_000
RECEIVE_BUFFER_BYTES = 16_384


@pytest.mark.parametrize(
    "early",
    [
        pytest.param(b"", id="nothing"),
        pytest.param(http_harness.REQUEST % b"next", id="next-request"),
        pytest.param(b"x" * 100_000, id="many-bytes"),
    ],
)
def test_answer_is_complete_although_the_caller_sent_more(
    harness: http_harness.Harness, early: bytes
) -> None:
    """The reset for the unread bytes discarded the end of the answer."""

    def app(
        environ: server_lib.Environ, start_response: server_lib.StartResponse
    ) -> server_lib.Response:
        connection = server_lib.caller_connection(environ)._socket
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )
        return server_lib.send_response(
            start_response, status=200, body=b"b" * BODY_BYTES
        )

    server = harness.serve(app)
    server.disable_keep_alive()
    caller = harness.call(server)
    caller.socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    caller.send()
    # The caller's request is complete, and its answer arrives.
    assert caller.socket.recv(1) == b"H"
    caller.socket.sendall(early)
    assert caller.read_to_end().endswith(b"b" * BODY_BYTES)
