"""The agent between a fake control replica and stand-ins, on loopback.

The stand-ins are an engine and a plain service.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import threading
import time

import msgspec
import pytest
import urllib3

from wisteriawall.agent import feed
from wisteriawall.agent import shell as shell_lib
from wisteriawall.config import document
from wisteriawall.demo import cluster
from wisteriawall.standin import engine as engine_lib
from wisteriawall.standin import engine_core
from wisteriawall.standin import faults as faults_lib
from wisteriawall.standin import plain_service
from wisteriawall.wire import control_messages
from wisteriawall.wire import envelope
from wisteriawall.wire import fleet
from wisteriawall.wire import load_messages
from wisteriawall.wire import transport

KEY = bytes(32)
WAIT_S = 20.0
TIMING = engine_core.EngineParameters(
    step_s=0.005,
    order_duration_s=0.05,
    crash_recovery_s=0.3,
    cache_event_delay_s=0.0,
)


class FakeReplica:
    """Control replica that grants the order that a test issues."""

    def __init__(self, address: str) -> None:
        """Start without an order."""
        self.order: fleet.Order | None = None
        self.min_fencing_number = fleet.FENCING_NUMBER_ZERO
        self.reports: list[control_messages.OrderReport] = []
        self.renewals: list[control_messages.RenewRequest] = []
        self._codec = envelope.Codec(
            message_type=control_messages.ControlRequest,
            key=KEY,
            sender=envelope.Sender("c1", 1),
        )
        self.server = transport.RpcServer(address=address, handler=self.handle)

    def issue_order(self, term: int, order_id: int) -> None:
        """Issue an order that sets the role to decode."""
        self.min_fencing_number = fleet.FencingNumber(term, order_id)
        self.order = fleet.Order(
            self.min_fencing_number, "r1", fleet.OrderAction.SET_ROLE, "decode"
        )

    def handle(self, data: bytes) -> bytes:
        """Answer one request; a report ends the order."""
        _, request = self._codec.decode(data)
        if isinstance(request, control_messages.OrderReport):
            self.reports.append(request)
            self.order = None
            reply = control_messages.OrderReportReply(request.order_id)
        else:
            self.renewals.append(request)
            reply = control_messages.Grant(
                age_ms=0,
                config_number=1,
                config=None,
                fleet_version=1,
                fleet_view=None,
                order=self.order,
                min_fencing_number=self.min_fencing_number,
                leader="c1",
            )
        return self._codec.encode(reply)


class Harness:
    """One control replica, one engine and the agent between them."""

    def __init__(
        self,
        address: str,
        fencing: document.Fencing,
        options: shell_lib.AgentOptions,
    ) -> None:
        """Start the replica, the engine and the agent."""
        self.address = address
        self.options = options
        self.replica = FakeReplica(address)
        self.replica.server.start()
        self.engine = engine_lib.StandInEngine(
            address="127.0.0.1:0", parameters=TIMING, fencing=fencing
        )
        self.engine.start()
        self.incarnation = 0
        self.start_agent()

    def start_agent(
        self, *, upstream: str = "", replicas: dict[str, str] | None = None
    ) -> None:
        """Start the agent's next incarnation."""
        self.incarnation += 1
        self.agent = shell_lib.AgentShell(
            runner="r1",
            address="127.0.0.1:0",
            upstream=upstream or self.engine.address,
            control_address_by_replica=replicas or {"c1": self.address},
            key=KEY,
            token="token",
            incarnation=self.incarnation,
            options=self.options,
        )
        self.agent.start()

    def stop(self) -> None:
        """Stop the agent, the engine and the replica without a drain."""
        self.agent.kill()
        self.engine.stop()
        self.replica.server.close()

    def complete(
        self, *, max_tokens: int = 60, **changed: str
    ) -> urllib3.BaseHTTPResponse:
        """Send one attempt and return its answer, not yet read.

        `changed` replaces or adds headers.
        """
        headers = {
            "Wisteriawall-Token": "token",
            "Wisteriawall-Request": "q1",
            "Wisteriawall-Attempt": "1",
            "Wisteriawall-Config": "1",
            **changed,
        }
        body = {"model": "m", "max_tokens": max_tokens, "stream": True}
        return urllib3.request(
            "POST",
            f"http://{self.agent.address}/v1/completions",
            headers=headers,
            body=msgspec.json.encode({**body, "prompt": "a dog " * 400}),
            preload_content=False,
            retries=False,
            timeout=WAIT_S,
        )

    def complete_when_leased(
        self, *, max_tokens: int = 60
    ) -> urllib3.BaseHTTPResponse:
        """Send one attempt once the agent holds a lease."""
        _wait_until(lambda: self.agent._agent.lease_until_ms > 0)
        return self.complete(max_tokens=max_tokens)


def _wait_until(condition: Callable[[], object]) -> None:
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.01)


