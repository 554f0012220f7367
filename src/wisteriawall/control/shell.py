"""Run a control replica: sockets, timers and files around the reducer.

One thread owns the state. It takes all queued events as a batch, reduces them,
sends messages and answers calls. What must be durable goes to a thread that
writes and syncs the log, and tells this one when it is done.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from concurrent import futures
import contextlib
import dataclasses
import itertools
import logging
import pathlib
import queue
import random
import threading
import time
from typing import TypeAlias
from typing import final

from wisteriawall import clock
from wisteriawall.control import duties
from wisteriawall.control import events
from wisteriawall.control import link_health
from wisteriawall.control import log_writer
from wisteriawall.control import membership
from wisteriawall.control import raft
from wisteriawall.control import raft_log
from wisteriawall.control import reducer
from wisteriawall.control import replica_state
from wisteriawall.control import snapshot
from wisteriawall.control import timing_log
from wisteriawall.control import usage
from wisteriawall.observability import metrics as metrics_lib
from wisteriawall.storage import data_folder
from wisteriawall.storage import durable_files
from wisteriawall.storage import recovery
from wisteriawall.storage import replica_log
from wisteriawall.wire import control_messages
from wisteriawall.wire import envelope
from wisteriawall.wire import gateway_messages
from wisteriawall.wire import peer_messages
from wisteriawall.wire import raft_messages
from wisteriawall.wire import transport

__all__ = ["ControlShell"]

_LOG = logging.getLogger("control")

TICK_S = 0.02
CALL_TIMEOUT_S = 5.0
# Longer than callers wait (`transport.RPC_TIMEOUT_MS`): none takes the refusal
# for an answer to a write that is committed later.
RPC_CALL_TIMEOUT_S = 1.2
# Interval at which a replica without room on its disk tries a write.
ROOM_CHECK_INTERVAL_S = 0.25
# A request that waits for a commit keeps a thread, and a poll needs another.
MAX_RPC_THREADS = 64
MAX_BATCH_EVENTS = 512
MAX_QUEUED_EVENTS = 8_192
# Part of a grace period that a stop waits for the disk.
DISK_STOP_TIMEOUT_S = 2.0
DEFAULT_CLUSTER = "wisteriawall"


@final
@dataclasses.dataclass(slots=True, frozen=True)
class _Call:
    """A queued request."""

    call_id: int
    request: events.Request


@final
@dataclasses.dataclass(slots=True, frozen=True)
class _VmList:
    """A queued VM list."""

    vm_by_name: dict[str, membership.VmState]


@final
@dataclasses.dataclass(slots=True, frozen=True)
class _Upstreams:
    """A queued list of runners."""

    upstreams: list[gateway_messages.Upstream]


@final
@dataclasses.dataclass(slots=True, frozen=True)
class _LogProgress:
    """The log's writer has synced something, or has failed."""


_QueuedEvent: TypeAlias = (
    peer_messages.PeerMessage | _Call | _VmList | _Upstreams | _LogProgress
)
_ImmediateEffect: TypeAlias = (
    raft.SendPeer | events.SendLivenessSummary | events.Answer | events.Note
)


