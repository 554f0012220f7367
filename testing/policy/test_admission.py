"""Tests of the admission decision: accepted in time, late, or rejected."""

import pytest

from wisteriawall.policy import admission
from wisteriawall.policy import placement


def single_engine_placement(
    *, wait_ms: float, own_ms: float
) -> placement.SingleEngine:
    """Return a placement on one engine with this forecast."""
    first_token_ms = wait_ms + own_ms
    return placement.SingleEngine(
        upstream_id="d",
        uncached_tokens=1,
        wait_ms=wait_ms,
        first_token_ms=first_token_ms,
        cost_ms=first_token_ms,
    )


@pytest.mark.parametrize(
    ("wait_ms", "own_ms", "waited_ms", "is_retry", "expected"),
    [
        pytest.param(100, 200, 0, False, True, id="in-time"),
        pytest.param(
            100, 200, 400, False, False, id="too-late-after-earlier-wait"
        ),
        pytest.param(100, 900, 0, False, False, id="long-prompt-short-queue"),
        pytest.param(400, 900, 0, False, None, id="long-prompt-long-queue"),
        pytest.param(400, 300, 0, False, None, id="queue-too-long"),
        pytest.param(400, 300, 900, True, False, id="retry-may-wait-longer"),
        pytest.param(700, 300, 900, True, None, id="retry-to-long-queue"),
        pytest.param(100, 2_100, 0, False, None, id="client-timeout-exceeded"),
    ],
)
def test_request_is_accepted_in_time_accepted_late_or_rejected(
    wait_ms: float,
    own_ms: float,
    waited_ms: float,
    is_retry: bool,
    expected: bool | None,
) -> None:
    forecast = single_engine_placement(wait_ms=wait_ms, own_ms=own_ms)
    decision = admission.decide(
        forecast,
        forecast,
        target_latency_ms=600,
        waited_ms=waited_ms,
        remaining_ms=2_400,
        is_retry=is_retry,
        jitter=0.5,
        bounds=admission.AdmissionBounds(),
    )
    match decision:
        case admission.Accept(in_time=in_time):
            assert in_time is expected
        case admission.Reject(retry_ms=retry_ms):
            assert expected is None
            assert retry_ms >= max(admission.MIN_RETRY_AFTER_MS, wait_ms)


@pytest.mark.parametrize(
    ("wait_ms", "own_ms", "accepted"),
    [
        pytest.param(0, 2_200, True, id="before-the-timeout"),
        pytest.param(0, 2_500, False, id="after-the-timeout"),
        pytest.param(400, 1_000, False, id="queue-too-long"),
    ],
)
def test_prompt_is_not_refused_at_idle_engines_that_can_serve_it(
    wait_ms: float, own_ms: float, accepted: bool
) -> None:
    forecast = single_engine_placement(wait_ms=wait_ms, own_ms=own_ms)
    decision = admission.decide(
        forecast,
        forecast,
        target_latency_ms=600,
        waited_ms=0,
        remaining_ms=2_400,
        is_retry=False,
        jitter=0.5,
        bounds=admission.AdmissionBounds(),
        is_idle=True,
    )
    assert isinstance(decision, admission.Accept) is accepted


@pytest.mark.parametrize(
    ("first_token_ms", "expected"),
    [
        pytest.param(300, True, id="soon"),
        pytest.param(1_500, True, id="before the caller gives up"),
        pytest.param(2_300, None, id="after that"),
    ],
)
def test_stream_that_goes_on_is_accepted_while_its_caller_waits(
    first_token_ms: float, expected: bool | None
) -> None:
    """Its first event was in time; it was rejected for the time since then."""
    forecast = single_engine_placement(wait_ms=first_token_ms - 20, own_ms=20)
    decision = admission.decide(
        forecast,
        forecast,
        target_latency_ms=600,
        waited_ms=3_000,
        remaining_ms=2_400,
        is_retry=True,
        has_begun=True,
        jitter=0.5,
        bounds=admission.AdmissionBounds(),
    )
    is_accepted = isinstance(decision, admission.Accept)
    assert (decision.in_time if is_accepted else None) is expected


@pytest.mark.parametrize(
    ("target_latency_ms", "target_gap_ms", "expected"),
    [
        pytest.param(400, 200, 2_000, id="at-least-two-seconds"),
        pytest.param(600, 200, 2_400, id="four-target-latencies"),
        pytest.param(400, 300, 2_400, id="eight-target-gaps"),
    ],
)
def test_client_timeout(
    target_latency_ms: float, target_gap_ms: float, expected: float
) -> None:
    timeout_ms = admission.client_timeout_ms(
        target_latency_ms=target_latency_ms, target_gap_ms=target_gap_ms
    )
    assert timeout_ms == expected
