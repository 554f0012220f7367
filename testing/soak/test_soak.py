"""Seeded soaks, and tests of the soak's own schedule and checks."""

from collections.abc import Callable
import dataclasses
import pathlib
import random
from typing import Any

import pytest
from support import duty_platform

from soak import accounts
from soak import checks
from soak import core_history
from soak import delays
from soak import fleet
from soak import hostile
from soak import misbehavior
from soak import readings
from soak import records
from soak import run
from soak import runners
from soak import schedule

LOOKUP, PAYMENT, STREAM, RESUMABLE, PROBE = records.Kind
SCOPE = schedule.Scope(
    gateways=("g1", "g2", "g3"),
    replicas=("c1", "c2", "c3"),
    runners=8,
    large_tables=True,
    limits=True,
    versions=True,
    stalls=True,
)
CORE_SCOPE = dataclasses.replace(SCOPE, core=True)
RUN = "a1/i-r1-1/7"
EVENTS = b"".join(runners.event_bytes(number, RUN) for number in (1, 2, 3))
UNANSWERED = {
    "ending": records.Ending.UNANSWERED,
    "status": 0,
    "answer": b"",
}


# Bytes a second of a link of 5 Mbit/s.
NARROW_LINK_BYTES_S = 625_000


@pytest.mark.parametrize(
    ("seed", "duration_s", "more"),
    [
        pytest.param(1, 7.0, {}, id="1"),
        pytest.param(2, 7.0, {"hostile_count": 5}, id="2 hostile"),
        pytest.param(
            3,
            7.0,
            {"link_bytes_s": NARROW_LINK_BYTES_S, "large_tables": True},
            id="3 narrow",
        ),
        pytest.param(4, 11.0, {"limits": True}, id="4 limits"),
        pytest.param(5, 9.0, {"versions": True}, id="5 versions"),
        pytest.param(6, 9.0, {"core": True}, id="6 core"),
        pytest.param(
            7,
            9.0,
            {"slow_syncs_ms": (30.0, 300.0), "stalls": True},
            id="7 slow disks",
        ),
        pytest.param(7, 12.0, {"core": True}, id="7 moves"),
    ],
)
def test_promises_hold_under_faults(
    seed: int, duration_s: float, more: dict[str, Any], tmp_path: pathlib.Path
) -> None:
    findings = run.play(
        seed=seed,
        duration_s=duration_s,
        gateways=3,
        caller_count=30,
        folder=tmp_path,
        **more,
    )
    assert [(f.rule, f.attempt, f.text) for f in findings] == []


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(
    "scope",
    [pytest.param(SCOPE, id="all"), pytest.param(CORE_SCOPE, id="core")],
)
def test_same_seed_gives_the_same_schedule(
    seed: int, scope: schedule.Scope
) -> None:
    first, second = (
        schedule.draw(seed, duration_s=30.0, scope=scope) for _ in range(2)
    )
    assert first == second
    assert first != schedule.draw(seed + 1, duration_s=30.0, scope=scope)


def test_schedules_contain_every_fault() -> None:
    kinds = {
        type(timed.fault)
        for seed in range(20)
        for scope in (SCOPE, CORE_SCOPE)
        for timed in schedule.draw(seed, duration_s=30.0, scope=scope)
    }
    assert kinds == set(schedule.Fault.__args__)


def test_same_attempt_gets_the_same_misbehavior() -> None:
    first, second = (
        [
            misbehavior.draw_manner(
                random.Random(f"1/a{number}"), is_stream=True
            )
            for number in range(2_000)
        ]
        for _ in range(2)
    )
    assert first == second
    assert set(first) == set(misbehavior.Manner)


@pytest.mark.parametrize(
    ("late_s", "ending"),
    [
        pytest.param(1.0, "1.0 s late at most", id="in time"),
        pytest.param(1.1, "this run judged little", id="late"),
    ],
)
def test_report_tells_a_run_that_judged_little(
    late_s: float, ending: str
) -> None:
    line = run.describe_judged(_sound_records(LOOKUP), late_s)
    assert line.startswith("judged: 1 answers with 200 of 1 calls")
    assert line.endswith(ending)


def _add_duties(*tokens: int) -> Callable[[records.Records], object]:
    """Return a change that adds calls of one holder for each token."""
    return lambda seen: seen.duty_calls.extend(
        (
            duty_platform.DutyCall(
                at_ms=number * 10_000,
                path="/usage",
                holder=f"c{number}",
                token=token,
                body=b'{"window_id":%d,"counts":{}}' % number,
            ),
            True,
        )
        for number, token in enumerate(tokens)
    )


def _sound_records(kind: records.Kind) -> records.Records:
    """Return a call of `kind` that a runner answered, and a publication."""
    answer = EVENTS if kind.is_stream else b"answer"
    method, body = "POST", b"body"
    seen = records.Records()
    seen.calls.append(
        records.Call(
            attempt="a1",
            kind=kind,
            gateway="g1",
            connection=1,
            use=1,
            method=method,
            target="/pay/1",
            header_by_name={"X-Wisteriawall-Model": "m"},
            body=body,
            deadline_s=15.0,
            started_s=100.0,
            sent_s=100.0,
            first_byte_s=100.1,
            ended_s=100.2,
            ending=records.Ending.COMPLETE,
            status=200,
            answer_header_by_name={
                records.SEAL: "seal-1",
                records.ATTEMPT_ID: "a1",
            },
            answer=answer,
        )
    )
    seen.arrivals.append(
        records.Arrival(
            attempt="a1",
            runner="i-r1-1",
            place="r1",
            stage="",
            service="shop",
            method=method,
            target="/pay/1",
            header_by_name={
                "x-wisteriawall-model": "m",
                runners.KV_SOURCE: "127.0.0.1:1/h1",
            },
            body=body,
            at_s=100.05,
            has_run=True,
            ending=records.RunEnding.ANSWERED,
            ended_s=100.15,
            status=200,
            seal="seal-1",
            answer=answer,
            last_event=3,
        )
    )
    seen.attempt_by_handle = {"h1": "a1", "h2": "a2"}
    seen.publications.append(records.Publication(4, "four", 90.0, 91.0))
    seen.readings.append(
        records.Reading("c1", 4, "four", 110.0, 110.1, is_final=True)
    )
    for change, at_s in (
        (records.Change.START, 80.0),
        (records.Change.TERM, 99.0),
        (records.Change.END, 101.0),
    ):
        seen.incidents.append(records.Incident("g1", change, at_s, 77))
    return seen


