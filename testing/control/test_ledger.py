"""Tests of the ledger: orders, lease renewals, audit trail and membership."""

from collections.abc import Iterator
import itertools

import msgspec
import pytest

from wisteriawall.control import audit
from wisteriawall.control import commands
from wisteriawall.control import config_patches
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
SET_ROLE = fleet.OrderAction.SET_ROLE
LOAD = fleet.OrderAction.LOAD


class LedgerHarness:
    """A ledger of one service with four runners, and commands to apply to it.

    Runners a1 and a2 share an availability zone.
    """

    def __init__(self) -> None:
        """Apply the patch that configures the service, at log index 1."""
        self.ledger = state.Ledger()
        self.log_indexes: Iterator[int] = itertools.count(1)
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
        """Apply a command at the next log index and return its outcome."""
        return ledger_lib.apply(
            self.ledger,
            index=next(self.log_indexes),
            term=term,
            command=command,
        )

    def patch(self, change: object) -> None:
        """Apply a patch to the current number; it must be accepted."""
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
        action: fleet.OrderAction = SET_ROLE,
        *,
        term: int = 1,
        at_ms: int = 5_000,
    ) -> outcomes.Outcome:
        """Apply, in term 1, an order that a leader decided in `term`."""
        return self.apply(
            commands.IssueOrder(runner, action, "prefill", "", at_ms, term)
        )

    def complete(
        self, runner: str, succeeded: bool, engine: fleet.EngineStatus | None
    ) -> outcomes.Outcome:
        """Report the result of the runner's pending order."""
        pending = self.ledger.runner_by_name[runner].pending
        assert pending is not None
        return self.apply(
            commands.RecordOrderResult(
                pending.fencing_number.order_id,
                runner,
                succeeded,
                "",
                fleet.Role.PREFILL,
                9_000,
                engine,
            )
        )


@pytest.fixture
def harness() -> LedgerHarness:
    """Return a configured ledger."""
    return LedgerHarness()


def test_order_runs_alone_and_cannot_be_repeated(
    harness: LedgerHarness,
) -> None:
    """A finished order lies below the minimum accepted fencing number."""
    issued = harness.order("a1")
    assert isinstance(issued, outcomes.OrderIssued)
    assert isinstance(harness.order("a1"), outcomes.OrderRefused)
    harness.complete("a1", True, None)
    runner = harness.ledger.runner_by_name["a1"]
    assert runner.role is fleet.Role.PREFILL
    assert runner.floor > issued.order.fencing_number


@pytest.mark.parametrize(
    ("runner", "action", "term", "reason"),
    [
        pytest.param("b1", SET_ROLE, 1, "", id="other-zone"),
        pytest.param("a2", SET_ROLE, 1, "same availability", id="same-zone"),
        pytest.param("b1", SET_ROLE, 2, "another term", id="deposed-leader"),
        pytest.param("b1", LOAD, 1, "weight fetches", id="weight-store"),
    ],
)
def test_order_is_refused_while_another_change_conflicts(
    harness: LedgerHarness,
    runner: str,
    action: fleet.OrderAction,
    term: int,
    reason: str,
) -> None:
    """While a1 loads a model, conflicting orders are refused with a reason."""
    harness.order("a1", LOAD)
    outcome = harness.order(runner, action, term=term)
    if reason:
        assert isinstance(outcome, outcomes.OrderRefused)
        assert reason in outcome.reason
    else:
        assert isinstance(outcome, outcomes.OrderIssued)


@pytest.mark.parametrize(
    ("lost", "expected_reason"),
    [
        pytest.param([], "", id="covered"),
        pytest.param(["a2", "b1", "c1"], "too few", id="last-live-runner"),
    ],
)
def test_last_live_runner_is_not_changed(
    harness: LedgerHarness, lost: list[str], expected_reason: str
) -> None:
    for name in lost:
        harness.ledger.runner_by_name[name].presence = state.Presence.LOST
    reason = orders.find_blocking_reason(
        harness.ledger, "a1", SET_ROLE, at_ms=0
    )
    assert expected_reason in reason
    assert bool(reason) == bool(expected_reason)


