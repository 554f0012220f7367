"""Tests of placement under load patterns, replayed in virtual time."""

import collections
import dataclasses
import itertools
import random

import pytest
from support import replay

from wisteriawall.gateway import accounts
from wisteriawall.gateway import events
from wisteriawall.gateway import reducer
from wisteriawall.gateway import state as state_lib
from wisteriawall.policy import admission
from wisteriawall.policy import engine_speeds
from wisteriawall.policy import placement
from wisteriawall.wire import gateway_messages

PREFILL = gateway_messages.Stage.PREFILL
DECODE = gateway_messages.Stage.DECODE
FLEET = [
    replay.upstream("p1", PREFILL),
    replay.upstream("p2", PREFILL),
    replay.upstream("d1", DECODE),
    replay.upstream("d2", DECODE),
]
NO_LATENCY_LIMIT = admission.AdmissionBounds(in_time_share=1e9)
TARGET_LATENCY_MS = 600


def brief_requests(
    count: int, every_ms: float, *, subjects: int, shared: int = 13_000
) -> list[replay.Request]:
    """Return `count` evenly spaced requests of the route `brief`.

    The first `shared` tokens of a prompt belong to one of `subjects` subjects,
    chosen at random. The other 3,000 tokens are its own.
    """
    rng = random.Random(3)
    return [
        replay.Request(
            round(number * every_ms),
            "brief",
            (
                (f"s{rng.randrange(subjects)}", shared),
                (f"own{number}", 3_000),
            ),
        )
        for number in range(count)
    ]


def tuning_with(**changes: object) -> state_lib.Tuning:
    """Return the default tuning with some placement options replaced."""
    options = dataclasses.replace(placement.Options(), **changes)  # type: ignore[arg-type]
    return state_lib.Tuning(placement_options=options)


def test_rejections_in_a_burst_double_the_requests_in_time() -> None:
    load = brief_requests(120, 40, subjects=1_000)
    limited = replay.Replay([replay.gateway(FLEET)]).play(load)
    unlimited = replay.Replay(
        [
            replay.gateway(
                FLEET, state_lib.Tuning(admission_bounds=NO_LATENCY_LIMIT)
            )
        ]
    ).play(load)
    assert limited.in_time(TARGET_LATENCY_MS) >= 2 * unlimited.in_time(
        TARGET_LATENCY_MS
    )
    assert not unlimited.refusals
    assert all(
        refusal.status == 503 and refusal.retry_after_ms >= 900
        for refusal in limited.refusals
    )


def test_cold_start_prefills_shared_parts_about_once() -> None:
    load = brief_requests(80, 150, subjects=10)
    result = replay.Replay([replay.gateway(FLEET)]).play(load)
    unshared_tokens = 3_000 * len(result.first_token_ms_by_key)
    shared_tokens = 13_000 * 10
    assert result.prefilled_tokens <= unshared_tokens + 2.2 * shared_tokens


@pytest.mark.parametrize("every_ms", [70, 90])
def test_load_broadcasts_between_gateways_improve_placement(
    every_ms: int,
) -> None:
    load = brief_requests(150, every_ms, subjects=12)
    with_broadcasts, without_broadcasts = (
        replay.Replay(
            [replay.gateway(FLEET) for _ in range(4)], share_load=is_shared
        )
        for is_shared in (True, False)
    )
    result = with_broadcasts.play(load)
    assert result.in_time(TARGET_LATENCY_MS) > without_broadcasts.play(
        load
    ).in_time(TARGET_LATENCY_MS)


def test_long_prompts_avoid_engines_that_serve_short_prompts() -> None:
    rng = random.Random(5)
    captions = [
        replay.Request(round(n * 45), "caption", ((f"c{n}", 900),))
        for n in range(150)
    ]
    long_prompts = [
        replay.Request(
            n * 450 + rng.randrange(40), "brief", ((f"b{n}", 14_000),)
        )
        for n in range(15)
    ]
    load = sorted([*captions, *long_prompts], key=lambda request: request.at_ms)
    weighted = replay.Replay([replay.gateway(FLEET)]).play(load)
    unweighted_tuning = tuning_with(occupancy_weight=0.0, pair_cost_ms=900.0)
    unweighted = replay.Replay([replay.gateway(FLEET, unweighted_tuning)]).play(
        load
    )
    share = weighted.in_time(400, "caption") / len(captions)
    assert share > 0.95
    assert weighted.in_time(400, "caption") > unweighted.in_time(400, "caption")


