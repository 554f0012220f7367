"""Merge VM list, heartbeats and drain orders into one view of runners."""

import enum
from typing import final

import msgspec

from wisteriawall.control import commands
from wisteriawall.control import outcomes
from wisteriawall.control import state
from wisteriawall.wire import fleet

__all__ = [
    "LOST_MS",
    "Heartbeat",
    "Judgement",
    "VmState",
    "differs",
    "judge",
    "judge_without_agent",
    "record_engine",
    "set_drain",
    "set_presence",
]

LOST_MS = 4_000


@final
class VmState(enum.StrEnum):
    """What the platform's list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@final
class Heartbeat(msgspec.Struct, frozen=True):
    """Newest sign of life of an agent; `age_ms` is the time since."""

    incarnation: int
    age_ms: int
    leaving: bool


@final
class Judgement(msgspec.Struct, frozen=True):
    """What membership concludes of a runner, and from what."""

    presence: state.Presence
    incarnation: int
    cause: str


def judge(
    known: state.RunnerState,
    *,
    vm: VmState | None,
    heartbeat: Heartbeat | None,
) -> Judgement:
    """Return the presence of a runner with an agent.

    The list lags: a VM missing from it is not lost while its agent is heard,
    but whichever source says first that a VM is leaving is believed. An
    older incarnation says nothing about the one that is known.
    """
    if heartbeat is None or heartbeat.incarnation < known.incarnation:
        cause = "no heartbeat"
        return Judgement(state.Presence.LOST, known.incarnation, cause)
    incarnation = heartbeat.incarnation
    if heartbeat.age_ms > LOST_MS:
        cause = f"no heartbeat for {LOST_MS} ms"
        return Judgement(state.Presence.LOST, incarnation, cause)
    if heartbeat.leaving:
        return Judgement(
            state.Presence.LEAVING, incarnation, "its agent is stopping"
        )
    if vm is VmState.LEAVING:
        return Judgement(
            state.Presence.LEAVING, incarnation, "the VM list says leaving"
        )
    return Judgement(state.Presence.LIVE, incarnation, "heartbeat")


def judge_without_agent(
    known: state.RunnerState, *, vm: VmState | None, listed: bool
) -> Judgement:
    """Return the presence of a runner that only the VM list speaks for.

    Args:
        known: Agreed state of the runner.
        vm: What the list says of its VM, None if the VM is missing.
        listed: Whether a list was read at all.
    """
    match vm:
        case VmState.LEAVING:
            presence, cause = state.Presence.LEAVING, "the VM list says leaving"
        case None if listed:
            presence, cause = state.Presence.LOST, "not in the VM list"
        case _:
            presence, cause = state.Presence.LIVE, "VM list"
    return Judgement(presence, known.incarnation, cause)


def set_presence(
    ledger: state.Ledger, term: int, command: commands.SetPresence
) -> outcomes.Recorded | outcomes.Dropped:
    """Record a runner's presence as the leader of this term judged it."""
    runner = ledger.runner_by_name.get(command.runner)
    if runner is None:
        return outcomes.Dropped("no such runner")
    if command.term != term:
        return outcomes.Dropped("decided in another term")
    if command.incarnation < runner.incarnation:
        return outcomes.Dropped("an older incarnation")
    runner.presence = command.presence
    runner.incarnation = command.incarnation
    ledger.touch(command.runner)
    return outcomes.Recorded()


def set_drain(
    ledger: state.Ledger, command: commands.SetDrain
) -> outcomes.Recorded | outcomes.Dropped:
    """Record or undo an operator's drain order."""
    runner = ledger.runner_by_name.get(command.runner)
    if runner is None:
        return outcomes.Dropped("no such runner")
    if runner.drained is not command.drained:
        runner.drained = command.drained
        ledger.touch(command.runner)
    return outcomes.Recorded()


def record_engine(
    ledger: state.Ledger, command: commands.RecordEngine
) -> outcomes.Recorded | outcomes.Dropped:
    """Record what an agent found its engine to be.

    While an order is pending its result decides, so only whether the engine
    is unclear is taken from the inspection.
    """
    runner = ledger.runner_by_name.get(command.runner)
    if runner is None or command.incarnation < runner.incarnation:
        return outcomes.Dropped("no such runner or an older incarnation")
    runner.unclear = command.engine.unclear
    if runner.pending is None and not command.engine.unclear:
        runner.role = command.engine.role
        runner.model = command.engine.model or runner.model
        runner.adapters = tuple(sorted(command.engine.adapters))
    ledger.touch(command.runner)
    return outcomes.Recorded()


def differs(runner: state.RunnerState, engine: fleet.EngineView) -> bool:
    """Tell whether an inspection says something new of a settled engine."""
    if runner.unclear is not engine.unclear:
        return True
    if runner.pending is not None or engine.unclear:
        return False
    return (
        runner.role is not engine.role
        or runner.adapters != tuple(sorted(engine.adapters))
        or (bool(engine.model) and runner.model != engine.model)
    )
