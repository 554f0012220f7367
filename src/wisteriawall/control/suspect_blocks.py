"""Blocks of requests under which runners crash, as all gateways share them.

A block is part of the ledger, so that it outlives a restart of all gateways
and replicas. It ends by a complete answer, or a day after its last trial. The
leader grants trials, each to one gateway, in growing intervals and only a few,
so that the number of runners that a request crashes stays bounded however long
it comes again.
"""

from collections.abc import Iterator
import dataclasses
from typing import final

from wisteriawall.control import commands
from wisteriawall.control import state
from wisteriawall.wire import gateway_messages

__all__ = [
    "MAX_BLOCKS",
    "TRIAL_AFTER_MS",
    "SuspectBlocks",
    "apply",
    "describe",
    "follow",
]

MAX_BLOCKS = 64
# Time from a block, and from each trial, to the next one.
TRIAL_AFTER_MS = (60_000, 1_800_000)
# After the last trial a block is kept for this time.
KEPT_MS = 24 * 3_600_000
# Gateways hear of a block's end in each answer during this time.
CLEARED_MS = 10_000
# A loss that was reported stays in answers to the others for about one poll.
LOSS_KEPT_MS = 800
MAX_LOSSES = 64
# A change that is not applied after this time is proposed again.
PROPOSED_MS = 2_000


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class SuspectBlocks:
    """What the leader knows beyond the ledger.

    `due_by_block` holds the number of trials so far and the monotonic time at
    which the next one, or the end, is due, `cleared_ms_by_block` the time at
    which a block was cleared, and `proposed_ms_by_change` the time at which a
    change was proposed. `losses` are lost requests that gateways reported,
    with the reporting gateway and the time.
    """

    due_by_block: dict[str, tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )
    cleared_ms_by_block: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    proposed_ms_by_change: dict[tuple[str, state.BlockChange], int] = (
        dataclasses.field(default_factory=dict)
    )
    losses: list[tuple[str, int, gateway_messages.LoadEvent]] = (
        dataclasses.field(default_factory=list)
    )


def apply(ledger: state.Ledger, command: commands.ChangeBlock) -> None:
    """Apply a committed change of a block."""
    blocks = ledger.block_by_name
    match command.change:
        case state.BlockChange.ADDED:
            blocks.setdefault(command.name, state.SuspectBlock())
            while len(blocks) > MAX_BLOCKS:
                del blocks[next(iter(blocks))]
        case state.BlockChange.TRIAL:
            block = blocks.get(command.name)
            if block is not None and block.trials == command.trials:
                blocks[command.name] = state.SuspectBlock(
                    trials=block.trials + 1, holder=command.gateway
                )
        case state.BlockChange.REMOVED:
            blocks.pop(command.name, None)


def follow(
    blocks: SuspectBlocks,
    ledger: state.Ledger,
    request: gateway_messages.FollowRequest,
    *,
    now_ms: int,
    wall_ms: int,
) -> Iterator[commands.ChangeBlock]:
    """Record a gateway's report; yield the changes of blocks to commit."""
    _forget(blocks, ledger, now_ms)
    gateway = _incarnation(request)
    report = request.suspects
    if report is None:
        return
    blocks.losses += [(request.gateway, now_ms, loss) for loss in report.losses]
    del blocks.losses[:-MAX_LOSSES]
    for name in report.cleared:
        blocks.cleared_ms_by_block[name] = now_ms
    for name in request.blocked_ms_by_parts:
        if name not in blocks.cleared_ms_by_block:
            _set_due(blocks, ledger, name, now_ms)
    for command in _due_changes(
        blocks, ledger, gateway, set(report.wanted), now_ms, wall_ms
    ):
        change = (command.name, command.change)
        if change not in blocks.proposed_ms_by_change:
            blocks.proposed_ms_by_change[change] = now_ms
            yield command


