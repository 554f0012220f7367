"""Hostile clients of an HTTP server, beside ordinary callers.

    PYTHONPATH=testing python -m support.hostile_clients [--gateway] [CASE ...]

runs the cases at full size and prints a table: the in-time share of ordinary
callers before, during and after each, and the server's peak memory and
descriptors. The server is a process of its own, and so are the clients. With
`--gateway` the process has a gateway, a control replica and a runner, otherwise
two servers without them.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import itertools
import pathlib
import random
import selectors
import socket
import subprocess
import sys
import threading
import time
from typing import final

__all__ = ["CASES", "Case", "Result", "Site", "run_case"]

BODY_BYTES = 4_194_304
MEMORY_MB = 160
FILE_DESCRIPTORS = 1_638
IN_TIME_S = 1.0
CALLERS = 4
CALL_INTERVAL_S = 0.02
CALM_S = 2.0
# A server closes what stalls after 4 s.
RECOVERY_S = 5.0
FULL_S = 8.0
RECONNECTS_PER_S = 400
SEND_BYTES = 65_536
BODY = b"b" * 300
# As the stand-in of a runner answers.
ANSWERS = (b"answer to " + BODY, b'{"ready":true}')
LARGE_ANSWER_BYTES = 2_000_000

PROGRAM = """
import sys, threading
from wisteriawall.web import memory_budget
from wisteriawall.web import server as server_lib

def serve(environ, start_response):
    body = server_lib.read_body(environ)
    threading.Event().wait(0.005)
    answer = b"answer to " + body
    if environ["PATH_INFO"] == "/large":
        answer = b"x" * int(sys.argv[3])
    return server_lib.send_response(start_response, status=200, body=answer)

def ready(environ, start_response):
    return server_lib.send_response(
        start_response, status=200, body=b"answer to " + b"b" * 300
    )

memory_budget.return_large_blocks()
memory = memory_budget.for_limits(
    memory_mb=int(sys.argv[1]), file_descriptors=int(sys.argv[2])
)
servers = [
    server_lib.HttpServer(
        address="127.0.0.1:0", app=serve, threads=96, budget=memory
    ),
    server_lib.HttpServer(
        address="127.0.0.1:0", app=ready, threads=2, budget=memory,
        drops_body=True,
    ),
]
for server in servers:
    server.start()
print(*(server.address for server in servers), flush=True)
sys.stdin.read()
"""

GATEWAY_PROGRAM = """
import functools, pathlib, sys, tempfile
from support import platform_site as sites
from wisteriawall.web import memory_budget

