"""Properties of the agent's reducer under any sequence of events.

The state machine checks that orders never overlap, that none is sent again
once reported, that running work is not interrupted by an order, and that no
attempt is admitted without a lease, with an old configuration number, or
twice with one claim.
"""

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
    floor: fleet.FencingNumber = fleet.FENCING_NUMBER_ZERO,
) -> control_messages.Grant:
    return control_messages.Grant(
        age_ms=0,
        config_number=number,
        config=None,
        fleet_version=1,
        fleet_view=None,
        order=order,
        min_fencing_number=floor,
        leader="c1",
    )


class FakeEngine:
    """Engine that executes orders as they arrive, once for each order id."""

    def __init__(self, *, enforces_fencing: bool) -> None:
        self.enforces_fencing = enforces_fencing
        self.role = fleet.Role.MIXED
        self.current: fleet.Order | None = None
        self.begun_ids: set[int] = set()
        self.fencing_number = fleet.FENCING_NUMBER_ZERO
        self.done_id = 0
        self.unclear = False
        self.running: set[tuple[str, int]] = set()

    def begin(self, order: fleet.Order) -> bool:
        """Begin an order; return whether it was accepted.

        An engine that enforces fencing refuses a fencing number below the
        highest one it has seen; on any other engine this must not happen.
        """
        assert self.current in (None, order), "two orders at once"
        if order.fencing_number.order_id in self.begun_ids:
            return True
        if self.enforces_fencing and order.fencing_number < self.fencing_number:
            return False
        assert order.fencing_number >= self.fencing_number, (
            "an order of a lower fencing number began"
        )
        assert not self.running, "an order interrupted running work"
        self.begun_ids.add(order.fencing_number.order_id)
        self.fencing_number = order.fencing_number
        self.current = order
        return True

    def end(self, *, done: bool) -> None:
        """End the current order; if it is not done, it may begin again."""
        assert self.current is not None
        order_id = self.current.fencing_number.order_id
        if done:
            self.role = fleet.Role(self.current.argument)
            self.done_id = order_id
        else:
            self.begun_ids.discard(order_id)
        self.current = None

    def report_state(self) -> engine_messages.EngineState:
        """Return the state that an inspection reports."""
        return engine_messages.EngineState(
            self.role, self.current is not None, self.unclear, self.done_id
        )


