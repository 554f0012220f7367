"""Properties of the agent's reducer under any order of events."""

from collections.abc import Callable
from collections.abc import Iterator
import functools
import itertools

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from wisteriawall.agent import admission
from wisteriawall.agent import engine_messages
from wisteriawall.agent import events
from wisteriawall.agent import orders
from wisteriawall.agent import reducer
from wisteriawall.agent import state
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import control_messages
from wisteriawall.wire import fleet

RUNNER = "r1"
ROLES = tuple(fleet.Role)
EVENTS_BETWEEN_RESTARTS = 12


def _grant(
    *,
    number: int = 1,
    order: fleet.Order | None = None,
    floor: fleet.Fence = fleet.FENCE_ZERO,
) -> control_messages.Grant:
    return control_messages.Grant(
        age_ms=0,
        config_number=number,
        config=None,
        fleet_version=1,
        fleet_view=None,
        order=order,
        floor=floor,
        leader="c1",
    )


class FakeEngine:
    """Engine that takes orders in arrival order, once for each order id."""

    def __init__(self, *, enforces: bool) -> None:
        self.enforces = enforces
        self.role = fleet.Role.MIXED
        self.current: fleet.Order | None = None
        self.begun_ids: set[int] = set()
        self.fence = fleet.FENCE_ZERO
        self.done_id = 0
        self.unclear = False
        self.running: set[tuple[str, int]] = set()

    def begin(self, order: fleet.Order) -> bool:
        """Begin an order; an enforcing engine refuses a lower fence."""
        assert self.current in (None, order), "two orders at once"
        if order.fence.order_id in self.begun_ids:
            return True
        if self.enforces and order.fence < self.fence:
            return False
        assert order.fence >= self.fence, "an order of a lower fence began"
        assert not self.running, "an order cut running work"
        self.begun_ids.add(order.fence.order_id)
        self.fence = order.fence
        self.current = order
        return True

    def end(self, *, done: bool) -> None:
        """End the current order; one that is not done may begin again."""
        assert self.current is not None
        order_id = self.current.fence.order_id
        if done:
            self.role = fleet.Role(self.current.argument)
            self.done_id = order_id
        else:
            self.begun_ids.discard(order_id)
        self.current = None

    def account(self) -> engine_messages.EngineState:
        """Return the state that an inspection shows."""
        return engine_messages.EngineState(
            self.role, self.current is not None, self.unclear, self.done_id
        )


