"""Tests of the admission queue: limits, fair sharing and deadlines."""

from collections import Counter
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from wisteriawall.policy import admission_queue

BACKLOG = admission_queue.Priority.BACKLOG
INTERACTIVE = admission_queue.Priority.INTERACTIVE


def _request(number, **fields):
    defaults = {
        "request_id": f"r{number}",
        "account": "shop",
        "tokens": 100,
        "run_ms": 100,
        "deadline_ms": 1_000_000,
        "arrival_ms": 0,
    }
    return admission_queue.QueuedRequest(**(defaults | fields))


def _enqueue(queue, waiting, now_ms=0):
    rng = random.Random(1)
    return admission_queue.enqueue(queue, waiting, now_ms=now_ms, rng=rng)


def _count_dequeued_by_account(queue, count):
    dequeued = [admission_queue.dequeue(queue, now_ms=0) for _ in range(count)]
    return Counter(w.account for w in dequeued if w is not None)


@pytest.mark.parametrize(
    ("queue_limits", "reason"),
    [
        pytest.param(
            admission_queue.QueueLimits(max_waiting=2),
            admission_queue.Reason.QUEUE_FULL,
            id="queue",
        ),
        pytest.param(
            admission_queue.QueueLimits(max_waiting_by_account=2),
            admission_queue.Reason.ACCOUNT_FULL,
            id="account",
        ),
    ],
)
def test_full_queue_refuses_with_a_retry_time(queue_limits, reason):
    queue = admission_queue.AdmissionQueue(limits=queue_limits)
    answers = [_enqueue(queue, _request(i)) for i in range(3)]
    assert answers[:2] == [None, None]
    assert answers[2] is not None
    assert answers[2].reason is reason
    assert answers[2].retry_after_ms >= admission_queue.MIN_RETRY_AFTER_MS


def test_request_that_would_miss_its_deadline_is_refused_at_arrival():
    queue = admission_queue.AdmissionQueue(tokens_per_ms=1.0)
    earlier = _request(0, tokens=50_000, deadline_ms=15_000)
    assert _enqueue(queue, earlier) is None
    urgent = _request(1, deadline_ms=3_000, run_ms=1_000)
    assert _enqueue(queue, urgent) is None, "its latest start is earlier"
    refused = _enqueue(queue, _request(2, deadline_ms=20_000))
    assert refused is not None
    assert refused.reason is admission_queue.Reason.DEADLINE


def test_late_requests_are_refused_and_never_dequeued():
    queue = admission_queue.AdmissionQueue()
    _enqueue(queue, _request(0, deadline_ms=1_000))
    _enqueue(queue, _request(1, deadline_ms=9_000))
    rng = random.Random(1)
    refused = list(admission_queue.refuse_expired(queue, now_ms=901, rng=rng))
    assert [r.waiting.request_id for r in refused] == ["r0"]
    dequeued = admission_queue.dequeue(queue, now_ms=901)
    assert dequeued is not None
    assert dequeued.request_id == "r1"


def test_too_long_run_time_estimate_causes_no_refusal():
    queue = admission_queue.AdmissionQueue()
    overestimated = _request(0, run_ms=10**9, deadline_ms=3_000)
    assert _enqueue(queue, overestimated) is None


def test_accounts_share_tokens_by_weight():
    queue = admission_queue.AdmissionQueue()
    for i in range(100):
        _enqueue(queue, _request(f"a{i}", account="a", weight=2.0))
        _enqueue(queue, _request(f"b{i}", account="b"))
        _enqueue(queue, _request(f"c{i}", account="c", tokens=200))
    dequeued = _count_dequeued_by_account(queue, 80)
    assert dequeued["a"] == pytest.approx(2 * dequeued["b"], abs=2)
    assert dequeued["b"] == pytest.approx(2 * dequeued["c"], abs=2)


def test_corrected_charge_delays_the_account():
    queue = admission_queue.AdmissionQueue()
    for i in range(60):
        _enqueue(queue, _request(f"a{i}", account="a"))
        _enqueue(queue, _request(f"b{i}", account="b"))
    first = admission_queue.dequeue(queue, now_ms=0)
    assert first is not None
    admission_queue.correct_charge(queue, first.request_id, actual_tokens=2_100)
    later = _count_dequeued_by_account(queue, 20)
    assert first.account not in later


def test_backlog_gets_its_share_behind_interactive_requests():
    queue = admission_queue.AdmissionQueue()
    for i in range(200):
        _enqueue(queue, _request(f"b{i}", account="b", priority=BACKLOG))
        _enqueue(queue, _request(f"i{i}", account="i", priority=INTERACTIVE))
    dequeued = _count_dequeued_by_account(queue, 100)
    assert 9 <= dequeued["b"] <= 11


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ["enqueue", "dequeue", "refuse_expired", "cancel", "correct_charge"]
        ),
        st.integers(0, 30),
        st.sampled_from("ab"),
        st.sampled_from(admission_queue.Priority),
    ),
    max_size=80,
)


@hypothesis.given(OPERATIONS)
def test_limits_hold_and_every_request_has_one_outcome(operations):
    queue_limits = admission_queue.QueueLimits(
        max_waiting=6, max_waiting_by_account=3
    )
    queue = admission_queue.AdmissionQueue(limits=queue_limits)
    outcomes: Counter[str] = Counter()
    submitted_ids: set[str] = set()
    for now_ms, operation in enumerate(operations):
        outcomes.update(
            _apply_operation(queue, operation, now_ms, submitted_ids)
        )
        assert len(queue.waiting_by_id) <= 6
        for priority_class in queue.class_by_priority:
            assert all(
                len(h) <= 3 for h in priority_class.heap_by_account.values()
            )
    while (
        dequeued := admission_queue.dequeue(queue, now_ms=10**6)
    ) is not None:
        outcomes[dequeued.request_id] += 1
    assert outcomes == Counter(submitted_ids)


def _apply_operation(queue, operation, now_ms, submitted_ids):
    """Apply one operation; return the requests that get their outcome by it."""
    kind, number, account, priority = operation
    request_id = f"r{number}"
    match kind:
        case "enqueue" if request_id not in submitted_ids:
            submitted_ids.add(request_id)
            waiting = _request(
                number,
                account=account,
                priority=priority,
                deadline_ms=now_ms + 10 + number,
                run_ms=5,
                arrival_ms=now_ms,
            )
            return [request_id] if _enqueue(queue, waiting, now_ms) else []
        case "dequeue":
            was_waiting = bool(queue.waiting_by_id)
            dequeued = admission_queue.dequeue(queue, now_ms=now_ms)
            assert (dequeued is not None) == was_waiting, (
                "a waiting request must be dequeued"
            )
            return [dequeued.request_id] if dequeued else []
        case "refuse_expired":
            rng = random.Random(1)
            late = admission_queue.refuse_expired(queue, now_ms=now_ms, rng=rng)
            return [refused.waiting.request_id for refused in late]
        case "cancel":
            return [request_id] * admission_queue.cancel(queue, request_id)
        case "correct_charge":
            admission_queue.correct_charge(
                queue, request_id, actual_tokens=number
            )
    return []
