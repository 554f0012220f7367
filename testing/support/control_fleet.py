"""Machines with control replicas that join by themselves, in virtual time.

The reducers of the replicas are the real ones; network, disks, clocks and the
start of processes are simulated. A machine that starts with an empty disk asks
for membership under a new name, as the program does.
"""

from collections.abc import Iterable
import dataclasses
import random

from testing.control import raft_cluster

from support import instant_disk
from wisteriawall.config import route_table
from wisteriawall.control import events
from wisteriawall.control import joining
from wisteriawall.control import outcomes
from wisteriawall.control import raft
from wisteriawall.control import replica_state
from wisteriawall.control import snapshot as snapshot_lib
from wisteriawall.wire import control_messages
from wisteriawall.wire import gateway_messages
from wisteriawall.wire import raft_messages

STEP_MS = 5
TICK_MS = 20
LONGEST_DELAY_MS = 3
# From the start of a process to the start of its replica.
PROCESS_START_MS = 1_500
JOIN_INTERVAL_MS = round(joining.REQUEST_INTERVAL_S * 1_000)
OPERATOR_INTERVAL_MS = 100
# Followers confirm a read with the next heartbeat but one.
CALL_TIMEOUT_MS = 400


@dataclasses.dataclass(kw_only=True)
class Machine:
    """One machine with its disk and, while it runs, its replica.

    Attributes:
        offset_ms: Its monotonic clock minus the fleet's virtual time.
        starts_ms: Virtual time when its replica starts, None while it is down.
        asks_ms: Virtual time of its next request to join.
    """

    host: str
    replica: str
    disk: raft_cluster.Disk
    offset_ms: int
    control: replica_state.ReplicaState | None = None
    starts_ms: int | None = None
    asks_ms: int = 0
    is_frozen: bool = False

    @property
    def member(self) -> raft_messages.Member:
        """Return the replica as a member of the cluster."""
        return raft_messages.Member(
            self.replica, f"{self.host}:1", f"{self.host}:2", f"{self.host}:3"
        )


