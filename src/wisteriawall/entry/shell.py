"""Shell of the entry: HTTP server, lease renewal and planned stop.

It feeds events to the reducer and carries out the effects.
"""

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
from wisteriawall.entry import agent_client as agent_client_lib
from wisteriawall.entry import attempt as attempt_lib
from wisteriawall.entry import claim_client as claim_client_lib
from wisteriawall.entry import dispatching
from wisteriawall.entry import events
from wisteriawall.entry import parsing
from wisteriawall.entry import reducer
from wisteriawall.entry import refusals
from wisteriawall.entry import request_handler
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

__all__ = ["EntryLimits", "EntryShell"]

_LOG = logging.getLogger("entry")

RENEW_INTERVAL_S = 0.3
DRAIN_POLL_INTERVAL_S = 0.02
ABORT_WAIT_S = 5.0
SETTLE_TIMEOUT_S = 5.0
# Threads in addition to those that serve requests, for probes and refusals.
EXTRA_THREADS = 32


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class EntryLimits:
    """Limits and timeouts of one entry.

    Attributes:
        max_requests: Requests served at a time; more are refused.
        grace_s: Seconds that a stopping entry still accepts requests, until
            the load balancer has seen /readyz fail.
        drain_deadline_s: Seconds after which a planned stop aborts running
            requests; 0 waits for all of them.
        request_read_timeout_s: Seconds for a caller to send a request.
        timeouts: Timeouts of one attempt.
    """

    max_requests: int = 256
    grace_s: float = 0.0
    drain_deadline_s: float = 0.0
    request_read_timeout_s: float = server_lib.REQUEST_READ_TIMEOUT_S
    timeouts: attempt_lib.AttemptTimeouts = dataclasses.field(
        default_factory=attempt_lib.AttemptTimeouts
    )


