"""The agent between a control replica and a stand-in engine, on loopback."""

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


class Replica:
    """One control replica that grants what the test says."""

    def __init__(self, address: str) -> None:
        """Start with no order."""
        self.order: fleet.Order | None = None
        self.floor = fleet.FENCE_ZERO
        self.reports: list[control_messages.OrderReport] = []
        self.renewals: list[control_messages.Renew] = []
        self._codec = envelope.Codec(
            message_type=control_messages.ControlRequest,
            key=KEY,
            sender=envelope.Sender("c1", 1),
        )
        self.server = transport.RpcServer(address=address, handler=self.handle)

    def issue(self, term: int, order_id: int) -> None:
        """Make an order the pending one."""
        self.floor = fleet.Fence(term, order_id)
        self.order = fleet.Order(
            self.floor, "r1", fleet.Action.SET_ROLE, "decode"
        )

    def handle(self, data: bytes) -> bytes:
        """Answer one request."""
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
                floor=self.floor,
                leader="c1",
            )
        return self._codec.encode(reply)


class Site:
    """One replica, one engine and the agent between them."""

    def __init__(
        self,
        address: str,
        fencing: document.Fencing,
        options: shell_lib.AgentOptions,
    ) -> None:
        """Start everything."""
        self.address = address
        self.options = options
        self.replica = Replica(address)
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
        """Stop everything at once."""
        self.agent.kill()
        self.engine.stop()
        self.replica.server.close()

    def complete(
        self, *, max_tokens: int = 60, **changed: str
    ) -> urllib3.BaseHTTPResponse:
        """Send one attempt and return its answer in progress."""
        head = {
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
            headers=head,
            body=msgspec.json.encode({**body, "prompt": "a dog " * 400}),
            preload_content=False,
            retries=False,
            timeout=WAIT_S,
        )

    def await_answer(self, *, max_tokens: int = 60) -> urllib3.BaseHTTPResponse:
        """Send attempts until the agent holds its lease."""
        _wait(lambda: self.agent._agent.lease_until_ms > 0)
        return self.complete(max_tokens=max_tokens)


def _wait(holds: Callable[[], object]) -> None:
    deadline = time.monotonic() + WAIT_S
    while not holds():
        assert time.monotonic() < deadline
        time.sleep(0.01)


@pytest.fixture
def start_site() -> Iterator[Callable[..., Site]]:
    """Yield a starter of sites; stop them at the end."""
    sites: list[Site] = []

    def start(
        fencing: document.Fencing = document.Fencing.ENFORCED,
        **changed: object,
    ) -> Site:
        options = shell_lib.AgentOptions(feed="127.0.0.1:0", **changed)
        sites.append(Site(cluster.free_address(), fencing, options))
        return sites[-1]

    yield start
    # Servers take half a second to stop; the next test need not wait.
    for site in sites:
        threading.Thread(target=site.stop).start()


def test_order_waits_for_running_answer_and_refuses_new_work(
    start_site: Callable[..., Site],
) -> None:
    site = start_site()
    running = site.await_answer()
    chunks = running.stream(1)
    next(chunks)
    site.replica.issue(1, 5)
    _wait(lambda: site.agent._agent.pending)
    refused = site.complete(**{"Wisteriawall-Request": "q2"})
    assert refused.status == 503
    assert msgspec.json.decode(refused.data)["run"] == "not_run"
    assert b"".join(chunks).endswith(b"data: [DONE]\n\n")
    _wait(lambda: site.replica.reports)
    assert site.engine.core.aborted_requests == 0
    assert site.engine.orders.applied_order_ids == [5]


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
    start_site: Callable[..., Site],
    fencing: document.Fencing,
    fault: dict[str, object],
) -> None:
    site = start_site(fencing, order_timeout_s=0.5)
    for name, value in fault.items():
        setattr(site.engine.faults, name, value)
    site.replica.issue(1, 5)
    _wait(lambda: site.agent._agent.order_phase is fleet.OrderPhase.UNCLEAR)
    _wait(lambda: site.replica.reports)
    assert [r.succeeded for r in site.replica.reports] == [True]
    assert site.replica.reports[0].engine.role is fleet.Role.DECODE
    assert site.engine.orders.applied_order_ids == [5]
    assert site.engine.orders.overlapping_order_count == 0


@pytest.mark.parametrize("fencing", list(document.Fencing))
def test_restarted_agent_inspects_before_it_executes(
    start_site: Callable[..., Site], fencing: document.Fencing
) -> None:
    site = start_site(fencing)
    site.engine.faults.stall_next_s = 1.0
    site.replica.issue(1, 5)
    _wait(lambda: site.engine.orders.busy)
    site.agent.kill()
    site.start_agent()
    _wait(lambda: site.replica.reports)
    assert site.replica.reports[0].incarnation == 2
    assert site.engine.orders.applied_order_ids == [5]
    assert site.engine.orders.overlapping_order_count == 0


def test_planned_stop_announces_itself_and_finishes_the_answer(
    start_site: Callable[..., Site],
) -> None:
    site = start_site()
    chunks = site.await_answer().stream(1)
    next(chunks)
    stop = threading.Thread(target=site.agent.stop)
    stop.start()
    _wait(lambda: site.replica.renewals[-1].leaving)
    assert site.complete(**{"Wisteriawall-Request": "q2"}).status == 503
    assert b"".join(chunks).endswith(b"data: [DONE]\n\n")
    stop.join()
    assert site.engine.core.aborted_requests == 0


