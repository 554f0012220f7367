"""Measure bytes, processor time and memory of each control-plane message."""

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

from tools.capacity import fixtures
from wisteriawall.config import document
from wisteriawall.config import patch
from wisteriawall.control import commands
from wisteriawall.control import events
from wisteriawall.control import raft
from wisteriawall.control import reducer
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
RUNNERS = 1_600
ACCOUNTS = 280
SERVICES = 9
SUBSET_RUNNERS = 32
PROBE_TIMEOUT_S = 0.05
HEARD_TIMEOUT_S = 1.0
NANOSECONDS_PER_MICROSECOND = 1_000


@final
class Slope(msgspec.Struct, frozen=True):
    """One measured figure: its value for one unit of `each`."""

    name: str
    value: float
    unit: str
    each: str
    source: str


def measure() -> Iterator[Slope]:
    """Yield every slope, measured now in this process."""
    config = fixtures.make_document(
        runners=RUNNERS, accounts=ACCOUNTS, services=SERVICES
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


def _cpu_us(act: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return processor microseconds of one call, after a warm-up."""
    for _ in range(repeats // 10 + 1):
        act()
    begin = time.process_time_ns()
    for _ in range(repeats):
        act()
    spent = time.process_time_ns() - begin
    return spent / repeats / NANOSECONDS_PER_MICROSECOND


def _codec(message_type: object) -> envelope.Codec[msgspec.Struct]:
    return envelope.Codec(message_type=message_type, key=KEY, sender=SENDER)


def _renew(config_number: int, fleet_version: int) -> control_messages.Renew:
    return control_messages.Renew(
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
    book = control.ledger
    renew = _renew(book.config.number, book.fleet_version)
    asked = requests.encode(renew)

    def serve() -> bytes:
        _, message = requests.decode(asked)
        assert isinstance(message, control_messages.Renew)
        call = events.CallReceived(1, message, NOW_MS, NOW_MS)
        [answer] = list(reducer.reduce(control, call))
        assert isinstance(answer, events.Answer)
        assert isinstance(answer.reply, control_messages.Grant)
        return replies.encode(answer.reply)

    granted = serve()

    def ask() -> None:
        requests.encode(renew)
        replies.decode(granted)

    source = "Renew and Grant, nothing changed"
    yield Slope("renewal asked", len(asked), "bytes", "renewal", source)
    yield Slope("renewal granted", len(granted), "bytes", "renewal", source)
    yield Slope("renewal at replica", _cpu_us(serve), "us", "renewal", source)
    yield Slope("renewal at process", _cpu_us(ask), "us", "renewal", source)


def _measure_load_report() -> Iterator[Slope]:
    codec = _codec(fleet.LoadReport)
    report = fleet.LoadReport("runner-1000", SENDER.incarnation, 9, 7, 5, 3)
    data = codec.encode(report)
    entry = entry_state.Entry(zone="zone-1")

    def hear() -> None:
        _, message = codec.decode(data)
        assert isinstance(message, fleet.LoadReport)
        list(
            entry_reducer.reduce(
                entry, entry_events.LoadReported(message, NOW_MS)
            )
        )

    source = "LoadReport on the feed"
    yield Slope("load report", len(data), "bytes", "report", source)
    yield Slope("load report at entry", _cpu_us(hear), "us", "report", source)
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
    source = f"document of {RUNNERS} runners, {ACCOUNTS} accounts"
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
        effects = list(reducer.reduce(control, call))
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
    ][:SUBSET_RUNNERS]
    entry = entry_state.Entry(zone="zone-1")
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
        floor=fleet.FENCE_ZERO,
        leader="c1",
    )
    list(entry_reducer.reduce(entry, entry_events.Granted(grant, NOW_MS)))

    def route() -> None:
        arrived = entry_events.Arrived(
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
                entry, entry_events.Finished("r", 1, None, NOW_MS)
            )
        )

    yield Slope(
        "request decided at entry",
        _cpu_us(route),
        "us",
        "request",
        f"arrival, choice among {SUBSET_RUNNERS} runners, end",
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
        round_ms=10_000_000,
        echo=raft_messages.Echo(1, 10_000_000),
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
    address = cluster.free_address()
    server = transport.RpcServer(address=address, handler=lambda data: data)
    client = transport.RpcClient(address=address)
    server.start()
    payload = bytes(106)
    both_us = _cpu_us(lambda: client.call(payload))
    client.close()
    server.close()
    publisher = transport.Publisher(address="127.0.0.1:0")
    heard = queue.SimpleQueue[bytes]()
    subscriber = transport.Subscriber(receive=heard.put)
    subscriber.start()
    subscriber.follow({publisher.address})
    _await_link(publisher, heard)

    def publish() -> None:
        publisher.publish(payload)
        heard.get(timeout=HEARD_TIMEOUT_S)

    feed_us = _cpu_us(publish)
    subscriber.close()
    publisher.close()
    source = "pynng on loopback, both ends and their threads together"
    yield Slope("RPC carried", both_us, "us", "round trip", source)
    yield Slope("feed message carried", feed_us, "us", "message", source)


def _await_link(
    publisher: transport.Publisher, heard: queue.SimpleQueue[bytes]
) -> None:
    while True:
        publisher.publish(b"probe")
        with contextlib.suppress(queue.Empty):
            heard.get(timeout=PROBE_TIMEOUT_S)
            return


def _measure_memory() -> Iterator[Slope]:
    few, many = 160, RUNNERS
    per_runner = _growth(
        lambda n: fixtures.make_document(
            runners=n, accounts=1, services=SERVICES
        ),
        few,
        many,
    )
    per_account = _growth(
        lambda n: fixtures.make_document(
            runners=SERVICES, accounts=n, services=SERVICES
        ),
        28,
        2_800,
    )
    source = "tracemalloc, slope between two sizes"
    yield Slope("configured runner", per_runner, "bytes", "runner", source)
    yield Slope("configured account", per_account, "bytes", "account", source)


def _growth(make: Callable[[int], object], few: int, many: int) -> float:
    """Return bytes held for one more element."""
    return (_held_bytes(make, many) - _held_bytes(make, few)) / (many - few)


def _held_bytes(make: Callable[[int], object], size: int) -> int:
    gc.collect()
    tracemalloc.start()
    kept = make(size)
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return held
