"""Callers in threads that record what they sent and what came back."""

import contextlib
import dataclasses
import random
import re
import socket
import threading
import time
from typing import final

from support import platform_site

from soak import accounts
from soak import operators
from soak import records
from soak import schedule
from soak import wire

CONNECT_TIMEOUT_S = 1.0
# Generous, so that the verdict does not depend on the speed of the machine.
DEADLINE_S = 15.0
EVENT_ID = re.compile(rb"id: (\d+)\ndata: [^\n]*\n\n")
THINK_S = (0.0, 0.15)
IDLE_SHARE = 0.03
# Four fifths of the idle time after which a gateway may close a connection.
MAX_IDLE_S = 0.8 * operators.IDLE_MS / 1_000
SLOW_BODY_SHARE = 0.3
MAX_CHUNK_PAUSE_S = 0.5
RECONNECT_PAUSE_S = 0.1
SHORT_PATIENCE_S = 2.0
PROMPT_TOKENS = 9_000
CHUNKED_SHARE = 0.3
EARLY_LEAVER_SHARE = 0.05
# Share of the requests that are broken off before their end.
HALF_SENT_SHARE = 0.02
# Share of the answers that are read in small pieces, and the pause between two.
SLOW_READER_SHARE = 0.1
SLOW_READ_BYTES = 4_000
SLOW_READ_PAUSE_S = 0.05
# Share of the requests that a caller gives up and sends again with the same id,
# though each attempt should have its own, and how much later it closes the
# first connection. Payments are not sent again.
RESENT_SHARE = 0.7
CLOSED_LATE_S = (0.0, 0.3)
PATH_BY_KIND = {
    records.Kind.LOOKUP: "/read/",
    records.Kind.PAYMENT: "/pay/",
    records.Kind.STREAM: "/talk/",
    records.Kind.RESUMABLE: "/resume/",
}
PROBED_PATHS = (
    "/split/",
    *(f"/extra-{number}/" for number in range(schedule.EXTRA_ROUTES)),
)
MOVED_PATHS = tuple(
    f"/moved-{number}/" for number in range(schedule.MOVED_ROUTES)
)
# Share of the probes that go to routes that change their service.
MOVED_SHARE = 0.5
KINDS = tuple(records.Kind)
KIND_WEIGHTS = (3, 4, 2, 2, 1)
# Where changes of the configuration are what is looked at.
PROBING_WEIGHTS = (1, 1, 1, 1, 8)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Habits:
    """How one caller behaves."""

    keeps_connections: bool
    # Longest wait for the next byte of an answer.
    patience_s: float


