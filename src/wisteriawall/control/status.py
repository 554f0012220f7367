"""Builds the cluster status that operators read, as one replica sees it."""

from collections.abc import Iterator

from wisteriawall.control import events
from wisteriawall.control import liveness
from wisteriawall.control import raft as raft_lib
from wisteriawall.control import state

__all__ = ["build_status"]


def build_status(
    *,
    raft: raft_lib.Raft,
    ledger: state.Ledger,
    processes: liveness.Processes,
    now_ms: int,
) -> events.StatusReply:
    """Return the status from this replica's log, ledger and heartbeats.

    A follower lists only the processes whose heartbeats it received itself.
    """
    return events.StatusReply(
        replica=raft.replica,
        role=raft.role.value,
        leader=raft.leader,
        term=raft.term,
        commit_index=raft.commit_index,
        config_number=ledger.config.number,
        fleet_version=ledger.fleet_version,
        processes=list(_process_statuses(processes, now_ms)),
        runners=list(_runner_statuses(ledger)),
        members=list(raft.members),
        usage=_usage_status(ledger.usage),
    )


def _usage_status(usage: state.UsageLedger) -> events.UsageStatus | None:
    if not usage.next_window:
        return None
    return events.UsageStatus(
        next_window=usage.next_window,
        unsent=len(usage.unsent),
        window=usage.settled_window,
        result=usage.result,
        holder=usage.holder,
        token=usage.token,
    )


def _process_statuses(
    processes: liveness.Processes, now_ms: int
) -> Iterator[events.ProcessStatus]:
    for name, process in sorted(processes.process_by_name.items()):
        yield events.ProcessStatus(
            name,
            process.heartbeat.kind,
            process.heartbeat.incarnation,
            process.heartbeat.config_number,
            now_ms - process.seen_ms,
        )


def _runner_statuses(ledger: state.Ledger) -> Iterator[events.RunnerStatus]:
    for name, runner in sorted(ledger.runner_by_name.items()):
        configured = ledger.config.runners[name]
        pending = runner.pending
        yield events.RunnerStatus(
            name,
            configured.service,
            configured.zone,
            runner.phase,
            runner.role,
            f"{pending.action} {pending.argument}" if pending else "",
            runner.model,
        )
