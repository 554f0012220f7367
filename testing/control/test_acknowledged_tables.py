"""Tests of acknowledgements that wait for the gateways."""

import random

import pytest
from support import instant_disk
from testing.control import raft_cluster

from wisteriawall.config import route_table
from wisteriawall.control import events
from wisteriawall.control import gateway_updates
from wisteriawall.control import outcomes
from wisteriawall.control import publications
from wisteriawall.control import raft
from wisteriawall.control import raft_log
from wisteriawall.control import replica_state
from wisteriawall.wire import gateway_messages
from wisteriawall.wire import raft_messages

FIRST_MS = 10_000
POLL_MS = 340
LONG_MS = 10_000


class Leader:
    """The only replica of a cluster, with gateways that poll it.

    Attributes:
        now_ms: Virtual time.
        held_by_gateway: The table that each gateway reports when it polls.
        answered_ms_by_call: When each call was acknowledged.
        notes: What was noted of acknowledgements.
    """

    def __init__(self) -> None:
        """Win the election."""
        member = raft_messages.Member("a", identity="a-1")
        self._control = replica_state.ReplicaState(
            raft=raft.Raft(
                replica="a",
                identity="a-1",
                incarnation=1,
                random=random.Random(1),
                term=1,
                log=raft_log.RaftLog(
                    snapshot=raft_messages.Snapshot(0, 0, (member,), b""),
                    entries=[],
                ),
            )
        )
        self.now_ms = FIRST_MS
        self.held_by_gateway: dict[str, int] = {}
        self.answered_ms_by_call: dict[int, int] = {}
        self.notes: list[events.Note] = []
        while not self._control.leader_term:
            self.run(raft_cluster.TICK_MS)

    def run(self, duration_ms: int) -> None:
        """Let time pass; gateways poll at their interval."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += raft_cluster.TICK_MS
            if self.now_ms % POLL_MS == 0:
                for gateway in self.held_by_gateway:
                    self.poll(gateway)
            self._reduce(events.Ticked(self.now_ms, self.now_ms))

    def publish(self, call_id: int, number: int) -> None:
        """Handle an operator's call."""
        table = route_table.RouteTable(number=number, routes=[], services=[])
        self._call(call_id, events.PublishRequest("op", table, b"%d" % number))

    def poll(
        self, gateway: str, *, incarnation: int = 1, stopping: bool = False
    ) -> None:
        """Let a gateway poll at once."""
        request = gateway_messages.FollowRequest(
            gateway,
            incarnation,
            f"{gateway}:1",
            self.held_by_gateway[gateway],
            (0, 0),
            stopping,
        )
        self._call(0, request)

    def _call(self, call_id: int, request: events.Request) -> None:
        self._reduce(
            events.CallReceived(call_id, request, self.now_ms, self.now_ms)
        )

    def _reduce(self, event: events.Event) -> None:
        for effect in instant_disk.reduce(self._control, event):
            match effect:
                case events.Answer(call_id, events.PublishReply(outcome)):
                    assert isinstance(outcome, outcomes.TableInForce)
                    self.answered_ms_by_call[call_id] = self.now_ms
                case events.Note("table-acknowledged"):
                    self.notes.append(effect)


@pytest.fixture
def leader() -> Leader:
    """Return a leader that gateways g and h, with the table 1, poll."""
    leader = Leader()
    leader.held_by_gateway = {"g": 1, "h": 1}
    leader.publish(1, 1)
    leader.run(LONG_MS)
    leader.answered_ms_by_call.clear()
    leader.notes.clear()
    return leader


def test_table_is_acknowledged_when_the_last_gateway_has_it(
    leader: Leader,
) -> None:
    """It was acknowledged while no gateway had heard of it."""
    leader.publish(2, 7)
    leader.held_by_gateway["g"] = 7
    leader.poll("g")
    assert not leader.answered_ms_by_call
    leader.run(raft_cluster.TICK_MS)
    assert not leader.answered_ms_by_call
    leader.held_by_gateway["h"] = 7
    leader.poll("h")
    assert leader.answered_ms_by_call == {2: leader.now_ms}
    assert [note.inputs for note in leader.notes] == [
        {
            "number": 7,
            "ms": raft_cluster.TICK_MS,
            "gateways": 2,
            "lacking": 0,
            "lacking_names": [],
        }
    ]