@pytest.mark.parametrize("kind", list(records.Kind))
def test_sound_records_break_no_rule(kind: records.Kind) -> None:
    assert checks.judge(_sound_records(kind)) == []


def _change_call(**values: Any) -> Callable[[records.Records], None]:
    def change(seen: records.Records) -> None:
        seen.calls[0] = dataclasses.replace(seen.calls[0], **values)

    return change


def _change_arrival(**values: Any) -> Callable[[records.Records], None]:
    def change(seen: records.Records) -> None:
        seen.arrivals[0] = dataclasses.replace(seen.arrivals[0], **values)

    return change


def _run_again(seen: records.Records) -> None:
    seen.arrivals.append(dataclasses.replace(seen.arrivals[0], seal="seal-2"))


def _use_handle_of_another(seen: records.Records) -> None:
    seen.arrivals[0].header_by_name[runners.KV_SOURCE] = "127.0.0.1:1/h2"


def _use_unknown_handle(seen: records.Records) -> None:
    seen.arrivals[0].header_by_name[runners.KV_SOURCE] = "127.0.0.1:1/h9"


def _cut_resumed(seen: records.Records) -> None:
    """Break off the first run, and cut the second one after its event."""
    first = seen.arrivals[0]
    first.ending = records.RunEnding.BROKE_OFF
    first.answer = runners.event_bytes(1, RUN)
    second = runners.event_bytes(2, "a1/i-r2-1/8")
    seen.arrivals.append(
        dataclasses.replace(
            first,
            place="r2",
            ending=records.RunEnding.ABANDONED,
            seal="seal-2",
            answer=second,
        )
    )
    _change_call(ending=records.Ending.RESET, answer=first.answer + second)(
        seen
    )


def _cut_rejected(seen: records.Records) -> None:
    _change_call(**UNANSWERED)(seen)
    _change_arrival(has_run=False, ending=records.RunEnding.REJECTED)(seen)


def _cut_at_any_time(seen: records.Records) -> None:
    """Cut four requests without planned work."""
    seen.incidents[1] = dataclasses.replace(seen.incidents[1], at_s=200.0)
    seen.incidents[2] = dataclasses.replace(seen.incidents[2], at_s=201.0)
    for name in ("a2", "a3", "a4", "a5"):
        seen.calls.append(
            dataclasses.replace(
                seen.calls[0],
                attempt=name,
                ending=records.Ending.UNANSWERED,
                status=0,
                answer=b"",
            )
        )
        seen.arrivals.append(
            dataclasses.replace(
                seen.arrivals[0],
                attempt=name,
                header_by_name={"x-wisteriawall-model": "m"},
            )
        )


def _add_reading(
    version: int, content: str, *, at_s: float = 100.0, is_final: bool = False
) -> Callable[[records.Records], None]:
    def change(seen: records.Records) -> None:
        seen.publications.append(records.Publication(2, "two", 80.0, 81.0))
        seen.readings.append(
            records.Reading("c2", version, content, at_s, at_s, is_final)
        )

    return change


def _probe(
    prefix: str, prefixes: frozenset[str], *, status: int
) -> Callable[[records.Records], None]:
    def change(seen: records.Records) -> None:
        seen.incidents[1:] = []
        seen.incidents.append(
            records.Incident("g1", records.Change.KILL, 190.0, 77)
        )
        seen.incidents.append(
            records.Incident("g1", records.Change.END, 190.0, 77)
        )
        seen.publications = [
            dataclasses.replace(seen.publications[0], prefixes=prefixes)
        ]
        _change_call(target=prefix)(seen)
        _change_arrival(target=prefix)(seen)
        if status != seen.calls[0].status:
            _change_call(status=status, answer_header_by_name={})(seen)
            seen.arrivals.clear()

    return change


def _deny(seen: records.Records) -> None:
    for number in range(readings.MAX_DENIED + 1):
        seen.calls.append(
            dataclasses.replace(
                seen.calls[0],
                attempt=f"b{number}",
                status=404,
                answer_header_by_name={},
            )
        )


def _exceed_limit(seen: records.Records) -> None:
    """Name a limit of 1 a second, and send 12 requests 4 s later."""
    seen.arrivals[0].named_limit = 1.0
    seen.arrivals[0].named_s = 102.0
    for number in range(12):
        changed: dict[str, Any] = {
            "attempt": f"b{number}",
            "target": f"/pay/b{number}",
        }
        at_s = 106.0 + number / 10
        seen.calls.append(
            dataclasses.replace(
                seen.calls[0],
                **changed,
                started_s=at_s,
                sent_s=at_s,
                first_byte_s=at_s + 0.1,
                ended_s=at_s + 0.1,
                answer=f"answer {number}".encode(),
                answer_header_by_name={
                    records.SEAL: f"seal-b{number}",
                    records.ATTEMPT_ID: f"b{number}",
                },
            )
        )
        seen.arrivals.append(
            dataclasses.replace(
                seen.arrivals[0],
                **changed,
                at_s=at_s,
                ended_s=at_s,
                answer=f"answer {number}".encode(),
                seal=f"seal-b{number}",
                header_by_name={"x-wisteriawall-model": "m"},
            )
        )


