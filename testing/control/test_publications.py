"""Tests of `wisteriawall.control.publications`: overlapping changes."""

from collections.abc import Iterator
import random

import pytest
from support import instant_disk
from testing.control import raft_cluster

from wisteriawall.config import route_table
from wisteriawall.control import events
from wisteriawall.control import outcomes
from wisteriawall.control import raft
from wisteriawall.control import raft_log
from wisteriawall.control import reducer
from wisteriawall.control import replica_state
from wisteriawall.wire import raft_messages

NOW_MS = 10_000


def _request(number: int, text: bytes = b"") -> events.PublishRequest:
    table = route_table.RouteTable(
        number=number,
        routes=[],
        services=[
            route_table.RoutedService(
                name=text.decode() or "s", health_path="/", max_connections=1
            )
        ],
    )
    return events.PublishRequest("op", table, text or b"%d" % number)


class _SlowLeader:
    """The only replica of a cluster; its disk syncs when it is told to."""

    def __init__(self) -> None:
        """Win the election."""
        member = raft_messages.Member("a", identity="a-1")
        self.control = replica_state.ReplicaState(
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
        for now_ms in range(NOW_MS - 3_000, NOW_MS, raft_cluster.TICK_MS):
            list(
                instant_disk.reduce(self.control, events.Ticked(now_ms, now_ms))
            )

    def call(
        self, call_id: int, request: events.PublishRequest
    ) -> dict[int, events.Reply]:
        """Handle a call; return the answers to all calls that it brings."""
        event = events.CallReceived(call_id, request, NOW_MS, NOW_MS)
        return dict(_answers(reducer.reduce(self.control, event)))

    def sync(self) -> dict[int, events.Reply]:
        """Complete one sync of all that was written; return the answers."""
        number = self.control.raft.writes.requested
        synced = events.LogSynced(number, NOW_MS)
        return dict(_answers(reducer.reduce(self.control, synced)))


def _answers(
    effects: Iterator[events.Effect],
) -> Iterator[tuple[int, events.Reply]]:
    for effect in effects:
        if isinstance(effect, events.Answer):
            yield effect.call_id, effect.reply


def _in_force(number: int, *, changed: bool) -> events.PublishReply:
    return events.PublishReply(outcomes.TableInForce(number, changed=changed))


def test_overlapping_changes_need_one_commit_each() -> None:
    """Each change that another one overtook was committed once more."""
    leader = _SlowLeader()
    before = leader.control.raft.last_index
    for number in (2, 5, 9):
        assert not leader.call(number, _request(number))
    assert leader.control.raft.last_index == before + 3
    assert leader.sync() == {
        number: _in_force(number, changed=True) for number in (2, 5, 9)
    }
    assert leader.control.raft.last_index == before + 3
    published = leader.control.ledger.published
    assert published is not None
    assert published.table == _request(9).table
    assert published.source == b"9"


@pytest.mark.parametrize("number", [4, 7], ids=["older", "repeated"])
def test_call_that_changes_nothing_waits_for_the_one_in_the_log(
    number: int,
) -> None:
    """It took a commit of its own, and was answered after that."""
    leader = _SlowLeader()
    leader.call(1, _request(7))
    appended = leader.control.raft.last_index
    assert not leader.call(2, _request(number))
    assert leader.control.raft.last_index == appended
    assert leader.sync() == {
        1: _in_force(7, changed=True),
        2: _in_force(7, changed=False),
    }
    assert leader.call(3, _request(number)) == {3: _in_force(7, changed=False)}
    assert leader.control.raft.last_index == appended


def test_other_content_under_the_number_of_a_change_in_the_log_is_refused() -> (
    None
):
    leader = _SlowLeader()
    leader.call(1, _request(7))
    assert not leader.call(2, _request(7, b"other"))
    assert not leader.call(3, _request(8))
    assert leader.sync() == {
        1: _in_force(7, changed=True),
        2: events.PublishReply(outcomes.TableConflict(7)),
        3: _in_force(8, changed=True),
    }


def test_calls_are_unclear_once_the_leader_has_lost_its_term() -> None:
    leader = _SlowLeader()
    leader.call(1, _request(7))
    leader.call(2, _request(7))
    heartbeat = raft_messages.AppendRequest(
        term=99,
        leader="b",
        previous_index=0,
        previous_term=0,
        entries=[],
        commit_index=0,
        leader_clock_ms=1,
        follower_clock=raft_messages.NO_CLOCK_READING,
        quorum_age_ms=-1,
    )
    event = events.PeerMessageReceived(heartbeat, NOW_MS, NOW_MS)
    answers = dict(_answers(reducer.reduce(leader.control, event)))
    assert set(answers) == {1, 2}
    assert all(isinstance(r, events.Unavailable) for r in answers.values())
