"""Admission of one service's requests at one entry: bounds and fair share.

Requests wait until a runner has room for them. Interactive work goes ahead
of backlog work, which keeps a share of the tokens. Within a class the
account that was served the fewest tokens goes first, and within an account
the request that must start earliest. What can't meet its deadline is refused
as soon as that is foreseen, never held.
"""

from collections.abc import Iterator
import dataclasses
import enum
import heapq
import random
from typing import final

__all__ = [
    "AdmissionQueue",
    "Bounds",
    "Priority",
    "Reason",
    "Refused",
    "Waiting",
    "cancel",
    "expire",
    "offer",
    "settle",
    "take",
]

MIN_RETRY_AFTER_MS = 500
MAX_RETRY_AFTER_MS = 60_000
JITTER_SHARE = 0.5
MIN_WAIT_SHARE = 0.1
MAX_ACCOUNTS = 4_096
MAX_UNSETTLED = 16_384
RATE_WINDOW_MS = 1_000
RATE_SMOOTHING = 0.3


@final
class Priority(enum.IntEnum):
    """Class of a request."""

    INTERACTIVE = 0
    BACKLOG = 1


@final
class Reason(enum.StrEnum):
    """Why a request was refused without being run."""

    ACCOUNT_FULL = "account-full"
    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Waiting:
    """A request that asks for admission.

    `tokens` is its estimated work and `run_ms` how long it takes to run;
    `deadline_ms` is on the clock that the caller passes as `now_ms`. An
    account of weight 2 gets twice the tokens of one of weight 1.
    """

    request_id: str
    account: str
    tokens: int
    run_ms: int
    deadline_ms: int
    arrival_ms: int
    priority: Priority = Priority.INTERACTIVE
    weight: float = 1.0

    @property
    def latest_start_ms(self) -> int:
        """Return when it must be dispatched to meet its deadline.

        A too long estimate alone never refuses a request: it may always
        wait for a share of its time, so that a wrong estimate is corrected
        by what the answer takes.
        """
        time_ms = self.deadline_ms - self.arrival_ms
        least_ms = self.arrival_ms + round(time_ms * MIN_WAIT_SHARE)
        return max(self.deadline_ms - self.run_ms, least_ms)


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Refused:
    """A request given up before it was run, and when to come back."""

    waiting: Waiting
    reason: Reason
    retry_after_ms: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Bounds:
    """Bounds of one queue; `backlog_share` is of the tokens released."""

    max_waiting: int = 1_024
    max_waiting_by_account: int = 256
    backlog_share: float = 0.1


_Heap = list[tuple[int, int, Waiting]]


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class _Class:
    """Waiting requests of one priority; the heaps hold cancelled ones."""

    served: float = 0.0
    tokens: int = 0
    waiting: int = 0
    heap_by_account: dict[str, _Heap] = dataclasses.field(default_factory=dict)
    tokens_by_account: dict[str, int] = dataclasses.field(default_factory=dict)


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class AdmissionQueue:
    """State of one service's queue.

    `tokens_per_ms` is the measured rate at which work leaves while some
    waits, 0 until it was measured.
    """

    bounds: Bounds = dataclasses.field(default_factory=Bounds)
    classes: tuple[_Class, _Class] = dataclasses.field(
        default_factory=lambda: (_Class(), _Class())
    )
    waiting_by_id: dict[str, Waiting] = dataclasses.field(default_factory=dict)
    served_by_account: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    unsettled_by_id: dict[str, Waiting] = dataclasses.field(
        default_factory=dict
    )
    tokens_per_ms: float = 0.0
    window_start_ms: int = -1
    window_tokens: int = 0
    arrivals: int = 0