def _end(
    change: records.Change | None = None, code: int = 0
) -> Callable[[records.Records], None]:
    def replace(seen: records.Records) -> None:
        seen.incidents[2] = dataclasses.replace(seen.incidents[2], code=code)
        if change is not None:
            seen.incidents.append(records.Incident("g1", change, 107.0, 77))

    return replace


def _repeat_too_often(seen: records.Records) -> None:
    """Let 100 lookups within 5 s arrive twice each, at the same runner."""
    call, (arrival,) = seen.calls[0], seen.arrivals
    del arrival.header_by_name[runners.KV_SOURCE]
    del call.answer_header_by_name[records.ATTEMPT_ID]
    for number in range(100):
        attempt = f"b{number}"
        changed: dict[str, Any] = {
            "attempt": attempt,
            "target": f"/{attempt}",
        }
        at_s = call.started_s + number / 20
        seen.calls.append(dataclasses.replace(call, **changed, started_s=at_s))
        for _ in range(2):
            seen.arrivals.append(
                dataclasses.replace(arrival, **changed, at_s=at_s)
            )


UNANSWERED = {"ending": records.Ending.UNANSWERED, "status": 0, "answer": b""}


def _exceed_budget(seen: records.Records) -> None:
    """Run some lookups on three runners each, of which one answers."""
    call, (arrival,) = seen.calls[0], seen.arrivals
    del arrival.header_by_name[runners.KV_SOURCE]
    del call.answer_header_by_name[records.ATTEMPT_ID]
    for number in range(checks.MAX_OVER_BUDGET + 1):
        attempt = f"b{number}"
        seen.calls.append(
            dataclasses.replace(call, attempt=attempt, target=f"/{attempt}")
        )
        for place in ("r1", "r2", "r3"):
            seen.arrivals.append(
                dataclasses.replace(
                    arrival,
                    attempt=attempt,
                    target=f"/{attempt}",
                    runner=f"i-{place}-1",
                    place=place,
                )
            )


def _end_young(seen: records.Records) -> None:
    """End by SIGTERM, some seconds after an earlier one."""
    seen.incidents[0] = dataclasses.replace(seen.incidents[0], at_s=97.0)
    _end(code=-15)(seen)


