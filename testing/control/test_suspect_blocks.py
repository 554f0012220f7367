"""Tests of the blocks that control keeps for all gateways."""

from wisteriawall.control import commands
from wisteriawall.control import ledger
from wisteriawall.control import snapshot
from wisteriawall.control import state
from wisteriawall.control import suspect_blocks as lib
from wisteriawall.wire import gateway_messages

DEAD = "request/00ff"


class Leader:
    """The leader's blocks, with a log that commits at once or not at all."""

    def __init__(self, ledger_state: state.Ledger | None = None) -> None:
        """Start as a new leader with a ledger, an empty one by default."""
        self.blocks = lib.SuspectBlocks()
        self.ledger = ledger_state or state.Ledger()
        self.commits = True
        self.commands: list[commands.ChangeBlock] = []

    def follow(
        self,
        name: str,
        now_ms: int,
        *,
        blocked: tuple[str, ...] = (),
        incarnation: int = 1,
        **report: list[str],
    ) -> tuple[dict[str, int], gateway_messages.KnownSuspects]:
        """Return what a gateway hears that reports what is given."""
        request = gateway_messages.FollowRequest(
            name,
            incarnation,
            f"{name}:1",
            0,
            (0, 0),
            blocked_ms_by_parts=dict.fromkeys(blocked, 0),
            suspects=gateway_messages.SuspectReport(
                **report  # type: ignore[arg-type]
            ),
        )
        for command in lib.follow(
            self.blocks, self.ledger, request, now_ms=now_ms, wall_ms=now_ms
        ):
            self.commands.append(command)
            if self.commits:
                ledger.apply(
                    self.ledger,
                    index=len(self.commands),
                    term=1,
                    command=commands.decode(commands.encode(command)),
                )
        return lib.describe(self.blocks, self.ledger, request, now_ms)


def test_gateway_that_starts_hears_of_blocks() -> None:
    leader = Leader()
    leader.follow("a", 0, blocked=(DEAD,))
    heard, _ = leader.follow("b", 1_000)
    assert heard == {DEAD: lib.TRIAL_AFTER_MS[0] - 1_000}
    assert [c.change for c in leader.commands] == [state.BlockChange.ADDED]


def test_blocks_outlive_all_gateways_and_the_leader() -> None:
    leader = Leader()
    leader.follow("a", 0, blocked=(DEAD,))
    restored = snapshot.decode(snapshot.encode(leader.ledger))
    heard, _ = Leader(restored).follow("a", 5_000, incarnation=2)
    assert heard == {DEAD: lib.TRIAL_AFTER_MS[0]}


def test_block_is_told_before_it_is_committed_and_proposed_again() -> None:
    leader = Leader()
    leader.commits = False
    leader.follow("a", 0, blocked=(DEAD,))
    heard, _ = leader.follow("b", 100)
    assert set(heard) == {DEAD}
    leader.follow("a", 300, blocked=(DEAD,))
    assert len(leader.commands) == 1
    leader.follow("a", 300 + lib.PROPOSED_MS, blocked=(DEAD,))
    assert len(leader.commands) == 2


def test_trials_are_granted_to_one_gateway_and_are_few() -> None:
    leader = Leader()
    leader.follow("a", 0, blocked=(DEAD,))
    granted = []
    now_ms = 0
    while now_ms < 12 * 3_600_000:
        now_ms += 10_000
        for name in ("a", "b"):
            _, known = leader.follow(
                name, now_ms, blocked=(DEAD,), wanted=[DEAD]
            )
            granted += [(name, n) for n in known.trial_by_block.values()]
    trials = [c for c in leader.commands if c.change is state.BlockChange.TRIAL]
    assert len(trials) == len(lib.TRIAL_AFTER_MS)
    assert {number for _, number in granted} == {1, 2}
    assert len({name for name, number in granted if number == 1}) == 1


def test_gateway_that_starts_again_does_not_get_its_trial_again() -> None:
    leader = Leader()
    leader.follow("a", 0, blocked=(DEAD,))
    due_ms = lib.TRIAL_AFTER_MS[0]
    _, known = leader.follow("a", due_ms, blocked=(DEAD,), wanted=[DEAD])
    assert known.trial_by_block == {DEAD: 1}
    _, known = leader.follow("a", due_ms + 100, incarnation=2, wanted=[DEAD])
    assert known.trial_by_block == {}


def test_cleared_block_ends_at_all_gateways() -> None:
    leader = Leader()
    leader.follow("a", 0, blocked=(DEAD,))
    leader.follow("b", 100, blocked=(DEAD,))
    leader.follow("a", 200, cleared=[DEAD])
    # A gateway that has not heard of it yet reports the block once more.
    heard, known = leader.follow("b", 300, blocked=(DEAD,))
    assert heard == {}
    assert known.cleared == [DEAD]
    assert leader.ledger.block_by_name == {}


def test_block_ends_a_day_after_its_last_trial() -> None:
    leader = Leader()
    leader.follow("a", 0, blocked=(DEAD,))
    due_ms = 0
    for wait_ms in lib.TRIAL_AFTER_MS:
        due_ms += wait_ms
        leader.follow("a", due_ms, wanted=[DEAD])
        leader.follow("a", due_ms)
    assert leader.ledger.block_by_name[DEAD].trials == 2
    heard, _ = leader.follow("a", due_ms + lib.KEPT_MS - 1)
    assert set(heard) == {DEAD}
    heard, known = leader.follow("a", due_ms + lib.KEPT_MS)
    assert heard == {}
    assert known.cleared == [DEAD]
    assert leader.ledger.block_by_name == {}


def test_lost_requests_are_passed_on_to_other_gateways_with_their_age() -> None:
    leader = Leader()
    loss = gateway_messages.LoadEvent(
        gateway_messages.LoadEventKind.CUT_OFF, "r", "q", age_ms=40
    )
    leader.follow("a", 0, losses=[loss])
    _, known = leader.follow("b", 200)
    assert [e.age_ms for e in known.losses] == [240]
    assert leader.follow("a", 200)[1].losses == []
    assert leader.follow("b", 200 + lib.LOSS_KEPT_MS)[1].losses == []


def test_number_of_blocks_is_bounded() -> None:
    leader = Leader()
    for number in range(3 * lib.MAX_BLOCKS):
        leader.follow("a", number, blocked=(f"request/{number}",))
    assert len(leader.ledger.block_by_name) <= lib.MAX_BLOCKS
    assert len(leader.blocks.due_by_block) <= lib.MAX_BLOCKS
