"""Client of one engine's order and state interface."""

from typing import final

import msgspec
import urllib3

from wisteriawall import errors
from wisteriawall.wire import fleet

__all__ = ["EngineClient", "EngineState", "EngineUnclear", "OrderRefused"]

ORDER_TIMEOUT_S = 60.0
STATE_TIMEOUT_S = 2.0


@final
class EngineUnclear(errors.WisteriawallError):
    """The engine gave no answer; the order may have taken effect."""


@final
class OrderRefused(errors.WisteriawallError):
    """The engine refused the order; it had no effect."""


@final
class EngineState(msgspec.Struct, frozen=True):
    """What an engine says of itself."""

    role: fleet.Role
    busy: bool
    waiting_prefill_tokens: int
    running_streams: int
    free_pieces: int


@final
class OrderBody(msgspec.Struct, frozen=True):
    """Body of an order request."""

    term: int
    order_id: int
    action: fleet.Action
    argument: str


@final
class EngineClient:
    """Call one engine.

    Args:
        address: Host and port of the engine.
    """

    def __init__(self, *, address: str) -> None:
        self._url = f"http://{address}/admin"
        self._pool = urllib3.PoolManager(retries=False)

    def give_order(self, order: fleet.Order) -> EngineState:
        """Carry out `order` and return the state after it.

        Raises:
            OrderRefused: The engine refused the order.
            EngineUnclear: No answer came back.
        """
        body = OrderBody(
            order.fence.term,
            order.fence.order_id,
            order.action,
            order.argument,
        )
        status, data = self._request(
            "POST", "/orders", msgspec.json.encode(body), ORDER_TIMEOUT_S
        )
        if status != 200:
            raise OrderRefused(data.decode(errors="replace"))
        return _decode_state(data)

    def inspect(self) -> EngineState:
        """Return the engine's state.

        Raises:
            EngineUnclear: No answer came back.
        """
        _, data = self._request("GET", "/state", b"", STATE_TIMEOUT_S)
        return _decode_state(data)

    def _request(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        try:
            response = self._pool.request(
                method, self._url + path, body=body, timeout=timeout_s
            )
        except urllib3.exceptions.HTTPError as error:
            raise EngineUnclear(str(error)) from error
        return response.status, response.data


def _decode_state(data: bytes) -> EngineState:
    try:
        return msgspec.json.decode(data, type=EngineState)
    except msgspec.DecodeError as error:
        raise EngineUnclear(f"malformed state: {error}") from error
