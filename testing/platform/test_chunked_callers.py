"""Tests of a gateway whose callers send chunked bodies."""

import http.client
import json

from support import platform_site as sites


def test_stop_does_not_cut_an_idle_caller(site: sites.Site) -> None:
    """The end of the body was taken for a request in progress."""
    site.add_runner("i-1", "shop")
    site.start_serving()
    host, _, port = site.gateway.address.rpartition(":")
    caller = http.client.HTTPConnection(host, int(port), timeout=sites.WAIT_S)
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
