"""Usage of client accounts: merging of counts, and fixing of windows.

Gateways report cumulative counts by window and account. The leader commits what
changed, and when a window has been over for a while it fixes the window's sum.
What is fixed never changes, so that whoever leads sends the same report.
"""

import collections
from collections.abc import Iterator
import dataclasses
import statistics
from typing import TypeAlias
from typing import final

from wisteriawall.control import commands
from wisteriawall.control import state
from wisteriawall.wire import gateway_messages

__all__ = [
    "MAX_UNSENT",
    "Finding",
    "UsageMerger",
    "UsageSettings",
    "apply",
    "due_commands",
    "is_active",
    "note_report",
    "receipt",
    "window_time_ms",
]

# Counts by window and account.
Counts: TypeAlias = dict[int, dict[str, int]]

COMMIT_INTERVAL_MS = 500
# Two polls of a gateway, with a call that was lost in between.
FIX_AFTER_MS = 1_500
# A first token may be counted this much later than it is timed.
REPORTED_PAST_MS = 400
# A gateway that has not reported for this time is taken for lost.
HEARD_KEPT_MS = 3_000
# A new leader hears of all live gateways first.
LEADING_MS = 1_500
# Longest time from the start of a leader's process to the first window.
MAX_START_MS = 30_000
# A command that is not applied after this time is proposed again.
PROPOSED_MS = 2_000
# Counts of fixed windows that are kept, to tell how many came too late.
KEPT_FIXED_WINDOWS = 4
# Windows after the current one that may have counts, as clocks differ.
MAX_WINDOWS_AHEAD = 2
# Reports that wait for the platform; older ones are dropped.
MAX_UNSENT = 120
MAX_COUNT = 1_000_000_000
MAX_NAME_LENGTH = 256
# Counts by window, gateway and account in memory, and in the ledger.
MAX_CELLS = 50_000
MAX_GATEWAY_CELLS = 10_000
MAX_COMMAND_CELLS = 10_000
MAX_GATEWAYS = 512
# Fault of a count that is kept nevertheless.
UNKNOWN_ACCOUNT = "account-unknown"


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class UsageSettings:
    """Length of a window, and how long after its end its report is due."""

    window_ms: int
    late_ms: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Finding:
    """A decision on usage, or a fault of a report, for the log."""

    decision: str
    inputs: dict[str, object]


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class _Pending:
    """Counts of a gateway that may not be committed yet."""

    version: int = 0
    counts: Counts = dataclasses.field(default_factory=dict)

    @property
    def cells(self) -> int:
        return sum(map(len, self.counts.values()))


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Heard:
    """Clock of a gateway, as a report named it at `now_ms`.

    Every request that began before `counted_to_ms`, on that clock, is counted.
    """

    wall_ms: int
    counted_to_ms: int
    now_ms: int


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class UsageMerger:
    """What the leader knows beyond the ledger.

    `settings` is None in a deployment without usage reports. `is_asked` is set
    once a gateway has reported usage: older replicas, which can't apply the
    commands, are upgraded before gateways.
    """

    settings: UsageSettings | None = None
    is_asked: bool = False
    pending_by_gateway: dict[str, _Pending] = dataclasses.field(
        default_factory=dict
    )
    heard_by_gateway: dict[str, _Heard] = dataclasses.field(
        default_factory=dict
    )
    committed_ms: int = -COMMIT_INTERVAL_MS
    fix_proposed: tuple[int, int] = (-1, -PROPOSED_MS)


def apply(
    usage: state.UsageLedger,
    command: commands.RecordUsage | commands.FixUsage | commands.SettleUsage,
) -> None:
    """Apply a committed command."""
    match command:
        case commands.RecordUsage():
            _record(usage, command)
        case commands.FixUsage(window):
            _fix(usage, window)
        case commands.SettleUsage(window, result, holder, token):
            if any(report.window == window for report in usage.unsent):
                usage.unsent = [r for r in usage.unsent if r.window != window]
                usage.settled_window, usage.result = window, result
                usage.holder, usage.token = holder, token


def _record(usage: state.UsageLedger, command: commands.RecordUsage) -> None:
    usage.next_window = usage.next_window or command.first_window
    oldest = usage.next_window - KEPT_FIXED_WINDOWS
    room = MAX_CELLS - sum(
        len(counts)
        for counts_by_gateway in usage.counts.values()
        for counts in counts_by_gateway.values()
    )
    for reported in command.gateways:
        name = reported.gateway
        for window, counts in reported.count_by_account_by_window.items():
            if window < oldest or len(counts) > room:
                continue
            known = usage.counts.setdefault(window, {}).setdefault(name, {})
            room -= len(counts.keys() - known.keys())
            _merge(known, counts)
        # The newest are last, so that the oldest can be dropped.
        version = usage.version_by_gateway.pop(name, 0)
        usage.version_by_gateway[name] = max(version, reported.version)
    while len(usage.version_by_gateway) > MAX_GATEWAYS:
        del usage.version_by_gateway[next(iter(usage.version_by_gateway))]


