"""What the leader owes: commands that follow from state and time alone."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
from typing import final

from wisteriawall.control import commands
from wisteriawall.control import liveness
from wisteriawall.control import membership
from wisteriawall.control import orders
from wisteriawall.control import state

__all__ = ["ENTRY_GONE_MS", "Situation", "due_commands"]

ENTRY_GONE_MS = 10_000


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Situation:
    """What the leader decides from.

    `led_ms` is when it began to lead: silence counts from then at the
    earliest. `vm_by_name` is None before the first VM list.
    """

    ledger: state.Ledger
    processes: liveness.Processes
    vm_by_name: Mapping[str, membership.VmState] | None
    term: int
    led_ms: int
    now_ms: int
    wall_ms: int


def due_commands(situation: Situation) -> Iterator[commands.Command]:
    """Yield the commands to submit now."""
    yield from _presences(situation)
    yield from _inspections(situation)
    yield from _gone_entries(situation)
    yield from _orders(situation)


def _silence_ms(situation: Situation, process: liveness.Process) -> int:
    return situation.now_ms - max(process.seen_ms, situation.led_ms)


def _agent_by_runner(situation: Situation) -> dict[str, liveness.Process]:
    return {
        process.beat.runner: process
        for process in situation.processes.by_name.values()
        if process.beat.runner
    }


def _presences(situation: Situation) -> Iterator[commands.SetPresence]:
    agent_by_runner = _agent_by_runner(situation)
    for name, runner in situation.ledger.runner_by_name.items():
        judged = _judge(situation, name, runner, agent_by_runner.get(name))
        if judged is None:
            continue
        same = judged.presence is runner.presence
        if same and judged.incarnation == runner.incarnation:
            continue
        yield commands.SetPresence(
            name,
            judged.presence,
            judged.incarnation,
            judged.cause,
            situation.wall_ms,
            situation.term,
        )


def _judge(
    situation: Situation,
    name: str,
    runner: state.RunnerState,
    agent: liveness.Process | None,
) -> membership.Judgement | None:
    """Judge a runner; None while this leader is too new to tell."""
    configured = situation.ledger.config.runners[name]
    vm = (situation.vm_by_name or {}).get(configured.vm)
    heartbeat = None
    if agent is not None:
        heartbeat = membership.Heartbeat(
            agent.beat.incarnation,
            _silence_ms(situation, agent),
            agent.beat.leaving,
        )
    elif situation.now_ms - situation.led_ms <= membership.LOST_MS:
        return None
    if not configured.address:
        return membership.judge_without_agent(
            runner, vm=vm, listed=situation.vm_by_name is not None
        )
    return membership.judge(runner, vm=vm, heartbeat=heartbeat)


def _inspections(situation: Situation) -> Iterator[commands.RecordEngine]:
    for process in situation.processes.by_name.values():
        beat = process.beat
        runner = situation.ledger.runner_by_name.get(beat.runner)
        if runner is None or beat.engine is None:
            continue
        current = beat.incarnation == runner.incarnation
        if current and membership.differs(runner, beat.engine):
            yield commands.RecordEngine(
                beat.runner, beat.incarnation, beat.engine, situation.wall_ms
            )


def _gone_entries(situation: Situation) -> Iterator[commands.ForgetEntry]:
    """Find entries whose incarnation that took running claims is gone."""
    ledger = situation.ledger
    if situation.now_ms - situation.led_ms < ENTRY_GONE_MS:
        return
    claims = [
        ledger.claim_by_key[ledger.key_by_claim_id[claim_id]]
        for claim_id in ledger.running_claim_ids
    ]
    holders = {(claim.entry, claim.incarnation) for claim in claims}
    for entry, incarnation in sorted(holders):
        process = situation.processes.by_name.get(f"entry/{entry}")
        alive = (
            process is not None
            and process.beat.incarnation == incarnation
            and _silence_ms(situation, process) < ENTRY_GONE_MS
        )
        if not alive:
            yield commands.ForgetEntry(entry, incarnation, situation.wall_ms)


def _orders(situation: Situation) -> Iterator[commands.IssueOrder]:
    """Yield at most one order of each service, and one fetch in all."""
    ledger = situation.ledger
    busy: set[str] = set()
    fetching = False
    for name in sorted(ledger.runner_by_name):
        service = ledger.config.runners[name].service
        step = orders.next_step(ledger, name)
        if step is None or service in busy:
            continue
        fetches = step.action in orders.FETCHING
        if fetches and fetching:
            continue
        if orders.find_obstacle(
            ledger, name, step.action, at_ms=situation.wall_ms
        ):
            continue
        busy.add(service)
        fetching = fetching or fetches
        yield commands.IssueOrder(
            name,
            step.action,
            step.argument,
            f"configuration {ledger.config.number}",
            situation.wall_ms,
            situation.term,
        )
