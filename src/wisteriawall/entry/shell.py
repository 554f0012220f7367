"""Entry's shell: callers' HTTP, lease renewal and planned stop."""

from collections.abc import Mapping
import contextlib
import dataclasses
import functools
import logging
import random
import threading
import time
from typing import final
import uuid

from wisteriawall import clock
from wisteriawall.config import document
from wisteriawall.entry import attempt as attempt_lib
from wisteriawall.entry import claims as claims_lib
from wisteriawall.entry import events
from wisteriawall.entry import parsing
from wisteriawall.entry import placing
from wisteriawall.entry import reducer
from wisteriawall.entry import refusals
from wisteriawall.entry import relay as relay_lib
from wisteriawall.entry import run as run_lib
from wisteriawall.entry import state
from wisteriawall.entry import subset
from wisteriawall.observability import metrics as metrics_lib
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.web import server as server_lib
from wisteriawall.wire import control_client
from wisteriawall.wire import control_messages
from wisteriawall.wire import envelope
from wisteriawall.wire import fleet
from wisteriawall.wire import load_messages
from wisteriawall.wire import transport

__all__ = ["EntryShell", "Limits"]

_LOG = logging.getLogger("entry")

RENEW_S = 0.3
DRAIN_POLL_S = 0.02
CUT_WAIT_S = 5.0
SETTLE_WAIT_S = 5.0
SPARE_THREADS = 32


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Limits:
    """Bounds of one entry.

    `grace_s` is how long a stopping entry still serves, so that the balancer
    learns of it; `drain_deadline_s` is when a planned stop cuts what still
    runs, 0 means never.
    """

    max_requests: int = 256
    grace_s: float = 0.0
    drain_deadline_s: float = 0.0
    read_deadline_s: float = server_lib.READ_DEADLINE_S
    timeouts: attempt_lib.Timeouts = dataclasses.field(
        default_factory=attempt_lib.Timeouts
    )


