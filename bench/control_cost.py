"""Bytes and log entries of the control plane as the fleet grows.

Run `python -m bench.control_cost`; it exits nonzero on a broken bound. The
bounds follow from the control traffic that a node may have, 18 KB a second,
at 400 entries, 1,600 runners, 5 replicas and 2,700 patches a day.
"""

from collections.abc import Iterator
import sys
from typing import final

import msgspec

from wisteriawall.config import document
from wisteriawall.control import commands
from wisteriawall.control import leader_commands
from wisteriawall.control import ledger as ledger_lib
from wisteriawall.control import liveness
from wisteriawall.control import renewal
from wisteriawall.control import state
from wisteriawall.wire import control_messages
from wisteriawall.wire import envelope
from wisteriawall.wire import fleet
from wisteriawall.wire import peer_messages

FLEET_SIZES = (100, 400, 1_600)
RUNNERS_PER_ENTRY = 4
REPLICAS = 5
RENEWALS_PER_S = 1 / 0.3
PATCHES_PER_S = 2_700 / 86_400
NODE_BYTES_PER_S = 18_000
STEP_MS = 20
SIMULATED_MS = 64_000
SMALL_PATCH = {"services": {"s0": {"deadline_ms": 45_000}}}


@final
class Figure(msgspec.Struct, frozen=True):
    """One measured figure and its upper bound."""

    name: str
    value: float
    bound: float


def make_ledger(runners: int) -> state.Ledger:
    """Return a ledger that configures `runners` runners of 16 services."""
    services = {
        f"s{i}": document.Service(
            kind=document.ServiceKind.MODEL,
            share_pieces=runners,
            models=[f"model-{i}"],
        )
        for i in range(16)
    }
    configured = {
        f"runner-{i:04}": document.Runner(
            service=f"s{i % 16}",
            address=f"10.{i // 250}.{i % 250}.1:7000",
            zone=f"zone-{i % 8}",
            vm=f"vm-{i:04}",
        )
        for i in range(runners)
    }
    configuration = document.Document(
        number=0,
        capacity_pieces=runners * 16,
        services=services,
        runners=configured,
        accounts={},
    )
    ledger = state.Ledger()
    _patch(ledger, 0, configuration)
    return ledger


def _patch(ledger: state.Ledger, base_number: int, change: object) -> None:
    body = msgspec.json.encode(change)
    command = commands.PatchConfig(
        f"p{base_number}", "op", base_number, body, 0
    )
    ledger_lib.apply(ledger, index=base_number + 1, term=1, command=command)
    assert ledger.config.number == base_number + 1


def wire_bytes(message: object) -> int:
    """Return the encoded size of a message with its envelope."""
    codec: envelope.Codec[object] = envelope.Codec(
        message_type=type(message),
        key=b"k" * 32,
        sender=envelope.Sender("entry/entry-100", 1_764_796_000_000_000_000),
    )
    return len(codec.encode(message))


def renewal_bytes(
    ledger: state.Ledger, *, number: int, fleet_version: int
) -> int:
    """Return the bytes of an entry's lease renewal and of the grant.

    `number` and `fleet_version` are what the entry already has.
    """
    renew = control_messages.RenewRequest(
        process="entry/entry-100",
        incarnation=1_764_796_000_000_000_000,
        kind=control_messages.ProcessKind.ENTRY,
        config_number=number,
        fleet_version=fleet_version,
        runner="",
        demand=[fleet.ServiceDemand(f"s{i}", 90_000, 9_000) for i in range(9)],
    )
    grant = renewal.grant_lease(
        ledger,
        renew,
        size=renewal.DocumentSizeCache(),
        age_ms=100,
        leader="control-1",
    )
    assert grant is not None
    return wire_bytes(renew) + wire_bytes(grant)


