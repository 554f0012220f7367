"""Tests of what a gateway logs and does with its share of the retry budget."""

from collections.abc import Callable
from collections.abc import Mapping
import random

import msgspec
import pytest
from support import plain_table
from support import replay

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
        "wanted": 1,
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


PREFILL, DECODE = protocol.Phase.PREFILL, protocol.Phase.DECODE
WHOLE = protocol.Phase.WHOLE
ENGINE_TABLE = msgspec.structs.replace(
    replay.TABLE,
    routes=[
        msgspec.structs.replace(route, max_attempts=4)
        for route in replay.TABLE.routes
    ],
)
# Between requests, so that engines are idle again.
PAUSE_MS = 200
REJECTED, UNREACHABLE, DONE = "rejected", "unreachable", "done"


class Arrivals:
    """A gateway whose slack allows ten retries, and what reached engines.

    `extra` counts arrivals without the first of each request and without the
    first prefill that an engine accepted for it.
    """

    def __init__(self, outcome: Callable[[protocol.Send], str]) -> None:
        """Start with engines for both phases; `outcome` is that of a send."""
        self.gateway = make_gateway(slack=10)
        self.gateway.retries = retry_window.RetryWindow(
            window_ms=10_000, ratio=0.0, slack=10
        )
        self.extra = 0
        self._outcome = outcome

    def start(self, prefillers: int, decoders: int) -> None:
        """Let control tell of engines."""
        stages = [gateway_messages.Stage.PREFILL] * prefillers
        stages += [gateway_messages.Stage.DECODE] * decoders
        engines = [
            replay.upstream(f"e{number}", stage)
            for number, stage in enumerate(stages)
        ]
        update = events.ControlUpdate(
            table=ENGINE_TABLE,
            upstreams=gateway_messages.UpstreamList(1, 1, engines),
            gateway_count=1,
            now_ms=1_000,
        )
        list(reducer.reduce(self.gateway, update))

    def ask(self, key: int, now_ms: int) -> list[protocol.Phase]:
        """Play one request to its end; return the phases that were sent."""
        event: events.Event | None = events.Arrived(
            request_key=key,
            request_id=f"r{key}",
            host=replay.HOST,
            path="/brief/x",
            head=protocol.RequestHead(
                attempt_id=f"r{key}",
                remaining_ms=8_000,
                prompt=protocol.PromptTokens(
                    model="m",
                    parts=((f"part-{key}", 900),),
                    input_tokens=900,
                    output_tokens=20,
                ),
            ),
            now_ms=now_ms,
        )
        phases: list[protocol.Phase] = []
        arrivals, accepted = 0, False
        while event is not None:
            send = next(
                (
                    effect
                    for effect in reducer.reduce(self.gateway, event)
                    if isinstance(effect, protocol.Send)
                ),
                None,
            )
            if send is None:
                break
            phases.append(send.phase)
            outcome = self._outcome(send)
            arrivals += outcome != UNREACHABLE
            accepted |= send.phase is PREFILL and outcome == DONE
            event = _next_event(key, send, outcome, now_ms)
        ended = events.Ended(request_key=key, is_complete=True, now_ms=now_ms)
        list(reducer.reduce(self.gateway, ended))
        self.extra += max(0, arrivals - 1 - accepted)
        return phases


def _next_event(
    key: int, send: protocol.Send, outcome: str, now_ms: int
) -> events.Event | None:
    if outcome != DONE:
        return events.PhaseFailed(
            request_key=key,
            run=refusal_lib.RunState.NOT_RUN,
            reason=outcome,
            now_ms=now_ms,
            unreachable=outcome == UNREACHABLE,
            runner_failed=False,
        )
    if send.phase is PREFILL:
        return events.PrefillDone(
            request_key=key, transfer_handle="t", now_ms=now_ms
        )
    return None


def outcomes(
    by_phase: Mapping[protocol.Phase, str],
) -> Callable[[protocol.Send], str]:
    """Return what becomes of a send, by its phase."""
    return lambda send: by_phase.get(send.phase, DONE)


@pytest.mark.parametrize(
    "by_phase",
    [
        pytest.param({DECODE: REJECTED}, id="decode"),
        pytest.param({DECODE: UNREACHABLE}, id="decode-unreachable"),
        pytest.param({PREFILL: REJECTED}, id="prefill"),
        pytest.param({PREFILL: UNREACHABLE}, id="prefill-unreachable"),
        pytest.param({DECODE: REJECTED, WHOLE: REJECTED}, id="all-but-prefill"),
        pytest.param(
            {PREFILL: REJECTED, DECODE: REJECTED, WHOLE: REJECTED}, id="all"
        ),
    ],
)
@pytest.mark.parametrize("prefillers", [1, 4])
def test_prefills_after_the_first_are_not_counted(
    by_phase: dict[protocol.Phase, str], prefillers: int
) -> None:
    """A request whose handle had lapsed arrived twice more for one retry."""
    arrivals = Arrivals(outcomes(by_phase))
    arrivals.start(prefillers, 6)
    for key in range(40):
        arrivals.ask(key, 2_000 + key * PAUSE_MS)
    assert arrivals.extra <= 10


def test_retry_without_a_prefill_takes_two() -> None:
    arrivals = Arrivals(outcomes({DECODE: REJECTED}))
    arrivals.start(1, 6)
    played = [arrivals.ask(key, 2_000 + key * PAUSE_MS) for key in range(12)]
    assert played.count([PREFILL, DECODE, WHOLE]) == 10
    assert arrivals.extra == 10


def test_request_ends_where_the_budget_allows_no_second_prefill() -> None:
    """One retry was left, which a decode engine alone takes."""
    arrivals = Arrivals(outcomes({DECODE: REJECTED}))
    arrivals.start(4, 6)
    for _ in range(9):
        assert arrivals.gateway.retries.take_retry("model", 2_000)
    assert arrivals.ask(1, 2_000) == [PREFILL, DECODE, WHOLE]
    assert arrivals.ask(2, 2_000) == [PREFILL, DECODE]
