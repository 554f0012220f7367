"""Limits of runners on the requests that all gateways send them together.

The load pattern: a runner in need names the requests a second that it takes,
often fewer than one a window for each gateway, so the limit can't be divided
among them. Each gateway keeps the same token bucket for the runner instead: it
takes a token for each request that it or, by its load event, another gateway
sends there.

A load event takes some milliseconds, in which other gateways could use the same
token. So a request may use a token only some time after it became available,
up to `SPREAD_MS_PER_GATEWAY` for each gateway and different for each request.
Few requests compete for a token in its first milliseconds, and no rate is lost,
since the bucket holds what is saved meanwhile.

A gateway without contact with control, or without the load events that control
counts, does not hear of what the others send. It uses an even share of the
limit, so that gateways that are cut off from each other stay within the limit
together.
"""

from collections.abc import Collection
from collections.abc import Iterator
import dataclasses
import enum
import random as random_lib
from typing import final
import zlib

__all__ = ["Change", "ChangeKind", "RunnerLimits", "Source", "Usage"]

# Longest time that tokens are saved for.
SAVED_MS = 1_000
# Longer than a load event takes under load.
SPREAD_MS_PER_GATEWAY = 20
# Requests beyond the limit are made up for within this time.
DEBT_MS = 4_000
# Whether a limit of zero still holds shows only in an answer.
MIN_RATE_PER_S = 0.1
# A gateway asks control every 350 ms.
ISOLATED_MS = 900
# A limit that no answer has named for this long no longer holds. The rarest
# requests show several times whether it does.
EXPIRY_MS = 60_000
# Gateways that missed a value hear it again.
REPEAT_MS = 1_000
USAGE_INTERVAL_MS = 4_000
# Reservations whose request was not sent.
MAX_RESERVATIONS = 256
MS_PER_S = 1_000
CRC_RANGE = 2**32


@final
class Source(enum.StrEnum):
    """Where a value comes from; the values appear in the decision log."""

    ANSWER = "answer"
    GATEWAY = "gateway"
    CONTROL = "control"
    AGE = "age"


@final
class ChangeKind(enum.StrEnum):
    """What became of a limit; the values appear in the decision log."""

    LEARNT = "learnt"
    CHANGED = "changed"
    REPEATED = "repeated"
    ENDED = "ended"


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Change:
    """A value that other gateways should hear of.

    `per_s` is None if the runner has no limit any more, and `age_ms` the time
    since the request was sent whose answer named the value.
    """

    kind: ChangeKind
    per_s: float | None
    source: Source
    age_ms: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Usage:
    """What a limited runner got since the last report.

    `sent` counts the requests of all gateways, `sent_here` those of this one.
    `age_ms` is the time since an answer named the limit, and `is_isolated`
    tells that this gateway uses its share only.
    """

    per_s: float
    sent: int
    sent_here: int
    tokens: float
    age_ms: int
    interval_ms: int
    is_isolated: bool


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class _Limit:
    """A limit and its token bucket; times are on the monotonic clock.

    `per_s` is None once the limit has ended. `answered_ms` is when the request
    was sent whose answer gave the value, to tell older answers.
    """

    per_s: float | None
    answered_ms: int
    named_ms: int
    told_ms: int
    filled_ms: int
    reported_ms: int
    tokens: float = 0.0
    sent: int = 0
    sent_here: int = 0
    reserved_ids: dict[str, None] = dataclasses.field(default_factory=dict)

    @property
    def rate_per_s(self) -> float:
        """Return the rate at which requests may be sent."""
        return max(MIN_RATE_PER_S, self.per_s or 0.0)


