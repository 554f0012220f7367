"""Invariants of the control replicas under faults, in simulated time.

The reducers of replicas, entries and agents are the real ones. The network,
the clocks and the engines are simulated.
"""

from collections import defaultdict
import copy
import itertools
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import msgspec
import pytest
from support import instant_disk

from wisteriawall.agent import events as agent_events
from wisteriawall.agent import reducer as agent_reducer
from wisteriawall.agent import state as agent_state
from wisteriawall.control import events
from wisteriawall.control import outcomes
from wisteriawall.control import raft
from wisteriawall.control import replica_state
from wisteriawall.control import state
from wisteriawall.entry import events as entry_events
from wisteriawall.entry import reducer as entry_reducer
from wisteriawall.entry import state as entry_state
from wisteriawall.wire import control_messages
from wisteriawall.wire import fleet

REPLICAS = ("a", "b", "c")
RUNNERS = ("r1", "r2", "r3")
STEP_MS = 20
RENEWAL_INTERVAL_STEPS = 15
ORDER_DURATION_MS = 300
# A lease may keep an older number in use for this long after the commit.
MAX_OUTDATED_MS = 2_000
INITIAL_CONFIG = {
    "capacity_pieces": 10,
    "services": {"s": {"kind": "model", "share_pieces": 9, "models": ["m"]}},
    "runners": {
        name: {"service": "s", "address": f"{name}:1", "zone": name, "vm": name}
        for name in RUNNERS
    },
}


class Process:
    """An entry or agent whose real reducer handles the lease grants.

    Orders are executed by a simple model of an agent instead of the real one.
    The agent stores nothing: a restart loses its state, but not the record of
    what its engine has executed.
    """

    def __init__(self, name: str, clock_offset_ms: int) -> None:
        """Start without a configuration, lease or order."""
        self.name = name
        self.clock_offset_ms = clock_offset_ms
        self.incarnation = 1
        self.entry = entry_state.EntryState(zone="a")
        self.agent = agent_state.AgentState(runner=self.runner, incarnation=1)
        self.fleet_version = 0
        self.min_fencing_number = fleet.FENCING_NUMBER_ZERO
        self.order: fleet.Order | None = None
        self.order_done_ms = 0
        self.executed_fencing_number = fleet.FENCING_NUMBER_ZERO
        self.reports: list[control_messages.OrderReport] = []
        # When the result of an order was confirmed, by order id, on this
        # process's clock.
        self.confirmed_ms_by_id: dict[int, int] = {}

    @property
    def runner(self) -> str:
        """Return the runner's name, empty for an entry."""
        return self.name.removeprefix("agent/") if "agent" in self.name else ""

    @property
    def config_number(self) -> int:
        """Return the configuration number that the process uses."""
        if self.runner:
            return self.agent.config_number
        return self.entry.config.number

    @property
    def lease_until_ms(self) -> int:
        """Return the end of the lease, on the clock of the process."""
        if self.runner:
            return self.agent.lease_until_ms
        return self.entry.lease_until_ms

    def renew(self) -> control_messages.RenewRequest:
        """Return the next renewal request."""
        kinds = control_messages.ProcessKind
        return control_messages.RenewRequest(
            process=self.name,
            incarnation=self.incarnation,
            kind=kinds.AGENT if self.runner else kinds.ENTRY,
            config_number=self.config_number,
            fleet_version=self.fleet_version,
            runner=self.runner,
            demand=[],
        )

    def accept_grant(
        self, grant: control_messages.Grant, asked_ms: int, now_ms: int
    ) -> None:
        """Apply a lease grant; an agent starts the order that it contains."""
        if self.runner:
            agent_event = agent_events.LeaseGranted(
                grant, asked_ms, now_ms + self.clock_offset_ms
            )
            list(agent_reducer.reduce(self.agent, agent_event))
        else:
            event = entry_events.LeaseGranted(grant, asked_ms)
            list(entry_reducer.reduce(self.entry, event))
        self.fleet_version = max(self.fleet_version, grant.fleet_version)
        self.min_fencing_number = max(
            self.min_fencing_number, grant.min_fencing_number
        )
        order = grant.order
        if (
            not self.runner
            or order is None
            or order.fencing_number < self.min_fencing_number
        ):
            return
        if self.order is None:
            # An engine executes no order that is older than the last one, nor
            # one whose result is committed.
            assert order.fencing_number >= self.executed_fencing_number
            confirmed_ms = self.confirmed_ms_by_id.get(
                order.fencing_number.order_id
            )
            if confirmed_ms is not None:
                # Control grants no order after it confirmed the result. A
                # grant that was asked for earlier may still arrive with it;
                # agents ignore an order that they have finished.
                assert asked_ms <= confirmed_ms
                return
            self.executed_fencing_number = order.fencing_number
            self.order = order
            self.order_done_ms = now_ms + ORDER_DURATION_MS

    def finish_due_order(self, now_ms: int, succeeded: bool) -> None:
        """Finish the order if it is due, and queue its report."""
        if self.order is None or now_ms < self.order_done_ms:
            return
        role = fleet.Role.MIXED
        if self.order.action is fleet.OrderAction.SET_ROLE and succeeded:
            role = fleet.Role(self.order.argument)
        order_id = self.order.fencing_number.order_id
        self.order = None
        self.reports.append(
            control_messages.OrderReport(
                order_id, self.runner, 1, succeeded, "", role
            )
        )


