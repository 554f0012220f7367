"""A disk on which each write of a replica is durable at once."""

from collections.abc import Iterable
from collections.abc import Iterator

from wisteriawall.control import events
from wisteriawall.control import raft
from wisteriawall.control import reducer
from wisteriawall.control import replica_state

__all__ = ["reduce", "settle"]


def settle(
    state: raft.Raft, effects: Iterable[raft.Effect], now_ms: int
) -> Iterator[raft.Effect]:
    """Yield the effects, and those that follow once they are durable."""
    yield from effects
    while state.writes.is_pending:
        yield from raft.synced(state, state.writes.requested, now_ms)


def reduce(
    control: replica_state.ReplicaState, event: events.Event
) -> Iterator[events.Effect]:
    """Yield the effects of an event, and those of the syncs after it."""
    yield from reducer.reduce(control, event)
    while control.raft.writes.is_pending:
        yield from reducer.reduce(
            control,
            events.LogSynced(control.raft.writes.requested, event.now_ms),
        )
