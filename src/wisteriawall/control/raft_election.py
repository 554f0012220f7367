"""Elections: prevotes, votes and the start of leadership."""

from collections.abc import Iterator

from wisteriawall.control import raft_replication
from wisteriawall.control import raft_state
from wisteriawall.wire import raft_messages

__all__ = [
    "on_vote_reply",
    "on_vote_request",
    "on_vote_synced",
    "start_prevote",
]


def start_prevote(
    raft: raft_state.Raft, now_ms: int
) -> Iterator[raft_state.Effect]:
    """Ask the voters whether they would vote for this replica.

    A prevote leaves the term as it is, so it can't depose a working leader.
    """
    raft.election_due_ms = now_ms + raft.random.randint(
        raft_state.PREVOTE_INTERVAL_MIN_MS, raft_state.PREVOTE_INTERVAL_MAX_MS
    )
    if raft.replica not in raft.voters or not raft.may_vote():
        return
    raft.role = raft_state.RaftRole.PRECANDIDATE
    raft.leader = ""
    raft.prevotes = {raft.replica}
    if _has_majority(raft, raft.prevotes):
        yield from _start_election(raft, now_ms)
        return
    yield from _request_votes(raft, term=raft.term + 1, prevote=True)


def on_vote_request(
    raft: raft_state.Raft, message: raft_messages.VoteRequest, now_ms: int
) -> Iterator[raft_state.Effect]:
    """Grant or refuse a vote or prevote."""
    if not raft.accepts_identity(message.candidate, message.identity):
        return
    if not raft.may_vote() or _has_recent_leader(raft, now_ms):
        # A vote now could elect a second leader during the first one's lease.
        yield _reply(raft, message, term=raft.term, granted=False)
        return
    if message.prevote and not raft.writes.is_vote_synced:
        # The election that this replica's vote is for is still under way.
        yield _reply(raft, message, term=raft.term, granted=False)
        return
    if message.prevote:
        granted = message.term > raft.term and _is_up_to_date(raft, message)
        term = message.term if granted else raft.term
        yield _reply(raft, message, term=term, granted=granted)
        return
    if message.term > raft.term:
        yield from raft_replication.become_follower(raft, message.term, now_ms)
    granted = (
        message.term == raft.term
        and raft.voted_for in ("", message.candidate)
        and _is_up_to_date(raft, message)
    )
    reply = _reply(raft, message, term=raft.term, granted=granted)
    if not granted:
        yield reply
        return
    raft_replication.reset_election_timer(raft, now_ms)
    if raft.voted_for != message.candidate:
        yield from raft.adopt_term(raft.term, message.candidate)
    yield from raft.send_when_synced(reply.peer, reply.message)


def on_vote_reply(
    raft: raft_state.Raft, message: raft_messages.VoteReply, now_ms: int
) -> Iterator[raft_state.Effect]:
    """Count a vote or prevote.

    A majority of prevotes starts the election; a majority of votes makes this
    replica the leader.
    """
    if not raft.accepts_identity(message.voter, message.identity):
        return
    if not message.granted:
        if message.term > raft.term:
            yield from raft_replication.become_follower(
                raft, message.term, now_ms
            )
        return
    if message.prevote:
        yield from _count_prevote(raft, message, now_ms)
    else:
        yield from _count_vote(raft, message, now_ms)


def _count_prevote(
    raft: raft_state.Raft, message: raft_messages.VoteReply, now_ms: int
) -> Iterator[raft_state.Effect]:
    if (
        raft.role is not raft_state.RaftRole.PRECANDIDATE
        or message.term != raft.term + 1
    ):
        return
    raft.prevotes.add(message.voter)
    if _has_majority(raft, raft.prevotes):
        yield from _start_election(raft, now_ms)


def _count_vote(
    raft: raft_state.Raft, message: raft_messages.VoteReply, now_ms: int
) -> Iterator[raft_state.Effect]:
    """Count a vote, also one that arrives after the election's timeout.

    A voter with a slow disk sends it only after its sync, when the candidate
    may already have asked for prevotes again. The vote holds for its term.
    """
    is_candidate = raft.role in (
        raft_state.RaftRole.CANDIDATE,
        raft_state.RaftRole.PRECANDIDATE,
    )
    if not is_candidate or message.term != raft.term or not raft.votes:
        return
    raft.votes.add(message.voter)
    if _has_majority(raft, raft.votes):
        yield from _become_leader(raft, now_ms)


def _has_majority(raft: raft_state.Raft, granting: set[str]) -> bool:
    granted = sum(name in granting for name in raft.voters)
    return granted > len(raft.voters) // 2


def _has_recent_leader(raft: raft_state.Raft, now_ms: int) -> bool:
    """Return whether a leader may still hold a lease from this replica."""
    if raft.role is raft_state.RaftRole.LEADER:
        return True
    return now_ms - raft.leader_contact_ms < raft_state.ELECTION_TIMEOUT_MIN_MS


def _is_up_to_date(
    raft: raft_state.Raft, message: raft_messages.VoteRequest
) -> bool:
    own_last = (raft.log.last_term, raft.last_index)
    return (message.last_term, message.last_index) >= own_last


def _start_election(
    raft: raft_state.Raft, now_ms: int
) -> Iterator[raft_state.Effect]:
    # `on_vote_synced` asks for votes.
    raft_replication.reset_election_timer(raft, now_ms)
    raft.role = raft_state.RaftRole.CANDIDATE
    yield from raft.adopt_term(raft.term + 1, raft.replica)


def on_vote_synced(
    raft: raft_state.Raft, now_ms: int
) -> Iterator[raft_state.Effect]:
    """Continue an election once the term and vote are durable.

    A candidate counts its own vote and asks for the others. A restarted one
    that had asked before could do so again in the same term, with another log.
    The timer starts anew, as others have to sync their votes, too.
    """
    raft_replication.reset_election_timer(raft, now_ms)
    if raft.role is not raft_state.RaftRole.CANDIDATE or raft.votes:
        return
    raft.votes = {raft.replica}
    if _has_majority(raft, raft.votes):
        yield from _become_leader(raft, now_ms)
        return
    yield from _request_votes(raft, term=raft.term, prevote=False)


def _request_votes(
    raft: raft_state.Raft, *, term: int, prevote: bool
) -> Iterator[raft_state.Effect]:
    request = raft_messages.VoteRequest(
        term=term,
        candidate=raft.replica,
        last_index=raft.last_index,
        last_term=raft.log.last_term,
        prevote=prevote,
        identity=raft.identity,
    )
    for peer in raft.voters:
        if peer != raft.replica:
            yield raft_state.SendPeer(peer, request)


def _reply(
    raft: raft_state.Raft,
    request: raft_messages.VoteRequest,
    *,
    term: int,
    granted: bool,
) -> raft_state.SendPeer:
    reply = raft_messages.VoteReply(
        term=term,
        voter=raft.replica,
        granted=granted,
        prevote=request.prevote,
        identity=raft.identity,
    )
    return raft_state.SendPeer(request.candidate, reply)


def _become_leader(
    raft: raft_state.Raft, now_ms: int
) -> Iterator[raft_state.Effect]:
    raft.role = raft_state.RaftRole.LEADER
    raft.leader = raft.replica
    raft.votes = set()
    raft.elected_ms = now_ms
    raft.incoming_snapshot = None
    raft.heartbeat_due_ms = now_ms
    raft.progress_by_peer = {}
    # Entries of earlier terms can only be committed together with an entry of
    # this term, so an empty one is appended.
    yield from raft_replication.append(raft, b"")
    yield from raft_replication.send_heartbeats(raft, now_ms)
