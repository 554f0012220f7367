"""Tests of applications that fail, and of how their answers end."""

from collections.abc import Callable
from collections.abc import Iterator
import json
import logging
import threading

import pytest
from support import http_harness

from wisteriawall.web import server as server_lib


class FailingApp:
    """WSGI application that raises `error` at one of its stages."""

    def __init__(self, stage: str, error: Exception) -> None:
        """Fail at `stage`: call, before-head, before-body, in-body or close."""
        self._stage = stage
        self._error = error
        self.closed = threading.Event()

    def __call__(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        """Return the answer, which is its own iterator."""
        self._fail_at("call")
        self._start_response = start_response
        self._chunks = self._answer()
        return self

    def __iter__(self) -> Iterator[bytes]:
        """Return the chunks."""
        return self._chunks

    def close(self) -> None:
        """Record the call."""
        self.closed.set()
        self._fail_at("close")

    def _answer(self) -> Iterator[bytes]:
        self._fail_at("before-head")
        if self._stage != "no-head":
            self._start_response("200 OK", [("Content-Type", "text/plain")])
        self._fail_at("before-body")
        yield b"first"
        self._fail_at("in-body")
        yield b"last"

    def _fail_at(self, stage: str) -> None:
        if stage == self._stage:
            raise self._error


ERRORS = [
    pytest.param(lambda: ValueError("bad"), id="value-error"),
    pytest.param(lambda: TimeoutError("timed out"), id="timeout"),
    pytest.param(lambda: BrokenPipeError(32, "broken pipe"), id="broken-pipe"),
    pytest.param(lambda: OSError(28, "no space left"), id="disk-full"),
]


@pytest.mark.parametrize("new_error", ERRORS)
@pytest.mark.parametrize("stage", ["call", "before-head", "before-body"])
def test_failure_before_the_head_is_answered_with_500(
    harness: http_harness.Harness,
    caplog: pytest.LogCaptureFixture,
    stage: str,
    new_error: Callable[[], Exception],
) -> None:
    """A 408 would promise that the request was not run."""
    app = FailingApp(stage, new_error())
    caller = harness.call(harness.serve(app))
    caller.send()
    head, _, body = caller.read_to_end().partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 500 ")
    assert json.loads(body)["run"] == "unknown"
    assert app.closed.is_set() is (stage != "call")
    assert _logged(caplog, app)


@pytest.mark.parametrize("new_error", ERRORS)
def test_failure_after_the_head_resets_the_connection(
    harness: http_harness.Harness,
    caplog: pytest.LogCaptureFixture,
    new_error: Callable[[], Exception],
) -> None:
    app = FailingApp("in-body", new_error())
    caller = harness.call(harness.serve(app))
    caller.send()
    assert caller.is_reset()
    assert app.closed.wait(http_harness.WAIT_S)
    assert _logged(caplog, app)


def test_missing_head_is_answered_with_500(
    harness: http_harness.Harness,
) -> None:
    caller = harness.call(harness.serve(FailingApp("no-head", ValueError())))
    caller.send()
    assert caller.read_head().startswith(b"HTTP/1.1 500 ")


def test_failure_of_close_does_not_cut_the_answer(
    harness: http_harness.Harness, caplog: pytest.LogCaptureFixture
) -> None:
    app = FailingApp("close", ValueError("bad"))
    server = harness.serve(app)
    server.disable_keep_alive()
    caller = harness.call(server)
    caller.send()
    assert caller.read_to_end().endswith(b"4\r\nlast\r\n0\r\n\r\n")
    assert _logged(caplog, app)


def _logged(caplog: pytest.LogCaptureFixture, app: FailingApp) -> bool:
    """Return whether a warning has the failure of the application."""
    return any(
        record.exc_info is not None and record.exc_info[1] is app._error
        for record in caplog.records
        if record.levelno >= logging.WARNING
    )
