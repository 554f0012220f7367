"""Control replica's shell: sockets, timers and files around the reducer.

One thread owns the state. It takes every waiting event, reduces them, syncs
the log once for the whole batch, and only then sends and answers.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from concurrent import futures
import contextlib
import itertools
import logging
import pathlib
import queue
import random
import threading
import time
from typing import TypeAlias
from typing import final

from wisteriawall.control import events
from wisteriawall.control import raft
from wisteriawall.control import reducer
from wisteriawall.storage import replica_log
from wisteriawall.wire import control_messages
from wisteriawall.wire import envelope
from wisteriawall.wire import peer_messages
from wisteriawall.wire import transport

__all__ = ["ControlShell"]

_LOG = logging.getLogger("control")

TICK_S = 0.02
CALL_TIMEOUT_S = 5.0
MAX_BATCH_EVENTS = 512

_Deferred: TypeAlias = raft.SendPeer | events.SendLiveness | events.Answer


@final
class ControlShell:
    """Run one control replica.

    Args:
        replica: Name of this replica.
        peer_address_by_replica: Raft address of every voting replica.
        rpc_address: Address that entries and agents call.
        folder: Data folder, owned by this replica alone.
        key: Shared cluster key.
        incarnation: Number that rises with every start of this process.
    """

    def __init__(
        self,
        *,
        replica: str,
        peer_address_by_replica: Mapping[str, str],
        rpc_address: str,
        folder: pathlib.Path,
        key: bytes,
        incarnation: int,
    ) -> None:
        sender = envelope.Sender(replica, incarnation)
        self._raft_codec: envelope.Codec[peer_messages.PeerMessage] = (
            envelope.Codec(
                message_type=peer_messages.PeerMessage, key=key, sender=sender
            )
        )
        self._rpc_codec: envelope.Codec[object] = envelope.Codec(
            message_type=control_messages.ControlRequest, key=key, sender=sender
        )
        self._log = replica_log.ReplicaLog(folder)
        peers = tuple(sorted(set(peer_address_by_replica) - {replica}))
        self._control = reducer.Control(
            raft=self._recovered_raft(replica, peers, incarnation)
        )
        self._queue: queue.SimpleQueue[events.Event] = queue.SimpleQueue()
        self._future_by_call: dict[int, futures.Future[events.Reply]] = {}
        self._call_ids = itertools.count(1)
        self._stopping = threading.Event()
        self._peers = transport.PeerServer(
            address=peer_address_by_replica[replica], receive=self._on_peer
        )
        self._links = transport.PeerLinks(
            address_by_peer={p: peer_address_by_replica[p] for p in peers}
        )
        self._rpc = transport.RpcServer(
            address=rpc_address, handler=self._on_rpc
        )
        self._thread = threading.Thread(
            target=self._run, name=f"control-{replica}", daemon=True
        )

    def start(self) -> None:
        """Start the replica."""
        self._thread.start()
        self._peers.start()
        self._rpc.start()
        _LOG.info("control: replica %s started", self._control.raft.replica)

    def stop(self) -> None:
        """Stop the replica; what it acknowledged stays on disk."""
        self._stopping.set()
        self._thread.join()
        self._rpc.close()
        self._peers.close()
        self._links.close()
        self._log.close()

    def call(self, request: events.Request) -> events.Reply:
        """Return the reply to `request`; safe from any thread."""
        call_id = next(self._call_ids)
        future: futures.Future[events.Reply] = futures.Future()
        self._future_by_call[call_id] = future
        self._queue.put(
            events.Called(call_id, request, _monotonic_ms(), _wall_ms())
        )
        try:
            return future.result(timeout=CALL_TIMEOUT_S)
        except futures.TimeoutError:
            return events.Unavailable("no answer in time")
        finally:
            self._future_by_call.pop(call_id, None)

    def _recovered_raft(
        self, replica: str, peers: tuple[str, ...], seed: int
    ) -> raft.Raft:
        recovered = self._log.recovered
        return raft.Raft(
            replica=replica,
            peers=peers,
            random=random.Random(f"{replica}/{seed}"),
            term=recovered.term,
            voted_for=recovered.voted_for,
            log=recovered.entries,
        )

    def _on_peer(self, data: bytes) -> None:
        try:
            _, message = self._raft_codec.decode(data)
        except envelope.MessageRejected as error:
            _LOG.warning("control: dropped a peer message: %s", error)
            return
        self._queue.put(
            events.PeerMessage(message, _monotonic_ms(), _wall_ms())
        )

    def _on_rpc(self, data: bytes) -> bytes | None:
        try:
            _, request = self._rpc_codec.decode(data)
        except envelope.MessageRejected as error:
            _LOG.warning("control: dropped a request: %s", error)
            return None
        reply = self.call(request)  # type: ignore[arg-type]
        if isinstance(reply, events.Unavailable):
            reply = control_messages.NotLeader("")
        return self._rpc_codec.encode(reply)

    def _run(self) -> None:
        next_tick = time.monotonic()
        while not self._stopping.is_set():
            batch = list(self._take_batch(next_tick))
            if time.monotonic() >= next_tick:
                next_tick = time.monotonic() + TICK_S
                batch.append(events.Ticked(_monotonic_ms(), _wall_ms()))
            effects = (
                effect
                for event in batch
                for effect in reducer.reduce(self._control, event)
            )
            self._carry_out(effects)

    def _take_batch(self, until: float) -> Iterator[events.Event]:
        with contextlib.suppress(queue.Empty):
            yield self._queue.get(timeout=max(0.0, until - time.monotonic()))
            for _ in range(MAX_BATCH_EVENTS):
                yield self._queue.get_nowait()

    def _carry_out(self, effects: Iterable[events.Effect]) -> None:
        """Write and sync first; send and answer only what is durable."""
        deferred: list[_Deferred] = []
        written = False
        for effect in effects:
            match effect:
                case raft.SaveHardState(term, voted_for):
                    self._log.save_hard_state(term=term, voted_for=voted_for)
                    written = True
                case raft.AppendLog(entries):
                    self._log.append(entries)
                    written = True
                case raft.TruncateLog(index):
                    self._log.truncate(index)
                    written = True
                case _:
                    deferred.append(effect)
        if written:
            self._log.sync()
        for effect in deferred:
            self._deliver(effect)

    def _deliver(self, effect: _Deferred) -> None:
        match effect:
            case raft.SendPeer(peer, message) | events.SendLiveness(
                peer, message
            ):
                data = self._raft_codec.encode(message)
                self._links.send(peer=peer, message=data)
            case events.Answer(call_id, reply):
                future = self._future_by_call.get(call_id)
                if future is not None and not future.done():
                    future.set_result(reply)


def _monotonic_ms() -> int:
    return time.monotonic_ns() // 1_000_000


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000
