"""Bounded index of the prompt prefixes that runners have cached.

Cache events come late and with gaps. The index is a hint: a wrong entry
costs a prefill, never a wrong answer. After a gap it asks for the whole list
and goes on with what it knows.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
from typing import final

import xxhash

from wisteriawall.wire import load_messages

__all__ = ["PIECE_BYTES", "PrefixIndex", "piece_hashes"]

PIECE_BYTES = 1_024
MAX_PIECES = 64
MAX_PREFIXES = 4_096


def piece_hashes(
    prompt: bytes, *, piece_bytes: int = PIECE_BYTES
) -> tuple[int, ...]:
    """Return the hash of the prompt up to each whole piece.

    The tail that fills no piece has no hash. Only the first pieces count,
    which bounds the work on a long prompt.
    """
    digest = xxhash.xxh64()
    ends = range(piece_bytes, len(prompt) + 1, piece_bytes)[:MAX_PIECES]
    hashes = []
    for end in ends:
        digest.update(prompt[end - piece_bytes : end])
        hashes.append(digest.intdigest())
    return tuple(hashes)


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class _RunnerPrefixes:
    incarnation: int
    sequence: int
    gapped: bool
    prefixes: dict[int, None] = dataclasses.field(default_factory=dict)


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class PrefixIndex:
    """Prefixes believed cached, by runner; the oldest go first."""

    max_prefixes: int = MAX_PREFIXES
    known_by_runner: dict[str, _RunnerPrefixes] = dataclasses.field(
        default_factory=dict
    )

    def apply(self, events: load_messages.CacheEvents) -> bool:
        """Take in one message; True if the whole list must be asked for."""
        known = self.known_by_runner.get(events.runner)
        if known is None or events.incarnation > known.incarnation:
            known = _RunnerPrefixes(
                incarnation=events.incarnation,
                sequence=events.sequence,
                gapped=events.sequence > 0,
            )
            self.known_by_runner[events.runner] = known
        elif (
            events.incarnation < known.incarnation
            or events.sequence <= known.sequence
        ):
            return False
        else:
            known.gapped |= events.sequence != known.sequence + 1
            known.sequence = events.sequence
        if events.complete:
            known.prefixes.clear()
            known.gapped = False
        self._change(known, events.changes)
        return known.gapped

    def hit_pieces(self, runner: str, hashes: Sequence[int]) -> int:
        """Return how many leading pieces a runner is believed to hold."""
        known = self.known_by_runner.get(runner)
        if known is None:
            return 0
        for index, prefix in enumerate(hashes):
            if prefix not in known.prefixes:
                return index
        return len(hashes)

    def expect(self, runner: str, hashes: Iterable[int]) -> None:
        """Assume that a dispatch just sent leaves its prompt cached."""
        known = self.known_by_runner.get(runner)
        if known is not None:
            for prefix in hashes:
                self._store(known, prefix)

    def forget(self, runner: str) -> None:
        """Drop a runner that left or lost its cache."""
        self.known_by_runner.pop(runner, None)

    def _change(
        self,
        known: _RunnerPrefixes,
        changes: Iterable[load_messages.CacheChange],
    ) -> None:
        for change in changes:
            if change.stored:
                self._store(known, change.prefix)
            else:
                known.prefixes.pop(change.prefix, None)

    def _store(self, known: _RunnerPrefixes, prefix: int) -> None:
        known.prefixes.pop(prefix, None)
        known.prefixes[prefix] = None
        if len(known.prefixes) > self.max_prefixes:
            del known.prefixes[next(iter(known.prefixes))]
