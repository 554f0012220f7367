"""Judgement of routes that changed their service, from made-up records."""

import dataclasses
from typing import Any

import pytest

from soak import checks
from soak import moves
from soak import operators
from soak import records
from soak import runners
from soak import schedule

SCOPE = schedule.Scope(
    gateways=("g1", "g2"), replicas=("c1", "c2", "c3"), runners=8
)
FINDS = (moves.find_disobeyed, moves.find_regressed, moves.find_unrouted)
DISOBEYED, REGRESSED, UNROUTED = (find.__name__ for find in FINDS)
PREFIX, OTHER_PREFIX = "/moved-1/", "/moved-2/"
# Service and start.
Run = tuple[str, float]
SHOP, STORE, MODEL = ("shop", 100.0), ("store", 100.0), ("model", 100.0)
LATER = ("shop", 100.4)
# Version, service and acknowledgement, 0.2 s after the sending; 0 for none.
Version = tuple[int, str, float]
FIRST, MOVED = (1, "shop", 60.0), (3, "store", 90.0)
UNACKNOWLEDGED = (3, "store", 0.0)


def _make_records(
    versions: tuple[Version, ...],
    runs: tuple[Run, ...],
    *restarts: tuple[str, float],
    prefixes: tuple[str, ...] = (PREFIX, PREFIX, PREFIX),
) -> records.Records:
    """Return probes of 0.2 s at g1, which were run in the middle of it.

    `prefixes` are those of the runs.
    """
    seen = records.Records()
    for name in ("c1", "c2", "c3", "g1"):
        seen.incidents.append(
            records.Incident(name, records.Change.START, 50.0)
        )
    seen.incidents += [
        records.Incident(name, change, at_s)
        for name, at_s in restarts
        for change in (
            records.Change.KILL,
            records.Change.END,
            records.Change.START,
        )
    ]
    for version, service, acknowledged_s in versions:
        services = {(prefix, service) for prefix in prefixes}
        sent_s = (acknowledged_s or 100.0) - 0.2
        seen.publications.append(
            records.Publication(
                version,
                "",
                sent_s,
                acknowledged_s,
                services=frozenset(services),
            )
        )
    for (service, started_s), prefix in zip(runs, prefixes, strict=False):
        attempt = f"a{len(seen.calls)}"
        request: dict[str, Any] = {
            "attempt": attempt,
            "method": "GET",
            "target": f"{prefix}{attempt}",
        }
        seen.calls.append(
            records.Call(
                **request,
                kind=records.Kind.PROBE,
                gateway="g1",
                connection=1,
                use=1,
                header_by_name={},
                body=b"",
                deadline_s=15.0,
                started_s=started_s,
                ended_s=started_s + 0.2,
            )
        )
        seen.arrivals.append(
            records.Arrival(
                **request,
                runner=f"i-{service}-1",
                place=service,
                stage="",
                service=service,
                header_by_name={},
                body=b"",
                at_s=started_s + 0.1,
                has_run=True,
            )
        )
    return seen


def _find(seen: records.Records) -> list[tuple[str, str]]:
    """Return what was found, and of which attempt."""
    arrivals_by_key = {(a.attempt, a.target): [a] for a in seen.arrivals}
    found = [
        (find.__name__, call.attempt, text)
        for find in FINDS
        for call, text in find(seen, arrivals_by_key)
    ]
    assert all(
        "run by the old service shop, as only" in text
        for name, _, text in found
        if name != UNROUTED
    )
    return [(name, attempt) for name, attempt, _ in found]


