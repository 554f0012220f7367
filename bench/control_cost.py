"""Bytes and messages of control as the fleet grows, with bounds.

Run `python -m bench.control_cost`; it exits nonzero on a broken bound. The
bounds come from the budget of a node for control, 18 KB a second, at 400
entries, 1,600 runners and 2,700 patches a day over 5 replicas.
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

SIZES = (100, 400, 1_600)
ENTRY_SHARE = 4
REPLICAS = 5
RENEWALS_PER_S = 1 / 0.3
PATCHES_PER_S = 2_700 / 86_400
NODE_BYTES_PER_S = 18_000
STEP_MS = 20
WATCHED_MS = 64_000
SMALL_PATCH = {"services": {"s0": {"deadline_ms": 45_000}}}


@final
class Figure(msgspec.Struct, frozen=True):
    """One measured figure and the most it may be."""

    name: str
    value: float
    bound: float


def make_ledger(runners: int) -> state.Ledger:
    """Return a ledger with `runners` runners of 16 services."""
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
    whole = document.Document(
        number=0,
        capacity_pieces=runners * 16,
        services=services,
        runners=configured,
        accounts={},
    )
    ledger = state.Ledger()
    _patch(ledger, 0, whole)
    return ledger


def _patch(ledger: state.Ledger, base: int, change: object) -> None:
    body = msgspec.json.encode(change)
    command = commands.PatchConfig(f"p{base}", "op", base, body, 0)
    ledger_lib.apply(ledger, index=base + 1, term=1, command=command)
    assert ledger.config.number == base + 1


def wire_bytes(message: object) -> int:
    """Return the size of a message in its envelope."""
    codec: envelope.Codec[object] = envelope.Codec(
        message_type=type(message),
        key=b"k" * 32,
        sender=envelope.Sender("entry/entry-100", 1_764_796_000_000_000_000),
    )
    return len(codec.encode(message))


def renewal_bytes(
    ledger: state.Ledger, *, number: int, fleet_version: int
) -> int:
    """Return the bytes of an entry's renewal and its answer."""
    renew = control_messages.Renew(
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


def hear_all(
    processes: liveness.Processes, runners: int, number: int, now_ms: int
) -> int:
    """Let one replica's share of all processes renew; return how many."""
    names = [f"agent/runner-{i:04}" for i in range(runners)]
    names += [f"entry/entry-{i:03}" for i in range(runners // ENTRY_SHARE)]
    own = names[::REPLICAS]
    for name in own:
        kind, _, rest = name.partition("/")
        is_agent = kind == "agent"
        renew = control_messages.Renew(
            process=name,
            incarnation=1_764_796_000_000_000_000,
            kind=control_messages.ProcessKind(kind),
            config_number=number,
            fleet_version=0,
            runner=rest if is_agent else "",
            demand=[],
            engine=fleet.EngineView(fleet.Role.MIXED, "model-1@1")
            if is_agent
            else None,
        )
        liveness.record_renewal(
            processes, renew, replica="control-2", now_ms=now_ms
        )
    return len(own)


def summary_bytes_per_s(runners: int) -> float:
    """Return a follower's summary traffic with patches at the day's rate."""
    processes = liveness.Processes()
    total = 0
    patch_ms = int(1_000 / PATCHES_PER_S)
    for now_ms in range(0, WATCHED_MS, STEP_MS):
        if now_ms % 300 == 0:
            hear_all(processes, runners, now_ms // patch_ms, now_ms)
        for summary in liveness.summarize(
            processes,
            replica="control-2",
            leader_term=1,
            connected=True,
            now_ms=now_ms,
        ):
            total += wire_bytes(summary)
    return total / (WATCHED_MS / 1_000)


def idle_commands(runners: int) -> int:
    """Return how many log entries the leader of a settled fleet makes."""
    ledger = make_ledger(runners)
    processes = liveness.Processes()
    for name in ledger.runner_by_name:
        beat = peer_messages.Beat(
            f"agent/{name}",
            0,
            control_messages.ProcessKind.AGENT,
            1,
            name,
            False,
            None,
        )
        processes.process_by_name[beat.process] = liveness.Process(
            heartbeat=beat, replica="control-1", seen_ms=50_000, changed_ms=0
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
    idle, patched, changed = {}, {}, {}
    for runners in SIZES:
        ledger = make_ledger(runners)
        version = ledger.fleet_version
        idle[runners] = renewal_bytes(ledger, number=1, fleet_version=version)
        ledger.mark_changed("runner-0007")
        changed[runners] = renewal_bytes(
            ledger, number=1, fleet_version=version
        )
        version = ledger.fleet_version
        _patch(ledger, 1, SMALL_PATCH)
        patched[runners] = renewal_bytes(
            ledger, number=1, fleet_version=version
        )
    large = SIZES[-1]
    node = idle[large] * RENEWALS_PER_S + patched[large] * PATCHES_PER_S
    yield Figure("entry's bytes a second, 1,600 runners", node, 18_000)
    for name, by_size in (
        ("renewal", idle),
        ("renewal with a patch", patched),
        ("renewal with a changed runner", changed),
    ):
        yield Figure(
            f"bytes of a {name}", by_size[large], NODE_BYTES_PER_S / 10
        )
        yield Figure(
            f"bytes of a {name}, slope by runner", _slope(by_size), 0.01
        )
    summaries = {size: summary_bytes_per_s(size) for size in SIZES}
    # The leader hears every other replica within its own budget.
    yield Figure(
        "follower's summaries, bytes a second, 1,600 runners",
        summaries[large],
        NODE_BYTES_PER_S / (REPLICAS - 1),
    )
    yield Figure(
        "follower's summaries, bytes a second by runner",
        _slope(summaries),
        NODE_BYTES_PER_S / (REPLICAS - 1) / large,
    )
    yield Figure("log entries of an idle leader", idle_commands(large), 0)


def _slope(by_size: dict[int, float] | dict[int, int]) -> float:
    """Return the growth of a figure by runner, smallest to largest fleet."""
    first, last = SIZES[0], SIZES[-1]
    return (by_size[last] - by_size[first]) / (last - first)


def main() -> int:
    """Print each figure; return how many broke their bound."""
    broken = 0
    for figure in figures():
        held = figure.value <= figure.bound
        broken += not held
        word = "ok" if held else "BROKEN"
        print(f"{word:6} {figure.name}: {figure.value:.3f} <= {figure.bound:g}")
    return broken


if __name__ == "__main__":
    sys.exit(main())
