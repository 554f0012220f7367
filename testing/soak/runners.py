"""Stand-in runners on raw sockets: plain services and model engines."""

import contextlib
import hashlib
import json
import math
import random
import re
import socket
import threading
import time
from typing import Any
from typing import final

from soak import hostile
from soak import misbehavior
from soak import passages as passages_lib
from soak import proxy
from soak import records
from soak import wire

BACKLOG = 256
HANDLE_LIFETIME_S = 5.0
MAX_STREAM_S = 3.0
SLOW_ANSWER_S = 1.5
FAILURE_SHARE = 0.04
IDLE_TIMEOUT_S = (1.0, 6.0)
SPLIT_PAUSE_S = 0.005
SPLIT_PIECES = 8
EXPECT_INSTANCE = "x-wisteriawall-expect-instance"
KV_SOURCE = "x-wisteriawall-kv-cache-source"
STAGE = "x-wisteriawall-serving-stage"
LAST_EVENT_ID = "last-event-id"
RESUMES = "resumes"
WHOLE_ENDINGS = (records.RunEnding.ANSWERED, records.RunEnding.REJECTED)
PASSED_ENDINGS = (*WHOLE_ENDINGS, records.RunEnding.ABANDONED)


def event_bytes(number: int, run: str) -> bytes:
    """Return an event of a stream."""
    return f"id: {number}\ndata: {run} t{number}\n\n".encode()


EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) t\d+\n\n")


@final
class HandleStore:
    """Transfer handles of prefilled prompts; each can be used once."""

    def __init__(self) -> None:
        """Start without handles."""
        self._expires_s_by_handle: dict[str, float] = {}
        self._lock = threading.Lock()

    def add(self, handle: str) -> None:
        """Keep a handle for its lifetime."""
        with self._lock:
            self._expires_s_by_handle[handle] = (
                time.monotonic() + HANDLE_LIFETIME_S
            )

    def take(self, handle: str) -> bool:
        """Use up a handle; return whether it was still kept."""
        with self._lock:
            expires_s = self._expires_s_by_handle.pop(handle, 0.0)
        return time.monotonic() < expires_s