@pytest.fixture
def start_harness() -> Iterator[Callable[..., Harness]]:
    """Yield a function that starts a harness; stop all at the end."""
    harnesses: list[Harness] = []

    def start(
        fencing: document.Fencing = document.Fencing.ENFORCED,
        **changed: object,
    ) -> Harness:
        options = shell_lib.AgentOptions(feed="127.0.0.1:0", **changed)
        harnesses.append(
            Harness(cluster.unused_loopback_address(), fencing, options)
        )
        return harnesses[-1]

    yield start
    # Servers take half a second to stop; the next test does not wait for it.
    for harness in harnesses:
        threading.Thread(target=harness.stop).start()


def test_order_waits_for_running_answer_and_new_work_is_refused(
    start_harness: Callable[..., Harness],
) -> None:
    harness = start_harness()
    running = harness.complete_when_leased()
    chunks = running.stream(1)
    next(chunks)
    harness.replica.issue_order(1, 5)
    _wait_until(lambda: harness.agent._agent.pending)
    refused = harness.complete(**{"Wisteriawall-Request": "q2"})
    assert refused.status == 503
    assert msgspec.json.decode(refused.data)["run"] == "not_run"
    assert b"".join(chunks).endswith(b"data: [DONE]\n\n")
    _wait_until(lambda: harness.replica.reports)
    assert harness.engine.core.aborted_requests == 0
    assert harness.engine.orders.applied_order_ids == [5]


@pytest.mark.parametrize("fencing", list(document.Fencing))
@pytest.mark.parametrize(
    "fault",
    [
        pytest.param(
            {"crash_next": faults_lib.OrderCrashPoint.AFTER_EFFECT},
            id="crash-done",
        ),
        pytest.param(
            {"crash_next": faults_lib.OrderCrashPoint.BEFORE_EFFECT},
            id="crash-not-done",
        ),
        pytest.param({"stall_next_s": 1.0}, id="hung"),
    ],
)
def test_unclear_order_takes_effect_once(
    start_harness: Callable[..., Harness],
    fencing: document.Fencing,
    fault: dict[str, object],
) -> None:
    harness = start_harness(fencing, order_timeout_s=0.5)
    for name, value in fault.items():
        setattr(harness.engine.faults, name, value)
    harness.replica.issue_order(1, 5)
    _wait_until(
        lambda: (
            harness.agent._agent.order_phase is fleet.OrderPhase.OUTCOME_UNKNOWN
        )
    )
    _wait_until(lambda: harness.replica.reports)
    assert [r.succeeded for r in harness.replica.reports] == [True]
    assert harness.replica.reports[0].engine.role is fleet.Role.DECODE
    assert harness.engine.orders.applied_order_ids == [5]
    assert harness.engine.orders.overlapping_order_count == 0


@pytest.mark.parametrize("fencing", list(document.Fencing))
def test_restarted_agent_inspects_before_it_executes(
    start_harness: Callable[..., Harness], fencing: document.Fencing
) -> None:
    harness = start_harness(fencing)
    harness.engine.faults.stall_next_s = 1.0
    harness.replica.issue_order(1, 5)
    _wait_until(lambda: harness.engine.orders.busy)
    harness.agent.kill()
    harness.start_agent()
    _wait_until(lambda: harness.replica.reports)
    assert harness.replica.reports[0].incarnation == 2
    assert harness.engine.orders.applied_order_ids == [5]
    assert harness.engine.orders.overlapping_order_count == 0


def test_planned_stop_is_announced_and_finishes_running_answers(
    start_harness: Callable[..., Harness],
) -> None:
    harness = start_harness()
    chunks = harness.complete_when_leased().stream(1)
    next(chunks)
    stop = threading.Thread(target=harness.agent.stop)
    stop.start()
    _wait_until(lambda: harness.replica.renewals[-1].stopping)
    assert harness.complete(**{"Wisteriawall-Request": "q2"}).status == 503
    assert b"".join(chunks).endswith(b"data: [DONE]\n\n")
    stop.join()
    assert harness.engine.core.aborted_requests == 0


def test_drain_deadline_aborts_and_counts_answers(
    start_harness: Callable[..., Harness], caplog: pytest.LogCaptureFixture
) -> None:
    harness = start_harness(drain_deadline_s=0.1)
    chunks = harness.complete_when_leased(max_tokens=10_000).stream(1)
    next(chunks)
    harness.agent.stop()
    assert "1 answers aborted" in caplog.text


