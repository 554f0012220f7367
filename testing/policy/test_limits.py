"""Tests of the admission queue: limits, fair sharing and deadlines."""

from collections import Counter
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from wisteriawall.policy import limits

BACKLOG = limits.Priority.BACKLOG
INTERACTIVE = limits.Priority.INTERACTIVE


def _request(number, **fields):
    defaults = {
        "request_id": f"r{number}",
        "account": "shop",
        "tokens": 100,
        "run_ms": 100,
        "deadline_ms": 1_000_000,
        "arrival_ms": 0,
    }
    return limits.Waiting(**(defaults | fields))


def _offer(queue, waiting, now_ms=0):
    rng = random.Random(1)
    return limits.offer(queue, waiting, now_ms=now_ms, rng=rng)


def _count_taken_by_account(queue, count):
    taken = [limits.take(queue, now_ms=0) for _ in range(count)]
    return Counter(w.account for w in taken if w is not None)


@pytest.mark.parametrize(
    ("queue_limits", "reason"),
    [
        pytest.param(
            limits.QueueLimits(max_waiting=2),
            limits.Reason.QUEUE_FULL,
            id="queue",
        ),
        pytest.param(
            limits.QueueLimits(max_waiting_by_account=2),
            limits.Reason.ACCOUNT_FULL,
            id="account",
        ),
    ],
)
def test_full_queue_refuses_with_a_retry_time(queue_limits, reason):
    queue = limits.AdmissionQueue(limits=queue_limits)
    answers = [_offer(queue, _request(i)) for i in range(3)]
    assert answers[:2] == [None, None]
    assert answers[2] is not None
    assert answers[2].reason is reason
    assert answers[2].retry_after_ms >= limits.MIN_RETRY_AFTER_MS


def test_request_that_would_miss_its_deadline_is_refused_at_arrival():
    queue = limits.AdmissionQueue(tokens_per_ms=1.0)
    earlier = _request(0, tokens=50_000, deadline_ms=15_000)
    assert _offer(queue, earlier) is None
    urgent = _request(1, deadline_ms=3_000, run_ms=1_000)
    assert _offer(queue, urgent) is None, "its latest start is earlier"
    refused = _offer(queue, _request(2, deadline_ms=20_000))
    assert refused is not None
    assert refused.reason is limits.Reason.DEADLINE


def test_late_requests_are_refused_and_never_dequeued():
    queue = limits.AdmissionQueue()
    _offer(queue, _request(0, deadline_ms=1_000))
    _offer(queue, _request(1, deadline_ms=9_000))
    rng = random.Random(1)
    refused = list(limits.expire(queue, now_ms=901, rng=rng))
    assert [r.waiting.request_id for r in refused] == ["r0"]
    taken = limits.take(queue, now_ms=901)
    assert taken is not None
    assert taken.request_id == "r1"


def test_too_long_run_time_estimate_causes_no_refusal():
    queue = limits.AdmissionQueue()
    overestimated = _request(0, run_ms=10**9, deadline_ms=3_000)
    assert _offer(queue, overestimated) is None


def test_accounts_share_tokens_by_weight():
    queue = limits.AdmissionQueue()
    for i in range(100):
        _offer(queue, _request(f"a{i}", account="a", weight=2.0))
        _offer(queue, _request(f"b{i}", account="b"))
        _offer(queue, _request(f"c{i}", account="c", tokens=200))
    taken = _count_taken_by_account(queue, 80)
    assert taken["a"] == pytest.approx(2 * taken["b"], abs=2)
    assert taken["b"] == pytest.approx(2 * taken["c"], abs=2)


def test_settling_charges_the_actual_tokens():
    queue = limits.AdmissionQueue()
    for i in range(60):
        _offer(queue, _request(f"a{i}", account="a"))
        _offer(queue, _request(f"b{i}", account="b"))
    first = limits.take(queue, now_ms=0)
    assert first is not None
    limits.settle(queue, first.request_id, actual_tokens=2_100)
    later = _count_taken_by_account(queue, 20)
    assert first.account not in later


def test_backlog_gets_its_share_behind_interactive_requests():
    queue = limits.AdmissionQueue()
    for i in range(200):
        _offer(queue, _request(f"b{i}", account="b", priority=BACKLOG))
        _offer(queue, _request(f"i{i}", account="i", priority=INTERACTIVE))
    taken = _count_taken_by_account(queue, 100)
    assert 9 <= taken["b"] <= 11


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["offer", "take", "expire", "cancel", "settle"]),
        st.integers(0, 30),
        st.sampled_from("ab"),
        st.sampled_from(limits.Priority),
    ),
    max_size=80,
)


@hypothesis.given(OPERATIONS)
def test_limits_hold_and_every_request_has_one_outcome(operations):
    queue_limits = limits.QueueLimits(max_waiting=6, max_waiting_by_account=3)
    queue = limits.AdmissionQueue(limits=queue_limits)
    outcomes: Counter[str] = Counter()
    offered: set[str] = set()
    for now_ms, operation in enumerate(operations):
        outcomes.update(_apply_operation(queue, operation, now_ms, offered))
        assert len(queue.waiting_by_id) <= 6
        for priority_class in queue.class_by_priority:
            assert all(
                len(h) <= 3 for h in priority_class.heap_by_account.values()
            )
    while (taken := limits.take(queue, now_ms=10**6)) is not None:
        outcomes[taken.request_id] += 1
    assert outcomes == Counter(offered)


def _apply_operation(queue, operation, now_ms, offered):
    """Apply one operation; return the requests that get their outcome by it."""
    kind, number, account, priority = operation
    request_id = f"r{number}"
    match kind:
        case "offer" if request_id not in offered:
            offered.add(request_id)
            waiting = _request(
                number,
                account=account,
                priority=priority,
                deadline_ms=now_ms + 10 + number,
                run_ms=5,
                arrival_ms=now_ms,
            )
            return [request_id] if _offer(queue, waiting, now_ms) else []
        case "take":
            was_waiting = bool(queue.waiting_by_id)
            taken = limits.take(queue, now_ms=now_ms)
            assert (taken is not None) == was_waiting, (
                "a waiting request must be dequeued"
            )
            return [taken.request_id] if taken else []
        case "expire":
            rng = random.Random(1)
            late = limits.expire(queue, now_ms=now_ms, rng=rng)
            return [refused.waiting.request_id for refused in late]
        case "cancel":
            return [request_id] * limits.cancel(queue, request_id)
        case "settle":
            limits.settle(queue, request_id, actual_tokens=number)
    return []