def test_unclear_engine_counts_as_lost_until_inspected(
    harness: LedgerHarness,
) -> None:
    """An order whose effect is unclear stays pending and blocks the runner.

    A later report with the engine's state ends the order, as failed.
    """
    harness.order("a1", LOAD)
    unclear = fleet.EngineStatus(fleet.Role.MIXED, state_unknown=True)
    harness.complete("a1", False, unclear)
    runner = harness.ledger.runner_by_name["a1"]
    assert runner.phase is fleet.RunnerPhase.LOST
    assert runner.pending is not None
    harness.complete("a1", False, fleet.EngineStatus(fleet.Role.MIXED, "old@1"))
    assert runner.phase is fleet.RunnerPhase.LIVE
    assert orders.next_engine_change(
        harness.ledger, "a1"
    ) == orders.EngineChange(LOAD, "m@1")
    assert "failed" in orders.find_blocking_reason(
        harness.ledger, "a1", LOAD, at_ms=9_000
    )


def test_readded_runner_keeps_fence_and_pending_order(
    harness: LedgerHarness,
) -> None:
    """Removing a runner must not let its name accept older orders later."""
    harness.order("a1")
    floor = harness.ledger.runner_by_name["a1"].floor
    removed = harness.ledger.config.runners["a1"]
    harness.patch({"runners": {"a1": None}})
    grant = renew_lease(harness, 2, runner="a1")
    assert grant is not None
    assert grant.min_fencing_number == floor
    harness.patch({"runners": {"a1": msgspec.to_builtins(removed)}})
    assert harness.ledger.runner_by_name["a1"].floor == floor
    assert harness.ledger.runner_by_name["a1"].pending is not None


@pytest.mark.parametrize(
    ("number", "sends_document", "patches"),
    [
        pytest.param(0, True, 0, id="document-is-smaller"),
        pytest.param(2, False, 1, id="patch"),
        pytest.param(3, False, 0, id="unchanged"),
    ],
)
def test_renewal_sends_patches_or_smaller_document(
    harness: LedgerHarness, number: int, sends_document: bool, patches: int
) -> None:
    """Two patches, of which the first is larger than the whole document."""
    harness.patch({"services": {"s": {"version": "v" * 4_000}}})
    harness.patch({"services": {"s": {"version": "2"}}})
    grant = renew_lease(harness, number)
    assert grant is not None
    assert (grant.config is not None) is sends_document
    assert len(grant.config_changes) == patches


def test_replica_behind_the_sender_grants_nothing(
    harness: LedgerHarness,
) -> None:
    """A replica that lacks the sender's number must not extend its lease."""
    assert renew_lease(harness, 2) is None


def renew_lease(
    harness: LedgerHarness, number: int, *, runner: str = ""
) -> control_messages.Grant | None:
    """Renew as a process that holds `number`: an agent if `runner` is set."""
    kinds = control_messages.ProcessKind
    kind = kinds.AGENT if runner else kinds.ENTRY
    renew = control_messages.RenewRequest("p", 1, kind, number, 0, runner, [])
    return renewal.grant_lease(
        harness.ledger,
        renew,
        size=renewal.DocumentSizeCache(),
        age_ms=0,
        leader="",
    )


def test_partial_fleet_view_completes_an_older_view(
    harness: LedgerHarness,
) -> None:
    older_view = harness.ledger.fleet_view()
    harness.order("b1")
    partial_view = harness.ledger.fleet_view(older_view.version)
    assert [view.runner for view in partial_view.runners] == ["b1"]
    assert (
        fleet.apply_fleet_update(older_view, partial_view)
        == harness.ledger.fleet_view()
    )


