"""Tests of a server that stops while answers are in progress."""

import socket
import threading
import time

import pytest
from support import http_harness

from wisteriawall.web import server as server_lib
from wisteriawall.web import server_connection


def test_stalled_answer_does_not_keep_the_stop_from_returning(
    harness: http_harness.Harness,
) -> None:
    app = http_harness.StreamingApp()
    app.ends_when_cancelled = False
    server = harness.serve(app)
    harness.call(server).send()
    assert app.began.wait(http_harness.WAIT_S)
    stopping = harness.start_stop(server, response_timeout_s=0.2)
    stopping.join(http_harness.WAIT_S / 3)
    stopped = not stopping.is_alive()
    app.finish.set()
    assert stopped


def test_answer_cut_by_the_stop_ends_with_a_reset(
    harness: http_harness.Harness,
) -> None:
    app = http_harness.StreamingApp()
    server = harness.serve(app)
    caller = harness.call(server)
    caller.send()
    assert app.began.wait(http_harness.WAIT_S)
    stopping = harness.start_stop(server, response_timeout_s=0.2)
    assert caller.is_reset()
    assert app.closed.wait(http_harness.WAIT_S)
    stopping.join(http_harness.WAIT_S)
    assert not stopping.is_alive()
    assert server.monitor_registrations == 0


@pytest.mark.parametrize("step_s", [1_000, -1_000], ids=["forward", "back"])
def test_step_of_the_wall_clock_does_not_move_the_end_of_a_stop(
    harness: http_harness.Harness,
    monkeypatch: pytest.MonkeyPatch,
    step_s: float,
) -> None:
    """A forward step cut answers early, a backward step did so too late."""
    apps = [http_harness.StreamingApp() for _ in range(8)]
    server = harness.serve(
        lambda environ, start_response: apps[int(environ["PATH_INFO"][1:])](
            environ, start_response
        ),
        threads=len(apps),
    )
    for number, app in enumerate(apps):
        harness.call(server).send(b"%d" % number)
        assert app.began.wait(http_harness.WAIT_S)
    stopping = harness.start_stop(server, response_timeout_s=4.0)
    http_harness.wait_until(
        lambda: not server.busy_worker_threads, "the end of the accept loop"
    )
    wall_clock = time.time
    monkeypatch.setattr(time, "time", lambda: wall_clock() + step_s)
    *others, last = apps
    for app in others:
        app.finish.set()
    stopping.join(1.0)
    cut_early = last.cancelled.is_set()
    stopping.join(http_harness.WAIT_S / 2)
    stopped = not stopping.is_alive()
    last.finish.set()
    assert not cut_early
    assert stopped


def test_answer_says_close_if_its_head_is_sent_after_keep_alive_ended(
    harness: http_harness.Harness,
) -> None:
    """The decision fell when the request was read, before a slow answer."""
    called, go_on = threading.Event(), threading.Event()

    def app(
        environ: server_lib.Environ, start_response: server_lib.StartResponse
    ) -> server_lib.Response:
        called.set()
        assert go_on.wait(http_harness.WAIT_S)
        return server_lib.send_response(start_response, status=200, body=b"{}")

    server = harness.serve(app)
    caller = harness.call(server)
    caller.send()
    assert called.wait(http_harness.WAIT_S)
    server.disable_keep_alive()
    go_on.set()
    assert b"Connection: close" in caller.read_head()
    assert caller.read_to_end() == b"{}"


def test_requests_that_no_worker_has_read_are_refused_by_the_stop(
    harness: http_harness.Harness,
) -> None:
    """Those in the queue for workers were read after their callers gave up."""
    app = http_harness.StreamingApp()
    server = harness.serve(app, threads=1)
    streaming, queued = harness.call(server), harness.call(server)
    streaming.send()
    assert app.began.wait(http_harness.WAIT_S)
    queued.send()
    http_harness.wait_until(
        lambda: server._server.requests.qsize == 1, "the queued connection"
    )
    stopping = harness.start_stop(server, response_timeout_s=60.0)
    assert queued.read_head().startswith(b"HTTP/1.1 503 ")
    app.finish.set()
    stopping.join(http_harness.WAIT_S)
    assert streaming.read_to_end().endswith(b"4\r\nlast\r\n0\r\n\r\n")


def test_request_in_the_accept_queue_is_refused_by_the_stop(
    harness: http_harness.Harness,
) -> None:
    server = harness.serve(_answer)
    server._server._connections.stop()
    caller = harness.call(server)
    caller.send()
    server.stop()
    assert caller.read_head().startswith(b"HTTP/1.1 503 ")


def test_request_on_an_idle_connection_is_refused_by_the_stop(
    harness: http_harness.Harness,
) -> None:
    """It arrived after the accept loop had ended."""
    server = harness.serve(_answer)
    caller, without_request = harness.call(server), harness.call(server)
    for each in (caller, without_request):
        each.send()
        assert each.read_head()
        assert each.socket.recv(2) == b"{}"
    connections = server._server._connections
    http_harness.wait_until(
        lambda: connections._num_connections == 2, "the idle connections"
    )
    connections.stop()
    caller.send()
    server.stop()
    assert caller.read_head().startswith(b"HTTP/1.1 503 ")
    assert without_request.read_to_end() == b""


def test_connection_put_back_after_the_close_is_closed(
    harness: http_harness.Harness,
) -> None:
    """It stayed open without a reader, or ended the worker."""
    app = http_harness.StreamingApp()
    server = harness.serve(app)
    caller = harness.call(server)
    caller.send()
    assert app.began.wait(http_harness.WAIT_S)
    connections = server._server._connections
    connections.stop()
    connections.close()
    app.finish.set()
    assert caller.read_to_end().endswith(b"4\r\nlast\r\n0\r\n\r\n")