@final
class EntryShell:
    """Runs one entry.

    Args:
        name: Name of this entry.
        address: Host and port that callers use.
        zone: Availability zone of this VM.
        control_address_by_replica: RPC address of every control replica.
        key: Shared cluster key.
        token: Secret by which agents authenticate an entry.
        incarnation: Number that increases with every start of this process.
        limits: Limits and timeouts; the defaults if None.
        metrics: Receives counts of dispatches, answers and refusals.
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
        limits: EntryLimits | None = None,
        metrics: metrics_lib.Metrics | None = None,
    ) -> None:
        self._metrics = metrics or metrics_lib.NullMetrics()
        self._name = name
        self._incarnation = incarnation
        self._limits = limits or EntryLimits()
        self._entry = state.EntryState(
            zone=zone, name=name, rng=random.Random(f"{name}/{incarnation}")
        )
        self._lock = threading.Lock()
        self._draining = False
        self._stopping = threading.Event()
        self._active_requests = 0
        self.disconnected_callers = 0
        self._handler_by_request_id: dict[
            str, request_handler.RequestHandler
        ] = {}
        self._agents = agent_client_lib.AgentClient(
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
        self._feed = transport.Subscriber(on_message=self._on_feed_message)
        self._claims = claim_client_lib.ControlClaimClient(
            name=name,
            incarnation=incarnation,
            control=self._control,
            submit=self._submit,
        )
        self.http = server_lib.HttpServer(
            address=address,
            app=self._serve,
            threads=self._limits.max_requests + EXTRA_THREADS,
            request_read_timeout_s=self._limits.request_read_timeout_s,
        )
        self.address = self.http.address
        self._renewer = threading.Thread(
            target=self._renew_forever, name=f"renew-{name}", daemon=True
        )

    def start(self) -> None:
        """Start serving, the feed subscription and lease renewal."""
        self.http.start()
        self._feed.start()
        self._renewer.start()

    def stop(self) -> int:
        """Finish running requests, then stop.

        Returns:
            The number of requests aborted at the drain deadline.
        """
        self._draining = True
        deadline = self._drain_deadline()
        time.sleep(self._limits.grace_s)
        self._submit(events.Stopping(clock.monotonic_ms()))
        aborted = self._await_requests(deadline)
        self._await_settled()
        self._stopping.set()
        self.http.stop()
        self._renewer.join(timeout=5.0)
        self._feed.close()
        self._control.close()
        self._agents.close()
        _LOG.info("entry: stopped, %d requests aborted", aborted)
        return aborted

    def is_ready(self) -> bool:
        """Return whether a load balancer should send requests here."""
        return (
            not self._draining
            and clock.monotonic_ms() < self._entry.lease_until_ms
        )

    @property
    def is_stopping(self) -> bool:
        """Return whether new requests are refused because of a stop."""
        return self._entry.stopping

    @property
    def config(self) -> document.Document:
        """Return the newest configuration received."""
        return self._entry.config

    @property
    def in_flight(self) -> int:
        """Return the number of requests in progress.

        It is the largest of the counts kept in several places, so 0 means
        that none of them still holds a request.
        """
        counts = (
            self._active_requests,
            len(self._handler_by_request_id),
            len(self._entry.in_flight_by_id),
            len(self._entry.load.dispatch_by_id),
        )
        return max(counts)

    def _drain_deadline(self) -> float:
        if not self._limits.drain_deadline_s:
            return float("inf")
        return time.monotonic() + self._limits.drain_deadline_s

    def _await_requests(self, deadline: float) -> int:
        """Wait until no request runs; abort the rest at `deadline`.

        Returns:
            The number of requests aborted.
        """
        while self._active_requests:
            if time.monotonic() >= deadline:
                return self._abort_all()
            time.sleep(DRAIN_POLL_INTERVAL_S)
        return 0

    def _abort_all(self) -> int:
        handlers = list(self._handler_by_request_id.values())
        _LOG.warning(
            "entry: drain deadline passed, aborting %d requests", len(handlers)
        )
        for handler in handlers:
            handler.abort()
        deadline = time.monotonic() + ABORT_WAIT_S
        while self._active_requests and time.monotonic() < deadline:
            time.sleep(DRAIN_POLL_INTERVAL_S)
        return len(handlers)

    def _await_settled(self) -> None:
        deadline = time.monotonic() + SETTLE_TIMEOUT_S
        while self._claims.unsettled_count and time.monotonic() < deadline:
            time.sleep(DRAIN_POLL_INTERVAL_S)
        if self._claims.unsettled_count:
            _LOG.error(
                "entry: stopping although control did not confirm the "
                "outcome of %d claims",
                self._claims.unsettled_count,
            )

    def _submit(self, event: events.Event) -> None:
        """Apply one event and pass its effects to the requests' threads."""
        if isinstance(event, events.AttemptFinished):
            self._metrics.count("finished")
        with self._lock:
            for effect in reducer.reduce(self._entry, event):
                self._count_effect(effect)
                handler = self._handler_by_request_id.get(effect.request_id)
                if handler is not None:
                    handler.deliver(effect)

    def _count_effect(self, effect: events.Effect) -> None:
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
        refusal = self._begin_request()
        if refusal is not None:
            return server_lib.send_refusal(start_response, refusal)
        try:
            request = parsing.parse(environ, self._entry.config)
            return self._start_request(request, environ, start_response)
        except parsing.Refused as refused:
            self._end_request()
            return server_lib.send_refusal(start_response, refused.refusal)
        except BaseException:
            self._end_request()
            raise

    def _begin_request(self) -> refusal_lib.Refusal | None:
        """Count a request as active, or return a refusal before reading it."""
        with self._lock:
            if self._entry.stopping:
                return refusals.STOPPING
            if self._active_requests >= self._limits.max_requests:
                return refusals.OVERLOADED
            self._active_requests += 1
        return None

    def _end_request(self) -> None:
        with self._lock:
            self._active_requests -= 1

    def _start_request(
        self,
        request: parsing.CallerRequest,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        request_id = uuid.uuid4().hex
        caller = server_lib.caller_connection(environ)
        handler = request_handler.RequestHandler(
            request_id=request_id,
            request=request,
            caller=caller,
            start_response=start_response,
            submit=self._submit,
            claims=self._claims,
            agents=self._agents,
            on_close=functools.partial(self._on_request_closed, request_id),
        )
        self._handler_by_request_id[request_id] = handler
        self._submit(_arrived(request_id, request))
        caller.on_disconnect(functools.partial(self._on_disconnect, request_id))
        return handler

    def _on_disconnect(self, request_id: str) -> None:
        self._submit(
            events.CallerDisconnected(request_id, clock.monotonic_ms())
        )
        self.disconnected_callers += 1

    def _on_request_closed(self, request_id: str) -> None:
        del self._handler_by_request_id[request_id]
        self._end_request()

    def _renew_forever(self) -> None:
        while not self._stopping.is_set():
            with contextlib.suppress(control_client.ControlUnavailable):
                self._renew_once()
            self._claims.retry_unsettled()
            self._stopping.wait(RENEW_INTERVAL_S)

    def _on_feed_message(self, data: bytes) -> None:
        """Apply one message of a runner's feed; drop it if not valid."""
        try:
            _, message = self._feed_codec.decode(data)
        except envelope.MessageRejected as error:
            _LOG.debug("entry: feed message dropped: %s", error)
            return
        if isinstance(message, load_messages.CacheUpdate):
            self._submit(events.CacheChanged(message))
        else:
            self._submit(
                events.LoadReportReceived(message, clock.monotonic_ms())
            )

    def _renew_once(self) -> None:
        with self._lock:
            demand = dispatching.take_demand(self._entry)
        try:
            self._request_lease(demand)
        except control_client.ControlUnavailable:
            with self._lock:
                dispatching.restore_demand(self._entry, demand)
            raise
        chosen = self._entry.subset_by_service
        self._feed.set_publishers(
            subset.feed_addresses(self._entry.config, chosen)
        )

    def _request_lease(self, demand: list[fleet.ServiceDemand]) -> None:
        asked_ms = clock.monotonic_ms()
        message = control_messages.RenewRequest(
            process=f"entry/{self._name}",
            incarnation=self._incarnation,
            kind=control_messages.ProcessKind.ENTRY,
            config_number=self._entry.config.number,
            fleet_version=self._entry.fleet_view.version,
            runner="",
            demand=demand,
            stopping=self._draining,
        )
        reply = self._control.call(message)
        if isinstance(reply, control_messages.Grant):
            with self._lock:
                list(
                    reducer.reduce(
                        self._entry, events.LeaseGranted(reply, asked_ms)
                    )
                )


def _arrived(
    request_id: str, request: parsing.CallerRequest
) -> events.RequestArrived:
    return events.RequestArrived(
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
        return server_lib.send_refusal(
            start_response, refusals.PROBE_METHOD_NOT_ALLOWED
        )
    status = 200 if healthy else 503
    return server_lib.send_response(start_response, status=status, body=b"{}")