def test_history_restores_earlier_documents(harness: LedgerHarness) -> None:
    first = harness.ledger.config
    harness.patch(
        {"runners": {"a1": None}, "services": {"s": {"version": "2"}}}
    )
    assert config_patches.document_at(harness.ledger, 1) == first
    assert config_patches.document_at(harness.ledger, 3) is None


@pytest.mark.parametrize(
    ("vm", "heartbeat", "presence"),
    [
        pytest.param(None, (2, 0, False), LIVE, id="vm-missing-from-list"),
        pytest.param(
            membership.VmState.LIVE,
            (2, 0, True),
            state.Presence.STOPPING,
            id="agent-reports-stop-before-list",
        ),
        pytest.param(
            membership.VmState.LEAVING,
            (2, 0, False),
            state.Presence.STOPPING,
            id="list-reports-stop-before-agent",
        ),
        pytest.param(
            membership.VmState.LIVE,
            (2, 9_000, False),
            state.Presence.LOST,
            id="no-heartbeat",
        ),
        pytest.param(
            membership.VmState.LIVE,
            (1, 0, False),
            state.Presence.LOST,
            id="older-incarnation",
        ),
        pytest.param(
            membership.VmState.LIVE,
            (1, 0, False, membership.RESTART_EVIDENCE_MS),
            state.Presence.LIVE,
            id="restarted-with-clock-set-back",
        ),
    ],
)
def test_membership_merges_its_sources(
    vm: membership.VmState | None,
    heartbeat: tuple[int, int, bool] | tuple[int, int, bool, int],
    presence: state.Presence,
) -> None:
    """An agent's heartbeat and the VM list together give the presence.

    `heartbeat` is incarnation, age in milliseconds, whether it is stopping and
    for how many milliseconds it was renewed.
    """
    decision = membership.decide_presence(
        state.RunnerState(incarnation=2),
        vm=vm,
        heartbeat=membership.Heartbeat(*heartbeat),
    )
    assert decision.presence is presence


def test_audit_selects_by_index_kind_and_subject(
    harness: LedgerHarness,
) -> None:
    harness.order("a1")
    harness.order("b1")
    records = audit.select(
        harness.ledger, after_index=2, kind="order", subject="b1"
    )
    [record] = records
    assert (record.index, record.actor) == (3, "leader")
    assert record.result == "issued 1/3"


def test_late_copy_of_a_drain_changes_nothing(
    harness: LedgerHarness,
) -> None:
    """A replica that resumed carried out a drain again after its undo."""

    def drain(runner: str, drain_id: str, *, drained: bool = True) -> object:
        return harness.apply(
            commands.SetDrain(runner, drained, "op", 1, drain_id)
        )

    records = len(harness.ledger.audit)
    assert drain("a1", "x") == outcomes.Recorded()
    assert drain("a1", "y", drained=False) == outcomes.Recorded()
    assert drain("a1", "x") == outcomes.Recorded()
    assert not harness.ledger.runner_by_name["a1"].drained
    assert len(harness.ledger.audit) == records + 2
    assert isinstance(drain("a2", "x"), outcomes.Dropped)
    assert not harness.ledger.runner_by_name["a2"].drained
    assert drain("gone", "z") == drain("gone", "z")


def test_lost_entry_does_not_end_claims_of_its_start_with_a_lower_number(
    harness: LedgerHarness,
) -> None:
    """The clock of the entry was set back before its present start."""
    for incarnation in (200, 199):
        key = f"key-{incarnation}"
        harness.apply(
            commands.GrantClaim("a", "s", key, "d", "q", "e", incarnation, 1)
        )
    harness.apply(commands.RecordEntryLost("e", 200, 2, only=True))
    verdicts = [c.verdict for c in harness.ledger.claim_by_key.values()]
    kind = control_messages.ClaimVerdict
    assert verdicts == [kind.UNKNOWN, kind.RUNNING]
