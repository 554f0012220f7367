"""Thread of the leader that makes the calls of singleton duties."""

from collections.abc import Callable
import logging
import threading
from typing import Protocol
from typing import final

from wisteriawall import clock
from wisteriawall import errors
from wisteriawall.control import duties
from wisteriawall.control import events
from wisteriawall.control import state
from wisteriawall.observability import metrics as metrics_lib

__all__ = ["DutyFailed", "DutySender"]

_LOG = logging.getLogger("control")

CHECK_INTERVAL_S = 0.1
MAX_LOGGED_LENGTH = 200
# A report that is overdue by this many times the allowed delay is dropped.
DROPPED_AFTER_DELAYS = 60


@final
class DutyFailed(errors.WisteriawallError):
    """The platform did not accept a call, as far as is known."""


class Leader(Protocol):
    """The members of this replica's shell that the sender uses."""

    @property
    def is_leader(self) -> bool:
        """Whether this replica holds the leader's lease now."""

    def may_act(self, *, token: int, lease_ms: int) -> bool:
        """Return whether this replica may act with a token now."""

    def call(self, request: events.Request) -> events.Reply:
        """Return the reply to a request."""


# Sends a report with a fencing token, or raises `DutyFailed`. It calls the
# function once it is connected, right before it sends anything.
SendUsage = Callable[[state.UsageWindow, int, Callable[[], None]], None]
OnDecision = Callable[[str, dict[str, object]], None]


@final
class DutySender:
    """Sends the reports that are fixed, while this replica may act.

    A report is taken from the applied log, so that each leader sends the same
    one. It is sent again until the platform accepts it.

    Args:
        leader: This replica.
        holder: Name under which this node acts.
        settings: Limits of the deployment.
        send_usage: Makes the call.
        on_decision: Writes a decision to the decision log.
        metrics: Counts calls.
    """

    def __init__(
        self,
        *,
        leader: Leader,
        holder: str,
        settings: duties.DutySettings,
        send_usage: SendUsage,
        on_decision: OnDecision,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._leader = leader
        self._holder = holder
        self._settings = settings
        self._send_usage = send_usage
        self._on_decision = on_decision
        self._metrics = metrics
        self._pacing = duties.Pacing(interval_ms=settings.interval_ms)
        self._token = 0
        self._failed_window = -1
        # The platform accepted or dropped it, but that isn't committed yet.
        self._settled: events.SettleUsageRequest | None = None
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="duties", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Signal the thread to end, without waiting for it."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.wait(CHECK_INTERVAL_S):
            try:
                self.act_once()
            except Exception:
                # Nothing but this thread would make the calls again.
                _LOG.exception("control: a duty failed, retrying")

    def act_once(self) -> None:
        """Make the call that is due, if there is one."""
        if not self._leader.is_leader:
            self._note_token(0)
            return
        if clock.monotonic_ms() < self._pacing.due_ms:
            return
        due = self._leader.call(events.DueUsageRequest(self._failed_window))
        if not isinstance(due, events.DueUsageReply):
            return
        if not self._may_act(due.token):
            return
        self._note_token(due.token)
        report = due.report
        if report is None:
            return
        if self._settled is not None and self._settled.window == report.window:
            self._leader.call(self._settled)
            return
        if due.overdue_ms > due.late_ms * DROPPED_AFTER_DELAYS:
            self._settle(report, due.token, "dropped", due.overdue_ms)
            return
        self._send(report, due)

    def _send(
        self, report: state.UsageWindow, due: events.DueUsageReply
    ) -> None:
        self._pacing.note_call(clock.monotonic_ms())
        started_ms = clock.monotonic_ms()
        try:
            self._send_usage(report, due.token, lambda: self._check(due.token))
        except DutyFailed as error:
            now_ms = clock.monotonic_ms()
            self._pacing.note_failure(now_ms)
            self._failed_window = report.window
            self._metrics.count("usage.failed")
            self._on_decision(
                "usage-failed",
                {
                    "window": report.window,
                    "token": due.token,
                    "reason": str(error)[:MAX_LOGGED_LENGTH],
                    "ms": now_ms - started_ms,
                    "failures": self._pacing.failures,
                    "next_ms": self._pacing.due_ms - now_ms,
                },
            )
            return
        self._pacing.note_success()
        self._failed_window = -1
        self._settle(report, due.token, "accepted", due.overdue_ms)

    def _settle(
        self,
        report: state.UsageWindow,
        token: int,
        result: str,
        overdue_ms: int,
    ) -> None:
        """Log the end of a report, and commit it."""
        is_sent = result == "accepted"
        name = "sent" if is_sent else "dropped"
        self._metrics.count(f"usage.{name}")
        self._metrics.set_gauge("usage.window", report.window)
        if overdue_ms > 0:
            self._metrics.count("usage.overdue")
        self._on_decision(
            f"usage-{name}",
            {
                "window": report.window,
                "holder": self._holder,
                "token": token,
                "accounts": len(report.count_by_account),
                "requests": sum(report.count_by_account.values()),
                "overdue_ms": overdue_ms,
            },
        )
        self._settled = events.SettleUsageRequest(
            report.window, result, self._holder, token
        )
        self._leader.call(self._settled)

    def _check(self, token: int) -> None:
        """Raise `DutyFailed` if this replica may not act any more.

        The process may have been paused, or connecting have taken long.
        """
        if not self._may_act(token):
            raise DutyFailed("leadership was lost before the call")

    def _may_act(self, token: int) -> bool:
        return self._leader.may_act(
            token=token, lease_ms=self._settings.lease_ms
        )

    def _note_token(self, token: int) -> None:
        """Log that the duties were acquired or lost."""
        if token == self._token:
            return
        if token:
            self._on_decision(
                "duty-acquired", {"holder": self._holder, "token": token}
            )
        else:
            self._on_decision(
                "duty-lost", {"holder": self._holder, "token": self._token}
            )
            self._settled = None
        self._token = token
        self._metrics.set_gauge("duty.token", token)
