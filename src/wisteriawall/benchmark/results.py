"""Results of one simulated run: one for each request, and the totals."""

import dataclasses
import math
from typing import final

from wisteriawall.benchmark import workload

__all__ = ["RequestResult", "RunResult"]


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class RequestResult:
    """Result of one request; times are ms of virtual time.

    A time is infinite when the event did not happen. `decode_runner` is the
    runner that the last attempt decodes on.
    """

    request: workload.Request
    attempts: int = 0
    dispatched_ms: float = 0.0
    first_token_ms: float = math.inf
    completed_ms: float = math.inf
    is_refused: bool = False
    decode_runner: str = ""

    @property
    def met_deadline(self) -> bool:
        """Whether the complete answer arrived within the deadline."""
        return self.completed_ms <= self.request.deadline_ms


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class RunResult:
    """Measurements of one run.

    `tokens_by_gap_ms` counts the tokens that followed their predecessor after
    each gap. `lost_engine_s` sums the time from the start of draining until
    the new role is active, over all role changes.
    """

    results: list[RequestResult]
    tokens_by_gap_ms: dict[float, int]
    role_changes: int
    lost_engine_s: float
