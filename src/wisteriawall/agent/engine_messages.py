"""JSON messages of an engine's order, state, load and cache interface."""

from typing import final

import msgspec

from wisteriawall.wire import fleet
from wisteriawall.wire import load_messages

__all__ = ["CachePage", "EngineLoad", "EngineState", "OrderBody"]


@final
class EngineState(msgspec.Struct, frozen=True):
    """What an engine says of itself when inspected.

    `busy` means that an order is in progress, `unclear` that the engine does
    not yet know how an interrupted one ended. `done_order_id` is the newest
    order that took effect, `model` is `model@version`.
    """

    role: fleet.Role
    busy: bool = False
    unclear: bool = False
    done_order_id: int = 0
    model: str = ""
    adapters: list[str] = []

    @property
    def is_settled(self) -> bool:
        """Tell whether the state will stay without another order."""
        return not self.busy and not self.unclear


@final
class EngineLoad(msgspec.Struct, frozen=True):
    """Load that an engine reports; it lags behind."""

    waiting_prefill_tokens: int = 0
    running_streams: int = 0
    free_pieces: int = 0
    queued_decode_tokens: int = 0
    cached_pieces: int = 0


@final
class CachePage(msgspec.Struct, frozen=True):
    """Cache changes numbered from `first`; the next page starts at `next`.

    `complete` means that the changes list the whole cache. A page whose
    `first` is not the number that was asked for has a gap before it.
    """

    first: int
    next: int
    complete: bool
    changes: list[load_messages.CacheChange]


@final
class OrderBody(msgspec.Struct, frozen=True):
    """Body of an order request."""

    term: int
    order_id: int
    action: fleet.Action
    argument: str
