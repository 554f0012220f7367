"""Orders to a stand-in engine: one at a time, slow, and able to crash it."""

import threading
import time
from typing import final

import urllib3

from wisteriawall import errors
from wisteriawall.agent import engine_messages
from wisteriawall.config import document
from wisteriawall.standin import engine_core
from wisteriawall.standin import faults as faults_lib
from wisteriawall.wire import fleet

__all__ = ["EngineOrders", "OrderConflict", "OrderCrashed", "OrderFenced"]

WEIGHTS_TIMEOUT_S = 600.0


@final
class OrderFenced(errors.WisteriawallError):
    """The order carries an old fencing number."""


@final
class OrderConflict(errors.WisteriawallError):
    """Another order is in progress."""


@final
class OrderCrashed(errors.WisteriawallError):
    """The engine crashed during the order; it may have taken effect."""


@final
class EngineOrders:
    """Order state of one engine: its role, model and adapters.

    `applied_order_ids` lists the orders that took effect, oldest first, and
    `overlapping_order_count` counts the orders that were refused because
    another was in progress.

    Args:
        core: Batch scheduler, whose requests each order aborts.
        parameters: Speed and capacity of the engine.
        fencing: Whether orders with an old fencing number are refused.
        faults: Injected faults; those for the next order are reset by it.
        model: Model loaded at the start, as `model@version`.
        weight_store: Host and port of the weight store; if empty, loading a
            model or adapter fetches nothing.
    """

    def __init__(
        self,
        *,
        core: engine_core.EngineCore,
        parameters: engine_core.EngineParameters,
        fencing: document.Fencing,
        faults: faults_lib.Faults,
        model: str = "",
        weight_store: str = "",
    ) -> None:
        self._core = core
        self._parameters = parameters
        self._fencing = fencing
        self._faults = faults
        self._weight_store = weight_store
        self._lock = threading.Lock()
        self._newest_fence = fleet.FENCING_NUMBER_ZERO
        self._unclear_until_s = 0.0
        self._applied_order_ids: set[int] = set()
        self._current_order_id = 0
        self._stall_ended = threading.Event()
        self._model = model
        self._adapters: set[str] = set()
        self.role = fleet.Role.MIXED
        self.done_order_id = 0
        self.overlapping_order_count = 0
        self.applied_order_ids: list[int] = []

    @property
    def busy(self) -> bool:
        """Tell whether an order is in progress."""
        return self._current_order_id != 0

    def state(self) -> engine_messages.EngineState:
        """Return the state that the engine reports when it is inspected."""
        with self._lock:
            return engine_messages.EngineState(
                role=self.role,
                busy=self.busy,
                unclear=time.monotonic() < self._unclear_until_s,
                done_order_id=self.done_order_id,
                model=self._model,
                adapters=sorted(self._adapters),
            )

    def end_stall(self) -> None:
        """End the stall of the current order; later orders don't stall."""
        self._stall_ended.set()

    def carry_out(self, order: engine_messages.OrderRequest) -> None:
        """Carry out an order and return when it is done.

        An order id that already took effect is ignored.

        Raises:
            OrderFenced: The fencing number is old, and this engine checks it.
            OrderConflict: Another order is in progress.
            OrderCrashed: The engine crashed during the order. Its state is
                reported as unclear for `crash_recovery_s`.
        """
        if not self._try_begin(order):
            return
        try:
            self._core.abort_all()
            self._simulate_duration(order)
            crash, self._faults.crash_next = (
                self._faults.crash_next,
                faults_lib.OrderCrashPoint.NONE,
            )
            if crash is not faults_lib.OrderCrashPoint.BEFORE_EFFECT:
                self._apply(order)
            if crash is not faults_lib.OrderCrashPoint.NONE:
                self._unclear_until_s = (
                    time.monotonic() + self._parameters.crash_recovery_s
                )
                raise OrderCrashed(f"order {order.order_id}")
        finally:
            self._current_order_id = 0

    def _try_begin(self, order: engine_messages.OrderRequest) -> bool:
        """Mark an order as in progress; return False if it already applied."""
        fence = fleet.FencingNumber(order.term, order.order_id)
        with self._lock:
            if order.order_id in self._applied_order_ids:
                return False
            enforced = self._fencing is document.Fencing.ENFORCED
            if enforced and fence < self._newest_fence:
                raise OrderFenced(
                    f"{fence}, expected {self._newest_fence} or newer"
                )
            if self.busy:
                self.overlapping_order_count += 1
                raise OrderConflict(
                    f"order {self._current_order_id} in progress"
                )
            self._newest_fence = max(fence, self._newest_fence)
            self._current_order_id = order.order_id
            return True

    def _simulate_duration(self, order: engine_messages.OrderRequest) -> None:
        """Block for as long as a real engine would need for the order."""
        stall_s, self._faults.stall_next_s = self._faults.stall_next_s, 0.0
        self._stall_ended.wait(stall_s)
        time.sleep(self._parameters.order_duration_s)
        loading_actions = (
            fleet.OrderAction.LOAD,
            fleet.OrderAction.LOAD_ADAPTER,
        )
        if self._weight_store and order.action in loading_actions:
            model_name = order.argument.partition("@")[0]
            url = f"http://{self._weight_store}/weights/{model_name}"
            urllib3.request("GET", url, timeout=WEIGHTS_TIMEOUT_S)

    def _apply(self, order: engine_messages.OrderRequest) -> None:
        with self._lock:
            match order.action:
                case fleet.OrderAction.SET_ROLE:
                    self.role = fleet.Role(order.argument)
                case fleet.OrderAction.LOAD:
                    self._model = order.argument
                case fleet.OrderAction.UNLOAD:
                    self._model = ""
                case fleet.OrderAction.LOAD_ADAPTER:
                    self._adapters.add(order.argument)
                case fleet.OrderAction.UNLOAD_ADAPTER:
                    self._adapters.discard(order.argument)
            self.done_order_id = order.order_id
            self._applied_order_ids.add(order.order_id)
            self.applied_order_ids.append(order.order_id)
        if order.action in (fleet.OrderAction.LOAD, fleet.OrderAction.UNLOAD):
            self._core.cache.clear(now_s=time.monotonic())
