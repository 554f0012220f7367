"""Reducer of a control replica: turns events into effects, without I/O.

The shell delivers the events and carries out the effects. All state is in
`replica_state.ReplicaState`.
"""

from collections.abc import Iterator

from wisteriawall.control import commands
from wisteriawall.control import events
from wisteriawall.control import gateway_updates as gateway_updates_lib
from wisteriawall.control import leader_commands
from wisteriawall.control import ledger as ledger_lib
from wisteriawall.control import liveness
from wisteriawall.control import outcomes
from wisteriawall.control import planning
from wisteriawall.control import raft as raft_lib
from wisteriawall.control import reads
from wisteriawall.control import redirect
from wisteriawall.control import replica_changes
from wisteriawall.control import replica_state
from wisteriawall.control import snapshot as snapshot_lib
from wisteriawall.control import stream_origins
from wisteriawall.control import suspect_blocks
from wisteriawall.control import usage_duty
from wisteriawall.control import writes
from wisteriawall.policy import roles
from wisteriawall.wire import control_messages
from wisteriawall.wire import gateway_messages
from wisteriawall.wire import peer_messages
from wisteriawall.wire import raft_messages

__all__ = ["reduce"]

LEADER_DUTIES_INTERVAL_MS = 500
PLANNING_INTERVAL_MS = 1_000
# Longer than a lease: by then every live process has renewed or expired.
MAX_PATCH_WAIT_MS = 2_400


def reduce(
    control: replica_state.ReplicaState, event: events.Event
) -> Iterator[events.Effect]:
    """Update `control` for one event and yield the effects it causes.

    The shell carries the effects out in the order in which they are yielded.
    `control` is updated only while the iterator is consumed.
    """
    control.now_ms = max(control.now_ms, event.now_ms)
    match event:
        case events.Ticked(now_ms, wall_ms):
            yield from _process_raft_effects(
                control, raft_lib.tick(control.raft, now_ms)
            )
            yield from _run_leader_duties(control, now_ms, wall_ms)
            yield from _run_usage(control, now_ms, wall_ms)
            yield from _send_liveness_summary(control, now_ms)
        case events.LogSynced(number, now_ms):
            yield from _process_raft_effects(
                control, raft_lib.synced(control.raft, number, now_ms)
            )
        case events.PeerMessageReceived():
            yield from _handle_peer_message(control, event)
        case events.CallReceived():
            yield from _handle_call(control, event)
        case events.VmListRead(vm_by_name, _):
            control.vm_by_name = vm_by_name
        case events.UpstreamsRead():
            gateway_updates_lib.hold_upstreams(
                control.gateway_updates, event.upstreams, control.raft.term
            )
            yield from _propose_versions(control, event.now_ms, event.wall_ms)
        case events.BatchEnded(now_ms):
            yield from _process_raft_effects(
                control, raft_lib.replicate(control.raft, now_ms)
            )
    yield from _abandon_open_writes(control)
    yield from _answer_patch_calls(control)
    yield from _answer_publications(control)
    yield from reads.answer_confirmed_reads(control)
    if raft_lib.is_snapshot_due(control.raft):
        data = snapshot_lib.encode(control.ledger)
        yield from _process_raft_effects(
            control, raft_lib.compact(control.raft, data)
        )


def _run_usage(
    control: replica_state.ReplicaState, now_ms: int, wall_ms: int
) -> Iterator[events.Effect]:
    """Commit the usage that gateways reported, and fix windows."""
    if control.raft.holds_lease(now_ms):
        for command in usage_duty.due_commands(control, now_ms, wall_ms):
            yield from _submit_command(control, command, now_ms)


def _propose_versions(
    control: replica_state.ReplicaState, now_ms: int, wall_ms: int
) -> Iterator[events.Effect]:
    """Commit the versions of the list of runners that was read."""
    updates = control.gateway_updates
    if updates.held_upstreams is None or not updates.commits_versions:
        return
    if not control.raft.holds_lease(now_ms):
        return
    for command in stream_origins.note_list(
        updates.versions,
        control.ledger,
        updates.held_upstreams.upstreams,
        term=updates.held_upstreams.term,
        now_ms=now_ms,
        wall_ms=wall_ms,
    ):
        yield from _submit_command(control, command, now_ms)
    gateway_updates_lib.publish_held_upstreams(
        updates, control.ledger, control.raft.term
    )


