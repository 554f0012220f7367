"""Raft replicas with a fake network, fake disks and shared virtual time.

Every Raft invariant is checked after each batch of events.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator
import copy
import dataclasses
import pathlib
import random
from typing import TypeAlias

import msgspec

from wisteriawall.control import raft
from wisteriawall.control import raft_log
from wisteriawall.storage import recovery
from wisteriawall.wire import raft_messages

TICK_MS = 20
STEP_MS = 5
NO_CRASH = -1
# Syncs of saving a snapshot and removing a segment.
SNAPSHOT_SYNCS = 3
Effects: TypeAlias = list[raft.Effect]
DURABLE = (
    raft.SaveHardState,
    raft.AppendLog,
    raft.TruncateLog,
    raft.SaveSnapshot,
    raft.ResetLog,
)


@dataclasses.dataclass(kw_only=True)
class Disk:
    """Data on a replica's disk; a crash keeps a prefix of what is written."""

    identity: str
    is_founder: bool
    term: int = 0
    voted_for: str = ""
    snapshot: raft_messages.Snapshot = raft_log.EMPTY_SNAPSHOT
    entries: list[raft_messages.LogEntry] = dataclasses.field(
        default_factory=list
    )

    def write(self, effect: raft.Effect) -> None:
        """Execute one durable effect."""
        match effect:
            case raft.SaveHardState(term, voted_for):
                self.term, self.voted_for = term, voted_for
            case raft.AppendLog(entries):
                for entry in entries:
                    # The real storage reports a gap or an overlap as damage.
                    assert not self.entries or (
                        entry.index == self.entries[-1].index + 1
                    )
                    self.entries.append(entry)
            case raft.TruncateLog(index):
                first = self.entries[0].index if self.entries else 0
                del self.entries[max(0, index - first) :]
            case raft.ResetLog():
                self.entries.clear()
            case raft.SaveSnapshot(snapshot, keep_from):
                self.snapshot = snapshot
                kept = [e for e in self.entries if e.index >= keep_from]
                if kept and kept[0].index == keep_from:
                    self.entries = kept

    def recover(self) -> raft_log.RaftLog:
        """Return the log as the real storage would recover it."""
        recovered = recovery.RecoveredState(
            snapshot=self.snapshot, entries=list(self.entries)
        )
        recovery.align_with_snapshot(recovered, pathlib.Path("fake"))
        if recovered.needs_reset:
            self.entries.clear()
        return raft_log.RaftLog(
            snapshot=recovered.snapshot,
            start_index=recovered.start_index,
            start_term=recovered.start_term,
            entries=recovered.entries,
        )


@dataclasses.dataclass(kw_only=True)
class Node:
    """One replica, its disk and its faults.

    Attributes:
        offset_ms: Its monotonic clock minus the cluster's virtual time.
        applied: Every entry applied to its state machine.
        crash_after: Number of further disk writes before it crashes, or
            `NO_CRASH`.
        newest_commit: Highest commit index seen so far.
        waiting: Effects for the disk, and the number of the last one.
        syncing: Those that are being written until `synced_ms`, virtual time.
        compactions: Snapshots that are saved beside the log until
            `compacted_ms`, virtual time.
    """

    disk: Disk
    raft: raft.Raft
    offset_ms: int
    applied: list[raft_messages.LogEntry] = dataclasses.field(
        default_factory=list
    )
    is_up: bool = True
    is_paused: bool = False
    is_late: bool = False
    crash_after: int = NO_CRASH
    newest_commit: int = 0
    waiting: Effects = dataclasses.field(default_factory=list)
    waiting_number: int = 0
    syncing: Effects = dataclasses.field(default_factory=list)
    syncing_number: int = 0
    synced_ms: int = 0
    compactions: Effects = dataclasses.field(default_factory=list)
    compacted_ms: int = 0


@dataclasses.dataclass(order=True)
class InFlightMessage:
    """A message that is delivered at `due_ms`, virtual time."""

    due_ms: int
    number: int
    source: str = dataclasses.field(compare=False)
    target: str = dataclasses.field(compare=False)
    message: raft_messages.RaftMessage = dataclasses.field(compare=False)


