"""Tests of the merging and fixing of usage."""

import dataclasses

import msgspec
import pytest

from wisteriawall.control import commands
from wisteriawall.control import ledger
from wisteriawall.control import snapshot
from wisteriawall.control import state
from wisteriawall.control import usage as lib
from wisteriawall.gateway import usage as gateway_usage
from wisteriawall.wire import gateway_messages

WINDOW_MS = 5_000
START_MS = 1_000_000
FIRST = START_MS // WINDOW_MS
END_MS = START_MS + WINDOW_MS
SETTINGS = lib.UsageSettings(window_ms=WINDOW_MS, late_ms=10_000)
ACCOUNTS = frozenset({"acme", "beta"})


class Leader:
    """A leader whose log commits at once; its clocks show the same time.

    With `commits` unset, commands are lost.
    """

    def __init__(self, ledger_state: state.Ledger | None = None) -> None:
        """Start as a new leader with a ledger, an empty one by default."""
        self.merger = lib.UsageMerger(settings=SETTINGS)
        self.ledger = ledger_state or state.Ledger()
        self.commits = True
        self.findings: list[lib.Finding] = []
        self.commands: list[commands.Command] = []

    def follow(
        self,
        now_ms: int,
        counts: dict[int, dict[str, int]],
        *,
        version: int,
        gateway: str = "g",
        incarnation: int = 1,
        wall_ms: int | None = None,
        open_ms: int = 0,
    ) -> gateway_messages.UsageReceipt:
        """Handle the report of a gateway; return the receipt."""
        report = gateway_messages.UsageReport(
            version, now_ms if wall_ms is None else wall_ms, counts, open_ms
        )
        return self.receive(report, now_ms, gateway, incarnation)

    def receive(
        self,
        report: gateway_messages.UsageReport | None,
        now_ms: int,
        gateway: str = "g",
        incarnation: int = 1,
    ) -> gateway_messages.UsageReceipt:
        """Handle a report as it is read from the network."""
        request = gateway_messages.FollowRequest(
            gateway, incarnation, "a:1", 0, (0, 0), usage=report
        )
        decoded = msgspec.msgpack.decode(
            msgspec.msgpack.encode(request), type=type(request)
        )
        self.findings += lib.note_report(
            self.merger,
            self.ledger.usage,
            decoded,
            accounts=ACCOUNTS,
            now_ms=now_ms,
            wall_ms=now_ms,
        )
        self.tick(now_ms)
        return lib.receipt(self.merger, self.ledger.usage, decoded)

    def tick(self, now_ms: int, *, wall_ms: int | None = None) -> None:
        """Commit what is due."""
        for command in lib.due_commands(
            self.merger,
            self.ledger.usage,
            leading_ms=lib.LEADING_MS,
            now_ms=now_ms,
            wall_ms=now_ms if wall_ms is None else wall_ms,
        ):
            self.commands.append(command)
            if self.commits:
                ledger.apply(
                    self.ledger,
                    index=len(self.commands),
                    term=1,
                    command=commands.decode(commands.encode(command)),
                )

    def reports(self) -> dict[int, dict[str, int]]:
        """Return the fixed reports."""
        return {
            report.window: report.count_by_account
            for report in self.ledger.usage.unsent
        }

    def faults(self) -> list[object]:
        """Return the faults that were found."""
        return [f.inputs.get("fault", f.decision) for f in self.findings]


def started() -> Leader:
    """Return a leader whose first window has begun."""
    leader = Leader()
    leader.follow(START_MS, {}, version=0)
    return leader


def test_gateways_and_their_starts_are_added_up() -> None:
    leader = started()
    leader.follow(START_MS + 100, {FIRST: {"acme": 2}}, version=2)
    leader.follow(
        START_MS + 200, {FIRST: {"acme": 3}}, version=3, incarnation=2
    )
    leader.follow(START_MS + 300, {FIRST: {"beta": 1}}, version=1, gateway="h")
    leader.tick(END_MS + 9_000)
    assert leader.reports()[FIRST] == {"acme": 5, "beta": 1}


def test_repeated_and_overtaken_reports_change_nothing() -> None:
    leader = started()
    leader.follow(START_MS + 100, {FIRST: {"acme": 5}}, version=5)
    leader.follow(START_MS + 700, {FIRST: {"acme": 2}}, version=2)
    leader.follow(START_MS + 1_300, {FIRST: {"acme": 5}}, version=5)
    leader.tick(END_MS + 9_000)
    assert leader.reports()[FIRST] == {"acme": 5}