def _handle_peer_message(
    control: replica_state.ReplicaState, event: events.PeerMessageReceived
) -> Iterator[events.Effect]:
    match event.message:
        case peer_messages.LivenessSummary() as summary:
            liveness.apply_summary(control.processes, summary, event.now_ms)
        case message:
            yield from _process_raft_effects(
                control, raft_lib.receive(control.raft, message, event.now_ms)
            )


def _process_raft_effects(
    control: replica_state.ReplicaState, effects: Iterator[raft_lib.Effect]
) -> Iterator[events.Effect]:
    """Apply committed entries and snapshots; pass other effects on."""
    for effect in effects:
        match effect:
            case raft_lib.Apply(entry):
                yield from _apply_entry(control, entry)
            case raft_lib.Restore(snapshot):
                control.ledger = snapshot_lib.decode(snapshot.data)
            case _:
                yield effect


def _apply_entry(
    control: replica_state.ReplicaState, entry: raft_messages.LogEntry
) -> Iterator[events.Effect]:
    if not entry.command:
        # An entry without a command, such as a new leader's first one.
        return
    command = commands.decode(entry.command)
    outcome = ledger_lib.apply(
        control.ledger, index=entry.index, term=entry.term, command=command
    )
    _keep_table(control, outcome)
    is_own = entry.term == control.raft.term
    if isinstance(command, commands.FixUsage) and is_own:
        # Others are applied again after a restart.
        yield from usage_duty.describe_fixed(control, command)
    if isinstance(command, commands.SetVersions):
        gateway_updates_lib.publish_held_upstreams(
            control.gateway_updates, control.ledger, control.raft.term
        )
    pending = control.pending_call_by_index.pop(entry.index, None)
    if pending is None:
        return
    if pending.term != entry.term:
        reply: events.Reply = events.Unavailable("leadership moved")
        yield events.Answer(pending.call_id, reply)
    elif isinstance(outcome, outcomes.ConfigChanged):
        until_ms = control.now_ms + MAX_PATCH_WAIT_MS
        control.pending_patches.append(
            replica_state.PendingPatch(
                call_id=pending.call_id, outcome=outcome, until_ms=until_ms
            )
        )
    elif (
        isinstance(outcome, outcomes.TableBaseReplaced)
        and pending.request is not None
    ):
        yield from _submit_write(
            control,
            events.CallReceived(
                pending.call_id, pending.request, control.now_ms, command.at_ms
            ),
        )
    elif isinstance(command, commands.RecordMembershipChange):
        members = list(control.raft.members)
        yield events.Answer(pending.call_id, events.ReplicasReply(members))
    elif isinstance(outcome, outcomes.TableInForce):
        control.publications.wait(
            control.raft,
            call_id=pending.call_id,
            index=entry.index,
            number=outcome.number,
            reply=writes.reply_for(command, outcome),
        )
    else:
        yield events.Answer(pending.call_id, writes.reply_for(command, outcome))


def _keep_table(
    control: replica_state.ReplicaState, outcome: outcomes.Outcome
) -> None:
    """Keep the table in force for gateways, and note since when it is."""
    gateway_updates_lib.keep_table(control.gateway_updates, control.ledger)
    if isinstance(outcome, outcomes.TableInForce) and outcome.changed:
        control.publications.note_applied(outcome.number, control.now_ms)


def _abandon_open_writes(
    control: replica_state.ReplicaState,
) -> Iterator[events.Effect]:
    """Answer the open writes once this replica is no longer the leader.

    A follower cannot tell when or whether these writes are committed. Patches
    that are committed stop waiting for processes, and are answered next.
    """
    if control.raft.role is raft_lib.RaftRole.LEADER:
        return
    for pending in control.pending_call_by_index.values():
        yield events.Answer(
            pending.call_id,
            events.Unavailable("leadership lost"),
        )
    control.pending_call_by_index.clear()
    for patch in control.pending_patches:
        patch.until_ms = control.now_ms


