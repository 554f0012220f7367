"""Tests of how a gateway's reducer uses notices about runners."""

import random
from typing import Any

import pytest

from wisteriawall.config import route_table
from wisteriawall.gateway import events
from wisteriawall.gateway import protocol
from wisteriawall.gateway import reducer
from wisteriawall.gateway import state as state_lib
from wisteriawall.policy import retry_window
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import gateway_messages

PAYMENT = route_table.RequestKind.AT_MOST_ONCE
NOT_RUN = refusal_lib.RunState.NOT_RUN
LEAVING = gateway_messages.LoadEventKind.LEAVING
FAILED = gateway_messages.LoadEventKind.FAILED


class Service:
    """A gateway with one plain service of two runners, `u1` and `u2`."""

    def __init__(self) -> None:
        """Start with a routing table and the list of runners."""
        self.gateway = state_lib.Gateway(
            name="g",
            zone="z",
            random=random.Random(1),
            tuning=state_lib.Tuning(),
            retries=retry_window.RetryWindow(
                window_ms=10_000, ratio=0.5, slack=50
            ),
        )
        self.arrivals = 0
        self.list_runners(["u1", "u2"])

    def list_runners(self, names: list[str], *, born_ms: int = 0) -> None:
        """Replace the list of runners."""
        upstreams = [
            gateway_messages.Upstream(
                upstream_id=name,
                service="s",
                address=f"{name}:1",
                zone="z",
                slots=100,
                born_ms=born_ms,
            )
            for name in names
        ]
        route = route_table.Route(
            name="pay",
            host="h",
            prefix="/pay/",
            kind=PAYMENT,
            timeout_ms=5_000,
            goal_ms=400,
            pause_goal_ms=0,
            max_attempts=2,
            shares=[route_table.ServiceWeight("s", 1)],
        )
        service = route_table.RoutedService(
            name="s", health_path="/", max_connections=9
        )
        sequence = self.gateway.list_version[1] + 1
        self.reduce(
            events.ControlUpdate(
                table=route_table.RouteTable(
                    number=1, routes=[route], services=[service]
                ),
                upstreams=gateway_messages.UpstreamList(1, sequence, upstreams),
                gateway_count=1,
                now_ms=0,
            )
        )

    def reduce(self, event: events.Event) -> list[Any]:
        """Reduce an event; return its effects."""
        return list(reducer.reduce(self.gateway, event))

    def arrive(self, now_ms: int) -> Any:
        """Receive a request; return its send or refusal."""
        self.arrivals += 1
        effects = self.reduce(
            events.Arrived(
                request_key=self.arrivals,
                request_id=f"r{self.arrivals}",
                host="h",
                path="/pay/x",
                head=protocol.RequestHead(
                    attempt_id=f"r{self.arrivals}",
                    remaining_ms=5_000,
                    prompt=None,
                ),
                now_ms=now_ms,
            )
        )
        return effects[-1]

    def notice(
        self, upstream_id: str, *, leaving: bool, pause_ms: int | None = None
    ) -> list[Any]:
        """Receive an answer of a runner that carries a notice."""
        return self.reduce(
            events.RunnerNoticed(
                request_id="r1",
                upstream=self.gateway.upstream_by_id[upstream_id],
                leaving=leaving,
                pause_ms=pause_ms,
                now_ms=0,
            )
        )

    def told(self, kind: gateway_messages.LoadEventKind) -> None:
        """Receive a notice about `u1` from another gateway."""
        event = gateway_messages.LoadEvent(kind, "u1", "")
        self.reduce(events.PeerLoadReceived(load_events=(event,), now_ms=0))

    def used(self, now_ms: int) -> set[str]:
        """Return the runners that requests in progress are sent to.

        There are enough requests to even out the load of the earlier ones.
        """
        count = 2 * self.arrivals + 4
        return {self.arrive(now_ms).upstream.upstream_id for _ in range(count)}


