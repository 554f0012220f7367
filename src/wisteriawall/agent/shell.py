"""Shell of the agent: HTTP proxy, feed, lease renewal and orders.

It feeds events to the reducer and carries out the effects.
"""

from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import dataclasses
import functools
import itertools
import logging
import threading
import time
from typing import final

from wisteriawall import clock
from wisteriawall.agent import engine_client
from wisteriawall.agent import engine_messages
from wisteriawall.agent import events
from wisteriawall.agent import feed as feed_lib
from wisteriawall.agent import proxy
from wisteriawall.agent import reducer
from wisteriawall.agent import state
from wisteriawall.config import document
from wisteriawall.observability import metrics as metrics_lib
from wisteriawall.web import server as server_lib
from wisteriawall.wire import control_client
from wisteriawall.wire import control_messages
from wisteriawall.wire import envelope
from wisteriawall.wire import fleet

__all__ = ["AgentOptions", "AgentShell"]

_LOG = logging.getLogger("agent")

RENEW_INTERVAL_S = 0.3
DRAIN_NOTICE_S = 1.5
RENEWALS_PER_INSPECTION = 10
DRAIN_POLL_INTERVAL_S = 0.05
REPORT_TIMEOUT_S = 2.0
HTTP_THREADS = 64
MS_PER_S = 1_000


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AgentOptions:
    """Options of an agent.

    Attributes:
        kind: Kind of the upstream's service.
        feed: Host and port of the feed; without one there is no feed.
        drain_deadline_s: Seconds after which a planned stop aborts running
            answers; 0 waits for all of them.
        order_timeout_s: Timeout of an order, in seconds.
        metrics: Receives counts and times.
    """

    kind: document.ServiceKind = document.ServiceKind.MODEL
    feed: str = ""
    drain_deadline_s: float = 0.0
    order_timeout_s: float = engine_client.ORDER_TIMEOUT_S
    metrics: metrics_lib.Metrics = dataclasses.field(
        default_factory=metrics_lib.NullMetrics
    )


