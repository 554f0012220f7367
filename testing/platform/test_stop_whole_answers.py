"""Tests of answers that are whole at a gateway when its stop ends what is open.

Two streams were cut at a planned stop after their last byte had arrived.
"""

from collections.abc import Callable
from concurrent import futures
import socket
import threading
from typing import Any

import pytest
from support import platform_site as sites
from support import raw_server

from wisteriawall.gateway import shell as gateway_shell
from wisteriawall.web import http_exchange
from wisteriawall.web import response_writer
from wisteriawall.web import runner_connection

EVENTS = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 5))
LAST = b"data: t4"
PIECES = [EVENTS[: EVENTS.index(b"id: 4")], EVENTS[EVENTS.index(b"id: 4") :]]
HEAD = f"HTTP/1.1 %s\r\n{sites.ATTEMPT_ID}: %s\r\n{sites.SEAL}: s\r\n%s\r\n\r\n"
STREAM = "Content-Type: text/event-stream"
IN_CHUNKS = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in PIECES)


class Runner(raw_server.RawServer):
    """Runner that answers with fixed bytes once `go_on` is set.

    `answered` is set when they are sent and, without `stays_open`, the
    connection is closed.
    """

    def __init__(
        self, status: str, framing: str, body: bytes, *, stays_open: bool
    ) -> None:
        """Listen on a free port."""
        self._status, self._framing, self._body = status, framing, body
        self._stays_open = stays_open
        self.answered = threading.Event()
        super().__init__()

    def _serve(self, connection: socket.socket) -> None:
        reader = connection.makefile("rb")
        reader.readline()
        headers = sites._read_head(reader)
        reader.read(int(headers.get("content-length", "0")))
        attempt = headers.get(sites.ATTEMPT_ID.lower())
        if attempt is None:
            # A question about what an engine holds.
            return
        head = HEAD % (self._status, attempt, self._framing)
        connection.sendall(head.encode() + self._body)
        if not self._stays_open:
            connection.shutdown(socket.SHUT_WR)
        self.answered.set()
        reader.read(1)


class Gate:
    """Holds the gateway's thread at one place until `open` is set."""

    def __init__(self) -> None:
        """Let no thread pass."""
        self.reached, self.open = threading.Event(), threading.Event()

    def hold(
        self, function: Callable[..., Any], when: Callable[..., bool]
    ) -> Callable[..., Any]:
        """Return `function`, which waits first if `when` holds."""

        def held(*args: Any, **options: Any) -> Any:
            if when(*args):
                self.reached.set()
                assert self.open.wait(sites.WAIT_S)
            return function(*args, **options)

        return held


@pytest.fixture
def gate(
    request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch
) -> Gate:
    """Return the gate at the place that the test names."""
    gate = Gate()
    calls = {"chunks": 0}

    def is_second_chunk(*_: object) -> bool:
        calls["chunks"] += 1
        return calls["chunks"] == 2

    owner, name, when = {
        "head": (
            runner_connection.RunnerConnection,
            "getresponse",
            lambda connection, *_: connection.answer_id is not None,
        ),
        "chunk": (http_exchange.HttpExchange, "_next_chunk", is_second_chunk),
        "write": (
            response_writer.ResponseWriter,
            "write",
            lambda _, data: LAST in bytes(data),
        ),
    }[request.param]
    held = gate.hold(getattr(owner, name), when)
    monkeypatch.setattr(owner, name, held)
    return gate


@pytest.fixture
def timed_out(
    site: sites.Site, monkeypatch: pytest.MonkeyPatch
) -> threading.Event:
    """Return an event for the end of the time for answers, which is short.

    The time after it is long, so that only the decision is tested.
    """
    reserve_ms = round(2 * sites.WAIT_S * 1_000)
    monkeypatch.setattr(gateway_shell, "EXIT_RESERVE_MS", reserve_ms)
    site.gateway._grace_ms = reserve_ms + sites.UNREADY_MS
    event = threading.Event()
    end_open = site.gateway._stop_timed_out

    def end_and_tell() -> None:
        end_open()
        event.set()

    monkeypatch.setattr(site.gateway, "_stop_timed_out", end_and_tell)
    return event


def call_until_stopped(
    site: sites.Site,
    runner: Runner,
    gate: Gate,
    timed_out: threading.Event,
    path: str,
) -> Any:
    """Return the answer to a request that is held beyond the end of answers."""
    service = "model" if path == "/talk/" else "shop"
    site.add_runner("i-1", service).address = runner.address
    site.start_serving()
    sites.wait_until(lambda: "i-1" in site.gateway.upstream_by_id, "the runner")
    with futures.ThreadPoolExecutor() as pool:
        call = pool.submit(site.call, path, attempt="a1", deadline_ms=60_000)
        assert gate.reached.wait(sites.WAIT_S)
        assert runner.answered.wait(sites.WAIT_S)
        site.stopped = True
        stopping = threading.Thread(target=site.gateway.stop, daemon=True)
        stopping.start()
        assert timed_out.wait(2 * sites.WAIT_S)
        gate.open.set()
        try:
            return call.result()
        finally:
            stopping.join(sites.WAIT_S)
            runner.close()
            assert not stopping.is_alive()


LENGTH = f"{STREAM}\r\nContent-Length: {len(EVENTS)}"
CHUNKED = f"{STREAM}\r\nTransfer-Encoding: chunked"
PLAIN = "Content-Length: 2"


@pytest.mark.parametrize(
    ("gate", "path", "status", "framing", "body", "stays_open"),
    [
        pytest.param(
            place, path, status, framing, body, stays_open, id=f"{name}-{place}"
        )
        for name, path, status, framing, body, stays_open, places in [
            (
                "stream-in-chunks",
                "/talk/",
                "200 OK",
                CHUNKED,
                IN_CHUNKS + b"0\r\n\r\n",
                True,
                ("head", "chunk", "write"),
            ),
            (
                "stream-with-length",
                "/talk/",
                "200 OK",
                LENGTH,
                EVENTS,
                True,
                ("head", "chunk"),
            ),
            (
                "stream-until-close",
                "/talk/",
                "200 OK",
                STREAM,
                EVENTS,
                False,
                ("head", "chunk"),
            ),
            ("read", "/read/", "200 OK", PLAIN, b"ok", True, ("head", "chunk")),
            ("payment", "/pay/", "200 OK", PLAIN, b"ok", True, ("head",)),
            (
                "payment-without-length",
                "/pay/",
                "200 OK",
                "A: b",
                b"ok",
                False,
                ("head", "chunk"),
            ),
            (
                "error-of-a-run",
                "/pay/",
                "500 Failed",
                PLAIN,
                b"no",
                True,
                ("head", "chunk"),
            ),
        ]
        for place in places
    ],
    indirect=["gate"],
)
def test_whole_answer_is_not_cut_by_a_stop(
    site: sites.Site,
    gate: Gate,
    timed_out: threading.Event,
    path: str,
    status: str,
    framing: str,
    body: bytes,
    stays_open: bool,
) -> None:
    """Its thread had not come to the end when the time for answers ended."""
    runner = Runner(status, framing, body, stays_open=stays_open)
    answer = call_until_stopped(site, runner, gate, timed_out, path)
    assert f"{answer.status}" == status[:3]
    assert answer.data == (EVENTS if path == "/talk/" else body)
    lines = site.decisions("a1")
    assert lines[-1]["decision"] == "ended"
    assert lines[-1]["whole"]