@final
class EntryShell:
    """Run one entry.

    Args:
        name: Name of this entry.
        address: Host and port that callers use.
        zone: Availability zone of this VM.
        control_address_by_replica: RPC address of every control replica.
        key: Shared cluster key.
        token: Secret that agents expect.
        incarnation: Number that rises with every start of this process.
        limits: Bounds on requests and time.
        metrics: Where dispatches, answers and refusals are counted.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        zone: str,
        control_address_by_replica: Mapping[str, str],
        key: bytes,
        token: str,
        incarnation: int,
        limits: Limits | None = None,
        metrics: metrics_lib.Metrics | None = None,
    ) -> None:
        self._metrics = metrics or metrics_lib.NullMetrics()
        self._name = name
        self._incarnation = incarnation
        self._limits = limits or Limits()
        self._entry = state.Entry(
            zone=zone, name=name, rng=random.Random(f"{name}/{incarnation}")
        )
        self._lock = threading.Lock()
        self._leaving = False
        self._stopping = threading.Event()
        self._active = 0
        self.callers_gone = 0
        self._run_by_id: dict[str, run_lib.RequestRun] = {}
        self._relay = relay_lib.Relay(
            token=token, timeouts=self._limits.timeouts
        )
        self._control = control_client.ControlClient(
            address_by_replica=control_address_by_replica,
            key=key,
            sender=envelope.Sender(f"entry/{name}", incarnation),
        )
        self._feed_codec: envelope.Codec[load_messages.FeedMessage] = (
            envelope.Codec(
                message_type=load_messages.FeedMessage,
                key=key,
                sender=envelope.Sender(f"entry/{name}", incarnation),
            )
        )
        self._feed = transport.Subscriber(receive=self._hear)
        self._claims = claims_lib.ClaimCalls(
            name=name,
            incarnation=incarnation,
            control=self._control,
            submit=self._submit,
        )
        self.http = server_lib.HttpServer(
            address=address,
            app=self._serve,
            threads=self._limits.max_requests + SPARE_THREADS,
            read_deadline_s=self._limits.read_deadline_s,
        )
        self.address = self.http.address
        self._renewer = threading.Thread(
            target=self._renew_forever, name=f"renew-{name}", daemon=True
        )

    def start(self) -> None:
        """Start the entry."""
        self.http.start()
        self._feed.start()
        self._renewer.start()

    def stop(self) -> int:
        """Finish what runs, then stop; return how many requests were cut."""
        self._leaving = True
        deadline = self._drain_deadline()
        time.sleep(self._limits.grace_s)
        self._submit(events.Stopping(clock.monotonic_ms()))
        cut = self._await_end(deadline)
        self._await_settled()
        self._stopping.set()
        self.http.stop()
        self._renewer.join(timeout=5.0)
        self._feed.close()
        self._control.close()
        self._relay.close()
        _LOG.info("entry: stopped, %d requests cut", cut)
        return cut

    def is_ready(self) -> bool:
        """Tell whether callers should be sent here."""
        return (
            not self._leaving
            and clock.monotonic_ms() < self._entry.lease_until_ms
        )

    @property
    def is_refusing(self) -> bool:
        """Tell whether new requests are refused because of a stop."""
        return self._entry.stopping

    @property
    def config(self) -> document.Document:
        """Return the newest configuration held here."""
        return self._entry.config

    @property
    def in_flight(self) -> int:
        """Return how many requests are in progress, in any part."""
        parts = (
            self._active,
            len(self._run_by_id),
            len(self._entry.in_flight_by_id),
            len(self._entry.load.dispatch_by_id),
        )
        return max(parts)

    def _drain_deadline(self) -> float:
        if not self._limits.drain_deadline_s:
            return float("inf")
        return time.monotonic() + self._limits.drain_deadline_s

    def _await_end(self, deadline: float) -> int:
        """Wait until nothing runs; return how many were cut at `deadline`."""
        while self._active:
            if time.monotonic() >= deadline:
                return self._cut_all()
            time.sleep(DRAIN_POLL_S)
        return 0

    def _cut_all(self) -> int:
        runs = list(self._run_by_id.values())
        _LOG.warning("entry: drain deadline: cutting %d requests", len(runs))
        for run in runs:
            run.cut()
        until = time.monotonic() + CUT_WAIT_S
        while self._active and time.monotonic() < until:
            time.sleep(DRAIN_POLL_S)
        return len(runs)

    def _await_settled(self) -> None:
        until = time.monotonic() + SETTLE_WAIT_S
        while self._claims.unsettled and time.monotonic() < until:
            time.sleep(DRAIN_POLL_S)
        if self._claims.unsettled:
            _LOG.error(
                "entry: %d claims were not settled", self._claims.unsettled
            )

    def _submit(self, event: events.Event) -> None:
        """Reduce one event and hand each effect to its request's thread."""
        if isinstance(event, events.Finished):
            self._metrics.count("finished")
        with self._lock:
            for effect in reducer.reduce(self._entry, event):
                self._count(effect)
                run = self._run_by_id.get(effect.request_id)
                if run is not None:
                    run.deliver(effect)

    def _count(self, effect: events.Effect) -> None:
        match effect:
            case events.Dispatch(attempt=attempt):
                self._metrics.count("dispatched" if attempt == 1 else "retried")
            case events.Refuse(refusal=refusal):
                self._metrics.count(f"refused.{refusal.code}")
            case events.Replay():
                self._metrics.count("replayed")
            case _:
                pass

    def _serve(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        match environ["PATH_INFO"]:
            case "/healthz":
                return _respond_probe(environ, start_response, healthy=True)
            case "/readyz":
                return _respond_probe(
                    environ, start_response, healthy=self.is_ready()
                )
        refusal = self._enter()
        if refusal is not None:
            return server_lib.refuse(start_response, refusal)
        try:
            request = parsing.parse(environ, self._entry.config)
            return self._run(request, environ, start_response)
        except parsing.Refused as refused:
            self._leave()
            return server_lib.refuse(start_response, refused.refusal)
        except BaseException:
            self._leave()
            raise

    def _enter(self) -> refusal_lib.Refusal | None:
        """Count a request in, or return why it is refused unread."""
        with self._lock:
            if self._entry.stopping:
                return refusals.STOPPING
            if self._active >= self._limits.max_requests:
                return refusals.FULL
            self._active += 1
        return None

    def _leave(self) -> None:
        with self._lock:
            self._active -= 1

    def _run(
        self,
        request: parsing.CallerRequest,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        request_id = uuid.uuid4().hex
        caller = server_lib.caller(environ)
        run = run_lib.RequestRun(
            request_id=request_id,
            request=request,
            caller=caller,
            start_response=start_response,
            submit=self._submit,
            claims=self._claims,
            relay=self._relay,
            on_close=functools.partial(self._forget, request_id),
        )
        self._run_by_id[request_id] = run
        self._submit(_arrived(request_id, request))
        caller.on_hangup(functools.partial(self._hang_up, request_id))
        return run

    def _hang_up(self, request_id: str) -> None:
        self._submit(events.CallerGone(request_id, clock.monotonic_ms()))
        self.callers_gone += 1

    def _forget(self, request_id: str) -> None:
        del self._run_by_id[request_id]
        self._leave()

    def _renew_forever(self) -> None:
        while not self._stopping.is_set():
            with contextlib.suppress(control_client.ControlUnavailable):
                self._renew_once()
            self._claims.settle_rest()
            self._stopping.wait(RENEW_S)

    def _hear(self, data: bytes) -> None:
        """Reduce one message of a runner's feed; drop what is not valid."""
        try:
            _, message = self._feed_codec.decode(data)
        except envelope.MessageRejected as error:
            _LOG.debug("feed message dropped: %s", error)
            return
        if isinstance(message, load_messages.CacheEvents):
            self._submit(events.CacheChanged(message))
        else:
            self._submit(events.LoadReported(message, clock.monotonic_ms()))

    def _renew_once(self) -> None:
        with self._lock:
            demand = placing.take_demand(self._entry)
        try:
            self._renew_with(demand)
        except control_client.ControlUnavailable:
            with self._lock:
                placing.give_back_demand(self._entry, demand)
            raise
        chosen = self._entry.chosen_by_service
        self._feed.follow(subset.feeds(self._entry.config, chosen))

    def _renew_with(self, demand: list[fleet.ServiceDemand]) -> None:
        asked_ms = clock.monotonic_ms()
        message = control_messages.Renew(
            process=f"entry/{self._name}",
            incarnation=self._incarnation,
            kind=control_messages.ProcessKind.ENTRY,
            config_number=self._entry.config.number,
            fleet_version=self._entry.fleet_view.version,
            runner="",
            demand=demand,
            leaving=self._leaving,
        )
        reply = self._control.call(message)
        if isinstance(reply, control_messages.Grant):
            with self._lock:
                list(
                    reducer.reduce(self._entry, events.Granted(reply, asked_ms))
                )


def _arrived(request_id: str, request: parsing.CallerRequest) -> events.Arrived:
    return events.Arrived(
        request_id=request_id,
        account=request.account,
        service=request.service,
        key=request.key,
        digest=request.digest,
        prefill_tokens=request.prefill_tokens,
        decode_tokens=request.decode_tokens,
        prefix_hashes=list(request.prefix_hashes),
        now_ms=clock.monotonic_ms(),
    )


def _respond_probe(
    environ: server_lib.Environ,
    start_response: server_lib.StartResponse,
    *,
    healthy: bool,
) -> server_lib.Response:
    if environ["REQUEST_METHOD"] not in ("GET", "HEAD"):
        return server_lib.refuse(start_response, refusals.PROBE_METHOD)
    status = 200 if healthy else 503
    return server_lib.respond(start_response, status=status, body=b"{}")