class SimulatedCluster:
    """Replicas, processes and a lossy network under one simulated clock.

    A process in `disconnected` exchanges no messages, a replica in `isolated`
    none with its peers, and one in `paused` does nothing. The processes renew
    at `pinned_replica`, if it is set, and otherwise at random replicas. Every
    process and replica has its own clock offset.
    """

    def __init__(self, seed: int) -> None:
        """Start a cluster, elect a leader and apply the configuration."""
        self.random = random.Random(seed)
        self.now_ms = 0
        self.loss_rate = 0.0
        self.disconnected: set[str] = set()
        self.isolated: set[str] = set()
        self.pinned_replica = ""
        self.disturbance_ends: list[tuple[int, set[str], str]] = []
        self.paused: set[str] = set()
        self.control_by_name = {
            name: replica_state.ReplicaState(raft=self._raft(name))
            for name in REPLICAS
        }
        self.clock_offset_by_name = {
            n: i * 7_919 for i, n in enumerate(REPLICAS)
        }
        names = ["entry/e1", "entry/e2", *(f"agent/{r}" for r in RUNNERS)]
        self.process_by_name = {
            name: Process(name, 100_003 * i) for i, name in enumerate(names)
        }
        self.peer_messages: list[tuple[str, str, object]] = []
        self.call_ids = itertools.count(1)
        self.caller_by_call_id: dict[int, tuple[str, Process, int]] = {}
        self.reply_by_call_id: dict[int, events.Reply] = {}
        self.undelivered_grants: list[
            tuple[Process, control_messages.Grant, int]
        ] = []
        self.committed_ms_by_number: dict[int, int] = {}
        self.ledger_repr_by_index: dict[int, bytes] = {}
        self.winner_by_number: dict[int, int] = {}
        self.granted: defaultdict[str, set[str]] = defaultdict(set)
        self.run(1_500)
        self.patch("start", INITIAL_CONFIG)
        self.run(3_000)

    def _raft(self, name: str) -> raft.Raft:
        return raft.Raft(
            replica=name,
            peers=tuple(p for p in REPLICAS if p != name),
            random=random.Random(f"{name}{self.now_ms}"),
        )

    def crash(self, name: str) -> None:
        """Restart a replica with only its synced log, term and vote."""
        old = self.control_by_name[name].raft
        new = self._raft(name)
        new.term, new.voted_for = old.term, old.voted_for
        new.log = copy.deepcopy(old.log)
        self.control_by_name[name] = replica_state.ReplicaState(raft=new)

    def local_ms(self, name: str) -> int:
        """Return the monotonic clock time of a replica."""
        return self.now_ms + self.clock_offset_by_name[name]

    def leaders(self) -> list[str]:
        """Return the replicas that hold the leader lease."""
        return [
            name
            for name, control in self.control_by_name.items()
            if control.raft.holds_lease(self.local_ms(name))
        ]

    def call(
        self, replica: str, request: events.Request, process: Process | None
    ) -> int:
        """Send a request to a replica and return the call id.

        With a process, the request is lost if either end is disconnected or
        paused.
        """
        call_id = next(self.call_ids)
        if process is not None:
            asked_ms = self.now_ms + process.clock_offset_ms
            self.caller_by_call_id[call_id] = (replica, process, asked_ms)
            if {replica, process.name} & (self.disconnected | self.paused):
                return call_id
        now_ms = self.local_ms(replica)
        self._reduce(
            replica, events.CallReceived(call_id, request, now_ms, self.now_ms)
        )
        return call_id

    def patch(
        self, patch_id: str, change: object, number: int | None = None
    ) -> list[int]:
        """Send a patch to all replicas and return the call ids.

        The patch is against `number`, or against each replica's own number.
        """
        body = msgspec.json.encode(change)
        calls = []
        for name in REPLICAS:
            base = self.control_by_name[name].ledger.config.number
            base = base if number is None else number
            request = events.PatchRequest(patch_id, "op", base, body)
            calls.append(self.call(name, request, None))
        return calls

    def run(self, duration_ms: int) -> None:
        """Advance the time in steps and check the invariants after each."""
        for _ in range(duration_ms // STEP_MS):
            self.now_ms += STEP_MS
            self._end_disturbances()
            for name in REPLICAS:
                if name not in self.paused:
                    now_ms = self.local_ms(name)
                    self._reduce(name, events.Ticked(now_ms, self.now_ms))
            self._deliver_peers()
            self._step_processes()
            self.check()

    def disturb(self, kind: str, name: str, duration_ms: int) -> None:
        """Disconnect, isolate or pause a process for a while.

        `kind` is the attribute that holds the names of the affected processes.
        """
        disturbed: set[str] = getattr(self, kind)
        disturbed.add(name)
        self.disturbance_ends.append(
            (self.now_ms + duration_ms, disturbed, name)
        )

    def _end_disturbances(self) -> None:
        for end in list(self.disturbance_ends):
            until_ms, disturbed, name = end
            if self.now_ms >= until_ms:
                disturbed.discard(name)
                self.disturbance_ends.remove(end)

    def restart_agent(self, name: str) -> None:
        """Restart an agent; it reads its fencing number from a majority."""
        old = self.process_by_name[name]
        new = Process(name, old.clock_offset_ms)
        new.incarnation = old.incarnation + 1
        new.executed_fencing_number = old.executed_fencing_number
        new.confirmed_ms_by_id = old.confirmed_ms_by_id
        asked = self.random.sample(REPLICAS, 2)
        runners = [
            self.control_by_name[replica].ledger.runner_by_name.get(new.runner)
            for replica in asked
        ]
        new.min_fencing_number = max(
            r.floor if r else fleet.FENCING_NUMBER_ZERO for r in runners
        )
        self.process_by_name[name] = new

    def _deliver_peers(self) -> None:
        waiting, self.peer_messages = self.peer_messages, []
        for message in waiting:
            origin, target, body = message
            unreachable = {origin, target} & (self.disconnected | self.isolated)
            if unreachable or self.random.random() < self.loss_rate:
                continue
            if target in self.paused or self.random.random() < self.loss_rate:
                self.peer_messages.append(message)
                continue
            event = events.PeerMessageReceived(
                body,  # type: ignore[arg-type]
                self.local_ms(target),
                self.now_ms,
            )
            self._reduce(target, event)
            if self.random.random() < self.loss_rate:
                self._reduce(target, event)

    def _step_processes(self) -> None:
        for process in self.process_by_name.values():
            if process.name in self.paused:
                continue
            process.finish_due_order(
                self.now_ms, self.random.random() > self.loss_rate
            )
            step = self.now_ms // STEP_MS
            if (step + process.clock_offset_ms) % RENEWAL_INTERVAL_STEPS:
                continue
            replica = self.pinned_replica or self.random.choice(REPLICAS)
            self.call(replica, process.renew(), process)
            for report in process.reports:
                self.call(replica, report, process)
        waiting, self.undelivered_grants = self.undelivered_grants, []
        for process, grant, asked_ms in waiting:
            if (
                process.name in self.paused
                or self.random.random() < self.loss_rate
            ):
                self.undelivered_grants.append((process, grant, asked_ms))
                continue
            process.accept_grant(grant, asked_ms, self.now_ms)

    def _reduce(self, name: str, event: events.Event) -> None:
        control = self.control_by_name[name]
        # The shell ends each batch of events, here a batch of one.
        batch = (event, events.BatchEnded(event.now_ms))
        reduced = (instant_disk.reduce(control, part) for part in batch)
        for effect in itertools.chain.from_iterable(reduced):
            match effect:
                case raft.SendPeer(peer, message):
                    self.peer_messages.append((name, peer, message))
                case events.SendLivenessSummary(peer, summary):
                    self.peer_messages.append((name, peer, summary))
                case events.Answer(call_id, reply):
                    self._answer(call_id, reply)
                case _:
                    pass
        number = control.ledger.config.number
        self.committed_ms_by_number.setdefault(number, self.now_ms)

    def _answer(self, call_id: int, reply: events.Reply) -> None:
        self.reply_by_call_id[call_id] = reply
        caller = self.caller_by_call_id.pop(call_id, None)
        if caller is None:
            return
        replica, process, asked_ms = caller
        if {replica, process.name} & self.disconnected:
            return
        match reply:
            case control_messages.Grant():
                self.undelivered_grants.append((process, reply, asked_ms))
            case control_messages.OrderReportReply(order_id):
                process.confirmed_ms_by_id.setdefault(
                    order_id, self.now_ms + process.clock_offset_ms
                )
                process.reports = [
                    r for r in process.reports if r.order_id != order_id
                ]

    def check(self) -> None:
        """Check the invariants that must hold at every step."""
        for process in self.process_by_name.values():
            self._check_number_in_use(process)
        for control in self.control_by_name.values():
            self._check_ledger(control)

    def _check_number_in_use(self, process: Process) -> None:
        """A process with a lease uses no number that was replaced long ago."""
        now_ms = self.now_ms + process.clock_offset_ms
        if now_ms >= process.lease_until_ms:
            return
        newer = process.config_number + 1
        if newer in self.committed_ms_by_number:
            age_ms = self.now_ms - self.committed_ms_by_number[newer]
            assert age_ms <= MAX_OUTDATED_MS, (process.name, newer, age_ms)

    def _check_ledger(self, control: replica_state.ReplicaState) -> None:
        """Replicas that applied the same log hold the same ledger.

        Besides, a pending order is at the runner's minimum fencing number.
        """
        index = control.raft.applied_index
        ledger = control.ledger
        runners = sorted(ledger.runner_by_name.items())
        ledger_repr = repr((ledger.config.number, runners, ledger.audit[-3:]))
        first_repr = self.ledger_repr_by_index.setdefault(
            index, ledger_repr.encode()
        )
        assert first_repr == ledger_repr.encode()
        pending = [r.pending for _, r in runners if r.pending]
        assert len({order.runner for order in pending}) == len(pending)
        for runner in ledger.runner_by_name.values():
            if runner.pending is not None:
                assert runner.floor == runner.pending.fencing_number


@pytest.fixture
def cluster() -> SimulatedCluster:
    """Return a configured cluster."""
    return SimulatedCluster(seed=1)


def leader_reply(cluster: SimulatedCluster, calls: list[int]) -> events.Reply:
    """Return the one reply to `calls` that came from a leader."""
    replies = [
        cluster.reply_by_call_id[c]
        for c in calls
        if c in cluster.reply_by_call_id
    ]
    [reply] = [
        r for r in replies if not isinstance(r, control_messages.NotLeader)
    ]
    return reply


def test_patch_is_answered_once_every_live_process_holds_it(
    cluster: SimulatedCluster,
) -> None:
    calls = cluster.patch("p", {"capacity_pieces": 11})
    cluster.run(2_000)
    reply = leader_reply(cluster, calls)
    assert reply == events.PatchReply(
        outcomes.ConfigChanged(2), holding=5, processes=5
    )
    assert all(p.config_number == 2 for p in cluster.process_by_name.values())


def test_paused_process_delays_the_answer_by_its_lease_only(
    cluster: SimulatedCluster,
) -> None:
    """Once its lease has expired, a paused process counts as not live."""
    cluster.paused.add("entry/e1")
    calls = cluster.patch("p", {"capacity_pieces": 11})
    cluster.run(1_000)
    assert not set(calls) <= set(cluster.reply_by_call_id)
    cluster.run(1_500)
    reply = leader_reply(cluster, calls)
    assert isinstance(reply, events.PatchReply)
    assert reply.holding == reply.processes == 4


@pytest.mark.parametrize(
    ("change", "outcome"),
    [
        pytest.param(
            {"capacity_pieces": 11}, outcomes.ConfigChanged(2), id="same"
        ),
        pytest.param(
            {"capacity_pieces": 12}, outcomes.PatchIdReused("p"), id="other"
        ),
    ],
)
def test_resent_patch_id(
    cluster: SimulatedCluster, change: object, outcome: outcomes.PatchOutcome
) -> None:
    """A patch id keeps its outcome across later patches and a leader crash."""
    cluster.patch("p", {"capacity_pieces": 11}, number=1)
    cluster.patch("q", {"capacity_pieces": 13}, number=2)
    cluster.crash(cluster.leaders()[0])
    cluster.run(4_000)
    calls = cluster.patch("p", change, number=1)
    cluster.run(3_000)
    reply = leader_reply(cluster, calls)
    assert isinstance(reply, events.PatchReply)
    assert reply.outcome == outcome


def test_stopping_agent_gets_no_new_work_within_3_s(
    cluster: SimulatedCluster,
) -> None:
    """A follower that receives the notice of a stop passes it to the leader.

    The agent is paused after this renewal, so that it sends no other one.
    """
    agent = cluster.process_by_name["agent/r1"]
    [leader] = cluster.leaders()
    follower = next(name for name in REPLICAS if name != leader)
    stopping_renewal = msgspec.structs.replace(agent.renew(), stopping=True)
    cluster.paused.add(agent.name)
    cluster.call(follower, stopping_renewal, None)
    cluster.run(3_000)
    for name in ("entry/e1", "entry/e2"):
        views = cluster.process_by_name[name].entry.fleet_view.runners
        assert views[0].phase is fleet.RunnerPhase.STOPPING


def test_agent_without_heartbeat_is_lost_until_it_restarts(
    cluster: SimulatedCluster,
) -> None:
    """The restarted agent has a new incarnation, which makes it live again."""
    agent = cluster.process_by_name["agent/r1"]
    cluster.paused.add(agent.name)
    cluster.run(8_000)
    [leader] = cluster.leaders()
    ledger = cluster.control_by_name[leader].ledger
    assert ledger.runner_by_name["r1"].presence is state.Presence.LOST
    cluster.paused.clear()
    agent.incarnation = 2
    cluster.run(2_000)
    assert ledger.runner_by_name["r1"].presence is state.Presence.LIVE
    assert ledger.runner_by_name["r1"].incarnation == 2


def test_isolated_follower_stops_granting_the_old_number(
    cluster: SimulatedCluster,
) -> None:
    """All processes renew at a follower that cannot reach its peers.

    Their leases must expire, because the follower misses the new number.
    """
    [leader] = cluster.leaders()
    cluster.pinned_replica = next(name for name in REPLICAS if name != leader)
    cluster.isolated.add(cluster.pinned_replica)
    cluster.patch("p", {"capacity_pieces": 11})
    cluster.run(4_000)
    now_ms = cluster.now_ms
    for process in cluster.process_by_name.values():
        assert process.lease_until_ms <= now_ms + process.clock_offset_ms


@pytest.mark.parametrize("disturbance", ["isolated", "paused"])
@pytest.mark.parametrize(
    "read",
    [
        pytest.param(events.ConfigRequest(None), id="config"),
        pytest.param(events.HistoryRequest(10), id="history"),
        pytest.param(events.AuditRequest(0, 10, "", ""), id="audit"),
    ],
)
def test_former_leader_answers_no_read_with_the_old_number(
    cluster: SimulatedCluster, disturbance: str, read: events.Request
) -> None:
    [leader] = cluster.leaders()
    disturbed = {"isolated": cluster.isolated, "paused": cluster.paused}
    disturbed[disturbance].add(leader)
    cluster.run(3_000)
    patch_calls = cluster.patch("p", {"capacity_pieces": 11})
    cluster.run(4_000)
    assert isinstance(leader_reply(cluster, patch_calls), events.PatchReply)
    call_id = cluster.call(leader, read, None)
    reply = cluster.reply_by_call_id[call_id]
    assert isinstance(reply, control_messages.NotLeader)


def test_claim_of_a_lost_entry_becomes_unknown(
    cluster: SimulatedCluster,
) -> None:
    """A retry through another entry must not run the request again."""
    [leader] = cluster.leaders()
    claim = control_messages.ClaimRequest(
        "acme", "s", "key", "digest", "q1", "e1", 1
    )
    cluster.call(leader, claim, None)
    cluster.paused.add("entry/e1")
    cluster.run(14_000)
    again = msgspec.structs.replace(claim, request_id="q2", entry="e2")
    call = cluster.call(leader, again, None)
    cluster.run(100)
    reply = cluster.reply_by_call_id[call]
    assert isinstance(reply, control_messages.ClaimReply)
    assert reply.verdict is control_messages.ClaimVerdict.UNKNOWN


class ControlStateMachine(stateful.RuleBasedStateMachine):
    """Random faults, concurrent patches, claims and role changes."""

    @stateful.initialize(seed=st.integers(0, 1_000))
    def start(self, seed: int) -> None:
        """Start a configured cluster."""
        self.cluster = SimulatedCluster(seed)
        self.patch_calls: list[tuple[int, str, int]] = []
        self.claim_calls: list[tuple[str, str, int]] = []
        self.ids = itertools.count(1)

    @stateful.rule(loss=st.sampled_from([0.0, 0.1, 0.3]))
    def set_loss(self, loss: float) -> None:
        """Set the rate at which messages are lost, delayed or duplicated."""
        self.cluster.loss_rate = loss

    @stateful.rule(duration_ms=st.sampled_from([200, 1_000, 2_500]))
    def run(self, duration_ms: int) -> None:
        """Advance the simulated time."""
        self.cluster.run(duration_ms)

    @stateful.rule(
        name=st.sampled_from([*REPLICAS, "entry/e1", "agent/r1"]),
        duration_ms=st.sampled_from([400, 2_500, 5_000]),
        kind=st.sampled_from(["disconnected", "isolated", "paused"]),
    )
    def disturb(self, name: str, duration_ms: int, kind: str) -> None:
        """Disconnect, isolate or pause one process for a while."""
        self.cluster.disturb(kind, name, duration_ms)

    @stateful.rule(name=st.sampled_from([f"agent/{r}" for r in RUNNERS]))
    def restart_agent(self, name: str) -> None:
        """Restart an agent without its state."""
        self.cluster.restart_agent(name)

    @stateful.rule(name=st.sampled_from(REPLICAS))
    def crash(self, name: str) -> None:
        """Restart a replica from its synced state."""
        self.cluster.crash(name)

    @stateful.rule(
        role=st.sampled_from(["prefill", "decode", "mixed"]),
        runner=st.sampled_from(RUNNERS),
    )
    def race_patches(self, role: str, runner: str) -> None:
        """Send two patches against the same number to all replicas."""
        numbers = [
            c.ledger.config.number
            for c in self.cluster.control_by_name.values()
        ]
        for change in (
            {"runners": {runner: {"role": role}}},
            {"services": {"s": {"version": str(next(self.ids))}}},
        ):
            patch_id = f"p{next(self.ids)}"
            for call in self.cluster.patch(patch_id, change, max(numbers)):
                self.patch_calls.append((max(numbers), patch_id, call))
        self.cluster.run(1_000)

    @stateful.rule(key=st.sampled_from(["k1", "k2"]))
    def claim(self, key: str) -> None:
        """Claim one key for two requests, each at all replicas."""
        for request_id in (f"q{next(self.ids)}", f"q{next(self.ids)}"):
            claim = control_messages.ClaimRequest(
                "acme", "s", key, "digest", request_id, "e1", 1
            )
            for name in REPLICAS:
                call = self.cluster.call(name, claim, None)
                self.claim_calls.append((key, request_id, call))

    @stateful.invariant()
    def one_patch_wins_each_number(self) -> None:
        """Of the patches against a number at most one is accepted.

        It creates the next number.
        """
        winners: defaultdict[int, set[str]] = defaultdict(set)
        for base, patch_id, call in self.patch_calls:
            match self.cluster.reply_by_call_id.get(call):
                case events.PatchReply(outcomes.ConfigChanged(number)):
                    assert number == base + 1
                    winners[base].add(patch_id)
        assert all(len(ids) == 1 for ids in winners.values())

    @stateful.invariant()
    def one_request_holds_each_claim(self) -> None:
        """Each key is granted to at most one request."""
        holders: defaultdict[str, set[str]] = defaultdict(set)
        for key, request_id, call in self.claim_calls:
            match self.cluster.reply_by_call_id.get(call):
                case control_messages.ClaimReply(
                    control_messages.ClaimVerdict.GRANTED
                ):
                    holders[key].add(request_id)
        assert all(len(ids) == 1 for ids in holders.values())

    def teardown(self) -> None:
        """Check that all processes get the newest number after the faults."""
        if not hasattr(self, "cluster"):
            return
        self.cluster.loss_rate = 0.0
        self.cluster.run(11_000)
        numbers = {
            p.config_number for p in self.cluster.process_by_name.values()
        }
        assert numbers == {max(self.cluster.committed_ms_by_number)}


ControlStateMachine.TestCase.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=16
)
TestControlInvariants = ControlStateMachine.TestCase


def test_simulation_executes_orders() -> None:
    """Without executed orders the checks above would pass trivially."""
    cluster = SimulatedCluster(seed=2)
    cluster.patch("p", {"runners": {"r1": {"role": "prefill"}}})
    cluster.run(3_000)
    [leader] = cluster.leaders()
    ledger = cluster.control_by_name[leader].ledger
    assert ledger.runner_by_name["r1"].role is fleet.Role.PREFILL
    assert cluster.process_by_name["agent/r1"].executed_fencing_number.order_id
