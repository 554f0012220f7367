"""Tests of what gateways adopt about engines after a start."""

import random

import msgspec
import pytest
from support import replay

from wisteriawall.gateway import engine_contents
from wisteriawall.gateway import events
from wisteriawall.gateway import protocol
from wisteriawall.gateway import reducer
from wisteriawall.gateway import state as state_lib
from wisteriawall.wire import envelope
from wisteriawall.wire import gateway_messages

ENGINE = replay.upstream("d1", gateway_messages.Stage.DECODE)
SENT = gateway_messages.LoadEventKind.SENT
ENDED = gateway_messages.LoadEventKind.ENDED
MAX_DATAGRAM_BYTES = 1_400


def receive(
    gateway: state_lib.Gateway, *load_events: gateway_messages.LoadEvent
) -> None:
    """Apply load events of another gateway."""
    event = events.PeerLoadReceived(load_events=load_events, now_ms=1_000)
    list(reducer.reduce(gateway, event))


def sent(
    request_id: str, *parts: str, age_ms: int = 0
) -> gateway_messages.LoadEvent:
    """Return the event that a prompt was sent to the engine."""
    return gateway_messages.LoadEvent(
        SENT,
        "d1",
        request_id,
        parts=tuple((part, 2_000) for part in parts),
        age_ms=age_ms,
    )


@pytest.mark.parametrize(
    ("malformed", "kept"),
    [
        pytest.param(0, {"new", "pending", "late"}, id="complete"),
        pytest.param(1, {"new", "pending", "late", "old"}, id="incomplete"),
    ],
)
def test_answer_replaces_what_was_presumed(
    malformed: int, kept: set[str]
) -> None:
    """Parts of pending prompts, or sent after the call, are not listed yet."""
    gateway = replay.gateway([ENGINE])
    receive(
        gateway,
        sent("r1", "old"),
        gateway_messages.LoadEvent(ENDED, "d1", "r1"),
        sent("r2", "pending"),
    )
    list(reducer.reduce(gateway, events.EngineAsked(upstream=ENGINE)))
    receive(
        gateway,
        sent("r3", "late"),
        gateway_messages.LoadEvent(ENDED, "d1", "r3"),
    )
    answered = events.EngineAnswered(
        upstream=ENGINE,
        held=protocol.HeldParts(parts=(("new", 900),), malformed=malformed),
        reason="",
        took_ms=20,
    )
    list(reducer.reduce(gateway, answered))
    load = gateway.load_by_id["d1"]
    parts = {
        part
        for part in ("old", "pending", "late", "new")
        if not load.uncached_tokens([(part, 1)])
    }
    assert parts == kept
    assert not gateway.settled_parts_by_start


@pytest.mark.parametrize(
    "held", [None, protocol.HeldParts(parts=(), malformed=1)]
)
def test_answer_without_parts_changes_nothing(
    held: protocol.HeldParts | None,
) -> None:
    gateway = replay.gateway([ENGINE])
    receive(gateway, sent("r1", "old"))
    list(reducer.reduce(gateway, events.EngineAsked(upstream=ENGINE)))
    answered = events.EngineAnswered(
        upstream=ENGINE, held=held, reason="", took_ms=20
    )
    list(reducer.reduce(gateway, answered))
    assert gateway.load_by_id["d1"].uncached_tokens([("old", 1)]) == 0


@pytest.mark.parametrize(
    ("upstream_id", "born_ms", "uncached"),
    [
        pytest.param("d1", 0, 0, id="this start"),
        pytest.param("d1", 5, 900, id="another start"),
        pytest.param("d2", 0, 900, id="not listed"),
    ],
)
def test_contents_count_for_one_start_of_an_engine(
    upstream_id: str, born_ms: int, uncached: int
) -> None:
    gateway = replay.gateway([ENGINE])
    contents = gateway_messages.EngineContents(
        upstream_id, born_ms, 100, [("a", 900)]
    )
    told = events.ContentsTold(contents=(contents,), source="gateway", now_ms=0)
    list(reducer.reduce(gateway, told))
    load = gateway.load_by_id["d1"]
    assert load.uncached_tokens([("a", 900)]) == uncached


