"""Tests of every listener with arbitrary bytes.

A listener must answer, ignore or close, and go on with all its threads.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import pathlib
import socket
import threading

import hypothesis
from hypothesis import strategies
import pytest
from support import platform_site as sites
import urllib3

from wisteriawall.observability import prometheus

EXAMPLES = 25
READ_TIMEOUT_S = 0.05
NNG_REQUESTER = b"\0SP\0\0\x30\0\0"
PIECES = [
    b"GET / HTTP/1.1\r\n",
    b"POST /read/ HTTP/1.0\r\n",
    b"Host: app.example\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Content-Length: 4\r\n",
    b"Content-Length: 99999999999999999999\r\n",
    b"Expect: 100-continue\r\n",
    b"X-Wisteriawall-Attempt-Id: a\r\n",
    b"X-Wisteriawall-Deadline-Remaining: -1\r\n",
    b"\r\n",
    b"\n",
    b"4\r\nbody\r\n",
    b"0\r\n\r\n",
    b"ffffffffffffffffff\r\n",
    NNG_REQUESTER,
    b"\0\0\0\0\0\0\0\x08",
    b"\x80\0\0\1",
    b"\0" * 64,
]
BYTES = strategies.one_of(
    strategies.binary(max_size=300),
    strategies.lists(
        strategies.one_of(
            strategies.sampled_from(PIECES), strategies.binary(max_size=9)
        ),
        max_size=12,
    ).map(b"".join),
)
ADDRESS_BY_LISTENER: dict[str, Callable[["Listeners"], str]] = {
    "callers": lambda each: each.site.gateway.address,
    "readiness": lambda each: each.site.gateway.ready_address,
    "operators": lambda each: each.site.admin.removeprefix("http://"),
    "metrics": lambda each: each.metrics.address,
    "control": lambda each: each.site._rpc_address,
    "tables": lambda each: each.site.gateway._relay.address,
    "loads": lambda each: each.site.gateway._peer_load.address,
}


class Listeners:
    """A site with a runner, and the metrics of a process."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Start everything."""
        self.site = sites.Site(folder)
        self.metrics = prometheus.PrometheusMetrics(address="127.0.0.1:0")
        self.metrics.start()
        self.site.add_runner("i-1", "shop")
        self.site.start_serving()
        sites.wait_until(
            lambda: bool(self.site.gateway.upstream_by_id), "the runner"
        )
        # This thread ends by itself once the gateway has learned.
        sites.wait_until(
            lambda: all(
                thread.name != "learn-contents"
                for thread in threading.enumerate()
            ),
            "the end of learning what engines hold",
        )
        self.threads = set(threading.enumerate())
        self.calls = 0

    def check(self) -> None:
        """Check that every listener answers and every thread is alive."""
        self.calls += 1
        site = self.site
        answer = site.call("/read/", attempt=f"ordinary-{self.calls}")
        assert answer.status == 200
        for address in (site.gateway.ready_address, self.metrics.address):
            response = urllib3.request("GET", f"http://{address}/metrics")
            assert response.status == 200
        assert site.read_table().status == 200
        ended = [t.name for t in self.threads if not t.is_alive()]
        assert ended == []


@pytest.fixture(scope="module")
def listeners(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Listeners]:
    """Return running listeners."""
    running = Listeners(tmp_path_factory.mktemp("site"))
    yield running
    running.metrics.close()
    running.site.close()


@pytest.mark.parametrize("listener", ADDRESS_BY_LISTENER)
def test_listener_survives_arbitrary_bytes(
    listeners: Listeners, listener: str
) -> None:
    address = ADDRESS_BY_LISTENER[listener](listeners)
    host, _, port = address.removeprefix("tcp://").rpartition(":")

    @hypothesis.settings(max_examples=EXAMPLES)
    @hypothesis.given(data=BYTES, closes=strategies.booleans())
    def send(data: bytes, closes: bool) -> None:
        if listener == "loads":
            with socket.socket(type=socket.SOCK_DGRAM) as datagrams:
                datagrams.sendto(data, (host, int(port)))
            return
        with (
            socket.create_connection((host, int(port)), 1) as connection,
            contextlib.suppress(OSError),
        ):
            connection.sendall(data)
            if closes:
                connection.shutdown(socket.SHUT_WR)
            connection.settimeout(READ_TIMEOUT_S)
            while connection.recv(65_536):
                pass

    send()
    listeners.check()