@final
class ControlShell:
    """Runs one control replica.

    Args:
        replica: Name of this replica.
        peer_address_by_replica: Raft address of every voting replica.
        rpc_address: Address that entries and agents call.
        folder: Data folder, owned by this replica alone.
        key: Shared cluster key.
        incarnation: Number that is higher at every start of this process.
        bootstrap: Whether a replica with an empty folder founds a cluster of
            all replicas in `peer_address_by_replica`; otherwise it waits until
            it is added.
        cluster: Name of the cluster that the folder belongs to.
        on_failure: Called once when a disk failure or an unexpected error
            stops the replica; if its disk was full, once there is room again.
        metrics: Counts the answers by class.
        founders: Members of a cluster founded with an empty folder, instead of
            those in `peer_address_by_replica`.
        process_started_ms: Monotonic time when the process started, if no other
            replica of this folder ran in it before. With -1, the time of
            `start` is used.
        usage_settings: Windows of the usage report, None without one.
        on_decision: Writes a decision to the decision log; by default it goes
            to the standard log.
        tolerated_losses: How many replicas may be lost at the same time.

    Raises:
        data_folder.FolderRefused: The folder can't be used by this replica.
        records.LogDamaged: The folder holds damaged files.
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
        bootstrap: bool = False,
        cluster: str = DEFAULT_CLUSTER,
        on_failure: Callable[[], None] = lambda: None,
        metrics: metrics_lib.Metrics | None = None,
        founders: tuple[raft_messages.Member, ...] = (),
        process_started_ms: int = -1,
        usage_settings: usage.UsageSettings | None = None,
        on_decision: Callable[[str, dict[str, object]], None] | None = None,
        tolerated_losses: int = 1,
    ) -> None:
        self._metrics = metrics or metrics_lib.NullMetrics()
        sender = envelope.Sender(replica, incarnation)
        self._raft_codec: envelope.Codec[peer_messages.PeerMessage] = (
            envelope.Codec(
                message_type=peer_messages.PeerMessage, key=key, sender=sender
            )
        )
        self._rpc_codec: envelope.Codec[object] = envelope.Codec(
            message_type=control_messages.ControlRequest, key=key, sender=sender
        )
        founders = founders or tuple(
            raft_messages.Member(name, address)
            for name, address in sorted(peer_address_by_replica.items())
        )
        owned_folder = data_folder.DataFolder(
            folder,
            cluster=cluster,
            replica=replica,
            founders=founders if bootstrap else (),
        )
        self._folder = folder
        log = replica_log.ReplicaLog(owned_folder)
        self._writer = log_writer.LogWriter(
            log, on_progress=self._wake, on_sync=self._note_sync
        )
        self._synced = 0
        self._control = replica_state.ReplicaState(
            raft=self._recovered_raft(
                log.recovered,
                owned_folder.identity,
                incarnation,
                process_started_ms,
            ),
            ledger=snapshot.decode(log.recovered.snapshot.data),
            usage=usage.UsageMerger(settings=usage_settings),
            tolerated_losses=tolerated_losses,
        )
        self._on_decision = on_decision or _log_decision
        self._on_failure = on_failure
        self._failure = ""
        self._queue: queue.Queue[_QueuedEvent] = queue.Queue(MAX_QUEUED_EVENTS)
        self._future_by_call: dict[int, futures.Future[events.Reply]] = {}
        self._call_ids = itertools.count(1)
        self._stopping = threading.Event()
        self._peer_server = transport.PeerServer(
            address=peer_address_by_replica[replica], on_message=self._on_peer
        )
        self._configured_peers = dict(peer_address_by_replica)
        self._links_checked_ms = self._reconnected_ms = clock.monotonic_ms()
        self._logged_leader = ("", 0)
        self._timing_log = timing_log.TimingLog()
        self._connected_members: tuple[raft_messages.Member, ...] = ()
        self._peer_connections = transport.PeerConnections(address_by_peer={})
        self._connect_members()
        self._rpc_server = transport.RpcServer(
            address=rpc_address,
            handler=self._on_rpc,
            max_threads=MAX_RPC_THREADS,
        )
        self._thread = threading.Thread(
            target=self._run, name=f"control-{replica}", daemon=True
        )

    def start(self) -> None:
        """Start the replica's threads and servers."""
        self._writer.start()
        self._thread.start()
        self._peer_server.start()
        self._rpc_server.start()
        _LOG.info("control: replica %s started", self._control.raft.replica)

    def stop(self) -> None:
        """Stop the replica, close its connections and its data folder.

        Calls in progress and later ones are answered with `Unavailable`.
        """
        if self._stopping.is_set():
            return
        self._stopping.set()
        # The state thread may wait for a disk that hangs.
        self._writer.begin_close()
        self._thread.join()
        self._refuse_calls("the replica has stopped")
        self._rpc_server.close()
        self._peer_server.close()
        self._peer_connections.close()
        self._writer.close(DISK_STOP_TIMEOUT_S)

    def accept_vm_list(self, vm_by_name: dict[str, membership.VmState]) -> None:
        """Queue a VM list for the reducer. Thread-safe."""
        self._queue.put(_VmList(vm_by_name))

    def accept_upstreams(
        self, upstreams: list[gateway_messages.Upstream]
    ) -> None:
        """Queue a list of runners for the reducer. Thread-safe."""
        self._queue.put(_Upstreams(upstreams))

    @property
    def is_leader(self) -> bool:
        """Whether this replica holds the leader's lease now."""
        return self._control.raft.holds_lease(clock.monotonic_ms())

    def may_act(self, *, token: int, lease_ms: int) -> bool:
        """Return whether this replica may act on its duties. Thread-safe.

        Args:
            token: Term in which the replica leads.
            lease_ms: How long it must have led.
        """
        return duties.may_act(
            self._control.raft,
            token=token,
            lease_ms=lease_ms,
            now_ms=clock.monotonic_ms(),
        )

    @property
    def replica(self) -> str:
        """Name of this replica."""
        return self._control.raft.replica

    def set_peer_addresses(
        self, peer_address_by_replica: Mapping[str, str]
    ) -> None:
        """Use these addresses of members until the log contains them.

        Thread-safe.
        """
        own = {self.replica: self._configured_peers[self.replica]}
        self._configured_peers = {**peer_address_by_replica, **own}

    @property
    def members(self) -> tuple[raft_messages.Member, ...]:
        """Newest membership in this replica's log, perhaps uncommitted."""
        return self._control.raft.members

    def admin_address(self, replica: str) -> str:
        """Return a member's address for operators, empty if it is unknown."""
        for member in self.members:
            if member.replica == replica:
                return member.admin_address
        return ""

    def has_recent_leader(self, *, within_ms: int) -> bool:
        """Return whether this replica is a member with a recent leader.

        A leader itself counts. A follower must have received a leader's message
        in the last `within_ms`.
        """
        replica = self._control.raft
        if all(m.replica != replica.replica for m in replica.members):
            return False
        if replica.role is raft.RaftRole.LEADER:
            return True
        return clock.monotonic_ms() - replica.leader_contact_ms <= within_ms

    def call(
        self, request: events.Request, *, timeout_s: float | None = None
    ) -> events.Reply:
        """Return the reply to `request`, waiting for it. Thread-safe.

        The reply is `Unavailable` if the replica has failed or does not answer
        within `timeout_s`, by default `CALL_TIMEOUT_S`. What was requested may
        still be done then.
        """
        if timeout_s is None:
            timeout_s = CALL_TIMEOUT_S
        deadline_s = time.monotonic() + timeout_s
        call_id = next(self._call_ids)
        future: futures.Future[events.Reply] = futures.Future()
        self._future_by_call[call_id] = future
        try:
            # Read after the future is stored, so that `_refuse_calls` finds it.
            if self._failure:
                return events.Unavailable(self._failure)
            with contextlib.suppress(queue.Full):
                self._queue.put(_Call(call_id, request), timeout=timeout_s)
            remaining_s = max(0.0, deadline_s - time.monotonic())
            return future.result(timeout=remaining_s)
        except futures.TimeoutError:
            return events.Unavailable("no answer in time")
        finally:
            self._future_by_call.pop(call_id, None)

    def _recovered_raft(
        self,
        recovered: recovery.RecoveredState,
        identity: data_folder.Identity,
        incarnation: int,
        process_started_ms: int,
    ) -> raft.Raft:
        return raft.Raft(
            replica=identity.replica,
            identity=identity.folder_id,
            is_founder=bool(identity.founders),
            incarnation=incarnation,
            process_started_ms=process_started_ms,
            random=random.Random(f"{identity.folder_id}/{incarnation}"),
            term=recovered.term,
            voted_for=recovered.voted_for,
            log=raft_log.RaftLog(
                snapshot=recovered.snapshot,
                start_index=recovered.start_index,
                start_term=recovered.start_term,
                entries=recovered.entries,
            ),
        )

    def _on_peer(self, data: bytes) -> None:
        try:
            _, message = self._raft_codec.decode(data)
        except envelope.MessageRejected as error:
            _LOG.warning("control: rejected a message from a peer: %s", error)
            return
        # Blocks while the queue is full, which slows the sender down.
        self._queue.put(message)

    def _on_rpc(self, data: bytes) -> bytes | None:
        try:
            _, request = self._rpc_codec.decode(data)
        except envelope.MessageRejected as error:
            _LOG.warning("control: rejected a request: %s", error)
            return None
        reply = self.call(
            request,  # type: ignore[arg-type]
            timeout_s=RPC_CALL_TIMEOUT_S,
        )
        if isinstance(reply, events.Unavailable):
            reply = control_messages.NotLeader("")
        return self._rpc_codec.encode(reply)

    def _run(self) -> None:
        try:
            self._run_batches()
        except durable_files.StorageFailed as failure:
            if failure.is_full:
                self._wait_for_room(failure)
            self._fail(str(failure))
        except Exception as error:
            _LOG.exception("control: unexpected error in the reducer thread")
            self._fail(f"defect: {error!r}")

    def _run_batches(self) -> None:
        next_tick = time.monotonic()
        while not self._stopping.is_set():
            batch = list(self._next_batch(next_tick))
            is_tick_due = time.monotonic() >= next_tick
            if is_tick_due:
                late_s = time.monotonic() - next_tick
                self._execute(self._timing_log.note_tick(round(late_s * 1_000)))
                next_tick = time.monotonic() + TICK_S
            effects = (
                effect
                for event in self._to_events(batch, is_tick_due=is_tick_due)
                for effect in reducer.reduce(self._control, event)
            )
            self._execute(effects)
            self._execute(
                self._timing_log.note_lease(
                    self._control.raft, clock.monotonic_ms()
                )
            )
            self._connect_members()
            self._reconnect_peers()
            self._log_leader_change()

    def _wait_for_room(self, failure: durable_files.StorageFailed) -> None:
        """Wait until the disk has room or fails, or the replica is stopped.

        A replica that ended at once could not start before. Calls are answered
        meanwhile, and messages of other replicas are dropped.
        """
        reason = str(failure)
        _LOG.error("control: replica waits for room: %s", reason)
        self._refuse_calls(reason)
        since_ms = clock.monotonic_ms()
        while not self._stopping.wait(ROOM_CHECK_INTERVAL_S):
            with contextlib.suppress(queue.Empty):
                while True:
                    self._queue.get_nowait()
            try:
                durable_files.check_room(self._folder)
            except durable_files.StorageFailed as error:
                reason = str(error)
                if error.is_full:
                    continue
            break
        _LOG.info(
            "control: replica waited %d ms for room, last error: %s",
            clock.monotonic_ms() - since_ms,
            reason,
        )

    def _log_leader_change(self) -> None:
        """Log the leader and term when either has changed."""
        replica = self._control.raft
        if self._logged_leader == (replica.leader, replica.term):
            return
        self._logged_leader = (replica.leader, replica.term)
        _LOG.info(
            "control: leader %s in term %d, last message of a leader %d ms ago",
            replica.leader or "unknown",
            replica.term,
            clock.monotonic_ms() - replica.leader_contact_ms,
        )

    def _reconnect_peers(self) -> None:
        """Reconnect to peers that are disconnected or unresponsive."""
        now_ms = clock.monotonic_ms()
        if now_ms - self._reconnected_ms >= link_health.RECONNECT_INTERVAL_MS:
            self._reconnected_ms = now_ms
            for peer in self._peer_connections.disconnected_peers:
                self._peer_connections.reconnect(peer)
        if now_ms - self._links_checked_ms < link_health.LINK_TIMEOUT_MS:
            return
        self._links_checked_ms = now_ms
        for peer in link_health.peers_to_reconnect(self._control.raft, now_ms):
            self._peer_connections.reconnect(peer)

    def _fail(self, reason: str) -> None:
        _LOG.error("control: replica stopped: %s", reason)
        self._refuse_calls(reason)
        self._on_failure()

    def _refuse_calls(self, reason: str) -> None:
        """Answer every call from now on with `Unavailable`."""
        self._failure = self._failure or reason
        for future in list(self._future_by_call.values()):
            if not future.done():
                future.set_result(events.Unavailable(reason))

    def _next_batch(self, deadline_s: float) -> Iterator[_QueuedEvent]:
        """Yield queued events; wait for the first until `deadline_s`."""
        with contextlib.suppress(queue.Empty):
            yield self._queue.get(
                timeout=max(0.0, deadline_s - time.monotonic())
            )
            for _ in range(MAX_BATCH_EVENTS):
                yield self._queue.get_nowait()

    def _to_events(
        self,
        batch: Iterable[_QueuedEvent],
        *,
        is_tick_due: bool,
    ) -> Iterator[events.Event]:
        """Yield events, each with the time when it is reduced.

        The time of arrival would be wrong: if the process was paused since, a
        leader would act on a lease that has run out.
        """
        if is_tick_due:
            yield events.Ticked(clock.monotonic_ms(), clock.wall_ms())
        for queued in batch:
            match queued:
                case _Call(call_id, request):
                    yield events.CallReceived(
                        call_id, request, clock.monotonic_ms(), clock.wall_ms()
                    )
                case _Upstreams(upstreams):
                    yield events.UpstreamsRead(
                        upstreams, clock.monotonic_ms(), clock.wall_ms()
                    )
                case _VmList(vm_by_name):
                    yield events.VmListRead(vm_by_name, clock.monotonic_ms())
                case _LogProgress():
                    pass
                case message:
                    yield events.PeerMessageReceived(
                        message, clock.monotonic_ms(), clock.wall_ms()
                    )
        synced = self._writer.synced
        if synced > self._synced:
            self._synced = synced
            yield events.LogSynced(synced, clock.monotonic_ms())
        yield events.BatchEnded(clock.monotonic_ms())

    def _connect_members(self) -> None:
        """Connect to the members if the membership has changed."""
        members = self._control.raft.members
        if members is self._connected_members and members:
            return
        self._connected_members = members
        address_by_member = {
            m.replica: m.peer_address for m in members if m.peer_address
        }
        addresses = address_by_member or self._configured_peers
        own = self._control.raft.replica
        if not self._control.raft.accepts_identity(
            own, self._control.raft.identity
        ):
            _LOG.error(
                "control: replica %s runs on another data folder than the one "
                "recorded in the cluster, add it under a new name",
                own,
            )
        self._peer_connections.set_peers(
            {p: a for p, a in addresses.items() if p != own}
        )

    def _wake(self) -> None:
        """Let the state thread look at the log's writer. Thread-safe."""
        # A full queue keeps it awake.
        with contextlib.suppress(queue.Full):
            self._queue.put_nowait(_LogProgress())

    def _note_sync(self, took_ms: int, writes: int) -> None:
        for note in self._timing_log.note_sync(took_ms=took_ms, writes=writes):
            self._execute_now(note)

    def _execute(self, effects: Iterable[events.Effect]) -> None:
        """Execute all effects; those of the log go to its writer."""
        durable: list[log_writer.DurableEffect] = []
        for effect in effects:
            match effect:
                case (
                    raft.SaveHardState()
                    | raft.AppendLog()
                    | raft.TruncateLog()
                    | raft.ResetLog()
                    | raft.SaveSnapshot()
                ):
                    durable.append(effect)
                case _:
                    self._execute_now(effect)
        if durable:
            self._writer.write(durable, self._control.raft.writes.requested)

    def _execute_now(self, effect: _ImmediateEffect) -> None:
        match effect:
            case raft.SendPeer(peer, message) | events.SendLivenessSummary(
                peer, message
            ):
                data = self._raft_codec.encode(message)
                self._peer_connections.send(peer=peer, message=data)
            case events.Note(decision, inputs):
                self._metrics.count(decision)
                self._on_decision(decision, inputs)
            case events.Answer(call_id, reply):
                self._metrics.count(f"answered.{type(reply).__name__}")
                future = self._future_by_call.get(call_id)
                if future is not None and not future.done():
                    future.set_result(reply)


def _log_decision(decision: str, inputs: dict[str, object]) -> None:
    _LOG.info("control: %s %s", decision, inputs)