def offer(
    queue: AdmissionQueue,
    waiting: Waiting,
    *,
    now_ms: int,
    rng: random.Random,
) -> Refused | None:
    """Queue a request; return its refusal if it is not taken in."""
    own = queue.classes[waiting.priority]
    wait_ms = _expected_wait_ms(queue, waiting)
    late_ms = round(now_ms + wait_ms - waiting.latest_start_ms)
    of_account = len(own.heap_by_account.get(waiting.account, ()))
    if late_ms > 0:
        return _refuse(waiting, Reason.DEADLINE, late_ms, rng)
    if len(queue.waiting_by_id) >= queue.bounds.max_waiting:
        return _refuse(waiting, Reason.QUEUE_FULL, round(wait_ms / 2), rng)
    if of_account >= queue.bounds.max_waiting_by_account:
        return _refuse(waiting, Reason.ACCOUNT_FULL, round(wait_ms / 2), rng)
    if not queue.waiting_by_id:
        queue.window_start_ms, queue.window_tokens = now_ms, 0
    _insert(queue, waiting)
    return None


def take(queue: AdmissionQueue, *, now_ms: int) -> Waiting | None:
    """Return the next request to dispatch, None if none waits.

    Call `expire` first, so that what is too late is refused, not run.
    """
    own = _next_class(queue)
    if own is None:
        return None
    account = min(
        own.heap_by_account,
        key=lambda name: (queue.served_by_account.get(name, 0.0), name),
    )
    waiting = own.heap_by_account[account][0][2]
    _remove(queue, waiting)
    own.served += waiting.tokens
    queue.served_by_account[account] += waiting.tokens / waiting.weight
    queue.unsettled_by_id[waiting.request_id] = waiting
    if len(queue.unsettled_by_id) > MAX_UNSETTLED:
        del queue.unsettled_by_id[next(iter(queue.unsettled_by_id))]
    _measure_rate(queue, waiting.tokens, now_ms)
    return waiting


def expire(
    queue: AdmissionQueue, *, now_ms: int, rng: random.Random
) -> Iterator[Refused]:
    """Yield a refusal for each request that can't start in time."""
    late = [
        entry[2]
        for own in queue.classes
        for heap in own.heap_by_account.values()
        if heap[0][0] < now_ms
        for entry in heap
        if entry[0] < now_ms
    ]
    for waiting in late:
        _remove(queue, waiting)
        wait_ms = round(_expected_wait_ms(queue, waiting))
        yield _refuse(waiting, Reason.DEADLINE, wait_ms, rng)


def cancel(queue: AdmissionQueue, request_id: str) -> bool:
    """Remove a request whose caller left; False if it doesn't wait."""
    waiting = queue.waiting_by_id.get(request_id)
    if waiting is None:
        return False
    _remove(queue, waiting)
    return True


def settle(
    queue: AdmissionQueue, request_id: str, *, actual_tokens: int
) -> None:
    """Charge the account what a released request really took."""
    waiting = queue.unsettled_by_id.pop(request_id, None)
    if waiting is None:
        return
    difference = actual_tokens - waiting.tokens
    queue.classes[waiting.priority].served += difference
    if waiting.account in queue.served_by_account:
        served = difference / waiting.weight
        queue.served_by_account[waiting.account] += served


def _insert(queue: AdmissionQueue, waiting: Waiting) -> None:
    own = queue.classes[waiting.priority]
    if own.waiting == 0:
        _lift_class(queue, waiting.priority)
    _lift_account(queue, waiting.account)
    queue.arrivals += 1
    heap = own.heap_by_account.setdefault(waiting.account, [])
    heapq.heappush(heap, (waiting.latest_start_ms, queue.arrivals, waiting))
    own.waiting += 1
    own.tokens += waiting.tokens
    before = own.tokens_by_account.get(waiting.account, 0)
    own.tokens_by_account[waiting.account] = before + waiting.tokens
    queue.waiting_by_id[waiting.request_id] = waiting


