"""Tests of single Raft rules that the stateful test seldom reaches."""

from collections.abc import Iterable
import random

import pytest
from support import instant_disk

from wisteriawall.control import raft
from wisteriawall.control import raft_log
from wisteriawall.wire import raft_messages

MEMBERS = tuple(
    raft_messages.Member(name, identity=f"{name}-1") for name in "abc"
)
ENTRIES = [
    raft_messages.LogEntry(1, 1, b"one"),
    raft_messages.LogEntry(2, 2, b"two"),
]


def make(
    *,
    members: tuple[raft_messages.Member, ...] = MEMBERS,
    identity: str = "a-1",
    term: int = 2,
    entries: Iterable[raft_messages.LogEntry] = ENTRIES,
) -> raft.Raft:
    """Return replica a with two entries and its election timer running."""
    snapshot = raft_messages.Snapshot(0, 0, members, b"")
    log = raft_log.RaftLog(snapshot=snapshot, entries=list(entries))
    state = raft.Raft(
        replica="a",
        identity=identity,
        incarnation=7,
        random=random.Random(1),
        term=term,
        log=log,
    )
    state.election_due_ms = 10_000
    return state


def vote_request(
    *, term: int = 3, last: tuple[int, int] = (2, 2), prevote: bool = False
) -> raft_messages.VoteRequest:
    """Return a request from replica b; `last` is its last index and term."""
    return raft_messages.VoteRequest(term, "b", *last, prevote, "b-1")


def append_request(**changed: object) -> raft_messages.AppendRequest:
    """Return a heartbeat of leader b in term 2."""
    fields = {
        "term": 2,
        "leader": "b",
        "previous_index": 2,
        "previous_term": 2,
        "entries": [],
        "commit_index": 2,
        "leader_clock_ms": 5,
        "follower_clock": raft_messages.ClockReading(7, 900),
        "quorum_age_ms": 100,
    }
    return raft_messages.AppendRequest(**(fields | changed))  # type: ignore


def granted(
    state: raft.Raft, request: raft_messages.VoteRequest, now_ms: int
) -> bool:
    """Return whether a vote is granted; check that it is synced first."""
    saved = False
    effects = raft.receive(state, request, now_ms)
    is_granted = False
    for effect in instant_disk.settle(state, effects, now_ms):
        match effect:
            case raft.SaveHardState(_, "b"):
                saved = True
            case raft.SendPeer(_, raft_messages.VoteReply(granted=True) as r):
                assert r.prevote or (saved and not state.writes.is_pending)
                is_granted = True
    return is_granted


def test_an_unanswered_prevote_is_repeated_soon() -> None:
    """After a restart of all replicas, first messages find no connection."""
    state = make()
    for _ in range(3):
        now_ms = state.election_due_ms
        prevotes = [
            effect.message
            for effect in raft.tick(state, now_ms)
            if isinstance(effect, raft.SendPeer)
        ]
        assert len(prevotes) == 2
        assert all(message.prevote for message in prevotes)
        assert state.election_due_ms - now_ms <= 300
    assert state.term == 2


def test_a_candidate_leaves_time_for_votes_on_slow_disks() -> None:
    state = make()
    list(raft.tick(state, 10_000))
    reply = raft_messages.VoteReply(3, "b", True, True, "b-1")
    list(raft.receive(state, reply, 10_001))
    assert state.role is raft.RaftRole.CANDIDATE
    assert state.election_due_ms >= 10_001 + 600


def _vote(
    state: raft.Raft, voter: str, now_ms: int, *, prevote: bool = False
) -> None:
    reply = raft_messages.VoteReply(3, voter, True, prevote, f"{voter}-1")
    effects = raft.receive(state, reply, now_ms)
    list(instant_disk.settle(state, effects, now_ms))


def test_a_vote_counts_after_the_election_timeout() -> None:
    """A voter with a slow disk sends it only after its sync."""
    state = make()
    list(raft.tick(state, 10_000))
    _vote(state, "b", 10_001, prevote=True)
    list(raft.tick(state, state.election_due_ms))
    assert state.role is raft.RaftRole.PRECANDIDATE
    _vote(state, "b", 12_000)
    assert state.role is raft.RaftRole.LEADER


def test_late_votes_do_not_elect_a_leader_that_has_stepped_down() -> None:
    state = make()
    list(raft.tick(state, 10_000))
    _vote(state, "b", 10_001, prevote=True)
    _vote(state, "b", 10_002)
    assert state.role is raft.RaftRole.LEADER
    list(raft.tick(state, 12_000))
    list(raft.tick(state, state.election_due_ms))
    assert state.role is raft.RaftRole.PRECANDIDATE
    for voter in "bc":
        _vote(state, voter, 14_000)
    assert state.role is raft.RaftRole.PRECANDIDATE


@pytest.mark.parametrize("prevote", [False, True], ids=["vote", "prevote"])
@pytest.mark.parametrize(
    ("state", "request_", "now_ms", "expected"),
    [
        pytest.param(make(), vote_request(), 1_000, True, id="up to date"),
        pytest.param(
            make(), vote_request(last=(1, 1)), 1_000, False, id="log behind"
        ),
        pytest.param(
            make(),
            vote_request(last=(9, 1)),
            1_000,
            False,
            id="log in an older term",
        ),
        pytest.param(
            make(),
            vote_request(term=1),
            1_000,
            False,
            id="request of an older term",
        ),
        pytest.param(
            make(identity="a-2"),
            vote_request(),
            1_000,
            False,
            id="voter with another disk",
        ),
        pytest.param(
            make(members=tuple(map(raft_messages.Member, "abc"))),
            vote_request(),
            1_000,
            False,
            id="founder with an emptied disk",
        ),
        pytest.param(
            make(members=(), entries=()),
            vote_request(),
            1_000,
            False,
            id="voter without a membership",
        ),
    ],
)
def test_vote_request_is_answered(
    state: raft.Raft,
    request_: raft_messages.VoteRequest,
    now_ms: int,
    expected: bool,
    prevote: bool,
) -> None:
    asked = vote_request(
        term=request_.term,
        last=(request_.last_index, request_.last_term),
        prevote=prevote,
    )
    # Vote and prevote share one state: a prevote leaves it as it is, and the
    # change by a vote is undone below.
    assert granted(state, asked, now_ms) is expected
    state.term, state.voted_for = 2, ""


