"""Judgement of routes that changed their service, from made-up records."""

from collections.abc import Iterator
import dataclasses

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
START, END, KILL = (
    records.Change.START,
    records.Change.END,
    records.Change.KILL,
)
PREFIX = "/moved-1/"


def _add_run(
    seen: records.Records,
    service: str,
    started_s: float,
    *,
    prefix: str = PREFIX,
) -> None:
    """Add a probe of 0.2 s at g1 that `service` ran in the middle of it."""
    attempt = f"a{len(seen.calls)}"
    call = records.Call(
        attempt=attempt,
        kind=records.Kind.PROBE,
        gateway="g1",
        connection=1,
        use=1,
        method="GET",
        target=f"{prefix}{attempt}",
        header_by_name={},
        body=b"",
        deadline_s=15.0,
        started_s=started_s,
        ended_s=started_s + 0.2,
    )
    seen.calls.append(call)
    seen.arrivals.append(
        records.Arrival(
            attempt=attempt,
            runner=f"i-{service}-1",
            place=service,
            stage="",
            service=service,
            method="GET",
            target=call.target,
            header_by_name={},
            body=b"",
            at_s=started_s + 0.1,
            has_run=True,
        )
    )


def _publish(
    seen: records.Records,
    version: int,
    service: str,
    acknowledged_s: float,
    *,
    prefix: str = PREFIX,
) -> None:
    """Add a version, sent 0.2 s before it was acknowledged, if it was."""
    seen.publications.append(
        records.Publication(
            version,
            "",
            (acknowledged_s or 100.0) - 0.2,
            acknowledged_s,
            services=frozenset({(prefix, service)}),
        )
    )


def _moved(acknowledged_s: float) -> records.Records:
    """Return records with a route that moved from shop to store."""
    seen = records.Records()
    for name in ("c1", "c2", "c3", "g1"):
        seen.incidents.append(records.Incident(name, START, 50.0))
    _publish(seen, 1, "shop", 60.0)
    _publish(seen, 3, "store", acknowledged_s)
    return seen


def _found(seen: records.Records) -> Iterator[tuple[str, str]]:
    arrivals_by_key = {
        (arrival.attempt, arrival.target): [arrival]
        for arrival in seen.arrivals
    }
    for find in (
        moves.find_disobeyed,
        moves.find_regressed,
        moves.find_unrouted,
    ):
        for call, text in find(seen, arrivals_by_key):
            yield find.__name__, f"{call.attempt} {text}"


@pytest.mark.parametrize(
    ("acknowledged_s", "incidents", "is_found"),
    [
        pytest.param(97.9, (), True, id="calm"),
        pytest.param(98.1, (), False, id="calm in time"),
        pytest.param(0.0, (), False, id="not acknowledged"),
        pytest.param(92.9, (("c1", KILL, 98.0),), True, id="stretched"),
        pytest.param(
            93.1, (("c1", KILL, 98.0),), False, id="stretched in time"
        ),
        pytest.param(90.0, (("g1", KILL, 98.0),), False, id="not in touch"),
    ],
)
def test_run_by_the_old_service_is_found_after_the_bound(
    acknowledged_s: float,
    incidents: tuple[tuple[str, records.Change, float], ...],
    is_found: bool,
) -> None:
    seen = _moved(acknowledged_s)
    seen.incidents += [
        records.Incident(name, change, at_s)
        for name, kill, at_s in incidents
        for change in (kill, END)
    ]
    _add_run(seen, "shop", 100.0)
    found = list(_found(seen))
    assert [name for name, _ in found] == ["find_disobeyed"] * is_found
    assert all("run by the old service shop" in text for _, text in found)


def test_run_by_the_new_service_breaks_no_rule() -> None:
    seen = _moved(90.0)
    _add_run(seen, "store", 100.0)
    assert list(_found(seen)) == []


@pytest.mark.parametrize("acknowledged_s", [0.0, 99.0])
def test_route_that_is_moved_back_may_be_run_by_either_service(
    acknowledged_s: float,
) -> None:
    """A version without an acknowledgement may be in force too."""
    seen = _moved(90.0)
    _publish(seen, 4, "shop", acknowledged_s)
    _add_run(seen, "shop", 100.0)
    _add_run(seen, "store", 100.0)
    assert list(_found(seen)) == []


def test_version_that_was_sent_after_a_run_does_not_allow_it() -> None:
    seen = _moved(90.0)
    _publish(seen, 4, "shop", 101.0)
    _add_run(seen, "shop", 100.0)
    assert [name for name, _ in _found(seen)] == ["find_disobeyed"]


@pytest.mark.parametrize(
    ("started_s", "restarted_s", "is_found"),
    [
        pytest.param(100.4, 0.0, True, id="went back"),
        pytest.param(100.3, 0.0, False, id="at once"),
        pytest.param(100.4, 100.3, False, id="restarted"),
    ],
)
def test_process_that_goes_back_to_the_old_service_is_found(
    started_s: float, restarted_s: float, is_found: bool
) -> None:
    """A runner saw the new version at 100.1, before any acknowledgement."""
    seen = _moved(0.0)
    if restarted_s:
        seen.incidents += [
            records.Incident("g1", change, restarted_s)
            for change in (KILL, END, START)
        ]
    _add_run(seen, "store", 100.0)
    _add_run(seen, "shop", started_s)
    found = list(_found(seen))
    assert [name for name, _ in found] == ["find_regressed"] * is_found
    assert all("a1 run by the old service" in text for _, text in found)


def test_effect_of_one_route_binds_the_others() -> None:
    seen = _moved(90.0)
    _publish(seen, 4, "store", 0.0, prefix="/moved-2/")
    _add_run(seen, "store", 100.0, prefix="/moved-2/")
    _add_run(seen, "shop", 100.4)
    assert [name for name, _ in _found(seen)] == [
        "find_disobeyed",
        "find_regressed",
    ]


def test_service_that_no_version_allows_is_found_at_any_time() -> None:
    """As where an address is used again by another service."""
    seen = _moved(0.0)
    _add_run(seen, "model", 90.0)
    _add_run(seen, "store", 90.0)
    seen.calls[0] = dataclasses.replace(seen.calls[0], kind=records.Kind.LOOKUP)
    found = [(name, text.split()[0]) for name, text in _found(seen)]
    assert found == [("find_unrouted", "a0"), ("find_unrouted", "a1")]


def test_judgement_of_services_is_part_of_the_rules() -> None:
    seen = _moved(90.0)
    _add_run(seen, "shop", 100.0)
    _add_run(seen, "model", 100.0)
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
