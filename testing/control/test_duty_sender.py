"""Tests of the thread that makes the calls of duties."""

from collections.abc import Callable

import pytest

from wisteriawall.control import duties
from wisteriawall.control import duty_sender as lib
from wisteriawall.control import events
from wisteriawall.control import state
from wisteriawall.observability import metrics
from wisteriawall.wire import control_messages

REPORT = state.UsageWindow(7, {"acme": 3})


class Replica:
    """A replica whose leadership and log a test sets.

    `may_acts` are the answers to the next checks of its right to act, the last
    one of which stays.
    """

    def __init__(self, token: int = 4) -> None:
        """Lead with one report to send."""
        self.is_leader = True
        self.token = token
        self.may_acts = [True]
        self.commits = True
        self.overdue_ms = -8_000
        self.unsent = [REPORT]
        self.settled: list[events.SettleUsageRequest] = []

    def may_act(self, *, token: int, lease_ms: int) -> bool:
        """Return the next answer."""
        assert (token, lease_ms) == (self.token, 3_000)
        if len(self.may_acts) > 1:
            return self.may_acts.pop(0)
        return self.may_acts[0]

    def call(self, request: events.Request) -> events.Reply:
        """Answer as the reducer does."""
        match request:
            case events.DueUsageRequest():
                report = self.unsent[0] if self.unsent else None
                return events.DueUsageReply(
                    self.token, report, self.overdue_ms, 10_000
                )
            case events.SettleUsageRequest():
                self.settled.append(request)
                if not self.commits:
                    return events.Unavailable("leadership lost")
                self.unsent = [
                    r for r in self.unsent if r.window != request.window
                ]
                return events.UsageSettled(request.window)
            case _:
                return control_messages.NotLeader("")


class Platform:
    """Platform that fails with the next of `errors`, if there is one."""

    def __init__(self, *errors: Exception) -> None:
        """Take no call yet."""
        self.errors = list(errors)
        self.calls: list[tuple[state.UsageWindow, int]] = []

    def send(
        self,
        report: state.UsageWindow,
        token: int,
        check: Callable[[], None],
    ) -> None:
        """Take a call, once connected."""
        check()
        self.calls.append((report, token))
        if self.errors:
            raise self.errors.pop(0)


class Fixture:
    """A sender with a replica and a platform, without pauses."""

    def __init__(self, replica: Replica, platform: Platform) -> None:
        """Create the sender."""
        self.decisions: list[tuple[str, dict[str, object]]] = []
        self.sender = lib.DutySender(
            leader=replica,
            holder="vm-1",
            settings=duties.DutySettings(lease_ms=3_000, per_s=1e9),
            send_usage=platform.send,
            on_decision=lambda name, inputs: self.decisions.append(
                (name, inputs)
            ),
            metrics=metrics.NullMetrics(),
        )

    def act(self, times: int = 1) -> None:
        """Let the sender act, whatever pause it made."""
        for _ in range(times):
            self.sender._pacing.due_ms = 0
            self.sender.act_once()

    def names(self) -> list[str]:
        """Return the decisions so far."""
        return [name for name, _ in self.decisions]


def test_report_is_sent_once_and_its_acceptance_committed() -> None:
    replica, platform = Replica(), Platform()
    fixture = Fixture(replica, platform)
    fixture.act(3)
    assert platform.calls == [(REPORT, 4)]
    assert replica.settled == [
        events.SettleUsageRequest(7, "accepted", "vm-1", 4)
    ]
    assert fixture.names() == ["duty-acquired", "usage-sent"]


@pytest.mark.parametrize(
    "error", [lib.DutyFailed("got status 429"), lib.DutyFailed("lost")]
)
def test_report_is_sent_again_without_change(error: Exception) -> None:
    replica, platform = Replica(), Platform(error, error)
    fixture = Fixture(replica, platform)
    fixture.act(5)
    assert platform.calls == [(REPORT, 4)] * 3
    assert fixture.names().count("usage-failed") == 2
    assert len(replica.settled) == 1


def test_next_leader_sends_the_report_that_the_last_one_did_not() -> None:
    first, second = Replica(4), Replica(9)
    lost = Platform(lib.DutyFailed("reset"))
    Fixture(first, lost).act()
    platform = Platform()
    Fixture(second, platform).act()
    assert lost.calls[0][0] == platform.calls[0][0]
    assert platform.calls[0][1] == 9


@pytest.mark.parametrize(
    "may_acts",
    [
        pytest.param([False], id="not-yet"),
        pytest.param([True, False], id="paused-before-the-call"),
    ],
)
def test_lease_is_checked_right_before_each_call(may_acts: list[bool]) -> None:
    replica, platform = Replica(), Platform()
    replica.may_acts = may_acts
    Fixture(replica, platform).act(3)
    assert platform.calls == []


def test_accepted_report_is_only_committed_again() -> None:
    """A report whose acceptance was not committed was sent again."""
    replica, platform = Replica(), Platform()
    replica.commits = False
    fixture = Fixture(replica, platform)
    fixture.act(2)
    replica.commits = True
    fixture.act(2)
    assert len(platform.calls) == 1
    assert len(replica.settled) == 3
    assert replica.unsent == []


def test_report_that_is_far_overdue_is_dropped() -> None:
    replica, platform = Replica(), Platform()
    replica.overdue_ms = 10_000 * lib.DROPPED_AFTER_DELAYS + 1
    fixture = Fixture(replica, platform)
    fixture.act()
    assert platform.calls == []
    assert [r.result for r in replica.settled] == ["dropped"]
    assert "usage-dropped" in fixture.names()


def test_loss_of_leadership_is_logged() -> None:
    replica = Replica()
    fixture = Fixture(replica, Platform())
    fixture.act()
    replica.is_leader = False
    fixture.act()
    assert fixture.names()[-1] == "duty-lost"


def test_thread_goes_on_after_an_unexpected_error(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(lib, "CHECK_INTERVAL_S", 0.001)
    replica, platform = Replica(), Platform(RuntimeError("a defect"))
    sender = Fixture(replica, platform).sender
    sender.start()
    for _ in range(2_000):
        if replica.settled:
            break
        sender._stopping.wait(0.005)
    sender.stop()
    assert len(replica.settled) == 1
    assert "a defect" in caplog.text
