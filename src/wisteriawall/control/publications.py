"""Calls that publish routing tables, from their arrival to their answer.

Several may be in the log at once. Each is made as a change of the newest table
that this leader has appended, so that they need one commit each. A call that
repeats one in the log, or is older, waits for that one and appends nothing.
"""

from collections.abc import Iterator
import dataclasses
from typing import final

from wisteriawall.control import events
from wisteriawall.control import outcomes
from wisteriawall.control import raft as raft_lib
from wisteriawall.control import state
from wisteriawall.control import tables

__all__ = ["Publications"]

# An operator calls another replica after a second without an answer.
MAX_PROOF_WAIT_MS = 1_000


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Appended:
    """The newest table in the log of the leader of `term`, at `index`."""

    term: int
    index: int
    published: state.PublishedTable


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Waiting:
    """A call that is answered once the entry at `index` is applied.

    It is answered as unclear at `until_ms`, monotonic time, if the leader's
    lease is not proved by then.
    """

    call_id: int
    term: int
    index: int
    reply: events.Reply
    until_ms: int | None = None


@final
class Publications:
    """The calls of one replica that wait for a table to be in force."""

    __slots__ = ("_newest", "_waiting")

    def __init__(self) -> None:
        self._newest: _Appended | None = None
        self._waiting: list[_Waiting] = []

    def newest_table(
        self, raft: raft_lib.Raft, ledger: state.Ledger
    ) -> state.PublishedTable | None:
        """Return the table that is in force once the log is applied.

        Only a leader that holds the lease knows it: what earlier leaders have
        appended is applied by then.
        """
        newest = self._newest
        if newest is None or newest.term != raft.term:
            return ledger.published
        if newest.index <= raft.applied_index:
            return ledger.published
        return newest.published

    def join(
        self,
        raft: raft_lib.Raft,
        newest: state.PublishedTable | None,
        *,
        call_id: int,
        request: events.PublishRequest,
    ) -> bool:
        """Let a call wait for `newest` if it changes nothing after it.

        Returns:
            Whether it waits. If not, it needs an entry of its own.
        """
        number = request.table.number
        if newest is None or number > newest.table.number:
            return False
        if number == newest.table.number and (
            tables.digest(request.table) != newest.digest
        ):
            return False
        index = raft.applied_index
        if self._newest is not None and self._newest.published is newest:
            index = self._newest.index
        outcome = outcomes.TableInForce(newest.table.number, changed=False)
        self.wait(
            raft,
            call_id=call_id,
            index=index,
            reply=events.PublishReply(outcome),
        )
        return True

    def append(
        self,
        raft: raft_lib.Raft,
        newest: state.PublishedTable | None,
        request: events.PublishRequest,
    ) -> None:
        """Note that the next entry of the log publishes a table."""
        if newest is not None and request.table.number <= newest.table.number:
            return  # It will be refused.
        self._newest = _Appended(
            term=raft.term,
            index=raft.last_index + 1,
            published=tables.published(request),
        )

    def wait(
        self,
        raft: raft_lib.Raft,
        *,
        call_id: int,
        index: int,
        reply: events.Reply,
    ) -> None:
        """Answer a call with `reply` once `index` is applied."""
        self._waiting.append(
            _Waiting(call_id=call_id, term=raft.term, index=index, reply=reply)
        )

    def answer(
        self, raft: raft_lib.Raft, now_ms: int
    ) -> Iterator[events.Answer]:
        """Acknowledge applied tables while this replica holds the lease.

        Without it gateways get no table from here, so that the change could not
        be in force in time.
        """
        if not self._waiting:
            return
        waiting, self._waiting = self._waiting, []
        holds_lease = raft.holds_lease(now_ms)
        for call in waiting:
            is_applied = call.index <= raft.applied_index
            if raft.role is not raft_lib.RaftRole.LEADER or (
                call.term != raft.term
            ):
                yield _unclear(call)
            elif is_applied and holds_lease:
                yield events.Answer(call.call_id, call.reply)
            elif not is_applied:
                self._waiting.append(call)
            elif call.until_ms is None:
                until_ms = now_ms + MAX_PROOF_WAIT_MS
                self._waiting.append(
                    dataclasses.replace(call, until_ms=until_ms)
                )
            elif now_ms >= call.until_ms:
                yield _unclear(call)
            else:
                self._waiting.append(call)


def _unclear(call: _Waiting) -> events.Answer:
    return events.Answer(
        call.call_id,
        events.Unavailable("no proof that this replica still leads"),
    )
