"""Tests of forwarding one request, with a scripted runner."""

import pytest
from support import scripted_server

from wisteriawall import clock
from wisteriawall.gateway import answer_memory
from wisteriawall.gateway import events
from wisteriawall.gateway import protocol
from wisteriawall.gateway import run as run_lib
from wisteriawall.platform import headers as platform_headers
from wisteriawall.web import connection_pool
from wisteriawall.web import memory_budget
from wisteriawall.web import server_connection
from wisteriawall.wire import gateway_messages

ATTEMPT_ID = platform_headers.ATTEMPT_ID
NOT_EXECUTED = platform_headers.NOT_EXECUTED
RESPONSE_SEAL = platform_headers.RESPONSE_SEAL
WAIT_MS = 15_000


class QuietMonitor:
    """Stands in for the monitor of a caller's connection."""


@pytest.fixture
def runner() -> scripted_server.ScriptedServer:
    """Return a runner that rejects a request, then answers it."""
    server = scripted_server.ScriptedServer()
    head = f"{ATTEMPT_ID}: a1\r\nContent-Length: 2\r\n\r\n"
    server.script = [
        f"HTTP/1.1 503 Busy\r\n{NOT_EXECUTED}: 1\r\n{head}no".encode(),
        f"HTTP/1.1 200 OK\r\n{RESPONSE_SEAL}: s\r\n{head}ok".encode(),
    ]
    return server


def test_second_phase_at_a_runner_uses_a_new_connection(
    runner: scripted_server.ScriptedServer,
) -> None:
    """A late answer to the first phase would have the same attempt id."""
    upstream = gateway_messages.Upstream(
        upstream_id="i-1",
        service="shop",
        address=runner.address,
        zone="z1",
        slots=1,
        leaving=False,
        stage=gateway_messages.Stage.NONE,
        weights_version=0,
    )
    send = protocol.Send(
        upstream=upstream,
        phase=protocol.Phase.WHOLE,
        attempt=1,
        priority_class=3,
    )

    def submit(event: events.Event) -> list[events.Effect]:
        return [send] if isinstance(event, events.PhaseFailed) else []

    statuses: list[str] = []
    response = run_lib.ForwardedResponse(
        request=run_lib.CallerRequest(
            request_key=1,
            request_id="a1",
            method="GET",
            target="/",
            headers={"Host": "h", ATTEMPT_ID: "a1"},
            body=b"",
            head=protocol.RequestHead(
                attempt_id="a1", remaining_ms=WAIT_MS, prompt=None
            ),
            deadline_at_ms=clock.monotonic_ms() + WAIT_MS,
            is_stream=False,
            is_resumable=False,
            is_repeatable=True,
        ),
        effects=[send],
        caller=server_connection.CallerConnection(None, QuietMonitor()),  # type: ignore[arg-type]
        start_response=lambda status, _: statuses.append(status),
        submit=submit,
        find_origin=lambda _: None,
        dialect=platform_headers.PlatformDialect(),
        pool=connection_pool.ConnectionPool(),
        memory=answer_memory.AnswerMemory(budget=memory_budget.for_limits()),
        on_close=lambda: None,
    )
    assert b"".join(response) == b"ok"
    response.close()
    runner.close()
    assert (statuses, runner.connections) == (["200 OK"], 2)
