"""Each request ends exactly once, in whatever order its events arrive.

The state machine also checks that a request with an idempotency key is
repeated only if no attempt ran, that its claim is settled at most once, and
that no state is left at the end.
"""

from collections import Counter

from hypothesis import stateful
from hypothesis import strategies

from wisteriawall.config import document
from wisteriawall.entry import events
from wisteriawall.entry import reducer
from wisteriawall.entry import state
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import control_messages as messages
from wisteriawall.wire import fleet

RUN = refusal_lib.RunState
RUNNERS = ("r0", "r1", "r2")
IDS = tuple(f"q{n}" for n in range(6))
KEYED = IDS[:3]
ANSWER = fleet.StoredAnswer(200, "text/plain", b"done")

ids = strategies.sampled_from(IDS)
attempts = strategies.integers(1, 5)
run_states = strategies.sampled_from([RUN.NOT_RUN, RUN.UNKNOWN])


class EntryMachine(stateful.RuleBasedStateMachine):
    """Sends events in any order, duplicated, late or for other attempts."""

    def __init__(self) -> None:
        """Start a ready entry of three runners."""
        super().__init__()
        self.now_ms = 0
        self.entry = state.EntryState(zone="a")
        self.arrived: set[str] = set()
        self.end_count: Counter[str] = Counter()
        self.attempt_by_id: dict[str, int] = {}
        self.outcome_by_attempt: dict[tuple[str, int], RUN | None] = {}
        self.settle_count: Counter[str] = Counter()
        self.granted: set[str] = set()
        self.renew()

    def send(self, event: events.Event) -> None:
        """Reduce one event and check its effects."""
        self.now_ms += 1
        for effect in reducer.reduce(self.entry, event):
            self.check(effect)

    def check(self, effect: events.Effect) -> None:
        """Check one effect against the recorded history of its request."""
        name = effect.request_id
        match effect:
            case events.Dispatch():
                assert not self.end_count[name]
                if name in KEYED:
                    assert name in self.granted
                    for number in range(1, effect.attempt):
                        assert (
                            self.outcome_by_attempt[name, number] is RUN.NOT_RUN
                        )
                self.attempt_by_id[name] = effect.attempt
                self.outcome_by_attempt[name, effect.attempt] = None
            case events.Refuse(_, refusal):
                self.end(name)
                ran = [
                    run
                    for (other, _), run in self.outcome_by_attempt.items()
                    if other == name and run is not RUN.NOT_RUN
                ]
                assert refusal.run is not RUN.NOT_RUN or not ran
            case events.Replay() | events.Cancel():
                self.end(name)
            case events.Settle():
                self.settle_count[name] += 1
                assert self.settle_count[name] == 1
                if effect.released:
                    runs = [
                        run
                        for (other, _), run in self.outcome_by_attempt.items()
                        if other == name
                    ]
                    assert all(run is RUN.NOT_RUN for run in runs)

    def end(self, name: str) -> None:
        """Count the end of a request; it must be the first."""
        self.end_count[name] += 1
        assert self.end_count[name] == 1

    def is_current(self, name: str, attempt: int) -> bool:
        """Return whether this attempt is in progress."""
        running = (
            self.outcome_by_attempt.get((name, attempt), RUN.UNKNOWN) is None
        )
        return running and not self.end_count[name]

    @stateful.rule()
    def renew(self) -> None:
        """Renew the lease."""
        config = document.Document(
            number=1,
            capacity_pieces=3,
            services={},
            runners={
                name: document.Runner(
                    service="s", address="h:1", zone="a", vm=name
                )
                for name in RUNNERS
            },
            accounts={},
        )
        live = fleet.RunnerPhase.LIVE
        views = [
            fleet.RunnerView(name, live, fleet.Role.MIXED) for name in RUNNERS
        ]
        grant = messages.Grant(
            age_ms=0,
            config_number=1,
            config=config,
            fleet_version=1,
            fleet_view=fleet.FleetView(1, views),
            order=None,
            min_fencing_number=fleet.FENCING_NUMBER_ZERO,
            leader="c1",
        )
        self.send(events.LeaseGranted(grant, self.now_ms))

    @stateful.rule(ms=strategies.integers(100, 3_000))
    def wait(self, ms: int) -> None:
        """Advance the clock, possibly past the end of the lease."""
        self.now_ms += ms

    @stateful.rule(name=ids)
    def arrive(self, name: str) -> None:
        """Submit a request, unless it has arrived before."""
        if name in self.arrived:
            return
        self.arrived.add(name)
        key = name if name in KEYED else ""
        self.send(
            events.RequestArrived(name, "a", "s", key, "d", 9, 9, self.now_ms)
        )

    @stateful.rule(
        name=ids, verdict=strategies.sampled_from(messages.ClaimVerdict)
    )
    def claim(self, name: str, verdict: messages.ClaimVerdict) -> None:
        """Answer a request for a claim, whether or not there was one."""
        finished = verdict is messages.ClaimVerdict.FINISHED
        reply = messages.ClaimReply(verdict, 7, ANSWER if finished else None)
        if verdict is messages.ClaimVerdict.GRANTED:
            self.granted.add(name)
        self.send(events.ClaimDecided(name, reply, self.now_ms))

    @stateful.rule(name=ids)
    def lose_claim_reply(self, name: str) -> None:
        """Report that no replica answered a request for a claim."""
        self.send(events.ClaimFailed(name, self.now_ms))

    @stateful.rule(name=ids, attempt=attempts, run=run_states)
    def fail(self, name: str, attempt: int, run: RUN) -> None:
        """Fail an attempt, whether or not it is in progress."""
        if self.is_current(name, attempt):
            self.outcome_by_attempt[name, attempt] = run
        self.send(events.AttemptFailed(name, attempt, run, "x", self.now_ms))

    @stateful.rule(name=ids, attempt=attempts)
    def start(self, name: str, attempt: int) -> None:
        """Report the first token of an attempt."""
        self.send(events.FirstTokenReceived(name, attempt, self.now_ms))

    @stateful.rule(name=ids, attempt=attempts)
    def finish(self, name: str, attempt: int) -> None:
        """Report a complete answer."""
        if self.is_current(name, attempt):
            self.end(name)
        answer = ANSWER if name in KEYED else None
        self.send(events.AttemptFinished(name, attempt, answer, self.now_ms))

    @stateful.rule(name=ids)
    def disconnect_caller(self, name: str) -> None:
        """Close a caller's connection."""
        self.send(events.CallerDisconnected(name, self.now_ms))

    @stateful.rule()
    def stop(self) -> None:
        """Begin a planned stop."""
        self.send(events.Stopping(self.now_ms))

    @stateful.invariant()
    def holds_only_requests_in_progress(self) -> None:
        """Check that the entry holds exactly the requests not ended."""
        held = set(self.entry.in_flight_by_id)
        assert held == {
            name for name in self.arrived if not self.end_count[name]
        }
        assert set(self.entry.load.dispatch_by_id) <= held

    def teardown(self) -> None:
        """Fail all requests in progress; then the state must be empty."""
        self.wait(5_000)
        for name in IDS:
            self.lose_claim_reply(name)
            for number in range(1, 6):
                self.fail(name, number, RUN.UNKNOWN)
            self.lose_claim_reply(name)
        assert self.entry.in_flight_by_id == {}
        assert self.entry.load.dispatch_by_id == {}
        for load in self.entry.load.load_by_runner.values():
            assert (load.own_streams, load.unstarted_tokens) == (0, 0)
        assert set(self.end_count) >= self.arrived


TestEntry = EntryMachine.TestCase
