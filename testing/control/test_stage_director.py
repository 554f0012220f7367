"""Tests of the leader's orders to change stages."""

from collections.abc import Iterator
import contextlib
import queue

import msgspec
import pytest
from support import platform_site

from wisteriawall import clock
from wisteriawall.control import stage_director
from wisteriawall.wire import gateway_messages

PREFILL = gateway_messages.Stage.PREFILL
DECODE = gateway_messages.Stage.DECODE
WAIT_S = 10.0


class Leader:
    """Replica whose leadership and term the test sets."""

    def __init__(self) -> None:
        """Lead in term 1."""
        self.is_leader = True
        self.replica = "c1"
        self.term = 1
        self.decode_load = 0.0
        self.upstreams: list[gateway_messages.Upstream] = []

    def accept_upstreams(
        self, upstreams: list[gateway_messages.Upstream]
    ) -> None:
        """Keep the list that gateways would get."""
        self.upstreams = upstreams

    @property
    def leaving_ids(self) -> set[str]:
        """Runners that gateways may not use."""
        return {u.upstream_id for u in self.upstreams if u.leaving}


class Site:
    """A director with its leader, engines and the orders that they got."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Create four decode engines."""
        self.leader = Leader()
        self.now_ms = 1_000
        monkeypatch.setattr(clock, "monotonic_ms", lambda: self.now_ms)
        self.result = stage_director.OrderResult.ACCEPTED
        self.sent: queue.Queue[stage_director.StageOrder] = queue.Queue()
        self.director = stage_director.StageDirector(
            leader=self.leader, send=self._send, prefill_share=0.5
        )
        self.engines = [
            gateway_messages.Upstream(
                upstream_id=f"e{n}",
                service="model",
                address=f"e{n}:1",
                zone="z",
                slots=8,
                stage=DECODE,
                born_ms=5,
            )
            for n in range(4)
        ]

    def _send(
        self, order: stage_director.StageOrder
    ) -> stage_director.OrderResult:
        self.sent.put(order)
        return self.result

    def read_list(self) -> None:
        """Read the list of runners, as the leader does each second."""
        self.director.accept_upstreams(self.engines)

    def replace(self, upstream_id: str, **changes: object) -> None:
        """Change an engine in the list."""
        self.engines = [
            msgspec.structs.replace(engine, **changes)
            if engine.upstream_id == upstream_id
            else engine
            for engine in self.engines
        ]


@pytest.fixture
def site(monkeypatch: pytest.MonkeyPatch) -> Iterator[Site]:
    started = Site(monkeypatch)
    started.director.start()
    with contextlib.ExitStack() as stack:
        stack.callback(started.director.stop)
        yield started


def test_one_engine_at_a_time_is_withdrawn_and_ordered(site: Site) -> None:
    site.read_list()
    order = site.sent.get(timeout=WAIT_S)
    assert (order.stage, order.holder, order.fencing_number) == (
        PREFILL,
        "c1",
        1,
    )
    first = order.upstream.upstream_id
    assert site.leader.leaving_ids == {first}
    site.read_list()
    assert site.leader.leaving_ids == {first}
    site.replace(first, stage=PREFILL)
    site.read_list()
    second = site.sent.get(timeout=WAIT_S).upstream.upstream_id
    assert second != first
    assert site.leader.leaving_ids == {second}
    site.replace(second, stage=PREFILL)
    site.read_list()
    assert site.leader.leaving_ids == set()
    assert site.sent.empty()


@pytest.mark.parametrize(
    ("changes", "later_ms"),
    [
        pytest.param({}, 10_000, id="no-change-in-time"),
        pytest.param({"born_ms": 6}, 0, id="restarted"),
    ],
)
def test_an_engine_that_does_not_change_serves_again(
    site: Site, changes: dict[str, object], later_ms: int
) -> None:
    site.leader.decode_load = 0.0
    site.read_list()
    first = site.sent.get(timeout=WAIT_S).upstream.upstream_id
    site.replace(first, **changes)
    site.now_ms += later_ms
    site.read_list()
    assert first not in site.leader.leaving_ids


def test_a_new_leader_waits_for_orders_of_the_one_before(site: Site) -> None:
    site.leader.term = 2
    site.read_list()
    site.now_ms += stage_director.NEW_LEADER_WAIT_MS - 1
    site.read_list()
    assert site.leader.leaving_ids == set()
    site.now_ms += 1
    site.read_list()
    assert site.sent.get(timeout=WAIT_S).fencing_number == 2


def test_an_engine_that_refuses_serves_on(site: Site) -> None:
    site.result = stage_director.OrderResult.REFUSED
    site.read_list()
    refused = site.sent.get(timeout=WAIT_S).upstream.upstream_id
    platform_site.wait_until(
        lambda: not site.director._results.empty(), "the result"
    )
    site.read_list()
    assert refused not in site.leader.leaving_ids
    assert site.sent.get(timeout=WAIT_S).upstream.upstream_id != refused


def test_orders_end_with_the_leadership(site: Site) -> None:
    site.leader.is_leader = False
    site.read_list()
    platform_site.wait_until(
        lambda: not site.director._results.empty(), "the dropped order"
    )
    site.leader.is_leader = True
    site.leader.term = 3
    site.read_list()
    assert site.leader.leaving_ids == set()
    site.now_ms += stage_director.NEW_LEADER_WAIT_MS
    site.read_list()
    assert site.sent.get(timeout=WAIT_S).fencing_number == 3
    assert site.sent.empty()
