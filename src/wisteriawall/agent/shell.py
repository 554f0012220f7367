"""Agent's shell: lease renewal, order execution and the gate."""

from collections.abc import Mapping
import contextlib
import logging
import threading
import time
from typing import final

from wisteriawall.agent import engine_client
from wisteriawall.agent import events
from wisteriawall.agent import gate
from wisteriawall.agent import reducer
from wisteriawall.web import server as server_lib
from wisteriawall.wire import control_client
from wisteriawall.wire import control_messages
from wisteriawall.wire import envelope
from wisteriawall.wire import fleet

__all__ = ["AgentShell"]

_LOG = logging.getLogger("agent")

RENEW_S = 0.3
DRAIN_POLL_S = 0.05
HTTP_THREADS = 64


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
    ) -> None:
        self._agent = reducer.Agent(runner=runner, incarnation=incarnation)
        self._fleet_version = 0
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._engine = engine_client.EngineClient(address=upstream)
        self._control = control_client.ControlClient(
            address_by_replica=control_address_by_replica,
            key=key,
            sender=envelope.Sender(f"agent/{runner}", incarnation),
        )
        app = gate.Gate(upstream=upstream, token=token, submit=self.submit)
        self._http = server_lib.HttpServer(
            address=address, app=app, threads=HTTP_THREADS
        )
        self.address = self._http.address
        self._renewer = threading.Thread(
            target=self._renew_forever, name=f"renew-{runner}", daemon=True
        )

    def start(self) -> None:
        """Start the agent."""
        self._http.start()
        self._renewer.start()

    def stop(self) -> None:
        """Finish what runs, then stop."""
        self.submit(events.Stopping(_now_ms()))
        while self._agent.running:
            time.sleep(DRAIN_POLL_S)
        self.kill()

    def kill(self) -> None:
        """Stop at once, as a crash would."""
        self._stopping.set()
        self._http.stop()
        self._renewer.join(timeout=5.0)
        self._control.close()

    def submit(self, event: events.Event) -> list[events.Effect]:
        """Reduce one event, start its order effects and return the rest."""
        with self._lock:
            effects = list(reducer.reduce(self._agent, event))
        for effect in effects:
            match effect:
                case events.Execute(order):
                    self._in_background(self._execute, order)
                case events.Report():
                    self._in_background(self._report, effect)
                case _:
                    pass
        return effects

    @staticmethod
    def _in_background(target: object, argument: object) -> None:
        threading.Thread(
            target=target,  # type: ignore[arg-type]
            args=(argument,),
            name="order",
            daemon=True,
        ).start()

    def _renew_forever(self) -> None:
        self._learn_floor()
        while not self._stopping.is_set():
            with contextlib.suppress(control_client.ControlUnavailable):
                self._renew_once()
            self._stopping.wait(RENEW_S)

    def _renew_message(self) -> control_messages.Renew:
        return control_messages.Renew(
            process=f"agent/{self._agent.runner}",
            incarnation=self._agent.incarnation,
            kind=control_messages.ProcessKind.AGENT,
            config_number=self._agent.config_number,
            fleet_version=self._fleet_version,
            runner=self._agent.runner,
            demand=[],
        )

    def _renew_once(self) -> None:
        asked_ms = _now_ms()
        reply = self._control.call(self._renew_message())
        if isinstance(reply, control_messages.Grant):
            self._fleet_version = reply.fleet_version
            self.submit(events.Granted(reply, asked_ms, _now_ms()))

    def _learn_floor(self) -> None:
        while not self._stopping.is_set():
            replies = self._control.call_each(self._renew_message())
            floors = [
                reply.floor
                for reply in replies
                if isinstance(reply, control_messages.Grant)
            ]
            if len(floors) >= self._control.majority:
                self.submit(events.FloorLearned(max(floors), _now_ms()))
                return
            self._stopping.wait(RENEW_S)

    def _execute(self, order: fleet.Order) -> None:
        succeeded, detail = True, "done"
        try:
            state = self._engine.give_order(order)
        except engine_client.OrderRefused as error:
            succeeded, detail = False, str(error)
            state = self._inspect()
        except engine_client.EngineUnclear as error:
            succeeded, detail = False, f"unclear: {error}"
            state = self._inspect()
        self.submit(
            events.OrderFinished(
                order.fence.order_id, succeeded, detail, state.role, _now_ms()
            )
        )

    def _inspect(self) -> engine_client.EngineState:
        """Ask the engine until it gives a settled account of itself."""
        while True:
            with contextlib.suppress(engine_client.EngineUnclear):
                state = self._engine.inspect()
                if not state.busy:
                    return state
            self._stopping.wait(RENEW_S)

    def _report(self, report: events.Report) -> None:
        message = control_messages.OrderReport(
            order_id=report.order_id,
            runner=self._agent.runner,
            incarnation=self._agent.incarnation,
            succeeded=report.succeeded,
            detail=report.detail,
            role=report.role,
        )
        while not self._stopping.is_set():
            with contextlib.suppress(control_client.ControlUnavailable):
                self._control.call(message)
                self.submit(events.OrderReported(report.order_id, _now_ms()))
                return
            self._stopping.wait(RENEW_S)


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
