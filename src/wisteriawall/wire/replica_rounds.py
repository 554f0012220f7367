"""Order in which replicas are asked until one of them answers as the leader.

A round asks the next replica once the former has failed, has redirected, or has
not answered for a short delay, so that a replica that is gone delays the others
by that much and not by its timeout. `Replicas` is what earlier rounds showed.
"""

from collections.abc import Collection
import enum
from typing import final

__all__ = ["ASK_DELAY_MS", "Replicas", "Round"]

# The leader answers within milliseconds unless it is lost or overloaded.
ASK_DELAY_MS = 100
# A follower that knows no leader yet may have been elected meanwhile.
REPEAT_DELAY_MS = 200
# A leader that failed lately is not asked first, though followers still name it
# until their election.
FAILED_LATELY_MS = 1_000
# Each replica that does not answer keeps a thread busy.
MAX_PENDING = 8


@final
class Replicas:
    """What is known of replicas from their earlier answers and failures."""

    __slots__ = ("_answered_ms_by_replica", "_failed_ms_by_replica", "leader")

    def __init__(self, leader: str) -> None:
        # The replica that answered last; asked first unless it failed since.
        self.leader = leader
        self._answered_ms_by_replica: dict[str, int] = {}
        self._failed_ms_by_replica: dict[str, int] = {}

    def note_answered(self, replica: str, now_ms: int) -> None:
        """Note a valid answer, which may be a redirect."""
        self._answered_ms_by_replica[replica] = now_ms
        self._failed_ms_by_replica.pop(replica, None)

    def note_failed(self, replica: str, asked_ms: int, now_ms: int) -> None:
        """Note a failure, unless a request sent later was answered before."""
        if self._answered_ms_by_replica.get(replica, asked_ms) <= asked_ms:
            self._failed_ms_by_replica[replica] = now_ms

    def keep_only(self, known: Collection[str]) -> None:
        """Forget all replicas that are not `known`."""
        for ms_by_replica in (
            self._answered_ms_by_replica,
            self._failed_ms_by_replica,
        ):
            for replica in ms_by_replica.keys() - set(known):
                del ms_by_replica[replica]

    def has_failed(self, replica: str) -> bool:
        """Return whether the last request to the replica failed."""
        return replica in self._failed_ms_by_replica

    def failed_lately(self, replica: str, now_ms: int) -> bool:
        """Return whether the replica failed a moment ago."""
        failed_ms = self._failed_ms_by_replica.get(replica)
        return failed_ms is not None and now_ms - failed_ms < FAILED_LATELY_MS

    def first(self, replicas: Collection[str]) -> str:
        """Return the one to ask first.

        The leader comes before those that answered, those that were never
        asked and those that failed, the one that failed longest ago first.
        """
        return min(replicas, key=self._rank)

    def _rank(self, replica: str) -> tuple[int, int, str]:
        failed_ms = self._failed_ms_by_replica.get(replica)
        if failed_ms is not None:
            return 3, failed_ms, replica
        if replica == self.leader:
            return 0, 0, replica
        return 1 + (replica not in self._answered_ms_by_replica), 0, replica


@final
class _Phase(enum.Enum):
    """What a replica does in a round.

    ASKED: It has not answered yet.
    SILENT: It sent no answer, and is asked again on a new connection.
    ASKED_AGAIN: It has not answered on the new connection yet.
    REDIRECTED: It is not the leader.
    REPEATED: It was not the leader, and has not answered again yet.
    FAILED: It is not asked again.
    """

    ASKED = enum.auto()
    SILENT = enum.auto()
    ASKED_AGAIN = enum.auto()
    REDIRECTED = enum.auto()
    REPEATED = enum.auto()
    FAILED = enum.auto()


_PENDING = frozenset({_Phase.ASKED, _Phase.ASKED_AGAIN, _Phase.REPEATED})
# A round ends when none of them is left, so that requests that are repeated do
# not prolong it.
_AWAITED = frozenset({_Phase.ASKED, _Phase.ASKED_AGAIN})


