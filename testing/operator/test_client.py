"""Tests of the operator client with a replica on raw sockets."""

from collections.abc import Iterator

import pytest
from support import stuttering_server

from wisteriawall.operator import client as client_lib


@pytest.fixture
def replica() -> Iterator[stuttering_server.StutteringServer]:
    """Yield a replica that answers with the target of the request."""
    replica = stuttering_server.StutteringServer(
        lambda request: stuttering_server.answer_bytes(request.target.encode())
    )
    yield replica
    replica.close()


def _client(
    replica: stuttering_server.StutteringServer,
) -> client_lib.OperatorClient:
    return client_lib.OperatorClient(addresses=(replica.address,), token="t")


def test_late_answer_is_not_the_response_to_the_next_request(
    replica: stuttering_server.StutteringServer,
) -> None:
    replica.stutter = lambda previous: previous
    client = _client(replica)
    paths = ["/v1/config", "/v1/status", "/v1/config"]
    bodies = [client.call("GET", path).body.decode() for path in paths]
    assert bodies == paths


@pytest.mark.parametrize(
    "answer_bytes",
    [
        pytest.param(b"HTTP/1.1 OK 200\r\n\r\n", id="bad-status-line"),
        pytest.param(
            stuttering_server.answer_bytes(b"{", length=99), id="half-a-body"
        ),
        pytest.param(
            stuttering_server.answer_bytes(
                b"no gzip", "Content-Encoding: gzip"
            ),
            id="bad-gzip",
        ),
        pytest.param(
            stuttering_server.answer_bytes(
                b"", "Location: http://[", status="302 Found"
            ),
            id="bad-location",
        ),
    ],
)
def test_malformed_response_ends_with_an_exit_code(
    replica: stuttering_server.StutteringServer, answer_bytes: bytes
) -> None:
    replica.respond = lambda _: answer_bytes
    replica.closes_after_answer = True
    with pytest.raises((client_lib.Unavailable, client_lib.Refused)):
        _client(replica).call("GET", "/v1/status")


def test_response_of_another_form_ends_with_an_exit_code(
    replica: stuttering_server.StutteringServer,
) -> None:
    response = _client(replica).call("GET", "/v1/status")
    with pytest.raises(client_lib.Unavailable):
        response.decode(dict)
