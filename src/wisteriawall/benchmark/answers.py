"""What a run leaves behind: each request's outcome, and what it cost."""

import dataclasses
import math
from typing import final

from wisteriawall.benchmark import workload

__all__ = ["Answer", "Run"]


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Answer:
    """What became of one request."""

    request: workload.Request
    attempts: int = 0
    sent_ms: float = 0.0
    first_ms: float = math.inf
    ended_ms: float = math.inf
    is_refused: bool = False
    decode_runner: str = ""

    @property
    def is_good(self) -> bool:
        """Tell whether the whole answer came within the deadline."""
        return self.ended_ms <= self.request.deadline_ms


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Run:
    """Everything measured in one run."""

    answers: list[Answer]
    tokens_by_gap_ms: dict[float, int]
    role_changes: int
    lost_engine_s: float