def _answer(
    environ: server_lib.Environ, start_response: server_lib.StartResponse
) -> server_lib.Response:
    return server_lib.send_response(start_response, status=200, body=b"{}")


def test_stop_does_not_wait_for_idle_callers_that_read_slowly(
    harness: http_harness.Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The end of each of their answers is still in its send queue."""
    monkeypatch.setattr(server_connection, "MAX_LINGER_MS", 60_000)
    body = 600_000 * b"x"

    def answer(
        environ: server_lib.Environ, start_response: server_lib.StartResponse
    ) -> server_lib.Response:
        server_lib.read_body(environ)
        return server_lib.send_response(start_response, status=200, body=body)

    server = harness.serve(answer)
    callers = [harness.call(server) for _ in range(4)]
    for caller in callers:
        caller.send()
        caller.read_head()
    http_harness.wait_until(
        lambda: server.busy_worker_threads == 0, "the end of the answers"
    )
    stopping = harness.stop(server, response_timeout_s=0.2)
    assert not stopping.is_alive()
    assert [caller.read_to_end() for caller in callers] == 4 * [body]


UNREAD = 8_000_000 * b"x"


class HeldApp:
    """Application that gives its answer once `go_on` is set."""

    def __init__(self, body: bytes) -> None:
        """Answer nothing yet."""
        self._body = body
        self.called, self.go_on = threading.Event(), threading.Event()

    def __call__(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        """Answer with the body."""
        server_lib.read_body(environ)
        self.called.set()
        assert self.go_on.wait(http_harness.WAIT_S)
        return server_lib.send_response(
            start_response, status=200, body=self._body
        )


def test_answer_that_is_whole_is_delivered_after_the_time_for_answers(
    harness: http_harness.Harness,
) -> None:
    """Its caller had not read it when the time for answers ended."""
    app, over = HeldApp(UNREAD), threading.Event()
    server = harness.serve(app)
    caller = harness.call(server)
    caller.send()
    assert app.called.wait(http_harness.WAIT_S)
    stopping = harness.start_stop(
        server,
        response_timeout_s=0.1,
        delivery_timeout_s=2 * http_harness.WAIT_S,
        on_timeout=over.set,
    )
    app.go_on.set()
    assert caller.read_head().startswith(b"HTTP/1.1 200 ")
    assert over.wait(http_harness.WAIT_S)
    assert caller.read_to_end() == UNREAD
    stopping.join(http_harness.WAIT_S)
    assert not stopping.is_alive()


def test_rest_that_the_loop_sends_is_delivered_after_the_time_for_answers(
    harness: http_harness.Harness,
) -> None:
    """It was cut although no thread needed to wait for it."""
    app, over = HeldApp(UNREAD[:3_900_000]), threading.Event()
    streaming = http_harness.StreamingApp()
    server = harness.serve(
        lambda environ, start_response: (
            streaming if environ["PATH_INFO"] == "/stream" else app
        )(environ, start_response)
    )
    caller, other = harness.call(server), harness.call(server)
    other.send(b"stream")
    assert streaming.began.wait(http_harness.WAIT_S)
    caller.send()
    app.go_on.set()
    assert caller.read_head().startswith(b"HTTP/1.1 200 ")
    http_harness.wait_until(
        lambda: server.busy_worker_threads == 1, "the end of the answer"
    )
    stopping = harness.start_stop(
        server,
        response_timeout_s=0.1,
        delivery_timeout_s=2 * http_harness.WAIT_S,
        on_timeout=over.set,
    )
    assert over.wait(http_harness.WAIT_S)
    # Its thread resets what is left as soon as this holds.
    assert not server._server.loop._is_drain_over()
    assert caller.read_to_end() == UNREAD[:3_900_000]
    streaming.finish.set()
    stopping.join(http_harness.WAIT_S)
    assert not stopping.is_alive()


def test_caller_that_reads_nothing_does_not_hold_the_stop(
    harness: http_harness.Harness,
) -> None:
    app = HeldApp(UNREAD)
    server = harness.serve(app)
    caller = harness.call(server)
    caller.send()
    assert app.called.wait(http_harness.WAIT_S)
    stopping = harness.start_stop(
        server, response_timeout_s=0.1, delivery_timeout_s=0.2
    )
    app.go_on.set()
    stopping.join(http_harness.WAIT_S)
    assert not stopping.is_alive()
    assert caller.is_reset()


def test_answer_that_the_kernel_has_is_not_taken_back_by_the_stop(
    harness: http_harness.Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The connection was reset while its thread waited for the caller."""
    monkeypatch.setattr(server_connection, "MAX_LINGER_MS", 60_000)
    body = 60_000 * b"x"
    app = HeldApp(body)
    server = harness.serve(app)
    host, _, port = server.address.rpartition(":")
    with socket.socket() as caller:
        # Most of the answer stays in the send queue.
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        caller.connect((host, int(port)))
        caller.settimeout(http_harness.WAIT_S)
        caller.sendall(b"GET / HTTP/1.1\r\nHost: app.example\r\n\r\n")
        assert app.called.wait(http_harness.WAIT_S)
        stopping = harness.start_stop(server, response_timeout_s=0.1)
        http_harness.wait_until(
            lambda: server._server._connections._stop_requested,
            "the end of the loop",
        )
        app.go_on.set()
        stopping.join(http_harness.WAIT_S)
        assert not stopping.is_alive()
        data = b""
        while chunk := caller.recv(65_536):
            data += chunk
    assert data.partition(b"\r\n\r\n")[2] == body