@pytest.mark.parametrize(
    ("deadline_ms", "served"),
    [
        pytest.param(replay.DEADLINE_MS, False, id="first-attempt"),
        pytest.param(5_000, True, id="retry"),
    ],
)
def test_retrying_caller_is_accepted_with_a_longer_wait(
    deadline_ms: int, served: bool
) -> None:
    load = [
        replay.Request(0, "brief", (("a", 20_000),)),
        replay.Request(1_000, "brief", (("b", 9_000),), deadline_ms),
    ]
    single_engine = [replay.upstream("d1", DECODE)]
    result = replay.Replay([replay.gateway(single_engine)]).play(load)
    assert ("brief-1" in result.first_token_ms_by_key) is served
    assert len(result.refusals) == (not served)


def test_decoding_is_spread_over_the_decode_engines() -> None:
    gateway = replay.gateway(FLEET)
    load = brief_requests(12, 400, subjects=12)
    gateway_replay = replay.Replay([gateway])
    gateway_replay.play(load)
    decoder_ids = [
        name
        for name in gateway_replay.dispatched_upstream_ids
        if name.startswith("d")
    ]
    counts = [len(list(g)) for _, g in itertools.groupby(sorted(decoder_ids))]
    assert len(counts) == 2
    assert max(counts) <= 3 * min(counts)


def test_gateways_that_hear_late_of_each_other_spread_cold_prompts() -> None:
    """Prompts of several gateways arrive before any hears of the others.

    All of them would choose the same idle engine, and each prompt after the
    first would wait for a whole prefill.
    """
    fleet = [
        *(replay.upstream(f"p{n}", PREFILL) for n in range(8)),
        *(replay.upstream(f"d{n}", DECODE) for n in range(4)),
    ]
    load = [
        replay.Request(
            wave * 1_500 + number,
            "brief",
            ((f"s{wave}-{number}", 13_000), (f"own{wave}-{number}", 1_000)),
        )
        for wave in range(10)
        for number in range(6)
    ]

    def in_time(spread_ms: float) -> int:
        gateways = [
            replay.gateway(fleet, tuning_with(spread_ms=spread_ms))
            for _ in range(6)
        ]
        player = replay.Replay(gateways, update_delay_ms=25)
        return player.play(load).in_time(TARGET_LATENCY_MS, "brief")

    default_ms = placement.Options().spread_ms
    assert in_time(default_ms) >= 1.2 * in_time(0.0)


@pytest.mark.parametrize(
    "table_first",
    [
        pytest.param(True, id="table-first"),
        pytest.param(False, id="list-first"),
    ],
)
def test_capacity_of_engines_is_known_in_any_order(table_first: bool) -> None:
    """Without it, prompts were forecast to wait 1 s and were rejected."""
    state = replay.gateway([])
    state.route_index = None
    updates = [
        events.ControlUpdate(
            table=replay.TABLE, upstreams=None, gateway_count=1, now_ms=0
        ),
        events.ControlUpdate(
            table=None,
            upstreams=gateway_messages.UpstreamList(1, 2, FLEET),
            gateway_count=1,
            now_ms=0,
        ),
    ]
    for update in updates if table_first else reversed(updates):
        list(reducer.reduce(state, update))
    result = replay.Replay([state]).play(brief_requests(1, 1, subjects=1))
    assert result.in_time(TARGET_LATENCY_MS) == 1


@pytest.mark.parametrize(
    ("speed", "every_ms"),
    [
        pytest.param(0.6, 500, id="slow-engines"),
        pytest.param(3.0, 80, id="fast-engines"),
    ],
)
def test_speed_of_new_kinds_of_engines_is_learned_within_seconds(
    speed: float, every_ms: int
) -> None:
    """Every gateway learns it, from the prefills of all of them."""
    factor_by_id = {engine.upstream_id: speed for engine in FLEET}
    gateways = [replay.gateway(FLEET) for _ in range(4)]
    player = replay.Replay(
        gateways,
        speed_factor_by_id=factor_by_id,
        stall_share=0.15,
        overlaps_decoding=True,
    )
    player.play(brief_requests(30, every_ms, subjects=1_000))
    for gateway in gateways:
        loads_of_prefill = [gateway.load_by_id[name] for name in ("p1", "p2")]
        for load in loads_of_prefill:
            load.drop_expired(30 * every_ms + 1_000)
            assert load.speed.typical == pytest.approx(1 / speed, rel=0.2)


