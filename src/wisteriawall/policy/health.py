"""Ejection of failing runners, and probing before they come back.

Only the outcome of attempts counts. A load report may have been written
before the failure, so it neither ejects a runner nor brings it back.
"""

import dataclasses
import enum
from typing import final

__all__ = ["Health", "State"]

FAILURES_TO_EJECT = 3
SUCCESSES_TO_TRUST = 3
FIRST_EJECTION_MS = 1_000
MAX_EJECTION_MS = 30_000
MAX_EJECTED_SHARE = 0.5


@final
class State(enum.Enum):
    """Whether a runner gets work."""

    TRUSTED = enum.auto()
    EJECTED = enum.auto()
    PROBING = enum.auto()


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class _RunnerHealth:
    state: State = State.TRUSTED
    failures: int = 0
    successes: int = 0
    ejection_ms: int = FIRST_EJECTION_MS
    until_ms: int = 0
    ejected_ms: int = -1
    probe_id: str = ""


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Health:
    """Health of one service's runners, as one entry sees it."""

    health_by_runner: dict[str, _RunnerHealth] = dataclasses.field(
        default_factory=dict
    )

    def may_send(self, runner: str, *, now_ms: int) -> bool:
        """Tell whether a runner may get an attempt now."""
        health = self.health_by_runner.get(runner)
        if health is None or health.state is State.TRUSTED:
            return True
        if health.state is State.EJECTED and now_ms >= health.until_ms:
            health.state = State.PROBING
            health.successes = 0
            health.probe_id = ""
        return health.state is State.PROBING and not health.probe_id

    def sent(self, runner: str, request_id: str) -> None:
        """Record an attempt; while a probe is open no other is sent."""
        health = self.health_by_runner.get(runner)
        if health is not None and health.state is State.PROBING:
            health.probe_id = request_id

    def succeeded(self, runner: str, request_id: str) -> None:
        """Record a first token or whole answer."""
        health = self.health_by_runner.get(runner)
        if health is None:
            return
        if health.state is State.TRUSTED:
            health.failures = 0
            return
        if health.probe_id != request_id:
            return
        health.probe_id = ""
        health.successes += 1
        if health.successes >= SUCCESSES_TO_TRUST:
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
        """Record a failure that speaks against the runner.

        Attempts sent before an ejection say nothing new about it.

        Args:
            runner: The runner that failed.
            request_id: The failed attempt's request.
            sent_ms: When the attempt was sent.
            now_ms: Now.
            runners: How many runners the service has; at most half of them
                are ejected at once.
        """
        health = self.health_by_runner.setdefault(runner, _RunnerHealth())
        match health.state:
            case State.TRUSTED:
                health.failures += 1
                if health.failures >= FAILURES_TO_EJECT:
                    self._eject(health, now_ms=now_ms, runners=runners)
            case State.PROBING if health.probe_id == request_id:
                if sent_ms >= health.ejected_ms:
                    self._eject(health, now_ms=now_ms, runners=runners)
            case _:
                pass

    def abandoned(self, runner: str, request_id: str) -> None:
        """Free a probe that its caller gave up."""
        health = self.health_by_runner.get(runner)
        if health is not None and health.probe_id == request_id:
            health.probe_id = ""

    def forget(self, runner: str) -> None:
        """Drop a runner that left the fleet."""
        self.health_by_runner.pop(runner, None)

    def state_of(self, runner: str) -> State:
        """Return a runner's state, as of the last event."""
        health = self.health_by_runner.get(runner)
        return health.state if health else State.TRUSTED

    def _eject(
        self, health: _RunnerHealth, *, now_ms: int, runners: int
    ) -> None:
        others = sum(
            h.state is not State.TRUSTED and h is not health
            for h in self.health_by_runner.values()
        )
        if others + 1 > max(1, int(runners * MAX_EJECTED_SHARE)):
            health.failures = 0
            return
        if health.state is State.PROBING:
            health.ejection_ms = min(MAX_EJECTION_MS, health.ejection_ms * 2)
        health.state = State.EJECTED
        health.failures = 0
        health.probe_id = ""
        health.ejected_ms = now_ms
        health.until_ms = now_ms + health.ejection_ms
