"""Entries between a fake control and fake runners, on loopback."""

from collections import deque
from collections.abc import Callable
from collections.abc import Iterator
import concurrent.futures
import hashlib
import threading
import time
from typing import Any

import msgspec
import pytest

from wisteriawall.config import document
from wisteriawall.demo import cluster
from wisteriawall.entry import attempt as attempt_lib
from wisteriawall.entry import shell as shell_lib
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.web import server as server_lib
from wisteriawall.wire import control_messages as messages
from wisteriawall.wire import envelope
from wisteriawall.wire import fleet
from wisteriawall.wire import headers
from wisteriawall.wire import transport

KEY = b"k" * 32
WAIT_S = 10.0
TOKENS = 6


class FakeControl:
    """Control replica that grants leases and claims from memory.

    Requests of `dropped_types` are ignored; those of `unanswered_types` are
    carried out, but get no answer.
    """

    def __init__(self) -> None:
        """Listen on a free port."""
        self.address = cluster.unused_loopback_address()
        self.config = document.empty()
        self.view = fleet.FleetView(0, [])
        self.claims: dict[tuple[str, str, str], list[Any]] = {}
        self.settled: list[messages.SettleRequest] = []
        self.dropped_types: set[type] = set()
        self.unanswered_types: set[type] = set()
        self._lock = threading.Lock()
        self._codec: envelope.Codec[Any] = envelope.Codec(
            message_type=messages.ControlRequest,
            key=KEY,
            sender=envelope.Sender("c1", 1),
        )
        self._rpc = transport.RpcServer(
            address=self.address, handler=self._answer
        )
        self._rpc.start()
        self.close = self._rpc.close

    def _answer(self, data: bytes) -> bytes | None:
        _, request = self._codec.decode(data)
        if type(request) in self.dropped_types:
            return None
        with self._lock:
            reply = self._codec.encode(self._reply(request))
        return None if type(request) in self.unanswered_types else reply

    def _reply(self, request: object) -> object:
        match request:
            case messages.ClaimRequest():
                return self._claim(request)
            case messages.SettleRequest():
                self.settled.append(request)
                self._settle(request)
                return messages.SettleReply(request.claim_id)
        return messages.Grant(
            age_ms=0,
            config_number=self.config.number,
            config=self.config,
            fleet_version=self.view.version,
            fleet_view=self.view,
            order=None,
            min_fencing_number=fleet.FENCING_NUMBER_ZERO,
            leader="c1",
        )

    def _claim(self, request: messages.ClaimRequest) -> object:
        verdict = messages.ClaimVerdict
        key = (request.account, request.service, request.key)
        claim = self.claims.get(key)
        if claim is None:
            claim_id = len(self.claims) + 1
            self.claims[key] = [
                claim_id, request.digest, request.request_id,
                verdict.RUNNING, None,
            ]  # fmt: skip
            return messages.ClaimReply(verdict.GRANTED, claim_id, None)
        if claim[1] != request.digest:
            return messages.ClaimReply(verdict.MISMATCH, claim[0], None)
        if claim[2] == request.request_id:
            return messages.ClaimReply(verdict.GRANTED, claim[0], None)
        return messages.ClaimReply(claim[3], claim[0], claim[4])

    def _settle(self, request: messages.SettleRequest) -> None:
        for key, claim in list(self.claims.items()):
            if claim[0] != request.claim_id:
                continue
            verdict = messages.ClaimVerdict
            if request.released:
                del self.claims[key]
            elif claim[3] is verdict.RUNNING:
                has_answer = request.answer is not None
                claim[3] = verdict.FINISHED if has_answer else verdict.UNKNOWN
                claim[4] = request.answer