def test_restored_parts_stay_within_the_cache_and_behind_recent_ones() -> None:
    gateway = replay.gateway([ENGINE])
    receive(gateway, sent("r1", "recent"))
    contents = gateway_messages.EngineContents(
        "d1", 0, 0, [(f"p{n}", 100_000) for n in range(6)]
    )
    told = events.ContentsTold(contents=(contents,), source="gateway", now_ms=0)
    list(reducer.reduce(gateway, told))
    load = gateway.load_by_id["d1"]
    assert load.uncached_tokens([("recent", 1), ("p0", 1), ("p3", 1)]) == 0
    assert load.uncached_tokens([("p5", 1)]) == 1


@pytest.mark.parametrize("id_bytes", [4, 64])
def test_contents_go_into_few_small_datagrams(id_bytes: int) -> None:
    parts = [(f"{n:0{id_bytes}x}", 100 + n) for n in range(1_000)]
    contents = gateway_messages.EngineContents("engine-17", 10**12, 0, parts)
    pieces = list(engine_contents.in_datagrams(contents))
    codec: envelope.Codec[gateway_messages.LoadEventBatch] = envelope.Codec(
        message_type=gateway_messages.LoadEventBatch,
        key=b"k" * 32,
        sender=envelope.Sender("gateway-in-a-zone-17", 10**18),
    )
    assert 1 <= len(pieces) <= engine_contents.MAX_DATAGRAMS
    assert pieces[0].parts[0] == parts[-1]
    for piece in pieces:
        batch = gateway_messages.LoadEventBatch([], True, [piece])
        assert len(codec.encode(batch)) <= MAX_DATAGRAM_BYTES


def test_older_versions_ignore_contents() -> None:
    class OlderBatch(msgspec.Struct, array_like=True, tag="load-news"):
        events: list[gateway_messages.LoadEvent]
        forward: bool = False

    contents = gateway_messages.EngineContents("d1", 0, 0, [("a", 900)])
    batch = gateway_messages.LoadEventBatch([], True, [contents])
    decoded = msgspec.msgpack.decode(
        msgspec.msgpack.encode(batch), type=OlderBatch
    )
    assert decoded.events == []


@pytest.mark.parametrize(
    ("earlier", "in_flight"),
    [
        pytest.param([], 1, id="missed"),
        pytest.param([sent("r1", "a")], 1, id="known"),
        pytest.param(
            [gateway_messages.LoadEvent(ENDED, "d1", "r1")], 0, id="ended"
        ),
    ],
)
def test_repeated_requests_count_once(
    earlier: list[gateway_messages.LoadEvent], in_flight: int
) -> None:
    """A request that is counted after its end would count for 10 s."""
    gateway = replay.gateway([ENGINE])
    receive(gateway, *earlier, sent("r1", "a", age_ms=300))
    assert gateway.load_by_id["d1"].in_flight == in_flight


def test_gateway_that_restarts_alone_gets_what_another_knows() -> None:
    """It would forecast cold prompts, and engines without a queue."""
    fleet = [
        replay.upstream(f"d{n}", gateway_messages.Stage.DECODE)
        for n in range(1, 9)
    ]
    known, started = (replay.gateway(fleet) for _ in range(2))
    for engine in fleet:
        receive(
            known,
            *(
                gateway_messages.LoadEvent(
                    SENT,
                    engine.upstream_id,
                    f"{engine.upstream_id}-{n}",
                    2_000,
                    ((f"{n:016x}", 2_000),),
                )
                for n in range(150)
            ),
        )
    receive(started, gateway_messages.LoadEvent(ENDED, "d1", "d1-149"))
    after, is_last, replies = "", False, 0
    while not is_last:
        described, is_last = engine_contents.describe(known, after, 2_000)
        after = described[-1].upstream_id
        replies += 1
        assert len(msgspec.msgpack.encode(described)) < 24 * 1024
        told = events.ContentsTold(
            contents=tuple(described), source="gateway", now_ms=2_000
        )
        list(reducer.reduce(started, told))
    assert replies > 1
    for engine in fleet:
        expected = known.load_by_id[engine.upstream_id]
        load = started.load_by_id[engine.upstream_id]
        assert load.cached_parts == expected.cached_parts
        ended = int(engine.upstream_id == "d1")
        assert load.pending_prefills == 150 - ended
    # Requests whose end is missed expire as those of the other gateway do.
    started.load_by_id["d2"].drop_expired(11_001)
    assert started.load_by_id["d2"].in_flight == 0