def describe(
    blocks: SuspectBlocks,
    ledger: state.Ledger,
    request: gateway_messages.FollowRequest,
    now_ms: int,
) -> tuple[dict[str, int], gateway_messages.KnownSuspects]:
    """Return the blocked sets with the time to their next trial, and the rest.

    Sets that are not committed yet are among them.
    """
    gateway = _incarnation(request)
    known = gateway_messages.KnownSuspects(
        cleared=list(blocks.cleared_ms_by_block),
        trial_by_block={
            name: block.trials
            for name, block in ledger.block_by_name.items()
            if block.trials and block.holder == gateway
        },
        losses=[
            gateway_messages.with_age(loss, loss.age_ms + now_ms - reported_ms)
            for reporter, reported_ms, loss in blocks.losses
            if reporter != request.gateway
        ],
    )
    remaining_ms_by_block = {
        name: max(0, due_ms - now_ms)
        for name, (_, due_ms) in blocks.due_by_block.items()
        if name not in blocks.cleared_ms_by_block
    }
    return remaining_ms_by_block, known


def _incarnation(request: gateway_messages.FollowRequest) -> str:
    """Return a name that differs between the starts of a gateway.

    A gateway that starts again forgets whether it used a trial.
    """
    return f"{request.gateway}/{request.incarnation}"


def _forget(blocks: SuspectBlocks, ledger: state.Ledger, now_ms: int) -> None:
    """Drop what is old, and adopt the blocks that the ledger has."""
    blocks.losses = [
        loss for loss in blocks.losses if now_ms - loss[1] <= LOSS_KEPT_MS
    ]
    blocks.cleared_ms_by_block = {
        name: cleared_ms
        for name, cleared_ms in blocks.cleared_ms_by_block.items()
        if now_ms - cleared_ms <= CLEARED_MS
    }
    for name in ledger.block_by_name:
        _set_due(blocks, ledger, name, now_ms)
    blocks.proposed_ms_by_change = {
        change: proposed_ms
        for change, proposed_ms in blocks.proposed_ms_by_change.items()
        if now_ms - proposed_ms <= PROPOSED_MS
    }
    pending = {name for name, _ in blocks.proposed_ms_by_change}
    for name in list(blocks.due_by_block):
        if name not in ledger.block_by_name and name not in pending:
            del blocks.due_by_block[name]


def _set_due(
    blocks: SuspectBlocks, ledger: state.Ledger, name: str, now_ms: int
) -> None:
    """Set when the next trial of a block is due, if that isn't known yet."""
    block = ledger.block_by_name.get(name, state.SuspectBlock())
    known = blocks.due_by_block.get(name)
    if known is None and len(blocks.due_by_block) >= MAX_BLOCKS:
        return
    if known is None or known[0] != block.trials:
        waits_ms = (*TRIAL_AFTER_MS, KEPT_MS)
        wait_ms = waits_ms[min(block.trials, len(TRIAL_AFTER_MS))]
        blocks.due_by_block[name] = (block.trials, now_ms + wait_ms)


def _due_changes(
    blocks: SuspectBlocks,
    ledger: state.Ledger,
    gateway: str,
    wanted: set[str],
    now_ms: int,
    wall_ms: int,
) -> Iterator[commands.ChangeBlock]:
    for name, (trials, due_ms) in list(blocks.due_by_block.items()):
        if name in blocks.cleared_ms_by_block:
            continue
        if name not in ledger.block_by_name:
            change = state.BlockChange.ADDED
        elif now_ms < due_ms:
            continue
        elif trials >= len(TRIAL_AFTER_MS):
            blocks.cleared_ms_by_block[name] = now_ms
            continue
        elif name in wanted:
            change = state.BlockChange.TRIAL
        else:
            continue
        yield commands.ChangeBlock(name, change, gateway, trials, wall_ms)
    for name in blocks.cleared_ms_by_block:
        if name in ledger.block_by_name:
            change = state.BlockChange.REMOVED
            yield commands.ChangeBlock(name, change, gateway, 0, wall_ms)