def _answer_publications(
    control: replica_state.ReplicaState,
) -> Iterator[events.Effect]:
    """Answer the calls whose tables are in force at the gateways."""
    leads_since_ms = control.now_ms
    if control.leader_term == control.raft.term:
        leads_since_ms = control.leader_since_ms
    yield from control.publications.answer(
        control.raft,
        control.gateway_updates,
        leads_since_ms=leads_since_ms,
        now_ms=control.now_ms,
    )


def _answer_patch_calls(
    control: replica_state.ReplicaState,
) -> Iterator[events.Effect]:
    """Answer the committed patches that all live processes hold.

    At its `until_ms` a patch is answered in any case; the reply says how many
    of the live processes hold it.
    """
    if not control.pending_patches:
        return
    held_numbers = [
        process.heartbeat.config_number
        for process in liveness.live_processes(
            control.processes, control.now_ms
        )
    ]
    # A new leader has received a heartbeat of every live process only after
    # one lease period, which begins at the first tick with the lease.
    sees_all_processes = (
        control.leader_term == control.raft.term
        and control.now_ms - control.leader_since_ms >= liveness.LIVE_TIMEOUT_MS
    )
    for patch in list(control.pending_patches):
        holding_count = sum(
            number >= patch.outcome.number for number in held_numbers
        )
        is_held_by_all = sees_all_processes and holding_count == len(
            held_numbers
        )
        if is_held_by_all or control.now_ms >= patch.until_ms:
            control.pending_patches.remove(patch)
            yield events.Answer(
                patch.call_id,
                events.PatchReply(
                    patch.outcome, holding_count, len(held_numbers)
                ),
            )


def _handle_call(
    control: replica_state.ReplicaState, event: events.CallReceived
) -> Iterator[events.Effect]:
    match event.request:
        case control_messages.RenewRequest() as renew:
            reply = reads.renew_lease(control, renew, event.now_ms)
        case events.StatusRequest() | events.DueUsageRequest():
            reply = _read_own_state(control, event)
        case (
            events.ConfigRequest()
            | events.HistoryRequest()
            | events.AuditRequest()
            | events.TableRequest()
        ) as read:
            yield from reads.submit_read(
                control, call_id=event.call_id, read=read, now_ms=event.now_ms
            )
            return
        case gateway_messages.FollowRequest() as follow:
            yield from _handle_follow_request(control, follow, event)
            return
        case gateway_messages.FindStreamRequest() as find:
            if control.raft.holds_lease(event.now_ms):
                reply = stream_origins.find(control.ledger, find, event.wall_ms)
            else:
                reply = redirect.to_leader(control.raft)
        case gateway_messages.TablePartRequest() as part:
            reply = gateway_updates_lib.read_table_part(
                control.gateway_updates, part
            )
        case gateway_messages.JoinRequest() as join:
            yield from _handle_join_request(control, join, event)
            return
        case events.AddReplicaRequest() | events.RemoveReplicaRequest():
            yield from _handle_membership_request(control, event.request, event)
            return
        case _:
            yield from _submit_write(control, event)
            return
    yield events.Answer(event.call_id, reply)


def _read_own_state(
    control: replica_state.ReplicaState, event: events.CallReceived
) -> events.Reply:
    """Return the reply to a request that needs no confirmed state."""
    match event.request:
        case events.StatusRequest(whole):
            return reads.read_status(control, whole, event.now_ms)
        case events.DueUsageRequest() as due:
            return usage_duty.due_report(
                control, due, now_ms=event.now_ms, wall_ms=event.wall_ms
            )
        case _:
            raise AssertionError(f"no read: {type(event.request).__name__}")


def _handle_follow_request(
    control: replica_state.ReplicaState,
    request: gateway_messages.FollowRequest,
    event: events.CallReceived,
) -> Iterator[events.Effect]:
    """Commit what the gateway reports of blocks, and answer it."""
    updates = control.gateway_updates
    if control.raft.holds_lease(event.now_ms):
        for command in suspect_blocks.follow(
            updates.suspect_blocks,
            control.ledger,
            request,
            now_ms=event.now_ms,
            wall_ms=event.wall_ms,
        ):
            yield from _submit_command(control, command, event.now_ms)
        yield from usage_duty.note_report(control, request, event)
    if request.suspects is not None and not updates.commits_versions:
        updates.commits_versions = True
        yield from _propose_versions(control, event.now_ms, event.wall_ms)
    elif not updates.commits_versions:
        gateway_updates_lib.publish_held_upstreams(
            updates, control.ledger, control.raft.term
        )
    reply = gateway_updates_lib.follow(
        updates,
        control.raft,
        control.ledger,
        request,
        event.now_ms,
        usage=usage_duty.receipt(control, request),
    )
    yield events.Answer(event.call_id, reply)