@pytest.mark.parametrize(
    ("headers", "status", "run"),
    [
        pytest.param({}, 200, None, id="admitted"),
        pytest.param({"Wisteriawall-Token": "x"}, 401, "not_run", id="token"),
        pytest.param(
            {"Wisteriawall-Attempt": ""}, 400, "not_run", id="headers"
        ),
        pytest.param(
            {"Wisteriawall-Claim": "9", "Wisteriawall-Agent": "77"},
            503,
            "not_run",
            id="other-incarnation",
        ),
        pytest.param(
            {
                "Wisteriawall-Claim": "9",
                "Wisteriawall-Agent": "77",
                "Wisteriawall-Attempt": "2",
            },
            409,
            "unknown",
            id="repeated-to-other-incarnation",
        ),
    ],
)
def test_attempt_is_admitted_or_refused_by_its_headers(
    start_harness: Callable[..., Harness],
    headers: dict[str, str],
    status: int,
    run: str | None,
) -> None:
    harness = start_harness()
    _wait_until(lambda: harness.agent._agent.lease_until_ms > 0)
    response = harness.complete(**headers)
    assert response.status == status
    data = response.data
    if run is None:
        assert b'"id":"q1"' in data
    else:
        assert msgspec.json.decode(data)["run"] == run


def test_restarted_agent_executes_no_order_before_a_majority_answers(
    start_harness: Callable[..., Harness],
) -> None:
    harness = start_harness()
    harness.agent.kill()
    harness.replica.issue_order(1, 4)
    second = cluster.unused_loopback_address()
    harness.start_agent(replicas={"c1": harness.address, "c2": second})
    received = len(harness.replica.renewals)
    _wait_until(lambda: len(harness.replica.renewals) >= received + 2)
    assert harness.engine.orders.applied_order_ids == []
    newer = FakeReplica(second)
    newer.issue_order(2, 9)
    newer.order = None
    with contextlib.closing(newer.server):
        newer.server.start()
        _wait_until(lambda: harness.agent._agent.min_fence)
        received = len(harness.replica.renewals)
        _wait_until(lambda: len(harness.replica.renewals) >= received + 3)
        assert harness.engine.orders.applied_order_ids == []
        harness.replica.issue_order(2, 9)
        _wait_until(lambda: harness.replica.reports)
        assert harness.engine.orders.applied_order_ids == [9]


def test_claimed_request_is_not_repeated_after_an_agent_crash(
    start_harness: Callable[..., Harness],
) -> None:
    harness = start_harness(kind=document.ServiceKind.PLAIN)
    service = plain_service.StandInPlainService(
        address="127.0.0.1:0", answer_delay_s=0.5
    )
    service.start()
    harness.agent.kill()
    harness.start_agent(upstream=service.address)
    _wait_until(lambda: harness.agent._agent.lease_until_ms > 0)
    headers = {
        "Idempotency-Key": "order-7",
        "Wisteriawall-Claim": "9",
        "Wisteriawall-Agent": str(harness.incarnation),
    }
    first = threading.Thread(target=harness.complete, kwargs=headers)
    first.start()
    _wait_until(lambda: service.runs_by_key["order-7"])
    harness.agent.kill()
    first.join()
    harness.start_agent(upstream=service.address)
    _wait_until(lambda: harness.agent._agent.lease_until_ms > 0)
    again = harness.complete(**{**headers, "Wisteriawall-Attempt": "2"})
    assert again.status == 409
    assert msgspec.json.decode(again.data)["run"] == "unknown"
    assert service.runs_by_key == {"order-7": 1}
    service.stop()


def test_disconnected_entry_releases_engine_capacity(
    start_harness: Callable[..., Harness],
) -> None:
    harness = start_harness()
    answer = harness.complete_when_leased(max_tokens=10**7)
    next(answer.stream(1))
    answer.close()
    _wait_until(
        lambda: (
            harness.engine.core.is_idle
            and not harness.agent._agent.running_attempts
        )
    )


def test_feed_publishes_the_complete_cache_after_a_gap(
    start_harness: Callable[..., Harness], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(feed, "REPORTS_PER_COMPLETE_CACHE", 10**9)
    harness = start_harness()
    codec = envelope.Codec(
        message_type=load_messages.FeedMessage,
        key=KEY,
        sender=envelope.Sender("e1", 1),
    )
    received: list[load_messages.FeedMessage] = []
    subscriber = transport.Subscriber(
        on_message=lambda data: received.append(codec.decode(data)[1])
    )
    subscriber.start()
    subscriber.set_publishers({harness.agent.feed_address})
    _wait_until(lambda: any(isinstance(m, fleet.LoadReport) for m in received))
    harness.engine.faults.gap_every = 2
    harness.engine.core.cache.store((1, 2, 3), now_s=0.0)
    cache_type = load_messages.CacheUpdate
    _wait_until(
        lambda: any(
            isinstance(m, cache_type)
            and m.complete
            and {c.prefix_hash for c in m.changes} == {1, 2, 3}
            for m in list(received)
        )
    )
    subscriber.close()
    numbers = [m.sequence for m in received if isinstance(m, cache_type)]
    assert numbers == list(range(numbers[0], numbers[0] + len(numbers)))
    loads = [m for m in received if isinstance(m, fleet.LoadReport)]
    assert {m.incarnation for m in loads} == {1}