@final
class Caller:
    """One caller; sends requests one after another until it is stopped.

    Args:
        number: Number of the caller, which its attempt ids contain.
        seed: Seed of its requests.
        address_by_gateway: The gateways that it chooses from.
        seen: Records of its calls.
        weights: Shares of the kinds of requests.
    """

    def __init__(
        self,
        *,
        number: int,
        seed: int,
        address_by_gateway: dict[str, str],
        seen: records.Records,
        weights: tuple[int, ...] = KIND_WEIGHTS,
    ) -> None:
        self._weights = weights
        self._number, self._seed, self._seen = number, seed, seen
        self._address_by_gateway = address_by_gateway
        self._chance = random.Random(f"{seed}/caller/{number}")
        self._habits = Habits(
            keeps_connections=number % 4 != 3,
            patience_s=SHORT_PATIENCE_S if number % 2 else DEADLINE_S,
        )
        self._stopping = threading.Event()
        self._connection: _Connection | None = None
        self._calls = 0
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start to send requests."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the caller to end after its current call."""
        self._stopping.set()

    def join(self, timeout_s: float) -> None:
        """Wait for the end of the current call, then leave it."""
        self._thread.join(timeout_s)
        if self._thread.is_alive() and self._connection is not None:
            self._connection.leave()
            self._thread.join(timeout_s)

    def _run(self) -> None:
        while not self._stopping.wait(self._think_s()):
            call = self._make_call()
            self._send(call)
            if self._is_sent_again(call):
                self._send(_copy(call), gateway=call.gateway)
            elif (event := _last_event(call)) and not self._stopping.is_set():
                self._send(self._take_up(call, event))
        if self._connection is not None:
            self._connection.close()

    def _send(self, call: records.Call, *, gateway: str = "") -> None:
        connection = self._connection or self._connect(gateway)
        if connection is None:
            self._stopping.wait(RECONNECT_PAUSE_S)
            return
        self._connection = connection
        call.gateway = connection.gateway
        call.connection = connection.number
        connection.uses += 1
        call.use = connection.uses
        self._seen.calls.append(call)
        is_open = connection.send(call, self._habits, self._chance)
        if not is_open or not self._habits.keeps_connections:
            self._close()

    def _is_sent_again(self, call: records.Call) -> bool:
        return (
            call.ending is records.Ending.LEFT
            and call.kind is not records.Kind.PAYMENT
            and not self._stopping.is_set()
            and self._chance.random() < RESENT_SHARE
        )

    def _close(self) -> None:
        """Close the connection; one that was left is closed somewhat later."""
        connection, self._connection = self._connection, None
        assert connection is not None
        pause_s = self._chance.uniform(*CLOSED_LATE_S)
        threading.Timer(pause_s, connection.close).start()

    def _take_up(self, call: records.Call, last_event: str) -> records.Call:
        """Return a call that goes on with a stream after its last event."""
        self._calls += 1
        attempt = f"a{self._number:03}x{self._calls:05}"
        return records.Call(
            attempt=attempt,
            kind=call.kind,
            gateway="",
            connection=0,
            use=0,
            method=call.method,
            target=call.target,
            header_by_name={
                **call.header_by_name,
                platform_site.ATTEMPT_ID: attempt,
                "Resumes": call.resumes or call.attempt,
                "Last-Event-Id": last_event,
            },
            body=call.body,
            deadline_s=DEADLINE_S,
            started_s=time.monotonic(),
        )

    def _think_s(self) -> float:
        if self._chance.random() < IDLE_SHARE:
            return self._chance.uniform(0.0, MAX_IDLE_S)
        return self._chance.uniform(*THINK_S)

    def _connect(self, gateway: str = "") -> "_Connection | None":
        name = gateway or self._chance.choice(list(self._address_by_gateway))
        host, _, port = self._address_by_gateway[name].rpartition(":")
        try:
            return _Connection(
                socket.create_connection(
                    (host, int(port)), timeout=CONNECT_TIMEOUT_S
                ),
                name,
                self._seen.next_number(),
            )
        except OSError:
            return None

    def _make_call(self) -> records.Call:
        chance = self._chance
        (kind,) = chance.choices(KINDS, self._weights)
        self._calls += 1
        attempt = f"a{self._number:03}x{self._calls:05}"
        size = chance.choice((0, 20, 500, 20_000))
        is_post = kind not in (records.Kind.LOOKUP, records.Kind.PROBE)
        path = PATH_BY_KIND.get(kind) or chance.choice(PROBED_PATHS)
        # A chance of its own leaves the other draws of a seed as they were.
        moved = random.Random(f"{self._seed}/moved/{attempt}")
        if kind is records.Kind.PROBE and moved.random() < MOVED_SHARE:
            path = moved.choice(MOVED_PATHS)
        header_by_name = {
            "Host": platform_site.HOST,
            platform_site.ATTEMPT_ID: attempt,
            "X-Wisteriawall-Deadline-Remaining": f"{DEADLINE_S * 1_000:.0f}",
        }
        header_by_name |= accounts.draw_headers(
            random.Random(f"{self._seed}/key/{attempt}")
        )
        if kind.is_stream:
            header_by_name |= _prompt_headers(chance, attempt)
        if kind is records.Kind.RESUMABLE and chance.random() < 0.1:
            header_by_name["Last-Event-Id"] = "1"
        return records.Call(
            attempt=attempt,
            kind=kind,
            gateway="",
            connection=0,
            use=0,
            method="POST" if is_post else "GET",
            target=f"{path}{attempt}?q={chance.randrange(99)}",
            header_by_name=header_by_name,
            body=f"{attempt}:{'b' * size}".encode() if is_post else b"",
            deadline_s=DEADLINE_S,
            started_s=time.monotonic(),
        )


def _last_event(call: records.Call) -> str:
    """Return the last event of a stream that broke off, empty if none did."""
    is_broken = call.ending in (records.Ending.RESET, records.Ending.CLOSED)
    if call.kind is not records.Kind.RESUMABLE or not is_broken:
        return ""
    numbers = EVENT_ID.findall(call.answer)
    return numbers[-1].decode() if numbers else ""


def _copy(call: records.Call) -> records.Call:
    """Return a call with the same id; only its target tells it apart."""
    return records.Call(
        attempt=call.attempt,
        kind=call.kind,
        gateway="",
        connection=0,
        use=0,
        method=call.method,
        target=f"{call.target}&again",
        header_by_name=call.header_by_name,
        body=call.body,
        deadline_s=call.deadline_s,
        started_s=time.monotonic(),
    )


def _prompt_headers(chance: random.Random, attempt: str) -> dict[str, str]:
    header_by_name = {
        "X-Wisteriawall-Model": "m",
        "X-Wisteriawall-Token-Counts": f"{PROMPT_TOKENS},20",
        "X-Wisteriawall-Prompt-Prefix": f"{attempt}:{PROMPT_TOKENS}",
    }
    if chance.random() < 0.1:
        # Only the system sets this; a caller's own value has no effect.
        header_by_name["X-Wisteriawall-Kv-Cache-Source"] = "127.0.0.1:1/mine"
    return header_by_name