@pytest.mark.parametrize(
    ("after_ms", "expected"),
    [
        pytest.param(499, False, id="during the lease"),
        pytest.param(601, True, id="after"),
    ],
)
@pytest.mark.parametrize("restarted", [False, True])
def test_no_vote_during_a_lease_that_was_acknowledged(
    after_ms: int, expected: bool, restarted: bool
) -> None:
    state = make()
    list(raft.receive(state, append_request(), 1_000))
    if restarted:
        state = make()
        state.election_due_ms = -1
        list(raft.tick(state, 1_000))
    assert granted(state, vote_request(), 1_000 + after_ms) is expected


@pytest.mark.parametrize(
    ("after_ms", "expected"),
    [
        pytest.param(499, False, id="during-the-lease"),
        pytest.param(601, True, id="after"),
    ],
)
def test_restarted_replica_waits_from_the_start_of_its_process(
    after_ms: int, expected: bool
) -> None:
    state = make()
    state.election_due_ms = -1
    state.process_started_ms = 600
    list(raft.tick(state, 1_000))
    assert 1_200 <= state.election_due_ms <= 1_800
    assert granted(state, vote_request(), 600 + after_ms) is expected


@pytest.mark.parametrize(
    ("changed", "expected_ms"),
    [
        pytest.param({}, 800, id="confirmed"),
        pytest.param(
            {"follower_clock": raft_messages.ClockReading(6, 900)},
            -1,
            id="reading of another incarnation",
        ),
        pytest.param({"commit_index": 3}, -1, id="committed entry not applied"),
        pytest.param({"quorum_age_ms": -1}, -1, id="leader not confirmed"),
    ],
)
def test_follower_derives_its_staleness_bound(
    changed: dict[str, object], expected_ms: int
) -> None:
    state = make()
    list(raft.receive(state, append_request(**changed), 1_000))
    assert state.fresh_as_of_ms == expected_ms


def elect(state: raft.Raft, now_ms: int) -> None:
    """Let replica a win an election with the vote of b."""
    list(raft.tick(state, now_ms))
    for prevote in (True, False):
        reply = raft_messages.VoteReply(3, "b", True, prevote, "b-1")
        effects = raft.receive(state, reply, now_ms)
        list(instant_disk.settle(state, effects, now_ms))
    assert state.role is raft.RaftRole.LEADER


def reply_of(
    name: str, *, match_index: int, identity: str
) -> raft_messages.AppendReply:
    """Return a follower's acknowledgement in term 3."""
    header = raft_messages.ReplyHeader(
        term=3,
        follower=name,
        identity=identity,
        is_founder=False,
        leader_clock_ms=10_000,
        follower_clock=raft_messages.ClockReading(1, 1),
    )
    return raft_messages.AppendReply(header, True, match_index, match_index)


@pytest.mark.parametrize(
    ("match_index", "identity", "expected"),
    [
        pytest.param(2, "b-1", 0, id="entry of an older term"),
        pytest.param(3, "b-1", 3, id="entry of its own term"),
        pytest.param(3, "b-2", 0, id="from another disk"),
    ],
)
def test_leader_commits(match_index: int, identity: str, expected: int) -> None:
    state = make()
    elect(state, 10_000)
    reply = reply_of("b", match_index=match_index, identity=identity)
    list(raft.receive(state, reply, 10_010))
    assert state.commit_index == expected
    assert state.holds_lease(10_020) is (expected == 3)
    assert not state.holds_lease(10_500)


def test_batch_of_commands_is_sent_in_one_message_per_follower() -> None:
    state = make()
    elect(state, 10_000)
    for name in "bc":
        reply = reply_of(name, match_index=3, identity=f"{name}-1")
        list(raft.receive(state, reply, 10_010))
    for number in range(100):
        effects = raft.propose(state, b"%d" % number, 10_020)
        assert all(isinstance(e, raft.AppendLog) for e in effects)
    sent = list(raft.replicate(state, 10_020))
    assert [e.peer for e in sent if isinstance(e, raft.SendPeer)] == ["b", "c"]
    assert not list(raft.replicate(state, 10_020))


@pytest.mark.parametrize(
    ("match_index", "expected"),
    [
        pytest.param(2, False, id="behind"),
        pytest.param(3, True, id="caught up"),
    ],
)
def test_learner_gets_its_vote_once_it_has_caught_up(
    match_index: int, expected: bool
) -> None:
    learner = raft_messages.Member("d", voting=False, identity="d-1")
    state = make(members=(*MEMBERS, learner))
    elect(state, 10_000)
    for name, matched in (("b", 3), ("d", match_index)):
        reply = reply_of(name, match_index=matched, identity=f"{name}-1")
        list(raft.receive(state, reply, 10_010))
    assert state.commit_index == 3
    list(raft.tick(state, 10_020))
    assert ("d" in state.voters) is expected
