"""Consensus: commit rate with and without grouped syncs, messages and bytes.

The target of the cluster is 11,000 requests a second, of which only the
non-repeatable ones load the log, with their claims. Control traffic of a node
may be 18 KB a second. The bounds follow from these targets and from message
counts, not from measured times: within one run, grouped syncs must commit at
least four times as fast as single syncs.
"""

import pathlib
import random
import sys
import tempfile
import time

from wisteriawall.control import raft
from wisteriawall.control import raft_log
from wisteriawall.storage import data_folder
from wisteriawall.storage import replica_log
from wisteriawall.wire import envelope
from wisteriawall.wire import raft_messages

COMMIT_COUNT = 2_048
BATCH_SIZE = 64
MIN_GROUPING_SPEEDUP = 4.0
COMMAND_BYTES = 200
HEARTBEATS_PER_S = 10
FOLLOWER_COUNT = 2
MAX_NODE_BYTES_PER_S = 18_000
MAX_HEARTBEAT_MESSAGES = 2
MAX_COMMIT_MESSAGES = 2
MAX_COMMIT_OVERHEAD_BYTES = 400
MAX_GROUPED_MESSAGES = 2
MEMBERS = tuple(raft_messages.Member(name) for name in "abc")


class ReplicaGroup:
    """Three replicas in one process; counts their messages and bytes."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Elect replica a; each replica has its own data folder."""
        self.now_ms = 10_000
        self.messages = 0
        self.sent_bytes = 0
        self.codec: envelope.Codec[raft_messages.RaftMessage] = envelope.Codec(
            message_type=raft_messages.RaftMessage,
            key=b"k" * 32,
            sender=envelope.Sender("a", 1),
        )
        self.log_by_name: dict[str, replica_log.ReplicaLog] = {}
        self.raft_by_name: dict[str, raft.Raft] = {}
        for name in "abc":
            replica_folder = data_folder.DataFolder(
                folder / name, cluster="bench", replica=name, founders=MEMBERS
            )
            self.log_by_name[name] = replica_log.ReplicaLog(replica_folder)
            self.raft_by_name[name] = raft.Raft(
                replica=name,
                random=random.Random(name),
                is_founder=True,
                log=raft_log.RaftLog(
                    snapshot=raft_messages.Snapshot(0, 0, MEMBERS, b"")
                ),
            )
        self.leader = self.raft_by_name["a"]
        while not self.leader.holds_lease(self.now_ms):
            self.now_ms += 20
            self.apply_effects("a", list(raft.tick(self.leader, self.now_ms)))
        self.heartbeat()

    def apply_effects(self, name: str, effects: list[raft.Effect]) -> None:
        """Write all records, sync once, and deliver the messages."""
        log = self.log_by_name[name]
        needs_sync = False
        for effect in effects:
            match effect:
                case raft.AppendLog(entries):
                    log.append(entries)
                    needs_sync = True
                case raft.SaveHardState(term, voted_for):
                    log.save_hard_state(term=term, voted_for=voted_for)
                    needs_sync = True
                case _:
                    pass
        for effect in effects:
            match effect:
                case raft.SendPeer(peer, message):
                    self._deliver(peer, message)
                case _:
                    pass
        if needs_sync:
            log.sync()
            replica = self.raft_by_name[name]
            synced = raft.synced(replica, replica.writes.requested, self.now_ms)
            self.apply_effects(name, list(synced))

    def _deliver(self, peer: str, message: raft_messages.RaftMessage) -> None:
        encoded = self.codec.encode(message)
        self.messages += 1
        self.sent_bytes += len(encoded)
        _, received = self.codec.decode(encoded)
        follower = self.raft_by_name[peer]
        # Followers never tick, so they take part in the election by votes only.
        effects = raft.receive(follower, received, self.now_ms)
        self.apply_effects(peer, list(effects))

    def commit(self, count: int) -> None:
        """Submit `count` commands in one batch.

        Raises:
            SystemExit: The batch was not committed.
        """
        command = random.Random(count).randbytes(COMMAND_BYTES)
        effects = [
            effect
            for _ in range(count)
            for effect in raft.propose(self.leader, command, self.now_ms)
        ]
        effects += raft.replicate(self.leader, self.now_ms)
        self.apply_effects("a", effects)
        if self.leader.commit_index != self.leader.last_index:
            raise SystemExit("bench: the batch was not committed")

    def heartbeat(self) -> None:
        """Advance the clock by one heartbeat interval and tick the leader."""
        self.now_ms += 100
        self.apply_effects("a", list(raft.tick(self.leader, self.now_ms)))

    def take_counts(self) -> tuple[int, int]:
        """Return messages and bytes sent since the last call; reset both."""
        counts = (self.messages, self.sent_bytes)
        self.messages = self.sent_bytes = 0
        return counts

    def close(self) -> None:
        """Close the logs and release the data folders."""
        for log in self.log_by_name.values():
            log.close()


