"""RPC client for the control replicas.

Entries, agents, gateways and replicas that join the cluster use it.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import enum
import logging
import threading
from typing import final

from wisteriawall import clock
from wisteriawall import errors
from wisteriawall.wire import control_messages
from wisteriawall.wire import envelope
from wisteriawall.wire import transport

__all__ = ["Asked", "ControlClient", "ControlUnavailable", "Outcome", "Step"]

_LOG = logging.getLogger("rpc")


@final
class Outcome(enum.StrEnum):
    """What came of a request to one replica."""

    ANSWERED = "answered"
    REDIRECTED = "redirected"
    NO_CONNECTION = "no-connection"
    NO_ANSWER = "no-answer"
    MALFORMED = "malformed"
    CLOSED = "closed"


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Step:
    """One request to one replica, sent `asked_ms` after the call began.

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
class ControlClient:
    """Sends requests to the control replica that can answer them.

    The replica that answered last, or that was named as the leader, is called
    first; the others are tried in turn when it does not answer.

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
        self._preferred_replica = next(iter(address_by_replica), "")
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

    def call(
        self, request: control_messages.ControlRequest
    ) -> control_messages.ControlReply:
        """Return the first answer to `request` that is not a redirect.

        Blocks for up to the RPC timeout at each replica that does not answer,
        and twice at the one that is called first.

        Raises:
            ControlUnavailable: No replica answered, or each of them answered
                that it is not the leader, or the client is closed.
        """
        return self.ask(request).reply

    def ask(self, request: control_messages.ControlRequest) -> Asked:
        """Return the answer that `call` returns, and how it was found.

        Raises:
            ControlUnavailable: As for `call`.
        """
        steps: list[Step] = []
        started_ms = clock.monotonic_ms()
        first = self._preferred_replica
        for replica in self._replicas_to_try():
            result = self._take_step(replica, request, started_ms, steps)
            if result.reply is None and replica == first:
                # Its connection may have gone silent, and is replaced now. The
                # connections to the others may be no better.
                result = self._take_step(replica, request, started_ms, steps)
            match result.reply:
                case None:
                    continue
                case control_messages.NotLeader() as redirect:
                    self._follow_redirect(redirect)
                case reply:
                    self._prefer(replica)
                    return Asked(reply, replica, tuple(steps))
        raise ControlUnavailable(
            "the client is closed"
            if self._closed
            else "no control replica could answer",
            tuple(steps),
        )

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
        for client in self._client_by_replica.values():
            client.close_after_calls()
        for client in self._client_by_replica.values():
            client.close()

    def _replicas_to_try(self) -> Iterator[str]:
        """Yield each replica once, the preferred one first.

        The preference and the set of replicas are read again before each step,
        because a redirect changes both.
        """
        tried: set[str] = set()
        while not self._closed and (
            untried := set(self._client_by_replica) - tried
        ):
            replica = self._preferred_replica
            if replica not in untried:
                replica = min(untried)
            tried.add(replica)
            yield replica

    def _follow_redirect(self, reply: control_messages.NotLeader) -> None:
        """Call the leader named in `reply` next, adding it if it is unknown."""
        addresses = self._address_by_replica
        if (
            reply.rpc_address
            and addresses.get(reply.leader) != reply.rpc_address
        ):
            self.set_replicas({**addresses, reply.leader: reply.rpc_address})
        self._prefer(reply.leader)

    def _prefer(self, replica: str) -> None:
        """Call `replica` first from now on, unless it is unknown."""
        with self._lock:
            if replica in self._client_by_replica:
                self._preferred_replica = replica

    def _take_step(
        self,
        replica: str,
        request: control_messages.ControlRequest,
        started_ms: int,
        steps: list[Step],
    ) -> _Result:
        """Call a replica and append what came of it to `steps`."""
        asked_ms = clock.monotonic_ms()
        result = self._call_replica(replica, request)
        steps.append(_to_step(replica, result, started_ms, asked_ms))
        return result

    def _call_replica(
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


def _to_step(
    replica: str, result: _Result, started_ms: int, asked_ms: int
) -> Step:
    redirect = ""
    if isinstance(result.reply, control_messages.NotLeader):
        redirect = result.reply.leader
    return Step(
        replica=replica,
        outcome=result.outcome,
        asked_ms=asked_ms - started_ms,
        took_ms=clock.monotonic_ms() - asked_ms,
        redirect=redirect,
    )
