"""Track which entries and agents are alive.

Each replica records the renewals that it receives. Followers send them to the
leader in summaries, which mostly hold only changes.
"""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
from typing import final

import msgspec

from wisteriawall.wire import control_messages
from wisteriawall.wire import fleet
from wisteriawall.wire import peer_messages

__all__ = [
    "LIVE_TIMEOUT_MS",
    "Process",
    "Processes",
    "apply_summary",
    "collect_demand",
    "drop_expired",
    "live_processes",
    "record_renewal",
    "summarize",
]

# Without a renewal for this long, the lease of a process has expired.
LIVE_TIMEOUT_MS = 2_000
# Time without a renewal after which a replica reports a process as lost.
LOST_AFTER_MS = 1_000
REMOVE_AFTER_MS = 60_000
SUMMARY_INTERVAL_MS = 500
# Summaries may get lost, so each change is repeated for this long.
REPEAT_CHANGES_MS = 2_000
FULL_SUMMARY_INTERVAL_MS = 30_000


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Process:
    """An entry or agent, and the replica at which it renews its lease.

    Attributes:
        heartbeat: Its newest heartbeat.
        replica: Empty once that replica has reported the process as lost.
        seen_ms: Monotonic time of its newest renewal.
        changed_ms: Monotonic time when its heartbeat last differed from the one
            before, or came to another replica.
        since_ms: Monotonic time of the first renewal of its incarnation.
    """

    heartbeat: peer_messages.ProcessHeartbeat
    replica: str
    seen_ms: int
    changed_ms: int
    since_ms: int


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Processes:
    """Every process that this replica has on record.

    Attributes:
        lost_ms_by_name: When each recently lost process was found lost.
        prefill_tokens_by_service: Demand since the last `collect_demand`.
        decode_tokens_by_service: Demand since the last `collect_demand`.
        sequence: Number of the newest summary that this replica has sent.
        leader_term: Term of the leader that it was sent to.
        sequence_by_replica: Newest summary received from each follower.
    """

    process_by_name: dict[str, Process] = dataclasses.field(
        default_factory=dict
    )
    lost_ms_by_name: dict[str, int] = dataclasses.field(default_factory=dict)
    prefill_tokens_by_service: Counter[str] = dataclasses.field(
        default_factory=Counter
    )
    decode_tokens_by_service: Counter[str] = dataclasses.field(
        default_factory=Counter
    )
    sequence: int = 0
    summary_due_ms: int = 0
    full_summary_due_ms: int = 0
    leader_term: int = 0
    sequence_by_replica: dict[str, int] = dataclasses.field(
        default_factory=dict
    )


def record_renewal(
    processes: Processes,
    renew: control_messages.RenewRequest,
    *,
    replica: str,
    now_ms: int,
) -> None:
    """Record a renewal at this replica and the demand that it reports."""
    heartbeat = peer_messages.ProcessHeartbeat(
        process=renew.process,
        incarnation=renew.incarnation,
        kind=renew.kind,
        config_number=renew.config_number,
        runner=renew.runner,
        stopping=renew.stopping,
        engine=renew.engine,
    )
    _record(processes, heartbeat, replica, now_ms)
    _add_demand(processes, renew.demand)


def apply_summary(
    processes: Processes, summary: peer_messages.LivenessSummary, now_ms: int
) -> None:
    """Apply a follower's summary, as the leader.

    A process of the follower that the summary does not list is lost if the
    summary is full. Otherwise its renewals continue without a change. Summaries
    out of order are ignored, unless they are full.
    """
    last = processes.sequence_by_replica.get(summary.replica, 0)
    if summary.sequence <= last and not summary.complete:
        return
    processes.sequence_by_replica[summary.replica] = summary.sequence
    for heartbeat in summary.heartbeats:
        without_age = msgspec.structs.replace(heartbeat, age_ms=0)
        _record(
            processes, without_age, summary.replica, now_ms - heartbeat.age_ms
        )
    listed = {heartbeat.process for heartbeat in summary.heartbeats}
    age_ms_by_lost = {lost.process: lost.age_ms for lost in summary.lost}
    for name, process in processes.process_by_name.items():
        if process.replica != summary.replica:
            continue
        if name in age_ms_by_lost:
            process.seen_ms = now_ms - age_ms_by_lost[name]
        elif name in listed or not summary.complete:
            process.seen_ms = max(process.seen_ms, now_ms - LOST_AFTER_MS)
            continue
        # Later summaries leave it out, which must not count as a renewal.
        process.replica = ""
    _add_demand(processes, summary.demand)