memory_budget.return_large_blocks()
# The gateway and the operators' server of the site take the default.
memory_budget.for_limits = functools.partial(
    memory_budget.for_limits,
    memory_mb=int(sys.argv[1]),
    file_descriptors=int(sys.argv[2]),
)
site = sites.Site(pathlib.Path(tempfile.mkdtemp()))
site.add_runner("i-1", "shop")
site.start_serving()
sites.wait_until(lambda: "i-1" in site.gateway.upstream_by_id, "the runner")
print(site.gateway.address, site.gateway.ready_address, flush=True)
sys.stdin.read()
"""

_attempts = itertools.count()


def _head(*fields: str, path: str = "/read/") -> bytes:
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: app.example",
        f"X-Wisteriawall-Attempt-Id: a{next(_attempts)}",
        "X-Wisteriawall-Deadline-Remaining: 3000",
        *fields,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def _repeat(piece: bytes, times: int) -> Iterator[bytes]:
    """Yield a piece repeatedly, joined to larger ones."""
    each = max(1, SEND_BYTES // len(piece))
    for _ in range(times // each):
        yield piece * each
    yield piece * (times % each)


def _whole_body(_: random.Random) -> Iterator[bytes]:
    yield _head(f"Content-Length: {BODY_BYTES}")
    yield from _repeat(b"b", BODY_BYTES)


def _small_pieces(_: random.Random) -> Iterator[bytes]:
    yield _head(f"Content-Length: {BODY_BYTES // 8}")
    yield from itertools.repeat(b"b" * 256, BODY_BYTES // 8 // 256)


def _chunks(piece: bytes, times: int) -> Callable[..., Iterator[bytes]]:
    def pieces(_: random.Random) -> Iterator[bytes]:
        yield _head("Transfer-Encoding: chunked")
        yield from _repeat(piece, times)
        yield b"0\r\n\r\n"

    return pieces


def _one_byte_short(_: random.Random) -> Iterator[bytes]:
    yield _head(f"Content-Length: {BODY_BYTES}")
    yield from _repeat(b"b", BODY_BYTES - 1)


def _chunks_one_byte_short(_: random.Random) -> Iterator[bytes]:
    yield _head("Transfer-Encoding: chunked")
    yield from _repeat(b"1000\r\n%s\r\n" % (b"b" * 4_096), 1_000)
    yield b"0\r\n\r"


def _many_fields(_: random.Random) -> Iterator[bytes]:
    yield _head(*(f"a{i}: 1" for i in range(2_500)))


def _halfway(chance: random.Random) -> Iterator[bytes]:
    request = _head("Content-Length: 100") + b"b" * 100
    yield request[: chance.randrange(1, len(request))]


def _pipelined(_: random.Random) -> Iterator[bytes]:
    yield from _repeat(_head("Content-Length: 0"), 10_000)


def _slow_writer(_: random.Random) -> Iterator[bytes]:
    request = _head("Content-Length: 100000") + b"b" * 100_000
    for index in range(0, len(request), 3):
        yield request[index : index + 3]


def _large_answer(_: random.Random) -> Iterator[bytes]:
    yield _head("Content-Length: 0", path="/large")


def _random_bytes(chance: random.Random) -> Iterator[bytes]:
    yield chance.randbytes(chance.randrange(1, 4_096))


def _nothing(_: random.Random) -> Iterator[bytes]:
    yield from ()


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Case:
    """One kind of hostile client.

    Attributes:
        pieces: Yields what a connection sends.
        connections: Connections open at a time.
        pause_s: Time between two pieces of a connection.
        read_bytes: Bytes read from each connection at a time; 0 reads nothing.
        reconnects: Whether a connection that ended is opened again.
        server: Index of the server's listener.
    """

    pieces: Callable[[random.Random], Iterator[bytes]]
    connections: int
    pause_s: float = 0.0
    read_bytes: int = SEND_BYTES
    reconnects: bool = True
    server: int = 0


CASES = {
    "whole bodies": Case(pieces=_whole_body, connections=120),
    "bodies in pieces of 256 bytes": Case(
        pieces=_small_pieces, connections=120
    ),
    "chunks with extensions": Case(
        pieces=_chunks(b"4;a=b;c=d\r\nbody\r\n", 150_000), connections=60
    ),
    "chunks of one byte": Case(
        pieces=_chunks(b"1\r\nb\r\n", 690_000), connections=60
    ),
    "chunks of one byte, readiness": Case(
        pieces=_chunks(b"1\r\nb\r\n", 690_000), connections=30, server=1
    ),
    "one byte short": Case(pieces=_one_byte_short, connections=500),
    "one byte short, chunks": Case(
        pieces=_chunks_one_byte_short, connections=500
    ),
    "one byte short, readiness": Case(
        pieces=_one_byte_short, connections=500, server=1
    ),
    "body of 1 GB announced": Case(
        pieces=lambda _: iter([_head("Content-Length: 1000000000")]),
        connections=200,
    ),
    "chunks without end": Case(
        pieces=_chunks(b"1000\r\n%s\r\n" % (b"b" * 4_096), 1_000_000),
        connections=120,
    ),
    "2,500 fields": Case(pieces=_many_fields, connections=400),
    "10,000 pipelined requests, unread": Case(
        pieces=_pipelined, connections=20, read_bytes=0
    ),
    "few bytes a second sent": Case(
        pieces=_slow_writer, connections=800, pause_s=0.5
    ),
    "answers of 2 MB, few bytes a second read": Case(
        pieces=_large_answer, connections=300, read_bytes=10, pause_s=0.5
    ),
    "stopped halfway": Case(pieces=_halfway, connections=800),
    "stopped halfway, readiness": Case(
        pieces=_halfway, connections=800, server=1
    ),
    "random bytes": Case(pieces=_random_bytes, connections=200),
    "unused connections": Case(pieces=_nothing, connections=3_000),
}


@final
class _Attacker:
    """Connections of one case, in one thread of the attacking process."""

    def __init__(self, case: Case, address: str, connections: int) -> None:
        host, _, port = address.rpartition(":")
        self._address = host, int(port)
        self._case = case
        self._connections = connections
        self._chance = random.Random(1)
        self._open: dict[socket.socket, Iterator[bytes]] = {}
        self._rest: dict[socket.socket, bytes] = {}
        self._due_s: dict[socket.socket, float] = {}
        self._opened = 0
        self._selector = selectors.DefaultSelector()

    def run(self, seconds: float) -> None:
        """Keep the connections open for a while."""
        start_s = time.monotonic()
        while (elapsed_s := time.monotonic() - start_s) < seconds:
            allowed = self._connections
            if self._case.reconnects:
                allowed += int(elapsed_s * RECONNECTS_PER_S)
            while (
                len(self._open) < self._connections and self._opened < allowed
            ):
                self._connect()
            for key, events in self._selector.select(0.02):
                self._step(key.fileobj, events)  # type: ignore[arg-type]
            self._wake_paused()

    def _connect(self) -> None:
        self._opened += 1
        connection = socket.socket()
        connection.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            connection.connect(self._address)
        self._open[connection] = self._case.pieces(self._chance)
        self._rest[connection] = b""
        self._selector.register(connection, self._read_event() | 2)

    def _read_event(self) -> int:
        return selectors.EVENT_READ if self._case.read_bytes else 0

    def _step(self, connection: socket.socket, events: int) -> None:
        try:
            if events & selectors.EVENT_READ and not connection.recv(
                self._case.read_bytes
            ):
                raise ConnectionError("ended")
            if events & selectors.EVENT_WRITE:
                self._send(connection)
        except BlockingIOError:
            return
        except OSError:
            self._selector.unregister(connection)
            del self._open[connection], self._rest[connection]
            self._due_s.pop(connection, None)
            connection.close()
            return
        if self._case.pause_s:
            self._due_s[connection] = time.monotonic() + self._case.pause_s
            self._selector.unregister(connection)

    def _send(self, connection: socket.socket) -> None:
        data = self._rest[connection] or next(self._open[connection], b"")
        if not data:
            if self._read_event() and not self._case.pause_s:
                self._selector.modify(connection, selectors.EVENT_READ)
            return
        self._rest[connection] = data
        count = connection.send(data)
        self._rest[connection] = data[count:]

    def _wake_paused(self) -> None:
        now_s = time.monotonic()
        for connection, due_s in list(self._due_s.items()):
            if due_s <= now_s:
                del self._due_s[connection]
                self._selector.register(connection, self._read_event() | 2)


@final
class OrdinaryCallers:
    """Callers with small requests on kept connections."""

    def __init__(self, address: str, callers: int = CALLERS) -> None:
        """Start the callers."""
        host, _, port = address.rpartition(":")
        self._address = host, int(port)
        self._ended = threading.Event()
        self._durations: list[tuple[float, float]] = []
        self._threads = [
            threading.Thread(target=self._call_repeatedly, daemon=True)
            for _ in range(callers)
        ]
        for thread in self._threads:
            thread.start()

    def in_time(self, since_s: float, until_s: float) -> float:
        """Return the share of the calls begun in a time that was in time."""
        calls = [
            duration_s
            for begun_s, duration_s in self._durations
            if since_s <= begun_s < until_s
        ]
        good = sum(duration_s <= IN_TIME_S for duration_s in calls)
        return good / len(calls) if calls else 0.0

    def close(self) -> None:
        """Stop the callers."""
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def _call_repeatedly(self) -> None:
        connection: socket.socket | None = None
        while not self._ended.wait(CALL_INTERVAL_S):
            begun_s = time.monotonic()
            try:
                if connection is None:
                    connection = socket.create_connection(
                        self._address, IN_TIME_S
                    )
                self._call(connection)
                duration_s = time.monotonic() - begun_s
            except OSError:
                duration_s = float("inf")
                if connection is not None:
                    connection.close()
                connection = None
            self._durations.append((begun_s, duration_s))

    def _call(self, connection: socket.socket) -> None:
        connection.settimeout(IN_TIME_S)
        connection.sendall(_head(f"Content-Length: {len(BODY)}") + BODY)
        data = b""
        while not data.endswith(ANSWERS):
            piece = connection.recv(SEND_BYTES)
            data += piece
            if not piece or not data.startswith(b"HTTP/1.1 200"):
                raise ConnectionError("refused")
        if b"Connection: close" in data:
            raise ConnectionError("closing")


@final
class Site:
    """The server in a process of its own."""

    def __init__(
        self,
        *,
        memory_mb: int = MEMORY_MB,
        file_descriptors: int = FILE_DESCRIPTORS,
        program: str = PROGRAM,
    ) -> None:
        """Start the server."""
        command: list[str] = [
            sys.executable,
            "-c",
            program,
            str(memory_mb),
            str(file_descriptors),
            str(LARGE_ANSWER_BYTES),
        ]
        self.process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        assert self.process.stdout is not None
        self.addresses = self.process.stdout.readline().split()

    @property
    def peak_mb(self) -> float:
        """Return the largest resident memory so far."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        (line,) = (x for x in status.splitlines() if x.startswith("VmHWM"))
        return int(line.split()[1]) * 1_024 / 1e6

    @property
    def descriptors(self) -> int:
        """Return how many descriptors are open."""
        return len(list(pathlib.Path(f"/proc/{self.process.pid}/fd").iterdir()))

    def close(self) -> None:
        """End the server."""
        assert self.process.stdin is not None
        self.process.stdin.close()
        self.process.kill()
        self.process.wait()


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Result:
    """In-time shares of ordinary callers, and the server's peaks."""

    before: float
    during: float
    after: float
    peak_mb: float
    descriptors: int
    is_alive: bool


