"""Client of one engine's order, state, load and cache interface."""

from typing import TypeVar
from typing import final

import msgspec

from wisteriawall import errors
from wisteriawall.agent import engine_messages
from wisteriawall.wire import fleet
from wisteriawall.wire import http_call

__all__ = ["EngineClient", "EngineUnclear", "OrderRefused"]

ORDER_TIMEOUT_S = 60.0
STATE_TIMEOUT_S = 2.0

MessageT = TypeVar("MessageT")


@final
class EngineUnclear(errors.WisteriawallError):
    """The engine gave no usable answer; an order may have taken effect."""


@final
class OrderRefused(errors.WisteriawallError):
    """The engine refused the order; it had no effect."""


@final
class EngineClient:
    """Calls one engine.

    Args:
        address: Host and port of the engine.
        order_timeout_s: Timeout of an order, in seconds.
    """

    def __init__(
        self, *, address: str, order_timeout_s: float = ORDER_TIMEOUT_S
    ) -> None:
        self._url = f"http://{address}/admin"
        self._order_timeout_s = order_timeout_s

    def execute_order(self, order: fleet.Order) -> engine_messages.EngineState:
        """Have the engine execute `order`; return its state afterwards.

        Raises:
            OrderRefused: The engine refused the order.
            EngineUnclear: The engine failed or did not answer in time.
        """
        body = engine_messages.OrderRequest(
            order.fencing_number.term,
            order.fencing_number.order_id,
            order.action,
            order.argument,
        )
        status, data = self._request(
            "POST",
            "/orders",
            msgspec.json.encode(body),
            self._order_timeout_s,
        )
        if 400 <= status < 500:
            raise OrderRefused(data.decode(errors="replace"))
        if status != 200:
            raise EngineUnclear(f"HTTP {status}")
        return _decode(data, engine_messages.EngineState)

    def fetch_state(self) -> engine_messages.EngineState:
        """Return the state that the engine reports.

        Raises:
            EngineUnclear: The engine gave no usable answer.
        """
        return self._get("/state", engine_messages.EngineState)

    def fetch_load(self) -> engine_messages.EngineLoad:
        """Return the load that the engine reports.

        Raises:
            EngineUnclear: The engine gave no usable answer.
        """
        return self._get("/load", engine_messages.EngineLoad)

    def fetch_cache_page(
        self, *, after: int | None
    ) -> engine_messages.CacheChangePage:
        """Return a page of cache changes.

        Args:
            after: Number of the first change; None for the complete cache.

        Raises:
            EngineUnclear: The engine gave no usable answer.
        """
        query = "" if after is None else f"?after={after}"
        return self._get(f"/cache{query}", engine_messages.CacheChangePage)

    def _get(self, path: str, message_type: type[MessageT]) -> MessageT:
        status, data = self._request("GET", path, b"", STATE_TIMEOUT_S)
        if status != 200:
            raise EngineUnclear(f"{path}: HTTP {status}")
        return _decode(data, message_type)

    def _request(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        try:
            response = http_call.call(
                method, self._url + path, body=body, timeout_s=timeout_s
            )
        except http_call.CallFailed as error:
            raise EngineUnclear(str(error)) from error
        return response.status, response.body


def _decode(data: bytes, message_type: type[MessageT]) -> MessageT:
    try:
        return msgspec.json.decode(data, type=message_type)
    except (msgspec.DecodeError, RecursionError, UnicodeError) as error:
        raise EngineUnclear(f"malformed answer: {error}") from error
