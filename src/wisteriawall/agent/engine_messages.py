"""JSON messages of an engine's order, state, load and cache interface."""

from typing import final

import msgspec

from wisteriawall.wire import fleet
from wisteriawall.wire import load_messages

__all__ = ["CacheChangePage", "EngineLoad", "EngineState", "OrderRequest"]


@final
class EngineState(msgspec.Struct, frozen=True):
    """State that an engine reports when it is inspected.

    Attributes:
        role: The engine's role.
        busy: Whether an order is in progress.
        unclear: Whether an order was interrupted and the engine has not yet
            determined how it ended.
        done_order_id: Newest order that took effect, 0 without one.
        model: Loaded model, as `model@version`.
        adapters: Loaded adapters.
    """

    role: fleet.Role
    busy: bool = False
    unclear: bool = False
    done_order_id: int = 0
    model: str = ""
    adapters: list[str] = []

    @property
    def is_settled(self) -> bool:
        """Return whether the state changes only by another order."""
        return not self.busy and not self.unclear


@final
class EngineLoad(msgspec.Struct, frozen=True):
    """Load that an engine reports, with some delay."""

    waiting_prefill_tokens: int = 0
    running_streams: int = 0
    free_pieces: int = 0
    queued_decode_tokens: int = 0
    cached_pieces: int = 0


@final
class CacheChangePage(msgspec.Struct, frozen=True):
    """Cache changes numbered from `first`; the next page starts at `next`.

    `complete` means that the changes list the entire cache. If `first` is not
    the number that was requested, changes before it are missing.
    """

    first: int
    next: int
    complete: bool
    changes: list[load_messages.CacheChange]


@final
class OrderRequest(msgspec.Struct, frozen=True):
    """Body of the HTTP request that sends an order to an engine."""

    term: int
    order_id: int
    action: fleet.OrderAction
    argument: str