def test_requests_in_progress_are_repeated_for_gateways_that_missed_them() -> (
    None
):
    """Right after a start, a gateway's list of the others is incomplete."""
    sender, missed = (replay.gateway([ENGINE]) for _ in range(2))
    prompt = protocol.PromptTokens(
        model="", parts=(("a", 2_000),), input_tokens=2_400, output_tokens=9
    )
    arrived = events.Arrived(
        request_key=1,
        request_id="r1",
        host=replay.HOST,
        path="/brief/",
        head=protocol.RequestHead(
            attempt_id="r1", remaining_ms=8_000, prompt=prompt
        ),
        now_ms=100,
    )
    list(reducer.reduce(sender, arrived))
    repeated = [
        effect.load_event
        for effect in reducer.reduce(sender, events.PeersSettled(now_ms=600))
        if isinstance(effect, events.BroadcastLoad)
    ]
    assert [event.age_ms for event in repeated] == [500]
    receive(missed, *repeated)
    assert missed.load_by_id["d1"].pending_prefills == 1


FLEET = [
    replay.upstream("p1", gateway_messages.Stage.PREFILL),
    replay.upstream("p2", gateway_messages.Stage.PREFILL),
    replay.upstream("d1", gateway_messages.Stage.DECODE),
    replay.upstream("d2", gateway_messages.Stage.DECODE),
]


# Prompts in the first 4 s.
RESTART_PROMPTS = 57


def play_restart(*, learns: bool) -> replay.Result:
    """Return what new gateways serve in 4 s in front of warm engines."""
    rng = random.Random(9)

    def requests(name: str, count: int) -> list[replay.Request]:
        return [
            replay.Request(
                number * 70,
                "brief",
                ((f"s{rng.randrange(16)}", 13_000), (f"{name}{number}", 3_000)),
            )
            for number in range(count)
        ]

    before = replay.Replay([replay.gateway(FLEET) for _ in range(4)])
    before.play(requests("before", 150))
    gateways = [replay.gateway(FLEET) for _ in range(4)]
    after = replay.Replay(gateways)
    for engine, old in before._engine_by_id.items():
        after._engine_by_id[engine].cached_parts = old.cached_parts
        if learns:
            held = [
                (part, 13_000 if part[0] == "s" else 3_000)
                for part in sorted(old.cached_parts)
            ]
            contents = gateway_messages.EngineContents(engine, 0, 0, held)
            for gateway in gateways:
                told = events.ContentsTold(
                    contents=tuple(engine_contents.in_datagrams(contents)),
                    source="datagram",
                    now_ms=0,
                )
                list(reducer.reduce(gateway, told))
    return after.play(requests("after", RESTART_PROMPTS))


def test_learning_serves_more_in_time_after_a_restart() -> None:
    """Cold forecasts refused prompts, and sent others to cold engines."""
    learned, cold = (play_restart(learns=learns) for learns in (True, False))
    assert learned.in_time(600) == RESTART_PROMPTS
    assert cold.in_time(600) <= 0.8 * RESTART_PROMPTS
    assert learned.prefilled_tokens < cold.prefilled_tokens