def test_next_leader_has_all_that_a_receipt_names() -> None:
    leader = started()
    assert leader.follow(
        START_MS + 100, {FIRST: {"acme": 5}}, version=5
    ).version in (0, 5)
    receipt = leader.follow(START_MS + 700, {}, version=5)
    assert receipt.version == 5
    restored = snapshot.decode(snapshot.encode(leader.ledger))
    successor = Leader(restored)
    successor.tick(END_MS + 9_000)
    assert successor.reports()[FIRST] == {"acme": 5}


def test_report_outlives_the_leader_that_fixed_it() -> None:
    leader = started()
    leader.follow(START_MS + 100, {FIRST: {"acme": 5}}, version=5)
    leader.tick(END_MS + 9_000)
    fixed = leader.reports()
    successor = Leader(snapshot.decode(snapshot.encode(leader.ledger)))
    successor.follow(END_MS + 9_500, {FIRST: {"acme": 9}}, version=9)
    successor.tick(END_MS + 9_900)
    assert successor.reports()[FIRST] == fixed[FIRST]
    assert [f.inputs["lost"] for f in successor.findings] == [4]


def test_lost_commands_are_proposed_again() -> None:
    leader = started()
    leader.commits = False
    leader.follow(START_MS + 600, {FIRST: {"acme": 5}}, version=5)
    leader.tick(END_MS + 5_000)
    leader.commits = True
    leader.tick(END_MS + 5_100)
    assert leader.reports() == {}
    leader.tick(END_MS + 5_000 + lib.PROPOSED_MS)
    assert leader.reports()[FIRST] == {"acme": 5}


@pytest.mark.parametrize(
    ("behind_ms", "open_since_ms", "fixed_ms"),
    [
        pytest.param(0, None, 1_500, id="in-time"),
        pytest.param(2_000, None, 2_400, id="clock-behind"),
        pytest.param(3_600_000, None, 5_000, id="clock-far-behind"),
        pytest.param(0, END_MS - 100, 5_000, id="open-request"),
    ],
)
def test_window_waits_for_live_gateways_but_not_for_long(
    behind_ms: int, open_since_ms: int | None, fixed_ms: int
) -> None:
    leader = started()
    elapsed_ms = 0
    while not leader.reports():
        now_ms = END_MS + elapsed_ms
        open_ms = 0 if open_since_ms is None else now_ms - open_since_ms
        report = gateway_messages.UsageReport(
            0, now_ms - behind_ms, {}, open_ms
        )
        leader.receive(report, now_ms)
        leader.follow(now_ms, {}, version=0, gateway="h")
        elapsed_ms += 100
    assert leader.reports() == {FIRST: {}}
    assert elapsed_ms - 100 == fixed_ms


def test_first_report_is_about_the_window_of_the_start() -> None:
    """The windows until the first leader was elected were never reported."""
    leader = Leader()
    leader.receive(gateway_messages.UsageReport(0, START_MS), START_MS - 600)
    leader.ledger.usage.next_window = 0
    due = lib.due_commands(
        leader.merger,
        leader.ledger.usage,
        leading_ms=0,
        now_ms=START_MS,
        wall_ms=START_MS,
        running_ms=WINDOW_MS + 1,
    )
    assert [
        command.first_window
        for command in due
        if isinstance(command, commands.RecordUsage)
    ] == [FIRST - 2]


def test_windows_without_processes_are_reported_as_empty() -> None:
    leader = started()
    successor = Leader(leader.ledger)
    successor.tick(START_MS + 20 * WINDOW_MS)
    assert sorted(successor.reports()) == list(range(FIRST, FIRST + 19))


def test_unsent_reports_are_bounded() -> None:
    leader = started()
    leader.tick(START_MS + 10_000 * WINDOW_MS)
    assert len(leader.reports()) == lib.MAX_UNSENT
    assert leader.ledger.usage.next_window > FIRST + 9_000


@pytest.mark.parametrize("step_ms", [-3_600_000, 3_600_000])
def test_step_of_the_leaders_clock_fixes_no_other_window(step_ms: int) -> None:
    """A step forward fixed the windows of the next hour as empty."""
    leader = started()
    for number, name in enumerate(("g", "h", "i")):
        leader.follow(START_MS + 10 + number, {}, version=0, gateway=name)
    leader.tick(START_MS + 1_000, wall_ms=START_MS + 1_000 + step_ms)
    assert leader.ledger.usage.next_window == FIRST
    assert leader.reports() == {}


