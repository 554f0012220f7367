"""Tests of `wisteriawall.control.timing_log`."""

import pytest
from support import leading_raft

from wisteriawall.control import events
from wisteriawall.control import raft_state
from wisteriawall.control import timing_log


def test_each_change_of_the_lease_gives_one_note() -> None:
    leader = leading_raft.leader_of_two()
    log = timing_log.TimingLog()
    ended_ms = 10_000 + raft_state.LEADER_LEASE_MS
    notes = [
        note
        for now_ms in (10_020, 10_040, ended_ms, ended_ms + 20)
        for note in log.note_lease(leader, now_ms)
    ]
    assert [note.decision for note in notes] == ["lease-held", "lease-lost"]
    assert notes[1].inputs == {
        "term": 3,
        "role": "leader",
        "leader": "a",
        "ms": ended_ms - 10_020,
        "acknowledged_ms_by_peer": {"b": raft_state.LEADER_LEASE_MS},
    }


@pytest.mark.parametrize(
    ("took_ms", "expected"),
    [
        pytest.param(99, [], id="usual"),
        pytest.param(
            100,
            [events.Note("slow-sync", {"ms": 100, "writes": 2})],
            id="slow",
        ),
    ],
)
def test_slow_syncs_are_noted(
    took_ms: int, expected: list[events.Note]
) -> None:
    log = timing_log.TimingLog()
    assert list(log.note_sync(took_ms=took_ms, writes=2)) == expected


@pytest.mark.parametrize(
    ("late_ms", "expected"),
    [
        pytest.param(199, [], id="usual"),
        pytest.param(200, [events.Note("late-tick", {"ms": 200})], id="late"),
    ],
)
def test_late_ticks_are_noted(
    late_ms: int, expected: list[events.Note]
) -> None:
    assert list(timing_log.TimingLog().note_tick(late_ms)) == expected
