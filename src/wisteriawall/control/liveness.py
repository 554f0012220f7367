"""Which processes are alive: renewals here, and summaries of followers."""

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
    "LIVE_MS",
    "Process",
    "Processes",
    "absorb",
    "drain_demand",
    "forget_old",
    "hear",
    "live",
    "summarize",
]

LIVE_MS = 2_000
GONE_MS = 1_000
FORGET_MS = 60_000
SUMMARY_MS = 500
REPEAT_MS = 2_000
FULL_MS = 30_000


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Process:
    """An entry or agent and the replica at which it renews its lease.

    `changed_ms` is when its beat last differed from the one before.
    """

    beat: peer_messages.Beat
    replica: str
    seen_ms: int
    changed_ms: int


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Processes:
    """Every process that this replica knows of.

    `demand_by_service` holds prefill and decode tokens since the last drain.
    """

    by_name: dict[str, Process] = dataclasses.field(default_factory=dict)
    gone_ms_by_name: dict[str, int] = dataclasses.field(default_factory=dict)
    prefill_by_service: Counter[str] = dataclasses.field(
        default_factory=Counter
    )
    decode_by_service: Counter[str] = dataclasses.field(default_factory=Counter)
    sequence: int = 0
    due_ms: int = 0
    full_due_ms: int = 0
    leader_term: int = 0
    sequence_by_replica: dict[str, int] = dataclasses.field(
        default_factory=dict
    )


def hear(
    processes: Processes,
    renew: control_messages.Renew,
    *,
    replica: str,
    now_ms: int,
) -> None:
    """Note a renewal at this replica, and the demand that it reports."""
    beat = peer_messages.Beat(
        process=renew.process,
        incarnation=renew.incarnation,
        kind=renew.kind,
        config_number=renew.config_number,
        runner=renew.runner,
        leaving=renew.leaving,
        engine=renew.engine,
    )
    _note(processes, beat, replica, now_ms)
    _add_demand(processes, renew.demand)


def absorb(
    processes: Processes, summary: peer_messages.Liveness, now_ms: int
) -> None:
    """Note what a follower tells its leader."""
    last = processes.sequence_by_replica.get(summary.replica, 0)
    if summary.sequence <= last and not summary.full:
        return
    processes.sequence_by_replica[summary.replica] = summary.sequence
    for beat in summary.beats:
        plain = msgspec.structs.replace(beat, age_ms=0)
        _note(processes, plain, summary.replica, now_ms - beat.age_ms)
    listed = {beat.process for beat in summary.beats}
    age_ms_by_gone = {gone.process: gone.age_ms for gone in summary.gone}
    for name, process in processes.by_name.items():
        if process.replica != summary.replica:
            continue
        if name in age_ms_by_gone:
            process.seen_ms = now_ms - age_ms_by_gone[name]
        elif name in listed or not summary.full:
            process.seen_ms = max(process.seen_ms, now_ms - GONE_MS)
            continue
        # Later summaries say nothing of it, so they must not revive it.
        process.replica = ""
    _add_demand(processes, summary.demand)


def summarize(
    processes: Processes,
    *,
    replica: str,
    leader_term: int,
    connected: bool,
    now_ms: int,
) -> Iterator[peer_messages.Liveness]:
    """Yield the summary that is due at the leader, if one is.

    After a time without connection the summary is full, because the leader
    may have missed every repetition of a change.
    """
    if leader_term != processes.leader_term or not connected:
        processes.leader_term = leader_term
        processes.due_ms = now_ms
        processes.full_due_ms = now_ms
    if now_ms < processes.due_ms or not connected:
        return
    full = now_ms >= processes.full_due_ms
    if full:
        processes.full_due_ms = now_ms + FULL_MS
    processes.due_ms = now_ms + SUMMARY_MS
    processes.sequence += 1
    _find_gone(processes, replica, now_ms)
    yield peer_messages.Liveness(
        replica=replica,
        sequence=processes.sequence,
        full=full,
        beats=list(_beats(processes, replica, full, now_ms)),
        gone=[
            peer_messages.Gone(name, now_ms - processes.by_name[name].seen_ms)
            for name in sorted(processes.gone_ms_by_name)
        ],
        demand=drain_demand(processes),
    )


def live(processes: Processes, now_ms: int) -> Iterator[Process]:
    """Yield the processes whose configuration lease may still hold."""
    for process in processes.by_name.values():
        if now_ms - process.seen_ms < LIVE_MS:
            yield process


def forget_old(processes: Processes, now_ms: int) -> None:
    """Drop processes that have been silent for a minute."""
    old = [
        name
        for name, process in processes.by_name.items()
        if now_ms - process.seen_ms > FORGET_MS
    ]
    for name in old:
        del processes.by_name[name]


def drain_demand(processes: Processes) -> list[fleet.ServiceDemand]:
    """Return the demand since the last call and start from zero."""
    services = set(processes.prefill_by_service)
    services |= set(processes.decode_by_service)
    demand = [
        fleet.ServiceDemand(
            service,
            processes.prefill_by_service[service],
            processes.decode_by_service[service],
        )
        for service in sorted(services)
    ]
    processes.prefill_by_service.clear()
    processes.decode_by_service.clear()
    return demand


def _note(
    processes: Processes, beat: peer_messages.Beat, replica: str, seen_ms: int
) -> None:
    known = processes.by_name.get(beat.process)
    changed_ms = seen_ms
    if known is not None:
        # A process that moved is still listed by its former replica.
        age = (known.beat.incarnation, known.seen_ms)
        if age > (beat.incarnation, seen_ms):
            return
        if known.beat == beat and known.replica == replica:
            changed_ms = known.changed_ms
    processes.by_name[beat.process] = Process(
        beat=beat, replica=replica, seen_ms=seen_ms, changed_ms=changed_ms
    )
    processes.gone_ms_by_name.pop(beat.process, None)


def _find_gone(processes: Processes, replica: str, now_ms: int) -> None:
    for name, process in processes.by_name.items():
        silent = process.replica == replica and (
            now_ms - process.seen_ms > GONE_MS
        )
        if silent and now_ms - process.seen_ms < GONE_MS + REPEAT_MS:
            processes.gone_ms_by_name.setdefault(name, now_ms)
    over = [
        name
        for name, gone_ms in processes.gone_ms_by_name.items()
        if now_ms - gone_ms > REPEAT_MS
    ]
    for name in over:
        del processes.gone_ms_by_name[name]


def _beats(
    processes: Processes, replica: str, full: bool, now_ms: int
) -> Iterator[peer_messages.Beat]:
    for process in processes.by_name.values():
        if process.replica != replica or now_ms - process.seen_ms > GONE_MS:
            continue
        if full or now_ms - process.changed_ms <= REPEAT_MS:
            age_ms = now_ms - process.seen_ms
            yield msgspec.structs.replace(process.beat, age_ms=age_ms)


def _add_demand(
    processes: Processes, demand: Iterable[fleet.ServiceDemand]
) -> None:
    for item in demand:
        processes.prefill_by_service[item.service] += item.prefill_tokens
        processes.decode_by_service[item.service] += item.decode_tokens
