"""Tests of connections that stop halfway, at each listener of a site."""

from collections.abc import Iterator
import contextlib
import socket
import time

import pytest
from support import platform_site as sites
import urllib3

# More than the gateway's worker threads and the connections that wait for one.
CONNECTIONS = 200
IN_TIME_S = 1.0
STARTS = [
    pytest.param(b"POST /read/ HTT", id="head"),
    pytest.param(
        b"POST /read/ HTTP/1.1\r\nHost: app.example\r\n"
        b"Content-Length: 9\r\n\r\nbody",
        id="body",
    ),
    pytest.param(
        b"POST /read/ HTTP/1.1\r\nHost: app.example\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n",
        id="chunks",
    ),
]


@contextlib.contextmanager
def stuck_connections(address: str, start: bytes) -> Iterator[None]:
    """Open connections that send `start` and nothing more."""
    host, _, port = address.rpartition(":")
    with contextlib.ExitStack() as stack:
        for _ in range(CONNECTIONS):
            connection = socket.create_connection((host, int(port)))
            stack.callback(connection.close)
            connection.sendall(start)
        yield


@pytest.mark.parametrize("start", STARTS)
def test_listeners_answer_beside_connections_that_stop_halfway(
    site: sites.Site, start: bytes
) -> None:
    """Each took a worker thread, and every ordinary caller got 503."""
    site.add_runner("i-1", "shop")
    site.start_serving()
    sites.wait_until(lambda: "i-1" in site.gateway.upstream_by_id, "the runner")
    ready = site.gateway.ready_address
    operators = site.admin.removeprefix("http://")
    with contextlib.ExitStack() as stack:
        for address in (site.gateway.address, ready, operators):
            stack.enter_context(stuck_connections(address, start))
        begun_s = time.monotonic()
        assert site.call("/read/", attempt="a1").status == 200
        assert urllib3.request("GET", f"http://{ready}/").status == 200
        assert site.read_table().status == 200
        assert time.monotonic() - begun_s < 3 * IN_TIME_S
