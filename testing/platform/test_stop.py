"""Tests of a gateway that stops while requests arrive or are in progress."""

import http.client
import json
import socket
import threading

import pytest
from support import platform_site as sites

from wisteriawall.gateway import shell as gateway_shell
from wisteriawall.web import server as server_lib


class Caller:
    """A caller that keeps its connection to the gateway open."""

    def __init__(self, site: sites.Site) -> None:
        """Connect."""
        self.connection = site.connect()
        self.connection.connect()

    def send(self, attempt: str, path: str = "/pay/") -> None:
        """Send a request."""
        headers = {
            "Host": sites.HOST,
            sites.ATTEMPT_ID: attempt,
            "X-Wisteriawall-Deadline-Remaining": "60000",
        }
        self.connection.request("POST", path, body=b"hi", headers=headers)

    def read(self) -> http.client.HTTPResponse:
        """Return the answer, without its body."""
        return self.connection.getresponse()


def start_stop(site: sites.Site) -> threading.Thread:
    """Begin to stop the gateway in a thread."""
    site.stopped = True
    stopping = threading.Thread(target=site.gateway.stop, daemon=True)
    stopping.start()
    sites.wait_until(lambda: not site.gateway.is_ready, "the start of the stop")
    return stopping


@pytest.fixture
def serving(site: sites.Site) -> sites.Site:
    """Return a site with one plain runner and one engine."""
    site.add_runner("i-1", "shop")
    site.add_runner("i-2", "model", "decode").behavior = "stream-slow"
    site.start_serving()
    return site


def test_request_of_the_unready_time_is_answered_and_closed(
    serving: sites.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(serving.gateway, "_unready_ms", 60_000)
    kept, opened_late = Caller(serving), Caller(serving)
    kept.send("a1")
    assert kept.read().read() == b"answer to hi"
    stopping = start_stop(serving)
    for attempt, caller in (("a2", kept), ("a3", opened_late)):
        caller.send(attempt)
        answer = caller.read()
        assert answer.read() == b"answer to hi"
        assert answer.headers["Connection"] == "close"
    serving.gateway._stopping.set()
    stopping.join(sites.WAIT_S)
    assert not stopping.is_alive()


def test_request_after_the_unready_time_is_refused_as_not_run(
    serving: sites.Site,
) -> None:
    """It was passed on and then cut with its runner at work."""
    open_connection, streaming = Caller(serving), Caller(serving)
    streaming.send("a1", "/talk/")
    streaming.read()
    # The request of the new connection may be on its way: it is not idle.
    sites.wait_until(
        lambda: serving.gateway._http.open_connections == 2,
        "the accepted connections",
    )
    stopping = start_stop(serving)
    sites.wait_until(
        lambda: serving.gateway._arrivals_closed,
        "the end of the unready time",
    )
    open_connection.send("a2")
    answer = open_connection.read()
    assert answer.status == 503
    assert answer.headers["Connection"] == "close"
    assert float(answer.headers["Retry-After"]) > 0
    assert json.loads(answer.read())["run"] == "not_run"
    serving.runners[1].finish.set()
    stopping.join(sites.WAIT_S)
    assert serving.runners[0].runs_by_attempt["a2"] == 0
    assert serving.decisions("a2")[-1]["reason"] == "stopping"


def test_other_servers_stop_beside_the_answers_in_progress(
    serving: sites.Site,
) -> None:
    """Stopping them afterwards took a process beyond its grace period."""
    caller = Caller(serving)
    caller.send("a1", "/talk/")
    answer = caller.read()
    ready_address = serving.gateway.ready_address
    stopping = start_stop(serving)

    def refuses_connections() -> bool:
        host, _, port = ready_address.rpartition(":")
        try:
            with socket.create_connection((host, int(port))):
                return False
        except ConnectionRefusedError:
            return True

    sites.wait_until(refuses_connections, "the stop of the readiness server")
    serving.runners[1].finish.set()
    assert answer.read().count(b"data:") == 4
    stopping.join(sites.WAIT_S)
    assert not stopping.is_alive()


def test_stop_cuts_a_stalled_answer_and_logs_it(serving: sites.Site) -> None:
    streaming = Caller(serving)
    streaming.send("a1", "/talk/")
    answer = streaming.read()
    stopping = start_stop(serving)
    with pytest.raises(ConnectionResetError):
        answer.read()
    stopping.join(sites.WAIT_S)
    lines = serving.decisions("a1")
    assert "still-open" in [line["decision"] for line in lines]
    assert not lines[-1]["whole"]
    (still_open,) = [li for li in lines if li["decision"] == "still-open"]
    assert still_open["waits_for"] == "runner"
    assert still_open["is_whole"] is False
    assert still_open["quiet_ms"] > 0
    assert [still_open["unread_bytes"], still_open["unsent_bytes"]] == [0, 0]


def test_balancer_connection_without_a_request_does_not_delay_the_stop(
    serving: sites.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server_lib, "REQUEST_READ_TIMEOUT_S", 60.0)
    timeouts_s = []
    stop = serving.gateway._ready.stop

    def record_timeout(*, response_timeout_s: float) -> None:
        timeouts_s.append(response_timeout_s)
        stop(response_timeout_s=response_timeout_s)

    monkeypatch.setattr(serving.gateway._ready, "stop", record_timeout)
    host, _, port = serving.gateway.ready_address.rpartition(":")
    with socket.create_connection((host, int(port))):
        stopping = start_stop(serving)
        stopping.join(sites.WAIT_S)
    assert not stopping.is_alive()
    assert max(timeouts_s) * 1_000 < gateway_shell.EXIT_RESERVE_MS