@pytest.mark.parametrize(
    ("rule", "kind", "change"),
    [
        pytest.param(rule, kind, change, id=name)
        for name, rule, kind, change in (
            (
                "success-without-a-seal",
                "MIXED",
                PAYMENT,
                _change_call(answer_header_by_name={}),
            ),
            (
                "answer-of-another-request",
                "MIXED",
                PAYMENT,
                _change_call(
                    answer_header_by_name={
                        records.SEAL: "seal-1",
                        records.ATTEMPT_ID: "a9",
                    }
                ),
            ),
            (
                "body-of-another-request",
                "MIXED",
                PAYMENT,
                _change_call(answer=b"other"),
            ),
            (
                "truncated-answer-that-looks-complete",
                "MIXED",
                PAYMENT,
                _change_call(answer=b"ans"),
            ),
            (
                "success-of-a-failure",
                "MIXED",
                PAYMENT,
                _change_arrival(status=500),
            ),
            (
                "bytes-without-a-request",
                "MIXED",
                LOOKUP,
                _change_call(surplus=b"HTTP/1.1 200 OK\r\n"),
            ),
            (
                "bytes-that-are-no-answer-without-a-request",
                "MIXED",
                LOOKUP,
                _change_call(surplus=b"event: 3"),
            ),
            (
                "bytes-that-are-no-answer",
                "MIXED",
                LOOKUP,
                _change_call(ending=records.Ending.MALFORMED, status=0),
            ),
            (
                "handle-of-another-request",
                "MIXED",
                STREAM,
                _use_handle_of_another,
            ),
            ("payment-twice", "TWICE", PAYMENT, _run_again),
            ("stream-twice", "TWICE", STREAM, _run_again),
            *(
                (
                    f"refused-with-{status}",
                    "REFUSED",
                    PAYMENT,
                    _change_call(
                        status=status, answer_header_by_name={}, answer=b""
                    ),
                )
                for status in checks.NOT_RUN_STATUSES
            ),
            *(
                (
                    f"changed-{next(iter(values))}",
                    "UNASKED",
                    LOOKUP,
                    _change_arrival(**values),
                )
                for values in (
                    {"method": "PUT"},
                    {"target": "/pay/2"},
                    {"body": b"bodybody"},
                    {"header_by_name": {"x-wisteriawall-model": "n"}},
                )
            ),
            (
                "unknown-request",
                "UNASKED",
                LOOKUP,
                lambda seen: seen.arrivals.append(
                    dataclasses.replace(
                        seen.arrivals[0], attempt="", header_by_name={}
                    )
                ),
            ),
            ("handle-of-a-caller", "UNASKED", STREAM, _use_unknown_handle),
            ("not-sent-completely", "UNASKED", PAYMENT, _change_call(sent_s=0)),
            ("more-runners-than-attempts", "BUDGET", LOOKUP, _exceed_budget),
            ("more-repeats-than-budget", "BUDGET", LOOKUP, _repeat_too_often),
            ("cut-around-sigterm", "LOST", PAYMENT, _change_call(**UNANSWERED)),
            (
                "reset-within-a-stream",
                "LOST",
                STREAM,
                _change_call(ending=records.Ending.RESET, answer=EVENTS[:9]),
            ),
            ("cut-within-a-resumed-stream", "LOST", RESUMABLE, _cut_resumed),
            ("rejected-and-cut", "LOST", PAYMENT, _cut_rejected),
            ("cut-at-any-time", "LOST", LOOKUP, _cut_at_any_time),
            (
                "missing-event",
                "ORDER",
                RESUMABLE,
                _change_call(
                    answer=EVENTS.replace(runners.event_bytes(2, RUN), b"")
                ),
            ),
            (
                "event-twice",
                "ORDER",
                RESUMABLE,
                _change_call(answer=EVENTS + runners.event_bytes(3, RUN)),
            ),
            (
                "end-before-the-last-event",
                "ORDER",
                RESUMABLE,
                _change_arrival(last_event=4),
            ),
            (
                "event-of-another-run",
                "ORDER",
                RESUMABLE,
                _change_call(answer=EVENTS.replace(b"i-r1-1/7", b"i-r1-1/8")),
            ),
            ("older-version", "CONFIG", LOOKUP, _add_reading(2, "two")),
            ("other-content", "CONFIG", LOOKUP, _add_reading(4, "five")),
            (
                "older-version-at-the-end",
                "CONFIG",
                LOOKUP,
                _add_reading(2, "two", at_s=91.0, is_final=True),
            ),
            (
                "nothing-at-the-end",
                "CONFIG",
                LOOKUP,
                lambda seen: seen.readings.clear(),
            ),
            (
                "added-route-refused",
                "CONFIG",
                PROBE,
                _probe("/extra-1/", frozenset({"/extra-1/"}), status=404),
            ),
            (
                "dropped-route-runs",
                "CONFIG",
                PROBE,
                _probe("/extra-1/", frozenset(), status=200),
            ),
            ("ended-by-sigterm", "STOP", LOOKUP, _end(code=-15)),
            ("ended-by-a-second-sigterm", "STOP", LOOKUP, _end_young),
            ("ended-by-sighup", "STOP", LOOKUP, _end(code=-1)),
            ("proper-requests-denied", "DENIED", LOOKUP, _deny),
            (
                "outlived-the-grace-period",
                "STOP",
                LOOKUP,
                _end(records.Change.GRACE_KILL, -9),
            ),
            ("over-its-limit", "LIMIT", LOOKUP, _exceed_limit),
            ("two-holders-of-a-token", "DUTY", LOOKUP, _add_duties(1, 1)),
            ("lower-token", "DUTY", LOOKUP, _add_duties(2, 1)),
            ("ended-with-a-failure", "STOP", LOOKUP, _end(code=1)),
            (
                "ended-by-itself",
                "STOP",
                LOOKUP,
                lambda seen: seen.incidents.pop(1),
            ),
            (
                "still-running",
                "STOP",
                LOOKUP,
                lambda seen: seen.incidents.pop(2),
            ),
        )
    ],
)
def test_check_fails_on_a_broken_rule(
    rule: str, kind: records.Kind, change: Callable[[records.Records], object]
) -> None:
    seen = _sound_records(kind)
    change(seen)
    assert {finding.rule for finding in checks.judge(seen)} == {rule}


def _break_off(seen: records.Records) -> None:
    seen.arrivals[0].ending = records.RunEnding.BROKE_OFF


def _work_into_the_end(seen: records.Records) -> None:
    seen.arrivals[0].ended_s = 106.0
    seen.calls[0].ended_s = 106.5


@pytest.mark.parametrize(
    "change",
    [
        pytest.param(_break_off, id="runner-broke-off"),
        pytest.param(
            _change_arrival(misbehavior="stalled"), id="runner-misbehaved"
        ),
        pytest.param(_work_into_the_end, id="worked-into-the-end-of-grace"),
        pytest.param(_change_call(**UNANSWERED, ended_s=115.0), id="deadline"),
        pytest.param(
            lambda seen: seen.incidents.append(
                records.Incident("g1", records.Change.KILL, 100.1, 77)
            ),
            id="gateway-killed",
        ),
        pytest.param(
            lambda seen: seen.incidents.append(
                records.Incident(
                    "r1", records.Change.DISTURBED, 98.0, until_s=99.0
                )
            ),
            id="link-disturbed",
        ),
        pytest.param(
            _change_call(ending=records.Ending.LEFT), id="caller-left"
        ),
        pytest.param(lambda seen: seen.arrivals.clear(), id="not-passed-on"),
    ],
)
def test_request_that_the_rule_excuses_is_not_lost(
    change: Callable[[records.Records], object],
) -> None:
    seen = _sound_records(PAYMENT)
    _change_call(**UNANSWERED)(seen)
    change(seen)
    assert [f.text for f in checks.judge(seen) if f.rule == "LOST"] == []


@pytest.mark.parametrize(
    ("passed_s", "ended_s", "is_lost"),
    [
        pytest.param(100.16, 106.5, True, id="prompt"),
        pytest.param(None, 106.5, True, id="not recorded"),
        pytest.param(104.0, 106.5, True, id="late, but in time"),
        pytest.param(106.0, 106.5, False, id="late"),
        pytest.param(float("inf"), 106.5, False, id="never passed on"),
        pytest.param(float("inf"), 104.0, True, id="cut before the last sixth"),
        pytest.param(111.0, 104.0, True, id="passed on after an early cut"),
    ],
)
def test_late_proxy_excuses_what_it_still_held_at_the_end_of_grace(
    passed_s: float | None, ended_s: float, is_lost: bool
) -> None:
    """The runner ended at 100.15; SIGTERM came at 99, grace lasts 8 s."""
    seen = _sound_records(PAYMENT)
    _change_call(**UNANSWERED, ended_s=ended_s)(seen)
    seen.arrivals[0].passed_s = passed_s
    _judge_lost(seen, is_lost=is_lost)


