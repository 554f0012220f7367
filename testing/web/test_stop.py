"""Tests of a server that stops while answers are in progress."""

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
