"""Tests of the stand-in engine over loopback HTTP."""

from collections.abc import Iterator
import dataclasses
import socket
import threading
import time

import msgspec
import pytest
import urllib3

from wisteriawall.config import document
from wisteriawall.standin import engine as engine_lib
from wisteriawall.standin import engine_core
from wisteriawall.standin import faults as faults_lib
from wisteriawall.wire import fleet

TIMING = engine_core.EngineTiming(
    step_s=0.001, order_s=0.05, settle_s=0.2, cache_delay_s=0.0, max_streams=2
)
WAIT_S = 10.0


@pytest.fixture(params=list(document.Fencing))
def engine(
    request: pytest.FixtureRequest,
) -> Iterator[engine_lib.StandInEngine]:
    """Yield a running engine that enforces or ignores fencing."""
    started = _start(request.param)
    yield started
    # A server takes half a second to stop; the next test need not wait.
    threading.Thread(target=started.stop).start()


@pytest.fixture
def other() -> Iterator[engine_lib.StandInEngine]:
    """Yield a second running engine."""
    started = _start(document.Fencing.ENFORCED)
    yield started
    # A server takes half a second to stop; the next test need not wait.
    threading.Thread(target=started.stop).start()


def _start(fencing: document.Fencing) -> engine_lib.StandInEngine:
    started = engine_lib.StandInEngine(
        address="127.0.0.1:0", timing=TIMING, fencing=fencing
    )
    started.start()
    return started


def _post(
    engine: engine_lib.StandInEngine, path: str, body: object
) -> urllib3.BaseHTTPResponse:
    return urllib3.request(
        "POST",
        f"http://{engine.address}{path}",
        body=body if isinstance(body, bytes) else msgspec.json.encode(body),
        headers={"Wisteriawall-Request": "q1"},
        retries=False,
        timeout=WAIT_S,
    )


def _complete(
    engine: engine_lib.StandInEngine, **fields: object
) -> urllib3.BaseHTTPResponse:
    body = {"model": "m", "prompt": "a dog", "max_tokens": 6, **fields}
    return _post(engine, "/v1/completions", body)


def _order(
    engine: engine_lib.StandInEngine,
    term: int,
    order_id: int,
    action: str = "set-role",
    argument: str = "decode",
) -> urllib3.BaseHTTPResponse:
    return _post(
        engine,
        "/admin/orders",
        {
            "term": term,
            "order_id": order_id,
            "action": action,
            "argument": argument,
        },
    )


def _events(data: bytes) -> list[dict[str, object]]:
    *chunks, end, rest = data.split(b"\n\n")
    assert (end, rest) == (b"data: [DONE]", b"")
    return [msgspec.json.decode(c.removeprefix(b"data: ")) for c in chunks]


def _texts(data: bytes) -> list[str]:
    return [event["choices"][0]["text"] for event in _events(data)]


def test_stream_carries_id_in_each_chunk_and_ends_with_usage(
    other: engine_lib.StandInEngine,
) -> None:
    events = _events(_complete(other, stream=True).data)
    assert {event["id"] for event in events} == {"q1"}
    reasons = [event["choices"][0]["finish_reason"] for event in events]
    assert reasons == [None] * 5 + ["length"]
    assert events[-1]["usage"]["completion_tokens"] == 6
    whole = msgspec.json.decode(_complete(other).data)
    assert whole["choices"][0]["text"] == "".join(
        event["choices"][0]["text"] for event in events
    )


@pytest.mark.parametrize("resumed", [1, 3, 5])
def test_resumed_answer_continues_byte_for_byte(
    other: engine_lib.StandInEngine, resumed: int
) -> None:
    whole = _texts(_complete(other, stream=True).data)
    rest = _complete(
        other,
        stream=True,
        resume_tokens=resumed,
        resume_text="".join(whole[:resumed]),
    )
    assert _texts(rest.data) == whole[resumed:]


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"{", id="cut-json"),
        pytest.param(b"[]", id="not-an-object"),
        pytest.param({"model": "m", "max_tokens": "6"}, id="wrong-type"),
        pytest.param({"model": "m", "max_tokens": 0}, id="no-token"),
        pytest.param({"model": "m", "resume_tokens": 99}, id="past-the-end"),
    ],
)
def test_malformed_body_is_refused(
    other: engine_lib.StandInEngine, body: object
) -> None:
    response = _post(other, "/v1/completions", body)
    assert response.status == 400
    assert msgspec.json.decode(response.data)["run"] == "not_run"


