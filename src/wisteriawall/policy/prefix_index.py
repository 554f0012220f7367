"""Bounded index of the prompt prefixes that runners have cached.

Cache events arrive late and may be lost. This is acceptable because the index
only guides routing: a wrong entry costs a prefill, never a wrong answer. After
a lost event `apply` reports that the complete list is needed, and the index
stays in use until that list arrives.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
from typing import final

import xxhash

from wisteriawall.wire import load_messages

__all__ = ["PIECE_BYTES", "PrefixIndex", "prefix_hashes"]

PIECE_BYTES = 1_024
MAX_PIECES = 64
MAX_PREFIXES = 4_096


def prefix_hashes(
    prompt: bytes, *, piece_bytes: int = PIECE_BYTES
) -> tuple[int, ...]:
    """Return the hashes of the prompt's prefixes that end at a whole piece.

    At most `MAX_PIECES` prefixes are hashed, which bounds the time for a long
    prompt.
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
class _RunnerCache:
    """Prefixes in the cache of one runner.

    Attributes:
        incarnation: Incarnation of the runner's agent.
        sequence: Number of the last event applied.
        has_gap: Whether an event was lost since the last complete list.
        prefixes: Prefix hashes, least recently stored first.
    """

    incarnation: int
    sequence: int
    has_gap: bool
    prefixes: dict[int, None] = dataclasses.field(default_factory=dict)


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class PrefixIndex:
    """Prefixes that are probably cached at each runner.

    For each runner it keeps the `max_prefixes` most recently stored ones.
    """

    max_prefixes: int = MAX_PREFIXES
    cache_by_runner: dict[str, _RunnerCache] = dataclasses.field(
        default_factory=dict
    )

    def apply(self, events: load_messages.CacheUpdate) -> bool:
        """Apply one message; return True if the complete list is needed.

        Messages of a former incarnation, and late or repeated ones, are
        ignored.
        """
        cache = self.cache_by_runner.get(events.runner)
        if cache is None or events.incarnation > cache.incarnation:
            cache = _RunnerCache(
                incarnation=events.incarnation,
                sequence=events.sequence,
                has_gap=events.sequence > 0,
            )
            self.cache_by_runner[events.runner] = cache
        elif (
            events.incarnation < cache.incarnation
            or events.sequence <= cache.sequence
        ):
            return False
        else:
            cache.has_gap |= events.sequence != cache.sequence + 1
            cache.sequence = events.sequence
        if events.complete:
            cache.prefixes.clear()
            cache.has_gap = False
        self._apply_changes(cache, events.changes)
        return cache.has_gap

    def cached_pieces(self, runner: str, hashes: Sequence[int]) -> int:
        """Return how many leading pieces a runner has probably cached."""
        cache = self.cache_by_runner.get(runner)
        if cache is None:
            return 0
        for index, prefix in enumerate(hashes):
            if prefix not in cache.prefixes:
                return index
        return len(hashes)

    def assume_cached(self, runner: str, hashes: Iterable[int]) -> None:
        """Add the prefixes of a prompt that was just sent to a runner.

        A runner without any cache event so far is left out.
        """
        cache = self.cache_by_runner.get(runner)
        if cache is not None:
            for prefix in hashes:
                self._store(cache, prefix)

    def remove_runner(self, runner: str) -> None:
        """Remove a runner that is no longer in the fleet or lost its cache."""
        self.cache_by_runner.pop(runner, None)

    def _apply_changes(
        self,
        cache: _RunnerCache,
        changes: Iterable[load_messages.CacheChange],
    ) -> None:
        for change in changes:
            if change.stored:
                self._store(cache, change.prefix_hash)
            else:
                cache.prefixes.pop(change.prefix_hash, None)

    def _store(self, cache: _RunnerCache, prefix: int) -> None:
        cache.prefixes.pop(prefix, None)
        cache.prefixes[prefix] = None
        if len(cache.prefixes) > self.max_prefixes:
            del cache.prefixes[next(iter(cache.prefixes))]