@final
class StandInRunner:
    """Runner at a fixed address that may start again under another id.

    Args:
        name: Name of the place; each start adds a number to it.
        service: Service that it runs requests of.
        stage: `prefill` or `decode`; empty for a plain service.
        seed: Seed of its misbehavior.
        late_share: Share of answers after which something late follows.
        seen: Records of what it sees.
        handles: Handles that all runners share.
        version: Version of its software.
        passages: What the proxy has passed on of each connection.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        stage: str,
        seed: int,
        late_share: float,
        seen: records.Records,
        handles: HandleStore,
        version: str = "v1",
        passages: passages_lib.Passages | None = None,
    ) -> None:
        self.name, self.service, self.stage = name, service, stage
        self.late_share = late_share
        self.idle_timeout_s = random.Random(f"{seed}/{name}").uniform(
            *IDLE_TIMEOUT_S
        )
        self.version = version
        self.state = "ready"
        self.is_listed = True
        # Requests a second that it takes, None for any number.
        self.limit_per_s: float | None = None
        self._seed, self._seen, self._handles = seed, seen, handles
        self._passages = passages or passages_lib.Passages()
        self._starts = 1
        # Grows when all work ends.
        self.generation = 0
        self._born_ms = round(time.time() * 1_000)
        self._open: set[socket.socket] = set()
        self._arrivals_by_attempt: dict[str, int] = {}
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        # The address in the platform's list, which may be that of a proxy.
        self.listed_address = self.address
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def identifier(self) -> str:
        """Return the id of the runner's current start."""
        return f"i-{self.name}-{self._starts}"

    def entry(self) -> dict[str, Any]:
        """Return the entry in the platform's list."""
        return {
            "identifier": self.identifier,
            "service": self.service,
            "address": self.listed_address,
            "zone": "z1",
            "version": self.version,
            "slots": 64,
            "state": self.state,
            "cold_remaining_ms": 0,
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}]
            if self.stage
            else [],
            "born": self._born_ms,
        }

    def restart(self, version: str = "", service: str = "") -> None:
        """End all work and start under a new id at the same address.

        It may start with another version of its software, or as a runner of
        another service that uses the address again.
        """
        self.break_off()
        self.version = version or self.version
        self._starts += 1
        self.service = service or self.service
        self._born_ms = round(time.time() * 1_000)
        self.state = "ready"
        self.limit_per_s = None

    def break_off(self) -> None:
        """Reset every connection."""
        self._seen.incidents.append(
            records.Incident(
                self.name, records.Change.RUNNER_ENDED, time.monotonic()
            )
        )
        self.generation += 1
        for connection in list(self._open):
            _reset_on_close(connection)
            # Wakes the thread, which then closes the connection.
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RD)

    def close(self) -> None:
        """Release the address and every connection."""
        self.is_listed = False
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.break_off()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                self._open.add(connection)
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            with connection:
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                _Session(self, connection).serve()
        except (OSError, wire.Truncated):
            # The gateway or the proxy closed the connection.
            pass
        finally:
            self._open.discard(connection)

    def start_arrival(
        self, first: bytes, headers: dict[str, str], body: bytes
    ) -> tuple[records.Arrival, random.Random]:
        """Record a request; return it and the chance of its answer."""
        method, target, _ = first.decode("latin-1").split(" ")
        attempt = headers.get(records.ATTEMPT_ID, "")
        arrival = records.Arrival(
            attempt=attempt,
            runner=self.identifier,
            place=self.name,
            stage=self.stage,
            service=self.service,
            method=method,
            target=target,
            header_by_name=headers,
            body=body,
            at_s=time.monotonic(),
            version=self.version,
        )
        number = self._arrivals_by_attempt.get(attempt, 0)
        self._arrivals_by_attempt[attempt] = number + 1
        if hostile.MARK.lower() not in headers:
            self._seen.arrivals.append(arrival)
        chance = random.Random(f"{self._seed}/{attempt}/{self.name}/{number}")
        return arrival, chance

    def find_passage(
        self, connection: socket.socket
    ) -> passages_lib.Passage | None:
        """Return the passage of one of its connections."""
        _, proxy_port = connection.getpeername()
        _, own_port = connection.getsockname()
        return self._passages.get(proxy_port, own_port)

    def is_expected(self, headers: dict[str, str]) -> bool:
        """Return whether a request is meant for this start of the runner."""
        expected = headers.get(EXPECT_INSTANCE, self.identifier)
        return expected == self.identifier

    def add_handle(self, attempt: str) -> str:
        """Return a new handle of a prefilled prompt."""
        number = self._seen.next_number()
        handle = f"h{number}-{self._starts}"
        self._seen.attempt_by_handle[handle] = attempt
        self._handles.add(handle)
        return handle

    def new_run(self, attempt: str) -> str:
        """Return a name for a run, which its whole answer contains."""
        return f"{attempt}/{self.identifier}/{self._seen.next_number()}"

    def take_handle(self, source: str) -> bool:
        """Use up the handle of a header; return whether it was kept."""
        return self._handles.take(source.rpartition("/")[2])