def _fix(usage: state.UsageLedger, window: int) -> None:
    first = max(usage.next_window, window - MAX_UNSENT + 1)
    for fixed in range(first, window + 1):
        sums: dict[str, int] = {}
        for counts in usage.counts.get(fixed, {}).values():
            for account, count in counts.items():
                sums[account] = sums.get(account, 0) + count
        usage.unsent.append(
            state.UsageWindow(fixed, dict(sorted(sums.items())))
        )
    del usage.unsent[:-MAX_UNSENT]
    usage.next_window = max(usage.next_window, window + 1)
    oldest = usage.next_window - KEPT_FIXED_WINDOWS
    usage.counts = {w: c for w, c in usage.counts.items() if w >= oldest}


def _merge(known: dict[str, int], counts: dict[str, int]) -> None:
    """Keep the larger one of two counts."""
    for account, count in counts.items():
        known[account] = max(known.get(account, 0), count)


def is_active(merger: UsageMerger, usage: state.UsageLedger) -> bool:
    """Return whether commands about usage may be proposed."""
    return merger.settings is not None and (
        merger.is_asked or usage.next_window > 0
    )


def receipt(
    merger: UsageMerger,
    usage: state.UsageLedger,
    request: gateway_messages.FollowRequest,
) -> gateway_messages.UsageReceipt:
    """Return what is committed of a gateway's reports."""
    if merger.settings is None:
        return gateway_messages.UsageReceipt()
    version = usage.version_by_gateway.get(_incarnation(request), 0)
    return gateway_messages.UsageReceipt(version, usage.next_window)


def note_report(
    merger: UsageMerger,
    usage: state.UsageLedger,
    request: gateway_messages.FollowRequest,
    *,
    accounts: frozenset[str],
    now_ms: int,
    wall_ms: int,
) -> Iterator[Finding]:
    """Merge the usage that a gateway reports; yield what is odd about it.

    Counts of accounts that the table in force doesn't have are kept: one that
    was removed a moment ago may have used the system before.

    Args:
        merger: State to update.
        usage: The committed usage.
        request: Request of the gateway.
        accounts: Names of the accounts of the table in force.
        now_ms: Monotonic time.
        wall_ms: Unix time of this replica.
    """
    settings, report = merger.settings, request.usage
    if settings is None or report is None:
        return
    merger.is_asked = True
    merger.heard_by_gateway[request.gateway] = _Heard(
        wall_ms=report.wall_ms,
        counted_to_ms=report.wall_ms - max(0, report.open_ms),
        now_ms=now_ms,
    )
    name = _incarnation(request)
    committed = usage.version_by_gateway.get(name, 0)
    pending = merger.pending_by_gateway.get(name)
    if report.version <= max(committed, pending.version if pending else 0):
        # Sent again, or overtaken by a later report.
        return
    if pending is None:
        pending = merger.pending_by_gateway[name] = _Pending()
    pending.version = report.version
    time_ms = window_time_ms(merger, now_ms=now_ms, wall_ms=wall_ms)
    newest = time_ms // settings.window_ms + MAX_WINDOWS_AHEAD
    tally = _Tally(
        room=min(
            MAX_GATEWAY_CELLS - pending.cells,
            MAX_CELLS
            - sum(p.cells for p in merger.pending_by_gateway.values()),
        )
    )
    for window, counts in report.count_by_account_by_window.items():
        if not usage.next_window - KEPT_FIXED_WINDOWS <= window <= newest:
            tally.faults["window"] += len(counts)
            continue
        known = pending.counts.get(window, {})
        stored = usage.counts.get(window, {}).get(name, {})
        missed = _merge_report(known, stored, counts, accounts, tally)
        if known:
            pending.counts[window] = known
        if missed and window < usage.next_window:
            yield Finding(
                decision="usage-late",
                inputs={"gateway": name, "window": window, "lost": missed},
            )
    for fault, number in tally.faults.items():
        yield Finding(
            decision="usage-odd",
            inputs={"gateway": name, "fault": fault, "counts": number},
        )


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class _Tally:
    """Faults of a report, and for how many more counts there is room."""

    room: int
    faults: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


