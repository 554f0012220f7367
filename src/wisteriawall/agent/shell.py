"""Agent's shell: lease renewal, orders, the feed and the gate."""

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
from wisteriawall.agent import gate as gate_lib
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

RENEW_S = 0.3
LEAVING_NOTICE_S = 1.5
INSPECT_EVERY_RENEWALS = 10
DRAIN_POLL_S = 0.05
REPORT_ON_STOP_S = 2.0
HTTP_THREADS = 64
MS_PER_S = 1_000


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AgentOptions:
    """What an agent may be told beside where its peers are.

    An empty `feed` publishes none. `drain_deadline_s` 0 waits for running
    answers however long they take.
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
    """Run the agent in front of one upstream.

    Args:
        runner: Name of the runner in the configuration.
        address: Host and port that entries call.
        upstream: Host and port of the upstream.
        control_address_by_replica: RPC address of every control replica.
        key: Shared cluster key.
        token: Secret that entries present.
        incarnation: Number that rises with every start of this process.
        options: Feed, drain deadline, timeouts and metrics.
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
        self._agent = state.Agent(runner=runner, incarnation=incarnation)
        self._fleet_version = 0
        self._engine_view: fleet.EngineView | None = None
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._renew_soon = threading.Event()
        self._engine = engine_client.EngineClient(
            address=upstream, order_timeout_s=self._options.order_timeout_s
        )
        sender = envelope.Sender(f"agent/{runner}", incarnation)
        self._control = control_client.ControlClient(
            address_by_replica=control_address_by_replica,
            key=key,
            sender=sender,
        )
        self._gate = gate_lib.Gate(
            upstream=upstream,
            token=token,
            submit=self.submit,
            metrics=self._options.metrics,
        )
        self._http = server_lib.HttpServer(
            address=address, app=self._gate, threads=HTTP_THREADS
        )
        self.address = self._http.address
        self._feed = self._make_feed(key, sender)
        self.feed_address = self._feed.address if self._feed else ""
        self._renewer = threading.Thread(
            target=self._renew_forever, name=f"renew-{runner}", daemon=True
        )

    def start(self) -> None:
        """Start the agent."""
        self._http.start()
        self._renewer.start()
        if self._feed:
            self._feed.start()

    def stop(self, *, notice_s: float = LEAVING_NOTICE_S) -> None:
        """Announce the stop, finish what runs, then stop.

        Args:
            notice_s: Seconds for which new work is refused as not run, until
                the entries have heard that this upstream is leaving.
        """
        self.submit(events.Stopping(clock.monotonic_ms()))
        self._renew_soon.set()
        time.sleep(notice_s)
        self._await_running()
        self._await_order()
        self.kill()

    def kill(self) -> None:
        """Stop at once, as a crash would."""
        self._stopping.set()
        self._renew_soon.set()
        self._gate.cut_all()
        if self._feed:
            self._feed.stop()
        self._http.stop()
        self._renewer.join(timeout=5.0)
        self._control.close()
        self._engine.close()

    def submit(self, event: events.Event) -> list[events.Effect]:
        """Reduce one event, start its order effects and return the rest."""
        with self._lock:
            effects = list(reducer.reduce(self._agent, event))
        for effect in effects:
            match effect:
                case events.Execute(order):
                    self._in_background(functools.partial(self._execute, order))
                case events.Inspect():
                    self._in_background(
                        functools.partial(self._inspect, effect)
                    )
                case events.Report():
                    self._in_background(functools.partial(self._report, effect))
                case _:
                    pass
        return effects

    def _make_feed(
        self, key: bytes, sender: envelope.Sender
    ) -> feed_lib.Feed | None:
        if not self._options.feed:
            return None
        is_model = self._options.kind is document.ServiceKind.MODEL
        return feed_lib.Feed(
            address=self._options.feed,
            runner=self._agent.runner,
            key=key,
            sender=sender,
            engine=self._engine if is_model else None,
            own_load=self._own_load,
        )

    def _own_load(self) -> feed_lib.OwnLoad:
        agent = self._agent
        self._options.metrics.set_gauge("running", len(agent.running))
        return feed_lib.OwnLoad(
            running=len(agent.running),
            first_token_ms=self._gate.first_token_ms,
            leaving=agent.stopping,
            order_phase=agent.order_phase,
        )

    def _await_running(self) -> None:
        """Wait for running answers, or until the operator's deadline."""
        deadline_s = self._options.drain_deadline_s
        until = time.monotonic() + deadline_s if deadline_s else None
        while self._agent.running:
            if until is not None and time.monotonic() >= until:
                _LOG.warning(
                    "agent %s: drain deadline passed, %d answers cut",
                    self._agent.runner,
                    len(self._agent.running),
                )
                return
            time.sleep(DRAIN_POLL_S)

    def _await_order(self) -> None:
        """Wait for the engine's answer, then a while for its report."""
        while self._agent.order_phase is fleet.OrderPhase.EXECUTING:
            time.sleep(DRAIN_POLL_S)
        until = time.monotonic() + REPORT_ON_STOP_S
        while self._agent.report and time.monotonic() < until:
            time.sleep(DRAIN_POLL_S)

    @staticmethod
    def _in_background(target: Callable[[], None]) -> None:
        threading.Thread(target=target, name="order", daemon=True).start()

    def _renew_forever(self) -> None:
        self._learn_floor()
        for number in itertools.count():
            if self._stopping.is_set():
                return
            self._renew_soon.clear()
            if number % INSPECT_EVERY_RENEWALS == 0:
                self._look()
            with contextlib.suppress(control_client.ControlUnavailable):
                self._renew_once()
            self._renew_soon.wait(RENEW_S)

    def _renew_message(self) -> control_messages.Renew:
        return control_messages.Renew(
            process=f"agent/{self._agent.runner}",
            incarnation=self._agent.incarnation,
            kind=control_messages.ProcessKind.AGENT,
            config_number=self._agent.config_number,
            fleet_version=self._fleet_version,
            runner=self._agent.runner,
            demand=[],
            leaving=self._agent.stopping,
            engine=self._engine_view,
        )

    def _renew_once(self) -> None:
        asked_ms = clock.monotonic_ms()
        reply = self._control.call(self._renew_message())
        if isinstance(reply, control_messages.Grant):
            self._fleet_version = reply.fleet_version
            self.submit(events.Granted(reply, asked_ms, clock.monotonic_ms()))

    def _look(self) -> engine_messages.EngineState | None:
        """Return the engine's account and remember it for renewals."""
        if self._options.kind is document.ServiceKind.PLAIN:
            return None
        try:
            account = self._engine.inspect()
        except engine_client.EngineUnclear:
            return None
        self._engine_view = _view(account)
        return account

    def _learn_floor(self) -> None:
        while not self._stopping.is_set():
            replies = self._control.call_each(self._renew_message())
            floors = [
                reply.floor
                for reply in replies
                if isinstance(reply, control_messages.Grant)
            ]
            if len(floors) >= self._control.majority:
                self.submit(
                    events.FloorLearned(max(floors), clock.monotonic_ms())
                )
                return
            self._stopping.wait(RENEW_S)

    def _execute(self, order: fleet.Order) -> None:
        _LOG.info(
            "agent %s: order %d begins: %s %s",
            order.runner,
            order.fence.order_id,
            order.action,
            order.argument,
        )
        began = time.monotonic()
        answered = self._answer_of(order)
        metrics = self._options.metrics
        metrics.count(f"orders.{answered.outcome}")
        metrics.record_duration_ms(
            "order", (time.monotonic() - began) * MS_PER_S
        )
        self.submit(answered)

    def _answer_of(self, order: fleet.Order) -> events.OrderAnswered:
        role = fleet.Role.MIXED
        try:
            account = self._engine.give_order(order)
        except engine_client.OrderRefused as error:
            outcome, detail = events.Outcome.REFUSED, str(error)
        except engine_client.EngineUnclear as error:
            outcome, detail = events.Outcome.UNCLEAR, str(error)
            _LOG.warning(
                "agent %s: order %d is unclear: %s",
                order.runner,
                order.fence.order_id,
                detail,
            )
        else:
            outcome, detail, role = events.Outcome.DONE, "", account.role
            self._engine_view = _view(account)
        return events.OrderAnswered(
            order.fence.order_id, outcome, detail, role, clock.monotonic_ms()
        )

    def _inspect(self, effect: events.Inspect) -> None:
        if self._stopping.wait(effect.delay_ms / MS_PER_S):
            return
        account = self._look()
        self.submit(
            events.Inspected(effect.order_id, account, clock.monotonic_ms())
        )

    def _report(self, report: events.Report) -> None:
        message = control_messages.OrderReport(
            order_id=report.order_id,
            runner=self._agent.runner,
            incarnation=self._agent.incarnation,
            succeeded=report.succeeded,
            detail=report.detail,
            role=report.role,
            engine=self._engine_view,
        )
        while not self._stopping.is_set():
            with contextlib.suppress(control_client.ControlUnavailable):
                self._control.call(message)
                self.submit(
                    events.OrderReported(report.order_id, clock.monotonic_ms())
                )
                return
            self._stopping.wait(RENEW_S)


def _view(account: engine_messages.EngineState) -> fleet.EngineView:
    return fleet.EngineView(
        account.role, account.model, account.adapters, account.unclear
    )