def test_drain_deadline_cuts_and_counts_only_when_set(
    start_site: Callable[..., Site], caplog: pytest.LogCaptureFixture
) -> None:
    site = start_site(drain_deadline_s=0.1)
    chunks = site.await_answer(max_tokens=10_000).stream(1)
    next(chunks)
    site.agent.stop()
    assert "1 answers cut" in caplog.text


@pytest.mark.parametrize(
    ("head", "status", "run"),
    [
        pytest.param({}, 200, None, id="admitted"),
        pytest.param({"Wisteriawall-Token": "x"}, 401, "not_run", id="token"),
        pytest.param({"Wisteriawall-Attempt": ""}, 400, "not_run", id="head"),
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
def test_gate_admits_or_refuses(
    start_site: Callable[..., Site],
    head: dict[str, str],
    status: int,
    run: str | None,
) -> None:
    site = start_site()
    _wait(lambda: site.agent._agent.lease_until_ms > 0)
    response = site.complete(**head)
    assert response.status == status
    data = response.data
    if run is None:
        assert b'"id":"q1"' in data
    else:
        assert msgspec.json.decode(data)["run"] == run


def test_restarted_agent_takes_no_order_before_a_majority_names_the_floor(
    start_site: Callable[..., Site],
) -> None:
    site = start_site()
    site.agent.kill()
    site.replica.issue(1, 4)
    second = cluster.free_address()
    site.start_agent(replicas={"c1": site.address, "c2": second})
    heard = len(site.replica.renewals)
    _wait(lambda: len(site.replica.renewals) >= heard + 2)
    assert site.engine.orders.applied_order_ids == []
    newer = Replica(second)
    newer.issue(2, 9)
    newer.order = None
    with contextlib.closing(newer.server):
        newer.server.start()
        _wait(lambda: site.agent._agent.floor)
        heard = len(site.replica.renewals)
        _wait(lambda: len(site.replica.renewals) >= heard + 3)
        assert site.engine.orders.applied_order_ids == []
        site.replica.issue(2, 9)
        _wait(lambda: site.replica.reports)
        assert site.engine.orders.applied_order_ids == [9]


def test_payment_whose_agent_died_is_never_run_again(
    start_site: Callable[..., Site],
) -> None:
    site = start_site(kind=document.ServiceKind.PLAIN)
    service = plain_service.StandInPlainService(
        address="127.0.0.1:0", answer_delay_s=0.5
    )
    service.start()
    site.agent.kill()
    site.start_agent(upstream=service.address)
    _wait(lambda: site.agent._agent.lease_until_ms > 0)
    head = {
        "Idempotency-Key": "order-7",
        "Wisteriawall-Claim": "9",
        "Wisteriawall-Agent": str(site.incarnation),
    }
    first = threading.Thread(target=site.complete, kwargs=head)
    first.start()
    _wait(lambda: service.runs_by_key["order-7"])
    site.agent.kill()
    first.join()
    site.start_agent(upstream=service.address)
    _wait(lambda: site.agent._agent.lease_until_ms > 0)
    again = site.complete(**{**head, "Wisteriawall-Attempt": "2"})
    assert again.status == 409
    assert msgspec.json.decode(again.data)["run"] == "unknown"
    assert service.runs_by_key == {"order-7": 1}
    service.stop()


def test_vanished_entry_frees_its_place_on_the_engine(
    start_site: Callable[..., Site],
) -> None:
    site = start_site()
    answer = site.await_answer(max_tokens=10**7)
    next(answer.stream(1))
    answer.close()
    _wait(lambda: site.engine.core.is_idle and not site.agent._agent.running)


def test_feed_lists_the_cache_again_after_a_gap(
    start_site: Callable[..., Site], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(feed, "COMPLETE_EVERY_REPORTS", 10**9)
    site = start_site()
    codec = envelope.Codec(
        message_type=load_messages.FeedMessage,
        key=KEY,
        sender=envelope.Sender("e1", 1),
    )
    heard: list[load_messages.FeedMessage] = []
    subscriber = transport.Subscriber(
        receive=lambda data: heard.append(codec.decode(data)[1])
    )
    subscriber.start()
    subscriber.follow({site.agent.feed_address})
    _wait(lambda: any(isinstance(m, fleet.LoadReport) for m in heard))
    site.engine.faults.gap_every = 2
    site.engine.core.cache.store((1, 2, 3), now_s=0.0)
    caches = load_messages.CacheEvents
    _wait(
        lambda: any(
            isinstance(m, caches)
            and m.complete
            and {c.prefix for c in m.changes} == {1, 2, 3}
            for m in list(heard)
        )
    )
    subscriber.close()
    numbers = [m.sequence for m in heard if isinstance(m, caches)]
    assert numbers == list(range(numbers[0], numbers[0] + len(numbers)))
    loads = [m for m in heard if isinstance(m, fleet.LoadReport)]
    assert {m.incarnation for m in loads} == {1}
