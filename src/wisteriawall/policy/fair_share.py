"""Shares of client accounts in engines whose capacity is short.

The load pattern: one large account sends a burst, and the requests of small
accounts wait behind it or are rejected with it. Each account has a share of the
engines' time, by cost and not by count. An account that got less than its share
lately may wait longer at an engine, and one that got more is rejected while
others are short. A request that meets its target latency is always accepted, so
an account may use whatever the others leave.

A gateway counts the work that it accepted itself. All gateways get requests of
all accounts, so that their shares are similar.
"""

from collections import OrderedDict
import dataclasses
import enum
import math
from typing import final

__all__ = ["FairShare", "Standing"]

MAX_ACCOUNTS = 1_024
# Work counts half after this time; bursts last seconds.
HALF_LIFE_MS = 3_000
# An account with less work than this is not active any more.
MIN_ACTIVE_WORK_MS = 1.0
# An account is over its share by this factor before it is rejected, since
# single long prompts exceed the share of a short time.
TOLERANCE = 1.25
# Others are short if one of them was late or rejected within this time.
SHORTAGE_MS = 2_000


@final
class Standing(enum.Enum):
    """Accepted work of an account compared with its share.

    NEUTRAL: It has about its share, or nothing is short.
    UNDER: It has less.
    OVER: It has more, and another account that has less is short.
    """

    NEUTRAL = enum.auto()
    UNDER = enum.auto()
    OVER = enum.auto()


@final
@dataclasses.dataclass(slots=True)
class _Account:
    work_ms: float = 0.0
    counted_ms: int = 0
    short_ms: int | None = None


@final
class FairShare:
    """Decaying work of the accounts that were active lately.

    At the limit, the account that was active least lately is dropped.
    """

    __slots__ = ("_account_by_name",)

    def __init__(self) -> None:
        self._account_by_name: OrderedDict[str, _Account] = OrderedDict()

    def add_work(self, name: str, work_ms: float, now_ms: int) -> None:
        """Count work that was accepted for an account."""
        if name:
            account = self._active(name, now_ms)
            account.work_ms += max(0.0, work_ms)

    def add_shortage(self, name: str, now_ms: int) -> None:
        """Record that a request of an account was late or rejected."""
        if name:
            self._active(name, now_ms).short_ms = now_ms

    def standing(self, name: str, now_ms: int) -> Standing:
        """Compare an account with the others; NEUTRAL without an account."""
        if not name:
            return Standing.NEUTRAL
        work_by_name: dict[str, float] = {}
        for other, account in list(self._account_by_name.items()):
            work_ms = _decayed(account, now_ms)
            if work_ms >= MIN_ACTIVE_WORK_MS or _is_short(account, now_ms):
                work_by_name[other] = work_ms
            else:
                del self._account_by_name[other]
        own_ms = work_by_name.get(name, 0.0)
        work_by_name[name] = own_ms
        share_ms = sum(work_by_name.values()) / len(work_by_name)
        if len(work_by_name) == 1:
            return Standing.NEUTRAL
        if own_ms * TOLERANCE < share_ms:
            return Standing.UNDER
        if own_ms <= share_ms * TOLERANCE:
            return Standing.NEUTRAL
        others_are_short = any(
            work_ms < share_ms
            and _is_short(self._account_by_name[other], now_ms)
            for other, work_ms in work_by_name.items()
            if other != name
        )
        return Standing.OVER if others_are_short else Standing.NEUTRAL

    def _active(self, name: str, now_ms: int) -> _Account:
        account = self._account_by_name.get(name)
        if account is None:
            if len(self._account_by_name) >= MAX_ACCOUNTS:
                self._account_by_name.popitem(last=False)
            account = self._account_by_name[name] = _Account()
        self._account_by_name.move_to_end(name)
        account.work_ms = _decayed(account, now_ms)
        account.counted_ms = now_ms
        return account


def _decayed(account: _Account, now_ms: int) -> float:
    age_ms = max(0, now_ms - account.counted_ms)
    return account.work_ms * math.pow(0.5, age_ms / HALF_LIFE_MS)


def _is_short(account: _Account, now_ms: int) -> bool:
    return (
        account.short_ms is not None
        and now_ms - account.short_ms <= SHORTAGE_MS
    )