class ControlFleet:
    """Machines of one deployment, of which some may be lost at once."""

    def __init__(
        self, hosts: Iterable[str], *, tolerated_losses: int, seed: int
    ) -> None:
        """Found a cluster of all `hosts`."""
        self.now_ms = 100_000
        self.random = random.Random(seed)
        self.tolerated_losses = tolerated_losses
        self.machine_by_host: dict[str, Machine] = {}
        self.cut_off: set[str] = set()
        # Added to the delay of each message between replicas.
        self.extra_delay_ms = 0
        self._in_flight: list[tuple[int, int, str, object]] = []
        self._count = 0
        self._call_ids = 0
        self._reply_by_call: dict[int, events.Reply] = {}
        for host in hosts:
            self._add(host, host)
        founders = tuple(m.member for m in self.machines)
        for machine in self.machines:
            machine.disk.is_founder = True
            machine.disk.snapshot = raft_messages.Snapshot(0, 0, founders, b"")
            machine.starts_ms = self.now_ms

    @property
    def machines(self) -> list[Machine]:
        """Return all machines that have not been removed for good."""
        return list(self.machine_by_host.values())

    def add(self, host: str) -> None:
        """Start a new machine with an empty disk."""
        machine = self._add(host, self._new_name(host))
        machine.starts_ms = self.now_ms + PROCESS_START_MS

    def remove(self, host: str) -> None:
        """Remove a machine for good, without a signal to its process."""
        del self.machine_by_host[host]

    def wipe(self, host: str, *, down_ms: int) -> None:
        """Let a machine lose its disk, and start again after `down_ms`."""
        self.remove(host)
        self.add(host)
        starts_ms = self.now_ms + down_ms + PROCESS_START_MS
        self.machine_by_host[host].starts_ms = starts_ms

    def restart(self, host: str, *, down_ms: int) -> None:
        """Kill a machine's process; it starts again from its disk."""
        machine = self.machine_by_host[host]
        machine.control = None
        machine.starts_ms = self.now_ms + down_ms + PROCESS_START_MS

    def freeze(self, *hosts: str) -> None:
        """Suspend the processes of these machines."""
        for host in hosts:
            self.machine_by_host[host].is_frozen = True

    def wake(self, host: str) -> None:
        """Let a suspended process go on."""
        self.machine_by_host[host].is_frozen = False

    def run(self, duration_ms: int) -> None:
        """Advance virtual time."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            for machine in self.machines:
                self._step(machine)

    def leader(self) -> Machine | None:
        """Return the running machine whose replica holds the lease."""
        for machine in self.machines:
            control = machine.control
            if control is None or machine.is_frozen:
                continue
            if control.raft.holds_lease(self._clock(machine)):
                return machine
        return None

    def followers(self) -> list[str]:
        """Return the hosts of all voters that don't lead."""
        leading = self.leader()
        assert leading is not None, "no leader"
        assert leading.control is not None
        voters = leading.control.raft.voters
        return [
            m.host
            for m in self.machines
            if m.replica in voters and m is not leading
        ]

    @property
    def replies(self) -> list[events.Reply]:
        """Return the replies to calls that came after their limit."""
        return [*self._reply_by_call.values()]

    def holds_lease(self, machine: Machine) -> bool:
        """Return whether the machine's replica can prove that it leads."""
        assert machine.control is not None
        return machine.control.raft.holds_lease(self._clock(machine))

    def await_leader(self, limit_ms: int) -> Machine:
        """Run until a replica holds the lease; fail after `limit_ms`."""
        end_ms = self.now_ms + limit_ms
        while (found := self.leader()) is None:
            assert self.now_ms < end_ms, "no leader"
            self.run(STEP_MS)
        return found

    def voters(self) -> list[str]:
        """Return the voters in the leader's log."""
        leading = self.await_leader(5_000)
        assert leading.control is not None
        return leading.control.raft.voters

    def members(self) -> list[str]:
        """Return all members in the leader's log."""
        leading = self.await_leader(5_000)
        assert leading.control is not None
        return [m.replica for m in leading.control.raft.members]

    def publish(self, number: int, *, limit_ms: int) -> str:
        """Publish a table, as an operator that tries all machines in turn.

        Returns:
            The host that acknowledged it.
        """
        table = route_table.RouteTable(number=number, routes=[], services=[])
        request = events.PublishRequest("op", table, b"%d" % number)
        end_ms = self.now_ms + limit_ms
        while self.now_ms < end_ms:
            for machine in self.machines:
                reply = self.call(machine, request)
                if isinstance(reply, events.PublishReply):
                    assert isinstance(reply.outcome, outcomes.TableInForce)
                    return machine.host
            self.run(OPERATOR_INTERVAL_MS)
        raise AssertionError(f"table {number} was not acknowledged")

    def read(self, *, limit_ms: int) -> int:
        """Return the number of the table that any machine reads."""
        end_ms = self.now_ms + limit_ms
        while self.now_ms < end_ms:
            for machine in self.machines:
                reply = self.call(machine, events.TableRequest())
                if isinstance(reply, events.TableReply):
                    return reply.number
            self.run(OPERATOR_INTERVAL_MS)
        raise AssertionError("no table can be read")

    def call(
        self,
        machine: Machine,
        request: events.Request,
        *,
        limit_ms: int = CALL_TIMEOUT_MS,
    ) -> events.Reply | None:
        """Return the reply of one machine within `limit_ms`."""
        self._call_ids += 1
        call_id = self._call_ids
        self._deliver_call(machine, call_id, request)
        end_ms = self.now_ms + limit_ms
        while call_id not in self._reply_by_call and self.now_ms < end_ms:
            self.run(STEP_MS)
        return self._reply_by_call.pop(call_id, None)

    def _add(self, host: str, replica: str) -> Machine:
        self._count += 1
        machine = Machine(
            host=host,
            replica=replica,
            disk=raft_cluster.Disk(
                identity=f"{replica}/{self._count}", is_founder=False
            ),
            offset_ms=self.random.randint(-9_000, 1_000_000),
        )
        self.machine_by_host[host] = machine
        return machine

    def _new_name(self, host: str) -> str:
        return f"{host}-{self._count}"

    def _clock(self, machine: Machine) -> int:
        return self.now_ms + machine.offset_ms

    def _step(self, machine: Machine) -> None:
        if machine.is_frozen:
            return
        if machine.control is None:
            self._start_if_due(machine)
            return
        self._receive(machine)
        if self.now_ms % TICK_MS == 0:
            self._reduce(
                machine, events.Ticked(self._clock(machine), self.now_ms)
            )
        self._reduce(machine, events.BatchEnded(self._clock(machine)))
        self._ask_to_join(machine)

    def _start_if_due(self, machine: Machine) -> None:
        if machine.starts_ms is None or self.now_ms < machine.starts_ms:
            return
        self._count += 1
        log = machine.disk.recover()
        machine.control = replica_state.ReplicaState(
            raft=raft.Raft(
                replica=machine.replica,
                identity=machine.disk.identity,
                is_founder=machine.disk.is_founder,
                incarnation=self._count,
                random=random.Random(f"{machine.replica}/{self._count}"),
                term=machine.disk.term,
                voted_for=machine.disk.voted_for,
                log=log,
            ),
            ledger=snapshot_lib.decode(log.snapshot.data),
            tolerated_losses=self.tolerated_losses,
        )
        machine.asks_ms = self.now_ms + JOIN_INTERVAL_MS

    def _receive(self, machine: Machine) -> None:
        due = sorted(
            (item for item in self._in_flight if self._is_due(machine, item)),
            key=lambda item: item[:2],
        )
        if not due:
            return
        numbers = {item[1] for item in due}
        self._in_flight = [i for i in self._in_flight if i[1] not in numbers]
        for _, _, _, message in due:
            self._reduce(
                machine,
                events.PeerMessageReceived(
                    message,  # type: ignore[arg-type]
                    self._clock(machine),
                    self.now_ms,
                ),
            )

    def _is_due(
        self, machine: Machine, item: tuple[int, int, str, object]
    ) -> bool:
        due_ms, _, target, _ = item
        return target == machine.replica and due_ms <= self.now_ms

    def _ask_to_join(self, machine: Machine) -> None:
        """Ask for membership at the leader, as `joining.ClusterJoiner`."""
        control = machine.control
        if control is None or self.now_ms < machine.asks_ms:
            return
        machine.asks_ms = self.now_ms + JOIN_INTERVAL_MS
        silent_ms = self._clock(machine) - control.raft.leader_contact_ms
        is_member = any(
            m.replica == machine.replica for m in control.raft.members
        )
        contacted = control.raft.role is raft.RaftRole.LEADER or (
            is_member and silent_ms <= joining.LEADER_TIMEOUT_MS
        )
        leading = self.leader()
        if contacted or leading is None or machine.host in self.cut_off:
            return
        member = machine.member
        request = gateway_messages.JoinRequest(
            member.replica,
            member.peer_address,
            member.rpc_address,
            member.admin_address,
        )
        self._call_ids += 1
        self._deliver_call(leading, self._call_ids, request)

    def _deliver_call(
        self, machine: Machine, call_id: int, request: events.Request
    ) -> None:
        if machine.control is None or machine.is_frozen:
            return
        self._reduce(
            machine,
            events.CallReceived(
                call_id, request, self._clock(machine), self.now_ms
            ),
        )

    def _reduce(self, machine: Machine, event: events.Event) -> None:
        """Let a replica handle an event, and write to its disk."""
        control = machine.control
        assert control is not None
        effects = list(instant_disk.reduce(control, event))
        for effect in effects:
            if isinstance(effect, raft_cluster.DURABLE):
                machine.disk.write(effect)
        for effect in effects:
            match effect:
                case raft.SendPeer(peer, message):
                    self._send(machine, peer, message)
                case events.SendLivenessSummary(peer, summary):
                    self._send(machine, peer, summary)
                case events.Answer(call_id, reply):
                    if not isinstance(reply, control_messages.NotLeader):
                        self._reply_by_call[call_id] = reply

    def _send(self, machine: Machine, peer: str, message: object) -> None:
        target = next((m for m in self.machines if m.replica == peer), None)
        if target is None or target.control is None:
            return
        if (machine.host in self.cut_off) != (target.host in self.cut_off):
            return
        self._count += 1
        due_ms = self.now_ms + self.random.randint(1, LONGEST_DELAY_MS)
        due_ms += self.extra_delay_ms
        self._in_flight.append((due_ms, self._count, peer, message))
