"""Measure bytes, processor time and memory of control-plane operations.

A slope is the cost that one more unit adds, such as a renewal or a runner.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import gc
import queue
import random
import time
import tracemalloc
from typing import final

import msgspec
from support import instant_disk

from tools.capacity import fixtures
from wisteriawall.config import document
from wisteriawall.config import patch
from wisteriawall.control import commands
from wisteriawall.control import events
from wisteriawall.control import raft
from wisteriawall.control import replica_state
from wisteriawall.demo import cluster
from wisteriawall.entry import events as entry_events
from wisteriawall.entry import reducer as entry_reducer
from wisteriawall.entry import state as entry_state
from wisteriawall.wire import control_messages
from wisteriawall.wire import envelope
from wisteriawall.wire import fleet
from wisteriawall.wire import raft_messages
from wisteriawall.wire import transport

__all__ = ["Slope", "measure"]

KEY = b"capacity" * 4
SENDER = envelope.Sender("agent/runner-1000", 1_700_000_000_000_000_000)
NOW_MS = 3_000
REPEATS = 2_000
RUNNER_COUNT = 1_600
ACCOUNT_COUNT = 280
SERVICE_COUNT = 9
CANDIDATE_COUNT = 32
PROBE_TIMEOUT_S = 0.05
RECEIVE_TIMEOUT_S = 1.0
NS_PER_US = 1_000


@final
class Slope(msgspec.Struct, frozen=True):
    """Cost of one unit of `each`; `source` says how it was measured."""

    name: str
    value: float
    unit: str
    each: str
    source: str


def measure() -> Iterator[Slope]:
    """Measure and yield every slope, in this process."""
    config = fixtures.make_document(
        runners=RUNNER_COUNT, accounts=ACCOUNT_COUNT, services=SERVICE_COUNT
    )
    control = fixtures.configured_control(config)
    yield from _measure_renewal(control)
    yield from _measure_load_report()
    yield from _measure_configuration(config)
    yield from _measure_claim()
    yield from _measure_route(control.ledger.config)
    yield from _measure_append()
    yield from _measure_transport()
    yield from _measure_memory()


def _cpu_us(operation: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the processor time of one call in us, after a warm-up."""
    for _ in range(repeats // 10 + 1):
        operation()
    start_ns = time.process_time_ns()
    for _ in range(repeats):
        operation()
    spent_ns = time.process_time_ns() - start_ns
    return spent_ns / repeats / NS_PER_US


def _codec(message_type: object) -> envelope.Codec[msgspec.Struct]:
    return envelope.Codec(message_type=message_type, key=KEY, sender=SENDER)


def _renew(
    config_number: int, fleet_version: int
) -> control_messages.RenewRequest:
    return control_messages.RenewRequest(
        process="agent/runner-1000",
        incarnation=SENDER.incarnation,
        kind=control_messages.ProcessKind.AGENT,
        config_number=config_number,
        fleet_version=fleet_version,
        runner="runner-1000",
        demand=[],
    )


def _measure_renewal(control: replica_state.ReplicaState) -> Iterator[Slope]:
    requests = _codec(control_messages.ControlRequest)
    replies = _codec(control_messages.ControlReply)
    ledger = control.ledger
    renew = _renew(ledger.config.number, ledger.fleet_version)
    encoded_request = requests.encode(renew)

    def serve_renewal() -> bytes:
        _, message = requests.decode(encoded_request)
        assert isinstance(message, control_messages.RenewRequest)
        call = events.CallReceived(1, message, NOW_MS, NOW_MS)
        [answer] = list(instant_disk.reduce(control, call))
        assert isinstance(answer, events.Answer)
        assert isinstance(answer.reply, control_messages.Grant)
        return replies.encode(answer.reply)

    encoded_grant = serve_renewal()

    def renew_lease() -> None:
        requests.encode(renew)
        replies.decode(encoded_grant)

    source = "Renew and Grant, nothing changed"
    yield Slope(
        "renewal asked", len(encoded_request), "bytes", "renewal", source
    )
    yield Slope(
        "renewal granted", len(encoded_grant), "bytes", "renewal", source
    )
    yield Slope(
        "renewal at replica", _cpu_us(serve_renewal), "us", "renewal", source
    )
    yield Slope(
        "renewal at process", _cpu_us(renew_lease), "us", "renewal", source
    )


def _measure_load_report() -> Iterator[Slope]:
    codec = _codec(fleet.LoadReport)
    report = fleet.LoadReport("runner-1000", SENDER.incarnation, 9, 7, 5, 3)
    data = codec.encode(report)
    entry = entry_state.EntryState(zone="zone-1")

    def apply_report() -> None:
        _, message = codec.decode(data)
        assert isinstance(message, fleet.LoadReport)
        list(
            entry_reducer.reduce(
                entry, entry_events.LoadReportReceived(message, NOW_MS)
            )
        )

    source = "LoadReport on the feed"
    yield Slope("load report", len(data), "bytes", "report", source)
    yield Slope(
        "load report at entry", _cpu_us(apply_report), "us", "report", source
    )
    yield Slope(
        "load report at agent",
        _cpu_us(lambda: codec.encode(report)),
        "us",
        "report",
        source,
    )


def _measure_configuration(config: document.Document) -> Iterator[Slope]:
    encoded = msgspec.msgpack.encode(config)
    change = msgspec.json.encode({"runners": {"runner-7": {"role": "decode"}}})
    apply_us = _cpu_us(
        lambda: patch.apply_patch(current=config, change=change), repeats=20
    )
    source = f"document of {RUNNER_COUNT} runners, {ACCOUNT_COUNT} accounts"
    yield Slope("whole configuration", len(encoded), "bytes", "copy", source)
    yield Slope("role patch", len(change), "bytes", "patch", source)
    yield Slope("patch applied", apply_us, "us", "patch", source)


def _measure_claim() -> Iterator[Slope]:
    control = fixtures.single_replica()
    numbers = iter(range(1_000_000))

    def claim() -> None:
        number = next(numbers)
        request = control_messages.ClaimRequest(
            account="account-1",
            service="service-1",
            key=f"key-{number}",
            digest="d" * 64,
            request_id=f"{number:032x}",
            entry="entry-1",
            incarnation=SENDER.incarnation,
        )
        call = events.CallReceived(number, request, NOW_MS, NOW_MS)
        effects = list(instant_disk.reduce(control, call))
        assert isinstance(effects[-1], events.Answer)

    yield Slope(
        "claim at leader",
        _cpu_us(claim),
        "us",
        "claim",
        "claim to answer on a lone replica, no disk",
    )
    command = commands.encode(
        commands.GrantClaim(
            "account-1",
            "service-1",
            "key-1",
            "d" * 64,
            "0" * 32,
            "entry-1",
            SENDER.incarnation,
            NOW_MS,
        )
    )
    yield Slope("claim in the log", len(command), "bytes", "claim", "command")


def _measure_route(config: document.Document) -> Iterator[Slope]:
    names = [
        name
        for name, runner in config.runners.items()
        if runner.service == "service-1"
    ][:CANDIDATE_COUNT]
    entry = entry_state.EntryState(zone="zone-1")
    grant = control_messages.Grant(
        age_ms=0,
        config_number=config.number,
        config=config,
        fleet_version=1,
        fleet_view=fleet.FleetView(
            1,
            [
                fleet.RunnerView(name, fleet.RunnerPhase.LIVE, fleet.Role.MIXED)
                for name in names
            ],
        ),
        order=None,
        min_fencing_number=fleet.FENCING_NUMBER_ZERO,
        leader="c1",
    )
    list(entry_reducer.reduce(entry, entry_events.LeaseGranted(grant, NOW_MS)))

    def route() -> None:
        arrived = entry_events.RequestArrived(
            request_id="r",
            account="account-1",
            service="service-1",
            key="",
            digest="",
            prefill_tokens=800,
            decode_tokens=300,
            now_ms=NOW_MS,
        )
        [effect] = list(entry_reducer.reduce(entry, arrived))
        assert isinstance(effect, entry_events.Dispatch)
        list(
            entry_reducer.reduce(
                entry, entry_events.AttemptFinished("r", 1, None, NOW_MS)
            )
        )

    yield Slope(
        "request decided at entry",
        _cpu_us(route),
        "us",
        "request",
        f"arrival, choice among {CANDIDATE_COUNT} runners, end",
    )


def _measure_append() -> Iterator[Slope]:
    codec = _codec(raft_messages.RaftMessage)
    heartbeat = raft_messages.AppendRequest(
        term=9,
        leader="control-1",
        previous_index=1_000_000,
        previous_term=9,
        entries=[],
        commit_index=1_000_000,
        leader_clock_ms=10_000_000,
        follower_clock=raft_messages.ClockReading(1, 10_000_000),
        quorum_age_ms=100,
    )
    data = codec.encode(heartbeat)
    follower = raft.Raft(
        replica="c2", peers=("control-1",), random=random.Random(2)
    )

    def receive() -> None:
        _, message = codec.decode(data)
        assert isinstance(message, raft_messages.AppendRequest)
        list(raft.receive(follower, message, NOW_MS))

    source = "empty AppendRequest"
    yield Slope("heartbeat", len(data), "bytes", "heartbeat", source)
    yield Slope(
        "heartbeat at follower", _cpu_us(receive), "us", "heartbeat", source
    )


def _measure_transport() -> Iterator[Slope]:
    address = cluster.unused_loopback_address()
    server = transport.RpcServer(address=address, handler=lambda data: data)
    client = transport.RpcClient(address=address)
    server.start()
    payload = bytes(106)
    round_trip_us = _cpu_us(lambda: client.call(payload))
    client.close()
    server.close()
    publisher = transport.Publisher(address="127.0.0.1:0")
    received = queue.SimpleQueue[bytes]()
    subscriber = transport.Subscriber(on_message=received.put)
    subscriber.start()
    subscriber.set_publishers({publisher.address})
    _wait_until_connected(publisher, received)

    def publish() -> None:
        publisher.publish(payload)
        received.get(timeout=RECEIVE_TIMEOUT_S)

    message_us = _cpu_us(publish)
    subscriber.close()
    publisher.close()
    source = "pynng on loopback, both ends and their threads together"
    yield Slope("RPC carried", round_trip_us, "us", "round trip", source)
    yield Slope("feed message carried", message_us, "us", "message", source)


def _wait_until_connected(
    publisher: transport.Publisher, received: queue.SimpleQueue[bytes]
) -> None:
    while True:
        publisher.publish(b"probe")
        with contextlib.suppress(queue.Empty):
            received.get(timeout=PROBE_TIMEOUT_S)
            return


def _measure_memory() -> Iterator[Slope]:
    small, large = 160, RUNNER_COUNT
    per_runner = _bytes_per_element(
        lambda n: fixtures.make_document(
            runners=n, accounts=1, services=SERVICE_COUNT
        ),
        small,
        large,
    )
    per_account = _bytes_per_element(
        lambda n: fixtures.make_document(
            runners=SERVICE_COUNT, accounts=n, services=SERVICE_COUNT
        ),
        28,
        2_800,
    )
    source = "tracemalloc, slope between two sizes"
    yield Slope("configured runner", per_runner, "bytes", "runner", source)
    yield Slope("configured account", per_account, "bytes", "account", source)


def _bytes_per_element(
    build: Callable[[int], object], small: int, large: int
) -> float:
    """Return the bytes that one more element adds."""
    return (_allocated_bytes(build, large) - _allocated_bytes(build, small)) / (
        large - small
    )


def _allocated_bytes(build: Callable[[int], object], size: int) -> int:
    gc.collect()
    tracemalloc.start()
    built = build(size)
    gc.collect()
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return allocated