def test_gateway_that_never_gets_the_table_is_waited_for_until_the_bound(
    leader: Leader,
) -> None:
    for number in range(8):
        leader.held_by_gateway[f"late-{number}"] = 1
    leader.run(POLL_MS)
    published_ms = leader.now_ms
    leader.publish(2, 7)
    leader.held_by_gateway |= {"g": 7, "h": 7}
    leader.run(LONG_MS)
    bound_ms = published_ms + publications.MAX_SPREAD_MS
    assert leader.answered_ms_by_call == {2: bound_ms}
    assert [note.inputs for note in leader.notes] == [
        {
            "number": 7,
            "ms": publications.MAX_SPREAD_MS,
            "gateways": 10,
            "lacking": 8,
            "lacking_names": [f"late-{number}" for number in range(5)],
        }
    ]


def test_repeated_call_is_answered_with_the_first_one(leader: Leader) -> None:
    published_ms = leader.now_ms
    leader.publish(2, 7)
    leader.run(1_000)
    leader.publish(3, 7)
    leader.run(LONG_MS)
    bound_ms = published_ms + publications.MAX_SPREAD_MS
    assert leader.answered_ms_by_call == {2: bound_ms, 3: bound_ms}
    leader.publish(4, 7)
    assert leader.answered_ms_by_call[4] == leader.now_ms
    assert len(leader.notes) == 1


def test_repeated_call_is_answered_when_the_last_gateway_has_the_table(
    leader: Leader,
) -> None:
    leader.publish(2, 7)
    leader.run(1_000)
    leader.publish(3, 7)
    assert not leader.answered_ms_by_call
    for gateway in "gh":
        leader.held_by_gateway[gateway] = 7
        leader.poll(gateway)
    assert leader.answered_ms_by_call == dict.fromkeys((2, 3), leader.now_ms)


def test_stopping_gateway_is_not_waited_for(leader: Leader) -> None:
    leader.publish(2, 7)
    leader.held_by_gateway["g"] = 7
    leader.poll("g")
    assert not leader.answered_ms_by_call
    leader.poll("h", stopping=True)
    assert leader.answered_ms_by_call == {2: leader.now_ms}


def test_silent_gateway_is_not_waited_for(leader: Leader) -> None:
    leader.poll("h")
    silent_since_ms = leader.now_ms
    del leader.held_by_gateway["h"]
    leader.run(gateway_updates.GATEWAY_TIMEOUT_MS - 2 * raft_cluster.TICK_MS)
    leader.publish(2, 7)
    leader.held_by_gateway["g"] = 7
    leader.poll("g")
    assert not leader.answered_ms_by_call
    leader.run(LONG_MS)
    forgotten_ms = silent_since_ms + gateway_updates.GATEWAY_TIMEOUT_MS
    assert leader.answered_ms_by_call == {
        2: forgotten_ms + raft_cluster.TICK_MS
    }


def test_overtaken_table_is_held_by_gateways_with_a_newer_one(
    leader: Leader,
) -> None:
    leader.publish(2, 7)
    leader.publish(3, 8)
    leader.held_by_gateway["g"] = 8
    leader.poll("g")
    leader.held_by_gateway["h"] = 7
    leader.poll("h")
    assert leader.answered_ms_by_call == {2: leader.now_ms}
    leader.held_by_gateway["h"] = 8
    leader.poll("h")
    assert set(leader.answered_ms_by_call) == {2, 3}
    assert [note.inputs["number"] for note in leader.notes] == [7, 8]


def test_poll_that_arrives_after_a_later_one_takes_nothing_back(
    leader: Leader,
) -> None:
    leader.publish(2, 7)
    leader.held_by_gateway["g"] = 7
    leader.poll("g")
    leader.held_by_gateway["g"] = 1
    leader.poll("g")
    leader.held_by_gateway["h"] = 7
    leader.poll("h")
    assert leader.answered_ms_by_call == {2: leader.now_ms}


def test_gateway_that_has_started_again_lacks_the_table(
    leader: Leader,
) -> None:
    leader.publish(2, 7)
    leader.held_by_gateway["g"] = 7
    leader.poll("g")
    leader.held_by_gateway["g"] = 0
    leader.poll("g", incarnation=2)
    leader.held_by_gateway["h"] = 7
    leader.poll("h")
    assert not leader.answered_ms_by_call


def test_young_leader_waits_until_gateways_have_polled() -> None:
    leader = Leader()
    elected_ms = leader.now_ms
    leader.publish(2, 7)
    leader.run(LONG_MS)
    known_ms = elected_ms + publications.GATEWAYS_KNOWN_MS
    assert leader.answered_ms_by_call == {2: known_ms}


def test_young_leader_waits_for_the_gateways_that_poll_meanwhile() -> None:
    leader = Leader()
    elected_ms = leader.now_ms
    leader.held_by_gateway = {"g": 1}
    leader.publish(2, 7)
    leader.run(LONG_MS)
    bound_ms = elected_ms + publications.MAX_SPREAD_MS
    assert leader.answered_ms_by_call == {2: bound_ms}
