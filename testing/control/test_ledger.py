"""Tests of the ledger's decisions: orders, renewals, audit, membership."""

from collections.abc import Iterator
import itertools

import msgspec
import pytest

from wisteriawall.control import audit
from wisteriawall.control import commands
from wisteriawall.control import configuration
from wisteriawall.control import ledger as ledger_lib
from wisteriawall.control import membership
from wisteriawall.control import orders
from wisteriawall.control import outcomes
from wisteriawall.control import renewal
from wisteriawall.control import state
from wisteriawall.wire import control_messages
from wisteriawall.wire import fleet

ZONE_BY_RUNNER = {"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
LIVE = state.Presence.LIVE
SET_ROLE = fleet.Action.SET_ROLE
LOAD = fleet.Action.LOAD


class Book:
    """A ledger and the index of its next entry."""

    def __init__(self) -> None:
        """Configure one service with four runners."""
        self.ledger = state.Ledger()
        self.indexes: Iterator[int] = itertools.count(1)
        self.patch(
            {
                "capacity_pieces": 9,
                "weight_store": {"fetches_at_once": 1},
                "services": {
                    "s": {"kind": "model", "share_pieces": 9, "models": ["m"]}
                },
                "runners": {
                    name: {
                        "service": "s",
                        "address": f"{name}:1",
                        "zone": zone,
                        "vm": name,
                    }
                    for name, zone in ZONE_BY_RUNNER.items()
                },
            }
        )

    def apply(
        self, command: commands.Command, term: int = 1
    ) -> outcomes.Outcome:
        """Apply a command at the next index."""
        return ledger_lib.apply(
            self.ledger, index=next(self.indexes), term=term, command=command
        )

    def patch(self, change: object) -> None:
        """Apply an accepted patch."""
        number = self.ledger.config.number
        outcome = self.apply(
            commands.PatchConfig(
                f"p{number}", "op", number, msgspec.json.encode(change), 0
            )
        )
        assert isinstance(outcome, outcomes.ConfigChanged)

    def order(
        self,
        runner: str,
        action: fleet.Action = SET_ROLE,
        *,
        term: int = 1,
        at_ms: int = 5_000,
    ) -> outcomes.Outcome:
        """Issue an order that was decided in `term`, applied in term 1."""
        return self.apply(
            commands.IssueOrder(runner, action, "prefill", "", at_ms, term)
        )

    def complete(
        self, runner: str, succeeded: bool, engine: fleet.EngineView | None
    ) -> outcomes.Outcome:
        """Report the result of the runner's pending order."""
        pending = self.ledger.runner_by_name[runner].pending
        assert pending is not None
        return self.apply(
            commands.CompleteOrder(
                pending.fence.order_id,
                runner,
                succeeded,
                "",
                fleet.Role.PREFILL,
                9_000,
                engine,
            )
        )


@pytest.fixture
def book() -> Book:
    """Return a ledger with four runners."""
    return Book()


def test_order_runs_alone_and_cannot_be_repeated(book: Book) -> None:
    issued = book.order("a1")
    assert isinstance(issued, outcomes.OrderIssued)
    assert isinstance(book.order("a1"), outcomes.OrderRefused)
    book.complete("a1", True, None)
    runner = book.ledger.runner_by_name["a1"]
    assert runner.role is fleet.Role.PREFILL
    assert runner.floor > issued.order.fence


@pytest.mark.parametrize(
    ("runner", "action", "term", "reason"),
    [
        pytest.param("b1", SET_ROLE, 1, "", id="other-zone"),
        pytest.param("a2", SET_ROLE, 1, "same availability", id="same-zone"),
        pytest.param("b1", SET_ROLE, 2, "another term", id="deposed-leader"),
        pytest.param("b1", LOAD, 1, "weight fetches", id="weight-store"),
    ],
)
def test_orders_are_spaced(
    book: Book, runner: str, action: fleet.Action, term: int, reason: str
) -> None:
    book.order("a1", LOAD)
    outcome = book.order(runner, action, term=term)
    if reason:
        assert isinstance(outcome, outcomes.OrderRefused)
        assert reason in outcome.reason
    else:
        assert isinstance(outcome, outcomes.OrderIssued)


@pytest.mark.parametrize(
    ("lost", "obstacle"),
    [
        pytest.param([], "", id="covered"),
        pytest.param(["a2", "b1", "c1"], "too few", id="last-live-runner"),
    ],
)
def test_change_leaves_live_runners(
    book: Book, lost: list[str], obstacle: str
) -> None:
    for name in lost:
        book.ledger.runner_by_name[name].presence = state.Presence.LOST
    found = orders.find_obstacle(book.ledger, "a1", SET_ROLE, at_ms=0)
    assert obstacle in found
    assert bool(found) == bool(obstacle)


def test_unclear_engine_counts_as_lost_until_inspected(book: Book) -> None:
    book.order("a1", LOAD)
    unclear = fleet.EngineView(fleet.Role.MIXED, unclear=True)
    book.complete("a1", False, unclear)
    runner = book.ledger.runner_by_name["a1"]
    assert runner.phase is fleet.RunnerPhase.LOST
    assert runner.pending is not None
    book.complete("a1", False, fleet.EngineView(fleet.Role.MIXED, "old@1"))
    assert runner.phase is fleet.RunnerPhase.LIVE
    assert orders.next_step(book.ledger, "a1") == orders.Step(LOAD, "m@1")
    assert "failed" in orders.find_obstacle(
        book.ledger, "a1", LOAD, at_ms=9_000
    )


def test_runner_that_returns_under_its_name_stays_fenced(book: Book) -> None:
    book.order("a1")
    floor = book.ledger.runner_by_name["a1"].floor
    removed = book.ledger.config.runners["a1"]
    book.patch({"runners": {"a1": None}})
    book.patch({"runners": {"a1": msgspec.to_builtins(removed)}})
    assert book.ledger.runner_by_name["a1"].floor == floor
    assert book.ledger.runner_by_name["a1"].pending is not None


@pytest.mark.parametrize(
    ("number", "whole", "patches"),
    [
        pytest.param(0, True, 0, id="whole-is-smaller"),
        pytest.param(2, False, 1, id="patch"),
        pytest.param(3, False, 0, id="unchanged"),
    ],
)
def test_renewal_carries_what_is_missing(
    book: Book, number: int, whole: bool, patches: int
) -> None:
    book.patch({"services": {"s": {"version": "v" * 4_000}}})
    book.patch({"services": {"s": {"version": "2"}}})
    grant = _grant(book, number)
    assert grant is not None
    assert (grant.config is not None) is whole
    assert len(grant.config_changes) == patches


def test_replica_behind_the_sender_grants_nothing(book: Book) -> None:
    assert _grant(book, 2) is None


def _grant(book: Book, number: int) -> control_messages.Grant | None:
    renew = control_messages.Renew(
        "entry/e", 1, control_messages.ProcessKind.ENTRY, number, 0, "", []
    )
    return renewal.grant(
        book.ledger,
        renew,
        size=renewal.DocumentSize(),
        age_ms=0,
        leader="",
    )


def test_partial_fleet_view_merges_to_the_whole(book: Book) -> None:
    held = book.ledger.fleet_view()
    book.order("b1")
    change = book.ledger.fleet_view(held.version)
    assert [view.runner for view in change.runners] == ["b1"]
    assert fleet.merge_view(held, change) == book.ledger.fleet_view()


def test_earlier_documents_can_be_read(book: Book) -> None:
    first = book.ledger.config
    book.patch({"runners": {"a1": None}, "services": {"s": {"version": "2"}}})
    assert configuration.document_at(book.ledger, 1) == first
    assert configuration.document_at(book.ledger, 3) is None


@pytest.mark.parametrize(
    ("vm", "heartbeat", "presence"),
    [
        pytest.param(None, (2, 0, False), LIVE, id="list-lags"),
        pytest.param(
            membership.VmState.LIVE,
            (2, 0, True),
            state.Presence.LEAVING,
            id="agent-leaves-first",
        ),
        pytest.param(
            membership.VmState.LEAVING,
            (2, 0, False),
            state.Presence.LEAVING,
            id="list-first",
        ),
        pytest.param(
            membership.VmState.LIVE,
            (2, 9_000, False),
            state.Presence.LOST,
            id="silent",
        ),
        pytest.param(
            membership.VmState.LIVE,
            (1, 0, False),
            state.Presence.LOST,
            id="older-incarnation",
        ),
    ],
)
def test_membership_merges_its_sources(
    vm: membership.VmState | None,
    heartbeat: tuple[int, int, bool],
    presence: state.Presence,
) -> None:
    judged = membership.judge(
        state.RunnerState(incarnation=2),
        vm=vm,
        heartbeat=membership.Heartbeat(*heartbeat),
    )
    assert judged.presence is presence


def test_audit_filters(book: Book) -> None:
    book.order("a1")
    book.order("b1")
    found = audit.select(book.ledger, after_index=2, kind="order", subject="b1")
    [record] = found
    assert (record.index, record.actor) == (3, "leader")
    assert record.result == "issued 1/3"
