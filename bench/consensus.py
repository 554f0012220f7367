"""Agreement: commits a second by sync grouping, messages and bytes.

The stated target is 11,000 requests a second for the site. Claims of
non-repeatable requests are the log's load, and one replica's share of
traffic is 18 KB a second for each node. Bounds follow from those figures and
from counts, never from a measured time: grouping must pay at least fourfold
within one run.
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

COMMITS = 2_048
GROUP = 64
MIN_GROUP_RATIO = 4.0
COMMAND_BYTES = 200
HEARTBEATS_A_SECOND = 10
FOLLOWERS = 2
MAX_NODE_BYTES_A_SECOND = 18_000
MAX_HEARTBEAT_MESSAGES = 2
MAX_COMMIT_MESSAGES = 2
MAX_COMMIT_OVERHEAD_BYTES = 400
MAX_GROUPED_MESSAGES = 2
MEMBERS = tuple(raft_messages.Member(name) for name in "abc")


class Link:
    """Three replicas in one process that count what they exchange."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Elect replica a; each replica syncs to its own folder."""
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
            owned = data_folder.DataFolder(
                folder / name, cluster="bench", replica=name, founders=MEMBERS
            )
            self.log_by_name[name] = replica_log.ReplicaLog(owned)
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
            self.carry_out("a", list(raft.tick(self.leader, self.now_ms)))
        self.heartbeat()

    def carry_out(self, name: str, effects: list[raft.Effect]) -> None:
        """Write and sync once, then deliver each message at once."""
        log = self.log_by_name[name]
        written = False
        for effect in effects:
            match effect:
                case raft.AppendLog(entries):
                    log.append(entries)
                    written = True
                case raft.SaveHardState(term, voted_for):
                    log.save_hard_state(term=term, voted_for=voted_for)
                    written = True
                case _:
                    pass
        if written:
            log.sync()
        for effect in effects:
            match effect:
                case raft.SendPeer(peer, message):
                    self._deliver(peer, message)
                case _:
                    pass

    def _deliver(self, peer: str, message: raft_messages.RaftMessage) -> None:
        data = self.codec.encode(message)
        self.messages += 1
        self.sent_bytes += len(data)
        _, received = self.codec.decode(data)
        state = self.raft_by_name[peer]
        # Followers join the election only by their votes.
        effects = raft.receive(state, received, self.now_ms)
        self.carry_out(peer, list(effects))

    def commit(self, count: int) -> None:
        """Submit `count` commands in one batch and wait for the commit."""
        command = random.Random(count).randbytes(COMMAND_BYTES)
        effects = [
            effect
            for _ in range(count)
            for effect in raft.propose(self.leader, command, self.now_ms)
        ]
        effects += raft.replicate(self.leader, self.now_ms)
        self.carry_out("a", effects)
        if self.leader.commit_index != self.leader.last_index:
            raise SystemExit("bench: the batch was not committed")

    def heartbeat(self) -> None:
        """Let one heartbeat interval pass."""
        self.now_ms += 100
        self.carry_out("a", list(raft.tick(self.leader, self.now_ms)))

    def counted(self) -> tuple[int, int]:
        """Return messages and bytes since the last call."""
        counts = (self.messages, self.sent_bytes)
        self.messages = self.sent_bytes = 0
        return counts

    def close(self) -> None:
        """Release the folders."""
        for log in self.log_by_name.values():
            log.close()


def main() -> int:
    """Print each figure with its bound; return 1 if one is broken."""
    with tempfile.TemporaryDirectory() as folder:
        link = Link(pathlib.Path(folder))
        broken = sum([_traffic(link), _grouping(link)])
        link.close()
    return min(1, broken)


def _traffic(link: Link) -> int:
    link.counted()
    for _ in range(100):
        link.heartbeat()
    messages, sent = link.counted()
    beats = 100 * FOLLOWERS
    node_bytes = sent / beats * HEARTBEATS_A_SECOND * FOLLOWERS
    broken = _check(
        "messages per heartbeat and follower",
        messages / beats,
        at_most=MAX_HEARTBEAT_MESSAGES,
    )
    broken += _check(
        "heartbeat bytes a second of the leader",
        node_bytes,
        at_most=MAX_NODE_BYTES_A_SECOND,
    )
    for _ in range(100):
        link.commit(1)
    messages, sent = link.counted()
    commits = 100 * FOLLOWERS
    broken += _check(
        "messages per single commit and follower",
        messages / commits,
        at_most=MAX_COMMIT_MESSAGES,
    )
    broken += _check(
        "bytes per single commit and follower beside the command",
        sent / commits - COMMAND_BYTES,
        at_most=MAX_COMMIT_OVERHEAD_BYTES,
    )
    link.commit(GROUP)
    messages, sent = link.counted()
    broken += _check(
        f"messages per group of {GROUP} commits and follower",
        messages / FOLLOWERS,
        at_most=MAX_GROUPED_MESSAGES,
    )
    per_entry = sent / FOLLOWERS / GROUP
    print(f"  {per_entry:.0f} bytes per grouped commit and follower")
    return broken


def _grouping(link: Link) -> int:
    single = _commits_a_second(link, 1, COMMITS // 8)
    grouped = _commits_a_second(link, GROUP, COMMITS)
    print(f"  single syncs: {single:.0f} commits a second")
    print(f"  syncs of {GROUP}: {grouped:.0f} commits a second")
    return _check(
        "grouped against single syncs",
        grouped / single,
        at_least=MIN_GROUP_RATIO,
    )


def _commits_a_second(link: Link, group: int, commits: int) -> float:
    start = time.perf_counter()
    for _ in range(commits // group):
        link.commit(group)
    return commits / (time.perf_counter() - start)


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
