"""Tests of `wisteriawall.control.admin_requests`."""

import msgspec
import pytest

from wisteriawall.control import admin_requests
from wisteriawall.control import events
from wisteriawall.web import refusal as refusal_lib


def parse(
    method: str, path: str, body: bytes = b"", **headers: str
) -> events.Request | refusal_lib.Refusal:
    """Return what a request of an operator is parsed into."""
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        admin_requests.BODY_ENVIRON_KEY: body,
        **headers,
    }
    return admin_requests.parse_request(environ, "op", forwarded=False)


@pytest.mark.parametrize(
    "number",
    [
        pytest.param(str(2**63), id="over-63-bits"),
        pytest.param("9" * 5_000, id="thousands-of-digits"),
    ],
)
def test_base_number_over_64_bits_is_refused(number: str) -> None:
    """The leader ended when it encoded the command with this number."""
    parsed = parse("PATCH", "/v1/config", b"{}", HTTP_IF_MATCH=number)
    assert isinstance(parsed, refusal_lib.Refusal)
    assert parsed.status == 400


@pytest.mark.parametrize(
    "field", ["peer_address", "rpc_address", "admin_address"]
)
@pytest.mark.parametrize(
    "address",
    [
        pytest.param("10.0.0.4", id="no-port"),
        pytest.param("10.0.0.4:", id="empty-port"),
        pytest.param("10.0.0.4:0", id="port-0"),
        pytest.param("10.0.0.4:65536", id="port-too-high"),
        pytest.param(":7000", id="no-host"),
        pytest.param("*:7000", id="any-host"),
        pytest.param("::1:7000", id="no-brackets"),
    ],
)
def test_replica_with_an_address_that_cannot_be_dialled_is_refused(
    field: str, address: str
) -> None:
    """The address was logged, and dialling it ended each replica."""
    body = {"replica": "d", "peer_address": "10.0.0.4:7000"} | {field: address}
    parsed = parse("POST", "/v1/replicas", msgspec.json.encode(body))
    assert isinstance(parsed, refusal_lib.Refusal)
    assert parsed.status == 400
    assert field in parsed.message