def summarize(
    processes: Processes,
    *,
    replica: str,
    leader_term: int,
    connected: bool,
    now_ms: int,
) -> Iterator[peer_messages.LivenessSummary]:
    """Yield the summary to send to the leader, if one is due.

    It is full after a leader change or a lost connection, because the leader
    may have missed every repetition of a change.
    """
    if leader_term != processes.leader_term or not connected:
        processes.leader_term = leader_term
        processes.summary_due_ms = now_ms
        processes.full_summary_due_ms = now_ms
    if now_ms < processes.summary_due_ms or not connected:
        return
    full = now_ms >= processes.full_summary_due_ms
    if full:
        processes.full_summary_due_ms = now_ms + FULL_SUMMARY_INTERVAL_MS
    processes.summary_due_ms = now_ms + SUMMARY_INTERVAL_MS
    processes.sequence += 1
    _update_lost(processes, replica, now_ms)
    yield peer_messages.LivenessSummary(
        replica=replica,
        sequence=processes.sequence,
        complete=full,
        heartbeats=list(_heartbeats_to_send(processes, replica, full, now_ms)),
        lost=[
            peer_messages.LostProcess(
                name, now_ms - processes.process_by_name[name].seen_ms
            )
            for name in sorted(processes.lost_ms_by_name)
        ],
        demand=collect_demand(processes),
    )


def live_processes(processes: Processes, now_ms: int) -> Iterator[Process]:
    """Yield the processes whose configuration lease may still be valid."""
    for process in processes.process_by_name.values():
        if now_ms - process.seen_ms < LIVE_TIMEOUT_MS:
            yield process


def drop_expired(processes: Processes, now_ms: int) -> None:
    """Drop processes without a renewal for `REMOVE_AFTER_MS`."""
    expired = [
        name
        for name, process in processes.process_by_name.items()
        if now_ms - process.seen_ms > REMOVE_AFTER_MS
    ]
    for name in expired:
        del processes.process_by_name[name]


def collect_demand(processes: Processes) -> list[fleet.ServiceDemand]:
    """Return the demand since the last call, and reset it to zero."""
    services = set(processes.prefill_tokens_by_service)
    services |= set(processes.decode_tokens_by_service)
    demand = [
        fleet.ServiceDemand(
            service,
            processes.prefill_tokens_by_service[service],
            processes.decode_tokens_by_service[service],
        )
        for service in sorted(services)
    ]
    processes.prefill_tokens_by_service.clear()
    processes.decode_tokens_by_service.clear()
    return demand


def _record(
    processes: Processes,
    heartbeat: peer_messages.ProcessHeartbeat,
    replica: str,
    seen_ms: int,
) -> None:
    """Record a heartbeat, unless a newer one of the process is known.

    The incarnation is the time of day of the start. A process that starts again
    after its clock was set back has a lower one, which is recorded when the
    higher one has been silent for `LOST_AFTER_MS`.
    """
    known = processes.process_by_name.get(heartbeat.process)
    changed_ms = since_ms = seen_ms
    if known is not None:
        # The former replica of a process that moved may still report it.
        known_version = (known.heartbeat.incarnation, known.seen_ms)
        if (
            known_version > (heartbeat.incarnation, seen_ms)
            and seen_ms - known.seen_ms <= LOST_AFTER_MS
        ):
            return
        if known.heartbeat == heartbeat and known.replica == replica:
            changed_ms = known.changed_ms
        if known.heartbeat.incarnation == heartbeat.incarnation:
            since_ms = known.since_ms
    processes.process_by_name[heartbeat.process] = Process(
        heartbeat=heartbeat,
        replica=replica,
        seen_ms=seen_ms,
        changed_ms=changed_ms,
        since_ms=since_ms,
    )
    processes.lost_ms_by_name.pop(heartbeat.process, None)


def _update_lost(processes: Processes, replica: str, now_ms: int) -> None:
    """Add processes that became lost here; drop those reported long enough."""
    for name, process in processes.process_by_name.items():
        is_lost = process.replica == replica and (
            now_ms - process.seen_ms > LOST_AFTER_MS
        )
        if (
            is_lost
            and now_ms - process.seen_ms < LOST_AFTER_MS + REPEAT_CHANGES_MS
        ):
            processes.lost_ms_by_name.setdefault(name, now_ms)
    expired = [
        name
        for name, lost_ms in processes.lost_ms_by_name.items()
        if now_ms - lost_ms > REPEAT_CHANGES_MS
    ]
    for name in expired:
        del processes.lost_ms_by_name[name]


def _heartbeats_to_send(
    processes: Processes, replica: str, full: bool, now_ms: int
) -> Iterator[peer_messages.ProcessHeartbeat]:
    """Yield heartbeats of live processes here, all or recent changes only."""
    for process in processes.process_by_name.values():
        if (
            process.replica != replica
            or now_ms - process.seen_ms > LOST_AFTER_MS
        ):
            continue
        if full or now_ms - process.changed_ms <= REPEAT_CHANGES_MS:
            age_ms = now_ms - process.seen_ms
            yield msgspec.structs.replace(process.heartbeat, age_ms=age_ms)


def _add_demand(
    processes: Processes, demand: Iterable[fleet.ServiceDemand]
) -> None:
    for service_demand in demand:
        processes.prefill_tokens_by_service[service_demand.service] += (
            service_demand.prefill_tokens
        )
        processes.decode_tokens_by_service[service_demand.service] += (
            service_demand.decode_tokens
        )