class AgentMachine(stateful.RuleBasedStateMachine):
    """Drives agent, engine and control with losses, crashes and restarts."""

    def __init__(self) -> None:
        """Start without an order."""
        super().__init__()
        self.now_ms = 0
        self.term = 1
        self.order_ids = itertools.count(1)
        self.pending: fleet.Order | None = None
        self.min_fencing_number = fleet.FENCING_NUMBER_ZERO
        self.grants = [_grant()]
        self.config_numbers = itertools.count(2)
        self.config_number = 1
        self.config_since_ms = 0
        self.request_numbers = itertools.count(1)
        self.waiting_effects: list[events.Effect] = []
        self.admitted_claims: set[tuple[int, int]] = set()
        self.executing: fleet.Order | None = None
        self.reported_order_ids: set[int] = set()
        self.events_since_restart = 0

    @stateful.initialize(enforces_fencing=strategies.booleans())
    def build(self, enforces_fencing: bool) -> None:
        """Build the engine and the first agent."""
        self.engine = FakeEngine(enforces_fencing=enforces_fencing)
        self.agent = _leased()

    def submit(self, event: events.Event) -> list[events.Effect]:
        """Apply one event, check its effects and keep them for later."""
        self.events_since_restart += 1
        effects = list(reducer.reduce(self.agent, event))
        self.waiting_effects += effects
        for effect in effects:
            if isinstance(effect, events.Execute):
                assert self.executing is None, "two orders were sent at once"
                assert (
                    effect.order.fencing_number.order_id
                    not in self.reported_order_ids
                )
                self.executing = effect.order
            if isinstance(effect, events.Report):
                self.reported_order_ids.add(effect.order_id)
        return effects

    def has_waiting(self, kind: type) -> bool:
        """Return whether an effect of type `kind` has not been executed."""
        return any(isinstance(effect, kind) for effect in self.waiting_effects)

    @stateful.precondition(lambda self: self.pending is None)
    @stateful.rule(term=strategies.integers(0, 1), role=strategies.integers())
    def issue_order(self, term: int, role: int) -> None:
        """Have control commit an order, possibly under a new leader."""
        self.term += term
        fencing_number = fleet.FencingNumber(self.term, next(self.order_ids))
        argument = ROLES[role % len(ROLES)]
        self.pending = fleet.Order(
            fencing_number, RUNNER, fleet.OrderAction.SET_ROLE, argument
        )
        self.min_fencing_number = fencing_number
        self.record_grant()

    @stateful.rule()
    def patch(self) -> None:
        """Have control accept a newer configuration."""
        self.config_number = next(self.config_numbers)
        self.record_grant()

    def record_grant(self) -> None:
        """Record a grant that a replica may send now or much later."""
        self.grants.append(
            _grant(
                number=self.config_number,
                order=self.pending,
                floor=self.min_fencing_number,
            )
        )

    @stateful.rule(
        lag=strategies.sampled_from([0, 0, 0, 1, 3]),
        wait=strategies.sampled_from([0, 0, 300, 1_200]),
    )
    def grant(self, lag: int, wait: int) -> None:
        """Deliver a grant from a current or a lagging replica."""
        asked_ms = self.now_ms
        self.now_ms += wait
        lease_until_ms = self.agent.lease_until_ms
        before = self.agent.config_number
        chosen = self.grants[max(0, len(self.grants) - 1 - lag)]
        self.submit(events.LeaseGranted(chosen, asked_ms, self.now_ms))
        assert self.agent.config_number >= before
        if self.agent.config_number > before:
            self.config_since_ms = self.now_ms
        if chosen.config_number < before:
            assert self.agent.lease_until_ms == lease_until_ms

    @stateful.precondition(lambda self: self.agent.min_fence is None)
    @stateful.rule()
    def name_min_fence(self) -> None:
        """Have a majority name the minimum fencing number."""
        self.submit(
            events.MinFenceReceived(self.min_fencing_number, self.now_ms)
        )

    def possible_steps(self) -> Iterator[Callable[[], None]]:
        """Yield the actions that may happen next to the order in progress."""
        for effect in self.waiting_effects:
            match effect:
                case events.Execute(order):
                    yield functools.partial(self.reach_engine, effect, order)
                case events.Inspect():
                    yield functools.partial(self.inspect, effect, True)
                    yield functools.partial(self.inspect, effect, False)
                case events.Report():
                    yield functools.partial(self.report, effect, False)
                    yield functools.partial(self.report, effect, True)
        if self.executing and not self.has_waiting(events.Execute):
            yield self.lose_answer
        if self.engine.current:
            yield functools.partial(self.engine_finishes, True)
            yield functools.partial(self.engine_finishes, False)
            yield functools.partial(self.engine_crashes, True)
            yield functools.partial(self.engine_crashes, False)
        if self.engine.unclear:
            yield self.engine_settles

    @stateful.precondition(lambda self: any(self.possible_steps()))
    @stateful.rule(choices=strategies.lists(strategies.integers(0, 9)))
    def advance(self, choices: list[int]) -> None:
        """Perform some of the possible actions, in any order."""
        for choice in choices:
            possible_steps = list(self.possible_steps())
            if possible_steps:
                possible_steps[choice % len(possible_steps)]()

    def reach_engine(self, effect: events.Effect, order: fleet.Order) -> None:
        """Deliver an order to the engine."""
        self.waiting_effects.remove(effect)
        if not self.engine.begin(order):
            self.answer(order.fencing_number.order_id, events.Outcome.REFUSED)

    def answer(self, order_id: int, outcome: events.Outcome) -> None:
        """Send the agent the engine's answer, or that there was none."""
        if (
            self.executing
            and self.executing.fencing_number.order_id == order_id
        ):
            self.executing = None
        self.submit(
            events.OrderAnswered(
                order_id, outcome, "", self.engine.role, self.now_ms
            )
        )

    def lose_answer(self) -> None:
        """Let an order time out, during its execution or after it."""
        self.answer(
            self.executing.fencing_number.order_id, events.Outcome.UNKNOWN
        )

    def engine_finishes(self, delivered: bool) -> None:
        """End the order in progress successfully; its answer may be lost."""
        order = self.engine.current
        self.engine.end(done=True)
        if delivered and self.executing == order:
            self.answer(order.fencing_number.order_id, events.Outcome.DONE)

    def engine_crashes(self, done: bool) -> None:
        """Crash during an order; its outcome is unclear afterwards."""
        self.engine.end(done=done)
        self.engine.unclear = True

    def engine_settles(self) -> None:
        """Let the engine determine the outcome of the interrupted order."""
        self.engine.unclear = False

    def inspect(self, effect: events.Inspect, reachable: bool) -> None:
        """Answer one inspection, or fail it if not `reachable`."""
        self.waiting_effects.remove(effect)
        engine_state = self.engine.report_state() if reachable else None
        self.submit(
            events.Inspected(effect.order_id, engine_state, self.now_ms)
        )

    def report(self, effect: events.Report, lost: bool) -> None:
        """Commit a reported result; the confirmation may be lost."""
        if (
            self.pending
            and self.pending.fencing_number.order_id == effect.order_id
        ):
            if effect.succeeded:
                assert self.engine.done_id == effect.order_id
            assert self.engine.current is None, "reported while in progress"
            self.pending = None
            self.record_grant()
        if not lost:
            self.waiting_effects.remove(effect)
            self.submit(events.OrderReported(effect.order_id, self.now_ms))

    @stateful.rule(
        claim=strategies.integers(0, 5),
        lag=strategies.integers(0, 2),
        wait=strategies.sampled_from([0, 0, 0, 0, 0, 900, 2_000]),
    )
    def arrive(self, claim: int, lag: int, wait: int) -> None:
        """Submit an attempt, possibly with a claim or an old number."""
        self.now_ms += wait
        lease_until_ms = self.agent.lease_until_ms
        number = max(0, self.agent.config_number - lag)
        attempt = (f"q{next(self.request_numbers)}", 1)
        event = events.AttemptArrived(*attempt, number, claim, self.now_ms)
        if not isinstance(self.submit(event)[0], events.Admit):
            return
        assert self.now_ms < lease_until_ms
        if number < self.agent.config_number:
            age_ms = self.now_ms - self.config_since_ms
            assert age_ms < admission.LEASE_MS, "a stale number was admitted"
        if claim:
            admitted = (self.agent.incarnation, claim)
            assert admitted not in self.admitted_claims, (
                "a claim was admitted twice"
            )
            self.admitted_claims.add(admitted)
        assert self.engine.current is None
        self.engine.running.add(attempt)

    @stateful.precondition(lambda self: self.engine.running)
    @stateful.rule()
    def finish_work(self) -> None:
        """End one running attempt."""
        attempt = min(self.engine.running)
        self.engine.running.discard(attempt)
        self.submit(events.AttemptEnded(*attempt, self.now_ms))

    @stateful.precondition(
        lambda self: (
            self.agent.stopping
            or self.events_since_restart >= EVENTS_BETWEEN_RESTARTS
        )
    )
    @stateful.rule(planned=strategies.booleans())
    def restart(self, planned: bool) -> None:
        """Restart the agent after a crash or a planned stop.

        It loses its state.
        """
        if planned:
            self.submit(events.Stopping(self.now_ms))
            assert isinstance(self.submit_late_attempt(), events.Reject)
            if self.executing or self.engine.running:
                return
        self.agent = state.AgentState(
            runner=RUNNER, incarnation=self.agent.incarnation + 1
        )
        self.waiting_effects.clear()
        self.executing = None
        self.reported_order_ids.clear()
        self.events_since_restart = 0
        self.engine.running.clear()
        self.config_since_ms = self.now_ms

    def submit_late_attempt(self) -> events.Effect:
        """Submit one attempt that the other rules do not track."""
        number = self.agent.config_number
        event = events.AttemptArrived("late", 1, number, 0, self.now_ms)
        return self.submit(event)[0]


