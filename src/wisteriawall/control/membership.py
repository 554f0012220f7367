"""Decide the presence of runners from the VM list and heartbeats.

Also apply the commands that record presence, drains and engine state.
"""

import enum
from typing import final

import msgspec

from wisteriawall.control import commands
from wisteriawall.control import outcomes
from wisteriawall.control import state
from wisteriawall.wire import fleet

__all__ = [
    "HEARTBEAT_TIMEOUT_MS",
    "Heartbeat",
    "PresenceDecision",
    "VmState",
    "decide_presence",
    "decide_presence_without_agent",
    "engine_differs",
    "record_engine",
    "set_drain",
    "set_presence",
]

HEARTBEAT_TIMEOUT_MS = 4_000
# Agents renew every 300 ms. Late renewals that a replica was frozen with are
# handled within a few milliseconds of each other, and the first summaries to a
# new leader arrive sooner than this.
RESTART_EVIDENCE_MS = 500
MAX_KEPT_DRAINS = 10_000


@final
class VmState(enum.StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@final
class Heartbeat(msgspec.Struct, frozen=True):
    """Newest heartbeat of an agent, `age_ms` ago.

    `renewed_for_ms` is the time from the first renewal of its incarnation that
    this leader knows, since its election, to the newest one.
    """

    incarnation: int
    age_ms: int
    leaving: bool
    renewed_for_ms: int = 0


@final
class PresenceDecision(msgspec.Struct, frozen=True):
    """Presence decided for a runner, and its cause in words."""

    presence: state.Presence
    incarnation: int
    cause: str


def decide_presence(
    known: state.RunnerState,
    *,
    vm: VmState | None,
    heartbeat: Heartbeat | None,
) -> PresenceDecision:
    """Return the presence of a runner with an agent.

    The VM list lags behind, so a VM that is missing from it is not lost while
    its agent sends heartbeats. The runner counts as stopping as soon as the
    agent reports its stop or the VM list marks the VM as leaving.

    Heartbeats of an incarnation lower than the recorded one may be late, and
    are ignored until they were renewed for `RESTART_EVIDENCE_MS`: then the
    agent has started again after its clock was set back. `liveness` prefers
    the higher incarnation while that one renews its lease.
    """
    if heartbeat is None or (
        heartbeat.incarnation < known.incarnation
        and heartbeat.renewed_for_ms < RESTART_EVIDENCE_MS
    ):
        cause = "no heartbeat"
        return PresenceDecision(state.Presence.LOST, known.incarnation, cause)
    incarnation = heartbeat.incarnation
    if heartbeat.age_ms > HEARTBEAT_TIMEOUT_MS:
        cause = f"no heartbeat for {HEARTBEAT_TIMEOUT_MS} ms"
        return PresenceDecision(state.Presence.LOST, incarnation, cause)
    if heartbeat.leaving:
        return PresenceDecision(
            state.Presence.STOPPING, incarnation, "its agent is stopping"
        )
    if vm is VmState.LEAVING:
        return PresenceDecision(
            state.Presence.STOPPING,
            incarnation,
            "the VM list says leaving",
        )
    return PresenceDecision(state.Presence.LIVE, incarnation, "heartbeat")


def decide_presence_without_agent(
    known: state.RunnerState, *, vm: VmState | None, listed: bool
) -> PresenceDecision:
    """Return the presence of a runner without an agent, from the VM list.

    Args:
        known: Recorded state of the runner.
        vm: State of its VM in the list, None if the VM is missing.
        listed: Whether any VM list has been received.
    """
    match vm:
        case VmState.LEAVING:
            presence, cause = (
                state.Presence.STOPPING,
                "the VM list says leaving",
            )
        case None if listed:
            presence, cause = state.Presence.LOST, "not in the VM list"
        case _:
            presence, cause = state.Presence.LIVE, "VM list"
    return PresenceDecision(presence, known.incarnation, cause)


def set_presence(
    ledger: state.Ledger, term: int, command: commands.SetPresence
) -> outcomes.Recorded | outcomes.Dropped:
    """Record the presence of a runner that the leader of `term` decided."""
    runner = ledger.runner_by_name.get(command.runner)
    if runner is None:
        return outcomes.Dropped("no such runner")
    if command.term != term:
        return outcomes.Dropped("decided in another term")
    if command.incarnation < runner.incarnation and not command.is_restart:
        return outcomes.Dropped("an older incarnation")
    runner.presence = command.presence
    runner.incarnation = command.incarnation
    ledger.mark_changed(command.runner)
    return outcomes.Recorded()


def set_drain(
    ledger: state.Ledger, command: commands.SetDrain
) -> outcomes.Recorded | outcomes.Dropped:
    """Record that an operator drains a runner, or undoes that.

    An operator's client sends a request again after a timeout, and a replica
    that was frozen may carry out the first copy long after a later drain or
    undo. A drain id that was applied before therefore changes nothing and gets
    its first outcome; the newest 10,000 ids are kept. A drain without an id is
    carried out each time.
    """
    if not command.drain_id:
        return _set_drained(ledger, command)
    kept = ledger.drain_by_id.get(command.drain_id)
    if kept is None:
        outcome = _set_drained(ledger, command)
        refusal = (
            outcome.reason if isinstance(outcome, outcomes.Dropped) else ""
        )
        ledger.drain_by_id[command.drain_id] = state.KeptDrainOutcome(
            command.runner, command.drained, refusal
        )
        while len(ledger.drain_by_id) > MAX_KEPT_DRAINS:
            ledger.drain_by_id.popitem(last=False)
        return outcome
    if (kept.runner, kept.drained) != (command.runner, command.drained):
        return outcomes.Dropped("the drain id was used for another drain")
    if kept.refusal:
        return outcomes.Dropped(kept.refusal)
    return outcomes.Recorded()


def _set_drained(
    ledger: state.Ledger, command: commands.SetDrain
) -> outcomes.Recorded | outcomes.Dropped:
    runner = ledger.runner_by_name.get(command.runner)
    if runner is None:
        return outcomes.Dropped("no such runner")
    if runner.drained is not command.drained:
        runner.drained = command.drained
        ledger.mark_changed(command.runner)
    return outcomes.Recorded()


def record_engine(
    ledger: state.Ledger, command: commands.RecordEngine
) -> outcomes.Recorded | outcomes.Dropped:
    """Record the state that an agent found when it inspected its engine.

    While an order is pending, its result will set the engine's role, model and
    adapters, so only `state_unknown` is taken from the inspection.
    """
    runner = ledger.runner_by_name.get(command.runner)
    if runner is None or command.incarnation < runner.incarnation:
        return outcomes.Dropped("no such runner or an older incarnation")
    runner.unclear = command.engine.state_unknown
    if runner.pending is None and not command.engine.state_unknown:
        runner.role = command.engine.role
        runner.model = command.engine.model or runner.model
        runner.adapters = tuple(sorted(command.engine.adapters))
    ledger.mark_changed(command.runner)
    return outcomes.Recorded()


def engine_differs(
    runner: state.RunnerState, engine: fleet.EngineStatus
) -> bool:
    """Return whether an inspection differs from the recorded engine state.

    While an order is pending or the engine's state is unknown, only this flag
    is compared.
    """
    if runner.unclear is not engine.state_unknown:
        return True
    if runner.pending is not None or engine.state_unknown:
        return False
    return (
        runner.role is not engine.role
        or runner.adapters != tuple(sorted(engine.adapters))
        or (bool(engine.model) and runner.model != engine.model)
    )
