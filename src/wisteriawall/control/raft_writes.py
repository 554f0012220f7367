"""Which of the writes that a replica has asked for are durable.

A write goes on while the replica handles events, so that a slow disk delays
neither heartbeats nor answers. Each write has a number, counted from 1. They
become durable in this order.
"""

import collections
import dataclasses
from typing import final

__all__ = ["Writes"]


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class _Write:
    """A write that is not durable yet.

    The log matches the one in memory up to `last_index` once it is.
    """

    number: int
    last_index: int


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Writes:
    """Progress of the disk behind the state in memory.

    Attributes:
        requested: Number of the newest write that was asked for.
        synced: Number of the newest write that is durable.
        synced_index: Newest entry of the log in memory that is durable.
        vote: Number of the write of the current term and vote.
    """

    requested: int = 0
    synced: int = 0
    synced_index: int = 0
    vote: int = 0
    _pending: collections.deque[_Write] = dataclasses.field(
        default_factory=collections.deque
    )

    @property
    def is_pending(self) -> bool:
        """Return whether a write is not durable yet."""
        return self.synced < self.requested

    @property
    def is_vote_synced(self) -> bool:
        """Return whether the current term and vote are durable."""
        return self.synced >= self.vote

    def request_vote(self) -> None:
        """Note a write of the term and vote."""
        self._request(0)
        self.vote = self.requested

    def request_entries(self, last_index: int) -> None:
        """Note a write after which the log is durable up to `last_index`."""
        self._request(last_index)

    def request_removal(self, last_index: int) -> None:
        """Note a write that removes all entries after `last_index`.

        Entries with the same indexes may follow, so that earlier writes prove
        nothing about them.
        """
        self.synced_index = min(self.synced_index, last_index)
        for write in self._pending:
            write.last_index = min(write.last_index, last_index)
        self._request(0)

    def complete(self, number: int) -> None:
        """Note that all writes up to `number` are durable."""
        self.synced = max(self.synced, number)
        while self._pending and self._pending[0].number <= number:
            write = self._pending.popleft()
            self.synced_index = max(self.synced_index, write.last_index)

    def _request(self, last_index: int) -> None:
        self.requested += 1
        self._pending.append(
            _Write(number=self.requested, last_index=last_index)
        )