def test_cut_stream_has_no_end_mark(other: engine_lib.StandInEngine) -> None:
    other.faults.cut_after_tokens = 2
    with pytest.raises(urllib3.exceptions.HTTPError):
        _complete(other, stream=True)


def test_lower_priority_number_goes_first() -> None:
    core = engine_core.EngineCore(
        timing=dataclasses.replace(TIMING, max_streams=1),
        faults=faults_lib.Faults(),
    )
    late = core.submit(prompt="a", max_tokens=3, priority=9)
    first = core.submit(prompt="a", max_tokens=3, priority=0)
    core.start()
    late.token_queue.get(timeout=WAIT_S)
    assert first.produced_tokens == 3
    core.stop()


def test_vanished_caller_frees_its_place(
    other: engine_lib.StandInEngine,
) -> None:
    host, _, port = other.address.rpartition(":")
    body = msgspec.json.encode(
        {"model": "m", "prompt": "a", "max_tokens": 10**7, "stream": True}
    )
    for _ in range(TIMING.max_streams + 1):
        with socket.create_connection((host, int(port))) as caller:
            head = (
                "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            caller.sendall(head.encode() + body)
            caller.recv(1)
    assert _complete(other).status == 200
    _wait(lambda: other.core.is_idle)


def _wait(holds: object) -> None:
    deadline = time.monotonic() + WAIT_S
    while not holds():
        assert time.monotonic() < deadline
        time.sleep(0.01)


def test_order_id_given_twice_has_one_effect(
    engine: engine_lib.StandInEngine,
) -> None:
    assert [_order(engine, 2, 5).status for _ in range(2)] == [200, 200]
    assert engine.orders.effects == [5]
    assert engine.orders.role is fleet.Role.DECODE


def test_older_fence_is_refused_only_where_it_is_checked(
    engine: engine_lib.StandInEngine,
) -> None:
    _order(engine, 2, 5)
    enforced = engine.orders._fencing is document.Fencing.ENFORCED
    assert _order(engine, 1, 4).status == (409 if enforced else 200)
    assert engine.orders.effects == ([5] if enforced else [5, 4])


def test_second_order_is_refused_while_one_is_in_progress(
    engine: engine_lib.StandInEngine,
) -> None:
    engine.faults.stall_next_s = WAIT_S
    first = threading.Thread(target=_order, args=(engine, 2, 5))
    first.start()
    _wait(lambda: engine.orders.busy)
    assert _order(engine, 2, 6).status == 409
    assert _complete(engine).status == 503
    engine.orders.end_stall()
    first.join()
    assert engine.orders.effects == [5]


@pytest.mark.parametrize("crash", [faults_lib.Crash.DONE, "not-done"])
def test_crashed_order_is_unclear_until_inspected(
    other: engine_lib.StandInEngine, crash: str
) -> None:
    _post(other, "/admin/faults", {"crash_next": crash})
    assert _order(other, 2, 5).status == 500
    assert other.orders.state().unclear
    _wait(lambda: not other.orders.state().unclear)
    done = 5 if crash == "done" else 0
    assert other.orders.state().done_order_id == done


@pytest.mark.parametrize(
    ("action", "argument", "model", "adapters"),
    [
        pytest.param("load", "m@2", "m@2", [], id="load"),
        pytest.param("unload", "m@1", "", [], id="unload"),
        pytest.param("load-adapter", "a", "", ["a"], id="load-adapter"),
        pytest.param("unload-adapter", "a", "", [], id="unload-adapter"),
    ],
)
def test_order_changes_what_an_inspection_shows(
    other: engine_lib.StandInEngine,
    action: str,
    argument: str,
    model: str,
    adapters: list[str],
) -> None:
    state = msgspec.json.decode(_order(other, 1, 1, action, argument).data)
    assert (state["model"], state["adapters"]) == (model, adapters)


def test_imported_kv_gives_the_same_answer_without_prefill(
    engine: engine_lib.StandInEngine, other: engine_lib.StandInEngine
) -> None:
    prompt = "word " * 5_000
    exported = _complete(engine, prompt=prompt, kv_transfer={"mode": "export"})
    kv = msgspec.json.decode(exported.data)["kv"]
    assert kv["pieces"] == 25
    handle = {"mode": "import", "handle": kv["handle"]}
    has_imported_kv = _complete(other, prompt=prompt, kv_transfer=handle)
    assert (
        msgspec.json.decode(has_imported_kv.data)["choices"]
        == (
            msgspec.json.decode(_complete(engine, prompt=prompt).data)[
                "choices"
            ]
        )
    )
    gone = {"mode": "import", "handle": f"{other.address}/999"}
    assert _complete(other, prompt="x", kv_transfer=gone).status == 200