@pytest.mark.parametrize("step_ms", [-3_600_000, 3_600_000])
def test_step_of_a_gateways_clock_is_found(step_ms: int) -> None:
    leader = started()
    leader.follow(
        START_MS + 600,
        {(START_MS + step_ms) // WINDOW_MS: {"acme": 3}},
        version=3,
        gateway="h",
        wall_ms=START_MS + step_ms,
    )
    assert leader.faults() == ["window"]
    leader.tick(END_MS + 9_000)
    assert leader.reports()[FIRST] == {}


@pytest.mark.parametrize(
    ("counts", "fault"),
    [
        pytest.param({FIRST: {"acme": 2**63}}, "count", id="huge"),
        pytest.param({FIRST: {"acme": -1}}, "count", id="negative"),
        pytest.param({FIRST: {"": 1}}, "account-name", id="unnamed"),
        pytest.param({FIRST: {"a" * 999: 1}}, "account-name", id="long"),
        pytest.param({2**63: {"acme": 1}}, "window", id="future"),
        pytest.param({-1: {"acme": 1}}, "window", id="negative-window"),
    ],
)
def test_malformed_counts_are_logged_and_dropped(
    counts: dict[int, dict[str, int]], fault: str
) -> None:
    leader = started()
    receipt = leader.follow(START_MS + 600, counts, version=1)
    assert leader.faults() == [fault]
    assert receipt.version == 1
    leader.tick(END_MS + 9_000)
    assert leader.reports()[FIRST] == {}
    assert snapshot.decode(snapshot.encode(leader.ledger)) == leader.ledger


def test_account_that_was_removed_is_counted_and_logged() -> None:
    leader = started()
    leader.follow(START_MS + 600, {FIRST: {"gone": 2}}, version=1)
    leader.tick(END_MS + 9_000)
    assert leader.reports()[FIRST] == {"gone": 2}
    assert leader.faults() == ["account-unknown"]


def test_counts_of_a_gateway_are_bounded() -> None:
    leader = started()
    counts = {f"a{n}": 1 for n in range(lib.MAX_GATEWAY_CELLS + 5)}
    leader.follow(START_MS + 600, {FIRST: counts}, version=1)
    assert "too-many" in leader.faults()
    assert len(leader.ledger.usage.counts[FIRST]["g/1"]) == (
        lib.MAX_GATEWAY_CELLS
    )


def test_old_replicas_get_no_commands_before_gateways_ask() -> None:
    leader = Leader()
    leader.receive(None, START_MS)
    leader.tick(START_MS + 1_000)
    assert leader.commands == []


def test_ledger_of_an_older_version_is_decoded() -> None:
    old = msgspec.to_builtins(
        {
            f.name: getattr(state.Ledger(), f.name)
            for f in dataclasses.fields(state.Ledger)
            if f.name != "usage"
        }
    )
    decoded = snapshot.decode(msgspec.msgpack.encode(old))
    assert decoded.usage == state.UsageLedger()


def test_gateway_and_leader_agree_although_polls_are_lost() -> None:
    """Counts were lost or counted twice when calls or answers were lost."""
    leader = started()
    counts = gateway_usage.UsageCounts(window_ms=WINDOW_MS)
    for number in range(200):
        now_ms = START_MS + number * 50
        counts.add("acme" if number % 3 else "beta", now_ms)
        if number % 7 == 0:
            continue
        receipt = leader.receive(counts.report(now_ms), now_ms)
        if number % 5:
            counts.accept(receipt)
    leader.tick(START_MS + 20_000)
    reports = leader.reports()
    totals = [sum(reports[FIRST + k].values()) for k in (0, 1)]
    assert totals == [100, 100]
    assert leader.findings == []


def test_report_is_small_once_everything_is_committed() -> None:
    leader = started()
    counts = gateway_usage.UsageCounts(window_ms=WINDOW_MS)
    counts.add("acme", START_MS)
    for now_ms in (START_MS + 600, START_MS + 1_200):
        counts.accept(leader.receive(counts.report(now_ms), now_ms))
    report = counts.report(START_MS + 1_300)
    assert report is not None
    assert report.count_by_account_by_window == {}
    assert counts.is_committed


@pytest.mark.parametrize("step_ms", [-9_000_000, 9_000_000])
def test_gateways_counts_are_bounded(step_ms: int) -> None:
    counts = gateway_usage.UsageCounts(window_ms=WINDOW_MS)
    counts.add("acme", START_MS * 10 + step_ms)
    for number in range(100):
        counts.add("acme", START_MS * 10 + number * WINDOW_MS)
    assert len(counts.windows) == gateway_usage.MAX_WINDOWS
    assert counts.lost == 101 - gateway_usage.MAX_WINDOWS


def test_counts_without_an_account_or_a_duty_are_not_kept() -> None:
    counts = gateway_usage.UsageCounts(window_ms=WINDOW_MS)
    assert not counts.add("", START_MS)
    assert not gateway_usage.UsageCounts().add("acme", START_MS)
    assert gateway_usage.UsageCounts().report(START_MS) is None
