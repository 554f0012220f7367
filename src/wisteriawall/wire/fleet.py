"""Typed state of runners and orders, shared by control, entry and agent."""

import enum
from typing import final

import msgspec

__all__ = [
    "FENCE_ZERO",
    "Action",
    "EngineView",
    "Fence",
    "FleetView",
    "KeptAnswer",
    "LoadReport",
    "Order",
    "OrderPhase",
    "Role",
    "RunnerPhase",
    "RunnerView",
    "ServiceDemand",
    "merge_view",
]


@final
class Role(enum.StrEnum):
    """Work that an engine is set up to take."""

    PREFILL = "prefill"
    DECODE = "decode"
    MIXED = "mixed"


@final
class RunnerPhase(enum.StrEnum):
    """Whether a runner may receive new work."""

    LIVE = "live"
    CHANGING = "changing"
    DRAINING = "draining"
    LEAVING = "leaving"
    LOST = "lost"


@final
class Fence(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Fencing position: leader term, then the order's log index."""

    term: int
    order_id: int


FENCE_ZERO = Fence(0, 0)


@final
class Action(enum.StrEnum):
    """What an order asks of an engine.

    The argument of LOAD and UNLOAD is `model@version`, that of the adapter
    actions the adapter's name. LOAD replaces the model that is loaded.
    """

    SET_ROLE = "set-role"
    LOAD = "load"
    UNLOAD = "unload"
    LOAD_ADAPTER = "load-adapter"
    UNLOAD_ADAPTER = "unload-adapter"


@final
class Order(msgspec.Struct, frozen=True, array_like=True):
    """A committed order to one engine; `argument` is the role or model."""

    fence: Fence
    runner: str
    action: Action
    argument: str


@final
class EngineView(msgspec.Struct, frozen=True, array_like=True):
    """What an agent knows of its engine; `model` is `model@version`.

    `unclear` says that the engine crashed or gave no answer in the middle of
    a change, so that the rest may be wrong.
    """

    role: Role
    model: str = ""
    adapters: list[str] = []
    unclear: bool = False


@final
class RunnerView(msgspec.Struct, frozen=True, array_like=True):
    """Agreed state of one runner; `model` is `model@version`."""

    runner: str
    phase: RunnerPhase
    role: Role
    model: str = ""
    adapters: list[str] = []


@final
class FleetView(msgspec.Struct, frozen=True, array_like=True):
    """Agreed state of the runners at one fleet version.

    With `base` 0 the view is whole. Otherwise it holds only the runners that
    changed after version `base`, and no runner was removed since.
    """

    version: int
    runners: list[RunnerView]
    base: int = 0


def merge_view(held: FleetView, received: FleetView) -> FleetView:
    """Return the whole view after `received`, the newer of the two."""
    if received.version <= held.version:
        return held
    if not received.base:
        return received
    if received.base > held.version:
        return held
    by_runner = {view.runner: view for view in held.runners}
    by_runner.update({view.runner: view for view in received.runners})
    runners = [by_runner[name] for name in sorted(by_runner)]
    return FleetView(received.version, runners)


@final
class ServiceDemand(msgspec.Struct, frozen=True, array_like=True):
    """Token work that arrived for a service since the last report."""

    service: str
    prefill_tokens: int
    decode_tokens: int


@final
class OrderPhase(enum.StrEnum):
    """What an agent does about an order; UNCLEAR needs an inspection."""

    NONE = "none"
    DRAINING = "draining"
    INSPECTING = "inspecting"
    EXECUTING = "executing"
    UNCLEAR = "unclear"


@final
class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="load"):
    """Load of one runner as its agent last saw it.

    `sequence` rises with every report of one agent incarnation. The agent's
    own counts are current: `running_requests`, `leaving`, `order_phase` and
    `first_token_ms`, the time to the first byte of the last answer that
    began, 0 before any did. The engine's own account of itself lags.
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
    leaving: bool = False
    order_phase: OrderPhase = OrderPhase.NONE


@final
class KeptAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer of a non-repeatable request, kept for resubmission."""

    status: int
    content_type: str
    body: bytes
