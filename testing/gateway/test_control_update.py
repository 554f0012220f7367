"""Tests of the parts of control's answers that a gateway adopts."""

import random

import msgspec
import pytest
from support import plain_table

from wisteriawall.config import route_table
from wisteriawall.gateway import events
from wisteriawall.gateway import limits
from wisteriawall.gateway import loads
from wisteriawall.gateway import reducer
from wisteriawall.gateway import state as state_lib
from wisteriawall.gateway import suspects
from wisteriawall.policy import retry_window
from wisteriawall.wire import gateway_messages

RUNNER = gateway_messages.Upstream(
    upstream_id="i-1",
    service="s",
    address="10.0.0.1:80",
    zone="z",
    slots=6,
)
TABLE = plain_table.make(route_table.RequestKind.STREAM)


def make_gateway() -> state_lib.Gateway:
    """Return a gateway without a routing table or runners."""
    return state_lib.Gateway(
        name="g",
        zone="z",
        random=random.Random(1),
        tuning=state_lib.Tuning(),
        retries=retry_window.RetryWindow(window_ms=10_000, ratio=0.5, slack=50),
    )


def update(
    gateway: state_lib.Gateway, number: int, *runners: gateway_messages.Upstream
) -> list[events.LogDecision]:
    """Apply a table and a list of one number; return the log entries."""
    event = events.ControlUpdate(
        table=msgspec.structs.replace(TABLE, number=number),
        upstreams=gateway_messages.UpstreamList(1, number, list(runners)),
        gateway_count=1,
        now_ms=number * 1_000,
        newest_table=number,
    )
    return [
        effect
        for effect in reducer.reduce(gateway, event)
        if isinstance(effect, events.LogDecision)
    ]


def fail(*_: object, **_more: object) -> None:
    """Stand in for any part that has a defect."""
    raise RuntimeError("a fault of the program")


@pytest.mark.parametrize(
    ("module", "name"),
    [
        pytest.param(suspects, "apply_losses", id="suspects"),
        pytest.param(limits, "note_contact", id="limits"),
        pytest.param(loads, "apply_upstreams", id="runners"),
    ],
)
def test_part_that_fails_does_not_stop_the_routing_table(
    monkeypatch: pytest.MonkeyPatch,
    module: object,
    name: str,
) -> None:
    """The gateway kept its table, as the same error came with each answer."""
    monkeypatch.setattr(module, name, fail)
    gateway = make_gateway()
    for number in (1, 2):
        update(gateway, number, RUNNER)
        assert gateway.table_number == number


def test_table_that_fails_does_not_stop_the_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(loads, "apply_table", fail)
    gateway = make_gateway()
    lines = [*update(gateway, 1, RUNNER), *update(gateway, 2, RUNNER)]
    assert list(gateway.upstream_by_id) == ["i-1"]
    failures = [line for line in lines if line.decision == "update-failed"]
    assert [line.inputs["part"] for line in failures] == ["table"]


def test_list_after_one_that_failed_is_applied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    gateway = make_gateway()
    with monkeypatch.context() as patch:
        patch.setattr(loads, "apply_upstreams", fail)
        update(gateway, 1, RUNNER)
    update(gateway, 2, RUNNER)
    assert list(gateway.upstream_by_id) == ["i-1"]
    assert gateway.error_by_part == {}


@pytest.mark.parametrize(
    "change",
    [
        pytest.param({"slots": -1}, id="slots"),
        pytest.param({"slots": 2**63}, id="slots over 63 bits"),
        pytest.param({"born_ms": -1}, id="start"),
        pytest.param({"address": "10.0.0.1:99999"}, id="port"),
        pytest.param({"upstream_id": "i\r\nA: b"}, id="identifier"),
        pytest.param({"service": "x" * 1_000_000}, id="service"),
    ],
)
def test_runner_that_only_an_older_leader_lists_is_not_used(
    change: dict[str, object],
) -> None:
    odd = msgspec.structs.replace(RUNNER, **{"upstream_id": "i-0", **change})
    gateway = make_gateway()
    lines = update(gateway, 1, odd, RUNNER)
    assert list(gateway.upstream_by_id) == ["i-1"]
    (line,) = (line for line in lines if line.decision == "upstreams")
    assert line.inputs["count"] == 1
    assert sum(line.inputs["unusable"].values()) == 1  # type: ignore[attr-defined]


def test_log_names_the_source_of_a_table() -> None:
    event = events.TableFetched(
        table=TABLE,
        newest_table=TABLE.number,
        confirmed_ms=900,
        took_ms=7,
        source="10.0.0.2:1",
    )
    lines = [
        effect.inputs
        for effect in reducer.reduce(make_gateway(), event)
        if isinstance(effect, events.LogDecision) and effect.decision == "table"
    ]
    assert lines == [
        {
            "number": TABLE.number,
            "routes": len(TABLE.routes),
            "took_ms": 7,
            "source": "10.0.0.2:1",
        }
    ]


def test_table_that_is_awaited_for_long_is_logged_once() -> None:
    """Nothing told why a gateway that knew of a table did not use it."""
    gateway = make_gateway()
    update(gateway, 1, RUNNER)
    lines = [
        effect
        for now_ms in range(0, 5_000, 100)
        for effect in reducer.reduce(
            gateway,
            events.TableAnnounced(number=4, now_ms=now_ms, source="10.0.0.2:1"),
        )
        if isinstance(effect, events.LogDecision)
    ]
    assert [line.decision for line in lines] == ["table-late"]
    assert lines[0].inputs == {
        "newest_table": 4,
        "table": 1,
        "awaited_ms": 1_000,
        "source": "10.0.0.2:1",
        "error": "",
    }
    update(gateway, 4, RUNNER)
    assert not list(
        reducer.reduce(gateway, events.TableAnnounced(number=4, now_ms=9_000))
    )
    assert gateway.table_awaited_ms is None


def test_fetched_table_that_fails_is_logged_once_and_not_confirmed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The answer before it, without a table, must not hide the error."""
    gateway = make_gateway()
    answer = events.ControlUpdate(
        table=None,
        upstreams=None,
        gateway_count=1,
        now_ms=1_000,
        newest_table=TABLE.number,
        confirmed_ms=1_000,
    )
    fetched = events.TableFetched(
        table=TABLE,
        newest_table=TABLE.number,
        confirmed_ms=1_000,
        took_ms=7,
        source="10.0.0.2:1",
    )
    with monkeypatch.context() as patch:
        patch.setattr(loads, "apply_table", fail)
        patch.setattr(route_table, "RouteIndex", fail)
        lines = [
            effect.decision
            for event in 3 * (answer, fetched)
            for effect in reducer.reduce(gateway, event)
            if isinstance(effect, events.LogDecision)
            and effect.decision in ("table", "update-failed")
        ]
    assert lines == ["update-failed"]
    assert gateway.table_confirmed_ms == 0
    list(reducer.reduce(gateway, fetched))
    assert gateway.error_by_part == {}
    assert gateway.table_number == TABLE.number
    assert gateway.table_confirmed_ms == 1_000
