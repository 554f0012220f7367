"""Ejection of failing runners, and probing before they get requests again.

Only outcomes of attempts change the state. Load reports are ignored, because a
report may have been written before the failure.
"""

import dataclasses
import enum
from typing import final

__all__ = ["Health", "State"]

FAILURES_TO_EJECT = 3
SUCCESSES_TO_RECOVER = 3
FIRST_EJECTION_MS = 1_000
MAX_EJECTION_MS = 30_000
MAX_EJECTED_SHARE = 0.5


@final
class State(enum.Enum):
    """State of a runner.

    A healthy runner gets requests, an ejected runner gets none, and a probing
    runner gets one at a time.
    """

    HEALTHY = enum.auto()
    EJECTED = enum.auto()
    PROBING = enum.auto()


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class _RunnerHealth:
    """Health of one runner.

    Attributes:
        state: Current state.
        failures: Consecutive failures while healthy.
        successes: Successful probes since the ejection ended.
        ejection_ms: Length of the current or next ejection.
        ejected_until_ms: End of the ejection.
        ejected_at_ms: Start of the last ejection, -1 before the first.
        probe_id: Request that is the open probe, empty without one.
    """

    state: State = State.HEALTHY
    failures: int = 0
    successes: int = 0
    ejection_ms: int = FIRST_EJECTION_MS
    ejected_until_ms: int = 0
    ejected_at_ms: int = -1
    probe_id: str = ""


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Health:
    """Health of one service's runners, from the attempts of one entry."""

    health_by_runner: dict[str, _RunnerHealth] = dataclasses.field(
        default_factory=dict
    )

    def may_send(self, runner: str, *, now_ms: int) -> bool:
        """Return whether a runner may get an attempt now.

        As a side effect, moves an ejected runner whose ejection has ended to
        probing.
        """
        health = self.health_by_runner.get(runner)
        if health is None or health.state is State.HEALTHY:
            return True
        if health.state is State.EJECTED and now_ms >= health.ejected_until_ms:
            health.state = State.PROBING
            health.successes = 0
            health.probe_id = ""
        return health.state is State.PROBING and not health.probe_id

    def dispatched(self, runner: str, request_id: str) -> None:
        """Record a sent attempt; at a probing runner it is the probe."""
        health = self.health_by_runner.get(runner)
        if health is not None and health.state is State.PROBING:
            health.probe_id = request_id

    def succeeded(self, runner: str, request_id: str) -> None:
        """Record the first token or the end of an answer."""
        health = self.health_by_runner.get(runner)
        if health is None:
            return
        if health.state is State.HEALTHY:
            health.failures = 0
            return
        if health.probe_id != request_id:
            return
        health.probe_id = ""
        health.successes += 1
        if health.successes >= SUCCESSES_TO_RECOVER:
            del self.health_by_runner[runner]

    def failed(
        self,
        runner: str,
        request_id: str,
        *,
        sent_ms: int,
        now_ms: int,
        runners: int,
    ) -> None:
        """Record a failed attempt that was the runner's fault.

        While the runner is ejected or probing, only its open probe counts, and
        only if it was sent after the ejection.

        Args:
            runner: The runner that failed.
            request_id: Request of the failed attempt.
            sent_ms: When the attempt was sent.
            now_ms: Monotonic clock.
            runners: Number of runners of the service; at most
                `MAX_EJECTED_SHARE` of them are ejected at the same time.
        """
        health = self.health_by_runner.setdefault(runner, _RunnerHealth())
        match health.state:
            case State.HEALTHY:
                health.failures += 1
                if health.failures >= FAILURES_TO_EJECT:
                    self._eject(health, now_ms=now_ms, runners=runners)
            case State.PROBING if health.probe_id == request_id:
                if sent_ms >= health.ejected_at_ms:
                    self._eject(health, now_ms=now_ms, runners=runners)
            case _:
                pass

    def cancelled(self, runner: str, request_id: str) -> None:
        """Close the probe of a cancelled attempt without a result."""
        health = self.health_by_runner.get(runner)
        if health is not None and health.probe_id == request_id:
            health.probe_id = ""

    def remove_runner(self, runner: str) -> None:
        """Remove a runner that is no longer in the fleet."""
        self.health_by_runner.pop(runner, None)

    def state_of(self, runner: str) -> State:
        """Return the state after the last recorded event."""
        health = self.health_by_runner.get(runner)
        return health.state if health else State.HEALTHY

    def _eject(
        self, health: _RunnerHealth, *, now_ms: int, runners: int
    ) -> None:
        other_ejected = sum(
            other.state is not State.HEALTHY and other is not health
            for other in self.health_by_runner.values()
        )
        if other_ejected + 1 > max(1, int(runners * MAX_EJECTED_SHARE)):
            health.failures = 0
            return
        if health.state is State.PROBING:
            health.ejection_ms = min(MAX_EJECTION_MS, health.ejection_ms * 2)
        health.state = State.EJECTED
        health.failures = 0
        health.probe_id = ""
        health.ejected_at_ms = now_ms
        health.ejected_until_ms = now_ms + health.ejection_ms
