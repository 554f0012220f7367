"""Tests of a gateway whose callers send chunked bodies."""

import json

from support import http_harness
from support import platform_site as sites


def test_stop_does_not_cut_an_idle_caller(site: sites.Site) -> None:
    """The end of the body was taken for a request in progress."""
    site.add_runner("i-1", "shop")
    site.start_serving()
    caller = site.connect()
    caller.request(
        "POST",
        "/pay/",
        body=iter([b"h", b"i"]),
        headers={
            "Host": sites.HOST,
            sites.ATTEMPT_ID: "a1",
            "X-Wisteriawall-Deadline-Remaining": "60000",
            "Transfer-Encoding": "chunked",
        },
        encode_chunked=True,
    )
    assert caller.getresponse().read() == b"answer to hi"
    site.stopped = True
    site.gateway.stop()
    lines = [
        json.loads(line) for line in site.log_path.read_text().split("\n")[:-1]
    ]
    assert [line for line in lines if "still-open" in line.values()] == []
    assert caller.sock.recv(1) == b""


def test_payment_within_a_malformed_body_is_not_run(site: sites.Site) -> None:
    """The rest of the body was served as a request of its own."""

    def head(attempt: str, field: str) -> bytes:
        return (
            f"POST /pay/ HTTP/1.1\r\nHost: {sites.HOST}\r\n"
            f"{sites.ATTEMPT_ID}: {attempt}\r\n"
            f"X-Wisteriawall-Deadline-Remaining: 60000\r\n{field}\r\n\r\n"
        ).encode()

    runner = site.add_runner("i-1", "shop")
    site.start_serving()
    caller = http_harness.Caller(site.gateway.address)
    caller.socket.sendall(
        head("a1", "Transfer-Encoding: chunked")
        + b"2\r\nhi\r\nzz\r\n"
        + head("a2", "Content-Length: 0")
    )
    answer = caller.read_to_end()
    assert answer.startswith(b"HTTP/1.1 400")
    assert answer.count(b"HTTP/1.1 ") == 1
    assert dict(runner.runs_by_attempt) == {}