def _remove(queue: AdmissionQueue, waiting: Waiting) -> None:
    own = queue.classes[waiting.priority]
    del queue.waiting_by_id[waiting.request_id]
    heap = own.heap_by_account[waiting.account]
    if heap[0][2] is waiting:
        heapq.heappop(heap)
    else:
        heap[:] = [entry for entry in heap if entry[2] is not waiting]
        heapq.heapify(heap)
    own.waiting -= 1
    own.tokens -= waiting.tokens
    own.tokens_by_account[waiting.account] -= waiting.tokens
    if not heap:
        del own.heap_by_account[waiting.account]
        del own.tokens_by_account[waiting.account]


def _lift_class(queue: AdmissionQueue, priority: Priority) -> None:
    """Give a class that was empty no credit for the time before."""
    own, other = queue.classes[priority], queue.classes[1 - priority]
    if other.waiting == 0:
        return
    owed = other.served / _share(queue, Priority(1 - priority))
    own.served = max(own.served, owed * _share(queue, priority))


def _lift_account(queue: AdmissionQueue, account: str) -> None:
    """Give an account that had nothing waiting no credit for it."""
    accounts = {name for own in queue.classes for name in own.heap_by_account}
    if account in accounts:
        return
    served = queue.served_by_account.pop(account, 0.0)
    floor = min(
        (queue.served_by_account[name] for name in accounts), default=served
    )
    if len(queue.served_by_account) >= MAX_ACCOUNTS:
        idle = (n for n in queue.served_by_account if n not in accounts)
        del queue.served_by_account[next(idle)]
    queue.served_by_account[account] = max(served, floor)


def _next_class(queue: AdmissionQueue) -> _Class | None:
    interactive, backlog = queue.classes
    if not backlog.waiting:
        return interactive if interactive.waiting else None
    if not interactive.waiting:
        return backlog
    owed = interactive.served / _share(queue, Priority.INTERACTIVE)
    is_behind = backlog.served / _share(queue, Priority.BACKLOG) < owed
    return backlog if is_behind else interactive


def _share(queue: AdmissionQueue, priority: Priority) -> float:
    backlog = queue.bounds.backlog_share
    return backlog if priority is Priority.BACKLOG else 1.0 - backlog


def _expected_wait_ms(queue: AdmissionQueue, waiting: Waiting) -> float:
    """Return the wait under fair share at the measured rate.

    Only what must start earlier goes ahead within the account.
    """
    if queue.tokens_per_ms <= 0.0 or not queue.waiting_by_id:
        return 0.0
    own = queue.classes[waiting.priority]
    heap = own.heap_by_account.get(waiting.account, [])
    own_tokens = sum(
        entry[2].tokens for entry in heap if entry[0] <= waiting.latest_start_ms
    )
    accounts = len(own.heap_by_account) + (not heap)
    ahead = float(min(own.tokens, (own_tokens + waiting.tokens) * accounts))
    other = queue.classes[1 - waiting.priority]
    if other.waiting:
        share = _share(queue, waiting.priority)
        ahead = min(ahead / share, ahead + other.tokens)
    return ahead / queue.tokens_per_ms


def _measure_rate(queue: AdmissionQueue, tokens: int, now_ms: int) -> None:
    queue.window_tokens += tokens
    elapsed_ms = now_ms - queue.window_start_ms
    if elapsed_ms >= RATE_WINDOW_MS:
        rate = queue.window_tokens / elapsed_ms
        smoothing = RATE_SMOOTHING if queue.tokens_per_ms else 1.0
        queue.tokens_per_ms += smoothing * (rate - queue.tokens_per_ms)
        queue.window_start_ms, queue.window_tokens = now_ms, 0


def _refuse(
    waiting: Waiting, reason: Reason, wait_ms: int, rng: random.Random
) -> Refused:
    base_ms = max(MIN_RETRY_AFTER_MS, wait_ms)
    jittered_ms = base_ms * (1 + JITTER_SHARE * rng.random())
    return Refused(
        waiting=waiting,
        reason=reason,
        retry_after_ms=round(min(MAX_RETRY_AFTER_MS, jittered_ms)),
    )
