"""Tests of patches that a leader accepts before its first tick."""

from support import leading_raft

from wisteriawall.control import events
from wisteriawall.control import outcomes
from wisteriawall.control import reducer
from wisteriawall.control import replica_state


def test_a_patch_waits_for_processes_before_the_first_tick_of_a_leader() -> (
    None
):
    """Without a heartbeat so far, no process seemed to be live."""
    control = replica_state.ReplicaState(raft=leading_raft.leader_of_two())
    control.pending_patches.append(
        replica_state.PendingPatch(
            call_id=1, outcome=outcomes.ConfigChanged(1), until_ms=12_000
        )
    )
    effects = list(reducer.reduce(control, events.BatchEnded(10_020)))
    assert not any(isinstance(e, events.Answer) for e in effects)
    effects = list(reducer.reduce(control, events.BatchEnded(12_000)))
    assert any(isinstance(e, events.Answer) for e in effects)