class AgentMachine(stateful.RuleBasedStateMachine):
    """Drive agent, engine and log with losses, crashes and restarts."""

    def __init__(self) -> None:
        """Start with nothing ordered."""
        super().__init__()
        self.now_ms = 0
        self.term = 1
        self.indexes = itertools.count(1)
        self.pending: fleet.Order | None = None
        self.floor = fleet.FENCE_ZERO
        self.granted = [_grant()]
        self.numbers = itertools.count(2)
        self.number = 1
        self.number_since_ms = 0
        self.requests = itertools.count(1)
        self.outbox: list[events.Effect] = []
        self.claims: set[tuple[int, int]] = set()
        self.executing: fleet.Order | None = None
        self.finished: set[int] = set()
        self.events_since_restart = 0

    @stateful.initialize(enforces=strategies.booleans())
    def build(self, enforces: bool) -> None:
        """Build the engine and the first agent."""
        self.engine = FakeEngine(enforces=enforces)
        self.agent = _leased()

    def submit(self, event: events.Event) -> list[events.Effect]:
        """Reduce one event and keep the effects that take time."""
        self.events_since_restart += 1
        effects = list(reducer.reduce(self.agent, event))
        self.outbox += effects
        for effect in effects:
            if isinstance(effect, events.Execute):
                assert self.executing is None, "two orders were given"
                assert effect.order.fence.order_id not in self.finished
                self.executing = effect.order
            if isinstance(effect, events.Report):
                self.finished.add(effect.order_id)
        return effects

    def holds(self, kind: type) -> bool:
        """Tell whether an effect of a kind waits."""
        return any(isinstance(effect, kind) for effect in self.outbox)

    @stateful.precondition(lambda self: self.pending is None)
    @stateful.rule(term=strategies.integers(0, 1), role=strategies.integers())
    def issue_order(self, term: int, role: int) -> None:
        """Commit an order, perhaps under a new leader."""
        self.term += term
        fence = fleet.Fence(self.term, next(self.indexes))
        argument = ROLES[role % len(ROLES)]
        self.pending = fleet.Order(
            fence, RUNNER, fleet.Action.SET_ROLE, argument
        )
        self.floor = fence
        self.remember()

    @stateful.rule()
    def patch(self) -> None:
        """Accept a newer configuration."""
        self.number = next(self.numbers)
        self.remember()

    def remember(self) -> None:
        """Keep what a replica could grant, now or much later."""
        self.granted.append(
            _grant(number=self.number, order=self.pending, floor=self.floor)
        )

    @stateful.rule(
        back=strategies.sampled_from([0, 0, 0, 1, 3]),
        wait=strategies.sampled_from([0, 0, 300, 1_200]),
    )
    def grant(self, back: int, wait: int) -> None:
        """Deliver a grant from a current or a lagging replica."""
        asked_ms = self.now_ms
        self.now_ms += wait
        lease_until_ms = self.agent.lease_until_ms
        before = self.agent.config_number
        chosen = self.granted[max(0, len(self.granted) - 1 - back)]
        self.submit(events.Granted(chosen, asked_ms, self.now_ms))
        assert self.agent.config_number >= before
        if self.agent.config_number > before:
            self.number_since_ms = self.now_ms
        if chosen.config_number < before:
            assert self.agent.lease_until_ms == lease_until_ms

    @stateful.precondition(lambda self: self.agent.floor is None)
    @stateful.rule()
    def learn_floor(self) -> None:
        """Hear the floor from a majority."""
        self.submit(events.FloorLearned(self.floor, self.now_ms))

    def steps(self) -> Iterator[Callable[[], None]]:
        """Yield what may happen next to the order that is under way."""
        for effect in self.outbox:
            match effect:
                case events.Execute(order):
                    yield functools.partial(self.reach_engine, effect, order)
                case events.Inspect():
                    yield functools.partial(self.inspect, effect, True)
                    yield functools.partial(self.inspect, effect, False)
                case events.Report():
                    yield functools.partial(self.report, effect, False)
                    yield functools.partial(self.report, effect, True)
        if self.executing and not self.holds(events.Execute):
            yield self.lose_answer
        if self.engine.current:
            yield functools.partial(self.engine_finishes, True)
            yield functools.partial(self.engine_finishes, False)
            yield functools.partial(self.engine_crashes, True)
            yield functools.partial(self.engine_crashes, False)
        if self.engine.unclear:
            yield self.engine_settles

    @stateful.precondition(lambda self: any(self.steps()))
    @stateful.rule(choices=strategies.lists(strategies.integers(0, 9)))
    def advance(self, choices: list[int]) -> None:
        """Let some of what is under way happen, in any order."""
        for choice in choices:
            steps = list(self.steps())
            if steps:
                steps[choice % len(steps)]()

    def reach_engine(self, effect: events.Effect, order: fleet.Order) -> None:
        """Bring an order to the engine."""
        self.outbox.remove(effect)
        if not self.engine.begin(order):
            self.answer(order.fence.order_id, events.Outcome.REFUSED)

    def answer(self, order_id: int, outcome: events.Outcome) -> None:
        """Give the agent an engine's answer, or that it got none."""
        if self.executing and self.executing.fence.order_id == order_id:
            self.executing = None
        self.submit(
            events.OrderAnswered(
                order_id, outcome, "", self.engine.role, self.now_ms
            )
        )

    def lose_answer(self) -> None:
        """Time out while the engine is at work, or after it was."""
        self.answer(self.executing.fence.order_id, events.Outcome.UNCLEAR)

    def engine_finishes(self, delivered: bool) -> None:
        """Finish the order in progress; its answer may be lost."""
        order = self.engine.current
        self.engine.end(done=True)
        if delivered and self.executing == order:
            self.answer(order.fence.order_id, events.Outcome.DONE)

    def engine_crashes(self, done: bool) -> None:
        """Crash in the middle of an order; the state stays unclear."""
        self.engine.end(done=done)
        self.engine.unclear = True

    def engine_settles(self) -> None:
        """Let the engine find out what became of its order."""
        self.engine.unclear = False

    def inspect(self, effect: events.Inspect, reachable: bool) -> None:
        """Answer one inspection."""
        self.outbox.remove(effect)
        account = self.engine.account() if reachable else None
        self.submit(events.Inspected(effect.order_id, account, self.now_ms))

    def report(self, effect: events.Report, lost: bool) -> None:
        """Commit a reported result; the confirmation may be lost."""
        if self.pending and self.pending.fence.order_id == effect.order_id:
            if effect.succeeded:
                assert self.engine.done_id == effect.order_id
            assert self.engine.current is None, "reported while in progress"
            self.pending = None
            self.remember()
        if not lost:
            self.outbox.remove(effect)
            self.submit(events.OrderReported(effect.order_id, self.now_ms))

    @stateful.rule(
        claim=strategies.integers(0, 5),
        back=strategies.integers(0, 2),
        wait=strategies.sampled_from([0, 0, 0, 0, 0, 900, 2_000]),
    )
    def arrive(self, claim: int, back: int, wait: int) -> None:
        """Bring an attempt, perhaps with a claim or an old number."""
        self.now_ms += wait
        lease_until_ms = self.agent.lease_until_ms
        number = max(0, self.agent.config_number - back)
        attempt = (f"q{next(self.requests)}", 1)
        event = events.Arrived(*attempt, number, claim, self.now_ms)
        if not isinstance(self.submit(event)[0], events.Admit):
            return
        assert self.now_ms < lease_until_ms
        if number < self.agent.config_number:
            age_ms = self.now_ms - self.number_since_ms
            assert age_ms < admission.LEASE_MS, "a stale number was admitted"
        if claim:
            admitted = (self.agent.incarnation, claim)
            assert admitted not in self.claims, "a claim was admitted twice"
            self.claims.add(admitted)
        assert self.engine.current is None
        self.engine.running.add(attempt)

    @stateful.precondition(lambda self: self.engine.running)
    @stateful.rule()
    def finish_work(self) -> None:
        """End one running attempt."""
        attempt = min(self.engine.running)
        self.engine.running.discard(attempt)
        self.submit(events.Ended(*attempt, self.now_ms))

    @stateful.precondition(
        lambda self: (
            self.agent.stopping
            or self.events_since_restart >= EVENTS_BETWEEN_RESTARTS
        )
    )
    @stateful.rule(planned=strategies.booleans())
    def restart(self, planned: bool) -> None:
        """Kill the agent, or let it stop; its memory is gone."""
        if planned:
            self.submit(events.Stopping(self.now_ms))
            assert isinstance(self.arrive_once(), events.Reject)
            if self.executing or self.engine.running:
                return
        self.agent = state.Agent(
            runner=RUNNER, incarnation=self.agent.incarnation + 1
        )
        self.outbox.clear()
        self.executing = None
        self.finished.clear()
        self.events_since_restart = 0
        self.engine.running.clear()
        self.number_since_ms = self.now_ms

    def arrive_once(self) -> events.Effect:
        """Bring one attempt that no rule knows of."""
        number = self.agent.config_number
        event = events.Arrived("late", 1, number, 0, self.now_ms)
        return self.submit(event)[0]


