"""Tests of the engine client with an engine on raw sockets."""

from collections.abc import Callable
from collections.abc import Iterator
import json

import pytest
from support import stuttering_server

from wisteriawall.agent import engine_client
from wisteriawall.wire import fleet

ORDER = fleet.Order(
    fleet.FencingNumber(1, 5), "r1", fleet.OrderAction.SET_ROLE, "decode"
)


class FakeEngine:
    """Engine that numbers its answers, and refuses orders if told to."""

    def __init__(self) -> None:
        """Listen on a free port."""
        self.refuses_orders = False
        self.server = stuttering_server.StutteringServer(self._answer)
        self.client = engine_client.EngineClient(
            address=self.server.address, order_timeout_s=5.0
        )

    def order_outcome(self) -> str:
        """Send an order and return how the client reports it."""
        try:
            state = self.client.execute_order(ORDER)
        except engine_client.OrderRefused:
            return "refused"
        except engine_client.EngineUnclear:
            return "unclear"
        return f"done {state.done_order_id}"

    def _answer(self, request: stuttering_server.Request) -> bytes:
        if request.target == "/admin/orders" and self.refuses_orders:
            return stuttering_server.answer_bytes(b"no", status="409 Conflict")
        if request.target.startswith("/admin/cache"):
            _, _, after = request.target.partition("=")
            page = {
                "first": int(after or 0),
                "next": int(after or 0) + 1,
                "complete": False,
                "changes": [],
            }
            return stuttering_server.answer_bytes(json.dumps(page).encode())
        is_order = request.target == "/admin/orders"
        state = {"role": "decode", "done_order_id": 5 if is_order else 4}
        return stuttering_server.answer_bytes(json.dumps(state).encode())


@pytest.fixture
def engine() -> Iterator[FakeEngine]:
    """Yield an engine."""
    engine = FakeEngine()
    yield engine
    engine.server.close()


@pytest.mark.parametrize(
    "stutter",
    [
        pytest.param(lambda previous: previous, id="whole-answer"),
        pytest.param(lambda previous: 2 * previous, id="whole-answer-twice"),
        pytest.param(
            lambda _: stuttering_server.answer_bytes(
                b"late", status="409 Conflict"
            ),
            id="late-refusal",
        ),
    ],
)
def test_late_answer_decides_about_no_order_or_state(
    engine: FakeEngine, stutter: Callable[[bytes], bytes]
) -> None:
    engine.server.stutter = lambda previous: previous and stutter(previous)
    assert engine.client.fetch_state().done_order_id == 4
    assert engine.order_outcome() == "done 5"
    assert engine.client.fetch_state().done_order_id == 4
    engine.refuses_orders = True
    assert engine.order_outcome() == "refused"
    engine.refuses_orders = False
    assert engine.order_outcome() == "done 5"


def test_late_cache_page_is_not_taken_for_the_next(engine: FakeEngine) -> None:
    engine.server.stutter = lambda previous: previous
    firsts = [
        engine.client.fetch_cache_page(after=number).first
        for number in (3, 7, 9)
    ]
    assert firsts == [3, 7, 9]


@pytest.mark.parametrize(
    "answer_bytes",
    [
        pytest.param(b"", id="nothing"),
        pytest.param(b"\x16\x03\x01\x00*\x02\x00\x00\r\n", id="binary"),
        pytest.param(b"HTTP/1.1 OK 200\r\n\r\n", id="bad-status-line"),
        pytest.param(b"HTTP/1.1 200 OK\r\n" + 101 * b"a: b\r\n", id="headers"),
        pytest.param(b"HTTP/1.1 200 OK\r\nContent-", id="half-a-head"),
        pytest.param(
            stuttering_server.answer_bytes(b'{"role"', length=99),
            id="half-a-body",
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            id="bad-chunk",
        ),
        pytest.param(
            stuttering_server.answer_bytes(
                b"", "Location: http://[", status="302 Found"
            ),
            id="bad-location",
        ),
        pytest.param(
            stuttering_server.answer_bytes(
                b"no gzip", "Content-Encoding: gzip"
            ),
            id="bad-gzip",
        ),
        pytest.param(
            stuttering_server.answer_bytes(b"[" * 100_000), id="deep-json"
        ),
    ],
)
def test_malformed_answer_makes_an_order_unclear(
    engine: FakeEngine, answer_bytes: bytes
) -> None:
    engine.server.respond = lambda _: answer_bytes
    engine.server.closes_after_answer = True
    assert engine.order_outcome() == "unclear"
    with pytest.raises(engine_client.EngineUnclear):
        engine.client.fetch_load()
