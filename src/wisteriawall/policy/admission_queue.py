"""Admission queue of one service at one entry, with fair sharing.

Requests wait until a runner has free capacity. Interactive requests go ahead of
backlog requests, which are guaranteed a share of the tokens. Within a priority
class the account that was served the fewest tokens is next, and within an
account the request with the earliest latest start. A request that can't meet
its deadline is refused as soon as this can be predicted.
"""

from collections.abc import Iterator
import dataclasses
import enum
import heapq
import random
from typing import final

__all__ = [
    "AdmissionQueue",
    "Priority",
    "QueueLimits",
    "QueuedRequest",
    "Reason",
    "Refused",
    "cancel",
    "correct_charge",
    "dequeue",
    "enqueue",
    "refuse_expired",
]

MIN_RETRY_AFTER_MS = 500
MAX_RETRY_AFTER_MS = 60_000
RETRY_JITTER_SHARE = 0.5
# Share of the time to its deadline that a request may always wait.
MIN_QUEUEING_SHARE = 0.1
# Accounts whose served tokens are stored.
MAX_ACCOUNTS = 4_096
# Dequeued requests whose actual tokens may still be reported.
MAX_UNSETTLED = 16_384
RATE_WINDOW_MS = 1_000
RATE_SMOOTHING = 0.3


@final
class Priority(enum.IntEnum):
    """Priority class of a request."""

    INTERACTIVE = 0
    BACKLOG = 1


@final
class Reason(enum.StrEnum):
    """Reason why a request was refused before it was dispatched."""

    ACCOUNT_FULL = "account-full"
    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class QueuedRequest:
    """Request to enqueue.

    Attributes:
        request_id: Identifier of the request.
        account: Client account, the unit of fair sharing.
        tokens: Estimated prompt and answer tokens.
        run_ms: Estimated time from dispatch to the end of the answer.
        deadline_ms: Latest end of the answer, on the clock of `now_ms`.
        arrival_ms: When the request arrived.
        priority: Priority class.
        weight: Share of the account: weight 2 gets twice the tokens of 1.
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
        """Latest dispatch time to meet the deadline.

        It is never before `MIN_QUEUEING_SHARE` of the available time has
        passed. Thus an overestimated `run_ms` alone never causes a refusal, and
        the estimate is corrected once the answer is measured.
        """
        total_ms = self.deadline_ms - self.arrival_ms
        min_start_ms = self.arrival_ms + round(total_ms * MIN_QUEUEING_SHARE)
        return max(self.deadline_ms - self.run_ms, min_start_ms)


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Refused:
    """Request that was refused, and when its caller may retry."""

    waiting: QueuedRequest
    reason: Reason
    retry_after_ms: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class QueueLimits:
    """Limits of one queue.

    Attributes:
        max_waiting: Most waiting requests.
        max_waiting_by_account: Most waiting requests of an account in one
            priority class.
        backlog_share: Guaranteed share of the backlog class in the dequeued
            tokens.
    """

    max_waiting: int = 1_024
    max_waiting_by_account: int = 256
    backlog_share: float = 0.1


_RequestHeap = list[tuple[int, int, QueuedRequest]]


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class _PriorityClass:
    """Waiting requests of one priority class.

    Attributes:
        served_tokens: Tokens dequeued so far. It is raised when the class stops
            being empty, so that an empty class gains no credit.
        tokens: Estimated tokens of the waiting requests.
        waiting: Number of waiting requests.
        heap_by_account: Waiting requests, earliest latest start first.
        tokens_by_account: Estimated tokens of the waiting requests.
    """

    served_tokens: float = 0.0
    tokens: int = 0
    waiting: int = 0
    heap_by_account: dict[str, _RequestHeap] = dataclasses.field(
        default_factory=dict
    )
    tokens_by_account: dict[str, int] = dataclasses.field(default_factory=dict)


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class AdmissionQueue:
    """State of one service's queue.

    Attributes:
        limits: Limits of the queue.
        class_by_priority: Waiting requests of each `Priority`, by its value.
        waiting_by_id: All waiting requests.
        served_tokens_by_account: Dequeued tokens divided by the weight.
        unsettled_by_id: Dequeued requests without a `correct_charge` so far.
        tokens_per_ms: Measured rate of dequeued tokens while requests wait, 0
            before the first measurement.
        window_start_ms: Start of the current rate measurement.
        window_tokens: Tokens dequeued since then.
        enqueued: Number of requests enqueued so far, which breaks ties.
    """

    limits: QueueLimits = dataclasses.field(default_factory=QueueLimits)
    class_by_priority: tuple[_PriorityClass, _PriorityClass] = (
        dataclasses.field(
            default_factory=lambda: (_PriorityClass(), _PriorityClass())
        )
    )
    waiting_by_id: dict[str, QueuedRequest] = dataclasses.field(
        default_factory=dict
    )
    served_tokens_by_account: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    unsettled_by_id: dict[str, QueuedRequest] = dataclasses.field(
        default_factory=dict
    )
    tokens_per_ms: float = 0.0
    window_start_ms: int = -1
    window_tokens: int = 0
    enqueued: int = 0


def enqueue(
    queue: AdmissionQueue,
    waiting: QueuedRequest,
    *,
    now_ms: int,
    rng: random.Random,
) -> Refused | None:
    """Enqueue a request; return a refusal if it is not accepted."""
    own_class = queue.class_by_priority[waiting.priority]
    wait_ms = _expected_wait_ms(queue, waiting)
    late_ms = round(now_ms + wait_ms - waiting.latest_start_ms)
    account_waiting = len(own_class.heap_by_account.get(waiting.account, ()))
    if late_ms > 0:
        return _refuse(waiting, Reason.DEADLINE, late_ms, rng)
    if len(queue.waiting_by_id) >= queue.limits.max_waiting:
        return _refuse(waiting, Reason.QUEUE_FULL, round(wait_ms / 2), rng)
    if account_waiting >= queue.limits.max_waiting_by_account:
        return _refuse(waiting, Reason.ACCOUNT_FULL, round(wait_ms / 2), rng)
    if not queue.waiting_by_id:
        queue.window_start_ms, queue.window_tokens = now_ms, 0
    _insert(queue, waiting)
    return None


def dequeue(queue: AdmissionQueue, *, now_ms: int) -> QueuedRequest | None:
    """Remove and return the next request to dispatch, None if none waits.

    Call `refuse_expired` first, so that no late request is dispatched.
    """
    own_class = _next_class(queue)
    if own_class is None:
        return None
    account = min(
        own_class.heap_by_account,
        key=lambda name: (queue.served_tokens_by_account.get(name, 0.0), name),
    )
    waiting = own_class.heap_by_account[account][0][2]
    _remove(queue, waiting)
    own_class.served_tokens += waiting.tokens
    queue.served_tokens_by_account[account] += waiting.tokens / waiting.weight
    queue.unsettled_by_id[waiting.request_id] = waiting
    if len(queue.unsettled_by_id) > MAX_UNSETTLED:
        del queue.unsettled_by_id[next(iter(queue.unsettled_by_id))]
    _measure_rate(queue, waiting.tokens, now_ms)
    return waiting


def refuse_expired(
    queue: AdmissionQueue, *, now_ms: int, rng: random.Random
) -> Iterator[Refused]:
    """Remove the requests that can't start in time and yield their refusals."""
    late = [
        entry[2]
        for own_class in queue.class_by_priority
        for heap in own_class.heap_by_account.values()
        if heap[0][0] < now_ms
        for entry in heap
        if entry[0] < now_ms
    ]
    for waiting in late:
        _remove(queue, waiting)
        wait_ms = round(_expected_wait_ms(queue, waiting))
        yield _refuse(waiting, Reason.DEADLINE, wait_ms, rng)


