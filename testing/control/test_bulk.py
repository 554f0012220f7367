"""Tests of how much the leader sends to other replicas at a time."""

import json
import random

import pytest
from support import instant_disk
from support import large_tables
from support import leading_raft

from wisteriawall.control import events
from wisteriawall.control import raft
from wisteriawall.control import raft_log
from wisteriawall.control import replica_state
from wisteriawall.platform import operators
from wisteriawall.wire import raft_messages

MAX_CHANGE_BYTES = 4_096
# A heartbeat waits behind this on its way to each of six followers: 63 ms on a
# link of 100 Mbit/s.
MAX_BYTES_ON_THE_WAY = 128 * 1024


def lone_leader() -> replica_state.ReplicaState:
    """Return the only replica of a cluster, as its leader."""
    member = raft_messages.Member("c", identity="c-1")
    snapshot = raft_messages.Snapshot(0, 0, (member,), b"")
    control = replica_state.ReplicaState(
        raft=raft.Raft(
            replica="c",
            identity="c-1",
            incarnation=1,
            random=random.Random(1),
            term=1,
            log=raft_log.RaftLog(snapshot=snapshot, entries=[]),
        )
    )
    for now_ms in range(0, 3_000, 50):
        list(instant_disk.reduce(control, events.Ticked(now_ms, now_ms)))
    return control


def publish(control: replica_state.ReplicaState, document: object) -> int:
    """Publish a table; return the bytes of its log entries."""
    body = json.dumps(document).encode()
    request = events.PublishRequest("op", operators.decode_table(body), body)
    call = events.CallReceived(1, request, 3_000, 3_000)
    effects = list(instant_disk.reduce(control, call))
    assert any(
        isinstance(e, events.Answer)
        and isinstance(e.reply, events.PublishReply)
        for e in effects
    )
    return sum(
        len(entry.command)
        for effect in effects
        if isinstance(effect, raft.AppendLog)
        for entry in effect.entries
    )


@pytest.mark.parametrize(
    "routes", [pytest.param(20, id="small"), pytest.param(2_820, id="large")]
)
def test_log_entry_of_a_change_is_not_as_large_as_the_table(
    routes: int,
) -> None:
    """Tables held up the heartbeats, and followers elected another leader."""
    control = lone_leader()
    publish(control, large_tables.document(1, routes=routes))
    changed = large_tables.document(2, routes=routes + 1)
    assert publish(control, changed) < MAX_CHANGE_BYTES
    published = control.ledger.published
    assert published is not None
    assert json.loads(published.source) == changed
    expected = operators.decode_table(json.dumps(changed).encode())
    assert sorted(published.table.routes, key=lambda r: r.name) == sorted(
        expected.routes, key=lambda r: r.name
    )
    assert published.table.services == expected.services


def sent_entries(
    effects: list[raft.Effect],
) -> list[raft_messages.LogEntry]:
    """Return the entries of all append requests."""
    return [
        entry
        for effect in effects
        if isinstance(effect, raft.SendPeer)
        and isinstance(effect.message, raft_messages.AppendRequest)
        for entry in effect.message.entries
    ]


def test_bytes_on_the_way_to_a_follower_are_bounded() -> None:
    """Heartbeats waited behind all entries that a follower lacked."""
    leader = leading_raft.leader_of_two()
    for _ in range(40):
        list(raft.propose(leader, b"x" * 50_000, 10_020))
    sent = sent_entries(list(raft.replicate(leader, 10_020)))
    received = 1
    while sent:
        on_the_way = sum(len(entry.command) for entry in sent)
        assert on_the_way <= MAX_BYTES_ON_THE_WAY
        received = sent.pop(0).index
        sent += sent_entries(leading_raft.acknowledge(leader, received))
    assert received == leader.last_index
