"""RPC client for the control replicas.

Entries, agents, gateways and replicas that join the cluster use it.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from concurrent import futures
import dataclasses
import enum
import logging
import queue
import threading
from typing import final

from wisteriawall import clock
from wisteriawall import errors
from wisteriawall.wire import control_messages
from wisteriawall.wire import envelope
from wisteriawall.wire import replica_rounds
from wisteriawall.wire import transport

__all__ = ["Asked", "ControlClient", "ControlUnavailable", "Outcome", "Step"]

_LOG = logging.getLogger("rpc")

# Requests of a round that are left when it ends keep their threads for up to
# two timeouts, beside those of the next round.
ASKING_THREADS = 2 * replica_rounds.MAX_PENDING
MS_PER_S = 1_000


@final
class Outcome(enum.StrEnum):
    """What came of a request to one replica."""

    ANSWERED = "answered"
    REDIRECTED = "redirected"
    NO_CONNECTION = "no-connection"
    NO_ANSWER = "no-answer"
    MALFORMED = "malformed"
    CLOSED = "closed"
    ERROR = "error"
    PENDING = "pending"


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Step:
    """One request to one replica, sent `asked_ms` after the call began.

    It took `took_ms`, so far if it was still pending when the call ended.
    `redirect` is the leader that the replica named, empty if it named none.
    """

    replica: str
    outcome: Outcome
    asked_ms: int
    took_ms: int
    redirect: str = ""


@final
@dataclasses.dataclass(slots=True, frozen=True)
class Asked:
    """The answer to a call, the replica that gave it, and the steps to it."""

    reply: control_messages.ControlReply
    replica: str
    steps: tuple[Step, ...]


@final
class ControlUnavailable(errors.WisteriawallError):
    """No replica answered; a write may still have been carried out.

    Attributes:
        steps: The requests to replicas that failed or were redirected.
    """

    def __init__(self, message: str, steps: tuple[Step, ...] = ()) -> None:
        super().__init__(message)
        self.steps = steps


@final
@dataclasses.dataclass(slots=True, frozen=True)
class _Result:
    """What one request to one replica brought; `reply` is None if it failed."""

    outcome: Outcome
    reply: control_messages.ControlReply | None = None


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Ended:
    """A request of a round that has ended, at `ended_ms`."""

    replica: str
    result: _Result
    ended_ms: int


@final
class ControlClient:
    """Sends requests to the control replica that can answer them.

    The replica that answered last is called first, and one that failed last of
    all. `ask` calls the next one before the former has timed out, and is for
    requests that may be carried out more than once, of one thread at a time.
    `call` waits for each replica in turn.

    Args:
        address_by_replica: RPC address of every known replica, by its name.
        key: Shared cluster key that authenticates the messages.
        sender: Identity of this process.
        timeout_ms: Longest time to send a request to one replica, and again to
            receive the answer.
    """

    def __init__(
        self,
        *,
        address_by_replica: Mapping[str, str],
        key: bytes,
        sender: envelope.Sender,
        timeout_ms: int = transport.RPC_TIMEOUT_MS,
    ) -> None:
        self._timeout_ms = timeout_ms
        self._codec: envelope.Codec[object] = envelope.Codec(
            message_type=control_messages.ControlReply, key=key, sender=sender
        )
        self._lock = threading.Lock()
        self._closed = False
        self._address_by_replica: dict[str, str] = {}
        self._client_by_replica: dict[str, transport.RpcClient] = {}
        # Guarded by the lock.
        self._replicas = replica_rounds.Replicas(
            next(iter(address_by_replica), "")
        )
        # Starts threads when there is more to ask than they can.
        self._asking = futures.ThreadPoolExecutor(
            ASKING_THREADS, thread_name_prefix="ask-control"
        )
        self.set_replicas(address_by_replica)

    def set_replicas(self, address_by_replica: Mapping[str, str]) -> None:
        """Replace the set of replicas that are called.

        Connections to replicas whose address did not change are kept; the
        other connections are closed. A replica whose address can't be dialled
        is logged and left out. A closed client opens no connections.
        """
        with self._lock:
            if self._closed:
                return
            clients = dict(self._client_by_replica)
            for replica, address in self._address_by_replica.items():
                if address_by_replica.get(replica) != address:
                    clients.pop(replica).close_after_calls()
            addresses = dict(address_by_replica)
            for replica, address in address_by_replica.items():
                if replica in clients:
                    continue
                try:
                    clients[replica] = transport.RpcClient(
                        address=address, timeout_ms=self._timeout_ms
                    )
                except transport.AddressRejected as error:
                    _LOG.error(
                        "rpc: replica %s is not called: %s", replica, error
                    )
                    del addresses[replica]
            self._address_by_replica = addresses
            self._client_by_replica = clients
            self._replicas.keep_only(clients)

    def call(
        self, request: control_messages.ControlRequest
    ) -> control_messages.ControlReply:
        """Return the first answer to `request` that is not a redirect.

        Blocks for up to two RPC timeouts at each replica that does not answer,
        and twice at the one that answered last.

        Raises:
            ControlUnavailable: No replica answered, or each of them answered
                that it is not the leader, or the client is closed.
        """
        named = ""
        tried: set[str] = set()
        while not self._closed and (
            untried := set(self._client_by_replica) - tried
        ):
            with self._lock:
                replica = (
                    named if named in untried else self._replicas.first(untried)
                )
                # Its connection may have gone silent, and is replaced after the
                # first attempt. The connections to others may be no better.
                is_repeated = (
                    replica == self._replicas.leader
                    and not tried
                    and not self._replicas.has_failed(replica)
                )
            tried.add(replica)
            named = ""
            result = self._call_replica(replica, request)
            if result.reply is None and is_repeated:
                result = self._call_replica(replica, request)
            match result.reply:
                case None:
                    continue
                case control_messages.NotLeader() as redirect:
                    named = self._named_leader(redirect)
                case reply:
                    self._note_leader(replica)
                    return reply
        raise ControlUnavailable(self._failure())

    def ask(
        self,
        request: control_messages.ControlRequest,
        *,
        fallback: Mapping[str, str] | None = None,
    ) -> Asked:
        """Return the answer of the first replica that answers as the leader.

        Replicas that are gone delay the call little, since the next one is
        asked meanwhile. More than one replica may get the request.

        Args:
            request: A request that may be carried out more than once.
            fallback: RPC addresses of further replicas by their names, which
                are added when none of those that are known has answered.

        Raises:
            ControlUnavailable: As for `call`.
        """
        started_ms = clock.monotonic_ms()
        round_ = replica_rounds.Round(self._replicas)
        ended: queue.SimpleQueue[_Ended] = queue.SimpleQueue()
        asked_ms_by_replica: dict[str, int] = {}
        steps: list[Step] = []
        winner = None
        while winner is None and not self._closed:
            now_ms = clock.monotonic_ms()
            known = self._client_by_replica
            with self._lock:
                replica = round_.next_replica(known, now_ms)
            if replica is not None:
                asked_ms_by_replica[replica] = now_ms
                self._start_asking(replica, request, ended)
                continue
            if fallback and round_.wants_more(known, now_ms):
                self._add_replicas(fallback)
                fallback = None
                continue
            if not round_.is_waiting:
                break
            winner = self._await_answer(
                round_, ended, started_ms, asked_ms_by_replica, steps
            )
        now_ms = clock.monotonic_ms()
        steps += [
            Step(
                replica=replica,
                outcome=Outcome.PENDING,
                asked_ms=asked_ms - started_ms,
                took_ms=now_ms - asked_ms,
            )
            for replica, asked_ms in asked_ms_by_replica.items()
        ]
        if winner is None or winner.result.reply is None:
            raise ControlUnavailable(self._failure(), tuple(steps))
        self._note_leader(winner.replica)
        return Asked(winner.result.reply, winner.replica, tuple(steps))

    def call_all(
        self, request: control_messages.ControlRequest
    ) -> Iterator[control_messages.ControlReply]:
        """Call every replica in turn and yield each valid answer."""
        for replica in self._client_by_replica:
            result = self._call_replica(replica, request)
            if result.reply is not None:
                yield result.reply

    def connection_to(self, address: str) -> transport.RpcClient | None:
        """Return the connection to the replica at `address`, None if unknown.

        It is shared with `call`, and belongs to this client, which closes it.
        """
        for replica, known_address in self._address_by_replica.items():
            if known_address == address:
                return self._client_by_replica.get(replica)
        return None

    @property
    def address_by_replica(self) -> dict[str, str]:
        """Return the RPC address of every known replica, by its name."""
        return dict(self._address_by_replica)

    @property
    def quorum_size(self) -> int:
        """Return how many of the known replicas form a quorum."""
        return len(self._client_by_replica) // 2 + 1

    def close(self) -> None:
        """Close the connections to all replicas and end calls in progress."""
        with self._lock:
            self._closed = True
            self._asking.shutdown(wait=False, cancel_futures=True)
        for client in self._client_by_replica.values():
            client.close_after_calls()
        for client in self._client_by_replica.values():
            client.close()

    def _start_asking(
        self,
        replica: str,
        request: control_messages.ControlRequest,
        ended: queue.SimpleQueue[_Ended],
    ) -> None:
        """Call a replica on another thread, unless the client is closed."""
        with self._lock:
            if not self._closed:
                self._asking.submit(self._ask_replica, replica, request, ended)

    def _ask_replica(
        self,
        replica: str,
        request: control_messages.ControlRequest,
        ended: queue.SimpleQueue[_Ended],
    ) -> None:
        try:
            result = self._call_replica(replica, request)
        except Exception:
            # The round waits for what comes of each request.
            _LOG.exception("rpc: asking replica %s failed", replica)
            result = _Result(Outcome.ERROR)
        ended.put(
            _Ended(
                replica=replica,
                result=result,
                ended_ms=clock.monotonic_ms(),
            )
        )

    def _await_answer(
        self,
        round_: replica_rounds.Round,
        ended: queue.SimpleQueue[_Ended],
        started_ms: int,
        asked_ms_by_replica: dict[str, int],
        steps: list[Step],
    ) -> _Ended | None:
        """Wait until a request has ended or the next replica is due.

        Returns:
            The answer of the leader, None if it has not answered.
        """
        wait_ms = round_.wait_ms(clock.monotonic_ms())
        try:
            last = ended.get(timeout=wait_ms / MS_PER_S)
        except queue.Empty:
            return None
        asked_ms = asked_ms_by_replica.pop(last.replica)
        now_ms = clock.monotonic_ms()
        redirect = ""
        winner = None
        match last.result.reply:
            case None:
                is_sent = last.result.outcome is Outcome.NO_ANSWER
                round_.note_failed(last.replica, is_sent=is_sent, now_ms=now_ms)
            case control_messages.NotLeader(leader=redirect) as reply:
                self._named_leader(reply)
                with self._lock:
                    round_.note_redirect(last.replica, redirect, now_ms)
            case _:
                winner = last
        steps.append(
            Step(
                replica=last.replica,
                outcome=last.result.outcome,
                asked_ms=asked_ms - started_ms,
                took_ms=last.ended_ms - asked_ms,
                redirect=redirect,
            )
        )
        return winner

    def _named_leader(self, redirect: control_messages.NotLeader) -> str:
        """Return the leader that a replica named, adding it if it is unknown.

        Returns an empty name if that one failed a moment ago: replicas name a
        leader that is gone until their next election.
        """
        leader = redirect.leader
        if redirect.rpc_address and (
            self._address_by_replica.get(leader) != redirect.rpc_address
        ):
            self.set_replicas(
                {**self._address_by_replica, leader: redirect.rpc_address}
            )
        with self._lock:
            failed_lately = self._replicas.failed_lately(
                leader, clock.monotonic_ms()
            )
        return "" if failed_lately else leader

    def _add_replicas(self, address_by_replica: Mapping[str, str]) -> None:
        """Add the replicas whose names and addresses are not known."""
        known = self._address_by_replica
        addresses = set(known.values())
        added = {
            replica: address
            for replica, address in address_by_replica.items()
            if replica not in known and address not in addresses
        }
        if added:
            self.set_replicas({**known, **added})

    def _note_leader(self, replica: str) -> None:
        """Call `replica` first from now on, unless it is unknown."""
        with self._lock:
            if replica in self._client_by_replica:
                self._replicas.leader = replica

    def _failure(self) -> str:
        return (
            "the client is closed"
            if self._closed
            else "no control replica could answer"
        )

    def _call_replica(
        self, replica: str, request: control_messages.ControlRequest
    ) -> _Result:
        """Call a replica and note whether it answered."""
        asked_ms = clock.monotonic_ms()
        result = self._exchange(replica, request)
        now_ms = clock.monotonic_ms()
        with self._lock:
            if replica not in self._client_by_replica:
                pass
            elif result.reply is not None:
                self._replicas.note_answered(replica, now_ms)
            elif result.outcome is not Outcome.CLOSED:
                self._replicas.note_failed(replica, asked_ms, now_ms)
        return result

    def _exchange(
        self, replica: str, request: control_messages.ControlRequest
    ) -> _Result:
        """Call a replica that may have been removed meanwhile."""
        client = self._client_by_replica.get(replica)
        if client is None:
            return _Result(Outcome.CLOSED)
        try:
            data = client.call(self._codec.encode(request))
            _, reply = self._codec.decode(data)
        except transport.RpcClosed:
            return _Result(Outcome.CLOSED)
        except transport.RpcTimeout as error:
            return _Result(
                Outcome.NO_ANSWER if error.is_sent else Outcome.NO_CONNECTION
            )
        except envelope.MessageRejected:
            return _Result(Outcome.MALFORMED)
        if isinstance(reply, control_messages.NotLeader):
            return _Result(Outcome.REDIRECTED, reply)
        return _Result(Outcome.ANSWERED, reply)  # type: ignore[arg-type]
