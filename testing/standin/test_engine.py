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

PARAMETERS = engine_core.EngineParameters(
    step_s=0.001,
    order_duration_s=0.05,
    crash_recovery_s=0.2,
    cache_event_delay_s=0.0,
    max_streams=2,
)
WAIT_S = 10.0


@pytest.fixture(params=list(document.Fencing))
def engine(
    request: pytest.FixtureRequest,
) -> Iterator[engine_lib.StandInEngine]:
    """Yield a running engine, once with fencing enforced and once without."""
    running_engine = _start_engine(request.param)
    yield running_engine
    # Stopping takes half a second, for which the next test doesn't wait.
    threading.Thread(target=running_engine.stop).start()


@pytest.fixture
def enforcing_engine() -> Iterator[engine_lib.StandInEngine]:
    """Yield a running engine with fencing enforced."""
    running_engine = _start_engine(document.Fencing.ENFORCED)
    yield running_engine
    # Stopping takes half a second, for which the next test doesn't wait.
    threading.Thread(target=running_engine.stop).start()


def _start_engine(fencing: document.Fencing) -> engine_lib.StandInEngine:
    running_engine = engine_lib.StandInEngine(
        address="127.0.0.1:0", parameters=PARAMETERS, fencing=fencing
    )
    running_engine.start()
    return running_engine


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
    *chunks, end, remainder = data.split(b"\n\n")
    assert (end, remainder) == (b"data: [DONE]", b"")
    return [
        msgspec.json.decode(chunk.removeprefix(b"data: ")) for chunk in chunks
    ]


def _token_texts(data: bytes) -> list[str]:
    return [event["choices"][0]["text"] for event in _events(data)]


def test_stream_has_id_in_each_chunk_and_usage_in_last(
    enforcing_engine: engine_lib.StandInEngine,
) -> None:
    events = _events(_complete(enforcing_engine, stream=True).data)
    assert {event["id"] for event in events} == {"q1"}
    reasons = [event["choices"][0]["finish_reason"] for event in events]
    assert reasons == [None] * 5 + ["length"]
    assert events[-1]["usage"]["completion_tokens"] == 6
    complete = msgspec.json.decode(_complete(enforcing_engine).data)
    assert complete["choices"][0]["text"] == "".join(
        event["choices"][0]["text"] for event in events
    )


@pytest.mark.parametrize("resume_tokens", [1, 3, 5])
def test_resumed_answer_continues_identically(
    enforcing_engine: engine_lib.StandInEngine, resume_tokens: int
) -> None:
    complete = _token_texts(_complete(enforcing_engine, stream=True).data)
    resumed_answer = _complete(
        enforcing_engine,
        stream=True,
        resume_tokens=resume_tokens,
        resume_text="".join(complete[:resume_tokens]),
    )
    assert _token_texts(resumed_answer.data) == complete[resume_tokens:]


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"{", id="truncated-json"),
        pytest.param(b"[]", id="not-an-object"),
        pytest.param({"model": "m", "max_tokens": "6"}, id="wrong-type"),
        pytest.param({"model": "m", "max_tokens": 0}, id="zero-max-tokens"),
        pytest.param(
            {"model": "m", "resume_tokens": 99}, id="resumed-past-the-end"
        ),
    ],
)
def test_malformed_body_is_refused_as_not_run(
    enforcing_engine: engine_lib.StandInEngine, body: object
) -> None:
    response = _post(enforcing_engine, "/v1/completions", body)
    assert response.status == 400
    assert msgspec.json.decode(response.data)["run"] == "not_run"


def test_cut_stream_has_no_end_mark(
    enforcing_engine: engine_lib.StandInEngine,
) -> None:
    enforcing_engine.faults.cut_after_tokens = 2
    with pytest.raises(urllib3.exceptions.HTTPError):
        _complete(enforcing_engine, stream=True)


def test_lower_priority_number_is_served_first() -> None:
    core = engine_core.EngineCore(
        parameters=dataclasses.replace(PARAMETERS, max_streams=1),
        faults=faults_lib.Faults(),
    )
    low_priority = core.submit(prompt="a", max_tokens=3, priority=9)
    high_priority = core.submit(prompt="a", max_tokens=3, priority=0)
    core.start()
    low_priority.token_queue.get(timeout=WAIT_S)
    assert high_priority.produced_tokens == 3
    core.stop()