def record_renewals(
    processes: liveness.Processes, runners: int, number: int, now_ms: int
) -> int:
    """Record a renewal of every process of one replica; return how many."""
    names = [f"agent/runner-{i:04}" for i in range(runners)]
    names += [
        f"entry/entry-{i:03}" for i in range(runners // RUNNERS_PER_ENTRY)
    ]
    replica_processes = names[::REPLICAS]
    for name in replica_processes:
        kind, _, runner = name.partition("/")
        is_agent = kind == "agent"
        renew = control_messages.RenewRequest(
            process=name,
            incarnation=1_764_796_000_000_000_000,
            kind=control_messages.ProcessKind(kind),
            config_number=number,
            fleet_version=0,
            runner=runner if is_agent else "",
            demand=[],
            engine=fleet.EngineStatus(fleet.Role.MIXED, "model-1@1")
            if is_agent
            else None,
        )
        liveness.record_renewal(
            processes, renew, replica="control-2", now_ms=now_ms
        )
    return len(replica_processes)


def summary_bytes_per_s(runners: int) -> float:
    """Return a follower's summary traffic at the daily rate of patches."""
    processes = liveness.Processes()
    total_bytes = 0
    patch_ms = int(1_000 / PATCHES_PER_S)
    for now_ms in range(0, SIMULATED_MS, STEP_MS):
        if now_ms % 300 == 0:
            record_renewals(processes, runners, now_ms // patch_ms, now_ms)
        for summary in liveness.summarize(
            processes,
            replica="control-2",
            leader_term=1,
            connected=True,
            now_ms=now_ms,
        ):
            total_bytes += wire_bytes(summary)
    return total_bytes / (SIMULATED_MS / 1_000)


def idle_log_entries(runners: int) -> int:
    """Return how many log entries the leader of an unchanged fleet adds."""
    ledger = make_ledger(runners)
    processes = liveness.Processes()
    for name in ledger.runner_by_name:
        beat = peer_messages.ProcessHeartbeat(
            f"agent/{name}",
            0,
            control_messages.ProcessKind.AGENT,
            1,
            name,
            False,
            None,
        )
        processes.process_by_name[beat.process] = liveness.Process(
            heartbeat=beat,
            replica="control-1",
            seen_ms=50_000,
            changed_ms=0,
            since_ms=0,
        )
    context = leader_commands.LeaderContext(
        ledger=ledger,
        processes=processes,
        vm_by_name=None,
        term=1,
        leader_since_ms=0,
        now_ms=50_000,
        wall_ms=50_000,
    )
    return sum(1 for _ in leader_commands.due_commands(context))


def figures() -> Iterator[Figure]:
    """Yield every figure with its bound."""
    unchanged_bytes, patched_bytes, changed_bytes = {}, {}, {}
    for runners in FLEET_SIZES:
        ledger = make_ledger(runners)
        version = ledger.fleet_version
        unchanged_bytes[runners] = renewal_bytes(
            ledger, number=1, fleet_version=version
        )
        ledger.mark_changed("runner-0007")
        changed_bytes[runners] = renewal_bytes(
            ledger, number=1, fleet_version=version
        )
        version = ledger.fleet_version
        _patch(ledger, 1, SMALL_PATCH)
        patched_bytes[runners] = renewal_bytes(
            ledger, number=1, fleet_version=version
        )
    largest = FLEET_SIZES[-1]
    entry_bytes_per_s = (
        unchanged_bytes[largest] * RENEWALS_PER_S
        + patched_bytes[largest] * PATCHES_PER_S
    )
    yield Figure(
        "entry's bytes a second, 1,600 runners", entry_bytes_per_s, 18_000
    )
    for name, value_by_size in (
        ("renewal", unchanged_bytes),
        ("renewal with a patch", patched_bytes),
        ("renewal with a changed runner", changed_bytes),
    ):
        yield Figure(
            f"bytes of a {name}", value_by_size[largest], NODE_BYTES_PER_S / 10
        )
        yield Figure(
            f"bytes of a {name}, slope by runner",
            _growth_per_runner(value_by_size),
            0.01,
        )
    summary_bytes_by_size = {
        size: summary_bytes_per_s(size) for size in FLEET_SIZES
    }
    # The leader receives the summaries of all followers within one budget.
    yield Figure(
        "follower's summaries, bytes a second, 1,600 runners",
        summary_bytes_by_size[largest],
        NODE_BYTES_PER_S / (REPLICAS - 1),
    )
    yield Figure(
        "follower's summaries, bytes a second by runner",
        _growth_per_runner(summary_bytes_by_size),
        NODE_BYTES_PER_S / (REPLICAS - 1) / largest,
    )
    yield Figure("log entries of an idle leader", idle_log_entries(largest), 0)


def _growth_per_runner(
    value_by_size: dict[int, float] | dict[int, int],
) -> float:
    """Return the growth for each runner, from smallest to largest fleet."""
    smallest, largest = FLEET_SIZES[0], FLEET_SIZES[-1]
    return (value_by_size[largest] - value_by_size[smallest]) / (
        largest - smallest
    )


def main() -> int:
    """Print each figure; return how many exceed their bound."""
    broken = 0
    for figure in figures():
        is_within_bound = figure.value <= figure.bound
        broken += not is_within_bound
        verdict = "ok" if is_within_bound else "BROKEN"
        print(
            f"{verdict:6} {figure.name}: {figure.value:.3f} <= {figure.bound:g}"
        )
    return broken


if __name__ == "__main__":
    sys.exit(main())
