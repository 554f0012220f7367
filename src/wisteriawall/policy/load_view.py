"""Load of each runner, from its load reports and the entry's own dispatches.

Reports arrive late. The dispatches since the last report are therefore added
to it. The dispatches that have not started yet are a lower bound on the
waiting work, whatever a report contains.
"""

import dataclasses
from typing import final

from wisteriawall.wire import fleet

__all__ = ["Dispatch", "LoadView"]


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Dispatch:
    """Attempt of this entry in progress; `started` after its first token."""

    runner: str
    prefill_tokens: int
    sent_ms: int
    started: bool = False


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class _RunnerLoad:
    """Last report of one runner, and this entry's dispatches to it.

    Attributes:
        incarnation: Incarnation of the runner's agent that sent the report.
        sequence: Number of the report within the incarnation.
        reported_ms: When the report arrived, -1 before the first.
        reported_tokens: Prompt tokens that waited, according to the report.
        reported_streams: Requests in progress, according to the report.
        free_pieces: Free KV cache pieces, None before the first report.
        unstarted_tokens: Prompt tokens of own dispatches without a first token.
        tokens_since_report: Prompt tokens dispatched since the report.
        streams_since_report: Requests dispatched since the report.
        own_streams: Own dispatches in progress.
    """

    incarnation: int = 0
    sequence: int = -1
    reported_ms: int = -1
    reported_tokens: int = 0
    reported_streams: int = 0
    free_pieces: int | None = None
    unstarted_tokens: int = 0
    tokens_since_report: int = 0
    streams_since_report: int = 0
    own_streams: int = 0


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class LoadView:
    """Load by runner, as estimated by one entry."""

    load_by_runner: dict[str, _RunnerLoad] = dataclasses.field(
        default_factory=dict
    )
    dispatch_by_id: dict[str, Dispatch] = dataclasses.field(
        default_factory=dict
    )

    def apply_report(self, report: fleet.LoadReport, *, now_ms: int) -> bool:
        """Apply a report; return False if it is not newer than the last."""
        load = self._load_of(report.runner)
        version = (report.incarnation, report.sequence)
        if version <= (load.incarnation, load.sequence):
            return False
        load.incarnation, load.sequence = version
        load.reported_ms = now_ms
        load.reported_tokens = report.waiting_prefill_tokens
        load.reported_streams = report.running_streams
        load.free_pieces = report.free_pieces
        load.tokens_since_report = load.streams_since_report = 0
        return True

    def dispatched(
        self, request_id: str, *, runner: str, prefill_tokens: int, now_ms: int
    ) -> None:
        """Record an own dispatch; it replaces an earlier one of the request."""
        self.finished(request_id)
        self.dispatch_by_id[request_id] = Dispatch(
            runner=runner, prefill_tokens=prefill_tokens, sent_ms=now_ms
        )
        load = self._load_of(runner)
        load.unstarted_tokens += prefill_tokens
        load.tokens_since_report += prefill_tokens
        load.streams_since_report += 1
        load.own_streams += 1

    def started(self, request_id: str) -> None:
        """Record the first token of an own dispatch."""
        dispatch = self.dispatch_by_id.get(request_id)
        if dispatch is None or dispatch.started:
            return
        dispatch.started = True
        self._load_of(
            dispatch.runner
        ).unstarted_tokens -= dispatch.prefill_tokens

    def finished(self, request_id: str) -> None:
        """Record the end or failure of an own dispatch."""
        dispatch = self.dispatch_by_id.pop(request_id, None)
        if dispatch is None:
            return
        load = self._load_of(dispatch.runner)
        load.own_streams -= 1
        if not dispatch.started:
            load.unstarted_tokens -= dispatch.prefill_tokens
        if dispatch.sent_ms >= load.reported_ms:
            load.tokens_since_report = max(
                0, load.tokens_since_report - dispatch.prefill_tokens
            )
            load.streams_since_report = max(0, load.streams_since_report - 1)

    def remove_runner(self, runner: str) -> None:
        """Drop the load of a runner unless it has own dispatches."""
        load = self.load_by_runner.get(runner)
        if load is not None and load.own_streams == 0:
            del self.load_by_runner[runner]

    def waiting_tokens(self, runner: str) -> int:
        """Return the prompt tokens that wait for prefill at a runner."""
        load = self.load_by_runner.get(runner)
        if load is None:
            return 0
        estimated_tokens = load.reported_tokens + load.tokens_since_report
        return max(load.unstarted_tokens, estimated_tokens)

    def streams(self, runner: str) -> int:
        """Return the number of requests in progress at a runner."""
        load = self.load_by_runner.get(runner)
        if load is None:
            return 0
        estimated_streams = load.reported_streams + load.streams_since_report
        return max(load.own_streams, estimated_streams)

    def own_streams(self, runner: str) -> int:
        """Return the number of own dispatches in progress at a runner."""
        load = self.load_by_runner.get(runner)
        return load.own_streams if load else 0

    def free_pieces(self, runner: str) -> int | None:
        """Return the reported free KV cache pieces, None without a report."""
        load = self.load_by_runner.get(runner)
        return load.free_pieces if load else None

    def _load_of(self, runner: str) -> _RunnerLoad:
        return self.load_by_runner.setdefault(runner, _RunnerLoad())
