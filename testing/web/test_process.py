"""Test of a process that serves while it is told to stop."""

import signal
import subprocess
import sys

import pytest
from support import http_harness

PROGRAM = """
import sys, threading
from wisteriawall.commands import lifecycle
from wisteriawall.web import server as server_lib

def app(environ, start_response):
    server_lib.read_body(environ)
    length = [("Content-Length", "10")] if sys.argv[1] == "length" else []
    start_response("200 OK", length)
    yield b"first"
    threading.Event().wait()

server = server_lib.HttpServer(address="127.0.0.1:0", app=app, threads=2)
lifecycle.run_until_signalled(
    start=server.start,
    stop=lambda: server.stop(response_timeout_s=1.0),
    ready_message=server.address,
)
"""


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_process_with_a_blocked_answer_ends_by_itself(framing: str) -> None:
    """It stayed until it was killed."""
    command = [sys.executable, "-c", PROGRAM, framing]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        try:
            assert process.stdout is not None
            address = process.stdout.readline().decode().strip()
            caller = http_harness.Caller(address)
            caller.send()
            assert caller.read_head()
            process.send_signal(signal.SIGTERM)
            assert caller.is_reset()
            assert process.wait(http_harness.WAIT_S) == 0
        finally:
            process.kill()