@pytest.mark.parametrize(
    ("versions", "runs", "restarts", "found"),
    [
        pytest.param((FIRST, *versions), runs, restarts, found, id=name)
        for name, versions, runs, restarts, found in (
            ("late", [(3, "store", 97.9)], [SHOP], (), [(DISOBEYED, "a0")]),
            ("in time", [(3, "store", 98.1)], [SHOP], (), []),
            ("not acknowledged", [UNACKNOWLEDGED], [SHOP], (), []),
            ("by the new service", [MOVED], [STORE], (), []),
            (
                "stretched",
                [(3, "store", 92.9)],
                [SHOP],
                [("c1", 98.0)],
                [(DISOBEYED, "a0")],
            ),
            (
                "stretched in time",
                [(3, "store", 93.1)],
                [SHOP],
                [("c1", 98.0)],
                [],
            ),
            ("not in touch", [MOVED], [SHOP], [("g1", 98.0)], []),
            # A version without an acknowledgement may be in force too.
            ("back", [MOVED, (4, "shop", 99.0)], [SHOP, STORE], (), []),
            ("back perhaps", [MOVED, (4, "shop", 0.0)], [SHOP, STORE], (), []),
            (
                "back after the run",
                [MOVED, (4, "shop", 101.0)],
                [SHOP],
                (),
                [(DISOBEYED, "a0")],
            ),
            # A runner saw the new version at 100.1.
            (
                "went back",
                [UNACKNOWLEDGED],
                [STORE, LATER],
                (),
                [(REGRESSED, "a1")],
            ),
            ("at once", [UNACKNOWLEDGED], [STORE, ("shop", 100.3)], (), []),
            (
                "went back as another process",
                [UNACKNOWLEDGED],
                [STORE, LATER],
                [("g1", 100.3)],
                [],
            ),
            (
                "by no version",
                [UNACKNOWLEDGED],
                [MODEL, ("store", 90.0)],
                (),
                [(UNROUTED, "a0"), (UNROUTED, "a1")],
            ),
        )
    ],
)
def test_services_are_judged_by_what_may_be_in_force(
    versions: tuple[Version, ...],
    runs: tuple[Run, ...],
    restarts: tuple[tuple[str, float], ...],
    found: list[tuple[str, str]],
) -> None:
    assert _find(_make_records(versions, runs, *restarts)) == found


def test_effect_of_one_route_binds_the_others() -> None:
    seen = _make_records(
        (FIRST, UNACKNOWLEDGED),
        (STORE, LATER),
        prefixes=(OTHER_PREFIX, PREFIX),
    )
    assert _find(seen) == [(REGRESSED, "a1")]


def test_service_that_no_version_allows_is_found_for_any_request() -> None:
    seen = _make_records((FIRST,), (MODEL,))
    seen.calls[0].kind = records.Kind.PAYMENT
    assert _find(seen) == [(UNROUTED, "a0")]


def test_judgement_of_services_is_part_of_the_rules() -> None:
    seen = _make_records((FIRST, MOVED), (SHOP, MODEL))
    rules = {finding.rule for finding in checks.judge(seen)}
    assert {"CONFIG", "ROUTE"} <= rules
    assert checks.describe_moves(seen).startswith(
        "2 runs of probes, 2 with a bound, 2 that could tell an old service"
    )


def test_routes_move_in_every_soak_of_the_core_and_in_some_others() -> None:
    def moving(*, core: bool) -> list[set[schedule.Release]]:
        scope = dataclasses.replace(SCOPE, core=core)
        return [
            {
                timed.fault.release
                for timed in schedule.draw(seed, duration_s=20.0, scope=scope)
                if isinstance(timed.fault, schedule.MoveRoute)
            }
            for seed in range(20)
        ]

    assert all(moving(core=True))
    assert set(schedule.Release) == set().union(*moving(core=True))
    assert any(moving(core=False))
    assert not all(moving(core=False))


def test_moved_route_names_its_new_service_and_its_address_may_be_reused() -> (
    None
):
    configuration = operators.Configuration()
    before = operators.services(configuration.document())
    move = schedule.MoveRoute(1, schedule.Release.REUSED, 1.0)
    configuration.change(move)
    after = operators.services(configuration.document())
    assert before - after == {(PREFIX, "shop")}
    assert after - before == {(PREFIX, "store")}
    assert {("/split/", "shop"), ("/split/", "store")} <= after
    runner = runners.StandInRunner(
        name="r1",
        service="shop",
        stage="",
        seed=1,
        late_share=0.0,
        seen=records.Records(),
        handles=runners.HandleStore(),
    )
    first = runner.entry()
    runner.restart(service=configuration.moved_services(1)[1])
    second = runner.entry()
    runner.close()
    assert (second["service"], second["address"]) == (
        "store",
        first["address"],
    )
    assert second["identifier"] != first["identifier"]
