"""Stateful test of the invariants of the gateway's reducer."""

import random
from typing import Any

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from wisteriawall.config import route_table
from wisteriawall.gateway import events
from wisteriawall.gateway import protocol
from wisteriawall.gateway import reducer
from wisteriawall.gateway import state as state_lib
from wisteriawall.policy import retry_window
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import gateway_messages

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
        shares=[route_table.ServiceWeight("s", 1)],
    )


TABLE = route_table.RouteTable(
    number=3,
    routes=[_route(kind) for kind in KINDS],
    services=[
        route_table.RoutedService(name="s", health_path="/", max_connections=9)
    ],
)


class GatewayMachine(stateful.RuleBasedStateMachine):
    """Requests whose phases fail or end in any order.

    Guards against a request being sent again although it may have run and must
    not be repeated, against more attempts than its route allows, and against
    sending to a draining runner.
    """

    def __init__(self) -> None:
        """Start a gateway without a routing table or runners."""
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
        self.possible_runs_by_key: dict[int, int] = {}
        self.attempts_by_key: dict[int, int] = {}
        self.kind_by_key: dict[int, route_table.RequestKind] = {}
        self.send_by_key: dict[int, protocol.Send] = {}
        self.list_sequences = [0]

    def reduce(self, event: events.Event) -> list[Any]:
        """Reduce an event; return its effects without logs and broadcasts."""
        effects = list(reducer.reduce(self.gateway, event))
        return [
            effect
            for effect in effects
            if not isinstance(effect, events.BroadcastLoad | events.LogDecision)
        ]

    def check_effects(self, request_key: int, effects: list[Any]) -> None:
        """Check that the only effect is a permitted send or refusal."""
        assert len(effects) == 1
        match effects[0]:
            case protocol.Send() as send:
                assert not send.upstream.leaving
                self.send_by_key[request_key] = send
                self.attempts_by_key[request_key] = (
                    self.attempts_by_key.get(request_key, 0) + 1
                )
                assert self.attempts_by_key[request_key] <= 2
                kind = self.kind_by_key[request_key]
                if kind is not route_table.RequestKind.READ_ONLY:
                    assert not self.possible_runs_by_key.get(request_key)
            case events.Refuse(refusal=refusal):
                if refusal.status in (408, 421, 429, 503):
                    assert not self.possible_runs_by_key.get(request_key) or (
                        self.kind_by_key.get(request_key)
                        is route_table.RequestKind.READ_ONLY
                    )

    @stateful.rule(
        number=strategies.integers(0, 5),
        leaving=strategies.sets(strategies.integers(0, 3)),
        count=strategies.integers(0, 4),
    )
    def apply_control_update(
        self, number: int, leaving: set[int], count: int
    ) -> None:
        """Receive a list of runners and a table, which may be out of date."""
        previous_number = self.gateway.table_number
        self.list_sequences.append(self.list_sequences[-1] + 1)
        upstreams = [
            gateway_messages.Upstream(
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
            events.ControlUpdate(
                table=table if number else None,
                upstreams=gateway_messages.UpstreamList(
                    1, self.list_sequences[-1], upstreams
                ),
                gateway_count=1,
                now_ms=self.now_ms,
            )
        )
        assert self.gateway.table_number == max(previous_number, number)

    @stateful.rule(kind=strategies.sampled_from(KINDS))
    def arrive(self, kind: route_table.RequestKind) -> None:
        """Receive a new request."""
        request_key = len(self.kind_by_key)
        # Two requests have each id.
        request_id = f"r{request_key // 2}"
        self.kind_by_key[request_key] = kind
        head = protocol.RequestHead(
            attempt_id=request_id, remaining_ms=5_000, prompt=None
        )
        self.check_effects(
            request_key,
            self.reduce(
                events.Arrived(
                    request_key=request_key,
                    request_id=request_id,
                    host="h",
                    path=f"/{kind.value}/x",
                    head=head,
                    now_ms=self.now_ms,
                )
            ),
        )

    @stateful.precondition(lambda self: self.send_by_key)
    @stateful.rule(data=strategies.data(), run=strategies.sampled_from(RUNS))
    def fail(self, data: Any, run: refusal_lib.RunState) -> None:
        """Fail the current phase of a request."""
        request_key = data.draw(
            strategies.sampled_from(sorted(self.send_by_key))
        )
        del self.send_by_key[request_key]
        if run is refusal_lib.RunState.UNKNOWN:
            self.possible_runs_by_key[request_key] = 1
        failed = events.PhaseFailed(
            request_key=request_key, run=run, reason="", now_ms=self.now_ms
        )
        self.check_effects(request_key, self.reduce(failed))

    @stateful.precondition(lambda self: self.send_by_key)
    @stateful.rule(data=strategies.data())
    def end(self, data: Any) -> None:
        """Complete a request with its answer."""
        request_key = data.draw(
            strategies.sampled_from(sorted(self.send_by_key))
        )
        del self.send_by_key[request_key]
        for event in (
            events.AnswerStarted(request_key=request_key, now_ms=self.now_ms),
            events.Ended(
                request_key=request_key, is_complete=True, now_ms=self.now_ms
            ),
        ):
            assert not self.reduce(event)
        assert request_key not in self.gateway.request_by_key

    @stateful.rule(passed_ms=strategies.integers(1, 3_000))
    def wait(self, passed_ms: int) -> None:
        """Advance the clock."""
        self.now_ms += passed_ms

    @stateful.invariant()
    def counts_match(self) -> None:
        """The recorded load never exceeds the requests in progress."""
        in_flight = sum(
            load.in_flight for load in self.gateway.load_by_id.values()
        )
        assert in_flight <= len(self.send_by_key)


TestGateway = GatewayMachine.TestCase
TestGateway.settings = hypothesis.settings(
    hypothesis.settings.get_profile("ci"), stateful_step_count=30
)
