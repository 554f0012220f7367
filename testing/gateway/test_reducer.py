"""State machine of the gateway's reducer: what it may never do."""

import random
from typing import Any

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from wisteriawall.config import route_table
from wisteriawall.gateway import calls
from wisteriawall.gateway import events
from wisteriawall.gateway import reducer
from wisteriawall.gateway import state as state_lib
from wisteriawall.policy import retry_window
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import site_messages

KINDS = list(route_table.RequestKind)
RUNS = [refusal_lib.RunState.NOT_RUN, refusal_lib.RunState.UNKNOWN]


def _route(kind: route_table.RequestKind) -> route_table.Route:
    return route_table.Route(
        name=kind.value,
        host="h",
        prefix=f"/{kind.value}/",
        kind=kind,
        timeout_ms=5_000,
        goal_ms=400,
        pause_goal_ms=200,
        max_attempts=2,
        shares=[route_table.Share("s", 1)],
    )


TABLE = route_table.RouteTable(
    number=3,
    routes=[_route(kind) for kind in KINDS],
    services=[
        route_table.RoutedService(name="s", health_path="/", max_connections=9)
    ],
)


class GatewayMachine(stateful.RuleBasedStateMachine):
    """Requests whose legs fail, are rejected, or end, in any order."""

    def __init__(self) -> None:
        """Start a gateway that knows nothing."""
        super().__init__()
        self.gateway = state_lib.Gateway(
            name="g",
            zone="z",
            random=random.Random(1),
            tuning=state_lib.Tuning(),
            retries=retry_window.RetryWindow(
                window_ms=10_000, ratio=0.5, slack=50
            ),
        )
        self.now_ms = 0
        self.may_have_run: dict[str, int] = {}
        self.arrivals: dict[str, int] = {}
        self.kind_by_key: dict[str, route_table.RequestKind] = {}
        self.open: dict[str, calls.Send] = {}
        self.numbers = [0]

    def reduce(self, event: events.Event) -> list[Any]:
        """Reduce an event and keep its effects for the request."""
        effects = list(reducer.reduce(self.gateway, event))
        return [
            effect
            for effect in effects
            if not isinstance(effect, events.Tell | events.Decided)
        ]

    def follow(self, key: str, effects: list[Any]) -> None:
        """Check the effects of one request."""
        assert len(effects) == 1
        match effects[0]:
            case calls.Send() as send:
                assert not send.upstream.leaving
                self.open[key] = send
                self.arrivals[key] = self.arrivals.get(key, 0) + 1
                assert self.arrivals[key] <= 2
                kind = self.kind_by_key[key]
                if kind is not route_table.RequestKind.READ_ONLY:
                    assert not self.may_have_run.get(key)
            case events.Refuse(refusal=refusal):
                if refusal.status in (408, 421, 429, 503):
                    assert not self.may_have_run.get(key) or (
                        self.kind_by_key.get(key)
                        is route_table.RequestKind.READ_ONLY
                    )

    @stateful.rule(
        number=strategies.integers(0, 5),
        leaving=strategies.sets(strategies.integers(0, 3)),
        count=strategies.integers(0, 4),
    )
    def learn(self, number: int, leaving: set[int], count: int) -> None:
        """Hear a table, perhaps an older one, and a list of runners."""
        held = self.gateway.table_number
        self.numbers.append(self.numbers[-1] + 1)
        upstreams = [
            site_messages.Upstream(
                upstream_id=f"u{n}",
                service="s",
                address=f"u{n}:1",
                zone="z",
                slots=6,
                leaving=n in leaving,
            )
            for n in range(count)
        ]
        table = route_table.RouteTable(
            number=number, routes=TABLE.routes, services=TABLE.services
        )
        self.reduce(
            events.Learned(
                table=table if number else None,
                upstreams=site_messages.UpstreamList(
                    1, self.numbers[-1], upstreams
                ),
                gateways=1,
                now_ms=self.now_ms,
            )
        )
        assert self.gateway.table_number == max(held, number)

    @stateful.rule(kind=strategies.sampled_from(KINDS))
    def arrive(self, kind: route_table.RequestKind) -> None:
        """Take a new request."""
        key = f"r{len(self.kind_by_key)}"
        self.kind_by_key[key] = kind
        call = calls.Call(attempt_id=key, deadline_ms=5_000, prompt=None)
        self.follow(
            key,
            self.reduce(
                events.Arrived(
                    key=key,
                    host="h",
                    path=f"/{kind.value}/x",
                    call=call,
                    now_ms=self.now_ms,
                )
            ),
        )

    @stateful.precondition(lambda self: self.open)
    @stateful.rule(data=strategies.data(), run=strategies.sampled_from(RUNS))
    def fail(self, data: Any, run: refusal_lib.RunState) -> None:
        """End a leg without an answer."""
        key = data.draw(strategies.sampled_from(sorted(self.open)))
        del self.open[key]
        if run is refusal_lib.RunState.UNKNOWN:
            self.may_have_run[key] = 1
        failed = events.Failed(key=key, run=run, reason="", now_ms=self.now_ms)
        self.follow(key, self.reduce(failed))

    @stateful.precondition(lambda self: self.open)
    @stateful.rule(data=strategies.data())
    def end(self, data: Any) -> None:
        """End a request with its answer."""
        key = data.draw(strategies.sampled_from(sorted(self.open)))
        del self.open[key]
        for event in (
            events.Began(key=key, now_ms=self.now_ms),
            events.Ended(key=key, whole=True, now_ms=self.now_ms),
        ):
            assert not self.reduce(event)
        assert key not in self.gateway.request_by_key

    @stateful.rule(passed_ms=strategies.integers(1, 3_000))
    def wait(self, passed_ms: int) -> None:
        """Let time pass."""
        self.now_ms += passed_ms

    @stateful.invariant()
    def counts_match(self) -> None:
        """No runner is thought to have more than what is open."""
        flying = sum(
            load.in_flight for load in self.gateway.load_by_id.values()
        )
        assert flying <= len(self.open)


TestGateway = GatewayMachine.TestCase
TestGateway.settings = hypothesis.settings(
    hypothesis.settings.get_profile("ci"), stateful_step_count=30
)
