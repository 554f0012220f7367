"""Choice of a runner for one attempt, from late load reports."""

from collections.abc import Iterable
import dataclasses
from typing import final

__all__ = ["Candidate", "choose"]


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Candidate:
    """A runner that may take an attempt.

    `waiting_tokens` is the estimated work ahead of a new attempt, in
    prefill tokens; `streams` counts answers in progress.
    """

    runner: str
    waiting_tokens: int
    streams: int
    same_zone: bool


def choose(
    candidates: Iterable[Candidate], *, avoid: frozenset[str]
) -> str | None:
    """Return the runner with the least work ahead, None without any.

    Args:
        candidates: Runners that take new work.
        avoid: Runners that already failed this request; they come last.
    """
    best = min(
        candidates,
        key=lambda c: (
            c.runner in avoid,
            c.waiting_tokens,
            c.streams,
            not c.same_zone,
            c.runner,
        ),
        default=None,
    )
    return best.runner if best else None