@final
class Round:
    """Asks replicas in overlapping fashion until the leader has answered.

    Each replica is asked once, and again if it sent no answer, as its
    connection may have gone silent. While others are waited for, those that
    redirected are asked again from time to time: one may have been elected.
    """

    __slots__ = (
        "_named",
        "_next_ms",
        "_phase_by_replica",
        "_redirected_ms_by_replica",
        "_replicas",
    )

    def __init__(self, replicas: Replicas) -> None:
        self._replicas = replicas
        self._phase_by_replica: dict[str, _Phase] = {}
        self._redirected_ms_by_replica: dict[str, int] = {}
        # The leader that the last redirect named.
        self._named = ""
        # When the next replica is asked although others have not answered.
        self._next_ms = 0

    @property
    def is_waiting(self) -> bool:
        """Return whether an answer to a request is still awaited."""
        return not _AWAITED.isdisjoint(self._phase_by_replica.values())

    def next_replica(self, known: Collection[str], now_ms: int) -> str | None:
        """Return the replica to ask now, None if there is none at the time.

        The round is over if no answer is awaited either.
        """
        phases = self._phase_by_replica
        if sum(phase in _PENDING for phase in phases.values()) >= MAX_PENDING:
            return None
        replica = self._choose(known, now_ms)
        if replica is None:
            return None
        match phases.get(replica):
            case None:
                phases[replica] = _Phase.ASKED
            case _Phase.SILENT:
                phases[replica] = _Phase.ASKED_AGAIN
            case _:
                phases[replica] = _Phase.REPEATED
        self._next_ms = now_ms + ASK_DELAY_MS
        return replica

    def wants_more(self, known: Collection[str], now_ms: int) -> bool:
        """Return whether a further replica would be asked, were it known."""
        is_due = now_ms >= self._next_ms or not self.is_waiting
        return is_due and set(known) <= self._phase_by_replica.keys()

    def wait_ms(self, now_ms: int) -> int:
        """Return the time after which `next_replica` may return another one."""
        if self._next_ms > now_ms:
            return self._next_ms - now_ms
        return ASK_DELAY_MS

    def note_redirect(self, replica: str, leader: str, now_ms: int) -> None:
        """Note that a replica is not the leader, and which one it named."""
        self._phase_by_replica[replica] = _Phase.REDIRECTED
        self._redirected_ms_by_replica[replica] = now_ms
        self._next_ms = now_ms
        if not self._replicas.failed_lately(leader, now_ms):
            self._named = leader

    def note_failed(self, replica: str, *, is_sent: bool, now_ms: int) -> None:
        """Note that a replica gave no valid answer to a request."""
        was_asked_once = self._phase_by_replica.get(replica) is _Phase.ASKED
        self._phase_by_replica[replica] = (
            _Phase.SILENT if is_sent and was_asked_once else _Phase.FAILED
        )
        self._next_ms = now_ms

    def _choose(self, known: Collection[str], now_ms: int) -> str | None:
        phases = self._phase_by_replica
        named, self._named = self._named, ""
        if named in known and named not in phases:
            return named
        silent = [r for r in known if phases.get(r) is _Phase.SILENT]
        if silent:
            return silent[0]
        if self.is_waiting and now_ms < self._next_ms:
            return None
        untried = [r for r in known if r not in phases]
        if untried:
            return self._replicas.first(untried)
        repeatable = [r for r in known if self._may_repeat(r, now_ms)]
        if repeatable and self.is_waiting:
            return self._replicas.first(repeatable)
        return None

    def _may_repeat(self, replica: str, now_ms: int) -> bool:
        if self._phase_by_replica.get(replica) is not _Phase.REDIRECTED:
            return False
        redirected_ms = self._redirected_ms_by_replica[replica]
        return now_ms - redirected_ms >= REPEAT_DELAY_MS