def run_case(
    name: str,
    *,
    connections: int,
    seconds: float,
    calm_s: float = CALM_S,
    program: str = PROGRAM,
) -> Result:
    """Run one case against a server of its own."""
    site = Site(program=program)
    address = site.addresses[CASES[name].server]
    callers = OrdinaryCallers(address)
    try:
        start_s = time.monotonic()
        time.sleep(calm_s)
        attack_s = time.monotonic()
        command = [sys.executable, "-m", "support.hostile_clients", "attack"]
        attack = subprocess.Popen(
            [*command, name, address, str(connections), str(seconds)],
            cwd=pathlib.Path(__file__).parents[1],
        )
        descriptors = 0
        while attack.poll() is None:
            descriptors = max(descriptors, site.descriptors)
            time.sleep(0.1)
        end_s = time.monotonic()
        time.sleep(RECOVERY_S if calm_s >= CALM_S else calm_s)
        recovered_s = time.monotonic()
        time.sleep(calm_s)
        until_s = time.monotonic() - IN_TIME_S
        return Result(
            before=callers.in_time(start_s, attack_s),
            during=callers.in_time(attack_s, end_s),
            after=callers.in_time(min(recovered_s, until_s), until_s + 1),
            peak_mb=site.peak_mb,
            descriptors=descriptors,
            is_alive=site.process.poll() is None,
        )
    finally:
        callers.close()
        site.close()


def _attack(arguments: list[str]) -> None:
    name, address, connections, seconds = arguments
    _Attacker(CASES[name], address, int(connections)).run(float(seconds))


def _print_table(names: list[str], program: str) -> None:
    print("| case | connections | before | during | after | MB | descriptors |")
    print("|---|---|---|---|---|---|---|")
    for name in names or CASES:
        case = CASES[name]
        result = run_case(
            name,
            connections=case.connections,
            seconds=FULL_S,
            program=program,
        )
        shares = (result.before, result.during, result.after)
        print(
            f"| {name} | {case.connections:,} |",
            *(f"{share:.3f} |" for share in shares),
            f"{result.peak_mb:.0f} | {result.descriptors:,} |",
            "" if result.is_alive else "ended",
            flush=True,
        )


if __name__ == "__main__":
    if sys.argv[1:2] == ["attack"]:
        _attack(sys.argv[2:])
    else:
        names = [name for name in sys.argv[1:] if name != "--gateway"]
        is_gateway = "--gateway" in sys.argv
        _print_table(names, GATEWAY_PROGRAM if is_gateway else PROGRAM)
