"""Commands that the leader submits by itself, from state and time alone."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
from typing import final

from wisteriawall.control import commands
from wisteriawall.control import liveness
from wisteriawall.control import membership
from wisteriawall.control import orders
from wisteriawall.control import state

__all__ = ["ENTRY_LOST_AFTER_MS", "LeaderContext", "due_commands"]

ENTRY_LOST_AFTER_MS = 10_000


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class LeaderContext:
    """Input to the leader's decisions.

    Attributes:
        vm_by_name: Newest VM list, None before the first one.
        leader_since_ms: Monotonic time when this replica became leader.
            Heartbeats count as missing from then at the earliest.
        now_ms: Monotonic time.
        wall_ms: Unix time.
    """

    ledger: state.Ledger
    processes: liveness.Processes
    vm_by_name: Mapping[str, membership.VmState] | None
    term: int
    leader_since_ms: int
    now_ms: int
    wall_ms: int


def due_commands(context: LeaderContext) -> Iterator[commands.Command]:
    """Yield the commands that are due now.

    They record changed presence and engine state of runners, mark the outcomes
    of lost entries' running claims as unknown, and issue the orders that the
    configuration requires.
    """
    yield from _presence_changes(context)
    yield from _engine_changes(context)
    yield from _lost_entries(context)
    yield from _due_orders(context)


def _since_renewal_ms(context: LeaderContext, process: liveness.Process) -> int:
    """Return the time since the last renewal or, if later, the election."""
    return context.now_ms - max(process.seen_ms, context.leader_since_ms)


def _agent_by_runner(context: LeaderContext) -> dict[str, liveness.Process]:
    return {
        process.heartbeat.runner: process
        for process in context.processes.process_by_name.values()
        if process.heartbeat.runner
    }


def _presence_changes(context: LeaderContext) -> Iterator[commands.SetPresence]:
    agent_by_runner = _agent_by_runner(context)
    for name, runner in context.ledger.runner_by_name.items():
        decision = _decide_presence(
            context, name, runner, agent_by_runner.get(name)
        )
        if decision is None:
            continue
        same = decision.presence is runner.presence
        if same and decision.incarnation == runner.incarnation:
            continue
        yield commands.SetPresence(
            name,
            decision.presence,
            decision.incarnation,
            decision.cause,
            context.wall_ms,
            context.term,
            is_restart=decision.incarnation < runner.incarnation,
        )


def _decide_presence(
    context: LeaderContext,
    name: str,
    runner: state.RunnerState,
    agent: liveness.Process | None,
) -> membership.PresenceDecision | None:
    """Return a runner's presence, None while it is too early to decide."""
    configured = context.ledger.config.runners[name]
    vm = (context.vm_by_name or {}).get(configured.vm)
    heartbeat = None
    if agent is not None:
        heartbeat = membership.Heartbeat(
            agent.heartbeat.incarnation,
            _since_renewal_ms(context, agent),
            agent.heartbeat.stopping,
            agent.seen_ms - max(agent.since_ms, context.leader_since_ms),
        )
    elif (
        context.now_ms - context.leader_since_ms
        <= membership.HEARTBEAT_TIMEOUT_MS
    ):
        return None
    if not configured.address:
        return membership.decide_presence_without_agent(
            runner, vm=vm, listed=context.vm_by_name is not None
        )
    return membership.decide_presence(runner, vm=vm, heartbeat=heartbeat)


def _engine_changes(context: LeaderContext) -> Iterator[commands.RecordEngine]:
    for process in context.processes.process_by_name.values():
        beat = process.heartbeat
        runner = context.ledger.runner_by_name.get(beat.runner)
        if runner is None or beat.engine is None:
            continue
        current = beat.incarnation == runner.incarnation
        if current and membership.engine_differs(runner, beat.engine):
            yield commands.RecordEngine(
                beat.runner, beat.incarnation, beat.engine, context.wall_ms
            )


def _lost_entries(context: LeaderContext) -> Iterator[commands.RecordEntryLost]:
    """Yield a command for each lost entry process that has running claims."""
    ledger = context.ledger
    if context.now_ms - context.leader_since_ms < ENTRY_LOST_AFTER_MS:
        return
    claims = [
        ledger.claim_by_key[ledger.key_by_claim_id[claim_id]]
        for claim_id in ledger.running_claim_ids
    ]
    holders = {(claim.entry, claim.incarnation) for claim in claims}
    for entry, incarnation in sorted(holders):
        process = context.processes.process_by_name.get(f"entry/{entry}")
        alive = (
            process is not None
            and process.heartbeat.incarnation == incarnation
            and _since_renewal_ms(context, process) < ENTRY_LOST_AFTER_MS
        )
        if not alive:
            yield commands.RecordEntryLost(
                entry, incarnation, context.wall_ms, only=True
            )


def _due_orders(context: LeaderContext) -> Iterator[commands.IssueOrder]:
    """Yield at most one order per service, and one weight fetch in all."""
    ledger = context.ledger
    busy: set[str] = set()
    fetching = False
    for name in sorted(ledger.runner_by_name):
        service = ledger.config.runners[name].service
        change = orders.next_engine_change(ledger, name)
        if change is None or service in busy:
            continue
        fetches = change.action in orders.FETCH_ACTIONS
        if fetches and fetching:
            continue
        if orders.find_blocking_reason(
            ledger, name, change.action, at_ms=context.wall_ms
        ):
            continue
        busy.add(service)
        fetching = fetching or fetches
        yield commands.IssueOrder(
            name,
            change.action,
            change.argument,
            f"configuration {ledger.config.number}",
            context.wall_ms,
            context.term,
        )