@pytest.mark.parametrize(
    ("passed_s", "is_lost"),
    [
        pytest.param(106.5, False, id="left at the end of grace"),
        pytest.param(104.0, True, id="left the runner before"),
        pytest.param(None, True, id="not recorded"),
    ],
)
def test_runner_that_learns_late_of_the_end_was_at_work_until_it(
    passed_s: float | None, *, is_lost: bool
) -> None:
    """The call ends at 106.6, which the runner sees 7 s later."""
    seen = _sound_records(PAYMENT)
    _change_call(**UNANSWERED, ended_s=106.6)(seen)
    _change_arrival(
        ending=records.RunEnding.ABANDONED, ended_s=113.6, passed_s=passed_s
    )(seen)
    _judge_lost(seen, is_lost=is_lost)


@pytest.mark.parametrize("is_passed", [False, True])
def test_late_record_of_a_runner_does_not_excuse_what_was_passed_on(
    *, is_passed: bool
) -> None:
    """The runner's thread records the end 5 s after the proxy's passing.

    A runner that a gateway left at that time was at work for so long.
    """
    seen = _sound_records(PAYMENT)
    _change_call(**UNANSWERED, ended_s=106.5)(seen)
    _change_arrival(ended_s=106.0, passed_s=101.0, is_passed=is_passed)(seen)
    _judge_lost(seen, is_lost=is_passed)


def _judge_lost(seen: records.Records, *, is_lost: bool) -> None:
    found = [f.rule for f in checks.judge(seen) if f.rule == "LOST"]
    assert found == ["LOST"] * is_lost


@pytest.mark.parametrize(
    ("thawed_s", "rules"),
    [
        pytest.param(100.9, [], id="at-the-thaw"),
        pytest.param(99.2, ["STOP"], id="long-after-the-thaw"),
    ],
)
def test_starting_process_may_end_by_a_signal_once_it_is_thawed(
    thawed_s: float, rules: list[str]
) -> None:
    seen = _sound_records(LOOKUP)
    seen.incidents[0] = dataclasses.replace(seen.incidents[0], at_s=98.5)
    for change, at_s in (
        (records.Change.FREEZE, 98.8),
        (records.Change.THAW, thawed_s),
    ):
        seen.incidents.append(records.Incident("g1", change, at_s, 77))
    _end(code=-15)(seen)
    found = [f.rule for f in checks.judge(seen) if f.rule == "STOP"]
    assert found == rules


@pytest.mark.parametrize(
    ("frozen_s", "rules"),
    [
        pytest.param(95.1, [], id="frozen-in-its-first-instructions"),
        pytest.param(97.4, ["STOP"], id="frozen-after-its-start"),
    ],
)
def test_frozen_process_does_not_get_on_with_its_start(
    frozen_s: float, rules: list[str]
) -> None:
    """A gateway frozen 35 ms after its start got SIGHUP 2.5 s later."""
    seen = _sound_records(LOOKUP)
    seen.incidents[:] = [
        records.Incident("g1", change, at_s, 77, code=code)
        for change, at_s, code in (
            (records.Change.START, 95.0, 0),
            (records.Change.FREEZE, frozen_s, 0),
            (records.Change.HUP, 97.6, 0),
            (records.Change.THAW, 98.0, 0),
            (records.Change.END, 98.1, -1),
        )
    ]
    found = [f.rule for f in checks.judge(seen) if f.rule == "STOP"]
    assert found == rules


@pytest.mark.parametrize(
    ("version", "rules"),
    [
        pytest.param("v1", [], id="same"),
        pytest.param("v2", ["ORDER"], id="two"),
    ],
)
def test_stream_that_is_taken_up_holds_events_of_one_version(
    version: str, rules: list[str]
) -> None:
    seen = _sound_records(records.Kind.RESUMABLE)
    first, arrival = seen.calls[0], seen.arrivals[0]
    arrival.version = "v1"
    events = [runners.event_bytes(n, f"run{(n + 1) // 2}") for n in range(1, 5)]
    first.answer, arrival.answer = b"".join(events[:2]), b"".join(events[:2])
    first.ending = records.Ending.RESET
    arrival.ending = records.RunEnding.BROKE_OFF
    arrival.last_event = 4
    rest = b"".join(events[2:])
    seen.calls.append(
        dataclasses.replace(
            first,
            attempt="a2",
            header_by_name={
                **first.header_by_name,
                "Resumes": "a1",
                "Last-Event-Id": "2",
            },
            answer_header_by_name={
                **first.answer_header_by_name,
                records.ATTEMPT_ID: "a2",
            },
            answer=rest,
            ending=records.Ending.COMPLETE,
        )
    )
    seen.arrivals.append(
        dataclasses.replace(
            arrival,
            attempt="a2",
            header_by_name={
                **arrival.header_by_name,
                "x-wisteriawall-attempt-id": "a2",
            },
            version=version,
            answer=rest,
            ending=records.RunEnding.ANSWERED,
        )
    )
    found = [f for f in checks.judge(seen) if "versions" in f.text]
    assert [f.rule for f in found] == rules


