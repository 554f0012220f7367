"""The control replica's reducer: every decision, no I/O."""

from collections.abc import Iterator
import dataclasses
from typing import final

from wisteriawall.config import document
from wisteriawall.control import commands
from wisteriawall.control import events
from wisteriawall.control import ledger as ledger_lib
from wisteriawall.control import raft as raft_lib
from wisteriawall.control import snapshot as snapshot_lib
from wisteriawall.wire import control_messages
from wisteriawall.wire import fleet
from wisteriawall.wire import raft_messages

__all__ = ["Control", "Process", "reduce"]

MAX_CONFIRMED_AGE_MS = 1_000
PROCESS_LIVE_MS = 2_000


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Process:
    """An entry or agent that renews its lease at this replica."""

    kind: control_messages.ProcessKind
    incarnation: int
    config_number: int
    seen_ms: int


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Waiting:
    """A call whose answer depends on a log entry."""

    call_id: int
    term: int


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Control:
    """State of one control replica."""

    raft: raft_lib.Raft
    ledger: ledger_lib.Ledger = dataclasses.field(
        default_factory=ledger_lib.Ledger
    )
    process_by_name: dict[str, Process] = dataclasses.field(
        default_factory=dict
    )
    waiting_by_index: dict[int, Waiting] = dataclasses.field(
        default_factory=dict
    )
    ordering: set[str] = dataclasses.field(default_factory=set)
    led_term: int = 0


def reduce(control: Control, event: events.Event) -> Iterator[events.Effect]:
    """Yield the effects of one event, in the order to carry them out."""
    match event:
        case events.Ticked(now_ms, wall_ms):
            yield from _follow_raft(
                control, raft_lib.tick(control.raft, now_ms)
            )
            yield from _lead(control, now_ms, wall_ms)
        case events.PeerMessage(message, now_ms, _):
            yield from _follow_raft(
                control, raft_lib.receive(control.raft, message, now_ms)
            )
        case events.Called():
            yield from _on_call(control, event)
        case events.BatchEnded(now_ms):
            yield from _follow_raft(
                control, raft_lib.flush(control.raft, now_ms)
            )
    yield from _abandon_calls(control)
    if raft_lib.wants_snapshot(control.raft):
        data = snapshot_lib.encode(control.ledger)
        yield from _follow_raft(control, raft_lib.compact(control.raft, data))


def _follow_raft(
    control: Control, effects: Iterator[raft_lib.Effect]
) -> Iterator[events.Effect]:
    for effect in effects:
        match effect:
            case raft_lib.Apply(entry):
                yield from _apply(control, entry)
            case raft_lib.Restore(snapshot):
                control.ledger = snapshot_lib.decode(snapshot.data)
            case _:
                yield effect


def _apply(
    control: Control, entry: raft_messages.LogEntry
) -> Iterator[events.Effect]:
    if not entry.command:
        return
    command = commands.decode(entry.command)
    outcome = ledger_lib.apply(
        control.ledger, index=entry.index, term=entry.term, command=command
    )
    if isinstance(command, commands.IssueOrder):
        control.ordering.discard(command.runner)
    waiting = control.waiting_by_index.pop(entry.index, None)
    if waiting is None:
        return
    if waiting.term != entry.term:
        reply: events.Reply = events.Unavailable("leadership moved")
    else:
        reply = _reply_for(control, command, outcome)
    yield events.Answer(waiting.call_id, reply)


def _reply_for(
    control: Control,
    command: commands.Command,
    outcome: ledger_lib.Outcome,
) -> events.Reply:
    match command, outcome:
        case commands.PatchConfig(), (
            ledger_lib.ConfigChanged()
            | ledger_lib.ConfigStale()
            | ledger_lib.ConfigInvalid()
        ):
            number = control.ledger.config.number
            processes = control.process_by_name.values()
            holding = sum(p.config_number >= number for p in processes)
            return events.PatchReply(outcome, holding, len(processes))
        case commands.GrantClaim(), ledger_lib.ClaimOutcome(
            verdict, claim_id, answer
        ):
            return control_messages.ClaimReply(verdict, claim_id, answer)
        case commands.SettleClaim(claim_id), _:
            return control_messages.SettleReply(claim_id)
        case commands.CompleteOrder(order_id), _:
            return control_messages.OrderReportReply(order_id)
        case commands.ChangeReplica(), _:
            return events.ReplicasReply(list(control.raft.members))
        case _:
            return _status(control, 0)


