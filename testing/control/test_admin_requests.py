"""Tests of `wisteriawall.control.admin_requests`."""

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