def main() -> int:
    """Print each figure with its bound; return 1 if any is broken."""
    with tempfile.TemporaryDirectory() as folder:
        replicas = ReplicaGroup(pathlib.Path(folder))
        broken = sum([_check_traffic(replicas), _check_grouping(replicas)])
        replicas.close()
    return min(1, broken)


def _check_traffic(replicas: ReplicaGroup) -> int:
    replicas.take_counts()
    for _ in range(100):
        replicas.heartbeat()
    messages, sent_bytes = replicas.take_counts()
    heartbeats = 100 * FOLLOWER_COUNT
    leader_bytes_per_s = (
        sent_bytes / heartbeats * HEARTBEATS_PER_S * FOLLOWER_COUNT
    )
    broken = _check(
        "messages per heartbeat and follower",
        messages / heartbeats,
        at_most=MAX_HEARTBEAT_MESSAGES,
    )
    broken += _check(
        "heartbeat bytes a second of the leader",
        leader_bytes_per_s,
        at_most=MAX_NODE_BYTES_PER_S,
    )
    for _ in range(100):
        replicas.commit(1)
    messages, sent_bytes = replicas.take_counts()
    commits = 100 * FOLLOWER_COUNT
    broken += _check(
        "messages per single commit and follower",
        messages / commits,
        at_most=MAX_COMMIT_MESSAGES,
    )
    broken += _check(
        "bytes per single commit and follower beside the command",
        sent_bytes / commits - COMMAND_BYTES,
        at_most=MAX_COMMIT_OVERHEAD_BYTES,
    )
    replicas.commit(BATCH_SIZE)
    messages, sent_bytes = replicas.take_counts()
    broken += _check(
        f"messages per group of {BATCH_SIZE} commits and follower",
        messages / FOLLOWER_COUNT,
        at_most=MAX_GROUPED_MESSAGES,
    )
    bytes_per_commit = sent_bytes / FOLLOWER_COUNT / BATCH_SIZE
    print(f"  {bytes_per_commit:.0f} bytes per grouped commit and follower")
    return broken


def _check_grouping(replicas: ReplicaGroup) -> int:
    single_per_s = _commits_per_s(replicas, 1, COMMIT_COUNT // 8)
    grouped_per_s = _commits_per_s(replicas, BATCH_SIZE, COMMIT_COUNT)
    print(f"  single syncs: {single_per_s:.0f} commits a second")
    print(f"  syncs of {BATCH_SIZE}: {grouped_per_s:.0f} commits a second")
    return _check(
        "grouped against single syncs",
        grouped_per_s / single_per_s,
        at_least=MIN_GROUPING_SPEEDUP,
    )


def _commits_per_s(
    replicas: ReplicaGroup, batch_size: int, commits: int
) -> float:
    start_s = time.perf_counter()
    for _ in range(commits // batch_size):
        replicas.commit(batch_size)
    return commits / (time.perf_counter() - start_s)


def _check(
    name: str,
    value: float,
    *,
    at_most: float = float("inf"),
    at_least: float = 0.0,
) -> int:
    broken = not at_least <= value <= at_most
    bound = f"at least {at_least:g}" if at_least else f"at most {at_most:g}"
    verdict = "BROKEN" if broken else "held"
    print(f"  {name}: {value:.1f}, {bound}: {verdict}")
    return int(broken)


if __name__ == "__main__":
    sys.exit(main())