class FakeRunner:
    """Agent and engine in one.

    `faults` holds a fault for each of the next attempts: its name and the
    number of the event at which it occurs.

    - refuse: the agent refuses the attempt.
    - crossed: the response headers name another request.
    - close: the connection closes within an event.
    - foreign: an event carries the id of another request.
    - stall: nothing more is sent, not even comments.
    - silence: only keep-alive comments are sent.
    - hold: the body is not sent until `release` is set.
    - end: the stream ends without its end mark.
    """

    def __init__(self) -> None:
        """Listen on a free port."""
        self.dispatches: list[dict[str, Any]] = []
        self.faults: deque[tuple[str, int]] = deque()
        self.cancelled = threading.Event()
        self.release = threading.Event()
        self.body = b"paid"
        self._http = server_lib.HttpServer(
            address="127.0.0.1:0", app=self._serve, threads=8
        )
        self.address = self._http.address
        self._http.start()
        self.close = self._http.stop

    def _serve(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        body = server_lib.read_body(environ)
        request_id = environ[headers.wsgi_environ_key(headers.REQUEST_ID)]
        attempt = environ[headers.wsgi_environ_key(headers.ATTEMPT)]
        fields = msgspec.json.decode(body) if body[:1] == b"{" else {}
        self.dispatches.append(fields | {"request_id": request_id})
        fault, at = self.faults.popleft() if self.faults else ("", 0)
        if fault == "refuse":
            refusal = refusal_lib.Refusal(
                status=503, code=refusal_lib.Code.DRAINING, message="no"
            )
            return server_lib.send_refusal(start_response, refusal)
        identity = [
            (headers.REQUEST_ID, request_id),
            (headers.ATTEMPT, attempt),
        ]
        if fault == "crossed":
            identity[0] = (headers.REQUEST_ID, "another")
        if environ["PATH_INFO"].startswith("/v1/"):
            kind = "text/event-stream"
            chunks = self._events(request_id, fields, fault, at)
        else:
            kind = "text/plain"
            chunks = self._plain(fault)
        start_response("200 OK", [("Content-Type", kind), *identity])
        return chunks

    def _plain(self, fault: str) -> Iterator[bytes]:
        if fault == "hold":
            self.release.wait(WAIT_S)
        yield self.body
        if fault == "close":
            raise ConnectionAbortedError

    def _events(
        self, request_id: str, fields: dict[str, Any], fault: str, at: int
    ) -> Iterator[bytes]:
        try:
            first = fields.get("resume_tokens", 0)
            for index in range(first, fields["max_tokens"]):
                if fault and index == at:
                    yield from self._break(fault, request_id, index)
                    return
                yield event(request_id, index)
            if fault and at == fields["max_tokens"]:
                yield from self._break(fault, request_id, at)
                return
            yield b"data: [DONE]\n\n"
        except GeneratorExit:
            self.cancelled.set()
            raise

    def _break(
        self, fault: str, request_id: str, index: int
    ) -> Iterator[bytes]:
        match fault:
            case "close":
                yield event(request_id, index)[:-9]
                raise ConnectionAbortedError
            case "foreign":
                yield event("another", index)
            case "stall":
                self.release.wait(WAIT_S)
            case "silence":
                while not self.release.wait(0.02):
                    yield b": wait\n\n"


def event(request_id: str, index: int) -> bytes:
    """Return the event that the engine sends for token number `index`."""
    chunk = {
        "id": request_id,
        "object": "text_completion",
        "model": "m",
        "choices": [{"index": 0, "text": f"w{index} "}],
    }
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until `condition` is true, at most `WAIT_S` seconds."""
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, (
            "condition did not become true in time"
        )
        time.sleep(0.01)


class Harness:
    """Control, two runners of each service, and entries started by tests."""

    def __init__(self) -> None:
        """Start control and runners."""
        self.control = FakeControl()
        self.runners = [FakeRunner(), FakeRunner()]
        self.plain_runners = [FakeRunner(), FakeRunner()]
        self.entries: list[shell_lib.EntryShell] = []
        self._configure()

    def _configure(self) -> None:
        runner_by_name = {
            f"r{n}": ("model", r) for n, r in enumerate(self.runners)
        }
        runner_by_name |= {
            f"p{n}": ("pay", r) for n, r in enumerate(self.plain_runners)
        }
        kind = document.ServiceKind
        self.control.config = document.Document(
            number=1,
            capacity_pieces=4,
            services={
                "model": document.Service(
                    kind=kind.MODEL, share_pieces=2, models=["m"]
                ),
                "pay": document.Service(
                    kind=kind.PLAIN,
                    share_pieces=2,
                    non_repeatable=["POST /pay"],
                ),
            },
            runners={
                name: document.Runner(
                    service=service, address=fake.address, zone="a", vm=name
                )
                for name, (service, fake) in runner_by_name.items()
            },
            accounts={
                "acme": document.Account(
                    token_digest=hashlib.sha256(b"secret").hexdigest()
                )
            },
        )
        live = fleet.RunnerPhase.LIVE
        self.control.view = fleet.FleetView(
            1,
            [
                fleet.RunnerView(n, live, fleet.Role.MIXED)
                for n in runner_by_name
            ],
        )

    def start_entry(self, **limits: Any) -> shell_lib.EntryShell:
        """Start an entry and wait until it is ready."""
        limits.setdefault("max_requests", 8)
        limits.setdefault("timeouts", attempt_lib.AttemptTimeouts(idle_s=0.3))
        entry = shell_lib.EntryShell(
            name=f"e{len(self.entries)}",
            address="127.0.0.1:0",
            zone="a",
            control_address_by_replica={"c1": self.control.address},
            key=KEY,
            token="t",
            incarnation=1,
            limits=shell_lib.EntryLimits(**limits),
        )
        self.entries.append(entry)
        entry.start()
        wait_until(entry.is_ready)
        return entry

    wait_until = staticmethod(wait_until)
    event = staticmethod(event)

    @property
    def dispatches(self) -> list[dict[str, Any]]:
        """Return the dispatches of model requests, ordered by runner."""
        return [d for r in self.runners for d in r.dispatches]

    def inject_faults(self, *faults: tuple[str, int]) -> None:
        """Apply these faults to the next attempts, on any runner."""
        shared = deque(faults)
        for runner in (*self.runners, *self.plain_runners):
            runner.faults = shared

    def close(self) -> None:
        """Stop entries, runners and control."""
        for runner in (*self.runners, *self.plain_runners):
            runner.release.set()
        self.control.dropped_types.clear()
        self.control.unanswered_types.clear()
        # In parallel, because each stop waits for its server's next poll.
        stops = [entry.stop for entry in self.entries]
        stops += [r.close for r in (*self.runners, *self.plain_runners)]
        with concurrent.futures.ThreadPoolExecutor(len(stops)) as pool:
            for stopped in [pool.submit(stop) for stop in stops]:
                stopped.result()
        self.control.close()


@pytest.fixture
def harness() -> Iterator[Harness]:
    """Yield a harness; at the end, check that no request or thread is left."""
    harness = Harness()
    yield harness
    for entry in harness.entries:
        for runner in (*harness.runners, *harness.plain_runners):
            runner.release.set()
        wait_until(lambda held_entry=entry: held_entry.in_flight == 0)
        wait_until(
            lambda held_entry=entry: held_entry.http.monitor_registrations == 0
        )
        wait_until(
            lambda held_entry=entry: held_entry.http.busy_worker_threads == 0
        )
    harness.close()


@pytest.fixture(scope="module")
def shared_harness() -> Iterator[Harness]:
    """Yield a harness whose one entry has a short read deadline.

    All tests of a module share it.
    """
    harness = Harness()
    harness.start_entry(request_read_timeout_s=0.3)
    yield harness
    harness.close()