@pytest.mark.parametrize(
    ("now_ms", "used"),
    [
        pytest.param(0, {"u2"}, id="at-once"),
        pytest.param(60_000, {"u2"}, id="still-listed-as-ready"),
    ],
)
def test_a_runner_that_says_it_leaves_gets_nothing(
    now_ms: int, used: set[str]
) -> None:
    service = Service()
    effects = service.notice("u1", leaving=True)
    assert [
        e.load_event.kind
        for e in effects
        if isinstance(e, events.BroadcastLoad)
    ] == [LEAVING]
    assert service.notice("u1", leaving=True) == []
    assert service.used(now_ms) == used


@pytest.mark.parametrize(
    ("unread_ms", "status"),
    [
        pytest.param(4_999, 0, id="in-time"),
        pytest.param(5_000, 503, id="deadline-passed-unread"),
    ],
)
def test_the_time_before_a_request_is_read_counts(
    unread_ms: int, status: int
) -> None:
    """A gateway without processor time reads requests late."""
    service = Service()
    arrived = events.Arrived(
        request_key=1,
        request_id="r1",
        host="h",
        path="/pay/x",
        head=protocol.RequestHead(
            attempt_id="r1", remaining_ms=5_000, prompt=None
        ),
        now_ms=9_000,
        unread_ms=unread_ms,
    )
    match service.reduce(arrived)[-1]:
        case events.Refuse(refusal=refusal):
            assert refusal.status == status
        case protocol.Send():
            assert status == 0
        case other:
            raise AssertionError(other)


def test_a_leaving_runner_that_is_listed_again_gets_nothing() -> None:
    """An entry of the list can be unreadable for a time."""
    service = Service()
    service.notice("u1", leaving=True)
    service.list_runners(["u2"])
    service.list_runners(["u1", "u2"])
    assert service.used(0) == {"u2"}


def test_a_restarted_runner_is_used_again() -> None:
    service = Service()
    service.notice("u1", leaving=True)
    service.list_runners(["u1", "u2"], born_ms=9)
    assert service.used(0) == {"u1", "u2"}


@pytest.mark.parametrize(
    ("kind", "later_ms"),
    [
        pytest.param(LEAVING, 10_000, id="leaving"),
        pytest.param(FAILED, 700, id="failed"),
    ],
)
def test_a_notice_of_another_gateway_counts_for_a_time(
    kind: gateway_messages.LoadEventKind, later_ms: int
) -> None:
    service = Service()
    service.told(kind)
    assert service.used(0) == {"u2"}
    assert service.used(later_ms) == {"u1", "u2"}


def test_a_paused_runner_gets_nothing_until_the_pause_ends() -> None:
    service = Service()
    service.notice("u1", leaving=False, pause_ms=3_000)
    assert service.used(2_999) == {"u2"}
    assert service.used(3_000) == {"u1", "u2"}


def test_a_caller_returns_when_the_first_pause_ends() -> None:
    service = Service()
    service.notice("u1", leaving=False, pause_ms=3_000)
    service.notice("u2", leaving=False, pause_ms=2_000)
    refused = service.arrive(500)
    assert isinstance(refused, events.Refuse)
    assert refused.refusal.status == 503
    assert refused.refusal.retry_after_ms == 1_500


@pytest.mark.parametrize(
    ("unreachable", "runner_failed", "used"),
    [
        pytest.param(True, True, {"u2"}, id="unreachable"),
        pytest.param(False, True, {"u1", "u2"}, id="one-broken-answer"),
        pytest.param(True, False, {"u1", "u2"}, id="deadline-before-the-send"),
        pytest.param(False, False, {"u1", "u2"}, id="full"),
    ],
)
def test_a_runner_that_is_down_is_avoided_for_a_while(
    unreachable: bool, runner_failed: bool, used: set[str]
) -> None:
    service = Service()
    send = service.arrive(0)
    if send.upstream.upstream_id != "u1":
        send = service.arrive(0)
    effects = service.reduce(
        events.PhaseFailed(
            request_key=service.arrivals,
            run=refusal_lib.RunState.UNKNOWN,
            reason="reset",
            now_ms=0,
            unreachable=unreachable,
            runner_failed=runner_failed,
        )
    )
    told = [
        e.load_event.kind
        for e in effects
        if isinstance(e, events.BroadcastLoad)
    ]
    assert (FAILED in told) is (used == {"u2"})
    assert service.used(0) == used
    assert service.used(700) == {"u1", "u2"}