def _submit_write(
    control: replica_state.ReplicaState, event: events.CallReceived
) -> Iterator[events.Effect]:
    """Append the command of a write; `_apply_entry` sends the answer."""
    if not control.raft.holds_lease(event.now_ms):
        reply = redirect.to_leader(control.raft)
        yield events.Answer(event.call_id, reply)
        return
    newest = control.publications.newest_table(control.raft, control.ledger)
    request = event.request
    if isinstance(request, events.PublishRequest) and control.publications.join(
        control.raft, newest, call_id=event.call_id, request=request
    ):
        return
    command = writes.command_for(newest, request, event.wall_ms)
    size = len(commands.encode(command))
    if size > raft_lib.MAX_COMMAND_BYTES:
        reason = (
            f"command of {size} bytes, expected at most "
            f"{raft_lib.MAX_COMMAND_BYTES}"
        )
        yield events.Answer(event.call_id, events.Unavailable(reason))
        return
    index = control.raft.last_index + 1
    control.pending_call_by_index[index] = replica_state.PendingCall(
        call_id=event.call_id, term=control.raft.term, request=request
    )
    if isinstance(request, events.PublishRequest):
        control.publications.append(control.raft, newest, request)
    yield from _submit_command(control, command, event.now_ms)


def _handle_membership_request(
    control: replica_state.ReplicaState,
    request: events.AddReplicaRequest | events.RemoveReplicaRequest,
    event: events.CallReceived,
) -> Iterator[events.Effect]:
    raft = control.raft
    if not raft.holds_lease(event.now_ms):
        reply: events.Reply = redirect.to_leader(raft)
        yield events.Answer(event.call_id, reply)
        return
    index = raft.last_index + 1
    effects = replica_changes.start_change(raft, request, event.wall_ms)
    if isinstance(effects, events.ReplicasReply):
        yield events.Answer(event.call_id, effects)
        return
    control.pending_call_by_index[index] = replica_state.PendingCall(
        call_id=event.call_id, term=raft.term
    )
    yield from _process_raft_effects(control, effects)


def _handle_join_request(
    control: replica_state.ReplicaState,
    join: gateway_messages.JoinRequest,
    event: events.CallReceived,
) -> Iterator[events.Effect]:
    """Start the next membership change that a joining replica needs.

    The reply says whether the replica is already a member. If it is not,
    the replica asks again later.
    """
    raft = control.raft
    if not raft.holds_lease(event.now_ms):
        reply: events.Reply = redirect.to_leader(raft)
        yield events.Answer(event.call_id, reply)
        return
    request = replica_changes.next_join_step(raft, join)
    if request is None:
        reply = gateway_messages.JoinReply(True, "", _peer_addresses(raft))
        yield events.Answer(event.call_id, reply)
        return
    note = _describe_change(control, request, event.now_ms)
    effects = replica_changes.start_change(raft, request, event.wall_ms)
    if isinstance(effects, events.ReplicasReply):
        reason = effects.refusal
    else:
        yield note
        yield from _process_raft_effects(control, effects)
        reason = "a change is under way"
    reply = gateway_messages.JoinReply(False, reason, _peer_addresses(raft))
    yield events.Answer(event.call_id, reply)


def _peer_addresses(raft: raft_lib.Raft) -> dict[str, str]:
    return {m.replica: m.peer_address for m in raft.members}


def _submit_command(
    control: replica_state.ReplicaState, command: commands.Command, now_ms: int
) -> Iterator[events.Effect]:
    data = commands.encode(command)
    yield from _process_raft_effects(
        control, raft_lib.propose(control.raft, data, now_ms)
    )