class Cluster:
    """Replicas, their network and the entries that were committed.

    Attributes:
        loss: Probability that a message is lost.
        duplication: Probability that a message is delivered twice.
        delay_ms: Longest delay of a message.
        sync_ms: Longest time that writing and syncing takes on each disk. With
            0 it is done before the next event.
        min_sync_ms: Shortest such time.
        isolated_groups: Groups of replicas that are cut off from all others.
        sent: Number of messages sent.
        messages: Messages sent while `records_messages` is set.
        incarnation: Counter for process incarnations and message numbers.
        committed_ms: Virtual time when each committed entry was first applied.
    """

    def __init__(
        self,
        names: Iterable[str] = ("a", "b", "c"),
        *,
        seed: int = 0,
        snapshot_interval_entries: int = 10,
    ) -> None:
        """Start every named replica with an empty disk."""
        self.now_ms = 10_000
        self.random = random.Random(seed)
        self.snapshot_interval_entries = snapshot_interval_entries
        self.loss = self.duplication = 0.0
        self.delay_ms = 2
        self.sync_ms = self.min_sync_ms = 0
        self.isolated_groups: list[set[str]] = []
        self.in_flight: list[InFlightMessage] = []
        self.sent = 0
        self.sent_bytes = 0
        self.messages: list[raft_messages.RaftMessage] = []
        self.records_messages = False
        self.incarnation = 0
        self.committed: list[raft_messages.LogEntry] = []
        self.committed_ms: list[int] = []
        self.leader_by_term: dict[int, str] = {}
        self.node_by_name: dict[str, Node] = {}
        names = tuple(names)
        founders = tuple(map(raft_messages.Member, sorted(names)))
        for name in names:
            self.start(name, founders)

    def start(
        self, name: str, founders: tuple[raft_messages.Member, ...] = ()
    ) -> None:
        """Start a replica with an empty disk."""
        self.incarnation += 1
        disk = Disk(
            identity=f"{name}-{self.incarnation}",
            is_founder=bool(founders),
            snapshot=raft_messages.Snapshot(0, 0, founders, b""),
        )
        self._boot(name, disk)

    def restart(self, name: str) -> None:
        """Start a crashed replica from its disk."""
        self._boot(name, self.node_by_name[name].disk)

    def crash(self, name: str) -> None:
        """Stop a replica's process; its disk keeps a part of the writes."""
        node = self.node_by_name[name]
        node.is_up = False
        unsynced = node.syncing + node.waiting
        for effect in unsynced[: self.random.randint(0, len(unsynced))]:
            self._write(node, effect)
        saved = self.random.randint(0, len(node.compactions))
        for effect in node.compactions[:saved]:
            node.disk.write(effect)
        node.syncing, node.waiting, node.compactions = [], [], []

    def _boot(self, name: str, disk: Disk) -> None:
        self.incarnation += 1
        # Messages waiting in a connection are lost with the process.
        self.in_flight = [
            message
            for message in self.in_flight
            if message.target != name or message.due_ms > self.now_ms
        ]
        log = disk.recover()
        state = raft.Raft(
            replica=name,
            identity=disk.identity,
            is_founder=disk.is_founder,
            incarnation=self.incarnation,
            random=random.Random(f"{name}/{self.incarnation}"),
            term=disk.term,
            voted_for=disk.voted_for,
            log=log,
        )
        self.node_by_name[name] = Node(
            disk=disk,
            raft=state,
            # A reboot sets the monotonic clock back.
            offset_ms=self.random.randint(-9_000, 1_000_000),
            applied=_applied_in(log.snapshot),
        )

    def clock(self, node: Node) -> int:
        """Return the time of this replica's monotonic clock."""
        return self.now_ms + node.offset_ms

    def run(self, duration_ms: int) -> None:
        """Advance virtual time, with ticks and message deliveries."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            for name, node in list(self.node_by_name.items()):
                if node.is_up and not node.is_paused:
                    self._step(name, node)

    def submit(self, command: bytes) -> int:
        """Submit at every replica that holds the lease; return their number."""
        leaders = [
            (name, node)
            for name, node in self.node_by_name.items()
            if node.is_up
            and not node.is_paused
            and node.raft.holds_lease(self.clock(node))
        ]
        for name, node in leaders:
            effects = raft.propose(node.raft, command, self.clock(node))
            self._execute(name, node, effects)
        return len(leaders)

    def leader(self) -> Node | None:
        """Return the running replica that holds the lease, or None."""
        for node in self.node_by_name.values():
            usable = node.is_up and not node.is_paused
            if usable and node.raft.holds_lease(self.clock(node)):
                return node
        return None

    def await_leader(self, limit_ms: int = 5_000) -> Node:
        """Run until a replica holds the lease; fail after `limit_ms`."""
        end_ms = self.now_ms + limit_ms
        while (found := self.leader()) is None:
            assert self.now_ms < end_ms, "no leader"
            self.run(STEP_MS)
        return found

    def change(self, name: str, *, adds: bool) -> bool:
        """Start a membership change; return whether it could be started."""
        node = self.leader()
        if node is None or raft.membership_refusal(node.raft, name):
            return False
        if adds is any(m.replica == name for m in node.raft.members):
            return False
        if adds:
            member = raft_messages.Member(name)
            effects = raft.add_member(node.raft, member, b"change")
        else:
            effects = raft.remove_member(node.raft, name, b"change")
        self._execute(node.raft.replica, node, effects)
        return True

    def heal(self) -> None:
        """End all faults except lost disks."""
        self.isolated_groups, self.loss, self.duplication = [], 0.0, 0.0
        self.delay_ms = 2
        self.sync_ms = self.min_sync_ms = 0
        for name, node in list(self.node_by_name.items()):
            node.is_paused = False
            node.crash_after = NO_CRASH
            if not node.is_up:
                self.restart(name)

    def _step(self, name: str, node: Node) -> None:
        """Let a replica process its due messages and tick in one batch."""
        due = [
            sent
            for sent in sorted(self.in_flight)
            if sent.target == name and sent.due_ms <= self.now_ms
        ]
        self._sync(name, node)
        if not node.is_up:
            return
        is_tick = self.now_ms % TICK_MS == 0
        if due:
            received = {sent.number for sent in due}
            self.in_flight = [
                sent for sent in self.in_flight if sent.number not in received
            ]
        if due or is_tick:
            self._execute(name, node, self._reduce(node, due, is_tick))

    def _reduce(
        self, node: Node, due: list[InFlightMessage], is_tick: bool
    ) -> Iterator[raft.Effect]:
        now_ms = self.clock(node)
        if is_tick:
            yield from raft.tick(node.raft, now_ms)
        for sent in due:
            yield from raft.receive(node.raft, sent.message, now_ms)
        yield from raft.replicate(node.raft, now_ms)

    def _execute(
        self, name: str, node: Node, effects: Iterator[raft.Effect]
    ) -> None:
        """Apply and send, and let the disk write."""
        batch = list(effects)
        for effect in batch:
            match effect:
                case raft.Apply(entry):
                    node.applied.append(entry)
                case raft.Restore(snapshot):
                    node.applied = _applied_in(snapshot)
        batch += self._snapshot(node)
        node.waiting += [e for e in batch if isinstance(e, DURABLE)]
        node.waiting_number = node.raft.writes.requested
        for effect in batch:
            match effect:
                case raft.SendPeer(peer, message):
                    self._send(name, peer, message)
        self._record_commits(node)
        self.check(name, node)
        self._sync(name, node)

    def _write(self, node: Node, effect: raft.Effect) -> None:
        """Write an effect to the log, or begin to save a snapshot beside it."""
        match effect:
            case raft.SaveSnapshot(is_compaction=True):
                if not node.compactions:
                    node.compacted_ms = self.now_ms + self.random.randint(
                        self.min_sync_ms, SNAPSHOT_SYNCS * self.sync_ms
                    )
                node.compactions.append(effect)
            case raft.SaveSnapshot():
                # Older snapshots don't replace it.
                node.compactions = []
                node.disk.write(effect)
            case _:
                node.disk.write(effect)

    def _compact(self, node: Node) -> None:
        """Complete the snapshots that are saved by now."""
        if self.now_ms >= node.compacted_ms:
            for effect in node.compactions:
                node.disk.write(effect)
            node.compactions = []

    def _sync(self, name: str, node: Node) -> None:
        """Complete what is written by now, and begin to write what waits."""
        self._compact(node)
        if not node.syncing and node.waiting:
            node.syncing, node.waiting = node.waiting, []
            node.syncing_number = node.waiting_number
            node.synced_ms = self.now_ms + self.random.randint(
                self.min_sync_ms, self.sync_ms
            )
        if not node.syncing or self.now_ms < node.synced_ms:
            return
        while node.syncing:
            if node.crash_after == 0:
                self.crash(name)
                return
            node.crash_after -= node.crash_after > 0
            self._write(node, node.syncing.pop(0))
        now_ms = self.clock(node)
        effects = raft.synced(node.raft, node.syncing_number, now_ms)
        self._execute(name, node, effects)

    def _snapshot(self, node: Node) -> list[raft.Effect]:
        covered = node.raft.applied_index - node.raft.log.snapshot.index
        if covered < self.snapshot_interval_entries:
            return []
        data = msgspec.msgpack.encode(node.applied)
        return list(raft.compact(node.raft, data, catch_up_entries=3))

    def _send(
        self, source: str, target: str, message: raft_messages.RaftMessage
    ) -> None:
        self.sent += 1
        if self.records_messages:
            self.messages.append(message)
        if any((source in g) != (target in g) for g in self.isolated_groups):
            return
        if self.random.random() < self.loss:
            return
        copies = 1 + (self.random.random() < self.duplication)
        for _ in range(copies):
            due_ms = self.now_ms + self.random.randint(1, self.delay_ms)
            self.incarnation += 1
            self.in_flight.append(
                InFlightMessage(
                    due_ms,
                    self.incarnation,
                    source,
                    target,
                    copy.copy(message),
                )
            )

    def _record_commits(self, node: Node) -> None:
        for entry in node.applied[len(self.committed) :]:
            self.committed.append(entry)
            self.committed_ms.append(self.now_ms)

    def check(self, name: str, node: Node) -> None:
        """Check every invariant that a batch of this replica could violate."""
        state = node.raft
        assert node.applied == self.committed[: len(node.applied)]
        assert len(node.applied) == state.applied_index
        assert state.commit_index >= node.newest_commit
        node.newest_commit = state.commit_index
        if state.role is raft.RaftRole.LEADER:
            leader = self.leader_by_term.setdefault(state.term, name)
            assert leader == name, f"two leaders of term {state.term}"
            if state.term == max(self.leader_by_term):
                self._check_complete(state)
        self.check_leases()
        self._check_staleness(node)

    def check_leases(self) -> None:
        """Check that no two replicas hold a lease, paused ones included."""
        holding = [
            name
            for name, node in self.node_by_name.items()
            if node.is_up and node.raft.holds_lease(self.clock(node))
        ]
        assert len(holding) <= 1, f"leases at {holding}"

    def _check_complete(self, state: raft.Raft) -> None:
        """Check that the newest leader has every committed entry."""
        assert state.last_index >= len(self.committed)
        held = self.committed[state.log.start_index :]
        assert state.log.entries[: len(held)] == held

    def _check_staleness(self, node: Node) -> None:
        """Check that entries committed before `fresh_as_of_ms` are applied."""
        if node.raft.fresh_as_of_ms < 0:
            return
        fresh_as_of_ms = node.raft.fresh_as_of_ms - node.offset_ms
        assert fresh_as_of_ms <= self.now_ms
        before = bisect.bisect_left(self.committed_ms, fresh_as_of_ms)
        assert node.raft.applied_index >= before


def _applied_in(
    snapshot: raft_messages.Snapshot,
) -> list[raft_messages.LogEntry]:
    if not snapshot.data:
        return []
    return msgspec.msgpack.decode(
        snapshot.data, type=list[raft_messages.LogEntry]
    )
