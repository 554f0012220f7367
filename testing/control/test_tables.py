"""Tests of published routing tables that are replicated as changes."""

from collections.abc import Iterator
import json
import random
from typing import Any

import pytest
from support import instant_disk
from support import platform_site

from wisteriawall.control import commands
from wisteriawall.control import events
from wisteriawall.control import outcomes
from wisteriawall.control import raft
from wisteriawall.control import raft_log
from wisteriawall.control import replica_state
from wisteriawall.control import state
from wisteriawall.control import tables
from wisteriawall.platform import operators
from wisteriawall.wire import raft_messages

ELECTED_MS = 10_000
# It knows by then that no gateway polls it.
NOW_MS = ELECTED_MS + 1_000
STEP_MS = 100


def publication(version: int, **more: Any) -> events.PublishRequest:
    """Return an operator's request."""
    body = json.dumps(platform_site.document(version, **more)).encode()
    return events.PublishRequest("op", operators.decode_table(body), body)


class LeaderOfTwo:
    """Leader a, and the acknowledgements of its follower b."""

    def __init__(self) -> None:
        """Win the election."""
        members = tuple(
            raft_messages.Member(name, identity=f"{name}-1") for name in "ab"
        )
        snapshot = raft_messages.Snapshot(0, 0, members, b"")
        self.control = replica_state.ReplicaState(
            raft=raft.Raft(
                replica="a",
                identity="a-1",
                incarnation=7,
                random=random.Random(1),
                term=2,
                log=raft_log.RaftLog(snapshot=snapshot, entries=[]),
            )
        )
        self._now_ms = ELECTED_MS
        self.control.raft.election_due_ms = ELECTED_MS
        list(self._reduce(events.Ticked(ELECTED_MS, ELECTED_MS)))
        for prevote in (True, False):
            self._receive(raft_messages.VoteReply(3, "b", True, prevote, "b-1"))
        self.acknowledge()
        while self._now_ms < NOW_MS:
            self._now_ms += STEP_MS
            list(self._reduce(events.Ticked(self._now_ms, self._now_ms)))
            self.acknowledge()

    def call(self, call_id: int, request: events.Request) -> None:
        """Handle a call that is not answered yet."""
        call = events.CallReceived(call_id, request, NOW_MS, NOW_MS)
        assert not list(self._reduce(call))

    def acknowledge(self) -> dict[int, events.Reply]:
        """Let the follower acknowledge all entries; return the answers."""
        header = raft_messages.ReplyHeader(
            term=3,
            follower="b",
            identity="b-1",
            is_founder=False,
            leader_clock_ms=self._now_ms,
            follower_clock=raft_messages.ClockReading(1, 1),
        )
        last = self.control.raft.last_index
        return self._receive(
            raft_messages.AppendReply(header, True, last, last)
        )

    def _receive(
        self, message: raft_messages.RaftMessage
    ) -> dict[int, events.Reply]:
        event = events.PeerMessageReceived(message, self._now_ms, self._now_ms)
        return {a.call_id: a.reply for a in self._reduce(event)}

    def _reduce(self, event: events.Event) -> Iterator[events.Answer]:
        for effect in instant_disk.reduce(self.control, event):
            if isinstance(effect, events.Answer):
                yield effect


def test_tables_that_are_published_at_once_are_all_acknowledged() -> None:
    """The second one is a change of a table that the first one replaces."""
    leader = LeaderOfTwo()
    newest = publication(9, routes=[])
    leader.call(1, publication(2))
    leader.call(2, newest)
    leader.call(3, publication(5))
    answers = leader.acknowledge()
    while len(answers) < 3:
        answers |= leader.acknowledge()
    assert {
        call_id: reply.outcome.number
        for call_id, reply in answers.items()
        if isinstance(reply, events.PublishReply)
    } == {1: 2, 2: 9, 3: 9}
    published = leader.control.ledger.published
    assert published is not None
    assert (published.table, published.source) == (
        newest.table,
        newest.source,
    )


@pytest.mark.parametrize(
    ("version", "more", "expected"),
    [
        pytest.param(
            7, {}, outcomes.TableInForce(7, changed=False), id="repeated"
        ),
        pytest.param(
            7, {"routes": []}, outcomes.TableConflict(7), id="other content"
        ),
        pytest.param(
            6, {}, outcomes.TableInForce(7, changed=False), id="older"
        ),
        pytest.param(8, {}, outcomes.TableInForce(8, changed=True), id="newer"),
    ],
)
@pytest.mark.parametrize(
    "is_old_log", [pytest.param(False, id=""), pytest.param(True, id="old log")]
)
def test_publication_after_another(
    version: int, more: Any, expected: object, is_old_log: bool
) -> None:
    ledger = state.Ledger()
    first = publication(7)
    if is_old_log:
        tables.publish(
            ledger, commands.PublishTable(first.table, first.source, "op", 1)
        )
    else:
        tables.change(ledger, tables.command_for(None, first, 1))
    request = publication(version, **more)
    command = tables.command_for(ledger.published, request, 2)
    assert tables.change(ledger, command) == expected
