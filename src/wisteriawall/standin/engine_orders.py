"""Orders of a stand-in engine: one at a time, seconds long, may crash."""

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
    """An order is in progress, or the state is unclear."""


@final
class OrderCrashed(errors.WisteriawallError):
    """The engine crashed in the middle of the order."""


@final
class EngineOrders:
    """Carry out orders on one engine.

    Args:
        core: Batch scheduler that an order takes away.
        timing: Speed of the engine.
        fencing: Whether orders with an old fencing number are refused.
        faults: Faults in force.
        model: Model loaded at the start, as `model@version`.
        weights: Address of the weight store; empty loads in `order_s`.
    """

    def __init__(
        self,
        *,
        core: engine_core.EngineCore,
        timing: engine_core.EngineTiming,
        fencing: document.Fencing,
        faults: faults_lib.Faults,
        model: str = "",
        weights: str = "",
    ) -> None:
        self._core = core
        self._timing = timing
        self._fencing = fencing
        self._faults = faults
        self._weights = weights
        self._lock = threading.Lock()
        self._fence = fleet.FENCE_ZERO
        self._unclear_until_s = 0.0
        self._done_ids: set[int] = set()
        self._in_progress = 0
        self._stall_ended = threading.Event()
        self._model = model
        self._adapters: set[str] = set()
        self.role = fleet.Role.MIXED
        self.done_order_id = 0
        self.overlapping_orders = 0
        self.effects: list[int] = []

    @property
    def busy(self) -> bool:
        """Tell whether an order is in progress."""
        return self._in_progress != 0

    def state(self) -> engine_messages.EngineState:
        """Return what an inspection shows."""
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
        """End the stall of an order early; later orders do not stall."""
        self._stall_ended.set()

    def carry_out(self, order: engine_messages.OrderRequest) -> None:
        """Carry out an order; one that took effect before has none again.

        Raises:
            OrderFenced: The fencing number is old, and this engine checks it.
            OrderConflict: Another order is in progress.
            OrderCrashed: The engine crashed; its state is unclear.
        """
        if not self._begin(order):
            return
        try:
            self._core.cut()
            self._take_time(order)
            crash, self._faults.crash_next = (
                self._faults.crash_next,
                faults_lib.Crash.NONE,
            )
            if crash is not faults_lib.Crash.NOT_DONE:
                self._apply(order)
            if crash is not faults_lib.Crash.NONE:
                self._unclear_until_s = time.monotonic() + self._timing.settle_s
                raise OrderCrashed(f"order {order.order_id}")
        finally:
            self._in_progress = 0

    def _begin(self, order: engine_messages.OrderRequest) -> bool:
        fence = fleet.Fence(order.term, order.order_id)
        with self._lock:
            if order.order_id in self._done_ids:
                return False
            enforced = self._fencing is document.Fencing.ENFORCED
            if enforced and fence < self._fence:
                raise OrderFenced(f"{fence}, expected {self._fence} or newer")
            if self.busy:
                self.overlapping_orders += 1
                raise OrderConflict(f"order {self._in_progress} in progress")
            self._fence = max(fence, self._fence)
            self._in_progress = order.order_id
            return True

    def _take_time(self, order: engine_messages.OrderRequest) -> None:
        stall_s, self._faults.stall_next_s = self._faults.stall_next_s, 0.0
        self._stall_ended.wait(stall_s)
        time.sleep(self._timing.order_s)
        fetches = (fleet.Action.LOAD, fleet.Action.LOAD_ADAPTER)
        if self._weights and order.action in fetches:
            name = order.argument.partition("@")[0]
            url = f"http://{self._weights}/weights/{name}"
            urllib3.request("GET", url, timeout=WEIGHTS_TIMEOUT_S)

    def _apply(self, order: engine_messages.OrderRequest) -> None:
        with self._lock:
            match order.action:
                case fleet.Action.SET_ROLE:
                    self.role = fleet.Role(order.argument)
                case fleet.Action.LOAD:
                    self._model = order.argument
                case fleet.Action.UNLOAD:
                    self._model = ""
                case fleet.Action.LOAD_ADAPTER:
                    self._adapters.add(order.argument)
                case fleet.Action.UNLOAD_ADAPTER:
                    self._adapters.discard(order.argument)
            self.done_order_id = order.order_id
            self._done_ids.add(order.order_id)
            self.effects.append(order.order_id)
        if order.action in (fleet.Action.LOAD, fleet.Action.UNLOAD):
            self._core.cache.clear(now_s=time.monotonic())