def _core(
    *incidents: tuple[str, records.Change, float],
) -> list[records.Incident]:
    """Return starts of three replicas long ago, and more of what happened."""
    starts = [
        records.Incident(name, records.Change.START, 60.0)
        for name in ("c1", "c2", "c3")
    ]
    return starts + [records.Incident(*incident) for incident in incidents]


def _cut(
    name: str, *others: str, from_s: float, until_s: float
) -> list[records.Incident]:
    return [
        records.Incident(
            name, records.Change.CUT, from_s, until_s=until_s, other=other
        )
        for other in others
    ]


START, END, TERM = (
    records.Change.START,
    records.Change.END,
    records.Change.TERM,
)
KILL, FREEZE, THAW = (
    records.Change.KILL,
    records.Change.FREEZE,
    records.Change.THAW,
)
KILLED = (("c1", KILL, 98.5), ("c1", END, 98.5), ("c1", START, 98.6))
FROZEN = (("c2", FREEZE, 95.0), ("c2", THAW, 96.0))
REPLACED = (
    ("c4", START, 95.0),
    ("c1", records.Change.REMOVED, 98.5),
    ("c1", TERM, 98.5),
    ("c1", END, 98.7),
)


@pytest.mark.parametrize(
    ("incidents", "acknowledged_s", "rules"),
    [
        pytest.param(*case, id=name)
        for name, *case in (
            ("calm", _core(), 97.9, ["CONFIG"]),
            ("calm-in-time", _core(), 98.1, []),
            ("killed", _core(*KILLED), 92.9, ["CONFIG"]),
            ("killed-in-time", _core(*KILLED), 93.1, []),
            ("majority-lost", _core(*KILLED, *FROZEN), 91.0, []),
            ("replaced", _core(*REPLACED), 92.9, ["CONFIG"]),
            ("replaced-in-time", _core(*REPLACED), 93.1, []),
            (
                "another-lost-while-the-new-one-catches-up",
                _core(*REPLACED, ("c2", KILL, 98.8), ("c2", END, 98.8)),
                91.0,
                [],
            ),
            (
                "replica-cut",
                _core() + _cut("c3", "c1", "c2", from_s=98.0, until_s=102.0),
                92.9,
                ["CONFIG"],
            ),
            (
                "replica-cut-for-long",
                _core() + _cut("c3", "c1", "c2", from_s=96.0, until_s=102.0),
                97.9,
                ["CONFIG"],
            ),
            (
                "core-without-links",
                _core()
                + _cut("c3", "c1", "c2", from_s=96.0, until_s=102.0)
                + _cut("c1", "c2", from_s=96.0, until_s=102.0),
                91.0,
                [],
            ),
            (
                "gateway-cut-from-a-replica",
                _core() + _cut("g1", "c1", from_s=95.0, until_s=97.5),
                91.0,
                [],
            ),
            (
                "gateway-was-cut-before",
                _core() + _cut("g1", "c1", from_s=93.0, until_s=96.5),
                97.9,
                ["CONFIG"],
            ),
            (
                "gateway-cut-from-other-gateways",
                _core() + _cut("g1", "g2", "g3", from_s=95.0, until_s=101.0),
                97.9,
                ["CONFIG"],
            ),
            (
                "gateway-cut-from-a-replica-that-is-cut",
                _core()
                + _cut("c3", "c1", "c2", "g1", from_s=90.0, until_s=102.0),
                97.9,
                ["CONFIG"],
            ),
        )
    ],
)
def test_bound_of_changes_follows_core_and_links(
    incidents: list[records.Incident],
    acknowledged_s: float,
    rules: list[str],
) -> None:
    """Guards against probes that are judged too strictly, or not at all."""
    seen = _sound_records(PROBE)
    _probe("/extra-1/", frozenset(), status=200)(seen)
    seen.publications[0] = dataclasses.replace(
        seen.publications[0],
        sent_s=acknowledged_s - 1.0,
        acknowledged_s=acknowledged_s,
    )
    seen.incidents += incidents
    assert [finding.rule for finding in checks.judge(seen)] == rules


@pytest.mark.parametrize(
    ("incidents", "expected_s"),
    [
        pytest.param(_core(), 10.0, id="calm"),
        pytest.param(_core(*KILLED), 8.5, id="killed"),
        pytest.param(_core(*FROZEN), 5.0, id="frozen"),
        pytest.param(
            _core() + _cut("c3", "c1", from_s=93.0, until_s=98.0),
            3.0,
            id="cut",
        ),
        pytest.param(_core(("c2", END, 94.0)), 4.0, id="down"),
        pytest.param(
            _core() + _cut("c3", "g1", from_s=93.0, until_s=98.0),
            10.0,
            id="gateway-cut",
        ),
    ],
)
def test_disks_are_lost_only_after_replicas_could_catch_up(
    incidents: list[records.Incident], expected_s: float
) -> None:
    """Two disks were lost while the leader was cut from the new replica."""
    seen = records.Records()
    seen.incidents += incidents
    history = core_history.CoreHistory(seen)
    assert history.longest_calm_s(["c1", "c2", "c3"], 90.0, 100.0) == expected_s


@pytest.mark.parametrize(
    ("log", "has_started"),
    [
        pytest.param(None, False, id="no-log-yet"),
        pytest.param(b"", False, id="empty"),
        pytest.param(b'{"t":1,"decision":"start"}\n', False, id="before"),
        pytest.param(
            b'{"t":9000000000000,"decision":"start"}\n{"t":9,"decision":"sta',
            True,
            id="started",
        ),
        pytest.param(b'{"t":1,"decision":"start","fol', False, id="cut-off"),
    ],
)
def test_start_of_a_replica_is_read_from_its_log(
    log: bytes | None, has_started: bool, tmp_path: pathlib.Path
) -> None:
    """A soak failed: a replica that was just started had no log yet."""
    seen = records.Records()
    seen.incidents.append(records.Incident("c4", START, 0.0, 77))
    path = tmp_path / "c4.log"
    if log is not None:
        path.write_bytes(log)
    node = fleet.Node(
        name="c4",
        role="control",
        settings=tmp_path / "c4.json",
        log=path,
        seen=seen,
    )
    assert (node.last_start_s() < float("inf")) == has_started