def test_slow_engines_get_less_work_and_none_is_left_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Engines of 0.6, 1.0 and 1.6 of the nominal speed, with stalls."""
    fleet = [
        *(replay.upstream(f"p{n}", PREFILL) for n in range(6)),
        *(replay.upstream(f"d{n}", DECODE) for n in range(6)),
    ]
    factor_by_id = {
        engine.upstream_id: (0.6, 1.0, 1.6)[number % 3]
        for number, engine in enumerate(fleet)
    }
    load = brief_requests(1_200, 24, subjects=300, shared=4_000)

    def play() -> tuple[int, dict[str, int]]:
        gateways = [replay.gateway(fleet) for _ in range(4)]
        player = replay.Replay(
            gateways,
            update_delay_ms=10,
            speed_factor_by_id=factor_by_id,
            stall_share=0.15,
            overlaps_decoding=True,
        )
        result = player.play(load)
        count_by_id = collections.Counter(player.dispatched_upstream_ids)
        return result.in_time(TARGET_LATENCY_MS), count_by_id

    in_time, count_by_id = play()
    with monkeypatch.context() as patch:
        patch.setattr(engine_speeds.EngineSpeed, "add", lambda *_, **__: None)
        in_time_without, _ = play()
    assert in_time >= 1.05 * in_time_without
    assert 0 < count_by_id["p0"] < count_by_id["p1"] < count_by_id["p2"]


def test_long_prompt_is_served_by_an_idle_engine() -> None:
    """It was rejected as too long, while the engine had nothing to do."""
    load = [replay.Request(0, "brief", (("long", 26_500),))]
    fleet = [replay.upstream("d1", DECODE)]
    result = replay.Replay([replay.gateway(fleet)]).play(load)
    assert not result.refusals
    assert result.in_time(2_400) == 1


def test_burst_of_a_large_account_leaves_small_ones_their_share(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Their requests were rejected as often as those of the large one."""

    def play(*, has_accounts: bool) -> int:
        def identify(
            _gateway: state_lib.Gateway,
            request: state_lib.Request,
            _now_ms: int,
        ) -> accounts.Verdict:
            number = int(request.request_id.rpartition("-")[2])
            if has_accounts:
                small = f"small{number // 8 % 3}"
                request.account = "large" if number % 8 else small
            return accounts.Accepted(account=request.account)

        monkeypatch.setattr(accounts, "identify", identify)
        result = replay.Replay(
            [replay.gateway(FLEET)], overlaps_decoding=True
        ).play(brief_requests(600, 55, subjects=1_000, shared=3_000))
        return sum(
            int(key.rpartition("-")[2]) % 8 == 0
            for key in result.first_token_ms_by_key
        )

    assert play(has_accounts=True) >= 1.2 * play(has_accounts=False)


@pytest.mark.parametrize("number", [-(2**63), -1, 2**63])
@pytest.mark.parametrize("kind", ["SENT", "ANSWER_STARTED", "ENDED"])
def test_impossible_measurement_of_another_gateway_does_no_harm(
    kind: str, number: int
) -> None:
    """One event could have kept an engine from getting prompts."""
    gateway = replay.gateway(FLEET)
    event = gateway_messages.LoadEvent(
        gateway_messages.LoadEventKind[kind],
        "p1",
        "r",
        prefill_permille=number,
        work_ms=number,
    )
    list(
        reducer.reduce(
            gateway, events.PeerLoadReceived(load_events=(event,), now_ms=50)
        )
    )
    load = gateway.load_by_id["p1"]
    load.drop_expired(1_000)
    assert 0.5 <= load.slowdown <= 5
    assert 0 <= load.wait_ms(now_ms=1_000, priority_class=9) <= 50_000
    load.drop_expired(20_000)
    assert load.wait_ms(now_ms=20_000, priority_class=9) == 0