def cancel(queue: AdmissionQueue, request_id: str) -> bool:
    """Remove a waiting request; return False if it is not in the queue."""
    waiting = queue.waiting_by_id.get(request_id)
    if waiting is None:
        return False
    _remove(queue, waiting)
    return True


def correct_charge(
    queue: AdmissionQueue, request_id: str, *, actual_tokens: int
) -> None:
    """Correct the tokens charged for a dequeued request to the actual ones."""
    waiting = queue.unsettled_by_id.pop(request_id, None)
    if waiting is None:
        return
    difference = actual_tokens - waiting.tokens
    queue.class_by_priority[waiting.priority].served_tokens += difference
    if waiting.account in queue.served_tokens_by_account:
        served_tokens = difference / waiting.weight
        queue.served_tokens_by_account[waiting.account] += served_tokens


def _insert(queue: AdmissionQueue, waiting: QueuedRequest) -> None:
    own_class = queue.class_by_priority[waiting.priority]
    if own_class.waiting == 0:
        _reset_class_credit(queue, waiting.priority)
    _reset_account_credit(queue, waiting.account)
    queue.enqueued += 1
    heap = own_class.heap_by_account.setdefault(waiting.account, [])
    heapq.heappush(heap, (waiting.latest_start_ms, queue.enqueued, waiting))
    own_class.waiting += 1
    own_class.tokens += waiting.tokens
    previous = own_class.tokens_by_account.get(waiting.account, 0)
    own_class.tokens_by_account[waiting.account] = previous + waiting.tokens
    queue.waiting_by_id[waiting.request_id] = waiting


