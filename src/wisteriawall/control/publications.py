"""Calls that publish routing tables, from their arrival to their answer.

Several may be in the log at once. Each is made as a change of the newest table
that this leader has appended, so that they need one commit each. A call that
repeats one in the log, or is older, waits for that one and appends nothing.

A table is acknowledged once the gateways that poll this leader have it, so that
they go by it from then on. No gateway holds it up for longer than
`MAX_SPREAD_MS` after the commit.
"""

from collections.abc import Iterator
import dataclasses
from typing import final

from wisteriawall.control import events
from wisteriawall.control import gateway_updates as gateway_updates_lib
from wisteriawall.control import outcomes
from wisteriawall.control import raft as raft_lib
from wisteriawall.control import state
from wisteriawall.control import tables

__all__ = ["Publications"]

# An operator calls another replica after a second without an answer.
MAX_PROOF_WAIT_MS = 1_000
# Longest time from a commit to its acknowledgement while gateways lack the
# table.
MAX_SPREAD_MS = 1_500
# By then each gateway has polled a new leader, unless a poll was lost.
GATEWAYS_KNOWN_MS = 700
MAX_NAMED_GATEWAYS = 5


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
    """A call that waits for the entry at `index` and for the table `number`.

    It is answered as unclear at `until_ms`, monotonic time, if the leader's
    lease is not proved by then.
    """

    call_id: int
    term: int
    index: int
    number: int
    reply: events.Reply
    until_ms: int | None = None


@final
class Publications:
    """The calls of one replica that wait for a table to be in force."""

    __slots__ = (
        "_acknowledged",
        "_applied_ms_by_number",
        "_newest",
        "_waiting",
    )

    def __init__(self) -> None:
        self._newest: _Appended | None = None
        self._waiting: list[_Waiting] = []
        # Of the newest table, and of those that calls wait for.
        self._applied_ms_by_number: dict[int, int] = {}
        # Newest table that was acknowledged here.
        self._acknowledged = 0

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
            number=outcome.number,
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
        number: int,
        reply: events.Reply,
    ) -> None:
        """Answer a call once `index` is applied and gateways have `number`."""
        self._waiting.append(
            _Waiting(
                call_id=call_id,
                term=raft.term,
                index=index,
                number=number,
                reply=reply,
            )
        )

    def note_applied(self, number: int, now_ms: int) -> None:
        """Note that the table `number` has come into force."""
        kept = {call.number for call in self._waiting}
        self._applied_ms_by_number = {
            number: now_ms,
            **{
                earlier: applied_ms
                for earlier, applied_ms in self._applied_ms_by_number.items()
                if earlier in kept
            },
        }

    def answer(
        self,
        raft: raft_lib.Raft,
        gateways: gateway_updates_lib.GatewayUpdates,
        *,
        leads_since_ms: int,
        now_ms: int,
    ) -> Iterator[events.Answer | events.Note]:
        """Acknowledge applied tables while this replica holds the lease.

        Without it gateways get no table from here, so that the change could not
        be in force in time.

        Args:
            raft: State of the replica.
            gateways: The gateways that have polled it.
            leads_since_ms: When it first held the lease in this term.
            now_ms: Monotonic time.
        """
        if not self._waiting:
            return
        waiting, self._waiting = self._waiting, []
        holds_lease = raft.holds_lease(now_ms)
        applied: list[_Waiting] = []
        for call in waiting:
            is_applied = call.index <= raft.applied_index
            if raft.role is not raft_lib.RaftRole.LEADER or (
                call.term != raft.term
            ):
                yield _unclear(call)
            elif not is_applied:
                self._waiting.append(call)
            elif holds_lease:
                applied.append(call)
            elif call.until_ms is None:
                until_ms = now_ms + MAX_PROOF_WAIT_MS
                self._waiting.append(
                    dataclasses.replace(call, until_ms=until_ms)
                )
            elif now_ms >= call.until_ms:
                yield _unclear(call)
            else:
                self._waiting.append(call)
        for number in sorted({call.number for call in applied}):
            calls = [call for call in applied if call.number == number]
            yield from self._acknowledge(
                calls,
                gateway_updates_lib.table_spread(gateways, number, now_ms),
                leads_since_ms=leads_since_ms,
                now_ms=now_ms,
            )

    def _acknowledge(
        self,
        calls: list[_Waiting],
        spread: gateway_updates_lib.TableSpread,
        *,
        leads_since_ms: int,
        now_ms: int,
    ) -> Iterator[events.Answer | events.Note]:
        """Answer the calls that wait for a table, if that is due.

        Time without a leader doesn't count, as no gateway gets a table in it.
        """
        number = calls[0].number
        applied_ms = self._applied_ms_by_number.get(number, leads_since_ms)
        since_commit_ms = now_ms - max(applied_ms, leads_since_ms)
        is_held = not spread.lacking and (
            now_ms - leads_since_ms >= GATEWAYS_KNOWN_MS
        )
        if not is_held and since_commit_ms < MAX_SPREAD_MS:
            self._waiting += [
                dataclasses.replace(call, until_ms=None) for call in calls
            ]
            return
        if number > self._acknowledged:
            self._acknowledged = number
            yield events.Note(
                "table-acknowledged",
                {
                    "number": number,
                    "ms": since_commit_ms,
                    "gateways": spread.gateways,
                    "lacking": len(spread.lacking),
                    "lacking_names": spread.lacking[:MAX_NAMED_GATEWAYS],
                },
            )
        for call in calls:
            yield events.Answer(call.call_id, call.reply)


def _unclear(call: _Waiting) -> events.Answer:
    return events.Answer(
        call.call_id,
        events.Unavailable("no proof that this replica still leads"),
    )
