"""Tests of runners whose answers have a malformed status line."""

import json
from typing import Any

import pytest
from support import platform_site as sites

TOKENS = {
    "X-Wisteriawall-Model": "m",
    "X-Wisteriawall-Token-Counts": "20,4",
    "X-Wisteriawall-Prompt-Prefix": "a1:10,b1:10",
}


class OddStatusRunner(sites.StandInRunner):
    """Sends a whole, sealed answer under the status line `line`."""

    line = b"HTTP/1.1 200 OK"

    def _run(
        self,
        connection: Any,
        headers_by_name: dict[str, str],
        head: str,
        body: bytes,
    ) -> bool:
        event = "id: 1\ndata: e1\n\n"
        rest = (
            f"Content-Type: text/event-stream\r\n{head}"
            f"Content-Length: {len(event)}\r\n\r\n{event}"
        )
        connection.sendall(self.line + b"\r\n" + rest.encode())
        return True


@pytest.mark.parametrize(
    "line",
    [
        pytest.param(b"HTTP/1.1 2_00 OK", id="underscore"),
        pytest.param(b"HTTP/1.1 +200 OK", id="sign"),
        pytest.param(b"HTTP/1.1 0200 OK", id="four-digits"),
        pytest.param(b"HTTP/1.1\xa0200 OK", id="other-space"),
        pytest.param(b"HTTP/1.1 600 Six", id="over-599"),
        pytest.param(b"HTTP/1.1 5_03 Busy", id="refusal"),
        pytest.param(b"HTTP/1.1 000 Zero", id="zero"),
    ],
)
def test_malformed_status_never_reaches_a_caller(
    site: sites.Site, line: bytes
) -> None:
    """`HTTP/1.1 2_00 OK` reached callers as a 200 with a seal."""
    runners = [OddStatusRunner("i-1", "shop"), OddStatusRunner("i-2", "model")]
    site.runners += runners
    site.start_serving()
    sites.wait_until(
        lambda: len(site.gateway.upstream_by_id) == len(runners), "the runners"
    )
    assert site.call("/read/", attempt="sound").status == 200
    for runner in runners:
        runner.line = line
    for path in ("/pay/", "/talk/"):
        answer = site.call(path, attempt=path, **TOKENS)
        assert answer.status == 502
        assert json.loads(answer.data)["run"] == "unknown"
        assert sites.SEAL not in answer.headers
    assert [runner.runs_by_attempt for runner in runners] == [
        {"sound": 1, "/pay/": 1},
        {"/talk/": 1},
    ]