def _remove(queue: AdmissionQueue, waiting: QueuedRequest) -> None:
    own_class = queue.class_by_priority[waiting.priority]
    del queue.waiting_by_id[waiting.request_id]
    heap = own_class.heap_by_account[waiting.account]
    if heap[0][2] is waiting:
        heapq.heappop(heap)
    else:
        heap[:] = [entry for entry in heap if entry[2] is not waiting]
        heapq.heapify(heap)
    own_class.waiting -= 1
    own_class.tokens -= waiting.tokens
    own_class.tokens_by_account[waiting.account] -= waiting.tokens
    if not heap:
        del own_class.heap_by_account[waiting.account]
        del own_class.tokens_by_account[waiting.account]


def _reset_class_credit(queue: AdmissionQueue, priority: Priority) -> None:
    """Remove the credit that a priority class gained while it was empty."""
    own_class, other_class = (
        queue.class_by_priority[priority],
        queue.class_by_priority[1 - priority],
    )
    if other_class.waiting == 0:
        return
    normalized_tokens = other_class.served_tokens / _class_share(
        queue, Priority(1 - priority)
    )
    own_class.served_tokens = max(
        own_class.served_tokens,
        normalized_tokens * _class_share(queue, priority),
    )


def _reset_account_credit(queue: AdmissionQueue, account: str) -> None:
    """Remove the credit that an account gained without waiting requests."""
    accounts = {
        name
        for own_class in queue.class_by_priority
        for name in own_class.heap_by_account
    }
    if account in accounts:
        return
    served_tokens = queue.served_tokens_by_account.pop(account, 0.0)
    least_served = min(
        (queue.served_tokens_by_account[name] for name in accounts),
        default=served_tokens,
    )
    if len(queue.served_tokens_by_account) >= MAX_ACCOUNTS:
        idle = (
            other
            for other in queue.served_tokens_by_account
            if other not in accounts
        )
        del queue.served_tokens_by_account[next(idle)]
    queue.served_tokens_by_account[account] = max(served_tokens, least_served)


def _next_class(queue: AdmissionQueue) -> _PriorityClass | None:
    interactive, backlog = queue.class_by_priority
    if not backlog.waiting:
        return interactive if interactive.waiting else None
    if not interactive.waiting:
        return backlog
    normalized_tokens = interactive.served_tokens / _class_share(
        queue, Priority.INTERACTIVE
    )
    backlog_is_due = (
        backlog.served_tokens / _class_share(queue, Priority.BACKLOG)
        < normalized_tokens
    )
    return backlog if backlog_is_due else interactive


def _class_share(queue: AdmissionQueue, priority: Priority) -> float:
    backlog = queue.limits.backlog_share
    return backlog if priority is Priority.BACKLOG else 1.0 - backlog


def _expected_wait_ms(queue: AdmissionQueue, waiting: QueuedRequest) -> float:
    """Return the predicted wait under fair sharing at the measured rate.

    Within the account only requests with an earlier latest start go ahead.
    """
    if queue.tokens_per_ms <= 0.0 or not queue.waiting_by_id:
        return 0.0
    own_class = queue.class_by_priority[waiting.priority]
    heap = own_class.heap_by_account.get(waiting.account, [])
    own_tokens = sum(
        entry[2].tokens for entry in heap if entry[0] <= waiting.latest_start_ms
    )
    accounts = len(own_class.heap_by_account) + (not heap)
    tokens_ahead = float(
        min(own_class.tokens, (own_tokens + waiting.tokens) * accounts)
    )
    other_class = queue.class_by_priority[1 - waiting.priority]
    if other_class.waiting:
        share = _class_share(queue, waiting.priority)
        tokens_ahead = min(
            tokens_ahead / share, tokens_ahead + other_class.tokens
        )
    return tokens_ahead / queue.tokens_per_ms


def _measure_rate(queue: AdmissionQueue, tokens: int, now_ms: int) -> None:
    queue.window_tokens += tokens
    elapsed_ms = now_ms - queue.window_start_ms
    if elapsed_ms >= RATE_WINDOW_MS:
        rate = queue.window_tokens / elapsed_ms
        smoothing = RATE_SMOOTHING if queue.tokens_per_ms else 1.0
        queue.tokens_per_ms += smoothing * (rate - queue.tokens_per_ms)
        queue.window_start_ms, queue.window_tokens = now_ms, 0


def _refuse(
    waiting: QueuedRequest, reason: Reason, wait_ms: int, rng: random.Random
) -> Refused:
    base_ms = max(MIN_RETRY_AFTER_MS, wait_ms)
    jittered_ms = base_ms * (1 + RETRY_JITTER_SHARE * rng.random())
    return Refused(
        waiting=waiting,
        reason=reason,
        retry_after_ms=round(min(MAX_RETRY_AFTER_MS, jittered_ms)),
    )