TestAgentMachine = AgentMachine.TestCase
TestAgentMachine.settings = hypothesis.settings(
    max_examples=max(120, hypothesis.settings.default.max_examples),
    stateful_step_count=100,
)


def _leased() -> state.AgentState:
    agent = state.AgentState(runner=RUNNER, incarnation=7)
    list(reducer.reduce(agent, events.LeaseGranted(_grant(), 0, 0)))
    list(
        reducer.reduce(
            agent, events.MinFenceReceived(fleet.FENCING_NUMBER_ZERO, 0)
        )
    )
    return agent


def _arrive(agent: state.AgentState, **changed: int) -> events.Effect:
    fields = {"attempt": 1, "config_number": 1, "claim_id": 5, "now_ms": 1}
    event = events.AttemptArrived(request_id="q", **{**fields, **changed})
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
def test_claim_is_checked_against_incarnation_and_lease(
    changed: dict[str, int], run: refusal_lib.RunState | None
) -> None:
    effect = _arrive(_leased(), **changed)
    assert (
        effect.refusal.run if isinstance(effect, events.Reject) else None
    ) == run


@pytest.mark.parametrize("not_run", [True, False])
def test_claim_is_admitted_again_only_if_it_did_not_run(not_run: bool) -> None:
    agent = _leased()
    _arrive(agent)
    list(reducer.reduce(agent, events.AttemptEnded("q", 1, 2, 5, not_run)))
    assert isinstance(_arrive(agent, attempt=2), events.Admit) is not_run


