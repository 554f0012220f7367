"""Tests of what a gateway logs and does with its share of the retry budget."""

import random

from support import plain_table

from wisteriawall.config import route_table
from wisteriawall.gateway import events
from wisteriawall.gateway import protocol
from wisteriawall.gateway import reducer
from wisteriawall.gateway import retry_budget
from wisteriawall.gateway import state as state_lib
from wisteriawall.policy import retry_window
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import gateway_messages

RUNNERS = [
    gateway_messages.Upstream(
        upstream_id=f"u{number}",
        service=plain_table.SERVICE,
        address=f"u{number}:1",
        zone="z",
        slots=6,
    )
    for number in range(3)
]


def make_gateway(slack: float = 20) -> state_lib.Gateway:
    """Return a gateway that control has told nothing yet."""
    return state_lib.Gateway(
        name="g",
        zone="z",
        random=random.Random(1),
        tuning=state_lib.Tuning(),
        retries=retry_window.RetryWindow(
            window_ms=10_000, ratio=0.2, slack=slack
        ),
    )


def tell(
    gateway: state_lib.Gateway, gateways: int, now_ms: int, took_ms: int = 5
) -> list[events.LogDecision]:
    """Let control tell the number of gateways; return the lines about it."""
    update = events.ControlUpdate(
        table=plain_table.make(route_table.RequestKind.READ_ONLY),
        upstreams=gateway_messages.UpstreamList(1, 1, RUNNERS),
        gateway_count=gateways,
        now_ms=now_ms,
        took_ms=took_ms,
    )
    return lines(gateway, update, "retry-share")


def lines(
    gateway: state_lib.Gateway, event: events.Event, decision: str
) -> list[events.LogDecision]:
    """Apply an event; return the lines of one decision."""
    return [
        effect
        for effect in reducer.reduce(gateway, event)
        if isinstance(effect, events.LogDecision)
        and effect.decision == decision
    ]


def fail_once(
    gateway: state_lib.Gateway, key: int, now_ms: int
) -> list[events.LogDecision]:
    """Let the first try of a request fail; return denied retries."""
    arrived = events.Arrived(
        request_key=key,
        request_id=f"r{key}",
        host="h",
        path="/x",
        head=protocol.RequestHead(
            attempt_id=f"r{key}", remaining_ms=5_000, prompt=None
        ),
        now_ms=now_ms,
    )
    failed = events.PhaseFailed(
        request_key=key,
        run=refusal_lib.RunState.NOT_RUN,
        reason="full",
        now_ms=now_ms,
        runner_failed=False,
    )
    assert not lines(gateway, arrived, "refused")
    return lines(gateway, failed, "retry-denied")


def test_denied_retry_looks_like_one_that_was_never_tried() -> None:
    """The log didn't show that the budget denied a retry, nor why."""
    gateway = make_gateway()
    tell(gateway, 10, 1_000)
    denied = [
        line for key in range(4) for line in fail_once(gateway, key, 4_000)
    ]
    assert [line.request_id for line in denied] == ["r2", "r3"]
    assert denied[0].inputs == {
        "service": plain_table.SERVICE,
        "made": 2,
        "allowed": 2.6,
        "slack": 2.0,
        "interval_ms": 0,
        "gateways": 10,
        "contact_age_ms": 3_005,
    }


def test_divisor_of_the_slack_is_not_in_the_log() -> None:
    """Shares that didn't fit each other could not be seen after the fact."""
    gateway = make_gateway()
    counts = [(10, 1_000), (10, 2_000), (12, 2_500), (13, 2_700), (13, 3_600)]
    logged = [line for told in counts for line in tell(gateway, *told)]
    assert [
        (line.inputs["gateways"], line.inputs["former"]) for line in logged
    ] == [(10, 0), (12, 10), (13, 12)]
    assert logged[-1].inputs == {
        "gateways": 13,
        "told": 13,
        "slack": 1.54,
        "former": 12,
        "former_ms": 1_100,
        "silence_ms": 905,
    }


def test_answer_from_before_a_freeze_renews_the_share() -> None:
    """A gateway that was thawed used the share it was told long before."""
    gateway = make_gateway()
    gateway.retries = retry_budget.new_window(
        retry_window.RetryBudgetSettings(
            window_ms=10_000, ratio=0.2, slack=160
        ),
        started_ms=None,
    )
    tell(gateway, 8, 1_000)
    assert gateway.retries.slack(1_000) == 10
    frozen_ms = 60_000
    tell(gateway, 8, 1_000 + frozen_ms, took_ms=frozen_ms)
    assert gateway.retries.slack(1_000 + frozen_ms) == 0
    tell(gateway, 8, 2_000 + frozen_ms)
    assert gateway.retries.slack(12_000 + frozen_ms) == 10
