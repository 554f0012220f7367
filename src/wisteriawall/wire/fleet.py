"""State of runners and orders that control, entries and agents exchange."""

import enum
from typing import final

import msgspec

__all__ = [
    "FENCING_NUMBER_ZERO",
    "EngineStatus",
    "FencingNumber",
    "FleetView",
    "LoadReport",
    "Order",
    "OrderAction",
    "OrderPhase",
    "Role",
    "RunnerPhase",
    "RunnerView",
    "ServiceDemand",
    "StoredAnswer",
    "apply_fleet_update",
]


@final
class Role(enum.StrEnum):
    """Kind of work that an engine is configured for."""

    PREFILL = "prefill"
    DECODE = "decode"
    MIXED = "mixed"


@final
class RunnerPhase(enum.StrEnum):
    """Phase of a runner; entries send new work only to LIVE runners.

    CHANGING: An order to its engine is pending.
    DRAINING: An operator stopped new work to it.
    STOPPING: Its VM or its agent is stopping as planned.
    LOST: Its agent or VM is lost, or the state of its engine is unknown.
    """

    LIVE = "live"
    CHANGING = "changing"
    DRAINING = "draining"
    STOPPING = "leaving"
    LOST = "lost"


@final
class FencingNumber(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Fencing number of an order: leader term, then the order's log index.

    An agent executes no order with a lower fencing number than the highest
    one that it has received, so that an order of a former leader has no effect.
    """

    term: int
    order_id: int


FENCING_NUMBER_ZERO = FencingNumber(0, 0)


@final
class OrderAction(enum.StrEnum):
    """What an order asks an engine to do.

    The argument of SET_ROLE is a `Role`, that of LOAD and UNLOAD is
    `model@version`, and that of the adapter actions is the adapter's name.
    LOAD replaces the model that is loaded.
    """

    SET_ROLE = "set-role"
    LOAD = "load"
    UNLOAD = "unload"
    LOAD_ADAPTER = "load-adapter"
    UNLOAD_ADAPTER = "unload-adapter"


@final
class Order(msgspec.Struct, frozen=True, array_like=True):
    """A committed order to the engine of one runner.

    The meaning of `argument` depends on the action; see `OrderAction`.
    """

    fencing_number: FencingNumber
    runner: str
    action: OrderAction
    argument: str


@final
class EngineStatus(msgspec.Struct, frozen=True, array_like=True):
    """State of an engine as its agent last read it.

    `model` is `model@version`, empty if none is loaded. With `state_unknown`,
    the engine crashed or did not answer during a change, so that the other
    fields may be wrong.
    """

    role: Role
    model: str = ""
    adapters: list[str] = []
    state_unknown: bool = False


@final
class RunnerView(msgspec.Struct, frozen=True, array_like=True):
    """State of one runner according to the replicated log.

    `model` is `model@version`, empty if none is loaded.
    """

    runner: str
    phase: RunnerPhase
    role: Role
    model: str = ""
    adapters: list[str] = []


@final
class FleetView(msgspec.Struct, frozen=True, array_like=True):
    """State of the runners at one fleet version.

    With `base_version` 0 the view lists all runners. Otherwise it lists only
    those that changed after that version, and none was removed since then.
    """

    version: int
    runners: list[RunnerView]
    base_version: int = 0


def apply_fleet_update(current: FleetView, update: FleetView) -> FleetView:
    """Return the complete view that results from applying `update`.

    The result is `current` when `update` is not newer, or when it lists changes
    since a version that is newer than `current`.
    """
    if update.version <= current.version:
        return current
    if not update.base_version:
        return update
    if update.base_version > current.version:
        return current
    view_by_runner = {view.runner: view for view in current.runners}
    view_by_runner.update({view.runner: view for view in update.runners})
    runners = [view_by_runner[name] for name in sorted(view_by_runner)]
    return FleetView(update.version, runners)


@final
class ServiceDemand(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of requests that arrived for a service since the last report."""

    service: str
    prefill_tokens: int
    decode_tokens: int


@final
class OrderPhase(enum.StrEnum):
    """Progress of an order at its agent.

    DRAINING: Waits until no request runs at the engine.
    INSPECTING: Reads the state of the engine.
    EXECUTING: Has sent the order to the engine.
    OUTCOME_UNKNOWN: Does not know whether the order took effect, and reads the
        state of the engine again until that is known.
    """

    NONE = "none"
    DRAINING = "draining"
    INSPECTING = "inspecting"
    EXECUTING = "executing"
    OUTCOME_UNKNOWN = "unclear"


@final
class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="load"):
    """Load of one runner.

    `sequence` rises with every report of one agent incarnation. The agent's
    own values are current: `running_requests`, `stopping` (a planned stop has
    begun), `order_phase` and `first_token_ms`, the time to the first byte of
    the last answer that began, 0 before any did. The engine reports the other
    values with a delay. A piece holds about 1,000 tokens of KV cache.
    """

    runner: str
    incarnation: int
    sequence: int
    waiting_prefill_tokens: int
    running_streams: int
    free_pieces: int
    queued_decode_tokens: int = 0
    cached_pieces: int = 0
    first_token_ms: int = 0
    running_requests: int = 0
    stopping: bool = False
    order_phase: OrderPhase = OrderPhase.NONE


@final
class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """HTTP response to a non-repeatable request, stored for its retries."""

    status: int
    content_type: str
    body: bytes
