"""Tests of `wisteriawall.gateway.fingerprint`."""

import pytest

from wisteriawall.gateway import fingerprint

REQUEST = {
    "method": "GET",
    "host": "app.example",
    "target": "/read/1?page=2",
    "account": "a",
    "body": b"",
}


def test_repeated_request_has_the_same_fingerprint() -> None:
    first = fingerprint.request_fingerprint(**REQUEST)  # type: ignore[arg-type]
    assert first == fingerprint.request_fingerprint(
        **{**REQUEST, "host": "APP.example"}  # type: ignore[arg-type]
    )


@pytest.mark.parametrize(
    "change",
    [
        pytest.param({"method": "POST"}, id="method"),
        pytest.param({"host": "other.example"}, id="host"),
        pytest.param({"target": "/read/1?page=3"}, id="query"),
        pytest.param({"account": "b"}, id="account"),
        pytest.param({"body": b"x"}, id="body"),
        pytest.param({"target": "/read/1?page=2a", "account": ""}, id="bounds"),
    ],
)
def test_other_request_has_another_fingerprint(
    change: dict[str, object],
) -> None:
    first = fingerprint.request_fingerprint(**REQUEST)  # type: ignore[arg-type]
    assert first != fingerprint.request_fingerprint(
        **{**REQUEST, **change}  # type: ignore[arg-type]
    )
