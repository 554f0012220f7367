"""Which software version began a stream, by the attempt id of its request."""

from collections import OrderedDict
import dataclasses
from typing import final

__all__ = ["KEPT_MS", "MAX_STREAMS", "Kept", "Origin", "StreamOrigins"]

# Longer than any caller goes on with one stream.
KEPT_MS = 60_000
MAX_STREAMS = 16_384


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Origin:
    """Service and software version of the first event of a stream.

    `version` is empty if it isn't known. `fingerprint` is that of the request;
    a caller takes a stream up with the same one.
    """

    service: str
    version: str
    fingerprint: str


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Kept:
    """Origin of a stream that began `age_ms` ago.

    `origin` is None if streams of different origins had the attempt id.
    """

    origin: Origin | None
    age_ms: int


@final
class StreamOrigins:
    """Origins of streams, bounded by number and age."""

    __slots__ = ("_kept_by_attempt",)

    def __init__(self) -> None:
        # With the time of the first event, the oldest first.
        self._kept_by_attempt: OrderedDict[str, tuple[Origin | None, int]] = (
            OrderedDict()
        )

    def record(self, attempt_id: str, origin: Origin, now_ms: int) -> None:
        """Record the origin of a stream that began now."""
        kept, _ = self._kept_by_attempt.get(attempt_id, (origin, now_ms))
        self._kept_by_attempt[attempt_id] = (
            origin if kept == origin else None,
            now_ms,
        )
        self._kept_by_attempt.move_to_end(attempt_id)
        self._drop_old(now_ms)

    def find(self, attempt_id: str, now_ms: int) -> Kept | None:
        """Return the origin of a stream, None if it isn't known."""
        self._drop_old(now_ms)
        if attempt_id not in self._kept_by_attempt:
            return None
        origin, began_ms = self._kept_by_attempt[attempt_id]
        return Kept(origin=origin, age_ms=now_ms - began_ms)

    def _drop_old(self, now_ms: int) -> None:
        kept = self._kept_by_attempt
        while kept:
            _, began_ms = next(iter(kept.values()))
            if len(kept) <= MAX_STREAMS and now_ms - began_ms <= KEPT_MS:
                return
            kept.popitem(last=False)