TestAgentMachine = AgentMachine.TestCase
TestAgentMachine.settings = hypothesis.settings(
    max_examples=max(120, hypothesis.settings.default.max_examples),
    stateful_step_count=100,
)


def _leased() -> state.Agent:
    agent = state.Agent(runner=RUNNER, incarnation=7)
    list(reducer.reduce(agent, events.Granted(_grant(), 0, 0)))
    list(reducer.reduce(agent, events.FloorLearned(fleet.FENCE_ZERO, 0)))
    return agent


def _arrive(agent: state.Agent, **changed: int) -> events.Effect:
    fields = {"attempt": 1, "config_number": 1, "claim_id": 5, "now_ms": 1}
    event = events.Arrived(request_id="q", **{**fields, **changed})
    return next(reducer.reduce(agent, event))


@pytest.mark.parametrize(
    ("changed", "run"),
    [
        pytest.param({}, None, id="unnamed-incarnation"),
        pytest.param({"agent_incarnation": 7}, None, id="this-incarnation"),
        pytest.param(
            {"agent_incarnation": 6},
            refusal_lib.RunState.NOT_RUN,
            id="first-attempt-to-earlier-incarnation",
        ),
        pytest.param(
            {"agent_incarnation": 6, "attempt": 2},
            refusal_lib.RunState.UNKNOWN,
            id="repeated-attempt-to-earlier-incarnation",
        ),
        pytest.param(
            {"now_ms": admission.LEASE_MS},
            refusal_lib.RunState.NOT_RUN,
            id="lease-run-out",
        ),
    ],
)
def test_claim_meets_incarnation_and_lease(
    changed: dict[str, int], run: refusal_lib.RunState | None
) -> None:
    effect = _arrive(_leased(), **changed)
    assert (
        effect.refusal.run if isinstance(effect, events.Reject) else None
    ) == run