@final
class AgentShell:
    """Runs the agent in front of one upstream.

    Args:
        runner: Name of the runner in the configuration.
        address: Host and port that entries call.
        upstream: Host and port of the upstream.
        control_address_by_replica: RPC address of every control replica.
        key: Shared cluster key.
        token: Secret by which entries authenticate.
        incarnation: Number that increases with every start of this process.
        options: Further options; the defaults if None.
    """

    def __init__(
        self,
        *,
        runner: str,
        address: str,
        upstream: str,
        control_address_by_replica: Mapping[str, str],
        key: bytes,
        token: str,
        incarnation: int,
        options: AgentOptions | None = None,
    ) -> None:
        self._options = options or AgentOptions()
        self._agent = state.AgentState(runner=runner, incarnation=incarnation)
        self._fleet_version = 0
        self._engine_status: fleet.EngineStatus | None = None
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._renew_now = threading.Event()
        self._engine = engine_client.EngineClient(
            address=upstream, order_timeout_s=self._options.order_timeout_s
        )
        sender = envelope.Sender(f"agent/{runner}", incarnation)
        self._control = control_client.ControlClient(
            address_by_replica=control_address_by_replica,
            key=key,
            sender=sender,
        )
        self._proxy = proxy.UpstreamProxy(
            upstream=upstream,
            token=token,
            submit=self.submit,
            metrics=self._options.metrics,
        )
        self._http = server_lib.HttpServer(
            address=address, app=self._proxy, threads=HTTP_THREADS
        )
        self.address = self._http.address
        self._feed = self._make_feed(key, sender)
        self.feed_address = self._feed.address if self._feed else ""
        self._renewer = threading.Thread(
            target=self._renew_forever, name=f"renew-{runner}", daemon=True
        )

    def start(self) -> None:
        """Start serving, renewing the lease and publishing the feed."""
        self._http.start()
        self._renewer.start()
        if self._feed:
            self._feed.start()

    def stop(self, *, notice_s: float = DRAIN_NOTICE_S) -> None:
        """Announce the stop, finish running attempts and orders, then stop.

        Args:
            notice_s: Seconds to wait, while new work is refused as not run,
                so that the entries receive the announcement.
        """
        self.submit(events.Stopping(clock.monotonic_ms()))
        self._renew_now.set()
        time.sleep(notice_s)
        self._await_running_answers()
        self._await_order()
        self.kill()

    def kill(self) -> None:
        """Stop at once, as a crash would."""
        self._stopping.set()
        self._renew_now.set()
        self._proxy.abort_all()
        if self._feed:
            self._feed.stop()
        self._http.stop()
        self._renewer.join(timeout=5.0)
        self._control.close()

    def submit(self, event: events.Event) -> list[events.Effect]:
        """Apply one event and start threads for its order effects.

        Returns:
            All effects; the caller carries out the admission or rejection.
        """
        with self._lock:
            effects = list(reducer.reduce(self._agent, event))
        for effect in effects:
            match effect:
                case events.Execute(order):
                    self._run_in_thread(functools.partial(self._execute, order))
                case events.Inspect():
                    self._run_in_thread(
                        functools.partial(self._inspect, effect)
                    )
                case events.Report():
                    self._run_in_thread(functools.partial(self._report, effect))
                case _:
                    pass
        return effects

    def _make_feed(
        self, key: bytes, sender: envelope.Sender
    ) -> feed_lib.FeedPublisher | None:
        if not self._options.feed:
            return None
        is_model = self._options.kind is document.ServiceKind.MODEL
        return feed_lib.FeedPublisher(
            address=self._options.feed,
            runner=self._agent.runner,
            key=key,
            sender=sender,
            engine=self._engine if is_model else None,
            agent_load=self._agent_load,
        )

    def _agent_load(self) -> feed_lib.AgentLoad:
        agent = self._agent
        self._options.metrics.set_gauge("running", len(agent.running_attempts))
        return feed_lib.AgentLoad(
            running=len(agent.running_attempts),
            first_token_ms=self._proxy.first_token_ms,
            stopping=agent.stopping,
            order_phase=agent.order_phase,
        )

    def _await_running_answers(self) -> None:
        """Wait for running answers, at most until the drain deadline."""
        drain_s = self._options.drain_deadline_s
        deadline = time.monotonic() + drain_s if drain_s else None
        while self._agent.running_attempts:
            if deadline is not None and time.monotonic() >= deadline:
                _LOG.warning(
                    "agent %s: drain deadline passed, %d answers aborted",
                    self._agent.runner,
                    len(self._agent.running_attempts),
                )
                return
            time.sleep(DRAIN_POLL_INTERVAL_S)

    def _await_order(self) -> None:
        """Wait for the engine's answer to an order, then for its report.

        The wait for control to confirm the report is limited.
        """
        while self._agent.order_phase is fleet.OrderPhase.EXECUTING:
            time.sleep(DRAIN_POLL_INTERVAL_S)
        deadline = time.monotonic() + REPORT_TIMEOUT_S
        while self._agent.unconfirmed_report and time.monotonic() < deadline:
            time.sleep(DRAIN_POLL_INTERVAL_S)

    @staticmethod
    def _run_in_thread(target: Callable[[], None]) -> None:
        threading.Thread(target=target, name="order", daemon=True).start()

    def _renew_forever(self) -> None:
        self._await_min_fence()
        for number in itertools.count():
            if self._stopping.is_set():
                return
            self._renew_now.clear()
            if number % RENEWALS_PER_INSPECTION == 0:
                self._inspect_engine()
            with contextlib.suppress(control_client.ControlUnavailable):
                self._renew_once()
            self._renew_now.wait(RENEW_INTERVAL_S)

    def _renew_message(self) -> control_messages.RenewRequest:
        return control_messages.RenewRequest(
            process=f"agent/{self._agent.runner}",
            incarnation=self._agent.incarnation,
            kind=control_messages.ProcessKind.AGENT,
            config_number=self._agent.config_number,
            fleet_version=self._fleet_version,
            runner=self._agent.runner,
            demand=[],
            stopping=self._agent.stopping,
            engine=self._engine_status,
        )

    def _renew_once(self) -> None:
        asked_ms = clock.monotonic_ms()
        reply = self._control.call(self._renew_message())
        if isinstance(reply, control_messages.Grant):
            self._fleet_version = reply.fleet_version
            self.submit(
                events.LeaseGranted(reply, asked_ms, clock.monotonic_ms())
            )

    def _inspect_engine(self) -> engine_messages.EngineState | None:
        """Return the engine's state and store it for lease renewals.

        Returns None for plain services, and if the engine does not answer.
        """
        if self._options.kind is document.ServiceKind.PLAIN:
            return None
        try:
            engine_state = self._engine.fetch_state()
        except engine_client.EngineUnclear:
            return None
        self._engine_status = _to_engine_status(engine_state)
        return engine_state

    def _await_min_fence(self) -> None:
        """Wait until a majority of replicas reports its fencing number.

        Any majority includes a replica that has the newest committed order, so
        no order older than it can be accepted.
        """
        while not self._stopping.is_set():
            replies = self._control.call_all(self._renew_message())
            min_fencing_numbers = [
                reply.min_fencing_number
                for reply in replies
                if isinstance(reply, control_messages.Grant)
            ]
            if len(min_fencing_numbers) >= self._control.quorum_size:
                self.submit(
                    events.MinFenceReceived(
                        max(min_fencing_numbers), clock.monotonic_ms()
                    )
                )
                return
            self._stopping.wait(RENEW_INTERVAL_S)

    def _execute(self, order: fleet.Order) -> None:
        _LOG.info(
            "agent %s: executing order %d: %s %s",
            order.runner,
            order.fencing_number.order_id,
            order.action,
            order.argument,
        )
        started_s = time.monotonic()
        answer = self._send_order(order)
        metrics = self._options.metrics
        metrics.count(f"orders.{answer.outcome}")
        metrics.record_duration_ms(
            "order", (time.monotonic() - started_s) * MS_PER_S
        )
        self.submit(answer)

    def _send_order(self, order: fleet.Order) -> events.OrderAnswered:
        role = fleet.Role.MIXED
        try:
            engine_state = self._engine.execute_order(order)
        except engine_client.OrderRefused as error:
            outcome, detail = events.Outcome.REFUSED, str(error)
        except engine_client.EngineUnclear as error:
            outcome, detail = events.Outcome.UNKNOWN, str(error)
            _LOG.warning(
                "agent %s: order %d may or may not have taken effect, "
                "inspecting the engine: %s",
                order.runner,
                order.fencing_number.order_id,
                detail,
            )
        else:
            outcome, detail, role = events.Outcome.DONE, "", engine_state.role
            self._engine_status = _to_engine_status(engine_state)
        return events.OrderAnswered(
            order.fencing_number.order_id,
            outcome,
            detail,
            role,
            clock.monotonic_ms(),
        )

    def _inspect(self, effect: events.Inspect) -> None:
        if self._stopping.wait(effect.delay_ms / MS_PER_S):
            return
        engine_state = self._inspect_engine()
        self.submit(
            events.Inspected(
                effect.order_id, engine_state, clock.monotonic_ms()
            )
        )

    def _report(self, report: events.Report) -> None:
        message = control_messages.OrderReport(
            order_id=report.order_id,
            runner=self._agent.runner,
            incarnation=self._agent.incarnation,
            succeeded=report.succeeded,
            detail=report.detail,
            role=report.role,
            engine=self._engine_status,
        )
        while not self._stopping.is_set():
            with contextlib.suppress(control_client.ControlUnavailable):
                self._control.call(message)
                self.submit(
                    events.OrderReported(report.order_id, clock.monotonic_ms())
                )
                return
            self._stopping.wait(RENEW_INTERVAL_S)


def _to_engine_status(
    engine_state: engine_messages.EngineState,
) -> fleet.EngineStatus:
    return fleet.EngineStatus(
        engine_state.role,
        engine_state.model,
        engine_state.adapters,
        engine_state.unclear,
    )
