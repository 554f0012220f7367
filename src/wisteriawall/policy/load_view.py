"""Load of each runner, from late reports and one's own dispatches.

A report tells the past. What this process sent since is known exactly, so it
is added to the report, and what it sent and has not seen start yet is a
lower bound on the work that waits.
"""

import dataclasses
from typing import final

from wisteriawall.wire import fleet

__all__ = ["LoadView", "Sent"]


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Sent:
    """One own dispatch in progress."""

    runner: str
    prefill_tokens: int
    sent_ms: int
    started: bool = False


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class _RunnerLoad:
    incarnation: int = 0
    sequence: int = -1
    reported_ms: int = -1
    reported_tokens: int = 0
    reported_streams: int = 0
    free_pieces: int | None = None
    unstarted_tokens: int = 0
    tokens_since: int = 0
    streams_since: int = 0
    own_streams: int = 0


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class LoadView:
    """Corrected load by runner."""

    load_by_runner: dict[str, _RunnerLoad] = dataclasses.field(
        default_factory=dict
    )
    sent_by_id: dict[str, Sent] = dataclasses.field(default_factory=dict)

    def report(self, report: fleet.LoadReport, *, now_ms: int) -> bool:
        """Take in a report; False for one older than the last."""
        load = self._of(report.runner)
        number = (report.incarnation, report.sequence)
        if number <= (load.incarnation, load.sequence):
            return False
        load.incarnation, load.sequence = number
        load.reported_ms = now_ms
        load.reported_tokens = report.waiting_prefill_tokens
        load.reported_streams = report.running_streams
        load.free_pieces = report.free_pieces
        load.tokens_since = load.streams_since = 0
        return True

    def dispatched(
        self, request_id: str, *, runner: str, prefill_tokens: int, now_ms: int
    ) -> None:
        """Record an own dispatch; at most one is open for a request id."""
        self.finished(request_id)
        self.sent_by_id[request_id] = Sent(
            runner=runner, prefill_tokens=prefill_tokens, sent_ms=now_ms
        )
        load = self._of(runner)
        load.unstarted_tokens += prefill_tokens
        load.tokens_since += prefill_tokens
        load.streams_since += 1
        load.own_streams += 1

    def started(self, request_id: str) -> None:
        """Record the first token of an own dispatch."""
        sent = self.sent_by_id.get(request_id)
        if sent is None or sent.started:
            return
        sent.started = True
        self._of(sent.runner).unstarted_tokens -= sent.prefill_tokens

    def finished(self, request_id: str) -> None:
        """Record the end or failure of an own dispatch."""
        sent = self.sent_by_id.pop(request_id, None)
        if sent is None:
            return
        load = self._of(sent.runner)
        load.own_streams -= 1
        if not sent.started:
            load.unstarted_tokens -= sent.prefill_tokens
        if sent.sent_ms >= load.reported_ms:
            load.tokens_since = max(0, load.tokens_since - sent.prefill_tokens)
            load.streams_since = max(0, load.streams_since - 1)

    def forget(self, runner: str) -> None:
        """Drop the reports of a runner that left the fleet."""
        load = self.load_by_runner.get(runner)
        if load is not None and load.own_streams == 0:
            del self.load_by_runner[runner]

    def waiting_tokens(self, runner: str) -> int:
        """Return the prompt tokens that wait at a runner."""
        load = self.load_by_runner.get(runner)
        if load is None:
            return 0
        since_report = load.reported_tokens + load.tokens_since
        return max(load.unstarted_tokens, since_report)

    def streams(self, runner: str) -> int:
        """Return the requests that a runner holds."""
        load = self.load_by_runner.get(runner)
        if load is None:
            return 0
        since_report = load.reported_streams + load.streams_since
        return max(load.own_streams, since_report)

    def own_streams(self, runner: str) -> int:
        """Return the own dispatches in progress at a runner."""
        load = self.load_by_runner.get(runner)
        return load.own_streams if load else 0

    def free_pieces(self, runner: str) -> int | None:
        """Return the KV pieces last reported free, None if never told."""
        load = self.load_by_runner.get(runner)
        return load.free_pieces if load else None

    def _of(self, runner: str) -> _RunnerLoad:
        return self.load_by_runner.setdefault(runner, _RunnerLoad())