def test_forgotten_claim_stays_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admission, "MAX_REMEMBERED_CLAIMS", 3)
    agent = _leased()
    for claim in (10, 20, 30, 40):
        assert isinstance(
            _arrive(agent, claim_id=claim, attempt=claim), events.Admit
        )
    assert len(agent.admitted_claim_ids) == admission.MAX_REMEMBERED_CLAIMS
    again = _arrive(agent, claim_id=10, attempt=50)
    assert isinstance(again, events.Reject)
    assert again.refusal.run is refusal_lib.RunState.UNKNOWN


def test_order_below_the_min_fence_is_ignored_after_a_restart() -> None:
    agent = state.AgentState(runner=RUNNER, incarnation=8)
    old = fleet.Order(
        fleet.FencingNumber(1, 4), RUNNER, fleet.OrderAction.SET_ROLE, "prefill"
    )
    early = events.LeaseGranted(_grant(order=old), 0, 0)
    assert list(reducer.reduce(agent, early)) == []
    list(
        reducer.reduce(
            agent, events.MinFenceReceived(fleet.FencingNumber(2, 9), 0)
        )
    )
    assert list(reducer.reduce(agent, early)) == []
    new = fleet.Order(
        fleet.FencingNumber(2, 9), RUNNER, fleet.OrderAction.SET_ROLE, "decode"
    )
    late = events.LeaseGranted(_grant(order=new), 0, 0)
    assert list(reducer.reduce(agent, late)) == [events.Inspect(9, 0)]


def _engine_state(**changed: object) -> engine_messages.EngineState:
    return engine_messages.EngineState(fleet.Role.DECODE, **changed)


ORDER = fleet.Order(
    fleet.FencingNumber(1, 4), RUNNER, fleet.OrderAction.SET_ROLE, "decode"
)
REINSPECTION = events.Inspect(4, orders.REINSPECT_DELAY_MS)


@pytest.mark.parametrize(
    ("engine_state", "floor", "effect"),
    [
        pytest.param(
            None, ORDER.fencing_number, REINSPECTION, id="unreachable"
        ),
        pytest.param(
            _engine_state(busy=True),
            ORDER.fencing_number,
            REINSPECTION,
            id="busy",
        ),
        pytest.param(
            _engine_state(unclear=True),
            ORDER.fencing_number,
            REINSPECTION,
            id="unclear",
        ),
        pytest.param(
            _engine_state(done_order_id=4),
            ORDER.fencing_number,
            events.Report(4, True, "done", fleet.Role.DECODE),
            id="done",
        ),
        pytest.param(
            _engine_state(),
            ORDER.fencing_number,
            events.Execute(ORDER),
            id="not-done",
        ),
        pytest.param(
            _engine_state(),
            fleet.FencingNumber(2, 9),
            events.Report(
                4, False, "not done after 1 attempts", fleet.Role.DECODE
            ),
            id="not-done-and-superseded",
        ),
    ],
)
def test_lost_answer_leads_to_inspection_until_clear(
    engine_state: engine_messages.EngineState | None,
    floor: fleet.FencingNumber,
    effect: events.Effect,
) -> None:
    agent = _leased()
    granted = events.LeaseGranted(_grant(order=ORDER), 0, 0)
    assert list(reducer.reduce(agent, granted)) == [events.Inspect(4, 0)]
    first = events.Inspected(4, _engine_state(), 0)
    assert list(reducer.reduce(agent, first)) == [events.Execute(ORDER)]
    list(reducer.reduce(agent, events.MinFenceReceived(floor, 0)))
    lost = events.OrderAnswered(
        4, events.Outcome.UNKNOWN, "", fleet.Role.MIXED, 0
    )
    assert list(reducer.reduce(agent, lost)) == [events.Inspect(4, 0)]
    seen = events.Inspected(4, engine_state, 0)
    assert list(reducer.reduce(agent, seen)) == [effect]