@final
class _Connection:
    """One connection to a gateway."""

    def __init__(
        self, connection: socket.socket, gateway: str, number: int
    ) -> None:
        self.gateway, self.number = gateway, number
        self.uses = 0
        self._socket = connection
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reader = wire.Reader(self)
        self._patience_s = DEADLINE_S
        self._ends_s = 0.0
        self._reads_slowly = False
        self._has_left = False

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def leave(self) -> None:
        """Leave the current call, from another thread."""
        self._has_left = True
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    def recv(self, size: int) -> bytes:
        """Return the next bytes, within the patience and the deadline."""
        remaining_s = self._ends_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError
        self._socket.settimeout(min(self._patience_s, remaining_s))
        if self._reads_slowly:
            time.sleep(SLOW_READ_PAUSE_S)
            size = min(size, SLOW_READ_BYTES)
        return self._socket.recv(size)

    def send(
        self, call: records.Call, habits: Habits, chance: random.Random
    ) -> bool:
        """Send a request and read its answer.

        Return whether the connection can be used again.
        """
        self._patience_s = habits.patience_s
        self._reads_slowly = chance.random() < SLOW_READER_SHARE
        if chance.random() < EARLY_LEAVER_SHARE:
            self._patience_s = chance.uniform(0.01, 0.5)
        call.started_s = time.monotonic()
        self._ends_s = call.started_s + call.deadline_s
        call.surplus = self._read_surplus()
        parts: list[bytes] = []
        self._reader.on_bytes = parts.append
        try:
            self._write_request(call, chance)
            is_kept = self._read_answer(call)
        except (TimeoutError, OSError, wire.Truncated) as error:
            is_kept = False
            call.error = repr(error)
            call.ending = self._ending(call, error)
        except wire.MalformedMessage as error:
            is_kept = False
            call.error = repr(error)
            call.ending = records.Ending.MALFORMED
        call.answer = b"".join(parts)
        call.ended_s = time.monotonic()
        return is_kept

    def _ending(self, call: records.Call, error: Exception) -> records.Ending:
        if self._has_left:
            return records.Ending.LEFT
        match error:
            case TimeoutError() if time.monotonic() < self._ends_s:
                return records.Ending.LEFT
            case TimeoutError():
                return records.Ending.DEADLINE
            case _ if not call.first_byte_s and not self._reader.buffer:
                return records.Ending.UNANSWERED
            case OSError():
                return records.Ending.RESET
            case _:
                return records.Ending.CLOSED

    def _read_surplus(self) -> bytes:
        """Return bytes that came while no request was waiting."""
        self._socket.settimeout(0)
        try:
            return self._reader.buffer + self._socket.recv(
                wire.RECEIVE_BYTES, socket.MSG_PEEK
            )
        except OSError:
            # Nothing came, or a reset, which the request finds out too.
            return self._reader.buffer

    def _write_request(self, call: records.Call, chance: random.Random) -> None:
        """Send the request.

        Raises:
            OSError: The connection failed, or the caller left within it.
        """
        headers = dict(call.header_by_name)
        self._socket.settimeout(call.deadline_s)
        first = f"{call.method} {call.target} HTTP/1.1"
        pause_s = 0.0
        if call.body and chance.random() < CHUNKED_SHARE:
            headers["Transfer-Encoding"] = "chunked"
            middle = len(call.body) // 2
            body = call.body[:middle], call.body[middle:], b""
            parts = [wire.format_head(first, headers), *map(wire.chunk, body)]
            if chance.random() < SLOW_BODY_SHARE:
                pause_s = chance.uniform(0.0, MAX_CHUNK_PAUSE_S)
        else:
            if call.method == "POST":
                headers["Content-Length"] = str(len(call.body))
            parts = [wire.format_head(first, headers) + call.body]
        if chance.random() < HALF_SENT_SHARE:
            data = b"".join(parts)
            self._socket.sendall(data[: chance.randrange(1, len(data))])
            self._has_left = True
            raise ConnectionAbortedError("the caller left within its request")
        for part in parts:
            self._socket.sendall(part)
            time.sleep(pause_s)
        call.sent_s = time.monotonic()

    def _read_answer(self, call: records.Call) -> bool:
        while True:
            first, headers = self._reader.read_head()
            call.first_byte_s = call.first_byte_s or time.monotonic()
            status = wire.parse_status(first)
            if status >= 200:
                break
        call.status, call.answer_header_by_name = status, headers
        self._reader.read_body(headers, default=-1)
        call.ending = records.Ending.COMPLETE
        has_length = (
            "content-length" in headers or "transfer-encoding" in headers
        )
        return has_length and headers.get("connection", "").lower() != "close"