@final
class RunnerLimits:
    """Limits by the start id of the runner.

    Args:
        random: Spreads what isolated gateways send.
    """

    __slots__ = ("_contact_ms", "_gateways", "_limit_by_id", "_random")

    def __init__(self, random: random_lib.Random) -> None:
        self._random = random
        self._limit_by_id: dict[str, _Limit] = {}
        self._gateways = 1
        self._contact_ms = 0

    def note_contact(
        self, gateways: int, now_ms: int, *, hears: bool = True
    ) -> None:
        """Record that control answered, and how many gateways there are.

        A gateway that does not hear the load events of others is isolated in
        spite of the contact.
        """
        for limit in self._limit_by_id.values():
            self._fill(limit, now_ms)
        self._gateways = max(1, gateways)
        if hears:
            self._contact_ms = now_ms

    def note_answer(
        self,
        runner: str,
        per_s: float | None,
        *,
        sent_ms: int,
        source: Source,
        now_ms: int,
    ) -> Change | None:
        """Record what an answer says; return what others should hear.

        Answers may overtake each other. One to an earlier request than the last
        one counts only if it lowers the limit.

        Args:
            runner: The runner.
            per_s: The limit that it names, None for none.
            sent_ms: Time at which the request of the answer was sent.
            source: Whether the answer came here or to another gateway.
            now_ms: Time of the answer.
        """
        limit = self._limit_by_id.get(runner)
        if limit is None:
            if per_s is None:
                return None
            limit = self._limit_by_id[runner] = _Limit(
                per_s=None,
                answered_ms=sent_ms,
                named_ms=now_ms,
                told_ms=now_ms,
                filled_ms=now_ms,
                reported_ms=now_ms,
            )
        elif sent_ms < limit.answered_ms and not _is_lower(per_s, limit.per_s):
            return None
        kind = self._set_value(limit, per_s, now_ms)
        limit.answered_ms = max(limit.answered_ms, sent_ms)
        limit.named_ms = now_ms
        if kind is None or (
            kind is ChangeKind.REPEATED
            and (
                source is not Source.ANSWER
                or now_ms - limit.told_ms < REPEAT_MS
            )
        ):
            return None
        limit.told_ms = now_ms
        return Change(
            kind=kind,
            per_s=per_s,
            source=source,
            age_ms=max(0, now_ms - sent_ms),
        )

    def note_known(
        self, runner: str, per_s: float | None, *, age_ms: int, now_ms: int
    ) -> Change | None:
        """Record what control has heard of gateways; return what is new.

        Control's answer takes a while, so that its ages are not exact: a value
        counts only if it is clearly newer than the one here.
        """
        limit = self._limit_by_id.get(runner)
        answered_ms = now_ms - age_ms
        if age_ms > EXPIRY_MS or (
            limit is not None
            and (
                per_s == limit.per_s
                or answered_ms <= limit.answered_ms + REPEAT_MS
            )
        ):
            return None
        return self.note_answer(
            runner,
            per_s,
            sent_ms=answered_ms,
            source=Source.CONTROL,
            now_ms=now_ms,
        )

    def known(self, now_ms: int) -> Iterator[tuple[str, float | None, int]]:
        """Yield each runner, its limit and the age, unless it is too old.

        Limits that have ended lately are among them, with None.
        """
        for runner, limit in self._limit_by_id.items():
            age_ms = now_ms - limit.answered_ms
            if age_ms <= EXPIRY_MS:
                yield runner, limit.per_s, age_ms

    def note_sent(
        self, runner: str, request_id: str, now_ms: int, *, is_own: bool
    ) -> None:
        """Take a token for a request, unless one is reserved for it."""
        limit = self._limit_by_id.get(runner)
        if limit is None or limit.per_s is None:
            return
        limit.sent += 1
        limit.sent_here += is_own
        if request_id in limit.reserved_ids:
            del limit.reserved_ids[request_id]
            return
        self._take(limit, now_ms, is_own=is_own)

    def reserve(
        self, runner: str, request_id: str, now_ms: int, *, is_own: bool
    ) -> None:
        """Take a token for a request that is sent to the runner later.

        Does nothing if the request has one, as after a prefill that failed.
        """
        limit = self._limit_by_id.get(runner)
        if limit is None or limit.per_s is None:
            return
        if request_id in limit.reserved_ids:
            return
        limit.reserved_ids[request_id] = None
        if len(limit.reserved_ids) > MAX_RESERVATIONS:
            del limit.reserved_ids[next(iter(limit.reserved_ids))]
        self._take(limit, now_ms, is_own=is_own)

    def is_limited(self, runner: str) -> bool:
        """Return whether a runner names a limit."""
        limit = self._limit_by_id.get(runner)
        return limit is not None and limit.per_s is not None

    def may_send(self, runner: str, request_id: str, now_ms: int) -> bool:
        """Return whether the limit leaves a token for a request."""
        return not self.resume_ms(runner, request_id, now_ms)

    def resume_ms(self, runner: str, request_id: str, now_ms: int) -> int:
        """Return the time until a request may be sent, 0 if it may be now."""
        limit = self._limit_by_id.get(runner)
        if limit is None or limit.per_s is None:
            return 0
        if request_id in limit.reserved_ids:
            return 0
        self._fill(limit, now_ms)
        rate_per_s = limit.rate_per_s
        if self._is_isolated(now_ms):
            missing, rate_per_s = 1 - limit.tokens, rate_per_s / self._gateways
        else:
            spread_ms = min(SAVED_MS, SPREAD_MS_PER_GATEWAY * self._gateways)
            draw = zlib.crc32(f"{runner} {request_id}".encode()) / CRC_RANGE
            delayed = draw * spread_ms / MS_PER_S * rate_per_s
            missing = 1 + delayed - limit.tokens
        if missing <= 0:
            return 0
        return max(1, round(missing / rate_per_s * MS_PER_S))

    def expire(self, now_ms: int) -> Iterator[tuple[str, Change]]:
        """End the limits that no answer has named for long."""
        for runner, limit in self._limit_by_id.items():
            age_ms = now_ms - limit.named_ms
            if limit.per_s is not None and age_ms > EXPIRY_MS:
                limit.per_s = None
                yield (
                    runner,
                    Change(
                        kind=ChangeKind.ENDED,
                        per_s=None,
                        source=Source.AGE,
                        age_ms=age_ms,
                    ),
                )

    def report(self, now_ms: int) -> Iterator[tuple[str, Usage]]:
        """Yield what each limited runner got, at most every few seconds."""
        for runner, limit in self._limit_by_id.items():
            interval_ms = now_ms - limit.reported_ms
            if limit.per_s is None or interval_ms < USAGE_INTERVAL_MS:
                continue
            self._fill(limit, now_ms)
            yield (
                runner,
                Usage(
                    per_s=limit.per_s,
                    sent=limit.sent,
                    sent_here=limit.sent_here,
                    tokens=limit.tokens,
                    age_ms=now_ms - limit.named_ms,
                    interval_ms=interval_ms,
                    is_isolated=self._is_isolated(now_ms),
                ),
            )
            limit.reported_ms = now_ms
            limit.sent = limit.sent_here = 0

    def drop_unlisted(self, listed: Collection[str], now_ms: int) -> None:
        """Forget runners that are not listed and were not heard of lately.

        An entry of the list can be unreadable for a time.
        """
        for runner, limit in list(self._limit_by_id.items()):
            if runner not in listed and now_ms - limit.named_ms > EXPIRY_MS:
                del self._limit_by_id[runner]

    def _set_value(
        self, limit: _Limit, per_s: float | None, now_ms: int
    ) -> ChangeKind | None:
        """Set the value of a limit; return None if it has ended before."""
        previous = limit.per_s
        if per_s is None:
            limit.per_s = None
            limit.reserved_ids.clear()
            return None if previous is None else ChangeKind.ENDED
        if per_s == previous:
            return ChangeKind.REPEATED
        if previous is None:
            # What others have sent meanwhile is not known.
            limit.tokens, limit.filled_ms = 0.0, now_ms
            limit.reported_ms = now_ms
            limit.sent = limit.sent_here = 0
        else:
            self._fill(limit, now_ms)
        limit.per_s = per_s
        return ChangeKind.LEARNT if previous is None else ChangeKind.CHANGED

    def _take(self, limit: _Limit, now_ms: int, *, is_own: bool) -> None:
        """Take a token; shares of isolated gateways are used by each alone."""
        self._fill(limit, now_ms)
        if is_own or not self._is_isolated(now_ms):
            debt = max(1.0, limit.rate_per_s * DEBT_MS / MS_PER_S)
            limit.tokens = max(-debt, limit.tokens - 1)

    def _fill(self, limit: _Limit, now_ms: int) -> None:
        """Add the tokens since the last call."""
        rate_per_ms = limit.rate_per_s / MS_PER_S
        isolated_ms = self._contact_ms + ISOLATED_MS
        shared_ms = min(now_ms, isolated_ms) - limit.filled_ms
        if shared_ms > 0:
            most = 1 + rate_per_ms * SAVED_MS
            limit.tokens = min(most, limit.tokens + shared_ms * rate_per_ms)
            limit.filled_ms += shared_ms
        if now_ms <= max(isolated_ms, limit.filled_ms):
            return
        if limit.filled_ms == isolated_ms:
            # Other gateways may use what is saved here. Gateways that are
            # isolated at once must not use their shares at once.
            limit.tokens = min(limit.tokens, self._random.random())
        share = (now_ms - limit.filled_ms) * rate_per_ms / self._gateways
        limit.tokens = min(1.0, limit.tokens + share)
        limit.filled_ms = now_ms

    def _is_isolated(self, now_ms: int) -> bool:
        return now_ms - self._contact_ms > ISOLATED_MS


def _is_lower(per_s: float | None, other: float | None) -> bool:
    return per_s is not None and other is not None and per_s < other