def _run_leader_duties(
    control: replica_state.ReplicaState, now_ms: int, wall_ms: int
) -> Iterator[events.Effect]:
    """Submit the commands that the leader issues on its own.

    These are one command that records each new leadership and, at an
    interval, those that follow from the state and the time.
    """
    raft = control.raft
    if not raft.holds_lease(now_ms):
        return
    if control.leader_term != raft.term:
        control.leader_term = raft.term
        control.leader_since_ms = now_ms
        control.planner = roles.PlannerState()
        control.last_leader_command_index = 0
        yield from _submit_command(
            control, commands.RecordLeader(raft.replica, wall_ms), now_ms
        )
    yield from _remove_lost_replica(control, now_ms, wall_ms)
    if (
        now_ms < control.leader_commands_due_ms
        or raft.applied_index < control.last_leader_command_index
    ):
        # Until the last commands are applied, the ledger does not reflect them
        # and the same commands would be due again.
        return
    control.leader_commands_due_ms = now_ms + LEADER_DUTIES_INTERVAL_MS
    liveness.drop_expired(control.processes, now_ms)
    for command in list(_due_commands(control, now_ms, wall_ms)):
        yield from _submit_command(control, command, now_ms)
        control.last_leader_command_index = raft.last_index


def _remove_lost_replica(
    control: replica_state.ReplicaState, now_ms: int, wall_ms: int
) -> Iterator[events.Effect]:
    """Remove a replica that has been lost for too long, if there is one."""
    lost = replica_changes.find_lost_replica(
        control.raft, now_ms, tolerated_losses=control.tolerated_losses
    )
    if lost is None:
        return
    request = events.RemoveReplicaRequest("leader", lost)
    note = _describe_change(control, request, now_ms)
    effects = replica_changes.start_change(control.raft, request, wall_ms)
    if not isinstance(effects, events.ReplicasReply):
        yield note
        yield from _process_raft_effects(control, effects)


def _describe_change(
    control: replica_state.ReplicaState,
    request: events.AddReplicaRequest | events.RemoveReplicaRequest,
    now_ms: int,
) -> events.Note:
    """Return the log line of a membership change, before it is started."""
    raft = control.raft
    adds = isinstance(request, events.AddReplicaRequest)
    return events.Note(
        "replica-added" if adds else "replica-removed",
        {
            "replica": request.replica,
            "silence_ms": raft.silence_ms(request.replica, now_ms),
            "members": [m.replica for m in raft.members],
            "voters": raft.voters,
            "tolerated_losses": control.tolerated_losses,
            "term": raft.term,
        },
    )


def _due_commands(
    control: replica_state.ReplicaState, now_ms: int, wall_ms: int
) -> Iterator[commands.Command]:
    """Yield the leader's due commands.

    The role planner runs only when no other command is due.
    """
    raft = control.raft
    for demand in liveness.collect_demand(control.processes):
        roles.add_demand(control.planner, demand, now_ms=now_ms)
    context = leader_commands.LeaderContext(
        ledger=control.ledger,
        processes=control.processes,
        vm_by_name=control.vm_by_name,
        term=raft.term,
        leader_since_ms=control.leader_since_ms,
        now_ms=now_ms,
        wall_ms=wall_ms,
    )
    due = list(leader_commands.due_commands(context))
    yield from due
    if not due and now_ms >= control.planner_due_ms:
        control.planner_due_ms = now_ms + PLANNING_INTERVAL_MS
        yield from planning.due_orders(
            control.planner,
            control.ledger,
            term=raft.term,
            now_ms=now_ms,
            wall_ms=wall_ms,
        )


def _send_liveness_summary(
    control: replica_state.ReplicaState, now_ms: int
) -> Iterator[events.SendLivenessSummary]:
    """Send the leader a summary of the heartbeats received here."""
    raft = control.raft
    if not raft.leader or raft.role is not raft_lib.RaftRole.FOLLOWER:
        return
    for summary in liveness.summarize(
        control.processes,
        replica=raft.replica,
        leader_term=raft.term,
        connected=reads.is_state_current(control, now_ms),
        now_ms=now_ms,
    ):
        yield events.SendLivenessSummary(raft.leader, summary)
