"""Tests of reads at a replica whose state may be outdated."""

import random

import pytest

from wisteriawall.control import events
from wisteriawall.control import raft
from wisteriawall.control import raft_log
from wisteriawall.control import reducer
from wisteriawall.control import replica_state
from wisteriawall.wire import raft_messages

INCARNATION = 7


class Follower:
    """A follower that gets heartbeats of leader b."""

    def __init__(self) -> None:
        """Start with an empty log."""
        members = tuple(
            raft_messages.Member(name, identity=f"{name}-1") for name in "abc"
        )
        self._control = replica_state.ReplicaState(
            raft=raft.Raft(
                replica="a",
                identity="a-1",
                incarnation=INCARNATION,
                random=random.Random(1),
                term=2,
                log=raft_log.RaftLog(
                    snapshot=raft_messages.Snapshot(0, 0, members, b""),
                    entries=[],
                ),
            )
        )

    def confirm(self, *, clock_ms: int, now_ms: int) -> list[events.Reply]:
        """Handle a heartbeat that returns this replica's clock reading."""
        heartbeat = raft_messages.AppendRequest(
            term=2,
            leader="b",
            previous_index=0,
            previous_term=0,
            entries=[],
            commit_index=0,
            leader_clock_ms=5,
            follower_clock=raft_messages.ClockReading(INCARNATION, clock_ms),
            quorum_age_ms=0,
        )
        return self._reduce(
            events.PeerMessageReceived(heartbeat, now_ms, now_ms)
        )

    def call(self, request: events.Request, now_ms: int) -> list[events.Reply]:
        """Handle a call."""
        return self._reduce(events.CallReceived(1, request, now_ms, now_ms))

    def tick(self, now_ms: int) -> list[events.Reply]:
        """Handle the passing of time."""
        return self._reduce(events.Ticked(now_ms, now_ms))

    def _reduce(self, event: events.Event) -> list[events.Reply]:
        return [
            effect.reply
            for effect in reducer.reduce(self._control, event)
            if isinstance(effect, events.Answer)
        ]


@pytest.mark.parametrize(
    "request_",
    [
        pytest.param(events.TableRequest(), id="table"),
        pytest.param(events.ConfigRequest(), id="configuration"),
        pytest.param(events.HistoryRequest(5), id="history"),
        pytest.param(events.AuditRequest(0, 5), id="audit"),
    ],
)
def test_read_waits_until_the_state_is_confirmed_after_it(
    request_: events.Request,
) -> None:
    """A read right after an acknowledgement returned an older table."""
    follower = Follower()
    follower.confirm(clock_ms=9_990, now_ms=10_000)
    assert not follower.call(request_, 10_100)
    assert not follower.confirm(clock_ms=10_090, now_ms=10_110)
    [reply] = follower.confirm(clock_ms=10_110, now_ms=10_120)
    assert not isinstance(reply, events.Unavailable)


def test_read_that_is_never_confirmed_is_refused() -> None:
    follower = Follower()
    follower.confirm(clock_ms=9_990, now_ms=10_000)
    assert not follower.call(events.TableRequest(), 10_100)
    [reply] = follower.tick(12_000)
    assert isinstance(reply, events.Unavailable)