@pytest.mark.parametrize("not_run", [True, False])
def test_only_a_claim_proved_not_run_is_admitted_again(not_run: bool) -> None:
    agent = _leased()
    _arrive(agent)
    list(reducer.reduce(agent, events.Ended("q", 1, 2, 5, not_run)))
    assert isinstance(_arrive(agent, attempt=2), events.Admit) is not_run


def test_forgotten_claim_stays_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admission, "MAX_CLAIMS", 3)
    agent = _leased()
    for claim in (10, 20, 30, 40):
        assert isinstance(
            _arrive(agent, claim_id=claim, attempt=claim), events.Admit
        )
    assert len(agent.admitted_claims) == admission.MAX_CLAIMS
    again = _arrive(agent, claim_id=10, attempt=50)
    assert isinstance(again, events.Reject)
    assert again.refusal.run is refusal_lib.RunState.UNKNOWN


def test_order_below_the_floor_is_refused_after_a_restart() -> None:
    agent = state.Agent(runner=RUNNER, incarnation=8)
    old = fleet.Order(
        fleet.Fence(1, 4), RUNNER, fleet.Action.SET_ROLE, "prefill"
    )
    early = events.Granted(_grant(order=old), 0, 0)
    assert list(reducer.reduce(agent, early)) == []
    list(reducer.reduce(agent, events.FloorLearned(fleet.Fence(2, 9), 0)))
    assert list(reducer.reduce(agent, early)) == []
    new = fleet.Order(
        fleet.Fence(2, 9), RUNNER, fleet.Action.SET_ROLE, "decode"
    )
    late = events.Granted(_grant(order=new), 0, 0)
    assert list(reducer.reduce(agent, late)) == [events.Inspect(9, 0)]


def _account(**changed: object) -> engine_messages.EngineState:
    return engine_messages.EngineState(fleet.Role.DECODE, **changed)


ORDER = fleet.Order(fleet.Fence(1, 4), RUNNER, fleet.Action.SET_ROLE, "decode")
AGAIN = events.Inspect(4, orders.INSPECT_AGAIN_MS)


@pytest.mark.parametrize(
    ("account", "floor", "effect"),
    [
        pytest.param(None, ORDER.fence, AGAIN, id="unreachable"),
        pytest.param(_account(busy=True), ORDER.fence, AGAIN, id="busy"),
        pytest.param(_account(unclear=True), ORDER.fence, AGAIN, id="unclear"),
        pytest.param(
            _account(done_order_id=4),
            ORDER.fence,
            events.Report(4, True, "done", fleet.Role.DECODE),
            id="done",
        ),
        pytest.param(
            _account(), ORDER.fence, events.Execute(ORDER), id="not-done"
        ),
        pytest.param(
            _account(),
            fleet.Fence(2, 9),
            events.Report(
                4, False, "not done after 1 attempts", fleet.Role.DECODE
            ),
            id="not-done-and-superseded",
        ),
    ],
)
def test_lost_answer_leads_to_inspection_until_clear(
    account: engine_messages.EngineState | None,
    floor: fleet.Fence,
    effect: events.Effect,
) -> None:
    agent = _leased()
    granted = events.Granted(_grant(order=ORDER), 0, 0)
    assert list(reducer.reduce(agent, granted)) == [events.Inspect(4, 0)]
    first = events.Inspected(4, _account(), 0)
    assert list(reducer.reduce(agent, first)) == [events.Execute(ORDER)]
    list(reducer.reduce(agent, events.FloorLearned(floor, 0)))
    lost = events.OrderAnswered(
        4, events.Outcome.UNCLEAR, "", fleet.Role.MIXED, 0
    )
    assert list(reducer.reduce(agent, lost)) == [events.Inspect(4, 0)]
    seen = events.Inspected(4, account, 0)
    assert list(reducer.reduce(agent, seen)) == [effect]