def _abandon_calls(control: Control) -> Iterator[events.Effect]:
    """Answer the calls that this replica can no longer see committed."""
    if control.raft.role is raft_lib.RaftRole.LEADER:
        return
    for waiting in control.waiting_by_index.values():
        yield events.Answer(
            waiting.call_id, events.Unavailable("leadership lost")
        )
    control.waiting_by_index.clear()
    control.ordering.clear()


def _on_call(control: Control, event: events.Called) -> Iterator[events.Effect]:
    match event.request:
        case control_messages.Renew() as renew:
            reply = _renew(control, renew, event.now_ms)
            yield events.Answer(event.call_id, reply)
        case events.StatusRequest():
            reply = _status(control, event.now_ms)
            yield events.Answer(event.call_id, reply)
        case events.ConfigRequest():
            reply = _read_config(control, event.now_ms)
            yield events.Answer(event.call_id, reply)
        case events.ReplicaAdd() | events.ReplicaRemove():
            yield from _change_members(control, event)
        case events.AuditRequest(after_index, limit):
            records = (r for r in control.ledger.audit if r.index > after_index)
            page = [r for r, _ in zip(records, range(limit), strict=False)]
            yield events.Answer(event.call_id, events.AuditReply(page))
        case _:
            yield from _write(control, event)


def _write(control: Control, event: events.Called) -> Iterator[events.Effect]:
    if not control.raft.holds_lease(event.now_ms):
        reply = control_messages.NotLeader(control.raft.leader)
        yield events.Answer(event.call_id, reply)
        return
    command = _command_for(event.request, event.wall_ms)
    index = control.raft.last_index + 1
    control.waiting_by_index[index] = Waiting(
        call_id=event.call_id, term=control.raft.term
    )
    yield from _submit(control, command, event.now_ms)


def _change_members(
    control: Control, event: events.Called
) -> Iterator[events.Effect]:
    """Add or remove a replica, unless that is so already."""
    raft = control.raft
    request = event.request
    if not isinstance(request, events.ReplicaAdd | events.ReplicaRemove):
        raise TypeError(f"not a membership change: {request!r}")
    if not raft.holds_lease(event.now_ms):
        reply: events.Reply = control_messages.NotLeader(raft.leader)
        yield events.Answer(event.call_id, reply)
        return
    adds = isinstance(request, events.ReplicaAdd)
    is_member = any(m.replica == request.replica for m in raft.members)
    refusal = raft_lib.membership_refusal(raft, request.replica)
    if refusal or adds is is_member:
        reply = events.ReplicasReply(list(raft.members), refusal)
        yield events.Answer(event.call_id, reply)
        return
    control.waiting_by_index[raft.last_index + 1] = Waiting(
        call_id=event.call_id, term=raft.term
    )
    command = commands.encode(
        commands.ChangeReplica(
            "added" if adds else "removed",
            request.replica,
            request.operator,
            event.wall_ms,
        )
    )
    match request:
        case events.ReplicaAdd(_, replica, peer, rpc, admin):
            member = raft_messages.Member(replica, peer, rpc, admin)
            effects = raft_lib.add_member(raft, member, command)
        case events.ReplicaRemove(_, replica):
            effects = raft_lib.remove_member(raft, replica, command)
    yield from _follow_raft(control, effects)


def _submit(
    control: Control, command: commands.Command, now_ms: int
) -> Iterator[events.Effect]:
    data = commands.encode(command)
    yield from _follow_raft(
        control, raft_lib.submit(control.raft, data, now_ms)
    )