def _merge_report(
    known: dict[str, int],
    stored: dict[str, int],
    counts: dict[str, int],
    accounts: frozenset[str],
    tally: _Tally,
) -> int:
    """Merge the valid counts of one window into `known`.

    Returns:
        How many requests neither `known` nor `stored` had.
    """
    added = 0
    for account, count in counts.items():
        fault = _find_fault(account, count, accounts)
        if account not in known and tally.room <= 0:
            fault = "too-many"
        if fault:
            tally.faults[fault] += 1
        if fault not in ("", UNKNOWN_ACCOUNT):
            continue
        tally.room -= account not in known
        before = max(stored.get(account, 0), known.get(account, 0))
        known[account] = max(before, count)
        added += known[account] - before
    return added


def _find_fault(account: str, count: int, accounts: frozenset[str]) -> str:
    """Return what is wrong with a count, empty if nothing is."""
    if not 0 < len(account) <= MAX_NAME_LENGTH:
        return "account-name"
    if not 0 < count <= MAX_COUNT:
        return "count"
    return "" if account in accounts else UNKNOWN_ACCOUNT


def window_time_ms(merger: UsageMerger, *, now_ms: int, wall_ms: int) -> int:
    """Return the Unix time on which most gateways and this replica agree.

    A step of one clock, also of the leader's, then ends no window too early.
    """
    for name, heard in list(merger.heard_by_gateway.items()):
        if now_ms - heard.now_ms > HEARD_KEPT_MS:
            del merger.heard_by_gateway[name]
    return statistics.median_low(
        [
            wall_ms,
            *(
                heard.wall_ms + now_ms - heard.now_ms
                for heard in merger.heard_by_gateway.values()
            ),
        ]
    )


def due_commands(
    merger: UsageMerger,
    usage: state.UsageLedger,
    *,
    leading_ms: int,
    now_ms: int,
    wall_ms: int,
    running_ms: int = 0,
) -> Iterator[commands.Command]:
    """Yield the commands that are due.

    Args:
        merger: State of the leader.
        usage: The committed usage.
        leading_ms: How long this replica has been the leader.
        running_ms: How long this process has run; the first report is about the
            window of its start.
        now_ms: Monotonic time.
        wall_ms: Unix time of this replica.
    """
    settings = merger.settings
    if settings is None or not is_active(merger, usage):
        return
    time_ms = window_time_ms(merger, now_ms=now_ms, wall_ms=wall_ms)
    for name, pending in list(merger.pending_by_gateway.items()):
        if pending.version <= usage.version_by_gateway.get(name, 0):
            del merger.pending_by_gateway[name]
    fixed = _window_to_fix(merger, usage, settings, time_ms, leading_ms, now_ms)
    is_due = bool(merger.pending_by_gateway) or not usage.next_window
    waited_ms = now_ms - merger.committed_ms
    if is_due and (waited_ms >= COMMIT_INTERVAL_MS or fixed is not None):
        merger.committed_ms = now_ms
        started_ms = time_ms - max(0, min(running_ms, MAX_START_MS))
        first_window = max(1, started_ms // settings.window_ms)
        for gateways in _commands_of(merger):
            yield commands.RecordUsage(gateways, first_window, wall_ms)
    if fixed is not None:
        merger.fix_proposed = (fixed, now_ms)
        yield commands.FixUsage(fixed, wall_ms)


def _commands_of(
    merger: UsageMerger,
) -> Iterator[list[commands.GatewayUsage]]:
    """Yield the gateways' counts of each command, which is of limited size."""
    gateways: list[commands.GatewayUsage] = []
    cells = 0
    for name, pending in merger.pending_by_gateway.items():
        if gateways and cells + pending.cells > MAX_COMMAND_CELLS:
            yield gateways
            gateways, cells = [], 0
        cells += pending.cells
        gateways.append(
            commands.GatewayUsage(name, pending.version, pending.counts)
        )
    yield gateways


def _window_to_fix(
    merger: UsageMerger,
    usage: state.UsageLedger,
    settings: UsageSettings,
    time_ms: int,
    leading_ms: int,
    now_ms: int,
) -> int | None:
    """Return the newest window that is to be fixed now, None without one."""
    if not usage.next_window or leading_ms < LEADING_MS:
        return None
    newest = (time_ms - FIX_AFTER_MS) // settings.window_ms - 1
    latest_ms = max(FIX_AFTER_MS, settings.late_ms // 2)
    overdue = (time_ms - latest_ms) // settings.window_ms - 1
    for heard in merger.heard_by_gateway.values():
        reported_ms = heard.counted_to_ms - REPORTED_PAST_MS
        reported = reported_ms // settings.window_ms - 1
        newest = min(newest, max(reported, overdue))
    proposed, proposed_ms = merger.fix_proposed
    is_pending = newest <= proposed and now_ms - proposed_ms < PROPOSED_MS
    if newest < usage.next_window or is_pending:
        return None
    return newest


def _incarnation(request: gateway_messages.FollowRequest) -> str:
    """Return a name that differs between the starts of a gateway."""
    return f"{request.gateway}/{request.incarnation}"
