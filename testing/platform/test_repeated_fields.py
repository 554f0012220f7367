"""Tests of callers that send one header field in several lines."""

import pytest
from support import http_harness
from support import platform_site as sites

PREFIX = "X-Wisteriawall-Prompt-Prefix"
TOKENS = "X-Wisteriawall-Token-Counts"


def call_raw(site: sites.Site, *lines: str) -> bytes:
    """Send a request with these header lines; return the whole answer."""
    caller = http_harness.Caller(site.gateway.address)
    head = [
        "POST /pay/ HTTP/1.1",
        f"Host: {sites.HOST}",
        "X-Wisteriawall-Deadline-Remaining: 60000",
        "Connection: close",
        "Content-Length: 2",
        *lines,
    ]
    caller.socket.sendall("\r\n".join([*head, "", "hi"]).encode())
    return caller.read_to_end()


@pytest.mark.parametrize(
    ("lines", "name", "expected"),
    [
        pytest.param(
            [f"{PREFIX}: 5c1e:800", f"{PREFIX}: 91bd:410,e440:250"],
            PREFIX,
            "5c1e:800, 91bd:410,e440:250",
            id="prompt-parts",
        ),
        pytest.param(
            ["Cookie: a=1", "Cookie: b=2"], "Cookie", "a=1; b=2", id="cookies"
        ),
    ],
)
def test_runner_gets_every_line_of_a_field(
    site: sites.Site, lines: list[str], name: str, expected: str
) -> None:
    """A prompt reached the runner without its first part."""
    runner = site.add_runner("i-1", "shop")
    site.start_serving()
    answer = call_raw(
        site, f"{sites.ATTEMPT_ID}: a1", f"{TOKENS}: 1460,4", *lines
    )
    assert answer.startswith(b"HTTP/1.1 200")
    [(_, _, received, _)] = runner.received
    assert received[name.lower()] == expected


def test_request_with_two_ids_does_not_run(site: sites.Site) -> None:
    """A runner would run a request under an id that no caller sent."""
    runner = site.add_runner("i-1", "shop")
    site.start_serving()
    answer = call_raw(
        site, f"{sites.ATTEMPT_ID}: a1", f"{sites.ATTEMPT_ID}: a2"
    )
    assert answer.startswith(b"HTTP/1.1 400")
    assert runner.received == []