def test_delays_of_tables_are_measured_by_what_disturbed_them(
    tmp_path: pathlib.Path,
) -> None:
    """A gateway that never used a version must not be left out."""
    seen = _sound_records(LOOKUP)
    seen.incidents[:] = [
        *_core(*KILLED),
        records.Incident("g1", START, 80.0, 77),
        records.Incident("g1", KILL, 100.0, 77),
    ]
    seen.publications[:] = [
        records.Publication(4, "four", 90.0, 91.0),
        records.Publication(5, "five", 97.0, 98.0),
        records.Publication(6, "six", 98.0, 99.0),
    ]
    log = tmp_path / "g1.log"
    log.write_bytes(
        b'{"t":1091500,"decision":"table","number":4}\n'
        b'{"t":1099250,"decision":"table","number":5}\n'
        b'{"t":1099900,"decision":"ta'
    )
    lines = list(delays.describe(seen, {"g1": log}, 1_000.0))
    assert [line for line in lines if not line.startswith("  ")] == [
        "from acknowledgement to use, core not stable: 2, median 1.000 s,"
        " 99th 1.250 s, most 1.250 s",
        "from acknowledgement to use, in touch: 1, median 0.500 s, 99th"
        " 0.500 s, most 0.500 s",
    ]
    assert lines[2].endswith("1.000 s, not used by then")


EXTRA = frozenset({"/extra-1/"})


@pytest.mark.parametrize(
    ("is_run", "started_s", "versions", "restarted_s", "rules"),
    [
        pytest.param(*case, id=name)
        for name, *case in (
            ("went-back", False, 100.4, ((4, EXTRA),), 0, ["CONFIG"]),
            ("at-once", False, 100.29, ((4, EXTRA),), 0, []),
            ("restarted", False, 100.4, ((4, EXTRA),), 100.35, []),
            (
                "later-version",
                False,
                100.4,
                ((4, EXTRA), (6, frozenset())),
                0,
                [],
            ),
            (
                "run-after-a-later-version",
                True,
                100.4,
                ((3, EXTRA), (5, frozenset())),
                0,
                [],
            ),
        )
    ],
)
def test_gateway_that_goes_back_to_an_older_version_is_found(
    is_run: bool,
    started_s: float,
    versions: tuple[tuple[int, frozenset[str]], ...],
    restarted_s: float,
    rules: list[str],
) -> None:
    """A run shows a version with its route; a refusal needs no older one."""
    seen = _sound_records(PROBE)
    _probe("/extra-1/", EXTRA, status=200)(seen)
    seen.publications[:] = [
        records.Publication(2, "two", 80.0),
        *(
            records.Publication(number, "four", 90.0, prefixes=prefixes)
            for number, prefixes in versions
        ),
    ]
    seen.readings[0] = dataclasses.replace(
        seen.readings[0],
        version=versions[-1][0],
    )
    _add_call(seen, is_run=is_run, started_s=started_s)
    if restarted_s:
        seen.incidents[1:1] = [
            records.Incident("g1", KILL, restarted_s, 77),
            records.Incident("g1", END, restarted_s, 77),
            records.Incident("g1", START, restarted_s, 78),
        ]
        seen.incidents[-2:] = [
            records.Incident("g1", change, 190.0, 78) for change in (KILL, END)
        ]
    assert [finding.rule for finding in checks.judge(seen)] == rules


def test_run_before_a_route_was_dropped_is_not_that_of_a_later_call() -> None:
    """A caller that gave up may send its attempt id again."""
    seen = _sound_records(PROBE)
    _probe("/extra-1/", EXTRA, status=200)(seen)
    seen.publications.append(records.Publication(5, "five", 101.0, 102.0))
    seen.readings[0] = records.Reading(
        "c1", 5, "five", 110.0, 110.1, is_final=True
    )
    _add_call(seen, is_run=False, started_s=105.0)
    seen.calls[1].attempt = seen.calls[0].attempt
    assert checks.judge(seen) == []


def test_route_that_is_dropped_again_after_its_removal_showed_is_found() -> (
    None
):
    """A run of a later route shows that an earlier one is dropped."""
    seen = _sound_records(PROBE)
    _probe("/extra-2/", frozenset(), status=200)(seen)
    seen.publications[:] = [
        records.Publication(4, "four", 90.0, prefixes=EXTRA),
        records.Publication(5, "five", 99.0, prefixes=frozenset({"/extra-2/"})),
    ]
    seen.readings[0] = records.Reading(
        "c1", 5, "five", 110.0, 110.1, is_final=True
    )
    _add_call(seen, is_run=True, started_s=100.4)
    found = [(f.rule, f.attempt) for f in checks.judge(seen)]
    assert found == [("CONFIG", "a2")]