def _command_for(request: events.Request, wall_ms: int) -> commands.Command:
    match request:
        case events.PatchRequest(patch_id, operator, base_number, change):
            return commands.PatchConfig(
                patch_id, operator, base_number, change, wall_ms
            )
        case events.DrainRequest(operator, runner, undo):
            phase = (
                fleet.RunnerPhase.LIVE if undo else fleet.RunnerPhase.DRAINING
            )
            return commands.SetPhase(runner, phase, operator, wall_ms)
        case control_messages.ClaimRequest():
            return commands.GrantClaim(
                request.account,
                request.service,
                request.key,
                request.digest,
                request.request_id,
                request.entry,
                request.incarnation,
                wall_ms,
            )
        case control_messages.SettleRequest():
            return commands.SettleClaim(
                request.claim_id,
                request.request_id,
                request.released,
                request.answer,
                wall_ms,
            )
        case control_messages.OrderReport():
            return commands.CompleteOrder(
                request.order_id,
                request.runner,
                request.succeeded,
                request.detail,
                request.role,
                wall_ms,
            )
        case _:
            raise AssertionError(f"not a write: {type(request).__name__}")


def _renew(
    control: Control, renew: control_messages.Renew, now_ms: int
) -> events.Reply:
    age_ms = now_ms - control.raft.confirmed_ms
    if control.raft.confirmed_ms < 0 or age_ms > MAX_CONFIRMED_AGE_MS:
        return control_messages.NotLeader(control.raft.leader)
    known = control.process_by_name.get(renew.process)
    if known is None or known.incarnation <= renew.incarnation:
        control.process_by_name[renew.process] = Process(
            kind=renew.kind,
            incarnation=renew.incarnation,
            config_number=renew.config_number,
            seen_ms=now_ms,
        )
    book = control.ledger
    runner = book.runner_by_name.get(renew.runner)
    has_config = renew.config_number == book.config.number
    has_fleet = renew.fleet_version == book.fleet_version
    return control_messages.Grant(
        age_ms=age_ms,
        config_number=book.config.number,
        config=None if has_config else book.config,
        fleet_version=book.fleet_version,
        fleet_view=None if has_fleet else book.fleet_view(),
        order=runner.pending if runner else None,
        floor=runner.floor if runner else fleet.Fence(0, 0),
        leader=control.raft.leader,
    )


def _read_config(control: Control, now_ms: int) -> events.Reply:
    age_ms = now_ms - control.raft.confirmed_ms
    if control.raft.confirmed_ms < 0 or age_ms > MAX_CONFIRMED_AGE_MS:
        return control_messages.NotLeader(control.raft.leader)
    return events.ConfigReply(control.ledger.config)


def _status(control: Control, now_ms: int) -> events.StatusReply:
    raft = control.raft
    processes = [
        events.ProcessStatus(
            name, p.kind, p.incarnation, p.config_number, now_ms - p.seen_ms
        )
        for name, p in sorted(control.process_by_name.items())
    ]
    runners = [
        events.RunnerStatus(
            name,
            control.ledger.config.runners[name].service,
            control.ledger.config.runners[name].zone,
            state.phase,
            state.role,
            f"{state.pending.action} {state.pending.argument}"
            if state.pending
            else "",
        )
        for name, state in sorted(control.ledger.runner_by_name.items())
    ]
    return events.StatusReply(
        replica=raft.replica,
        role=raft.role.value,
        leader=raft.leader,
        term=raft.term,
        commit_index=raft.commit_index,
        config_number=control.ledger.config.number,
        fleet_version=control.ledger.fleet_version,
        processes=processes,
        runners=runners,
        members=list(raft.members),
    )


def _lead(
    control: Control, now_ms: int, wall_ms: int
) -> Iterator[events.Effect]:
    """Issue what the leader owes: its audit line and due orders."""
    raft = control.raft
    if not raft.holds_lease(now_ms):
        return
    if control.led_term != raft.term:
        control.led_term = raft.term
        yield from _submit(
            control, commands.TakeLead(raft.replica, wall_ms), now_ms
        )
    for name, runner in control.ledger.config.runners.items():
        yield from _reconcile_role(control, name, runner, now_ms, wall_ms)


def _reconcile_role(
    control: Control,
    name: str,
    runner: document.Runner,
    now_ms: int,
    wall_ms: int,
) -> Iterator[events.Effect]:
    state = control.ledger.runner_by_name[name]
    settled = (
        runner.role is document.AutoRole.AUTO
        or runner.role.value == state.role.value
        or state.pending is not None
        or name in control.ordering
    )
    if settled:
        return
    control.ordering.add(name)
    command = commands.IssueOrder(
        name, fleet.Action.SET_ROLE, runner.role.value, "configuration", wall_ms
    )
    yield from _submit(control, command, now_ms)