@final
class _Session:
    """One connection of a gateway."""

    def __init__(
        self, runner: StandInRunner, connection: socket.socket
    ) -> None:
        self._runner = runner
        self._connection = connection
        self._generation = runner.generation
        self._reader = wire.Reader(connection)
        self._late = misbehavior.Late.NOTHING
        self._late_bytes = b""
        self._sent = b""
        # Of all answers, and of what came between them.
        self._sent_bytes = 0
        self._passage: passages_lib.Passage | None = None

    def serve(self) -> None:
        """Answer requests until the connection ends."""
        while True:
            # An idle connection is closed, also when a request is under way.
            self._connection.settimeout(self._runner.idle_timeout_s)
            if self._reader.is_at_end():
                return
            self._connection.settimeout(None)
            first, headers = self._reader.read_head()
            body = self._reader.read_body(headers, default=0)
            if records.ATTEMPT_ID not in headers:
                self._answer_probe(first)
                continue
            if not self._serve_one(first, headers, body):
                return

    def _serve_one(
        self, first: bytes, headers: dict[str, str], body: bytes
    ) -> bool:
        arrival, chance = self._runner.start_arrival(first, headers, body)
        arrival.preceded_by = self._late
        # It is known when the first request has come through the proxy.
        self._passage = self._passage or self._runner.find_passage(
            self._connection
        )
        if self._late_bytes:
            self._send(self._late_bytes)
        self._sent = b""
        try:
            is_kept = self._answer(arrival, chance)
        except (OSError, wire.Truncated):
            arrival.ending = records.RunEnding.ABANDONED
            raise
        finally:
            arrival.ended_s = time.monotonic()
            if self._passage and arrival.ending in PASSED_ENDINGS:
                is_whole = arrival.ending in WHOLE_ENDINGS
                end_bytes = self._sent_bytes if is_whole else math.inf
                self._passage.expect(arrival, end_bytes)
        self._late = misbehavior.draw_late(
            chance, share=self._runner.late_share
        )
        self._late_bytes = misbehavior.late_bytes(
            self._late,
            attempt=arrival.attempt,
            answer=self._sent,
            chance=chance,
        )
        return is_kept

    def _answer_probe(self, first: bytes) -> None:
        head = {
            "X-Wisteriawall-Instance-Id": self._runner.identifier,
            "Content-Length": "2",
        }
        self._send(wire.format_head("HTTP/1.1 200 OK", head) + b"{}")

    def _answer(self, arrival: records.Arrival, chance: random.Random) -> bool:
        headers = arrival.header_by_name
        if not self._runner.is_expected(headers):
            return self._reject(arrival, "421 Misdirected Request")
        is_prefill = headers.get(STAGE) == "prefill"
        is_stream = bool(arrival.stage) and not is_prefill
        manner = misbehavior.draw_manner(chance, is_stream=is_stream)
        if manner is misbehavior.Manner.REJECTED:
            return self._reject(arrival, "503 Service Unavailable")
        if manner in misbehavior.FAULTS:
            arrival.misbehavior = manner
        if is_prefill:
            handle = self._runner.add_handle(arrival.attempt)
            body = json.dumps(
                {"transfer_handle": handle, "tokens": 9, "version": 1}
            ).encode()
            return self._send_plain(arrival, manner, body, chance)
        source = headers.get(KV_SOURCE)
        if source is not None and not self._runner.take_handle(source):
            return self._reject(arrival, "503 Service Unavailable")
        arrival.has_run = True
        run = self._runner.new_run(arrival.attempt)
        if is_stream:
            return self._send_stream(arrival, manner, run, chance)
        size = chance.choice((0, 10, 2_000, 30_000))
        digest = hashlib.sha256(arrival.body).hexdigest()
        body = f"{run} {arrival.target} {digest} {'x' * size}".encode()
        return self._send_plain(arrival, manner, body, chance)

    def _reject(self, arrival: records.Arrival, status: str) -> bool:
        arrival.status = int(status[:3])
        self._write(
            wire.format_head(
                f"HTTP/1.1 {status}",
                {
                    "X-Wisteriawall-Attempt-Id": arrival.attempt,
                    misbehavior.NOT_EXECUTED: "1",
                    "Content-Length": "0",
                },
            )
        )
        arrival.ending = records.RunEnding.REJECTED
        return True

    def _head(
        self, arrival: records.Arrival, manner: misbehavior.Manner, status: str
    ) -> dict[str, str]:
        arrival.status = int(status[:3])
        arrival.seal = f"seal-{self._runner.new_run(arrival.attempt)}"
        head = {
            "X-Wisteriawall-Attempt-Id": arrival.attempt,
            "X-Wisteriawall-Response-Seal": arrival.seal,
        }
        limit_per_s = self._runner.limit_per_s
        if limit_per_s is not None:
            head["Server-Limit"] = str(limit_per_s)
            arrival.named_limit = limit_per_s
            arrival.named_s = time.monotonic()
        is_leaving = self._runner.state == "draining"
        if is_leaving or manner in misbehavior.CLOSING:
            head["Connection"] = "close"
        return head

    def _send_plain(
        self,
        arrival: records.Arrival,
        manner: misbehavior.Manner,
        body: bytes,
        chance: random.Random,
    ) -> bool:
        status = "200 OK"
        if chance.random() < FAILURE_SHARE and arrival.has_run:
            status = chance.choice(("500 Error", "404 Not Found"))
        head = self._head(arrival, manner, status)
        arrival.answer = body
        if manner is misbehavior.Manner.SLOW:
            time.sleep(chance.uniform(0, SLOW_ANSWER_S))
        framing = chance.choice(("length", "chunked"))
        if "Connection" in head and chance.random() < 0.5:
            framing = "end of the connection"
        message = _frame(status, head, body, framing)
        match manner:
            case misbehavior.Manner.GARBAGE:
                self._write(chance.choice(misbehavior.GARBAGE))
                return self._break_off(arrival)
            case misbehavior.Manner.TRUNCATED:
                if framing == "end of the connection":
                    _reset_on_close(self._connection)
                # A chunked body is complete once its last chunk has come.
                end = len(wire.chunk(b"")) if framing == "chunked" else 1
                cut = chance.randint(end, end + len(body) - 1)
                self._write(message[:-cut])
                return self._break_off(arrival)
            case misbehavior.Manner.HEAD_CUT:
                return self._cut_head(arrival, message, chance)
            case misbehavior.Manner.RESET:
                _reset_on_close(self._connection)
                return self._break_off(arrival)
            case misbehavior.Manner.SPLIT:
                self._write_in_pieces(message)
            case _:
                self._write(message)
        arrival.ending = records.RunEnding.ANSWERED
        return "Connection" not in head

    def _send_stream(
        self,
        arrival: records.Arrival,
        manner: misbehavior.Manner,
        run: str,
        chance: random.Random,
    ) -> bool:
        head = self._head(arrival, manner, "200 OK")
        head["Content-Type"] = "text/event-stream"
        head["Transfer-Encoding"] = "chunked"
        # The number of events depends on the first attempt alone, so that each
        # run of a stream ends with the same one.
        first = arrival.header_by_name.get(RESUMES) or arrival.attempt
        length = random.Random(f"events/{first}").randint(2, 20)
        arrival.last_event = length
        start = int(arrival.header_by_name.get(LAST_EVENT_ID, "0")) + 1
        pause_s = chance.uniform(0.1, MAX_STREAM_S) / length
        stop = chance.randint(start, max(start, length))
        first_line = "HTTP/1.1 200 OK"
        if manner is misbehavior.Manner.GARBAGE:
            self._write(chance.choice(misbehavior.GARBAGE))
            return self._break_off(arrival)
        whole_head = wire.format_head(first_line, head)
        if manner is misbehavior.Manner.HEAD_CUT:
            return self._cut_head(arrival, whole_head, chance)
        self._write(whole_head)
        for number in range(start, length + 1):
            event = event_bytes(number, run)
            arrival.answer += event
            if manner in misbehavior.FAULTS and number == stop:
                return self._stop_stream(arrival, manner, event)
            if manner is misbehavior.Manner.SPLIT:
                self._write_in_pieces(wire.chunk(event))
            else:
                self._write(wire.chunk(event))
            time.sleep(pause_s)
        self._write(wire.chunk(b""))
        arrival.ending = records.RunEnding.ANSWERED
        return "Connection" not in head

    def _stop_stream(
        self, arrival: records.Arrival, manner: misbehavior.Manner, event: bytes
    ) -> bool:
        match manner:
            case misbehavior.Manner.STALLED:
                # Ends when the gateway closes or misuses the connection.
                self._connection.recv(1)
                arrival.ending = records.RunEnding.ABANDONED
                return False
            case misbehavior.Manner.RESET:
                _reset_on_close(self._connection)
            case _:
                self._write(wire.chunk(event[: len(event) // 2]))
        return self._break_off(arrival)

    def _cut_head(
        self, arrival: records.Arrival, message: bytes, chance: random.Random
    ) -> bool:
        end = message.find(b"\r\n\r\n")
        self._write(message[: chance.randint(1, end)])
        return self._break_off(arrival)

    def _break_off(self, arrival: records.Arrival) -> bool:
        arrival.ending = records.RunEnding.BROKE_OFF
        return False

    def _write_in_pieces(self, data: bytes) -> None:
        size = len(data) // SPLIT_PIECES + 1
        for start in range(0, len(data), size):
            self._write(data[start : start + size])
            time.sleep(SPLIT_PAUSE_S)

    def _write(self, data: bytes) -> None:
        if self._runner.generation != self._generation:
            raise ConnectionResetError("the runner ended")
        self._sent += data
        self._send(data)

    def _send(self, data: bytes) -> None:
        self._connection.sendall(data)
        self._sent_bytes += len(data)


def _frame(
    status: str, head: dict[str, str], body: bytes, framing: str
) -> bytes:
    """Return a whole answer."""
    match framing:
        case "length":
            head = head | {"Content-Length": str(len(body))}
        case "chunked":
            head = head | {"Transfer-Encoding": "chunked"}
            middle = len(body) // 2
            parts = (body[:middle], body[middle:], b"")
            body = b"".join(map(wire.chunk, parts))
    return wire.format_head(f"HTTP/1.1 {status}", head) + body


def _reset_on_close(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, proxy.RESET_ON_CLOSE
        )