def test_disconnected_callers_free_capacity(
    enforcing_engine: engine_lib.StandInEngine,
) -> None:
    host, _, port = enforcing_engine.address.rpartition(":")
    body = msgspec.json.encode(
        {"model": "m", "prompt": "a", "max_tokens": 10**7, "stream": True}
    )
    for _ in range(PARAMETERS.max_streams + 1):
        with socket.create_connection((host, int(port))) as caller:
            request_head = (
                "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            caller.sendall(request_head.encode() + body)
            caller.recv(1)
    assert _complete(enforcing_engine).status == 200
    _wait(lambda: enforcing_engine.core.is_idle)


def _wait(condition: object) -> None:
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.01)


def test_repeated_order_has_one_effect(
    engine: engine_lib.StandInEngine,
) -> None:
    assert [_order(engine, 2, 5).status for _ in range(2)] == [200, 200]
    assert engine.orders.applied_order_ids == [5]
    assert engine.orders.role is fleet.Role.DECODE


def test_old_fencing_number_is_refused_only_if_enforced(
    engine: engine_lib.StandInEngine,
) -> None:
    _order(engine, 2, 5)
    enforced = engine.orders._fencing is document.Fencing.ENFORCED
    assert _order(engine, 1, 4).status == (409 if enforced else 200)
    assert engine.orders.applied_order_ids == ([5] if enforced else [5, 4])


def test_second_order_and_completion_are_refused_during_an_order(
    engine: engine_lib.StandInEngine,
) -> None:
    engine.faults.stall_next_s = WAIT_S
    first_order = threading.Thread(target=_order, args=(engine, 2, 5))
    first_order.start()
    _wait(lambda: engine.orders.busy)
    assert _order(engine, 2, 6).status == 409
    assert _complete(engine).status == 503
    engine.orders.end_stall()
    first_order.join()
    assert engine.orders.applied_order_ids == [5]


@pytest.mark.parametrize(
    "crash", [faults_lib.OrderCrashPoint.AFTER_EFFECT, "not-done"]
)
def test_state_is_unclear_for_a_while_after_a_crash(
    enforcing_engine: engine_lib.StandInEngine, crash: str
) -> None:
    _post(enforcing_engine, "/admin/faults", {"crash_next": crash})
    assert _order(enforcing_engine, 2, 5).status == 500
    assert enforcing_engine.orders.state().unclear
    _wait(lambda: not enforcing_engine.orders.state().unclear)
    expected_order_id = 5 if crash == "done" else 0
    assert enforcing_engine.orders.state().done_order_id == expected_order_id


@pytest.mark.parametrize(
    ("action", "argument", "model", "adapters"),
    [
        pytest.param("load", "m@2", "m@2", [], id="load"),
        pytest.param("unload", "m@1", "", [], id="unload"),
        pytest.param("load-adapter", "a", "", ["a"], id="load-adapter"),
        pytest.param("unload-adapter", "a", "", [], id="unload-adapter"),
    ],
)
def test_order_changes_reported_model_and_adapters(
    enforcing_engine: engine_lib.StandInEngine,
    action: str,
    argument: str,
    model: str,
    adapters: list[str],
) -> None:
    state = msgspec.json.decode(
        _order(enforcing_engine, 1, 1, action, argument).data
    )
    assert (state["model"], state["adapters"]) == (model, adapters)


def test_imported_kv_cache_gives_the_same_answer(
    engine: engine_lib.StandInEngine, enforcing_engine: engine_lib.StandInEngine
) -> None:
    prompt = "word " * 5_000
    exported = _complete(engine, prompt=prompt, kv_transfer={"mode": "export"})
    exported_kv = msgspec.json.decode(exported.data)["kv"]
    assert exported_kv["pieces"] == 25
    kv_import = {"mode": "import", "handle": exported_kv["handle"]}
    imported = _complete(enforcing_engine, prompt=prompt, kv_transfer=kv_import)
    assert (
        msgspec.json.decode(imported.data)["choices"]
        == (
            msgspec.json.decode(_complete(engine, prompt=prompt).data)[
                "choices"
            ]
        )
    )
    unknown = {"mode": "import", "handle": f"{enforcing_engine.address}/999"}
    assert (
        _complete(enforcing_engine, prompt="x", kv_transfer=unknown).status
        == 200
    )