def _add_call(seen: records.Records, *, is_run: bool, started_s: float) -> None:
    """Add a probe that is run, or refused with 404."""
    call, (arrival,) = seen.calls[0], seen.arrivals
    changed: dict[str, Any] = {"attempt": "a2", "target": "/extra-1/2"}
    seal = {records.SEAL: "seal-2", records.ATTEMPT_ID: "a2"}
    seen.calls.append(
        dataclasses.replace(
            call,
            **changed,
            started_s=started_s,
            sent_s=started_s,
            first_byte_s=started_s + 0.1,
            ended_s=started_s + 0.1,
            status=200 if is_run else 404,
            answer_header_by_name=seal if is_run else {},
        )
    )
    if is_run:
        seen.arrivals.append(
            dataclasses.replace(
                arrival,
                **changed,
                at_s=started_s + 0.05,
                ended_s=started_s + 0.05,
                seal="seal-2",
                header_by_name={"x-wisteriawall-model": "m"},
            )
        )


def _with_key(
    key: str, *, account: str, target: str = "/pay/1"
) -> records.Records:
    """Return records of a call with a key, and an account at the runner.

    The first configuration has every key; 15 s before the call a second one
    removes those that change.
    """
    seen = _sound_records(PAYMENT)
    every = frozenset(accounts.ACCOUNT_BY_KEY)
    seen.publications[:] = [
        records.Publication(4, "four", 80.0, 81.0, keys=every),
        records.Publication(
            5, "five", 84.0, 85.0, keys=frozenset(accounts.STEADY_KEYS)
        ),
    ]
    seen.readings = [
        records.Reading("c1", 5, "five", 110.0, 110.1, is_final=True)
    ]
    _change_call(
        target=target,
        header_by_name={
            **seen.calls[0].header_by_name,
            accounts.AUTHORIZATION: accounts.SCHEME + key,
        },
    )(seen)
    _change_arrival(target=target)(seen)
    if account:
        seen.arrivals[0].header_by_name[accounts.TENANT.lower()] = account
    return seen


def _refuse(seen: records.Records) -> None:
    seen.arrivals.clear()
    _change_call(status=401, answer_header_by_name={}, answer=b"")(seen)


def _remove_late(seen: records.Records) -> None:
    """Acknowledge the removal shortly before the call."""
    seen.publications[1] = dataclasses.replace(
        seen.publications[1], acknowledged_s=98.0
    )


def _give_back(seen: records.Records) -> None:
    """Send another configuration with all keys just before the arrival."""
    seen.publications.append(
        dataclasses.replace(
            seen.publications[0], version=6, sent_s=100.0, acknowledged_s=0.0
        )
    )


def _show_key(seen: records.Records) -> None:
    seen.arrivals[0].header_by_name["x-copy"] = "Token key-of-north"


def _keep(seen: records.Records) -> None:
    del seen


@pytest.mark.parametrize(
    ("key", "account", "target", "change", "rules"),
    [
        pytest.param(*case, id=name)
        for name, *case in (
            ("steady", "key-of-north", "north", "/pay/1", _keep, []),
            ("key-shown", "key-of-north", "north", "/p/", _show_key, ["KEY"]),
            ("other-account", "key-of-north", "south", "/p/", _keep, ["KEY"]),
            ("spoofed", "key-of-north", "spoofed", "/p/", _keep, ["KEY"]),
            ("no-account", "key-of-north", "", "/p/", _keep, ["KEY"]),
            ("steady-refused", "key-of-north", "", "/p/", _refuse, ["KEY"]),
            (
                "public-refused",
                "key-of-nobody",
                "",
                "/split/",
                _refuse,
                ["KEY"],
            ),
            ("public", "key-of-north", "", "/split/", _keep, []),
            ("public-other", "key-of-north", "east", "/split/", _keep, ["KEY"]),
            ("public-removed", "key-of-east-1", "east", "/split/", _keep, []),
            ("unknown-run", "key-of-nobody", "", "/p/", _keep, ["KEY"]),
            ("unknown-refused", "key-of-nobody", "", "/p/", _refuse, []),
            ("removed-run", "key-of-east-1", "east", "/p/", _keep, ["KEY"]),
            ("removed-refused", "key-of-east-1", "", "/p/", _refuse, []),
            ("just-removed", "key-of-east-1", "east", "/p/", _remove_late, []),
            ("given-back", "key-of-east-1", "east", "/p/", _give_back, []),
        )
    ],
)
def test_keys_are_judged(
    key: str,
    account: str,
    target: str,
    change: Callable[[records.Records], None],
    rules: list[str],
) -> None:
    """Guards against a check that misses a fault of accounts, or makes one."""
    seen = _with_key(key, account=account, target=target)
    change(seen)
    assert [finding.rule for finding in checks.judge(seen)] == rules


@pytest.mark.parametrize(
    ("reported", "expected"),
    [
        pytest.param(1, "0 more missing, 0 too many", id="right"),
        pytest.param(0, "1 more missing, 0 too many", id="missing"),
        pytest.param(3, "0 more missing, 2 too many", id="too many"),
    ],
)
def test_usage_is_compared_with_runs(reported: int, expected: str) -> None:
    seen = _with_key("key-of-north", account="north")
    call = duty_platform.DutyCall(
        at_ms=0,
        path="/usage",
        holder="c1",
        token=1,
        body=b'{"window_id":100,"counts":{"north":%d}}' % reported,
    )
    # A report that is sent twice counts once.
    seen.duty_calls += [(call, True), (call, True)]
    assert expected in accounts.describe_usage(seen, 0.0)


@pytest.mark.parametrize("name", hostile.NAMES)
def test_only_complete_requests_of_hostile_clients_are_marked(
    name: str,
) -> None:
    """Guards against hiding an incomplete request that a runner gets."""
    sent = b"".join(hostile.pieces(name, random.Random(1)))
    is_complete = sent.endswith(b"Content-Length: 0\r\n\r\n")
    assert (hostile.MARK.encode() in sent) == is_complete
    assert is_complete == (name == hostile.UNREAD)
